//! Tracks the engines of all services and the prompts placed on them, and chooses the engines for a
//! prompt.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use oriolepass_limits::{
    IssuerRole, PermitBucket, PermitForecast, PermitQueue, PermitWaiter, QueueVerdict, RequestRank,
    WaiterId,
};
use oriolepass_routing::EngineProfile;
use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate, ServiceName};

use crate::choice::{Candidate, Job, best_group, reserves, without_backlog};
use crate::cost::{EngineView, Neighbour, ReadCost, WaitingPart, caller_timeout_ms, millis};
use crate::crowd::is_crowded_out;
use crate::demand::{DemandMeter, RecordedPrompt};
use crate::farm::EngineFarm;
use crate::passes::{EnginePasses, PassPrompt};
use crate::plan::{HelperPart, PlacementRefusal, PromptAsk, PromptKey, PromptPlan, RefusalReason};
use crate::scope::EngineScope;

/// Share of an engine's memory that placements use. The rest, a sixteenth for sixteen slots, is for
/// answers longer than expected.
const USABLE_MEMORY_SHARE: f64 = 0.94;

/// Time without new work for an engine after its first failure, a few passes long. It doubles with
/// each further failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum number of doublings of [`FAILURE_BACKOFF`], which gives 6.4 s: longer than most faults
/// of the platform last.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Maximum share of a service's engines in backoff at a time. More would overload the remaining
/// engines.
const MAX_BACKOFF_SHARE: f64 = 0.5;

/// Retry delay of a prompt that is refused because of load. Surges last longer, but callers spend
/// at most a third of their time on waiting.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(4_000);

/// Share of a service's engines above which a simultaneous silence is not attributed to the single
/// engines. The usual faults of the platform affect 15 % of the engines at a time.
const COMMON_SILENCE_SHARE: f64 = 0.25;

/// Time for which a reported silence counts as present.
const SILENCE_TTL: Duration = Duration::from_millis(2_000);

/// The state of an engine according to its own announcements.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFacts {
    /// The engine.
    pub endpoint: EndpointStart,
    /// The service to which the engine belongs.
    pub service: ServiceName,
    /// Whether the engine accepts new work.
    pub takes_work: bool,
    /// Maximum number of prompts placed on the engine within a second, if limited.
    pub max_prompts_per_s: Option<u32>,
    /// The request rate that the engine takes from all instances together, if it names one.
    pub limit: Option<RequestRate>,
    /// The published behaviour of the engine.
    pub profile: Arc<EngineProfile>,
}

#[derive(Debug)]
struct EngineEntry {
    facts: EngineFacts,
    /// End of the backoff after a failure; no new work is placed before.
    backoff_until: MonotonicTime,
    failures: u32,
    /// Time of the last silence that no reading explains.
    silent_at: Option<MonotonicTime>,
    /// The prompts whose main engine this is.
    mains: Vec<PromptKey>,
    /// Times of recent placements. Times that no longer count are removed with the next placement.
    recent_placements: VecDeque<MonotonicTime>,
    /// The permits of an engine that names a limit.
    permits: Option<PermitBucket>,
}

impl EngineEntry {
    /// Sets the rate at which permits are issued from now on.
    fn update_permits(&mut self, now: MonotonicTime, role: IssuerRole) {
        let Some(limit) = self.facts.limit else {
            self.permits = None;
            return;
        };
        let rate = role.rate(limit);
        let bucket = self.permits.get_or_insert_with(|| PermitBucket::empty(now, rate));
        bucket.set_rate(now, rate);
    }

    /// Returns whether the engine names no limit, or has a permit for a request.
    fn has_permit(&self, now: MonotonicTime) -> bool {
        self.permits.is_none_or(|bucket| PermitForecast::of(now, [&bucket]).available() > 0)
    }

    /// Charges a request to the permits of an engine that names a limit.
    fn charge_permit(&mut self, now: MonotonicTime) {
        if let Some(bucket) = &mut self.permits {
            bucket.charge(now);
        }
    }

    /// Records a placement and removes those that no longer count towards the limit.
    fn record_placement(&mut self, now: MonotonicTime) {
        self.recent_placements.push_back(now);
        while self.recent_placements.front().is_some_and(|at| now.since(*at) >= ONE_SECOND) {
            self.recent_placements.pop_front();
        }
    }

