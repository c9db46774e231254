//! Keeps track of the prompts that are placed and of the failures of their engines.

use oriolepass_units::{EndpointStart, MonotonicTime, ServiceName};

use crate::contention;
use crate::cost::{ReadCost, caller_timeout_ms, millis};
use crate::demand::RecordedPrompt;
use crate::engine::EngineEntry;
use crate::fleet::{EngineFleet, FAILURE_BACKOFF, time_ms};
use crate::passes::PassPrompt;
use crate::plan::{PromptAsk, PromptKey, PromptPlan};
use crate::speed::ExpectedPace;

/// Maximum number of doublings of [`FAILURE_BACKOFF`], which gives 6.4 s: longer than most faults
/// of the platform last.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Maximum share of a service's engines in backoff at a time. More would overload the remaining
/// engines.
const MAX_BACKOFF_SHARE: f64 = 0.5;

/// Ratio of a predicted pause to the longest one on time from which the pause is late despite the
/// prediction error.
const SURELY_LATE_PAUSE_RATIO: f64 = 1.2;

/// A prompt on its engines.
#[derive(Debug, Clone)]
pub(crate) struct PlacedPrompt {
    /// The value of the prompt, multiplied by the part of its weight that does not change.
    pub(crate) value: f64,
    /// The priority, by which the value is weighed in addition.
    pub(crate) priority: Option<u8>,
    /// Time that one engine needs to read the prompt.
    pub(crate) work_ms: f64,
    pub(crate) pause_ms: f64,
    pub(crate) caller_timeout_ms: f64,
    pub(crate) due_ms: f64,
    pub(crate) has_begun: bool,
    pub(crate) has_late_pause: bool,
    pub(crate) is_short: bool,
    pub(crate) is_suspect: bool,
    /// What this home recorded of a long prompt, with the service.
    pub(crate) demand: Option<(ServiceName, RecordedPrompt)>,
    /// Whether the main engine has failed a request since.
    pub(crate) main_failed: bool,
    /// The expected times of its events, if speeds are learned.
    pub(crate) pace: Option<ExpectedPace>,
}

impl EngineFleet {
    /// Records a prompt that another home placed, so that its engines count as busy. If this home
    /// placed the prompt on a different main engine, its response to the entry came too late, and
    /// the other home's placement applies.
    pub fn adopt(&mut self, now: MonotonicTime, ask: &PromptAsk, plan: &PromptPlan, begun: bool) {
        let has_same_main = self.farm.engines_of(ask.key).first() == Some(&plan.main);
        if has_same_main || !self.engines.contains_key(&plan.main) {
            return;
        }
        if self.placed.contains_key(&ask.key) {
            self.ended(now, ask.key);
        }
        self.advance(now);
        let weighs_urgency = self.features.weighs_urgency;
        self.contention_of(ask).record_ask(time_ms(now), ask, weighs_urgency);
        self.record_plan(now, ask, plan, begun, 1.0);
    }

