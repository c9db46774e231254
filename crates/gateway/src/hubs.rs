//! The messages between hubs and leaves, and the recipients of broadcasts in tiers.
//!
//! [`crate::tiers`] describes the topology. A leaf gets its proof from its primary hub. The hub's
//! proof shows which document was the newest some time ago, so the leaf dates its own proof to the
//! time of its request minus the age of the hub's proof.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_routing::RoutingRevision;
use oriolepass_units::{DataCentreId, EndpointStart, InstanceId, MonotonicTime};
use tokio::time::sleep;

use crate::deputies::choose_deputies;
use crate::endpoints::{EndpointBeat, EndpointNotice};
use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::peers::{FreshVerdict, HubStatus, LeafState, MemberLists, PeerMessage};
use crate::roster::LeafNote;
use crate::tiers::{AddressRing, HubSelector, is_tiered};

/// How long a leaf waits for its primary hub's answer before it uses another hub.
const HUB_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum age of a hub's proof. A leaf treats a hub with an older proof as failed.
const MAX_HUB_PROOF_AGE: Duration = Duration::from_millis(1_500);

/// How long a hub keeps the session of a leaf without a request from the leaf.
const LEAF_SESSION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long the views of a leaf and its hub may differ before the hub sends the whole view. They
/// differ for a short time while changes are in transit.
const VIEW_MISMATCH_GRACE: Duration = Duration::from_secs(2);

/// The minimum interval between two whole views for one leaf.
const VIEW_RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// The number of missed heartbeats after which an endpoint is reported to leaves as silent.
pub(crate) const MISSED_HEARTBEATS: u32 = 2;

/// The maximum number of silent endpoints in one answer to a leaf.
const MAX_REPORTED_SILENT: usize = 256;

/// The maximum number of addresses of its own data centre that a leaf gets.
const MAX_NEAR_ADDRESSES: usize = 64;

/// The maximum number of addresses of each other data centre that a leaf gets.
const MAX_FAR_ADDRESSES: usize = 4;

/// How long a leaf uses a hub's last status of endpoints and addresses while no hub answers.
const HUB_STATUS_VALIDITY: Duration = Duration::from_secs(10);

/// How long a hub collects endpoint changes before it sends them to its leaves in one batch.
const LEAF_BATCH_DELAY: Duration = Duration::from_millis(100);

/// A hub reports all its leaves to the other hubs once in this many rounds, and changes each round.
const FULL_REPORT_DIVISOR: u64 = 16;

/// The maximum number of recently departed endpoints in one endpoint view.
const MAX_VIEW_DEPARTURES: usize = 256;

/// A daemon's role in the topology.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Tier {
    /// Has links to all other daemons.
    #[default]
    Mesh,
    /// Has links to the other hubs and to its leaves.
    Hub,
    /// Has links to a few hubs.
    Leaf,
}

impl Tier {
    /// Returns the name used in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Mesh => "mesh",
            Self::Hub => "hub",
            Self::Leaf => "leaf",
        }
    }
}

/// The state that a hub keeps of a leaf whose primary it is.
#[derive(Debug)]
struct LeafSession {
    last_request: MonotonicTime,
    differs_since: Option<MonotonicTime>,
    /// When the whole endpoint view was last sent to it.
    view_sent: MonotonicTime,
}

/// The status that a hub computes once a round for all its leaves.
#[derive(Debug, Default)]
struct HubSummary {
    hubs: Vec<(InstanceId, DataCentreId)>,
    deputies: Vec<InstanceId>,
    rings: BTreeMap<DataCentreId, AddressRing>,
    silent: Vec<(EndpointStart, Duration)>,
    daemons: usize,
}

