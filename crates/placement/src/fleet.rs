//! Tracks the engines of all services and the prompts placed on them, and chooses the engines for a
//! prompt.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use oriolepass_limits::PermitQueue;
use oriolepass_routing::EngineProfile;
use oriolepass_units::{EndpointStart, MonotonicTime, ServiceName};

use crate::appointment::ReturnTurn;
use crate::appointment_book::AppointmentBook;
use crate::candidates::{gather_weight, least_disturbing, rendezvous_hash, sample_engines};
use crate::choice::{Job, best_group, build_plan, without_backlog};
use crate::contention::ServiceContention;
use crate::cost::{EngineView, Neighbour, ReadCost, WaitingPart, millis};
use crate::demand::{DemandMeter, RecordedPrompt};
use crate::engine::{EngineEntry, EngineFacts};
use crate::farm::EngineFarm;
use crate::features::PlacementFeatures;
use crate::observing::SpeedState;
use crate::overload::{self, WorkLine};
use crate::passes::EnginePasses;
use crate::plan::{PlacementRefusal, PromptAsk, PromptKey, PromptPlan, RefusalReason};
use crate::scope::EngineScope;
use crate::tracking::PlacedPrompt;
use crate::urgency::UrgencyWeights;

/// Share of an engine's memory that placements use. The rest, a sixteenth for sixteen slots, is for
/// answers longer than expected.
const USABLE_MEMORY_SHARE: f64 = 0.94;

/// Time without new work for an engine after its first failure, a few passes long. It doubles with
/// each further failure.
pub(crate) const FAILURE_BACKOFF: Duration = Duration::from_millis(400);

/// Share of a service's engines above which a simultaneous silence is not attributed to the single
/// engines. The usual faults of the platform affect 15 % of the engines at a time.
const COMMON_SILENCE_SHARE: f64 = 0.25;

/// Time for which a reported silence counts as present.
pub(crate) const SILENCE_TTL: Duration = Duration::from_millis(2_000);

/// The engines of all services, as seen by one home.
#[derive(Debug, Default)]
pub struct EngineFleet {
    pub(crate) engines: BTreeMap<EndpointStart, EngineEntry>,
    pub(crate) farm: EngineFarm,
    pub(crate) placed: BTreeMap<PromptKey, PlacedPrompt>,
    pub(crate) demand: BTreeMap<ServiceName, DemandMeter>,
    /// The prompts that wait for permits of engines with limits.
    pub(crate) permit_queues: BTreeMap<ServiceName, PermitQueue>,
    /// What competes for the engines of each service.
    contention: BTreeMap<ServiceName, ServiceContention>,
    pub(crate) features: PlacementFeatures,
    pub(crate) speeds: SpeedState,
    /// The turns of refused prompts.
    pub(crate) appointments: BTreeMap<ServiceName, AppointmentBook>,
}

pub(crate) fn time_ms(now: MonotonicTime) -> f64 {
    now.0 as f64 / 1_000.0
}

impl EngineFleet {
    /// Sets which optional parts of the placement take effect.
    pub fn set_features(&mut self, features: PlacementFeatures) {
        self.features = features;
        if !features.keeps_appointments {
            self.appointments.clear();
        }
    }

    /// Replaces the set of known engines.
    pub fn update(&mut self, facts: Vec<EngineFacts>) {
        let present: BTreeSet<EndpointStart> = facts.iter().map(|f| f.endpoint.clone()).collect();
        self.engines.retain(|endpoint, _| present.contains(endpoint));
        self.farm.retain(|endpoint| present.contains(endpoint));
        for fact in facts {
            self.farm.add(&fact.endpoint, &fact.profile);
            match self.engines.get_mut(&fact.endpoint) {
                Some(engine) => engine.facts = fact,
                None => {
                    self.engines.insert(fact.endpoint.clone(), EngineEntry::new(fact));
                }
            }
        }
    }

    /// Returns the engines of a placed prompt, the main engine first.
    pub fn engines_of(&self, key: PromptKey) -> &[EndpointStart] {
        self.farm.engines_of(key)
    }

    /// Records that an engine has been silent for a while. Returns whether that is expected,
    /// because the engine is reading or because so many engines are silent that the cause lies
    /// elsewhere.
    pub fn explains_silence(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointStart,
        silence: Duration,
    ) -> bool {
        self.advance(now);
        self.update_speeds(now);
        let engine = self.farm.engine(endpoint);
        if engine.is_some_and(|engine| engine.explains_silence(time_ms(now), millis(silence))) {
            return true;
        }
        let Some(entry) = self.engines.get_mut(endpoint) else { return false };
        entry.silent_at = Some(now);
        let service = entry.facts.service.clone();
        self.is_silence_common(now, &service)
    }

