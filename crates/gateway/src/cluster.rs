//! Cluster membership: exchanges greetings between daemons, tracks the leader, and dispatches peer
//! messages.
//!
//! A greeting is a message in which a daemon reports its own state. Peer messages are dispatched to
//! the parts of the gateway that handle them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_consensus::ConsensusNode;
use oriolepass_placement::{PlacementRefusal, PromptAsk};
use oriolepass_units::{DataCentreId, InstanceId, LeaderTerm, MonotonicTime};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::gossip::{is_sponsor, should_send_hub_list, should_send_member_list};
use crate::hubs::Tier;
use crate::lifecycle::Lifecycle;
use crate::peer_changes::{ChangeCount, PeerChange, PeerChanges};
use crate::peers::{MeshEvents, PeerMessage, ProtocolLevel, TrafficCount, TrailingField};
use crate::replica::{Proposer, ReplicaDriver};
use crate::roster::{DaemonNote, DaemonPhase, GREETING_INTERVAL, ReplicaNote, RosterChange};
use crate::tunnel::{TunnelOpen, serve_tunnel};

/// A silent daemon is greeted only once in this many rounds.
const SILENT_GREETING_DIVISOR: u64 = 5;

/// A full greeting is sent once in this many rounds and whenever the daemon's note has changed; the
/// other rounds only report that the daemon is alive. A daemon that has missed a change asks for
/// it, so the regular full greeting only covers unforeseen losses.
const FULL_GREETING_DIVISOR: u64 = 64;

/// Peer traffic is logged and added to the metrics once in this many rounds, about every ten
/// seconds.
const TRAFFIC_LOG_DIVISOR: u64 = 16;

/// The maximum number of endpoint departures reported in one message.
const MAX_REPORTED_DEPARTURES: usize = 256;

/// Data written to a connection within this time before its loss was detected may not have arrived:
/// the receipt time-out is 2.4 s, and bytes may stay unacknowledged for 1.8 s before that.
const UNCONFIRMED_BEFORE_LOSS: Duration = Duration::from_millis(5_000);

impl Gateway {
    /// Greets the other daemons in every greeting round, and updates the leader.
    pub(crate) async fn send_greetings_periodically(self: Rc<Self>) {
        let mut round = 0_u64;
        loop {
            self.record_suspension();
            self.greet(round);
            self.update_leader();
            if round.is_multiple_of(TRAFFIC_LOG_DIVISOR) {
                self.log_traffic();
            }
            round += 1;
            sleep(GREETING_INTERVAL).await;
        }
    }

    /// Logs the messages and bytes sent since the last call, and adds them to the metrics.
    fn log_traffic(&self) {
        let traffic = self.mesh.take_traffic();
        if traffic.is_empty() {
            return;
        }
        let mut line = self.line(EventKind::PeerTraffic);
        for (kind, TrafficCount { messages, bytes }) in traffic {
            line = line.text(kind, format!("{messages}/{bytes}"));
            self.metrics.peer_messages.with_label_values(&[kind]).inc_by(messages);
            self.metrics.peer_bytes.with_label_values(&[kind]).inc_by(bytes);
        }
    }

    fn greet(&self, round: u64) {
        self.update_tier(round);
        self.judge_start();
        let now = self.now();
        let seeds = self.seed_instances();
        let tier = self.tier();
        let attached = self.attached_hubs();
        let (to, expired) = {
            let mut roster = self.roster.borrow_mut();
            for seed in &seeds {
                roster.add(now, seed);
            }
            let voters: BTreeSet<InstanceId> = self.own_voters().into_iter().collect();
            let expired =
                roster.expire(now, |daemon| seeds.contains(daemon) || voters.contains(daemon));
            let is_due = |daemon: &&InstanceId| {
                round.is_multiple_of(SILENT_GREETING_DIVISOR)
                    || roster.silence(now, daemon) < crate::roster::SILENCE_TIMEOUT
                    || round < SILENT_GREETING_DIVISOR
            };
            let is_in_tier_scope = |daemon: &&InstanceId| match tier {
                Tier::Mesh => true,
                Tier::Hub => {
                    roster.is_hub(daemon)
                        || seeds.contains(daemon)
                        || voters.contains(daemon)
                        || roster.silence(now, daemon) < crate::roster::SILENCE_TIMEOUT
                }
                // With no hub known, any daemon may report one.
                Tier::Leaf => attached.contains(daemon) || attached.is_empty(),
            };
            let to: Vec<InstanceId> =
                roster.known().filter(is_in_tier_scope).filter(is_due).cloned().collect();
            (to, expired)
        };
        for daemon in expired {
            self.remove_links(&daemon);
            if !self.is_counted(PeerChange::Forgotten, &daemon) {
                self.line(EventKind::Peer).text("peer", &daemon).text("outcome", "forgotten");
            }
        }
        self.log_peer_changes();
        self.mesh.send_all(&to, &self.greeting(round));
        let alive = self.roster.borrow().alive(now).count();
        self.metrics.peers.set(i64::try_from(alive).unwrap_or(i64::MAX));
    }

