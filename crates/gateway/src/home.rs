//! Placement of prompts on engines: by the home, by a deputy, or by the entry alone.
//!
//! An entry is the daemon that received a prompt from its caller. The leader of the log is the home
//! of all engines: it alone places prompts, so that it knows the full load of each engine. While
//! the home does not answer in time, deputies place prompts, each on a part of the engines, which
//! is its cell. An entry that cannot reach its deputy either places its prompts itself. It then
//! knows only its own prompts, and chooses among randomly drawn engines. Each entry sends its
//! running prompts to a daemon that begins to place prompts.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_limits::{PermitWaiter, RequestRank, WaiterId};
use oriolepass_placement::{
    Appointment, EngineCell, EngineFacts, EngineFleet, EngineScope, EntryAppointments, PaceNote,
    PlacementFeatures, PlacementRefusal, PromptAsk, PromptKey, PromptPlan, RefusalReason,
    ReturnTurn, SecondSend,
};
use oriolepass_routing::{ColdStart, RoutingRevision};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};

use crate::deputies::{HomeWatch, deputies, deputy_for};
use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::hubs::Tier;
use crate::peers::{
    PeerMessage, PlaceVerdict, PlacedPrompt, ProgressNote, ProtocolLevel, TrailingField,
};

/// The time-out of a call to the home. It is far longer than a hop between data centres and a
/// placement, and far shorter than the shortest objective.
pub(crate) const HOME_ANSWER_TIMEOUT: Duration = Duration::from_millis(90);

/// The time-out of a call to a deputy. It is shorter than that of the home, because the prompt may
/// have waited for the home before.
pub(crate) const DEPUTY_ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// An engine that has been silent for this many heartbeat intervals gets no new work, unless a
/// recent good answer shows that it is alive.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// How long an engine counts as alive after a good answer.
const GOOD_ANSWER_TTL: Duration = Duration::from_secs(2);

/// The share of a cold engine's request limit that one placing daemon may use. Within one second,
/// the home, a deputy that replaces it and the next home may all place prompts on the same engine.
const COLD_LIMIT_SHARE: f64 = 1.0 / 3.0;

/// Returns the number of prompts per second that one placing daemon may send to a cold engine, at
/// least 1.
fn max_cold_prompts_per_s(cold_start: &ColdStart) -> u32 {
    (cold_start.max_requests_per_s * COLD_LIMIT_SHARE).max(1.0) as u32
}

/// Returns the reason for a refusal as a daemon with a protocol level can read it.
fn reason_for(level: ProtocolLevel, reason: RefusalReason) -> RefusalReason {
    match reason {
        RefusalReason::AtLimit if level < ProtocolLevel::LIMITS => RefusalReason::NoEngine,
        RefusalReason::Outranked | RefusalReason::OverShare
            if level < ProtocolLevel::SCHEDULING =>
        {
            RefusalReason::TooDear
        }
        reason => reason,
    }
}

/// The daemon that placed a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacedBy {
    /// This daemon, as the home.
    Home,
    /// Another daemon, as the home.
    RemoteHome,
    /// A deputy, because the home did not answer in time.
    Deputy,
    /// This daemon, because neither the home nor the deputy answered in time.
    Alone,
}

impl PlacedBy {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::RemoteHome => "remote home",
            Self::Deputy => "deputy",
            Self::Alone => "alone",
        }
    }
}

/// The state that the fleet was refreshed from.
#[derive(Debug, Clone, Copy)]
struct FleetSource {
    registry_generation: u64,
    limits_generation: u64,
    revision: Option<RoutingRevision>,
    refreshed_at: MonotonicTime,
}

/// The state of engines and of the prompts on them, as far as this daemon knows it.
#[derive(Debug, Default)]
pub(crate) struct HomeState {
    fleet: EngineFleet,
    /// What the fleet was last refreshed from.
    fleet_source: Option<FleetSource>,
    /// The running prompts of this daemon's callers.
    own_prompts: BTreeMap<PromptKey, PlacedPrompt>,
    /// The appointments that this daemon passed on to its callers.
    appointments: EntryAppointments,
    /// When each engine last gave a good answer.
    last_good_answer: BTreeMap<EndpointStart, MonotonicTime>,
    /// Endpoints that recently sent a heartbeat to this daemon directly.
    pub(crate) direct_beats: BTreeSet<EndpointStart>,
    pub(crate) watch: HomeWatch,
}

