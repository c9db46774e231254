//! What a placement is expected to lose.
//!
//! All losses are in units of value, where a prompt is worth 1 and more in proportion to its
//! tokens.

use std::time::Duration;

use oriolepass_routing::EngineProfile;

use crate::plan::{PromptAsk, PromptKey};

/// What a prompt is worth for each token, beside 1 for each prompt. The known deployments price their
/// kinds so: 1.3 for 5,000 tokens, 3.1 for 45,000, 22 for 210,000, and within a kind by size.
const VALUE_PER_TOKEN: f64 = 1.0 / 10_000.0;

/// The part of a prompt's value that lateness loses; the known deployments give about a quarter for
/// a late answer.
const LATE_LOSS: f64 = 0.75;

/// Predictions err by some tens of milliseconds, so lateness begins to be counted before the
/// objective is reached, at this part of it...
const TIGHT_FROM: f64 = 0.6;

/// ...and grows to its whole until this part.
const TIGHT_TO: f64 = 1.1;

/// The same for prompts that wait for their first event: later prompts' parts go ahead of theirs,
/// so what is predicted for them is the least that it will take.
const WAITING_FROM: f64 = 0.4;

/// Callers wait for an event for this many objectives, or for this many of the longest pauses that
/// are on time, or for this many milliseconds, whichever is longest; the platform names all three.
const PATIENCE_OBJECTIVES: f64 = 4.0;
const PATIENCE_PAUSES: f64 = 8.0;
const PATIENCE_LEAST_MS: f64 = 2_000.0;

/// What one more engine in a group costs: it may fail and take the prompt with it.
const HELPER_COST: f64 = 0.004;

/// What the first answer on an engine costs, and in proportion fewer those after it: engines with few of
/// them are left to empty, and long prompts find more engines where they disturb nobody.
const SPARSE_COST: f64 = 1.0;

/// The part of an engine's places with answers from which on it counts as packed.
const PACKED_SHARE: f64 = 0.75;

/// From this part of an engine's places on, one more answer makes the next ones wait.
const CROWD_FROM: f64 = 0.85;

/// What the last place of an engine costs, and in proportion fewer those before it.
const CROWD_COST: f64 = 5.0;

/// Between equal placements the earlier first event is worth this much, as a part of the prompt's
/// value.
const EARLY_WORTH: f64 = 0.1;

/// An engine whose next pass is shorter than this serves a short prompt on time, in milliseconds:
/// what is left of a present pass and the own pass then stay below the shortest objective.
pub(crate) const CLEAR_PASS_MS: f64 = 150.0;

/// A prompt that takes less than this to read is short, in milliseconds: a part of it would be
/// no longer than the pass of some 45 ms that reads it, so it is never split.
pub(crate) const SHORT_READ_MS: f64 = 60.0;

/// The cost of reading a prompt, in milliseconds of an engine that does nothing else.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadCost {
    /// The whole prompt on one engine.
    pub whole_ms: f64,
    /// The prompt's tokens.
    pub tokens: f64,
}

impl ReadCost {
    /// Computes the cost of a prompt.
    pub fn new(profile: &EngineProfile, prompt_tokens: u64) -> Self {
        let tokens = prompt_tokens as f64;
        let linear = tokens / profile.prefill_tokens_per_s * 1_000.0;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        Self { whole_ms: linear + pairs_m * profile.prefill_ms_per_million_pairs, tokens }
    }

    /// Returns the cost of one of `parts` even parts, each with its share of the pairs.
    pub fn part_ms(self, parts: usize) -> f64 {
        self.whole_ms / parts as f64
    }

    /// Returns whether the prompt is a short one.
    pub fn is_short(self) -> bool {
        self.whole_ms < SHORT_READ_MS
    }

    /// Returns what the prompt is worth.
    pub fn value(self) -> f64 {
        1.0 + self.tokens * VALUE_PER_TOKEN
    }
}