    /// Returns whether a change of a daemon, or of the link to it, is counted instead of logged on
    /// a line of its own, and counts it if so.
    fn is_counted(&self, change: PeerChange, peer: &InstanceId) -> bool {
        let is_dependency =
            self.leader_instance().as_ref() == Some(peer) || self.own_voters().contains(peer);
        let known = self.roster.borrow().known_count();
        let is_counted = !is_dependency && PeerChanges::are_aggregated(known);
        if is_counted {
            self.peer_changes.borrow_mut().record(change, peer);
        }
        is_counted
    }

    /// Logs the changes counted since the last summary line.
    fn log_peer_changes(&self) {
        let changes = self.peer_changes.borrow_mut().take();
        if changes.is_empty() {
            return;
        }
        let mut line = self.line(EventKind::Peers);
        for (change, ChangeCount { count, names }) in &changes {
            let names: Vec<&str> = names.iter().map(InstanceId::as_str).collect();
            line = line.number(change.name(), *count);
            line = line.text(&format!("{}_first", change.name()), names.join(","));
        }
    }

    /// Returns this round's greeting: the full note, or a message that it has not changed.
    fn greeting(&self, round: u64) -> PeerMessage {
        let note = self.note();
        let has_changed = self.greeted_edition.replace(note.edition) != note.edition;
        if has_changed
            || round < SILENT_GREETING_DIVISOR
            || round.is_multiple_of(FULL_GREETING_DIVISOR)
            // The answers to a full greeting name daemons that may know the leader.
            || self.leader_instance().is_none()
        {
            return PeerMessage::Greeting(note);
        }
        PeerMessage::Present { boot: self.boot, edition: note.edition }
    }

    /// Sends a full greeting to all live daemons, after a change that they should learn of at once.
    pub(crate) fn greet_now(&self) {
        let to: Vec<InstanceId> = {
            let roster = self.roster.borrow();
            roster.alive(self.now()).map(|note| note.instance.clone()).collect()
        };
        self.mesh.send_all(&to, &PeerMessage::Greeting(self.note()));
    }

    /// Returns whether this daemon is one of the seeds.
    pub(crate) fn is_seed(&self) -> bool {
        let settings = self.settings();
        settings.seeds.hosts.contains(&settings.listen.peers.ip())
    }

    /// Returns the other seed instances; all daemons listen for peers on the same port, so the seeds'
    /// addresses are enough.
    pub(crate) fn seed_instances(&self) -> Vec<InstanceId> {
        let settings = self.settings();
        let port = settings.listen.peers.port();
        let instances = settings.seeds.hosts.iter().map(|host| SocketAddr::new(*host, port));
        instances
            .filter_map(|address| address.to_string().parse().ok())
            .filter(|instance| *instance != self.own)
            .collect()
    }

