//! Estimates the expected loss of a placement.
//!
//! All losses are in units of value. A prompt is worth 1, plus an amount proportional to its
//! tokens.

use std::time::Duration;

use oriolepass_routing::EngineProfile;

use crate::demand::LONG_AVERAGING_TIME_MS;
use crate::plan::{PromptAsk, PromptKey};

/// Value of a prompt per token, in addition to 1 per prompt. It approximates the weights that
/// deployments give to their kinds of prompts: 1.3 for 5,000 tokens, 3.1 for 45,000, 22 for
/// 210,000. Within a kind, they weight prompts by size.
const VALUE_PER_TOKEN: f64 = 1.0 / 10_000.0;

/// Share of a prompt's value that is lost when it is late. Deployments count a late answer as about
/// a quarter of one on time.
const LATE_LOSS_SHARE: f64 = 0.75;

/// Share of the objective at which lateness begins to count. It is below 1 because predictions err
/// by some tens of milliseconds.
const LATENESS_MIN_RATIO: f64 = 0.6;

/// Share of the objective from which a prediction counts as fully late.
const LATENESS_MAX_RATIO: f64 = 1.1;

/// Share of the objective at which lateness begins to count for prompts that wait for their first
/// event. Parts of later prompts are read before theirs, so the predicted time is a lower bound.
const WAITING_MIN_RATIO: f64 = 0.4;

/// A caller waits for an event for this many objectives, this many times the longest pause that is
/// on time, or this many milliseconds, whichever is longest. The platform publishes all three.
const CALLER_TIMEOUT_OBJECTIVES: f64 = 4.0;
const CALLER_TIMEOUT_PAUSES: f64 = 8.0;
const MIN_CALLER_TIMEOUT_MS: f64 = 2_000.0;

/// Cost of each further engine in a group: the prompt fails if the engine fails.
const HELPER_COST: f64 = 0.004;

/// Cost of the first answer on an engine; it decreases linearly with the number of answers. Engines
/// with few answers are thereby left to drain, and long prompts find more engines where they
/// disturb no answers.
const SPARSE_COST: f64 = 1.0;

/// Share of an engine's slots with answers from which the engine counts as packed.
const PACKED_SHARE: f64 = 0.75;

/// Share of an engine's slots in use from which one more answer makes later ones wait.
const CROWDING_MIN_SHARE: f64 = 0.85;

/// Cost of the last slot of an engine; it decreases linearly for the slots before it.
const CROWDING_COST: f64 = 5.0;

/// Weight of an earlier first event between otherwise equal placements, as a share of the prompt's
/// value.
const EARLY_EVENT_WEIGHT: f64 = 0.1;

/// An engine is clear, which means that it serves a short prompt on time, if its next pass is
/// shorter than this. The rest of the present pass and the prompt's own pass then stay below the
/// shortest objective.
pub(crate) const MAX_CLEAR_PASS_MS: f64 = 150.0;

/// A prompt that takes less than this to read is short and is never split: reading a part would
/// take no longer than the pass of some 45 ms that contains it.
pub(crate) const MAX_SHORT_READ_MS: f64 = 60.0;

/// The cost of reading a prompt, in milliseconds of an otherwise idle engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadCost {
    /// Time to read the whole prompt on one engine.
    pub whole_ms: f64,
    /// Number of tokens of the prompt.
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

    /// Returns the cost of one of `parts` equal parts, each with its share of the token pairs.
    pub fn part_ms(self, parts: usize) -> f64 {
        self.whole_ms / parts as f64
    }

    /// Returns whether the prompt is short, so that it is never split.
    pub fn is_short(self) -> bool {
        self.whole_ms < MAX_SHORT_READ_MS
    }

    /// Returns the value of the prompt.
    pub fn value(self) -> f64 {
        1.0 + self.tokens * VALUE_PER_TOKEN
    }
}

/// A prompt that is placed on an engine, with what determines how another prompt disturbs it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Neighbour {
    pub(crate) value: f64,
    pub(crate) pause_ms: f64,
    /// Time that its caller waits for the next event.
    pub(crate) caller_timeout_ms: f64,
    pub(crate) has_begun: bool,
    /// Time until the expected first event; 0 if it has come or all parts have been read.
    pub(crate) begins_in_ms: f64,
    pub(crate) has_late_pause: bool,
    pub(crate) is_short: bool,
    /// Whether engines have ended while they served the prompt.
    pub(crate) is_suspect: bool,
}

/// The unread part on one engine of a prompt whose first event has not come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingPart {
    pub(crate) key: PromptKey,
    pub(crate) value: f64,
    /// Time until the part has been read.
    pub(crate) read_in_ms: f64,
    /// Time until the last part of the prompt has been read on any engine.
    pub(crate) first_in_ms: f64,
    /// Time until the first event is late.
    pub(crate) due_in_ms: f64,
}