/// The state of a daemon as a hub and as a leaf.
#[derive(Debug, Default)]
pub(crate) struct TierState {
    is_tiered_hub: bool,
    sessions: BTreeMap<InstanceId, LeafSession>,
    /// The leaves reported to the other hubs.
    reported_leaves: BTreeMap<InstanceId, LeafNote>,
    summary: HubSummary,
    /// Endpoint changes not yet sent to the leaves.
    queued_notices: Vec<EndpointNotice>,
    queued_left: Vec<EndpointStart>,
    hubs: HubSelector,
    primary: Option<InstanceId>,
    /// The role that was recorded last.
    recorded: Tier,
    /// The lists and the daemon count from the primary hub's last status.
    lists: MemberLists,
    daemons: usize,
    /// When the last status was requested.
    status_at: Option<MonotonicTime>,
}

impl TierState {
    pub(crate) fn is_tiered_hub(&self) -> bool {
        self.is_tiered_hub
    }
}

impl Gateway {
    /// Returns this daemon's current role.
    pub(crate) fn tier(&self) -> Tier {
        if self.settings().data_folder.is_some() {
            return if self.tier.borrow().is_tiered_hub { Tier::Hub } else { Tier::Mesh };
        }
        let roster = self.roster.borrow();
        let needs_tiers = roster.known_count() >= self.settings().tiers_from;
        let is_leaf = roster.hubs().any(|note| note.is_tiered || needs_tiers);
        if is_leaf { Tier::Leaf } else { Tier::Mesh }
    }

    /// Returns the hubs that this daemon is attached to as a leaf, the primary first.
    pub(crate) fn attached_hubs(&self) -> Vec<InstanceId> {
        let settings = self.settings();
        self.tier.borrow().hubs.attached(self.now(), &self.own, &settings.data_centre)
    }

    /// Returns the recipients of broadcasts that originate at this daemon.
    pub(crate) fn broadcast_targets(&self) -> Vec<InstanceId> {
        match self.tier() {
            Tier::Mesh => self.roster.borrow().known().cloned().collect(),
            Tier::Leaf => self.attached_hubs(),
            Tier::Hub => self.other_hubs().into_iter().chain(self.own_leaves()).collect(),
        }
    }

    /// Returns the daemons to forward a broadcast of another daemon to.
    pub(crate) fn forward_targets(&self, from: &InstanceId) -> Vec<InstanceId> {
        match self.tier() {
            // The leader forwards broadcasts to daemons that the sender cannot reach.
            Tier::Mesh if self.is_leader() => self.broadcast_targets(),
            Tier::Mesh | Tier::Leaf => Vec::new(),
            Tier::Hub if self.roster.borrow().is_hub(from) => self.own_leaves(),
            Tier::Hub => self.broadcast_targets().into_iter().filter(|to| to != from).collect(),
        }
    }

    /// Returns the known hubs except this daemon.
    pub(crate) fn other_hubs(&self) -> Vec<InstanceId> {
        let roster = self.roster.borrow();
        roster.hubs().map(|note| note.instance.clone()).filter(|hub| *hub != self.own).collect()
    }

    /// Returns the leaves that have this hub as their primary.
    pub(crate) fn own_leaves(&self) -> Vec<InstanceId> {
        let now = self.now();
        let tier = self.tier.borrow();
        let is_live =
            |session: &LeafSession| now.since(session.last_request) < LEAF_SESSION_TIMEOUT;
        tier.sessions
            .iter()
            .filter(|(_, session)| is_live(session))
            .map(|(leaf, _)| leaf.clone())
            .collect()
    }

    /// Adds a hub that leaves may attach to.
    pub(crate) fn add_hub(&self, hub: &InstanceId, data_centre: &DataCentreId) {
        self.tier.borrow_mut().hubs.add(hub, data_centre);
    }

    /// Returns the known hubs except this daemon, from the roster and the hub selector.
    pub(crate) fn known_hubs(&self) -> Vec<InstanceId> {
        let mut hubs = self.other_hubs();
        let tier = self.tier.borrow();
        hubs.extend(tier.hubs.all().filter(|hub| **hub != self.own).cloned());
        hubs.sort();
        hubs.dedup();
        hubs
    }

    /// Returns the largest number of daemons that this daemon knows or was told of and that may be alive,
    /// silent ones included.
    pub(crate) fn max_daemon_count(&self) -> usize {
        let tier = self.tier.borrow();
        let known = self.roster.borrow().budget_count() + 1;
        known.max(tier.summary.daemons).max(tier.daemons)
    }