    /// Returns the note that this daemon sends about itself, with a new edition if it has changed.
    pub(crate) fn note(&self) -> DaemonNote {
        let settings = self.settings();
        // A removed replica knows only old voters.
        let replica_note = self.with_node(|node| {
            (!node.is_removed()).then(|| ReplicaNote {
                term: node.term(),
                leader: node.leader().map(|leader| leader.instance.clone()),
                voters: voters_of(node),
            })
        });
        let mut note = DaemonNote {
            instance: self.own.clone(),
            name: settings.name.clone(),
            boot: self.boot,
            data_centre: settings.data_centre.clone(),
            callers: settings.listen.callers,
            phase: self.daemon_phase(),
            has_disk: settings.data_folder.is_some(),
            may_found: settings.seeds.may_found
                && self.replica.borrow().as_ref().is_some_and(ReplicaDriver::is_empty),
            replica: replica_note.flatten().filter(|replica_note| !replica_note.voters.is_empty()),
            known: u32::try_from(self.reported_known_count()).unwrap_or(u32::MAX),
            is_tiered: self.tier.borrow().is_tiered_hub(),
            edition: 0,
            protocol: TrailingField(ProtocolLevel::CURRENT),
            is_cut_off: TrailingField(self.paths.borrow().is_cut_off()),
            is_founding: TrailingField(self.with_node(|node| !node.holds_command()) == Some(true)),
        };
        let mut last = self.last_note.borrow_mut();
        let edition = last.as_ref().map_or(0, |last| last.edition);
        note.edition = edition;
        if last.as_ref() != Some(&note) {
            note.edition = edition.wrapping_add(1);
            *last = Some(note.clone());
        }
        note
    }

    /// Returns the count of known daemons that greetings report. In tiers it covers only hubs, so
    /// that a change of leaves does not change the note.
    fn reported_known_count(&self) -> usize {
        match self.tier() {
            Tier::Mesh => self.roster.borrow().known_count(),
            Tier::Hub | Tier::Leaf => self.known_hubs().len(),
        }
    }

    fn daemon_phase(&self) -> DaemonPhase {
        match *self.lifecycle.borrow() {
            Lifecycle::Serving if self.was_ready.get() => DaemonPhase::Ready,
            Lifecycle::Serving => DaemonPhase::Unready,
            Lifecycle::Draining | Lifecycle::Stopped => DaemonPhase::Leaving,
        }
    }

    pub(crate) fn own_voters(&self) -> Vec<InstanceId> {
        self.with_node(voters_of).unwrap_or_default()
    }

    fn on_greeting(self: &Rc<Self>, from: &InstanceId, note: DaemonNote) {
        let now = self.now();
        let (boot, known, name, phase) = (note.boot, note.known, note.name.clone(), note.phase);
        let has_disk = note.has_disk;
        if has_disk {
            self.add_hub(from, &note.data_centre);
        }
        // From `tiers_from` daemons on, a list of all daemons would make a newcomer connect to
        // each.
        let needs_tiers = self.roster.borrow().known_count() >= self.settings().tiers_from;
        let hubs = (needs_tiers || self.tier() != Tier::Mesh).then(|| {
            let hubs = self.known_hubs().into_iter();
            hubs.filter(|hub| hub != from).collect::<Vec<InstanceId>>()
        });
        let (change, known_list, is_new) = {
            let mut roster = self.roster.borrow_mut();
            let is_new = roster.get(from).is_none();
            let change = roster.update(now, note);
            let known = usize::try_from(known).unwrap_or(usize::MAX);
            let list = match hubs {
                Some(hubs) => should_send_hub_list(hubs.len(), known, has_disk).then_some(hubs),
                None => {
                    let should_send =
                        should_send_member_list(roster.known_count(), known, rand::random());
                    should_send.then(|| roster.known().cloned().collect::<Vec<InstanceId>>())
                }
            };
            (change, list, is_new)
        };
        if change == RosterChange::Met {
            self.home.borrow_mut().watch.record_start(from);
            if !self.is_counted(PeerChange::Met, from) {
                self.line(EventKind::Peer)
                    .text("peer", from)
                    .text("name", name)
                    .number("boot", boot)
                    .text("outcome", "met");
            }
            for message in self.state_updates_for(from, None) {
                self.mesh.send(from, &message);
            }
        }
        if change != RosterChange::Refreshed {
            if phase == DaemonPhase::Leaving && !self.is_counted(PeerChange::Leaving, from) {
                self.line(EventKind::Peer).text("peer", from).text("outcome", "leaving");
            }
            self.update_leader();
            self.judge_start();
        }
        if let Some(list) = known_list {
            self.mesh.send(from, &PeerMessage::Known(list));
        }
        if is_new {
            self.mesh.send(from, &PeerMessage::Greeting(self.note()));
        }
    }