impl WaitingPart {
    /// Returns the loss of the prompt if `part_ms` more are read before its part.
    fn delay_loss(&self, part_ms: f64) -> f64 {
        let due = self.due_in_ms.max(1.0);
        let after = self.first_in_ms.max(self.read_in_ms + part_ms);
        (waiting_lateness(after / due) - waiting_lateness(self.first_in_ms / due))
            * LATE_LOSS_SHARE
            * self.value
    }
}

/// The present state of an engine, as the choice of a placement uses it.
#[derive(Debug, Clone)]
pub(crate) struct EngineView {
    pub(crate) residual_ms: f64,
    pub(crate) unread_ms: f64,
    pub(crate) writing_pass_ms: f64,
    pub(crate) slot_free_in_ms: f64,
    pub(crate) load: usize,
    pub(crate) slots: usize,
    pub(crate) usable_tokens: u64,
    pub(crate) free_tokens: u64,
    pub(crate) neighbours: Vec<Neighbour>,
    /// Unread parts of prompts that wait for their first event, in the order of reading.
    pub(crate) waiting: Vec<WaitingPart>,
    /// Share of the engine's time that future parts of helpers are expected to take.
    pub(crate) helped_share: f64,
    /// Factor on the cost of a sparsely used engine, from 0 (answers are not gathered on few
    /// engines) to 1 (fully gathered).
    pub(crate) gather_weight: f64,
    /// Duration of a pass relative to the published one.
    pub(crate) slowdown: f64,
    /// Duration of a pass that writes a single answer, if the engine is slow. It is 0 otherwise,
    /// because a pass of published duration disturbs no answer.
    pub(crate) slow_pass_ms: f64,
}

impl EngineView {
    /// Returns the duration of a pass that writes one more answer.
    pub(crate) fn answer_pass_ms(&self) -> f64 {
        self.writing_pass_ms.max(self.slow_pass_ms)
    }

    /// Returns the loss of a prompt through the pauses of its own answer on a slow engine.
    pub(crate) fn own_pause_loss(&self, ask: &PromptAsk, value: f64) -> f64 {
        if self.slow_pass_ms <= 0.0 {
            return 0.0;
        }
        lateness_ratio(self.answer_pass_ms() / millis(ask.pause).max(1.0)) * LATE_LOSS_SHARE * value
    }

    /// Returns the duration of the next pass with `part_ms` more to read, of which at most `cap_ms`
    /// fit into one pass.
    fn next_pass_ms(&self, part_ms: f64, cap_ms: f64) -> f64 {
        self.writing_pass_ms + (self.unread_ms + part_ms).min(cap_ms)
    }

    /// Returns the time until a part would have been read, in milliseconds. The first event comes
    /// at the end of the pass in which that happens.
    pub(crate) fn read_in_ms(&self, part_ms: f64, cap_ms: f64, is_main: bool) -> f64 {
        let (part_ms, cap_ms) = (part_ms * self.slowdown, cap_ms * self.slowdown);
        // Helpers' parts are read before all other parts.
        let ahead = if is_main { self.unread_ms } else { 0.0 };
        let reading = ahead + part_ms;
        let passes = if self.writing_pass_ms > 0.0 { (reading / cap_ms).ceil() } else { 0.0 };
        if !is_main {
            return self.residual_ms + reading + passes * self.writing_pass_ms;
        }
        // Helpers' parts that arrive in the meantime are read first as well.
        let own_time = 1.0 - self.helped_share;
        self.residual_ms
            + self.slot_free_in_ms
            + (reading + passes * self.writing_pass_ms) / own_time
    }

    /// Returns the first pause of an answer that begins in `from_ms`, with `part_ms` more to read
    /// on this engine. The pause lasts until the remaining parts have been read and a pass of
    /// writing has ended.
    fn first_pause_ms(&self, from_ms: f64, part_ms: f64, cap_ms: f64) -> f64 {
        let left_ms = (self.residual_ms + self.unread_ms + part_ms - from_ms).max(0.0);
        self.writing_pass_ms + left_ms.min(cap_ms)
    }

    /// Returns how much another part to read adds to the lateness of a neighbour's next pause. The
    /// part is a helper's or a prompt's own.
    fn pause_lateness(
        &self,
        neighbour: &Neighbour,
        part_ms: f64,
        cap_ms: f64,
        is_helper: bool,
    ) -> f64 {
        let late = |pass_ms: f64| lateness_ratio(pass_ms / neighbour.pause_ms);
        if neighbour.has_late_pause {
            return 0.0;
        }
        if neighbour.has_begun {
            return late(self.next_pass_ms(part_ms, cap_ms)) - late(self.next_pass_ms(0.0, cap_ms));
        }
        // A prompt's own part is read last, while the neighbours write.
        if !is_helper {
            return late(self.writing_pass_ms + part_ms.min(cap_ms));
        }
        let from_ms = neighbour.begins_in_ms;
        late(self.first_pause_ms(from_ms, part_ms, cap_ms))
            - late(self.first_pause_ms(from_ms, 0.0, cap_ms))
    }

