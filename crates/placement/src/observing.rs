//! Learns the real speeds of the engines from the progress of their prompts, and applies them to the
//! simulated engines.

use std::collections::BTreeSet;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime, ServiceName};

use crate::cost::{ReadCost, millis};
use crate::engine::EngineEntry;
use crate::fleet::{EngineFleet, time_ms};
use crate::passes::EnginePasses;
use crate::plan::{PromptAsk, PromptKey, PromptPlan};
use crate::speed::{
    EngineSpeed, ExpectedPace, JudgedEngine, ObservationKind, PaceNote, SpeedChange, SpeedEstimate,
    estimate_speeds,
};

/// Interval between estimates. It bounds their cost in a surge and is short compared with the time
/// in which an engine's speed changes.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a first event until its observation counts. An answer without a stream is reported as
/// begun when it is complete, and its prompt ends at once.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);

/// An observed first event.
#[derive(Debug)]
struct FirstEvent {
    at: MonotonicTime,
    key: PromptKey,
    ratio: f64,
}

/// The state of learning the engines' speeds.
#[derive(Debug, Default)]
pub(crate) struct SpeedState {
    estimated_at: Option<MonotonicTime>,
    /// First events that do not count yet.
    first_events: Vec<FirstEvent>,
    changes: Vec<SpeedChange>,
}

impl EngineFleet {
    /// Records the pace of answers that are written more slowly than predicted.
    pub fn observe_paces(&mut self, now: MonotonicTime, notes: &[PaceNote]) {
        if !self.features.learns_speeds || notes.is_empty() {
            return;
        }
        self.advance(now);
        for note in notes {
            let placed = self.placed.get_mut(&note.key);
            let pace = placed.and_then(|placed| placed.pace.as_mut());
            if let Some(ratio) = pace.and_then(|pace| pace.pause_ratio(note)) {
                self.observe(now, note.key, ObservationKind::Pauses, ratio);
            }
        }
    }

    /// Records a prompt's first event. The simulation must have been advanced to `now`.
    pub(crate) fn observe_first_event(&mut self, now: MonotonicTime, key: PromptKey) {
        let Some(main) = self.farm.engines_of(key).first() else { return };
        let Some(engine) = self.farm.engine(main) else { return };
        let (now_ms, work_ms) = (time_ms(now), engine.work_ms(time_ms(now)));
        let pace = self.placed.get(&key).and_then(|placed| placed.pace.as_ref());
        if let Some(ratio) = pace.and_then(|pace| pace.first_event_ratio(now_ms, work_ms)) {
            self.speeds.first_events.push(FirstEvent { at: now, key, ratio });
        }
    }

    /// Counts the first events whose answers go on.
    fn confirm_first_events(&mut self, now: MonotonicTime) {
        let is_confirmed = |event: &mut FirstEvent| now.since(event.at) >= CONFIRMATION_DELAY;
        let confirmed: Vec<FirstEvent> =
            self.speeds.first_events.extract_if(.., is_confirmed).collect();
        for FirstEvent { at, key, ratio } in confirmed {
            // The engines of a prompt that has ended are not known any more.
            self.observe(at, key, ObservationKind::FirstEvent, ratio);
        }
    }

    fn observe(&mut self, at: MonotonicTime, key: PromptKey, kind: ObservationKind, ratio: f64) {
        let main = self.farm.engines_of(key).first();
        if let Some(engine) = main.and_then(|main| self.engines.get_mut(main)) {
            engine.speed.observe(at, key.entry, kind, ratio);
        }
    }

    /// Returns the durations that the published profile predicts for a prompt, if speeds are
    /// learned.
    pub(crate) fn expected_pace(
        &self,
        now: MonotonicTime,
        ask: &PromptAsk,
        plan: &PromptPlan,
        begun: bool,
    ) -> Option<ExpectedPace> {
        if !self.features.learns_speeds {
            return None;
        }
        let engine = self.farm.engine(&plan.main)?;
        let profile = &self.engines.get(&plan.main)?.facts.profile;
        let read_ms = ReadCost::new(profile, ask.prompt_tokens).part_ms(plan.helpers.len() + 1);
        let own_pass_ms =
            read_ms + profile.step_ms.max(engine.writing_pass_ms() / engine.slowdown());
        let work_ms = engine.work_ms(time_ms(now));
        Some(ExpectedPace {
            placed_ms: time_ms(now),
            first_event_ms: millis(plan.first_event) / engine.slowdown(),
            own_pass_ms,
            pause_ms: millis(plan.pause(ask.answer_tokens, profile.steps_per_pass))
                / engine.slowdown(),
            is_unsplit: plan.helpers.is_empty(),
            placed_work_ms: work_ms,
            first_work_ms: begun.then_some(work_ms),
            last_work_ms: work_ms,
            counted_work_ms: work_ms,
            pauses: 0,
        })
    }

