//! All engines, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_units::{EndpointId, MonotonicTime};

use crate::cost::{ReadCost, reading_per_pass_ms};
use crate::engine::{EngineFacts, EngineState, ReadingPart, WritingAnswer, millis};
use crate::plan::{HelperPart, PromptAsk, PromptKey, PromptPlan, SpareLack};

/// Numbers of engines that may read one prompt; the most is the engines' own limit.
const GROUP_SIZES: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 12, 16];

/// A prompt that takes less than this to read is never split, in milliseconds: a part would be
/// shorter than the pass that reads it.
const SPLIT_FROM_MS: f64 = 60.0;

/// What a prompt is worth for each millisecond of reading, beside 1 for each: long prompts are
/// worth more in proportion to the work that would be lost.
const VALUE_PER_READ_MS: f64 = 1.0 / 150.0;

/// The part of a prompt's value that lateness loses; the users' sheets give about a quarter for
/// a late answer.
const LATE_LOSS: f64 = 0.75;

/// Predictions are right within about this part, so lateness begins to be counted before the
/// objective is reached.
const TIGHT_FROM: f64 = 0.75;

/// Between `TIGHT_FROM` and this part of the objective the loss grows to its whole.
const TIGHT_TO: f64 = 1.1;

/// The part of an engine's memory that is used; the rest is for answers longer than expected.
const MEMORY_SHARE: f64 = 0.94;

/// What one more engine in a group costs, in value: it may fail and take the prompt with it.
const HELPER_COST: f64 = 0.01;

/// What it costs to bring short streams to an engine that has none: long prompts lose a place
/// where nothing is disturbed by them.
const FRESH_COST: f64 = 0.12;

/// The pause of an engine after its first failure; doubled with each further one.
const SHUN_FIRST: Duration = Duration::from_millis(400);

/// The most doublings of [`SHUN_FIRST`].
const SHUN_DOUBLINGS: u32 = 4;

/// The part of a service's engines that may be shunned at once.
const SHUN_SHARE: f64 = 0.5;

/// Streams whose longest pause is below this are short ones, in milliseconds: two passes with a
/// long prompt's part in them are longer.
const SHORT_PAUSE_MS: f64 = 300.0;

/// The engines of all services, as one home sees them.
#[derive(Debug, Default)]
pub struct EngineFleet {
    engines: BTreeMap<EndpointId, EngineState>,
    /// The engines that each placed prompt uses.
    placed: BTreeMap<PromptKey, Vec<EndpointId>>,
}

/// One way to place a prompt, with what it is expected to lose.
struct Candidate {
    main: EndpointId,
    others: Vec<EndpointId>,
    loss: f64,
    first_ms: f64,
}

impl EngineFleet {
    /// Takes over which engines there are.
    pub fn update(&mut self, now: MonotonicTime, facts: Vec<EngineFacts>) {
        let present: BTreeSet<EndpointId> = facts.iter().map(|f| f.endpoint.clone()).collect();
        self.engines.retain(|endpoint, _| present.contains(endpoint));
        for fact in facts {
            match self.engines.get_mut(&fact.endpoint) {
                Some(engine) => engine.facts = fact,
                None => {
                    self.engines.insert(fact.endpoint.clone(), EngineState::new(fact, now));
                }
            }
        }
    }

    /// Returns the engines that a placed prompt uses, the one that writes first.
    pub fn engines_of(&self, key: PromptKey) -> &[EndpointId] {
        self.placed.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of prompts that are placed now.
    pub fn placed_count(&self) -> usize {
        self.placed.len()
    }

    /// Places a prompt.
    ///
    /// # Errors
    ///
    /// Returns when to ask again where no engine of the service takes work.
    pub fn place(&mut self, now: MonotonicTime, ask: &PromptAsk) -> Result<PromptPlan, SpareLack> {
        for engine in self.engines.values_mut() {
            engine.advance(now);
            engine.drop_overdue(now);
        }
        let usable = self.usable(now, ask);
        let Some(profile) = usable.first().map(|e| self.engines[e].facts.profile.clone()) else {
            return Err(SpareLack { retry_after: SHUN_FIRST });
        };
        let cost = ReadCost::new(&profile, ask.prompt_tokens);
        let value = 1.0 + cost.whole_ms * VALUE_PER_READ_MS;
        let best = GROUP_SIZES
            .into_iter()
            .take_while(|size| {
                *size == 1 || (*size <= usable.len() && cost.whole_ms >= SPLIT_FROM_MS)
            })
            .filter_map(|size| self.best_of_size(now, ask, &usable, cost, value, size))
            .min_by(|left, right| left.loss.total_cmp(&right.loss));
        let Some(best) = best else { return Err(SpareLack { retry_after: SHUN_FIRST }) };
        Ok(self.commit(now, ask, cost, value, best))
    }

    /// Takes over a prompt that another home placed, so that its engines are known to be busy.
    pub fn adopt(&mut self, now: MonotonicTime, ask: &PromptAsk, plan: &PromptPlan, begun: bool) {
        if self.placed.contains_key(&ask.key) {
            return;
        }
        let Some(main) = self.engines.get(&plan.main) else { return };
        let cost = ReadCost::new(&main.facts.profile, ask.prompt_tokens);
        let value = 1.0 + cost.whole_ms * VALUE_PER_READ_MS;
        let others = plan.helpers.iter().map(|helper| helper.endpoint.clone()).collect();
        let first_ms = millis(plan.first_event);
        let candidate = Candidate { main: plan.main.clone(), others, loss: 0.0, first_ms };
        self.book(now, ask, cost, value, &candidate);
        if begun {
            self.first_event(now, ask.key);
        }
    }

    /// Notes that a prompt's first event has come.
    pub fn first_event(&mut self, now: MonotonicTime, key: PromptKey) {
        for endpoint in self.placed.get(&key).into_iter().flatten() {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.advance(now);
                engine.first_event(key);
                engine.failures = 0;
            }
        }
    }