    /// Returns the loss of the answers on this engine through the pauses that another part to read
    /// causes. The part is a helper's or a prompt's own.
    pub(crate) fn pause_loss(&self, part_ms: f64, cap_ms: f64, is_helper: bool) -> f64 {
        let (part_ms, cap_ms) = (part_ms * self.slowdown, cap_ms * self.slowdown);
        let (before, after) = (self.next_pass_ms(0.0, cap_ms), self.next_pass_ms(part_ms, cap_ms));
        // A late answer can still lose the rest of its value if its caller leaves during a pause.
        let left = |neighbour: &Neighbour| {
            let timeout_ms = neighbour.caller_timeout_ms;
            lateness_ratio(after / timeout_ms) - lateness_ratio(before / timeout_ms)
        };
        let loss = |neighbour: &Neighbour| {
            let late = self.pause_lateness(neighbour, part_ms, cap_ms, is_helper);
            (late * LATE_LOSS_SHARE + left(neighbour) * (1.0 - LATE_LOSS_SHARE)) * neighbour.value
        };
        self.neighbours.iter().map(loss).sum()
    }

    /// Returns the loss of each waiting prompt through a helper's part, which is read before the
    /// prompt's own part.
    pub(crate) fn delays(&self, part_ms: f64) -> impl Iterator<Item = (PromptKey, f64)> {
        let part_ms = part_ms * self.slowdown;
        self.waiting.iter().map(move |part| (part.key, part.delay_loss(part_ms)))
    }

    /// Returns whether the engine neither reads prompts nor writes answers.
    pub(crate) fn is_idle(&self) -> bool {
        self.load == 0 && self.unread_ms <= 0.0
    }

    /// Returns whether a short prompt would be on time on this engine.
    pub(crate) fn is_clear(&self) -> bool {
        let full = self.load as f64 >= self.slots as f64 * 0.9;
        !full && self.residual_ms.max(self.answer_pass_ms() + self.unread_ms) < MAX_CLEAR_PASS_MS
    }

    /// Returns how long another part to read keeps the engine from being clear, in milliseconds.
    pub(crate) fn blocked_ms(&self, part_ms: f64, cap_ms: f64) -> f64 {
        let (part_ms, cap_ms) = (part_ms * self.slowdown, cap_ms * self.slowdown);
        let passes = (self.unread_ms + part_ms) / cap_ms.max(1.0);
        let blocked = self.next_pass_ms(part_ms, cap_ms) * passes.max(1.0) - MAX_CLEAR_PASS_MS;
        blocked.max(0.0)
    }

    /// Returns the cost of one more long answer, which is lower the more answers the engine writes.
    /// All answers count, because long parts disturb each of them.
    pub(crate) fn long_answer_cost(&self) -> f64 {
        self.answer_cost(self.neighbours.len())
    }

    /// Returns the cost of one more short answer, which is lower the more short answers the engine
    /// writes.
    pub(crate) fn short_answer_cost(&self) -> f64 {
        self.answer_cost(self.neighbours.iter().filter(|neighbour| neighbour.is_short).count())
    }

    fn answer_cost(&self, gathered: usize) -> f64 {
        let filled = self.slots as f64 * PACKED_SHARE;
        let sparse = (1.0 - gathered as f64 / filled).max(0.0) * SPARSE_COST * self.gather_weight;
        let taken = self.load as f64 / self.slots as f64;
        sparse
            + ((taken - CROWDING_MIN_SHARE) / (1.0 - CROWDING_MIN_SHARE)).max(0.0) * CROWDING_COST
    }
}

/// Returns the loss of a prompt whose first event comes after `first_ms`: most of its value if the
/// event is late, the rest if the caller leaves before it.
pub(crate) fn lateness(first_ms: f64, ask: &PromptAsk, value: f64) -> f64 {
    let late = lateness_ratio(first_ms / millis(ask.objective).max(1.0)) * LATE_LOSS_SHARE;
    let left =
        lateness_ratio(first_ms / remaining_caller_timeout_ms(ask)) * (1.0 - LATE_LOSS_SHARE);
    (late + left) * value
}

/// Returns how long a caller waits for an event, in milliseconds.
pub(crate) fn caller_timeout_ms(ask: &PromptAsk) -> f64 {
    let objectives = millis(ask.whole_objective) * CALLER_TIMEOUT_OBJECTIVES;
    let pauses = millis(ask.pause) * CALLER_TIMEOUT_PAUSES;
    objectives.max(pauses).max(MIN_CALLER_TIMEOUT_MS)
}