    /// Records that a prompt's first event has come.
    pub fn first_event(&mut self, now: MonotonicTime, key: PromptKey) {
        let now_ms = time_ms(now);
        let Some(placed) = self.placed.get_mut(&key) else { return };
        let is_first = !std::mem::replace(&mut placed.has_begun, true);
        self.advance(now);
        if is_first {
            self.observe_first_event(now, key);
        }
        self.farm.first_event(now_ms, key);
        for endpoint in self.farm.engines_of(key) {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.failures = 0;
                engine.slow_until = MonotonicTime::ZERO;
            }
        }
    }

    /// Records the end of a prompt, regardless of how it ended.
    pub fn ended(&mut self, now: MonotonicTime, key: PromptKey) {
        self.advance(now);
        if let Some(main) = self.farm.engines_of(key).first()
            && let Some(engine) = self.engines.get_mut(main)
        {
            engine.mains.retain(|other| *other != key);
        }
        self.farm.remove(key);
        if let Some(placed) = self.placed.remove(&key)
            && placed.main_failed
            && !placed.has_begun
            && let Some((service, recorded)) = placed.demand
            && let Some(meter) = self.demand.get_mut(&service)
        {
            meter.withdraw_long(time_ms(now), &recorded);
        }
    }

    /// Removes the prompts of entries that are gone.
    pub fn forget_entries(&mut self, now: MonotonicTime, is_gone: impl Fn(u64) -> bool) {
        let gone: Vec<PromptKey> =
            self.placed.keys().filter(|key| is_gone(key.entry)).copied().collect();
        gone.into_iter().for_each(|key| self.ended(now, key));
    }

    /// Records that an engine failed a request. The engine gets no new work for a while. If too many
    /// engines are in backoff already, it replaces the one that has had the most time to recover.
    pub fn failed(&mut self, now: MonotonicTime, endpoint: &EndpointStart) {
        let Some(service) = self.engines.get(endpoint).map(|e| e.facts.service.clone()) else {
            return;
        };
        let of_service = self.engines.values().filter(|e| e.facts.service == service);
        let (all, in_backoff) = of_service.fold((0.0, 0.0), |(all, in_backoff), engine| {
            let is_other = engine.facts.endpoint != *endpoint && now < engine.backoff_until;
            (all + 1.0, in_backoff + f64::from(u8::from(is_other)))
        });
        let is_full = in_backoff + 1.0 > all * MAX_BACKOFF_SHARE;
        let rested = is_full.then(|| self.longest_in_backoff(now, &service)).flatten();
        let Some(engine) = self.engines.get_mut(endpoint) else { return };
        for key in &engine.mains {
            if let Some(placed) = self.placed.get_mut(key) {
                placed.main_failed = true;
            }
        }
        engine.failures += 1;
        engine.failed_at = now;
        let is_replacing = rested.is_some() && now >= engine.backoff_until;
        if !is_full || is_replacing {
            let doublings = (engine.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
            engine.backoff_until = now + FAILURE_BACKOFF * 2_u32.pow(doublings);
        }
        let replaced = rested.filter(|_| is_replacing);
        if let Some(replaced) = replaced.and_then(|endpoint| self.engines.get_mut(&endpoint)) {
            replaced.backoff_until = now;
        }
    }

    /// Returns the engine in backoff of a service whose last failure is the earliest, unless that is
    /// as recent as the failures of engines that fail together.
    fn longest_in_backoff(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
    ) -> Option<EndpointStart> {
        let is_in_backoff = |engine: &&EngineEntry| {
            let is_recent = now.since(engine.failed_at) < FAILURE_BACKOFF;
            engine.facts.service == *service && now < engine.backoff_until && !is_recent
        };
        let in_backoff = self.engines.values().filter(is_in_backoff);
        in_backoff.min_by_key(|engine| engine.failed_at).map(|e| e.facts.endpoint.clone())
    }

    /// Records a placed prompt with the part of its weight that does not change.
    pub(crate) fn record_plan(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        plan: &PromptPlan,
        begun: bool,
        weight: f64,
    ) {
        let pace = self.expected_pace(now, ask, plan, begun);
        let Some(main) = self.engines.get_mut(&plan.main) else { return };
        let cost = ReadCost::new(&main.facts.profile, ask.prompt_tokens);
        main.mains.push(ask.key);
        main.record_placement(now);
        if !begun {
            self.charge_permits(now, plan);
        }
        let parts = plan.helpers.len() + 1;
        let prompt = PassPrompt {
            key: ask.key,
            prompt_tokens: ask.prompt_tokens,
            parts: u32::try_from(parts).unwrap_or(u32::MAX),
            answer_tokens: ask.answer_tokens,
            priority: plan.engine_priority,
            tokens_at_helpers: plan.helpers.iter().filter_map(|helper| helper.reserve_tokens).sum(),
        };
        let engines: Vec<EndpointStart> = std::iter::once(&plan.main)
            .chain(plan.helpers.iter().map(|helper| &helper.endpoint))
            .cloned()
            .collect();
        if begun {
            // All parts have been read. Simulating their reading again would end passes in which
            // parts of other prompts are read, and those parts would count as read too early.
            self.farm.take_written(time_ms(now), &plan.main, &plan.helpers, &prompt);
        } else {
            self.mark_late_pauses(cost.part_ms(parts), &engines);
            self.farm.take(time_ms(now), &plan.main, &plan.helpers, &prompt);
        }
        let placed = PlacedPrompt {
            value: cost.value() * weight,
            priority: contention::priority(ask),
            work_ms: cost.whole_ms,
            pause_ms: millis(ask.pause),
            caller_timeout_ms: caller_timeout_ms(ask),
            due_ms: time_ms(now) + millis(ask.objective),
            has_begun: begun,
            has_late_pause: false,
            is_short: cost.is_short(),
            is_suspect: ask.is_suspect,
            demand: None,
            main_failed: false,
            pace,
        };
        self.placed.insert(ask.key, placed);
        if !begun {
            self.record_probe(now, &plan.main);
        }
        self.contention_of(ask).record_work(time_ms(now), ask, cost.whole_ms);
    }

    /// Charges a request to the main engine of a plan, and its part of the prompt to each helper.
    fn charge_permits(&mut self, now: MonotonicTime, plan: &PromptPlan) {
        let helpers = plan.helpers.iter().map(|helper| &helper.endpoint);
        for endpoint in std::iter::once(&plan.main).chain(helpers) {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.charge_permit(now);
            }
        }
    }

    /// Marks the answers whose next pause will be too long, so that the next prompt may use engines
    /// whose answers are late anyway.
    fn mark_late_pauses(&mut self, part_ms: f64, engines: &[EndpointStart]) {
        for endpoint in engines {
            let (Some(entry), Some(engine)) =
                (self.engines.get(endpoint), self.farm.engine(endpoint))
            else {
                continue;
            };
            let own_ms = part_ms * engine.slowdown();
            let pass_ms = engine.writing_pass_ms() + engine.unread_ms() + own_ms;
            for key in &entry.mains {
                if let Some(placed) = self.placed.get_mut(key).filter(|placed| placed.has_begun) {
                    placed.has_late_pause |= pass_ms > placed.pause_ms * SURELY_LATE_PAUSE_RATIO;
                }
            }
        }
    }
}