/// The maximum age of the engines' liveness in the fleet.
const FLEET_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

impl Gateway {
    /// Places a prompt of one of this daemon's callers.
    pub(crate) async fn place_prompt(
        &self,
        request: &str,
        ask: &PromptAsk,
    ) -> (Result<PromptPlan, PlacementRefusal>, PlacedBy) {
        if self.is_leader() {
            return (self.place_and_record(ask, EngineScope::All), PlacedBy::Home);
        }
        if !self.home.borrow().watch.is_away() {
            if let Some(leader) = self.leader_instance() {
                if let Some(verdict) =
                    self.ask_to_place(&leader, HOME_ANSWER_TIMEOUT, ask, None).await
                {
                    return (verdict, PlacedBy::RemoteHome);
                }
                self.line(EventKind::HomeLost).text("request", request).text("home", leader);
            }
            self.on_home_timeout();
        }
        let placed = self.place_without_home(request, ask).await;
        if let Ok(plan) = &placed.0 {
            self.report_placement_to_home(ask, plan);
        }
        placed
    }

    async fn place_without_home(&self, request: &str, ask: &PromptAsk) -> (PlaceVerdict, PlacedBy) {
        if let Some((deputy, cell)) = deputy_for(&self.deputies(), ask.key) {
            if deputy == self.own {
                return (self.place_and_record(ask, EngineScope::Cell(cell)), PlacedBy::Deputy);
            }
            let verdict = self.ask_to_place(&deputy, DEPUTY_ANSWER_TIMEOUT, ask, Some(cell)).await;
            if let Some(verdict) = verdict {
                return (verdict, PlacedBy::Deputy);
            }
            self.line(EventKind::HomeLost).text("request", request).text("deputy", deputy);
        }
        (self.place_and_record(ask, EngineScope::Drawn(rand::random())), PlacedBy::Alone)
    }

    /// Reports a placement by another daemon to the home. A home that is only slow may have placed
    /// the prompt as well, and without the report would count engines as busy that are not.
    fn report_placement_to_home(&self, ask: &PromptAsk, plan: &PromptPlan) {
        if let Some(leader) = self.leader_instance() {
            let placed = PlacedPrompt { ask: ask.clone(), plan: plan.clone(), has_begun: false };
            self.send_placed(&leader, vec![placed]);
        }
    }

    /// Asks another daemon to place a prompt. Returns `None` if it does not answer in time.
    pub(crate) async fn ask_to_place(
        &self,
        home: &InstanceId,
        max_wait: Duration,
        ask: &PromptAsk,
        cell: Option<EngineCell>,
    ) -> Option<PlaceVerdict> {
        let waiter = TrailingField(ask.waiter.clone());
        let resting = TrailingField(ask.resting.clone());
        let appointment = TrailingField(ask.appointment);
        let second = TrailingField(ask.second.clone());
        let request = |token| PeerMessage::PlaceAsk {
            token,
            ask: ask.clone(),
            cell,
            waiter,
            resting,
            appointment,
            second,
        };
        let reply = self.call(home, max_wait, request).await;
        let Some(PeerReply::Placed(verdict)) = reply else { return None };
        self.record_verdict(ask, &verdict);
        if let Ok(plan) = &verdict {
            self.refresh_fleet();
            self.home.borrow_mut().fleet.adopt(self.now(), ask, plan, false);
            self.record_own(ask, plan);
        }
        Some(verdict)
    }

    /// Places a second send of a prompt of one of this daemon's callers, as the home.
    pub(crate) fn place_and_record_second(&self, ask: &PromptAsk) -> PlaceVerdict {
        self.place_and_record(ask, EngineScope::All)
    }

    /// Returns whether the home has not answered recently.
    pub(crate) fn is_home_away(&self) -> bool {
        self.home.borrow().watch.is_away()
    }