    /// Advances the simulation to `now`.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        let events = self.farm.advance(time_ms(now));
        if !self.features.learns_speeds {
            return;
        }
        for event in events {
            let placed = self.placed.get_mut(&event.key);
            if let Some(pace) = placed.and_then(|placed| placed.pace.as_mut()) {
                pace.record_event(event.work_ms);
            }
        }
    }

    /// Estimates the speeds of all engines anew and applies them, unless that was done recently.
    pub(crate) fn update_speeds(&mut self, now: MonotonicTime) {
        if !self.features.learns_speeds {
            if self.speeds.estimated_at.take().is_some() {
                self.forget_speeds(now);
            }
            return;
        }
        let is_due = |at: MonotonicTime| now.since(at) >= ESTIMATE_INTERVAL;
        if !self.speeds.estimated_at.is_none_or(is_due) {
            return;
        }
        self.speeds.estimated_at = Some(now);
        self.confirm_first_events(now);
        self.engines.values_mut().for_each(|engine| engine.speed.expire(now));
        let farm = &self.farm;
        let is_estimated = |(endpoint, engine): &(&EndpointStart, &EngineEntry)| {
            let slowdown = farm.engine(endpoint).map_or(1.0, EnginePasses::slowdown);
            slowdown > 1.0 || !engine.speed.is_unknown()
        };
        let estimated = self.engines.iter().filter(is_estimated);
        let services: BTreeSet<ServiceName> =
            estimated.map(|(_, engine)| engine.facts.service.clone()).collect();
        services.iter().for_each(|service| self.update_speeds_of(now, service));
    }

    fn update_speeds_of(&mut self, now: MonotonicTime, service: &ServiceName) {
        let of_service: Vec<(&EndpointStart, &EngineEntry)> =
            self.engines.iter().filter(|(_, engine)| engine.facts.service == *service).collect();
        let judged: Vec<JudgedEngine<'_>> =
            of_service.iter().map(|(_, engine)| self.judged_engine(engine)).collect();
        let estimates = estimate_speeds(now, &judged);
        let endpoints: Vec<EndpointStart> =
            of_service.into_iter().map(|(endpoint, _)| endpoint.clone()).collect();
        for (endpoint, estimate) in endpoints.into_iter().zip(estimates) {
            self.apply_speed(now, endpoint, estimate);
        }
    }

    fn judged_engine<'a>(&self, engine: &'a EngineEntry) -> JudgedEngine<'a> {
        let mains = || engine.mains.iter().filter_map(|key| Some((key, self.placed.get(key)?)));
        let mut writers: Vec<u64> =
            mains().filter(|(_, placed)| placed.has_begun).map(|(key, _)| key.entry).collect();
        writers.sort_unstable();
        writers.dedup();
        JudgedEngine {
            speed: &engine.speed,
            writers,
            has_probe: mains().any(|(_, placed)| !placed.has_begun),
        }
    }

    fn apply_speed(
        &mut self,
        now: MonotonicTime,
        endpoint: EndpointStart,
        estimate: SpeedEstimate,
    ) {
        let SpeedEstimate { slowdown, unfaded, observations, entries, common } = estimate;
        if self.farm.engine(&endpoint).is_some_and(|engine| engine.slowdown() != slowdown) {
            self.farm.set_slowdown(time_ms(now), &endpoint, slowdown);
        }
        let Some(engine) = self.engines.get_mut(&endpoint) else { return };
        engine.speed.unfaded = unfaded;
        if engine.speed.update_slow(slowdown) {
            let is_slow = engine.speed.is_slow();
            self.speeds.changes.push(SpeedChange {
                endpoint,
                is_slow,
                slowdown,
                observations,
                entries,
                common,
            });
        }
    }

    /// Records that a prompt was placed on an engine: while it waits for its first event, the
    /// engine's estimate does not fade.
    pub(crate) fn record_probe(&mut self, now: MonotonicTime, endpoint: &EndpointStart) {
        let unfaded = self.engines.get(endpoint).map_or(1.0, |engine| engine.speed.unfaded);
        if self.farm.engine(endpoint).is_some_and(|engine| engine.slowdown() < unfaded) {
            self.farm.set_slowdown(time_ms(now), endpoint, unfaded);
        }
    }

    /// Makes all engines count as of published speed.
    fn forget_speeds(&mut self, now: MonotonicTime) {
        self.speeds.first_events.clear();
        for (endpoint, engine) in &mut self.engines {
            engine.speed = EngineSpeed::default();
            self.farm.set_slowdown(time_ms(now), endpoint, 1.0);
        }
    }

    /// Returns the engines that began or ceased to count as slow since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.speeds.changes)
    }

    /// Returns the number of engines that count as slow.
    pub fn slow_engines(&self) -> usize {
        self.engines.values().filter(|engine| engine.speed.is_slow()).count()
    }
}