    /// Returns whether so many engines of a service are silent that moving their prompts would only
    /// make the other engines read the same prompts again.
    pub(crate) fn is_silence_common(&self, now: MonotonicTime, service: &ServiceName) -> bool {
        let of_service = || self.engines.values().filter(|e| e.facts.service == *service);
        let is_silent =
            |engine: &&EngineEntry| engine.silent_at.is_some_and(|at| now.since(at) < SILENCE_TTL);
        let silent = of_service().filter(is_silent).count() as f64;
        silent > 1.0 && silent > of_service().count() as f64 * COMMON_SILENCE_SHARE
    }

    /// Returns the number of prompts that are placed at present.
    pub fn placed_count(&self) -> usize {
        self.placed.len()
    }

    /// Places a prompt on the best of all engines.
    ///
    /// # Errors
    ///
    /// Returns the reason and a retry delay if the prompt is not placed.
    pub fn place(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
    ) -> Result<PromptPlan, PlacementRefusal> {
        self.place_among(now, ask, EngineScope::All)
    }

    /// Places a prompt on the best engines of a scope.
    ///
    /// # Errors
    ///
    /// Returns the reason and a retry delay if the prompt is not placed.
    pub fn place_among(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        scope: EngineScope,
    ) -> Result<PromptPlan, PlacementRefusal> {
        let weighs_urgency = self.features.weighs_urgency;
        self.contention_of(ask).record_ask(time_ms(now), ask, weighs_urgency);
        self.choose_plan(now, ask, scope)
    }

    /// Returns what competes for the engines of a prompt's service.
    pub(crate) fn contention_of(&mut self, ask: &PromptAsk) -> &mut ServiceContention {
        self.contention.entry(ask.service.clone()).or_default()
    }

    /// Returns the time that one engine needs to read a placed prompt, in milliseconds.
    pub fn work_ms(&self, key: PromptKey) -> Option<f64> {
        self.placed.get(&key).map(|placed| placed.work_ms)
    }

    /// Returns the number of client accounts that lately used more than their fair share of a
    /// service's engines, over all services.
    pub fn accounts_over_share(&self, now: MonotonicTime) -> usize {
        self.contention.values().map(|contention| contention.over_share(time_ms(now))).sum()
    }