    fn place_and_record(&self, ask: &PromptAsk, scope: EngineScope) -> PlaceVerdict {
        let verdict = self.place_here(ask, scope);
        self.record_verdict(ask, &verdict);
        if let Ok(plan) = &verdict {
            self.record_own(ask, plan);
        }
        verdict
    }

    /// Records the appointment that a refusal of an own prompt gives, or that the prompt needs none
    /// any longer.
    fn record_verdict(&self, ask: &PromptAsk, verdict: &PlaceVerdict) {
        let appointments = &mut self.home.borrow_mut().appointments;
        match (verdict, ask.appointment) {
            (Ok(_), Some(id)) => appointments.forget(id),
            (Err(refusal), Some(_)) => appointments.record(self.now(), ask, refusal),
            (_, None) => {}
        }
    }

    /// Returns the deputies, which place prompts while the home is away. This daemon can be one of
    /// them.
    pub(crate) fn deputies(&self) -> Vec<InstanceId> {
        if self.tier() == Tier::Leaf {
            return self.deputies_from_hub();
        }
        let engines = self.endpoints.borrow().all().count();
        let own = self.note();
        let home = self.leader_instance();
        let roster = self.roster.borrow();
        let alive = roster.alive(self.now()).chain(std::iter::once(&own));
        deputies(alive, home.as_ref(), engines)
    }

    /// Records that the home did not answer in time, and sends the running prompts to its deputies.
    pub(crate) fn on_home_timeout(&self) {
        let deputies = self.deputies();
        let new_deputies = self.home.borrow_mut().watch.record_timeout(self.now(), deputies);
        for deputy in new_deputies.iter().filter(|deputy| **deputy != self.own) {
            self.send_own_prompts(deputy);
        }
    }

    /// Records that the home answered in time. If the home was away before, sends it the running
    /// prompts.
    pub(crate) fn on_home_answer(&self) {
        if self.home.borrow_mut().watch.record_answer() {
            self.on_new_home();
        }
    }

    fn record_own(&self, ask: &PromptAsk, plan: &PromptPlan) {
        let placed = PlacedPrompt { ask: ask.clone(), plan: plan.clone(), has_begun: false };
        self.home.borrow_mut().own_prompts.insert(ask.key, placed);
    }

    fn place_here(&self, ask: &PromptAsk, scope: EngineScope) -> PlaceVerdict {
        if let Some(second) = &ask.second {
            return self.place_second_here(ask, second);
        }
        self.refresh_fleet();
        let verdict = self.home.borrow_mut().fleet.place_among(self.now(), ask, scope);
        if self.settings().scheduling.return_appointments {
            let counts = self.home.borrow_mut().fleet.take_appointment_counts();
            self.metrics.record_appointments(&counts);
        }
        self.log_speed_changes();
        self.count_verdict(ask, &verdict);
        if verdict.is_ok() {
            self.earn_engine_work(ask);
        }
        verdict
    }

    /// Counts a verdict on a prompt in the metrics, by the prompt's priority.
    fn count_verdict(&self, ask: &PromptAsk, verdict: &PlaceVerdict) {
        let priority = ask.waiter.as_ref().map(|waiter| waiter.rank.priority.to_string());
        let label = [priority.as_deref().unwrap_or("unknown")];
        match verdict {
            Ok(_) => {
                let work_ms = self.home.borrow().fleet.work_ms(ask.key).unwrap_or_default();
                self.metrics.engine_work.with_label_values(&label).inc_by(work_ms as u64);
            }
            Err(refusal) if refusal.is_final_for(ask) => {
                self.metrics.engine_refusals.with_label_values(&label).inc();
            }
            Err(_) => {}
        }
    }

    /// Logs the engines that began or ceased to count as slow.
    fn log_speed_changes(&self) {
        let changes = self.home.borrow_mut().fleet.take_speed_changes();
        for change in changes {
            let ratios: Vec<String> =
                change.observations.iter().map(|ratio| format!("{ratio:.1}")).collect();
            self.line(EventKind::EngineSpeed)
                .text("endpoint", &change.endpoint)
                .text("outcome", if change.is_slow { "slow" } else { "recovered" })
                .number("slowdown", format!("{:.2}", change.slowdown))
                .text("ratios", ratios.join(","))
                .number("entries", change.entries)
                .number("common_ratio", format!("{:.2}", change.common));
        }
    }