    /// Returns the state to send to a daemon that has become reachable, about endpoints and about
    /// requests that end them: the changes that may have been lost with the link to the daemon, and
    /// the whole state if the daemon is new and this daemon is one of its sponsors, the few daemons
    /// that send the whole state to a newcomer.
    fn state_updates_for(&self, to: &InstanceId, lost: Option<MonotonicTime>) -> Vec<PeerMessage> {
        let is_to_hub = self.roster.borrow().is_hub(to);
        match self.tier() {
            // A leaf gets missing state in reply to its `LeafAsk`.
            Tier::Hub if !is_to_hub => return Vec::new(),
            Tier::Hub => {
                let mut updates = vec![self.all_attached_leaves()];
                updates.extend(self.endpoint_updates_since(lost.unwrap_or(MonotonicTime::ZERO)));
                updates.extend(self.cases_for(to, true));
                updates.extend(self.limits_for(to));
                return updates;
            }
            Tier::Leaf => {
                return lost.map_or_else(Vec::new, |since| self.endpoint_updates_since(since));
            }
            Tier::Mesh => {}
        }
        let mut updates = self.endpoint_updates_for(to, lost);
        updates.extend(self.cases_for(to, lost.is_some()));
        updates.extend(self.limits_for(to));
        updates
    }

    /// Returns the live daemons, each with its data centre.
    pub(crate) fn alive_with_centres(&self) -> Vec<(InstanceId, DataCentreId)> {
        let roster = self.roster.borrow();
        let alive = roster.alive(self.now());
        alive.map(|note| (note.instance.clone(), note.data_centre.clone())).collect()
    }

    /// Returns the endpoint changes to send to a daemon in a full mesh: all known endpoints from
    /// the leader and the daemon's sponsors, otherwise those since the link was lost.
    fn endpoint_updates_for(
        &self,
        to: &InstanceId,
        lost: Option<MonotonicTime>,
    ) -> Vec<PeerMessage> {
        let now = self.now();
        let sends_all = self.is_leader() || {
            let roster = self.roster.borrow();
            is_sponsor(&self.own, to, roster.alive(now).map(|note| &note.instance))
        };
        let since = if sends_all { Some(MonotonicTime::ZERO) } else { lost };
        since.map_or_else(Vec::new, |since| self.endpoint_updates_since(since))
    }

    /// Returns the endpoint changes since a point in time.
    fn endpoint_updates_since(&self, since: MonotonicTime) -> Vec<PeerMessage> {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let departed = endpoints.departed(MAX_REPORTED_DEPARTURES, since);
        let notices = endpoints.changed_notices(now, since);
        let mut updates = Vec::new();
        if !departed.is_empty() {
            updates.push(PeerMessage::EndpointsLeft(departed));
        }
        if !notices.is_empty() {
            updates.push(PeerMessage::Endpoints(notices));
        }
        updates
    }

    fn on_known(&self, instances: &[InstanceId]) {
        let now = self.now();
        let new: Vec<InstanceId> = {
            let mut roster = self.roster.borrow_mut();
            let others = instances.iter().filter(|instance| **instance != self.own);
            others.filter(|instance| roster.add(now, instance)).cloned().collect()
        };
        self.mesh.send_all(&new, &PeerMessage::Greeting(self.note()));
    }