    /// Returns whether fewer than `max_per_s` prompts were placed within the last second.
    fn is_below_limit(&self, now: MonotonicTime, max_per_s: u32) -> bool {
        let recent =
            self.recent_placements.iter().filter(|at| now.since(**at) < ONE_SECOND).count();
        recent < max_per_s as usize
    }
}

const ONE_SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct PlacedPrompt {
    value: f64,
    pause_ms: f64,
    caller_timeout_ms: f64,
    due_ms: f64,
    has_begun: bool,
    has_late_pause: bool,
    is_short: bool,
    is_suspect: bool,
    /// What this home recorded of a long prompt, with the service.
    demand: Option<(ServiceName, RecordedPrompt)>,
    /// Whether the main engine has failed a request since.
    main_failed: bool,
}

/// The engines of all services, as seen by one home.
#[derive(Debug, Default)]
pub struct EngineFleet {
    engines: BTreeMap<EndpointStart, EngineEntry>,
    farm: EngineFarm,
    placed: BTreeMap<PromptKey, PlacedPrompt>,
    demand: BTreeMap<ServiceName, DemandMeter>,
    /// The prompts that wait for permits of engines with limits.
    permit_queues: BTreeMap<ServiceName, PermitQueue>,
}

fn time_ms(now: MonotonicTime) -> f64 {
    now.0 as f64 / 1_000.0
}