    /// Places a second send of a prompt in the fleet.
    pub(crate) fn place_second_in_fleet(
        &self,
        now: MonotonicTime,
        ask: &PromptAsk,
        second: &SecondSend,
        is_allowed: impl FnOnce(f64) -> bool,
    ) -> PlaceVerdict {
        self.refresh_fleet();
        self.home.borrow_mut().fleet.place_second(now, ask, second, is_allowed)
    }

    /// Returns whether this process knows enough to answer as the home or as a deputy.
    ///
    /// A process that has just started may be asked because the one before it at its address was the
    /// home. It knows neither the engines nor the prompts on them, and would refuse prompts that others
    /// can place. Without an answer, the asking daemon turns to a deputy.
    pub(crate) fn knows_engines(&self) -> bool {
        self.has_been_ready.get()
    }

    pub(crate) fn on_place_ask(
        &self,
        from: &InstanceId,
        token: u64,
        ask: &PromptAsk,
        cell: Option<EngineCell>,
    ) {
        if !self.knows_engines() {
            return;
        }
        let verdict = self.place_here(ask, cell.map_or(EngineScope::All, EngineScope::Cell));
        let verdict = verdict.map_err(|refusal| self.refusal_for(from, refusal));
        let turn =
            TrailingField(verdict.as_ref().err().map_or_else(ReturnTurn::default, |r| r.turn));
        self.mesh.send(from, &PeerMessage::PlaceAnswer { token, verdict, turn });
    }

    /// Returns a refusal as a daemon of its version can read it.
    fn refusal_for(&self, to: &InstanceId, refusal: PlacementRefusal) -> PlacementRefusal {
        let level = self.roster.borrow().protocol_level(to);
        PlacementRefusal { reason: reason_for(level, refusal.reason), ..refusal }
    }

    /// Answers whether an engine is expected to be silent. An unanswered question counts as that.
    pub(crate) fn on_silence_ask(
        &self,
        from: &InstanceId,
        token: u64,
        endpoint: &EndpointStart,
        silence: Duration,
    ) {
        if self.knows_engines() {
            let is_expected = self.explains_silence(endpoint, silence);
            self.mesh.send(from, &PeerMessage::SilenceAnswer { token, is_expected });
        }
    }

    pub(crate) fn explains_silence(&self, endpoint: &EndpointStart, silence: Duration) -> bool {
        self.home.borrow_mut().fleet.explains_silence(self.now(), endpoint, silence)
    }

    /// Asks the home whether an engine is silent because it reads prompts. Without an answer this
    /// is assumed: moving a prompt without need means that another engine has to read it again.
    pub(crate) async fn silence_is_expected(
        &self,
        endpoint: &EndpointStart,
        silence: Duration,
    ) -> bool {
        let Some(leader) = self.leader_instance().filter(|leader| *leader != self.own) else {
            return self.explains_silence(endpoint, silence);
        };
        let reply = self
            .call(&leader, HOME_ANSWER_TIMEOUT, |token| PeerMessage::SilenceAsk {
                token,
                endpoint: endpoint.clone(),
                silence,
            })
            .await;
        !matches!(reply, Some(PeerReply::SilenceExpected(false)))
    }

    /// Records the progress of a prompt, and reports it to the home and the notified deputies.
    pub(crate) fn report_progress(&self, note: ProgressNote) {
        self.on_progress(std::slice::from_ref(&note), &[]);
        match &note {
            ProgressNote::Begun(key) => {
                if let Some(placed) = self.home.borrow_mut().own_prompts.get_mut(key) {
                    placed.has_begun = true;
                }
            }
            ProgressNote::Ended(key) => {
                self.home.borrow_mut().own_prompts.remove(key);
            }
            ProgressNote::Failed(_) => {}
        }
        let message = PeerMessage::Progress(vec![note], TrailingField::default());
        self.mesh.send_all(&self.placing_daemons(), &message);
    }

    /// Records the pace of a slow answer, and reports it to the home and the notified deputies.
    pub(crate) fn report_pace(&self, pace: PaceNote) {
        self.on_progress(&[], &[pace]);
        let message = PeerMessage::Progress(Vec::new(), TrailingField(vec![pace]));
        self.mesh.send_all(&self.placing_daemons(), &message);
    }

