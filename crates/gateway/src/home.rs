//! Where prompts go: asking the home of the engines, being it, and doing without it.
//!
//! The leader of the log is the home of all engines: it alone places prompts, so that its view
//! of what each engine has to do is whole. While it does not answer in time, deputies place, each
//! on a part of the engines. An entry that cannot reach its deputy either places by itself, on what
//! it knows, which is its own prompts only, and among engines drawn by chance. Whoever begins to
//! place is told by every entry which prompts it has under way.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_placement::{
    EngineCell, EngineFacts, EngineFleet, EngineScope, PromptAsk, PromptKey, PromptPlan, SpareLack,
};
use oriolepass_routing::{ColdStart, RoutingRevision};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};

use crate::deputies::{HomeWatch, deputies, deputy_for};
use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::hubs::Tier;
use crate::peers::{PeerMessage, PlaceVerdict, PlacedPrompt, ProgressNote};

/// How long the home has to place a prompt: far above a hop between data centres and a decision,
/// far below the shortest objective.
pub(crate) const HOME_PATIENCE: Duration = Duration::from_millis(90);

/// How long a deputy has: the prompt may have waited for the home before.
const DEPUTY_PATIENCE: Duration = Duration::from_millis(60);

/// An engine that has been silent for this many heartbeats gets no new work, unless its answers
/// show that it lives.
const SILENT_HEARTBEATS: u32 = 3;

/// How long a good answer shows that an engine lives.
const GOOD_ANSWER_COUNTS: Duration = Duration::from_secs(2);

/// The share of a cold engine's request limit that one placer may use. Within one second, the home,
/// a deputy that replaces it and the next home may all place prompts on the same engine.
const COLD_LIMIT_SHARE: f64 = 1.0 / 3.0;

/// Returns how many prompts a second one placer may send to a cold engine, at least 1.
fn max_cold_prompts_per_s(cold_start: &ColdStart) -> u32 {
    (cold_start.max_requests_per_s * COLD_LIMIT_SHARE).max(1.0) as u32
}

/// Who placed a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacedBy {
    /// This daemon, as the home.
    Home,
    /// The home, on another daemon.
    RemoteHome,
    /// A deputy, because the home did not answer.
    Deputy,
    /// This daemon, because neither did.
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

/// What this daemon knows of engines and of the prompts on them.
#[derive(Debug, Default)]
pub(crate) struct HomeState {
    fleet: EngineFleet,
    /// What the engines in the fleet were last taken from.
    taken_from: Option<(u64, Option<RoutingRevision>, MonotonicTime)>,
    /// The prompts of callers here.
    own: BTreeMap<PromptKey, PlacedPrompt>,
    last_good: BTreeMap<EndpointStart, MonotonicTime>,
    /// Endpoints that sent a heartbeat to this daemon lately.
    pub(crate) direct_beats: BTreeSet<EndpointStart>,
    pub(crate) watch: HomeWatch,
}

/// How long the engines' liveness may be out of date in the fleet.
const REFRESH_AFTER: Duration = Duration::from_millis(200);

impl Gateway {
    /// Places a prompt of a caller here.
    pub(crate) async fn place_prompt(
        &self,
        request: &str,
        ask: &PromptAsk,
    ) -> (Result<PromptPlan, SpareLack>, PlacedBy) {
        if self.is_leader() {
            return (self.place_own(ask, EngineScope::All), PlacedBy::Home);
        }
        if !self.home.borrow().watch.is_away() {
            if let Some(leader) = self.leader_instance() {
                if let Some(verdict) = self.ask_to_place(&leader, HOME_PATIENCE, ask, None).await {
                    return (verdict, PlacedBy::RemoteHome);
                }
                self.line(EventKind::HomeLost).text("request", request).text("home", leader);
            }
            self.home_missed();
        }
        let placed = self.place_without_home(request, ask).await;
        if let Ok(plan) = &placed.0 {
            self.correct_home(ask, plan);
        }
        placed
    }

    async fn place_without_home(&self, request: &str, ask: &PromptAsk) -> (PlaceVerdict, PlacedBy) {
        if let Some((deputy, cell)) = deputy_for(&self.deputies(), ask.key) {
            if deputy == self.own {
                return (self.place_own(ask, EngineScope::Cell(cell)), PlacedBy::Deputy);
            }
            let verdict = self.ask_to_place(&deputy, DEPUTY_PATIENCE, ask, Some(cell)).await;
            if let Some(verdict) = verdict {
                return (verdict, PlacedBy::Deputy);
            }
            self.line(EventKind::HomeLost).text("request", request).text("deputy", deputy);
        }
        (self.place_own(ask, EngineScope::Drawn(rand::random())), PlacedBy::Alone)
    }