impl EngineFleet {
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
                    let entry = EngineEntry {
                        backoff_until: MonotonicTime::ZERO,
                        failures: 0,
                        silent_at: None,
                        mains: Vec::new(),
                        recent_placements: VecDeque::new(),
                        permits: None,
                        facts: fact,
                    };
                    self.engines.insert(entry.facts.endpoint.clone(), entry);
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
        self.farm.advance(time_ms(now));
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
    fn is_silence_common(&self, now: MonotonicTime, service: &ServiceName) -> bool {
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
        // If the prompt is placed already, the response to the earlier request was lost, and the new
        // placement replaces the earlier one.
        if self.placed.contains_key(&ask.key) {
            self.ended(now, ask.key);
        }
        self.farm.advance(time_ms(now));
        let usable = scope.narrow(self.usable(now, ask, scope), self.is_short(ask));
        let mut usable = self.with_permits(now, ask, scope, usable)?;
        if self.is_short(ask) {
            sample_engines(ask.key, &mut usable);
        }
        let meter = self.demand.entry(ask.service.clone()).or_default();
        let helped_share = meter.long_demand(time_ms(now)).helped_share(usable.len());
        // Short prompts have no helpers, so they delay the reading of no other prompt.
        let firsts =
            if self.is_short(ask) { BTreeMap::new() } else { self.farm.first_events(time_ms(now)) };
        let mut views: Vec<(EndpointStart, EngineView)> = usable
            .into_iter()
            .filter_map(|endpoint| self.view(now, endpoint, helped_share, &firsts))
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
            });
        };
        let job = self.job(now, ask, &profile, &views);
        let views = without_backlog(&job, views);
        if views.is_empty() {
            return Err(PlacementRefusal {
                reason: RefusalReason::Backlog,
                retry_after: OVERLOAD_RETRY_DELAY,
            });
        }
        let separate =
            ask.is_suspect.then(|| best_group(&job, &least_disturbing(&views))).flatten();
        let best = separate.or_else(|| best_group(&job, &views)).ok_or(PlacementRefusal {
            reason: RefusalReason::NoMemory,
            retry_after: FAILURE_BACKOFF,
        })?;
        if is_crowded_out(&job, &views, best.first_ms) {
            return Err(PlacementRefusal {
                reason: RefusalReason::Crowded,
                retry_after: OVERLOAD_RETRY_DELAY,
            });
        }
        let counts_risk = job.long_demand.counts_risk(job.engines);
        let loss = if counts_risk { best.adjusted_loss } else { best.loss };
        if !job.cost.is_short() && loss > job.value {
            // The other prompts on its engines would lose more than this prompt gains.
            return Err(PlacementRefusal {
                reason: RefusalReason::TooDear,
                retry_after: OVERLOAD_RETRY_DELAY,
            });
        }
        if best.first_ms > millis(ask.deadline) {
            // The prompt would only take engines from prompts that can still be on time.
            let spare_ms = (best.first_ms - millis(ask.deadline)).clamp(500.0, 4_000.0);
            let retry_after = Duration::from_secs_f64(spare_ms / 1_000.0);
            return Err(PlacementRefusal { reason: RefusalReason::TooLate, retry_after });
        }
        let plan = plan(&job, &views, &profile, &best);
        let (is_short, value, work_ms) = (job.cost.is_short(), job.value, job.cost.whole_ms);
        self.record_plan(now, ask, &plan, false);
        let meter = self.demand.entry(ask.service.clone()).or_default();
        if is_short {
            meter.record_short(time_ms(now), millis(plan.whole));
        } else {
            let recorded = RecordedPrompt { recorded_ms: time_ms(now), value, work_ms };
            meter.record_long(&recorded);
            if let Some(placed) = self.placed.get_mut(&ask.key) {
                placed.demand = Some((ask.service.clone(), recorded));
            }
        }
        Ok(plan)
    }

    fn is_short(&self, ask: &PromptAsk) -> bool {
        let mut profiles = self.engines.values().filter(|e| e.facts.service == ask.service);
        let profile = profiles.next().map(|engine| &engine.facts.profile);
        profile.is_some_and(|profile| ReadCost::new(profile, ask.prompt_tokens).is_short())
    }

    fn job<'a>(
        &mut self,
        now: MonotonicTime,
        ask: &'a PromptAsk,
        profile: &EngineProfile,
        views: &[(EndpointStart, EngineView)],
    ) -> Job<'a> {
        let cost = ReadCost::new(profile, ask.prompt_tokens);
        let per_pass = profile.prefill_tokens_per_step * u64::from(profile.steps_per_pass);
        let ms_per_token = cost.whole_ms / ask.prompt_tokens.max(1) as f64;
        let meter = self.demand.entry(ask.service.clone()).or_default();
        Job {
            value: cost.value(),
            cap_ms: (per_pass as f64 * ms_per_token).max(1.0),
            engines: views.len(),
            clear: views.iter().filter(|(_, view)| view.is_clear()).count(),
            demand: meter.demand(time_ms(now), profile),
            long_demand: meter.long_demand(time_ms(now)),
            ask,
            cost,
        }
    }

    /// Returns the present state of an engine. `firsts` holds the expected first events of all
    /// prompts. It is empty for a prompt that delays no others, and the waiting prompts are then
    /// left out.
    fn view(
        &self,
        now: MonotonicTime,
        endpoint: EndpointStart,
        helped_share: f64,
        firsts: &BTreeMap<PromptKey, f64>,
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
            neighbours: entry.mains.iter().filter_map(|key| self.neighbour(*key, firsts)).collect(),
            waiting: self.waiting(now_ms, engine, firsts),
            helped_share,
            gather_weight: 1.0,
        };
        Some((endpoint, view))
    }

    /// Returns what determines how another prompt disturbs this one on its engine.
    fn neighbour(&self, key: PromptKey, firsts: &BTreeMap<PromptKey, f64>) -> Option<Neighbour> {
        let placed = self.placed.get(&key)?;
        Some(Neighbour {
            value: placed.value,
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
    ) -> Vec<WaitingPart> {
        if firsts.is_empty() {
            return Vec::new();
        }
        let residual_ms = engine.residual_ms(now_ms);
        let waiting_part = |(key, read_ms): (PromptKey, f64)| {
            let placed = self.placed.get(&key)?;
            Some(WaitingPart {
                key,
                value: placed.value,
                read_in_ms: residual_ms + read_ms,
                first_in_ms: *firsts.get(&key)?,
                due_in_ms: placed.due_ms - now_ms,
            })
        };
        engine.unread_parts().filter_map(waiting_part).collect()
    }

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
        self.farm.advance(time_ms(now));
        self.record_plan(now, ask, plan, begun);
    }

    /// Records that a prompt's first event has come.
    pub fn first_event(&mut self, now: MonotonicTime, key: PromptKey) {
        let Some(placed) = self.placed.get_mut(&key) else { return };
        placed.has_begun = true;
        let now_ms = time_ms(now);
        self.farm.advance(now_ms);
        self.farm.first_event(now_ms, key);
        for endpoint in self.farm.engines_of(key) {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.failures = 0;
            }
        }
    }

    /// Records the end of a prompt, regardless of how it ended.
    pub fn ended(&mut self, now: MonotonicTime, key: PromptKey) {
        self.farm.advance(time_ms(now));
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

    /// Records that an engine failed a request. The engine gets no new work for a while, unless too
    /// many engines are in backoff already.
    pub fn failed(&mut self, now: MonotonicTime, endpoint: &EndpointStart) {
        let Some(service) = self.engines.get(endpoint).map(|e| e.facts.service.clone()) else {
            return;
        };
        let of_service = self.engines.values().filter(|e| e.facts.service == service);
        let (all, in_backoff) = of_service.fold((0.0, 0.0), |(all, in_backoff), engine| {
            (all + 1.0, in_backoff + f64::from(u8::from(now < engine.backoff_until)))
        });
        let Some(engine) = self.engines.get_mut(endpoint) else { return };
        for key in &engine.mains {
            if let Some(placed) = self.placed.get_mut(key) {
                placed.main_failed = true;
            }
        }
        engine.failures += 1;
        if in_backoff + 1.0 <= all * MAX_BACKOFF_SHARE {
            let doublings = (engine.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
            engine.backoff_until = now + FAILURE_BACKOFF * 2_u32.pow(doublings);
        }
    }

    fn usable(
        &self,
        now: MonotonicTime,
        ask: &PromptAsk,
        scope: EngineScope,
    ) -> Vec<EndpointStart> {
        let takes_work = |engine: &&EngineEntry| {
            let facts = &engine.facts;
            let is_within_limit = |max_per_s| {
                scope.allows_limited(&facts.endpoint) && engine.is_below_limit(now, max_per_s)
            };
            facts.service == ask.service
                && facts.takes_work
                && !ask.resting.contains(&facts.endpoint)
                && now >= engine.backoff_until
                && (facts.limit.is_none() || scope.allows_limited(&facts.endpoint))
                && facts.max_prompts_per_s.is_none_or(is_within_limit)
        };
        let all: Vec<EndpointStart> = self
            .engines
            .values()
            .filter(takes_work)
            .map(|engine| engine.facts.endpoint.clone())
            .collect();
        let preferred: Vec<EndpointStart> =
            all.iter().filter(|endpoint| !ask.avoid.contains(endpoint)).cloned().collect();
        if preferred.is_empty() { all } else { preferred }
    }

    /// Returns the engines without a limit and those with a permit for a request. If all engines
    /// name limits, the prompts that wait take the permits in turn.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::AtLimit`] with the time after which the prompt should ask again.
    fn with_permits(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        scope: EngineScope,
        mut usable: Vec<EndpointStart>,
    ) -> Result<Vec<EndpointStart>, PlacementRefusal> {
        let mut limited = 0;
        for endpoint in &usable {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.update_permits(now, scope.issuer_role());
                limited += usize::from(engine.permits.is_some());
            }
        }
        if limited == 0 {
            return Ok(usable);
        }
        if limited == usable.len() {
            let buckets = usable.iter().filter_map(|e| self.engines.get(e)?.permits.as_ref());
            let forecast = PermitForecast::of(now, buckets);
            let waiter = ask.waiter.clone().unwrap_or_else(|| PermitWaiter {
                id: WaiterId { entry: ask.key.entry, number: ask.key.number },
                rank: RequestRank::default(),
                patience: ask.patience,
            });
            let queue = self.permit_queues.entry(ask.service.clone()).or_default();
            match queue.ask(now, &waiter, &forecast) {
                QueueVerdict::Take => {}
                QueueVerdict::Wait(after) | QueueVerdict::Refuse(after) => {
                    let reason = RefusalReason::AtLimit;
                    return Err(PlacementRefusal { reason, retry_after: after });
                }
            }
        }
        usable.retain(|endpoint| self.engines.get(endpoint).is_some_and(|e| e.has_permit(now)));
        Ok(usable)
    }

    fn record_plan(&mut self, now: MonotonicTime, ask: &PromptAsk, plan: &PromptPlan, begun: bool) {
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
            value: cost.value(),
            pause_ms: millis(ask.pause),
            caller_timeout_ms: caller_timeout_ms(ask),
            due_ms: time_ms(now) + millis(ask.objective),
            has_begun: begun,
            has_late_pause: false,
            is_short: cost.is_short(),
            is_suspect: ask.is_suspect,
            demand: None,
            main_failed: false,
        };
        self.placed.insert(ask.key, placed);
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
            let pass_ms = engine.writing_pass_ms() + engine.unread_ms() + part_ms;
            for key in &entry.mains {
                if let Some(placed) = self.placed.get_mut(key).filter(|placed| placed.has_begun) {
                    placed.has_late_pause |= pass_ms > placed.pause_ms * SURELY_LATE_PAUSE_RATIO;
                }
            }
        }
    }
}