    /// Returns the home, unless it is this daemon, and the notified deputies.
    fn placing_daemons(&self) -> Vec<InstanceId> {
        let leader = self.leader_instance().filter(|leader| *leader != self.own);
        let home = self.home.borrow();
        let notified = home.watch.notified_deputies(self.now()).iter();
        let others = notified.filter(|deputy| Some(*deputy) != leader.as_ref());
        others.chain(&leader).cloned().collect()
    }

    pub(crate) fn on_progress(&self, notes: &[ProgressNote], paces: &[PaceNote]) {
        let now = self.now();
        let mut home = self.home.borrow_mut();
        home.fleet.observe_paces(now, paces);
        for note in notes {
            match note {
                ProgressNote::Begun(key) => {
                    home.fleet.first_event(now, *key);
                    let used: Vec<EndpointStart> = home.fleet.engines_of(*key).to_vec();
                    for endpoint in used {
                        home.last_good_answer.insert(endpoint, now);
                    }
                }
                ProgressNote::Ended(key) => home.fleet.ended(now, *key),
                ProgressNote::Failed(endpoint) => {
                    home.last_good_answer.remove(endpoint);
                    home.fleet.failed(now, endpoint);
                }
            }
        }
    }

    /// Adds prompts that another daemon placed, with their ranks if the daemon sent them.
    pub(crate) fn on_placed(&self, mut prompts: Vec<PlacedPrompt>, ranks: Vec<RequestRank>) {
        for (placed, rank) in prompts.iter_mut().zip(ranks) {
            let key = placed.ask.key;
            let id = WaiterId { entry: key.entry, number: key.number };
            placed.ask.waiter = Some(PermitWaiter { id, rank, patience: Duration::ZERO });
        }
        self.refresh_fleet();
        let now = self.now();
        let mut home = self.home.borrow_mut();
        for placed in prompts {
            home.fleet.adopt(now, &placed.ask, &placed.plan, placed.has_begun);
        }
    }

    /// Sends the running prompts, and the appointments of refused ones, to a new home.
    pub(crate) fn on_new_home(&self) {
        let Some(leader) = self.leader_instance() else { return };
        let appointments = self.home.borrow().appointments.open(self.now());
        if leader == self.own {
            self.on_appointments(&appointments);
            return;
        }
        self.send_own_prompts(&leader);
        let understands = self.roster.borrow().understands(&leader, ProtocolLevel::SCHEDULING);
        if understands && !appointments.is_empty() {
            self.mesh.send(&leader, &PeerMessage::Appointments(appointments));
        }
    }

    /// Adds appointments that another home gave.
    pub(crate) fn on_appointments(&self, appointments: &[Appointment]) {
        if !appointments.is_empty() {
            self.refresh_fleet();
            self.home.borrow_mut().fleet.adopt_appointments(self.now(), appointments);
        }
    }

    fn send_own_prompts(&self, home: &InstanceId) {
        let prompts: Vec<PlacedPrompt> = self.home.borrow().own_prompts.values().cloned().collect();
        if !prompts.is_empty() {
            self.send_placed(home, prompts);
        }
    }

    fn send_placed(&self, home: &InstanceId, prompts: Vec<PlacedPrompt>) {
        let rank = |placed: &PlacedPrompt| {
            placed.ask.waiter.as_ref().map(|waiter| waiter.rank.clone()).unwrap_or_default()
        };
        let ranks = prompts.iter().map(rank).collect();
        self.mesh.send(home, &PeerMessage::Placed(prompts, TrailingField(ranks)));
    }