    fn choose_plan(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        scope: EngineScope,
    ) -> Result<PromptPlan, PlacementRefusal> {
        // If the prompt is placed already, the response to the earlier request was lost, and the
        // new placement replaces the earlier one.
        if self.placed.contains_key(&ask.key) {
            self.ended(now, ask.key);
        }
        self.advance(now);
        self.update_speeds(now);
        let usable = scope.narrow(self.usable(now, ask, scope), self.is_short(ask));
        let mut usable = self.with_permits(now, ask, scope, usable)?;
        let engines = usable.len();
        if self.is_short(ask) {
            sample_engines(ask.key, &mut usable);
        }
        let meter = self.demand.entry(ask.service.clone()).or_default();
        let helped_share = meter.long_demand(time_ms(now)).helped_share(usable.len());
        // Short prompts have no helpers, so they delay the reading of no other prompt.
        let firsts =
            if self.is_short(ask) { BTreeMap::new() } else { self.farm.first_events(time_ms(now)) };
        let used_share = self.used_share(now, ask, &usable);
        let urgency = self.contention_of(ask).urgency(time_ms(now), used_share);
        let mut views: Vec<(EndpointStart, EngineView)> = usable
            .into_iter()
            .filter_map(|endpoint| self.view(now, endpoint, helped_share, &firsts, &urgency))
            .collect();
        let gather_weight = gather_weight(&views);
        if gather_weight < 1.0 {
            views.iter_mut().for_each(|(_, view)| view.gather_weight = gather_weight);
            // Breaks ties differently for each prompt. In a fixed order, homes that place
            // independently would choose the same idle engines.
            views.sort_by_cached_key(|(endpoint, _)| rendezvous_hash(ask.key, endpoint));
        }
        let Some(profile) = views.first().map(|(e, _)| Arc::clone(&self.engines[e].facts.profile))
        else {
            return Err(PlacementRefusal {
                reason: RefusalReason::NoEngine,
                retry_after: FAILURE_BACKOFF,
                turn: ReturnTurn::Unknown,
            });
        };
        let job = self.job(now, ask, &profile, &views, used_share);
        let hold_ms = self.demand.get(&ask.service).map_or(0.0, DemandMeter::hold_ms);
        let line = self.keeps_turns(scope).then(|| WorkLine::new(&job, &views, engines, hold_ms));
        let has_turn = line.is_some() && self.has_turn(now, ask);
        // A prompt that cannot wait for its turn at its entry takes the engines as they are.
        let waits = line.as_ref().is_none_or(|line| self.can_wait(&job, line));
        let views = if has_turn || !waits { views } else { without_backlog(&job, views) };
        if views.is_empty() {
            return Err(self.refuse_for_load(now, &job, line.as_ref(), RefusalReason::Backlog));
        }
        let separate =
            ask.is_suspect.then(|| best_group(&job, &least_disturbing(&views))).flatten();
        let best = separate.or_else(|| best_group(&job, &views)).ok_or(PlacementRefusal {
            reason: RefusalReason::NoMemory,
            retry_after: FAILURE_BACKOFF,
            turn: ReturnTurn::Unknown,
        })?;
        let delays_turns = || {
            let reason =
                if job.cost.is_short() { RefusalReason::Crowded } else { RefusalReason::TooDear };
            line.as_ref().is_some_and(|line| self.delays_turns(now, &job, line)).then_some(reason)
        };
        let reason = overload::refusal_reason(&job, &views, &best).or_else(delays_turns);
        let is_served_in_turn = has_turn && overload::is_served_in_turn(&job, &best);
        if let Some(reason) = reason.filter(|_| !is_served_in_turn) {
            return Err(self.refuse_for_load(now, &job, line.as_ref(), reason));
        }
        if best.first_ms > millis(ask.deadline) {
            // The prompt would only take engines from prompts that can still be on time.
            let spare_ms = (best.first_ms - millis(ask.deadline)).clamp(500.0, 4_000.0);
            let retry_after = Duration::from_secs_f64(spare_ms / 1_000.0);
            let turn = if line.is_some() { ReturnTurn::Timed } else { ReturnTurn::Unknown };
            return Err(PlacementRefusal { reason: RefusalReason::TooLate, retry_after, turn });
        }
        let plan = build_plan(&job, &views, &profile, &best);
        let (is_short, value, work_ms) = (job.cost.is_short(), job.value, job.cost.whole_ms);
        let weight = job.weight;
        self.record_plan(now, ask, &plan, false, weight.share);
        self.record_return(now, ask);
        let meter = self.demand.entry(ask.service.clone()).or_default();
        if is_short {
            meter.record_short(time_ms(now), millis(plan.whole), weight.whole());
        } else {
            let recorded = RecordedPrompt { recorded_ms: time_ms(now), value, work_ms };
            meter.record_long(&recorded);
            if let Some(placed) = self.placed.get_mut(&ask.key) {
                placed.demand = Some((ask.service.clone(), recorded));
            }
        }
        Ok(plan)
    }

    /// Returns the share of engines that is in use: that of the time that long prompts take, or
    /// that of the slots, whichever is larger.
    pub(crate) fn used_share(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        usable: &[EndpointStart],
    ) -> f64 {
        let meter = self.demand.entry(ask.service.clone()).or_default();
        let busy_share = meter.long_demand(time_ms(now)).busy_share(usable.len());
        let slots = |endpoint| {
            let slots = self.engines.get(endpoint)?.facts.profile.slots as usize;
            Some((self.farm.engine(endpoint)?.load().min(slots), slots))
        };
        let (taken, all) = usable
            .iter()
            .filter_map(slots)
            .fold((0, 0), |sum, (taken, all)| (sum.0 + taken, sum.1 + all));
        busy_share.max(taken as f64 / all.max(1) as f64)
    }

    pub(crate) fn is_short(&self, ask: &PromptAsk) -> bool {
        let mut profiles = self.engines.values().filter(|e| e.facts.service == ask.service);
        let profile = profiles.next().map(|engine| &engine.facts.profile);
        profile.is_some_and(|profile| ReadCost::new(profile, ask.prompt_tokens).is_short())
    }