/// Returns the time until the caller leaves if no event comes, in milliseconds.
fn remaining_caller_timeout_ms(ask: &PromptAsk) -> f64 {
    let spent = millis(ask.whole_objective.saturating_sub(ask.objective));
    (caller_timeout_ms(ask) - spent).min(millis(ask.deadline)).max(1.0)
}

/// Returns the cost added to the expected loss, which favours early first events and few engines.
///
/// The cost decides between groups. While engines are busy, it also counts towards a refusal. Times
/// are relative to the whole objective: relative to the remaining one, a prompt that is already
/// late would be refused regardless of the engines' load.
pub(crate) fn risk(first_ms: f64, ask: &PromptAsk, value: f64, helpers: usize) -> f64 {
    first_ms / millis(ask.whole_objective).max(1.0) * EARLY_EVENT_WEIGHT * value
        + HELPER_COST * helpers as f64
}

fn waiting_lateness(used: f64) -> f64 {
    ((used - WAITING_MIN_RATIO) / (LATENESS_MAX_RATIO - WAITING_MIN_RATIO)).clamp(0.0, 1.0)
}

fn lateness_ratio(used: f64) -> f64 {
    ((used - LATENESS_MIN_RATIO) / (LATENESS_MAX_RATIO - LATENESS_MIN_RATIO)).clamp(0.0, 1.0)
}

/// The demand of short prompts, which prices the time in which a clear engine is lacking.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ShortDemand {
    /// Arrivals of short prompts per millisecond, where each counts with its weight.
    pub(crate) value_per_ms: f64,
    /// Number of engines that the short prompts keep busy.
    pub(crate) engines: f64,
}

impl ShortDemand {
    /// Returns the loss of future short prompts if `taken` of `clear` engines are not clear for
    /// `blocked_ms` in total.
    pub(crate) fn loss(&self, clear: usize, taken: usize, blocked_ms: f64) -> f64 {
        // One engine more than the average load needs, for its fluctuations.
        let needed = self.engines + 1.0;
        let lacking = ((needed - (clear as f64 - taken as f64)) / needed).clamp(0.0, 1.0);
        let each_ms = blocked_ms / taken.max(1) as f64;
        self.value_per_ms * each_ms * lacking * LATE_LOSS_SHARE
    }
}

/// Engines count as idle if long prompts take at most this share of their time. On calm days of the
/// users' deployments, long prompts take two to three times as much.
const MAX_IDLE_SHARE: f64 = 0.1;

/// Upper bound on the share of an engine's time that is expected to go to future parts.
const MAX_HELPED_SHARE: f64 = 0.7;

/// The demand of long prompts, which prices the engines' time at what other prompts would earn in
/// it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LongDemand {
    /// Value of the long prompts that arrive per millisecond.
    pub(crate) value_per_ms: f64,
    /// Number of engines that reading the long prompts keeps busy.
    pub(crate) busy_engines: f64,
}

impl LongDemand {
    /// Returns the share of the time of `all` engines that long prompts take.
    pub(crate) fn busy_share(&self, all: usize) -> f64 {
        (self.busy_engines / all.max(1) as f64).min(1.0)
    }

    /// Returns the share of an engine's time that future parts are expected to take.
    pub(crate) fn helped_share(&self, all: usize) -> f64 {
        self.busy_share(all).min(MAX_HELPED_SHARE)
    }

    /// Returns whether the engines are busy enough for [`risk`] to count towards a refusal. Idle
    /// engines serve every prompt that gains anything.
    pub(crate) fn counts_risk(&self, all: usize) -> bool {
        self.busy_share(all) > MAX_IDLE_SHARE
    }

    /// Returns the loss of other prompts if `all` engines spend `work_ms` on one more prompt. The
    /// number of engines that share the work does not matter.
    ///
    /// The time of idle engines is free; the time of busy engines costs what it earns on average.
    /// In between, the price grows with the square of the busy share, roughly as the probability
    /// that another prompt has to wait.
    pub(crate) fn price(&self, all: usize, work_ms: f64) -> f64 {
        if self.busy_engines <= 0.0 {
            return 0.0;
        }
        let busy = self.busy_share(all);
        self.value_per_ms / self.busy_engines * busy * busy * work_ms
    }

    /// Returns the shortest time after which the price of a prompt can be at most `limit`, in
    /// milliseconds: the time that the demand takes to decay if no further prompt arrives.
    pub(crate) fn ms_until_price(&self, all: usize, work_ms: f64, limit: f64) -> f64 {
        let ratio = self.price(all, work_ms) / limit.max(f64::MIN_POSITIVE);
        // The price falls with the square of the busy share.
        ratio.max(1.0).ln() / 2.0 * LONG_AVERAGING_TIME_MS
    }
}

pub(crate) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