    /// Tells the home where a prompt went without it: it may be merely slow, have placed the prompt as
    /// well, and take engines for busy that are not.
    fn correct_home(&self, ask: &PromptAsk, plan: &PromptPlan) {
        if let Some(leader) = self.leader_instance() {
            let placed = PlacedPrompt { ask: ask.clone(), plan: plan.clone(), has_begun: false };
            self.mesh.send(&leader, &PeerMessage::Placed(vec![placed]));
        }
    }

    /// Asks another daemon to place a prompt; none where it does not answer in time.
    async fn ask_to_place(
        &self,
        home: &InstanceId,
        patience: Duration,
        ask: &PromptAsk,
        cell: Option<EngineCell>,
    ) -> Option<PlaceVerdict> {
        let question = |token| PeerMessage::PlaceAsk { token, ask: ask.clone(), cell };
        let reply = self.call(home, patience, question).await;
        let Some(PeerReply::Placed(verdict)) = reply else { return None };
        if let Ok(plan) = &verdict {
            self.refresh_fleet();
            self.home.borrow_mut().fleet.adopt(self.now(), ask, plan, false);
            self.keep_own(ask, plan);
        }
        Some(verdict)
    }

    fn place_own(&self, ask: &PromptAsk, scope: EngineScope) -> PlaceVerdict {
        let verdict = self.place_here(ask, scope);
        if let Ok(plan) = &verdict {
            self.keep_own(ask, plan);
        }
        verdict
    }