    /// Determines the leader from the local replica and the notes of other daemons; the higher term
    /// wins.
    pub(crate) fn update_leader(&self) {
        let own = self.with_node(|node| Some((node.term(), node.leader()?.instance.clone())));
        let reported =
            self.roster.borrow().leader(self.now()).filter(|(_, leader)| *leader != self.own);
        let next = own.flatten().into_iter().chain(reported).max_by_key(|(term, _)| *term);
        let before = self.leader.replace(next.clone());
        if before == next {
            return;
        }
        let since = self.leader_since.replace(self.now());
        self.line(EventKind::Leader)
            .maybe("before", before.as_ref().map(|(_, leader)| leader))
            .millis("before_ms", self.now().since(since))
            .millis("late_ms", self.recent_loop_delay())
            .maybe("leader", next.as_ref().map(|(_, leader)| leader))
            .number("term", next.as_ref().map_or(LeaderTerm::ZERO, |(term, _)| *term))
            .text("outcome", if next.is_some() { "found" } else { "lost" });
        self.metrics.is_leader.set(i64::from(self.is_leader()));
        self.leader_changed.notify_waiters();
        if next.is_some() {
            self.home.borrow_mut().watch.record_answer();
        }
        self.on_new_home();
    }
}

fn voters_of(node: &ConsensusNode) -> Vec<InstanceId> {
    node.voters().voters.iter().map(|voter| voter.instance.clone()).collect()
}

/// Passes the mesh's events to the gateway.
pub(crate) struct GatewayMesh(pub(crate) Rc<Gateway>);