    /// Updates the fleet from the endpoint registry and the document in force, and removes the
    /// prompts of entries that are gone.
    fn refresh_fleet(&self) {
        let now = self.now();
        let registry = self.endpoints.borrow();
        let document = self.active_document();
        let revision = document.as_ref().map(|document| document.text.revision);
        let mut home = self.home.borrow_mut();
        let limits = self.limits.borrow();
        let is_current = home.fleet_source.is_some_and(|source| {
            source.registry_generation == registry.generation()
                && source.limits_generation == limits.table().generation()
                && source.revision == revision
                && now.since(source.refreshed_at) < FLEET_REFRESH_INTERVAL
        });
        if is_current {
            return;
        }
        home.fleet_source = Some(FleetSource {
            registry_generation: registry.generation(),
            limits_generation: limits.table().generation(),
            revision,
            refreshed_at: now,
        });
        let Some(document) = document else { return };
        let profiles: BTreeMap<_, _> = document
            .table
            .services()
            .filter_map(|service| {
                let profile = Arc::new(service.engine.clone()?);
                Some((service.name.clone(), (profile, service.cold_start)))
            })
            .collect();
        let heartbeats_known_until = self.heartbeats_known_until();
        let silent_after = self.settings().bounds.endpoint_heartbeat * MAX_MISSED_HEARTBEATS;
        let facts = registry
            .all()
            .filter_map(|beat| {
                let has_recent_heartbeat = registry
                    .silence(heartbeats_known_until, &beat.endpoint)
                    .is_some_and(|silence| silence < silent_after);
                let has_good_answer = home
                    .last_good_answer
                    .get(&beat.endpoint)
                    .is_some_and(|at| now.since(*at) < GOOD_ANSWER_TTL);
                let (profile, cold_start) = profiles.get(&beat.service)?;
                let cold = cold_start.filter(|c| registry.is_cold(now, &beat.endpoint, c.span));
                Some(EngineFacts {
                    max_prompts_per_s: cold.map(|cold| max_cold_prompts_per_s(&cold)),
                    limit: limits.table().limit(&beat.endpoint),
                    endpoint: beat.endpoint.clone(),
                    service: beat.service.clone(),
                    takes_work: registry.takes_work(&beat.endpoint).is_some()
                        && (has_recent_heartbeat || has_good_answer),
                    profile: Arc::clone(profile),
                })
            })
            .collect();
        let home = &mut *home;
        home.fleet.set_features(self.placement_features());
        home.fleet.update(facts);
        let slow_engines = home.fleet.slow_engines();
        self.metrics.slow_engines.set(i64::try_from(slow_engines).unwrap_or(i64::MAX));
        let counts_shares = self.is_leader() && self.placement_features().shares_accounts;
        let over_share = if counts_shares { home.fleet.accounts_over_share(now) } else { 0 };
        self.metrics.accounts_over_share.set(i64::try_from(over_share).unwrap_or(i64::MAX));
        home.last_good_answer.retain(|_, at| now.since(*at) < GOOD_ANSWER_TTL);
        // A leaf that acts as a deputy does not have the full list of live entries.
        if self.tier() != Tier::Leaf {
            let boots = self.roster.borrow().alive_boots(now);
            home.fleet.forget_entries(now, |entry| entry != self.boot && !boots.contains(&entry));
        }
    }

    fn placement_features(&self) -> PlacementFeatures {
        let scheduling = self.settings().scheduling;
        PlacementFeatures {
            learns_speeds: scheduling.engine_speeds,
            weighs_urgency: scheduling.urgency,
            shares_accounts: scheduling.account_shares,
            keeps_appointments: scheduling.return_appointments,
        }
    }

    /// Returns the key of a new prompt.
    pub(crate) fn prompt_key(self: &Rc<Self>) -> PromptKey {
        PromptKey { entry: self.boot, number: self.next_number() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a refusal that a daemon of the version before cannot decode, so that it
    /// closes the link to the home.
    #[test]
    fn reasons_reach_daemons_of_earlier_versions_in_words_that_they_know() {
        let told = |level, reason| reason_for(level, reason);
        for reason in [RefusalReason::Outranked, RefusalReason::OverShare] {
            assert_eq!(told(ProtocolLevel::PARTS, reason), RefusalReason::TooDear);
            assert_eq!(told(ProtocolLevel::CURRENT, reason), reason);
        }
        assert_eq!(told(ProtocolLevel::default(), RefusalReason::AtLimit), RefusalReason::NoEngine);
        assert_eq!(told(ProtocolLevel::LIMITS, RefusalReason::AtLimit), RefusalReason::AtLimit);
    }
}
