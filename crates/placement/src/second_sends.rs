//! Places prompts on a second engine when their first one is slow.

use std::time::Duration;

use oriolepass_second_sends::has_clear_lead;
use oriolepass_units::{EndpointStart, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::appointment::ReturnTurn;
use crate::candidates::sample_engines;
use crate::choice::{best_of_size, build_plan};
use crate::cost::{EngineView, millis};
use crate::fleet::{EngineFleet, SILENCE_TTL, time_ms};
use crate::overload;
use crate::plan::{PlacementRefusal, PromptAsk, PromptKey, PromptPlan, RefusalReason};
use crate::scope::EngineScope;

/// The share of the engines' slots in use from which no second send takes one.
const MAX_USED_SHARE: f64 = 0.7;

/// The maximum loss of other answers through the reading of a second send, in units of value. It is
/// below the loss that one late pause counts for.
const MAX_DISTURBANCE: f64 = 0.05;

/// The time for which other engines are preferred to one that was slow with a prompt. It is a few
/// passes long, and an answer of the engine ends it.
const SLOW_SPAN: Duration = Duration::from_millis(1_000);

/// What a home needs to know of a prompt's first send to place a second one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondSend {
    /// The first send.
    pub first: PromptKey,
    /// The time that the first send is still expected to take, by the times of its kind.
    pub first_remaining: Duration,
}

impl EngineFleet {
    /// Places a second send of a prompt on one engine, without helpers, if that engine would begin
    /// clearly before the first send and no other prompt is disturbed. `is_allowed` is called with
    /// the work of reading the prompt, in milliseconds, once an engine is found, and decides
    /// whether the limit on second sends allows it.
    ///
    /// The engines of the first send, engines to avoid and those with limits are not used.
    ///
    /// # Errors
    ///
    /// Returns the reason why the prompt is not placed. Its retry delay has no meaning.
    pub fn place_second(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        second: &SecondSend,
        is_allowed: impl FnOnce(f64) -> bool,
    ) -> Result<PromptPlan, PlacementRefusal> {
        let (retry_after, turn) = (Duration::ZERO, ReturnTurn::default());
        let refuse = |reason| Err(PlacementRefusal { reason, retry_after, turn });
        if self.placed.contains_key(&ask.key) {
            self.ended(now, ask.key);
        }
        self.advance(now);
        if self.is_silence_common(now, &ask.service) {
            return refuse(RefusalReason::AllSlow);
        }
        let predicted_ms = self.farm.first_events(time_ms(now)).get(&second.first).copied();
        let remaining = second.first_remaining.max(duration(predicted_ms.unwrap_or_default()));
        let views = self.second_views(now, ask, second.first);
        let Some(profile) = views.first().map(|(e, _)| self.engines[e].facts.profile.clone())
        else {
            return refuse(RefusalReason::NoEngine);
        };
        let slots: usize = views.iter().map(|(_, view)| view.slots).sum();
        let used: usize = views.iter().map(|(_, view)| view.load).sum();
        if used as f64 >= slots as f64 * MAX_USED_SHARE {
            return refuse(RefusalReason::Crowded);
        }
        let endpoints: Vec<EndpointStart> = views.iter().map(|(e, _)| e.clone()).collect();
        let used_share = self.used_share(now, ask, &endpoints);
        let job = self.job(now, ask, &profile, &views, used_share);
        let is_harmless = |view: &EngineView| {
            view.pause_loss(job.cost.whole_ms, job.cap_ms, false) <= MAX_DISTURBANCE
        };
        let harmless: Vec<(EndpointStart, EngineView)> =
            views.iter().filter(|(_, view)| is_harmless(view)).cloned().collect();
        let Some(best) = best_of_size(&job, &harmless, 1) else {
            return refuse(RefusalReason::NoMemory);
        };
        if let Some(reason) = overload::refusal_reason(&job, &views, &best) {
            return refuse(reason);
        }
        if best.first_ms > millis(ask.deadline) {
            return refuse(RefusalReason::TooLate);
        }
        if !has_clear_lead(duration(best.first_ms), remaining) {
            return refuse(RefusalReason::NoLead);
        }
        if !is_allowed(job.cost.whole_ms) {
            return refuse(RefusalReason::SecondLimit);
        }
        let plan = build_plan(&job, &harmless, &profile, &best);
        let share = job.weight.share;
        self.record_plan(now, ask, &plan, false, share);
        self.prefer_others(now, second.first);
        Ok(plan)
    }

    /// Prefers other engines to the main engine of a slow prompt for a while, or until it answers.
    /// If the prompt is cancelled there, the engine would look idle and attract the next ones.
    fn prefer_others(&mut self, now: MonotonicTime, first: PromptKey) {
        let main = self.farm.engines_of(first).first();
        if let Some(engine) = main.and_then(|main| self.engines.get_mut(main)) {
            engine.slow_until = now + SLOW_SPAN;
        }
    }

    /// Returns the engines that a second send may use: not those of the first one, none that was
    /// silent recently, and none with a limit, whose permits are for first sends.
    fn second_views(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        first: PromptKey,
    ) -> Vec<(EndpointStart, EngineView)> {
        let is_other = |endpoint: &EndpointStart| {
            let entry = &self.engines[endpoint];
            let was_silent = entry.silent_at.is_some_and(|at| now.since(at) < SILENCE_TTL);
            !was_silent
                && entry.facts.limit.is_none()
                && !ask.avoid.contains(endpoint)
                && !self.engines_of(first).contains(endpoint)
        };
        let mut usable = self.usable(now, ask, EngineScope::All);
        usable.retain(is_other);
        if self.is_short(ask) {
            sample_engines(ask.key, &mut usable);
        }
        let firsts = self.farm.first_events(time_ms(now));
        let used_share = self.used_share(now, ask, &usable);
        let urgency = self.contention_of(ask).urgency(time_ms(now), used_share);
        usable
            .into_iter()
            .filter_map(|endpoint| self.view(now, endpoint, 0.0, &firsts, &urgency))
            .collect()
    }
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