    /// Notes that a prompt has ended, whichever way.
    pub fn ended(&mut self, now: MonotonicTime, key: PromptKey) {
        for endpoint in self.placed.remove(&key).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.advance(now);
                engine.forget(key);
            }
        }
    }

    /// Forgets the prompts of entries that are gone.
    pub fn forget_entries(&mut self, now: MonotonicTime, is_gone: impl Fn(u64) -> bool) {
        let gone: Vec<PromptKey> =
            self.placed.keys().filter(|key| is_gone(key.entry)).copied().collect();
        gone.into_iter().for_each(|key| self.ended(now, key));
    }

    /// Notes that an engine failed a request; it gets no new work for a while, unless too many
    /// are shunned already.
    pub fn failed(&mut self, now: MonotonicTime, endpoint: &EndpointId) {
        let Some(service) = self.engines.get(endpoint).map(|e| e.facts.service.clone()) else {
            return;
        };
        let of_service = self.engines.values().filter(|e| e.facts.service == service);
        let (all, shunned) = of_service.fold((0.0, 0.0), |(all, shunned), engine| {
            (all + 1.0, shunned + f64::from(u8::from(now < engine.shunned_until)))
        });
        let Some(engine) = self.engines.get_mut(endpoint) else { return };
        engine.failures += 1;
        if shunned + 1.0 <= all * SHUN_SHARE {
            let doublings = (engine.failures - 1).min(SHUN_DOUBLINGS);
            engine.shunned_until = now + SHUN_FIRST * 2_u32.pow(doublings);
        }
    }

    fn usable(&self, now: MonotonicTime, ask: &PromptAsk) -> Vec<EndpointId> {
        let of_service =
            |engine: &&EngineState| engine.facts.service == ask.service && engine.takes_work(now);
        let all: Vec<&EngineState> = self.engines.values().filter(of_service).collect();
        let liked = all.iter().filter(|e| !ask.avoid.contains(&e.facts.endpoint));
        let liked: Vec<EndpointId> = liked.map(|e| e.facts.endpoint.clone()).collect();
        if !liked.is_empty() {
            return liked;
        }
        all.into_iter().map(|e| e.facts.endpoint.clone()).collect()
    }

    /// Finds the best group of one size: its members are those that the part disturbs least, and
    /// the one with the best first event among them writes the answer.
    fn best_of_size(
        &self,
        now: MonotonicTime,
        ask: &PromptAsk,
        usable: &[EndpointId],
        cost: ReadCost,
        value: f64,
        size: usize,
    ) -> Option<Candidate> {
        let part_ms = cost.part_ms(size);
        let ms_per_token = cost.whole_ms / ask.prompt_tokens.max(1) as f64;
        let mut scored: Vec<(f64, f64, &EngineState)> = usable
            .iter()
            .map(|endpoint| {
                let engine = &self.engines[endpoint];
                let damage = damage(now, engine, part_ms, ms_per_token, size > 1);
                let busy = engine.backlog_ms() + engine.slot_wait_ms();
                (damage + lateness(busy + part_ms, ask, value), damage, engine)
            })
            .collect();
        scored.sort_by(|left, right| {
            left.0.total_cmp(&right.0).then_with(|| busy_order(left.2, right.2))
        });
        scored.truncate(size);
        let (main_at, main) = self.choose_main(ask, &scored)?;
        let first_ms = scored
            .iter()
            .enumerate()
            .map(|(at, (_, _, engine))| read_end_ms(engine, part_ms, at != main_at))
            .fold(0.0, f64::max)
            + main.idle_pass_ms();
        let damaged: f64 = scored.iter().map(|(_, damage, _)| damage).sum();
        let is_short = millis(ask.pause) < SHORT_PAUSE_MS;
        let fresh = if is_short && !has_short(main) { FRESH_COST } else { 0.0 };
        let own = lateness(first_ms, ask, value);
        // Among equal ones the earlier first event wins.
        let tie = first_ms / millis(ask.objective).max(1.0) * 0.02 * value;
        let loss = damaged + own + fresh + tie + HELPER_COST * (size - 1) as f64;
        let main_endpoint = main.facts.endpoint.clone();
        let others = scored.iter().map(|(_, _, engine)| engine.facts.endpoint.clone());
        let others = others.filter(|endpoint| *endpoint != main_endpoint).collect();
        Some(Candidate { main: main_endpoint, others, loss, first_ms })
    }

    /// Chooses the member that writes: one with memory for the whole, and the least to do.
    fn choose_main<'a>(
        &self,
        ask: &PromptAsk,
        members: &[(f64, f64, &'a EngineState)],
    ) -> Option<(usize, &'a EngineState)> {
        let need = ask.prompt_tokens + ask.max_answer_tokens;
        let writes_worse = |engine: &EngineState| {
            let lacks = need > free_tokens(engine);
            (lacks, engine.slot_wait_ms() + engine.answers.len() as f64)
        };
        members
            .iter()
            .enumerate()
            .min_by(|(_, left), (_, right)| {
                let (left, right) = (writes_worse(left.2), writes_worse(right.2));
                left.0.cmp(&right.0).then_with(|| left.1.total_cmp(&right.1))
            })
            .map(|(at, (_, _, engine))| (at, *engine))
    }

    fn commit(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        cost: ReadCost,
        value: f64,
        best: Candidate,
    ) -> PromptPlan {
        let reserves = self.reserves(ask, &best);
        self.book(now, ask, cost, value, &best);
        let main = &self.engines[&best.main];
        let passes = ask.answer_tokens as f64 / f64::from(main.facts.profile.steps_per_pass);
        let whole_ms = best.first_ms + passes * main.idle_pass_ms();
        let helper = |endpoint: &EndpointId| HelperPart {
            endpoint: endpoint.clone(),
            reserve_tokens: reserves.get(endpoint).copied(),
        };
        PromptPlan {
            main_reserve_tokens: reserves.get(&best.main).copied(),
            helpers: best.others.iter().map(helper).collect(),
            engine_priority: engine_priority(ask),
            first_event: Duration::from_secs_f64(best.first_ms / 1_000.0),
            whole: Duration::from_secs_f64(whole_ms / 1_000.0),
            main: best.main,
        }
    }

    /// Divides a prompt that the main engine's memory cannot hold among the group's engines, by
    /// what they have free. What is left over goes to the main engine.
    fn reserves(&self, ask: &PromptAsk, best: &Candidate) -> BTreeMap<EndpointId, u64> {
        let main = &self.engines[&best.main];
        let free = free_tokens(main).saturating_sub(ask.max_answer_tokens);
        let Some(mut lacking) = ask.prompt_tokens.checked_sub(free).filter(|lack| *lack > 0) else {
            return BTreeMap::new();
        };
        let mut roomy: Vec<(u64, &EndpointId)> =
            best.others.iter().map(|e| (free_tokens(&self.engines[e]), e)).collect();
        roomy.sort_by(|left, right| right.cmp(left));
        let mut reserves = BTreeMap::new();
        for (free, endpoint) in roomy {
            let part = free.min(lacking);
            if part > 0 {
                reserves.insert(endpoint.clone(), part);
                lacking -= part;
            }
        }
        reserves
    }

    fn book(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        cost: ReadCost,
        value: f64,
        best: &Candidate,
    ) {
        let parts = best.others.len() + 1;
        let part_ms = cost.part_ms(parts);
        let ms_per_token = cost.whole_ms / ask.prompt_tokens.max(1) as f64;
        let due = now + ask.objective;
        let mut used = vec![best.main.clone()];
        used.extend(best.others.iter().cloned());
        for endpoint in &used {
            let Some(engine) = self.engines.get_mut(endpoint) else { continue };
            let is_helper = *endpoint != best.main;
            spoil(engine, part_ms, ms_per_token);
            let read = ReadingPart { key: ask.key, left_ms: part_ms, is_helper, due, value };
            let at = if is_helper { helper_place(engine) } else { engine.reads.len() };
            engine.reads.insert(at, read);
        }
        if let Some(engine) = self.engines.get_mut(&best.main) {
            engine.answers.push(WritingAnswer {
                key: ask.key,
                context_tokens: ask.prompt_tokens,
                memory_tokens: ask.prompt_tokens + ask.answer_tokens,
                pause_ms: millis(ask.pause),
                value,
                has_begun: false,
                is_spoiled: false,
                left_tokens: ask.answer_tokens as f64,
            });
        }
        self.placed.insert(ask.key, used);
    }
}