    pub(crate) fn job<'a>(
        &mut self,
        now: MonotonicTime,
        ask: &'a PromptAsk,
        profile: &EngineProfile,
        views: &[(EndpointStart, EngineView)],
        used_share: f64,
    ) -> Job<'a> {
        let cost = ReadCost::new(profile, ask.prompt_tokens);
        let per_pass = profile.prefill_tokens_per_step * u64::from(profile.steps_per_pass);
        let ms_per_token = cost.whole_ms / ask.prompt_tokens.max(1) as f64;
        let meter = self.demand.entry(ask.service.clone()).or_default();
        let long_demand = meter.long_demand(time_ms(now));
        let demand = meter.demand(time_ms(now), profile);
        let shares_accounts = self.features.shares_accounts;
        let weight = self.contention_of(ask).weight(time_ms(now), ask, used_share, shares_accounts);
        Job {
            value: cost.value() * weight.whole(),
            weight,
            cap_ms: (per_pass as f64 * ms_per_token).max(1.0),
            engines: views.len(),
            clear: views.iter().filter(|(_, view)| view.is_clear()).count(),
            demand,
            long_demand,
            ask,
            cost,
        }
    }

    /// Returns the present state of an engine. `firsts` holds the expected first events of all
    /// prompts. It is empty for a prompt that delays no others, and the waiting prompts are then
    /// left out.
    pub(crate) fn view(
        &self,
        now: MonotonicTime,
        endpoint: EndpointStart,
        helped_share: f64,
        firsts: &BTreeMap<PromptKey, f64>,
        urgency: &UrgencyWeights,
    ) -> Option<(EndpointStart, EngineView)> {
        let now_ms = time_ms(now);
        let entry = self.engines.get(&endpoint)?;
        let engine = self.farm.engine(&endpoint)?;
        let profile = &entry.facts.profile;
        let usable_tokens = (profile.memory_tokens as f64 * USABLE_MEMORY_SHARE) as u64;
        let view = EngineView {
            residual_ms: engine.residual_ms(now_ms),
            unread_ms: engine.unread_ms(),
            writing_pass_ms: engine.writing_pass_ms(),
            slot_free_in_ms: engine.slot_free_in_ms(),
            load: engine.load(),
            slots: profile.slots as usize,
            usable_tokens,
            free_tokens: usable_tokens.saturating_sub(engine.held_tokens()),
            neighbours: entry
                .mains
                .iter()
                .filter_map(|key| self.neighbour(*key, firsts, urgency))
                .collect(),
            waiting: self.waiting(now_ms, engine, firsts, urgency),
            helped_share,
            gather_weight: 1.0,
            slowdown: engine.slowdown(),
            slow_pass_ms: if engine.slowdown() > 1.0 { engine.single_pass_ms() } else { 0.0 },
        };
        Some((endpoint, view))
    }

    /// Returns what determines how another prompt disturbs this one on its engine.
    fn neighbour(
        &self,
        key: PromptKey,
        firsts: &BTreeMap<PromptKey, f64>,
        urgency: &UrgencyWeights,
    ) -> Option<Neighbour> {
        let placed = self.placed.get(&key)?;
        Some(Neighbour {
            value: placed.value * urgency.weight(placed.priority),
            pause_ms: placed.pause_ms.max(1.0),
            caller_timeout_ms: placed.caller_timeout_ms,
            has_begun: placed.has_begun,
            begins_in_ms: firsts.get(&key).copied().unwrap_or_default(),
            has_late_pause: placed.has_late_pause,
            is_short: placed.is_short,
            is_suspect: placed.is_suspect,
        })
    }

    /// Returns the unread parts on an engine whose prompts wait for their first event, in the order
    /// of reading.
    fn waiting(
        &self,
        now_ms: f64,
        engine: &EnginePasses,
        firsts: &BTreeMap<PromptKey, f64>,
        urgency: &UrgencyWeights,
    ) -> Vec<WaitingPart> {
        if firsts.is_empty() {
            return Vec::new();
        }
        let residual_ms = engine.residual_ms(now_ms);
        let waiting_part = |(key, read_ms): (PromptKey, f64)| {
            let placed = self.placed.get(&key)?;
            Some(WaitingPart {
                key,
                value: placed.value * urgency.weight(placed.priority),
                read_in_ms: residual_ms + read_ms,
                first_in_ms: *firsts.get(&key)?,
                due_in_ms: placed.due_ms - now_ms,
            })
        };
        engine.unread_parts().filter_map(waiting_part).collect()
    }
}