    /// Returns the number of live daemons, including this one.
    pub(crate) fn daemon_count(&self) -> usize {
        match self.tier() {
            Tier::Mesh => self.roster.borrow().alive(self.now()).count() + 1,
            Tier::Hub => self.tier.borrow().summary.daemons.max(1),
            Tier::Leaf => self.tier.borrow().daemons.max(1),
        }
    }

    /// On a daemon with a disk, updates whether tiers are enabled and the summary for its leaves.
    pub(crate) fn update_tier(&self, round: u64) {
        if self.settings().data_folder.is_none() {
            return;
        }
        let now = self.now();
        let (daemons, attached) = {
            let roster = self.roster.borrow();
            let leaves = roster.alive(now).filter(|note| !note.has_disk);
            let attached: BTreeMap<InstanceId, LeafNote> =
                leaves.map(|note| (note.instance.clone(), LeafNote::of(note))).collect();
            (roster.all_alive(now).len() + 1, attached)
        };
        let was_tiered = self.tier.borrow().is_tiered_hub;
        let is_tiered = is_tiered(was_tiered, daemons, self.settings().tiers_from);
        self.tier.borrow_mut().is_tiered_hub = is_tiered;
        if !is_tiered {
            return;
        }
        self.report_attached_leaves(&attached, round.is_multiple_of(FULL_REPORT_DIVISOR));
        let summary = self.hub_summary(now, daemons);
        let mut tier = self.tier.borrow_mut();
        tier.summary = summary;
        tier.sessions.retain(|_, session| now.since(session.last_request) < LEAF_SESSION_TIMEOUT);
    }

    /// Reports the leaves attached here to the other hubs: all of them, or the changes.
    fn report_attached_leaves(&self, attached: &BTreeMap<InstanceId, LeafNote>, is_all: bool) {
        let before =
            std::mem::replace(&mut self.tier.borrow_mut().reported_leaves, attached.clone());
        let changed =
            |(leaf, note): &(&InstanceId, &LeafNote)| is_all || before.get(*leaf) != Some(*note);
        let leaves: Vec<LeafNote> =
            attached.iter().filter(changed).map(|(_, note)| note.clone()).collect();
        let detached: Vec<InstanceId> =
            before.keys().filter(|leaf| !attached.contains_key(*leaf)).cloned().collect();
        if is_all || !leaves.is_empty() || !detached.is_empty() {
            let hubs = self.other_hubs();
            self.mesh.send_all(&hubs, &PeerMessage::AttachedLeaves { is_all, leaves, detached });
        }
    }

    /// Returns a report of all leaves attached here, for a hub that has become reachable.
    pub(crate) fn all_attached_leaves(&self) -> PeerMessage {
        let leaves = self.tier.borrow().reported_leaves.values().cloned().collect();
        PeerMessage::AttachedLeaves { is_all: true, leaves, detached: Vec::new() }
    }

    fn hub_summary(&self, now: MonotonicTime, daemons: usize) -> HubSummary {
        let settings = self.settings();
        let own = LeafNote::of(&self.note());
        let roster = self.roster.borrow();
        let mut alive = roster.all_alive(now);
        alive.insert(&self.own, own);
        let mut ready: BTreeMap<DataCentreId, Vec<(InstanceId, SocketAddr)>> = BTreeMap::new();
        for note in alive.values().filter(|note| note.is_ready) {
            let of_centre = ready.entry(note.data_centre.clone()).or_default();
            of_centre.push((note.instance.clone(), note.callers));
        }
        let mut hubs: Vec<(InstanceId, DataCentreId)> = roster
            .alive(now)
            .filter(|note| note.has_disk)
            .map(|note| (note.instance.clone(), note.data_centre.clone()))
            .collect();
        hubs.push((self.own.clone(), settings.data_centre.clone()));
        hubs.sort();
        let heartbeat = settings.bounds.endpoint_heartbeat;
        let endpoints = self.endpoints.borrow();
        let candidates = alive
            .values()
            .filter(|note| note.is_ready)
            .map(|note| (&note.instance, roster.is_hub(&note.instance)))
            .filter(|(instance, _)| Some(*instance) != self.leader_instance().as_ref());
        HubSummary {
            deputies: choose_deputies(candidates.collect(), endpoints.all().count()),
            hubs,
            rings: ready.into_iter().map(|(centre, r)| (centre, AddressRing::new(r))).collect(),
            silent: endpoints.silent(now, heartbeat * MISSED_HEARTBEATS, MAX_REPORTED_SILENT),
            daemons,
        }
    }