/// A prompt on an engine, as far as another one may disturb it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Neighbour {
    pub(crate) value: f64,
    pub(crate) pause_ms: f64,
    /// How long its caller waits for the next event.
    pub(crate) patience_ms: f64,
    pub(crate) has_begun: bool,
    /// When its first event is expected, in milliseconds from now; 0 where it has come or all is read.
    pub(crate) begins_in_ms: f64,
    pub(crate) is_spoiled: bool,
    pub(crate) is_short: bool,
    /// Whether engines have ended under it.
    pub(crate) is_suspect: bool,
}

/// What an engine has to read of a prompt whose first event has not come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingPart {
    pub(crate) key: PromptKey,
    pub(crate) value: f64,
    /// When it has been read.
    pub(crate) read_in_ms: f64,
    /// When the last part of the prompt has been read, wherever that is.
    pub(crate) first_in_ms: f64,
    /// What is left until its first event is late.
    pub(crate) due_in_ms: f64,
}

impl WaitingPart {
    /// Returns what the prompt loses where `part_ms` more are read before.
    fn delay_loss(&self, part_ms: f64) -> f64 {
        let due = self.due_in_ms.max(1.0);
        let after = self.first_in_ms.max(self.read_in_ms + part_ms);
        (waiting_share(after / due) - waiting_share(self.first_in_ms / due))
            * LATE_LOSS
            * self.value
    }
}

/// An engine as it stands now.
#[derive(Debug, Clone)]
pub(crate) struct EngineView {
    pub(crate) residual_ms: f64,
    pub(crate) unread_ms: f64,
    pub(crate) writing_pass_ms: f64,
    pub(crate) room_in_ms: f64,
    pub(crate) load: usize,
    pub(crate) slots: usize,
    pub(crate) usable_tokens: u64,
    pub(crate) free_tokens: u64,
    pub(crate) neighbours: Vec<Neighbour>,
    /// Prompts that wait for what is to be read here, in its order.
    pub(crate) waiting: Vec<WaitingPart>,
    /// The part of the engine's time that helpers' parts take which are yet to come.
    pub(crate) helped_share: f64,
    /// Factor on the cost of a sparsely used engine, from 0 (answers are not gathered on few
    /// engines) to 1 (fully gathered).
    pub(crate) gather_weight: f64,
}

impl EngineView {
    /// Returns how long the next pass takes with `part_ms` more to read, of which at most
    /// `cap_ms` fit into a pass.
    fn next_pass_ms(&self, part_ms: f64, cap_ms: f64) -> f64 {
        self.writing_pass_ms + (self.unread_ms + part_ms).min(cap_ms)
    }

    /// Returns when a part would have been read, in milliseconds from now. The first event
    /// comes with the end of the pass in which that is.
    pub(crate) fn read_in_ms(&self, part_ms: f64, cap_ms: f64, is_main: bool) -> f64 {
        // Helpers' parts go ahead of all other reading.
        let ahead = if is_main { self.unread_ms } else { 0.0 };
        let reading = ahead + part_ms;
        let passes = if self.writing_pass_ms > 0.0 { (reading / cap_ms).ceil() } else { 0.0 };
        if !is_main {
            return self.residual_ms + reading + passes * self.writing_pass_ms;
        }
        // Helpers' parts that come meanwhile go ahead of it as well.
        let own_time = 1.0 - self.helped_share;
        self.residual_ms + self.room_in_ms + (reading + passes * self.writing_pass_ms) / own_time
    }

    /// Returns the first pause of an answer that begins `from_ms` from now, with `part_ms` more to read here:
    /// it lasts until all has been read that is left then, and a pass is written.
    fn first_pause_ms(&self, from_ms: f64, part_ms: f64, cap_ms: f64) -> f64 {
        let left_ms = (self.residual_ms + self.unread_ms + part_ms - from_ms).max(0.0);
        self.writing_pass_ms + left_ms.min(cap_ms)
    }

    /// Returns by how much a part more to read, a helper's or a prompt's own, makes a pause of a neighbour
    /// later.
    fn pause_lateness(
        &self,
        neighbour: &Neighbour,
        part_ms: f64,
        cap_ms: f64,
        is_helper: bool,
    ) -> f64 {
        let late = |pass_ms: f64| late_share(pass_ms / neighbour.pause_ms);
        if neighbour.is_spoiled {
            return 0.0;
        }
        if neighbour.has_begun {
            return late(self.next_pass_ms(part_ms, cap_ms)) - late(self.next_pass_ms(0.0, cap_ms));
        }
        // A prompt's own part is read last, while the others write.
        if !is_helper {
            return late(self.writing_pass_ms + part_ms.min(cap_ms));
        }
        let from_ms = neighbour.begins_in_ms;
        late(self.first_pause_ms(from_ms, part_ms, cap_ms))
            - late(self.first_pause_ms(from_ms, 0.0, cap_ms))
    }