/// Number of idle engines to keep for long prompts: enough for three at a time, each read by at
/// most sixteen engines.
const IDLE_RESERVE: f64 = 48.0;

/// Returns the weight for gathering answers on few engines: 1 with up to `IDLE_RESERVE` idle
/// engines, decreasing linearly to 0 at twice that number.
///
/// With enough idle engines, gathering only delays first events, which wait for the pass of other
/// answers on the same engine.
fn gather_weight(views: &[(EndpointStart, EngineView)]) -> f64 {
    let idle = views.iter().filter(|(_, view)| view.is_idle()).count() as f64;
    (1.0 - (idle - IDLE_RESERVE) / IDLE_RESERVE).clamp(0.0, 1.0)
}

/// Number of engines considered for a short prompt if at least twice as many are usable. Bounds the
/// time of a decision and is large enough that the sample likely contains an idle engine.
const SHORT_SAMPLE: usize = 128;

/// Reduces `engines` to `SHORT_SAMPLE` consecutive ones if there are at least twice as many. The
/// start depends on the prompt, so that prompts are spread over all engines.
fn sample_engines(key: PromptKey, engines: &mut Vec<EndpointStart>) {
    if engines.len() >= 2 * SHORT_SAMPLE {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        key.entry.hash(&mut hasher);
        key.number.hash(&mut hasher);
        let start = (hasher.finish() % engines.len() as u64) as usize;
        engines.rotate_left(start);
        engines.truncate(SHORT_SAMPLE);
    }
}