impl MeshEvents for GatewayMesh {
    fn on_message(&self, from: &InstanceId, message: PeerMessage) {
        let gateway = &self.0;
        match message {
            PeerMessage::Greeting(note) => gateway.on_greeting(from, note),
            PeerMessage::Present { boot, edition } => {
                let now = gateway.now();
                let is_known =
                    gateway.roster.borrow_mut().record_presence(now, from, boot, edition);
                if !is_known {
                    gateway.mesh.send(from, &PeerMessage::GreetingAsk);
                }
            }
            PeerMessage::GreetingAsk => {
                gateway.mesh.send(from, &PeerMessage::Greeting(gateway.note()));
            }
            PeerMessage::Known(instances) => gateway.on_known(&instances),
            PeerMessage::Farewell => {
                gateway.roster.borrow_mut().left(from);
                gateway.remove_proof(from);
                if !gateway.is_counted(PeerChange::Left, from) {
                    gateway.line(EventKind::Peer).text("peer", from).text("outcome", "left");
                }
            }
            PeerMessage::Consensus(envelope) => gateway.on_consensus(envelope),
            PeerMessage::FreshAsk { token, held } => gateway.on_fresh_ask(from, token, held),
            PeerMessage::FreshAnswer { token, verdict } => {
                gateway.answer_call(token, PeerReply::Fresh(verdict));
            }
            PeerMessage::Document { text, pass_on } => gateway.on_document(text, &pass_on),
            PeerMessage::InForce(revision) => gateway.on_in_force(from, revision),
            PeerMessage::Propose { token, text } => {
                let proposer = Proposer { instance: from.clone(), token };
                gateway.propose_here(&text, &proposer);
            }
            PeerMessage::ProposeAnswer { token, verdict } => {
                gateway.answer_call(token, PeerReply::Proposed(verdict));
            }
            PeerMessage::ProposeDrain { token, command } => {
                let proposer = Proposer { instance: from.clone(), token };
                gateway.propose_drain_here(command, &proposer);
            }
            PeerMessage::ProposeDrainAnswer { token, verdict } => {
                gateway.answer_call(token, PeerReply::Drained(verdict));
            }
            PeerMessage::LeafAsk { token, state } => gateway.on_leaf_ask(from, token, &state),
            PeerMessage::RepeatAsk { token, service } => {
                let is_granted = gateway.grant_repeat(&service);
                gateway.mesh.send(from, &PeerMessage::RepeatAnswer { token, is_granted });
            }
            PeerMessage::RepeatAnswer { token, is_granted } => {
                gateway.answer_call(token, PeerReply::Repeat(is_granted));
            }
            PeerMessage::SecondSendAsk { token, service, deposit } => {
                let is_granted = gateway.grant_second_send(&service, deposit);
                gateway.mesh.send(from, &PeerMessage::SecondSendAnswer { token, is_granted });
            }
            PeerMessage::SecondSendAnswer { token, is_granted } => {
                gateway.answer_call(token, PeerReply::SecondSend(is_granted));
            }
            PeerMessage::LeafAnswer { token, status } => {
                gateway.answer_call(token, PeerReply::Hub(status));
            }
            PeerMessage::EndpointView { notices, left } => gateway.on_endpoint_view(notices, &left),
            PeerMessage::AttachedLeaves { is_all, leaves, detached } => {
                let mut roster = gateway.roster.borrow_mut();
                roster.update_attached_leaves(from, is_all, leaves, &detached);
            }
            PeerMessage::Drains(drains) => gateway.adopt_drains(&drains),
            PeerMessage::Endpoints(notices) => gateway.on_endpoint_notices(from, notices),
            PeerMessage::EndpointsRelayed(notices) => gateway.on_relayed_notices(from, notices),
            PeerMessage::EndpointsLeft(endpoints) => gateway.on_endpoints_left(from, &endpoints),
            PeerMessage::Faults(faults) => gateway.on_faults(from, &faults),
            PeerMessage::Limits(notices) => gateway.on_limits(from, &notices),
            PeerMessage::PermitAsk { token, ask, limits } => {
                gateway.on_permit_ask(from, token, &ask, &limits);
            }
            PeerMessage::PermitAnswer { token, verdict } => {
                gateway.answer_call(token, PeerReply::Permit(verdict));
            }
            PeerMessage::PermitUsed(endpoint) => gateway.on_permit_used(&endpoint),
            PeerMessage::PlaceAsk { token, ask, cell, waiter, resting, appointment, second } => {
                let ask = PromptAsk {
                    waiter: waiter.0,
                    resting: resting.0,
                    appointment: appointment.0,
                    second: second.0,
                    ..ask
                };
                gateway.on_place_ask(from, token, &ask, cell);
            }
            PeerMessage::PlaceAnswer { token, verdict, turn } => {
                let verdict =
                    verdict.map_err(|refusal| PlacementRefusal { turn: turn.0, ..refusal });
                gateway.answer_call(token, PeerReply::Placed(verdict));
            }
            PeerMessage::SilenceAsk { token, endpoint, silence } => {
                gateway.on_silence_ask(from, token, &endpoint, silence);
            }
            PeerMessage::SilenceAnswer { token, is_expected } => {
                gateway.answer_call(token, PeerReply::SilenceExpected(is_expected));
            }
            PeerMessage::Progress(notes, paces) => gateway.on_progress(&notes, &paces.0),
            PeerMessage::Placed(prompts, ranks) => gateway.on_placed(prompts, ranks.0),
            PeerMessage::Cases(updates) => gateway.on_case_updates(from, &updates),
            PeerMessage::Breaks(notices) => gateway.on_broken_runs(from, &notices),
            PeerMessage::PartCases(updates) => gateway.on_part_updates(from, &updates),
            PeerMessage::PartCaseHash { hash, is_answer } => {
                gateway.on_part_case_hash(from, hash, is_answer);
            }
            PeerMessage::Appointments(appointments) => gateway.on_appointments(&appointments),
            PeerMessage::CaseHash { hash, is_answer } => {
                gateway.on_case_hash(from, hash, is_answer);
            }
        }
    }

    fn on_link_up(&self, to: &InstanceId) -> Vec<PeerMessage> {
        let gateway = &self.0;
        if !gateway.is_counted(PeerChange::LinkUp, to) {
            gateway.line(EventKind::PeerLink).text("peer", to).text("outcome", "up");
        }
        let lost = gateway.links_lost.borrow_mut().remove(to);
        gateway.record_link_up(to);
        let mut messages = vec![PeerMessage::Greeting(gateway.note())];
        messages.extend(gateway.state_updates_for(to, lost));
        messages
    }

    fn on_link_down(&self, to: &InstanceId, reason: &str) {
        if !self.0.is_counted(PeerChange::LinkDown, to) {
            let line = self.0.line(EventKind::PeerLink).text("peer", to).text("outcome", "down");
            line.text("reason", reason);
        }
        let unconfirmed_since = self.0.now() - UNCONFIRMED_BEFORE_LOSS;
        self.0.links_lost.borrow_mut().insert(to.clone(), unconfirmed_since);
    }

    fn on_tunnel(&self, open: TunnelOpen, stream: TcpStream) {
        spawn_local(serve_tunnel(Rc::clone(&self.0), open, stream));
    }
}