    /// Answers a leaf and sends it the documents and endpoints that it lacks.
    pub(crate) fn on_leaf_ask(&self, from: &InstanceId, token: u64, state: &LeafState) {
        let status = self.hub_status(from, state);
        if let Some((newest, age)) = status.proof {
            self.record_leaf_proof(from, newest, age);
            self.send_missing_document(from, newest, state.document);
        }
        if let Some(held) = state.document {
            self.on_in_force(from, held);
        }
        self.mesh.send(from, &PeerMessage::LeafAnswer { token, status });
        if self.needs_endpoint_view(from, state.endpoints_hash) {
            self.send_endpoint_view(from);
        }
    }

    /// Records a proof of `newest` with this age, granted to a leaf.
    fn record_leaf_proof(&self, leaf: &InstanceId, newest: Option<RoutingRevision>, age: Duration) {
        if newest.is_some() {
            let granted_at = self.now() - age;
            self.documents.borrow_mut().proofs.record_grant(leaf, granted_at);
        }
    }

    fn hub_status(&self, leaf: &InstanceId, state: &LeafState) -> HubStatus {
        let proof = if self.is_leader() {
            match self.fresh_verdict() {
                FreshVerdict::Newest(newest, _) => Some((newest, Duration::ZERO)),
                FreshVerdict::NotLeader => None,
            }
        } else {
            self.proof_age().map(|age| (self.held_revision(), age))
        };
        let tier = self.tier.borrow();
        let lists = self.lists_for(leaf, &tier.summary);
        HubStatus {
            proof,
            drains: self.drains.borrow().clone(),
            is_home_away: !self.is_leader() && self.home.borrow().watch.is_away(),
            daemons: u32::try_from(tier.summary.daemons).unwrap_or(u32::MAX),
            silent: tier.summary.silent.clone(),
            lists: (tier.is_tiered_hub && lists_hash(&lists) != state.lists_hash).then_some(lists),
        }
    }

    fn lists_for(&self, leaf: &InstanceId, summary: &HubSummary) -> MemberLists {
        let own_centre = self.roster.borrow().data_centre_of(leaf);
        let addresses = |(centre, ring): (&DataCentreId, &AddressRing)| {
            let is_near = own_centre.as_ref() == Some(centre);
            let limit = if is_near { MAX_NEAR_ADDRESSES } else { MAX_FAR_ADDRESSES };
            (centre.clone(), ring.addresses_for(leaf, limit))
        };
        MemberLists {
            hubs: summary.hubs.clone(),
            deputies: summary.deputies.clone(),
            addresses: summary.rings.iter().map(addresses).collect(),
        }
    }

    /// Records a request from a leaf; returns whether to send the leaf the whole view.
    fn needs_endpoint_view(&self, leaf: &InstanceId, leaf_hash: u64) -> bool {
        let now = self.now();
        let is_same = self.endpoints.borrow().view_hash() == leaf_hash;
        let mut tier = self.tier.borrow_mut();
        let Some(session) = tier.sessions.get_mut(leaf) else {
            let session = LeafSession { last_request: now, differs_since: None, view_sent: now };
            tier.sessions.insert(leaf.clone(), session);
            return !is_same;
        };
        session.last_request = now;
        if is_same {
            session.differs_since = None;
            return false;
        }
        let since = *session.differs_since.get_or_insert(now);
        let is_due = now.since(since) >= VIEW_MISMATCH_GRACE
            && now.since(session.view_sent) >= VIEW_RESEND_INTERVAL;
        if is_due {
            session.view_sent = now;
            session.differs_since = None;
        }
        is_due
    }