    /// Returns what the answers here lose by the pauses that a part more to read makes, which is a helper's
    /// or a prompt's own.
    pub(crate) fn damage(&self, part_ms: f64, cap_ms: f64, is_helper: bool) -> f64 {
        let (before, after) = (self.next_pass_ms(0.0, cap_ms), self.next_pass_ms(part_ms, cap_ms));
        // What is late already can still be lost, when its caller leaves in a gap.
        let left = |neighbour: &Neighbour| {
            let patience = neighbour.patience_ms;
            late_share(after / patience) - late_share(before / patience)
        };
        let loss = |neighbour: &Neighbour| {
            let late = self.pause_lateness(neighbour, part_ms, cap_ms, is_helper);
            (late * LATE_LOSS + left(neighbour) * (1.0 - LATE_LOSS)) * neighbour.value
        };
        self.neighbours.iter().map(loss).sum()
    }

    /// Returns what each of the prompts that wait here loses by a helper's part, which goes ahead of them.
    pub(crate) fn delays(&self, part_ms: f64) -> impl Iterator<Item = (PromptKey, f64)> {
        self.waiting.iter().map(move |part| (part.key, part.delay_loss(part_ms)))
    }

    /// Returns whether the engine neither reads prompts nor writes answers.
    pub(crate) fn is_idle(&self) -> bool {
        self.load == 0 && self.unread_ms <= 0.0
    }

    /// Returns whether a short prompt would be on time here.
    pub(crate) fn is_clear(&self) -> bool {
        let full = self.load as f64 >= self.slots as f64 * 0.9;
        !full && self.residual_ms.max(self.writing_pass_ms + self.unread_ms) < CLEAR_PASS_MS
    }

    /// Returns for how long a part more keeps short prompts away.
    pub(crate) fn blocked_ms(&self, part_ms: f64, cap_ms: f64) -> f64 {
        let passes = (self.unread_ms + part_ms) / cap_ms.max(1.0);
        let blocked = self.next_pass_ms(part_ms, cap_ms) * passes.max(1.0) - CLEAR_PASS_MS;
        blocked.max(0.0)
    }

    /// Returns the cost of one more long answer: one of the first here, or one of many. Whatever is written
    /// here already is disturbed by long parts as well.
    pub(crate) fn long_answer_cost(&self) -> f64 {
        self.answer_cost(self.neighbours.len())
    }

    /// Returns the cost of one more short answer: one of the first here, or one of many.
    pub(crate) fn short_answer_cost(&self) -> f64 {
        self.answer_cost(self.neighbours.iter().filter(|neighbour| neighbour.is_short).count())
    }

    fn answer_cost(&self, gathered: usize) -> f64 {
        let filled = self.slots as f64 * PACKED_SHARE;
        let sparse = (1.0 - gathered as f64 / filled).max(0.0) * SPARSE_COST * self.gather_weight;
        let taken = self.load as f64 / self.slots as f64;
        sparse + ((taken - CROWD_FROM) / (1.0 - CROWD_FROM)).max(0.0) * CROWD_COST
    }
}

/// Returns what a prompt loses by a first event after `first_ms`: most of its value when it is
/// late, the rest when its caller leaves before.
pub(crate) fn lateness(first_ms: f64, ask: &PromptAsk, value: f64) -> f64 {
    let late = late_share(first_ms / millis(ask.objective).max(1.0)) * LATE_LOSS;
    let left = late_share(first_ms / first_patience_ms(ask)) * (1.0 - LATE_LOSS);
    (late + left) * value
}