    /// Returns who places while the home is away, this daemon among them if it takes callers.
    fn deputies(&self) -> Vec<InstanceId> {
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

    /// Notes that the home did not answer in time, and tells its deputies what runs.
    pub(crate) fn home_missed(&self) {
        let deputies = self.deputies();
        let news = self.home.borrow_mut().watch.record_timeout(self.now(), deputies);
        for deputy in news.iter().filter(|deputy| **deputy != self.own) {
            self.tell_own_prompts(deputy);
        }
    }

    /// Notes that the home answers in time; where it did not before, it is told what runs.
    pub(crate) fn home_answered(&self) {
        if self.home.borrow_mut().watch.record_answer() {
            self.on_new_home();
        }
    }

    fn keep_own(&self, ask: &PromptAsk, plan: &PromptPlan) {
        let placed = PlacedPrompt { ask: ask.clone(), plan: plan.clone(), has_begun: false };
        self.home.borrow_mut().own.insert(ask.key, placed);
    }

    fn place_here(&self, ask: &PromptAsk, scope: EngineScope) -> PlaceVerdict {
        self.refresh_fleet();
        self.home.borrow_mut().fleet.place_among(self.now(), ask, scope)
    }

    pub(crate) fn on_place_ask(
        &self,
        from: &InstanceId,
        token: u64,
        ask: &PromptAsk,
        cell: Option<EngineCell>,
    ) {
        let verdict = self.place_here(ask, cell.map_or(EngineScope::All, EngineScope::Cell));
        self.mesh.send(from, &PeerMessage::PlaceAnswer { token, verdict });
    }

    pub(crate) fn explains_silence(&self, endpoint: &EndpointStart, silence: Duration) -> bool {
        self.home.borrow_mut().fleet.explains_silence(self.now(), endpoint, silence)
    }

    /// Asks the home whether an engine is silent because it reads. Without an answer it is taken
    /// to: moving a prompt for nothing costs another reading of it.
    pub(crate) async fn silence_is_expected(
        &self,
        endpoint: &EndpointStart,
        silence: Duration,
    ) -> bool {
        let Some(leader) = self.leader_instance().filter(|leader| *leader != self.own) else {
            return self.explains_silence(endpoint, silence);
        };
        let reply = self
            .call(&leader, HOME_PATIENCE, |token| PeerMessage::SilenceAsk {
                token,
                endpoint: endpoint.clone(),
                silence,
            })
            .await;
        !matches!(reply, Some(PeerReply::SilenceExpected(false)))
    }

    /// Tells the home, and notes here, what became of a prompt.
    pub(crate) fn report_progress(&self, note: ProgressNote) {
        self.on_progress(std::slice::from_ref(&note));
        match &note {
            ProgressNote::Begun(key) => {
                if let Some(placed) = self.home.borrow_mut().own.get_mut(key) {
                    placed.has_begun = true;
                }
            }
            ProgressNote::Ended(key) => {
                self.home.borrow_mut().own.remove(key);
            }
            ProgressNote::Failed(_) => {}
        }
        let leader = self.leader_instance().filter(|leader| *leader != self.own);
        let to: Vec<InstanceId> = {
            let home = self.home.borrow();
            let told = home.watch.notified_deputies(self.now()).iter();
            told.filter(|deputy| Some(*deputy) != leader.as_ref()).chain(&leader).cloned().collect()
        };
        self.mesh.send_all(&to, &PeerMessage::Progress(vec![note]));
    }

    pub(crate) fn on_progress(&self, notes: &[ProgressNote]) {
        let now = self.now();
        let mut home = self.home.borrow_mut();
        for note in notes {
            match note {
                ProgressNote::Begun(key) => {
                    home.fleet.first_event(now, *key);
                    let used: Vec<EndpointStart> = home.fleet.engines_of(*key).to_vec();
                    for endpoint in used {
                        home.last_good.insert(endpoint, now);
                    }
                }
                ProgressNote::Ended(key) => home.fleet.ended(now, *key),
                ProgressNote::Failed(endpoint) => {
                    home.last_good.remove(endpoint);
                    home.fleet.failed(now, endpoint);
                }
            }
        }
    }

    /// Takes over prompts that an earlier home placed.
    pub(crate) fn on_placed(&self, prompts: Vec<PlacedPrompt>) {
        self.refresh_fleet();
        let now = self.now();
        let mut home = self.home.borrow_mut();
        for placed in prompts {
            home.fleet.adopt(now, &placed.ask, &placed.plan, placed.has_begun);
        }
    }

    /// Tells a new home what runs.
    pub(crate) fn on_new_home(&self) {
        if let Some(leader) = self.leader_instance().filter(|leader| *leader != self.own) {
            self.tell_own_prompts(&leader);
        }
    }

    fn tell_own_prompts(&self, home: &InstanceId) {
        let prompts: Vec<PlacedPrompt> = self.home.borrow().own.values().cloned().collect();
        if !prompts.is_empty() {
            self.mesh.send(home, &PeerMessage::Placed(prompts));
        }
    }

    /// Takes the engines over from the announcements and the document in force, and forgets the
    /// prompts of entries that are gone.
    fn refresh_fleet(&self) {
        let now = self.now();
        let registry = self.endpoints.borrow();
        let document = self.active_document();
        let revision = document.as_ref().map(|document| document.text.revision);
        let mut home = self.home.borrow_mut();
        let is_current = home.taken_from.is_some_and(|(generation, taken, at)| {
            generation == registry.generation()
                && taken == revision
                && now.since(at) < REFRESH_AFTER
        });
        if is_current {
            return;
        }
        home.taken_from = Some((registry.generation(), revision, now));
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
        let silent_after = self.settings().bounds.endpoint_heartbeat * SILENT_HEARTBEATS;
        let facts = registry
            .all()
            .filter_map(|beat| {
                let is_heard = registry
                    .silence(heartbeats_known_until, &beat.endpoint)
                    .is_some_and(|silence| silence < silent_after);
                let is_good = home
                    .last_good
                    .get(&beat.endpoint)
                    .is_some_and(|at| now.since(*at) < GOOD_ANSWER_COUNTS);
                let (profile, cold_start) = profiles.get(&beat.service)?;
                let cold = cold_start.filter(|c| registry.is_cold(now, &beat.endpoint, c.span));
                Some(EngineFacts {
                    max_prompts_per_s: cold.map(|cold| max_cold_prompts_per_s(&cold)),
                    endpoint: beat.endpoint.clone(),
                    service: beat.service.clone(),
                    takes_work: registry.takes_work(&beat.endpoint).is_some()
                        && (is_heard || is_good),
                    profile: Arc::clone(profile),
                })
            })
            .collect();
        let home = &mut *home;
        home.fleet.update(facts);
        home.last_good.retain(|_, at| now.since(*at) < GOOD_ANSWER_COUNTS);
        // A leaf acting as deputy has no full list of live entries.
        if self.tier() != Tier::Leaf {
            let boots = self.roster.borrow().alive_boots(now);
            home.fleet.forget_entries(now, |entry| entry != self.boot && !boots.contains(&entry));
        }
    }

    /// Returns the name of a fresh prompt.
    pub(crate) fn prompt_key(self: &Rc<Self>) -> PromptKey {
        PromptKey { entry: self.boot, number: self.next_number() }
    }
}