    fn send_endpoint_view(&self, leaf: &InstanceId) {
        let now = self.now();
        let (notices, left) = {
            let endpoints = self.endpoints.borrow();
            (
                endpoints.all_notices(now),
                endpoints.departed(MAX_VIEW_DEPARTURES, MonotonicTime::ZERO),
            )
        };
        self.mesh.send(leaf, &PeerMessage::EndpointView { notices, left });
        let cases = self.all_cases().into_iter().chain(self.all_part_cases(leaf));
        for message in cases.chain(self.limits_for(leaf)) {
            self.mesh.send(leaf, &message);
        }
    }

    /// Queues endpoint changes for the next batch to the leaves; does nothing unless this is a hub.
    pub(crate) fn queue_leaf_changes(
        &self,
        notices: Vec<EndpointNotice>,
        left: Vec<EndpointStart>,
    ) {
        if self.tier() == Tier::Hub {
            let mut tier = self.tier.borrow_mut();
            tier.queued_notices.extend(notices);
            tier.queued_left.extend(left);
            self.leaf_changes_queued.notify_one();
        }
    }

    /// Sends queued endpoint changes to the leaves in batches.
    pub(crate) async fn send_queued_leaf_changes(self: Rc<Self>) {
        loop {
            self.leaf_changes_queued.notified().await;
            sleep(LEAF_BATCH_DELAY).await;
            let (notices, left) = {
                let mut tier = self.tier.borrow_mut();
                (std::mem::take(&mut tier.queued_notices), std::mem::take(&mut tier.queued_left))
            };
            if !notices.is_empty() || !left.is_empty() {
                self.send_endpoint_changes(&self.own_leaves(), &notices, &left);
            }
        }
    }

    /// Replaces the endpoint registry with a view from a hub.
    pub(crate) fn on_endpoint_view(&self, notices: Vec<EndpointNotice>, left: &[EndpointStart]) {
        let now = self.now();
        {
            let mut endpoints = self.endpoints.borrow_mut();
            for endpoint in left {
                endpoints.leave(endpoint);
            }
            endpoints.replace(now, notices);
        }
        self.endpoints_changed();
    }

    /// Asks the primary hub for its status; returns whether it contained a recent proof.
    pub(crate) async fn prove_by_hub(&self) -> bool {
        let Some(hub) = self.attached_hubs().into_iter().next() else { return false };
        self.record_primary(&hub);
        let requested_at = self.now();
        let state = LeafState {
            document: self.held_revision(),
            endpoints_hash: self.endpoints.borrow().view_hash(),
            lists_hash: lists_hash(&self.tier.borrow().lists),
        };
        let request = |token| PeerMessage::LeafAsk { token, state };
        let Some(PeerReply::Hub(status)) = self.call(&hub, HUB_TIMEOUT, request).await else {
            self.tier.borrow_mut().hubs.record_failure(self.now(), &hub);
            return false;
        };
        let is_proved = is_current(&status);
        {
            let mut tier = self.tier.borrow_mut();
            if status.proof.is_some() && !is_proved {
                tier.hubs.record_failure(self.now(), &hub);
            } else {
                tier.hubs.record_answer(self.now(), &hub, is_proved);
            }
        }
        self.apply_hub_status(requested_at, status);
        is_proved
    }

    /// Logs this daemon's role in the topology when it changes, and holds its retry budget back.
    pub(crate) fn record_tier(&self) {
        let tier = self.tier();
        let before = std::mem::replace(&mut self.tier.borrow_mut().recorded, tier);
        if before != tier {
            self.budget.borrow_mut().change_role(self.now(), &self.budget_rule());
            self.line(EventKind::Tier)
                .text("before", before.name())
                .number("known", self.roster.borrow().known_count())
                .text("outcome", tier.name());
        }
    }