/// Helpers' parts are read ahead of other prompts, behind earlier helpers' parts.
fn helper_place(engine: &EngineState) -> usize {
    engine.reads.iter().position(|read| !read.is_helper).unwrap_or(engine.reads.len())
}

fn has_short(engine: &EngineState) -> bool {
    engine.answers.iter().any(|answer| answer.pause_ms < SHORT_PAUSE_MS)
}

fn free_tokens(engine: &EngineState) -> u64 {
    let usable = (engine.facts.profile.memory_tokens as f64 * MEMORY_SHARE) as u64;
    usable.saturating_sub(engine.memory_tokens())
}

fn busy_order(left: &EngineState, right: &EngineState) -> std::cmp::Ordering {
    // Short prompts are packed: between equal engines, the one with more answers.
    left.backlog_ms()
        .total_cmp(&right.backlog_ms())
        .then_with(|| right.answers.len().cmp(&left.answers.len()))
}

/// Returns when an engine would be done with reading, in milliseconds from now.
fn read_end_ms(engine: &EngineState, part_ms: f64, is_helper: bool) -> f64 {
    let pass_ms = engine.idle_pass_ms();
    let writes = engine.answers.iter().any(|answer| answer.has_begun);
    let boundary = if writes { pass_ms / 2.0 } else { 0.0 };
    let ahead: f64 = if is_helper {
        engine.reads.iter().filter(|read| read.is_helper).map(|read| read.left_ms).sum()
    } else {
        engine.backlog_ms() + engine.slot_wait_ms()
    };
    let writing = if writes { pass_ms } else { 0.0 };
    boundary + ahead + part_ms + writing
}