/// Returns a hash of prompt and engine that orders the engines differently for each prompt.
fn rendezvous_hash(key: PromptKey, endpoint: &EndpointStart) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    key.entry.hash(&mut hasher);
    key.number.hash(&mut hasher);
    endpoint.hash(&mut hasher);
    hasher.finish()
}

/// Returns the engines with the fewest suspects, and among them those with the fewest prompts.
///
/// A suspect is a prompt that engines were serving when they ended. On the returned engines, a
/// further end interrupts as few other streams as possible. It also identifies the cause: when a
/// dozen prompts lose one engine together, each of them is placed on a different engine.
fn least_disturbing(views: &[(EndpointStart, EngineView)]) -> Vec<(EndpointStart, EngineView)> {
    let disturbs = |view: &EngineView| {
        let suspects = view.neighbours.iter().filter(|neighbour| neighbour.is_suspect).count();
        (suspects, view.load)
    };
    let least = views.iter().map(|(_, view)| disturbs(view)).min();
    views.iter().filter(|(_, view)| Some(disturbs(view)) == least).cloned().collect()
}

/// Builds the plan that the entry receives.
fn plan(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
    profile: &EngineProfile,
    best: &Candidate,
) -> PromptPlan {
    let reserves = reserves(job.ask, views, best);
    let main_pass_ms = views
        .iter()
        .find(|(endpoint, _)| *endpoint == best.main)
        .map_or(0.0, |(_, view)| view.writing_pass_ms)
        .max(profile.step_ms * f64::from(profile.steps_per_pass));
    let passes = job.ask.answer_tokens as f64 / f64::from(profile.steps_per_pass);
    let helper = |endpoint: &EndpointStart| HelperPart {
        endpoint: endpoint.clone(),
        reserve_tokens: reserves.get(endpoint).copied(),
    };
    PromptPlan {
        main: best.main.clone(),
        helpers: best.helpers.iter().map(helper).collect(),
        engine_priority: engine_priority(job.ask),
        first_event: Duration::from_secs_f64(best.first_ms.max(0.0) / 1_000.0),
        whole: Duration::from_secs_f64((best.first_ms + passes * main_pass_ms) / 1_000.0),
    }
}

/// Ratio of a predicted pause to the longest one on time from which the pause is late despite the
/// prediction error.
const SURELY_LATE_PAUSE_RATIO: f64 = 1.2;

/// Maps the objective to the engines' priorities: prompts that are due soon are admitted first.
fn engine_priority(ask: &PromptAsk) -> u8 {
    match ask.objective.as_millis() {
        0..=500 => 2,
        501..=1_800 => 4,
        _ => 6,
    }
}