    /// Records the primary hub and logs when it changes.
    fn record_primary(&self, hub: &InstanceId) {
        let previous = self.tier.borrow_mut().primary.replace(hub.clone());
        if previous.as_ref() != Some(hub) {
            self.line(EventKind::Primary)
                .maybe("before", previous)
                .text("hub", hub)
                .millis("proof_age_ms", self.proof_age().unwrap_or(Duration::MAX))
                .text("outcome", "asked");
        }
    }

    pub(crate) fn apply_hub_status(&self, requested_at: MonotonicTime, status: HubStatus) {
        let is_current = is_current(&status);
        let HubStatus { proof, drains, is_home_away, daemons, silent, lists } = status;
        self.adopt_drains(&drains);
        {
            let mut tier = self.tier.borrow_mut();
            tier.status_at = Some(requested_at);
            tier.daemons = usize::try_from(daemons).unwrap_or(usize::MAX);
            if let Some(lists) = lists {
                if is_current {
                    tier.hubs.update(&lists.hubs);
                } else {
                    // A hub that is cut off from the others lists none of them.
                    lists.hubs.iter().for_each(|(hub, centre)| tier.hubs.add(hub, centre));
                }
                tier.lists = lists;
            }
        }
        let heartbeat = self.settings().bounds.endpoint_heartbeat;
        self.endpoints.borrow_mut().update_last_heard(requested_at, &silent, heartbeat);
        if is_home_away {
            self.on_home_timeout();
        } else {
            self.on_home_answer();
        }
        if let Some((newest, age)) = proof {
            self.prove_newest(requested_at - age, newest);
        }
    }

    /// Returns the time up to which heartbeats of endpoints are known.
    ///
    /// On a leaf this is the time of the last status, so that endpoints do not look silent while no
    /// hub answers.
    pub(crate) fn heartbeats_known_until(&self) -> MonotonicTime {
        let now = self.now();
        match (self.tier(), self.tier.borrow().status_at) {
            (Tier::Leaf, Some(at)) if now.since(at) < HUB_STATUS_VALIDITY => at,
            _ => now,
        }
    }

    /// Returns the deputies from a leaf's last status.
    pub(crate) fn deputies_from_hub(&self) -> Vec<InstanceId> {
        self.tier.borrow().lists.deputies.clone()
    }

    /// Returns the addresses of ready instances by data centre, from a hub's summary or a leaf's
    /// last status.
    pub(crate) fn ready_addresses(&self) -> Vec<(DataCentreId, Vec<SocketAddr>)> {
        let tier = self.tier.borrow();
        let rings = || tier.summary.rings.iter();
        if self.tier() == Tier::Hub {
            let addresses = |(centre, ring): (&DataCentreId, &AddressRing)| {
                (centre.clone(), ring.addresses_for(&self.own, MAX_NEAR_ADDRESSES))
            };
            return rings().map(addresses).collect();
        }
        let is_recent = tier.status_at.is_some_and(|at| self.now().since(at) < HUB_STATUS_VALIDITY);
        if is_recent { tier.lists.addresses.clone() } else { Vec::new() }
    }

    /// Returns the control address of the hub that an endpoint should send its heartbeats to, or
    /// `None` if it should send them to this daemon.
    ///
    /// On a leaf, this spares forwarding the heartbeats.
    pub fn heartbeat_address(&self, beat: &EndpointBeat) -> Option<SocketAddr> {
        if self.tier() != Tier::Leaf {
            return None;
        }
        let tier = self.tier.borrow();
        let hub = tier.hubs.hub_for_endpoint(self.now(), &beat.endpoint, &beat.data_centre)?;
        let address: SocketAddr = hub.as_str().parse().ok()?;
        Some(SocketAddr::new(address.ip(), self.settings().listen.control.port()))
    }
}

/// Returns whether a hub's status has a recent proof.
fn is_current(status: &HubStatus) -> bool {
    status.proof.is_some_and(|(_, age)| age < MAX_HUB_PROOF_AGE)
}

fn lists_hash(lists: &MemberLists) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    lists.hash(&mut hasher);
    hasher.finish()
}