/// Returns the value lost by a first event after `first_ms`.
fn lateness(first_ms: f64, ask: &PromptAsk, value: f64) -> f64 {
    late_share(first_ms / millis(ask.objective).max(1.0)) * value * LATE_LOSS
}

fn late_share(used: f64) -> f64 {
    ((used - TIGHT_FROM) / (TIGHT_TO - TIGHT_FROM)).clamp(0.0, 1.0)
}

/// Returns the longest pass while `part_ms` more is read.
fn longest_pass_ms(engine: &EngineState, part_ms: f64, ms_per_token: f64) -> f64 {
    let most = reading_per_pass_ms(&engine.facts.profile, ms_per_token);
    engine.idle_pass_ms() + (engine.backlog_ms() + part_ms).min(most.max(part_ms.min(most)))
}

/// Returns the value that the answers and prompts already at an engine lose by one more part.
fn damage(
    now: MonotonicTime,
    engine: &EngineState,
    part_ms: f64,
    ms_per_token: f64,
    goes_ahead: bool,
) -> f64 {
    let pass_ms = longest_pass_ms(engine, part_ms, ms_per_token);
    let paused: f64 = engine
        .answers
        .iter()
        .filter(|answer| !answer.is_spoiled)
        .map(|answer| late_share(pass_ms / answer.pause_ms.max(1.0)) * answer.value * LATE_LOSS)
        .sum();
    if !goes_ahead {
        return paused;
    }
    let mut end_ms = engine.idle_pass_ms();
    let mut delayed = 0.0;
    for read in &engine.reads {
        end_ms += read.left_ms;
        let left_ms = millis(read.due.since(now)).max(1.0);
        let before = late_share(end_ms / left_ms);
        let after = late_share((end_ms + part_ms) / left_ms);
        delayed += (after - before) * read.value * LATE_LOSS;
    }
    paused + delayed
}

/// Marks the answers whose next pause is longer than they bear.
fn spoil(engine: &mut EngineState, part_ms: f64, ms_per_token: f64) {
    let pass_ms = longest_pass_ms(engine, part_ms, ms_per_token);
    for answer in engine.answers.iter_mut().filter(|answer| answer.has_begun) {
        answer.is_spoiled |= pass_ms > answer.pause_ms * TIGHT_TO;
    }
}

/// Maps the objective to the engines' ranks: what is due soon is admitted first.
fn engine_priority(ask: &PromptAsk) -> u8 {
    match ask.objective.as_millis() {
        0..=500 => 2,
        501..=1_800 => 4,
        _ => 6,
    }
}