/// Returns how long a caller waits for an event, in milliseconds.
pub(crate) fn patience_ms(ask: &PromptAsk) -> f64 {
    let objectives = millis(ask.whole_objective) * PATIENCE_OBJECTIVES;
    let pauses = millis(ask.pause) * PATIENCE_PAUSES;
    objectives.max(pauses).max(PATIENCE_LEAST_MS)
}

/// Returns what is left until the caller leaves if no event comes, in milliseconds.
fn first_patience_ms(ask: &PromptAsk) -> f64 {
    let spent = millis(ask.whole_objective.saturating_sub(ask.objective));
    (patience_ms(ask) - spent).min(millis(ask.deadline)).max(1.0)
}

/// Returns what is charged beside the expected loss: an earlier first event and fewer engines are better.
/// It decides between groups, and while engines are busy it also counts for a refusal. Times count
/// against the whole objective: by what is left of it, a prompt that is late already would be refused
/// whatever the engines do.
pub(crate) fn risk(first_ms: f64, ask: &PromptAsk, value: f64, helpers: usize) -> f64 {
    first_ms / millis(ask.whole_objective).max(1.0) * EARLY_WORTH * value
        + HELPER_COST * helpers as f64
}

fn waiting_share(used: f64) -> f64 {
    ((used - WAITING_FROM) / (TIGHT_TO - WAITING_FROM)).clamp(0.0, 1.0)
}

fn late_share(used: f64) -> f64 {
    ((used - TIGHT_FROM) / (TIGHT_TO - TIGHT_FROM)).clamp(0.0, 1.0)
}

/// What short prompts lose for each millisecond in which a clear engine is lacking.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ShortDemand {
    /// Short prompts that come in a millisecond.
    pub(crate) per_ms: f64,
    /// Engines that they keep busy.
    pub(crate) engines: f64,
}

impl ShortDemand {
    /// Returns what short prompts that are yet to come lose when `taken` of `clear` engines are
    /// not clear for `blocked_ms` altogether.
    pub(crate) fn loss(&self, clear: usize, taken: usize, blocked_ms: f64) -> f64 {
        // One more than the average load needs, for its ups and downs.
        let needed = self.engines + 1.0;
        let lacking = ((needed - (clear as f64 - taken as f64)) / needed).clamp(0.0, 1.0);
        let each_ms = blocked_ms / taken.max(1) as f64;
        self.per_ms * each_ms * lacking * LATE_LOSS
    }
}

/// Engines that long prompts keep busy for less than this part of their time count as idle: on
/// calm days of the users' deployments they take two to three times as much.
const IDLE_SHARE: f64 = 0.1;

/// The most of an engine's time that is expected to go to parts that are yet to come.
const HELPED_MOST: f64 = 0.7;

/// What long prompts pay for the engines' time: what others would have earned in it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LongDemand {
    /// Value of long prompts that comes in a millisecond.
    pub(crate) value_per_ms: f64,
    /// Engines that reading them keeps busy.
    pub(crate) busy_engines: f64,
}

impl LongDemand {
    /// Returns the part of the engines' time that long prompts take.
    fn busy_share(&self, all: usize) -> f64 {
        (self.busy_engines / all.max(1) as f64).min(1.0)
    }

    /// Returns the part of an engine's time that parts take which are yet to come.
    pub(crate) fn helped_share(&self, all: usize) -> f64 {
        self.busy_share(all).min(HELPED_MOST)
    }

    /// Returns whether there is enough for the engines to do to weigh what a prompt that waits for
    /// long may still lose. Idle engines serve whatever brings anything.
    pub(crate) fn counts_risk(&self, all: usize) -> bool {
        self.busy_share(all) > IDLE_SHARE
    }

    /// Returns what others lose when `all` engines spend `work_ms` on one more prompt, however
    /// many of them share it.
    ///
    /// Idle engines' time is free; that of busy ones costs what it earns on average. In between
    /// the price grows with the square of the busy part, about as the chance that another
    /// prompt has to wait for it.
    pub(crate) fn price(&self, all: usize, work_ms: f64) -> f64 {
        if self.busy_engines <= 0.0 {
            return 0.0;
        }
        let busy = self.busy_share(all);
        self.value_per_ms / self.busy_engines * busy * busy * work_ms
    }
}

pub(crate) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
