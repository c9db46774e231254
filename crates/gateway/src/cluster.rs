//! The daemons among themselves: greetings, the leader, the replica of the log, who votes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_consensus::{ConsensusMessage, Envelope, NodeRole};
use oriolepass_units::{InstanceId, LeaderTerm, MonotonicTime};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::events::EventKind;
use crate::founding::{DiskDaemon, replaced_voters};
use crate::gateway::{Gateway, PeerReply};
use crate::lifecycle::Lifecycle;
use crate::peers::{MeshEvents, PeerMessage};
use crate::replica::{DiskFailure, Proposer, ReplicaDriver, ReplicaEffects, StorageReport};
use crate::roster::{DaemonNote, DaemonPhase, GREET_EVERY, ReplicaNote, RosterChange};

/// Between two ticks of the replica: a fraction of the heartbeat of the log.
const REPLICA_TICK: Duration = Duration::from_millis(25);

/// Between two looks at who should vote.
const VOTERS_EVERY: Duration = Duration::from_millis(500);

/// Greetings to a daemon that does not answer are sent this many times less often.
const SILENT_GREETING_DIVISOR: u64 = 5;

/// Greetings say everything this many times less often than they say that the daemon is alive, and
/// whenever something has changed: all of it takes some 150 bytes, and with 96 daemons saying it each
/// time was a quarter of the bytes between data centres (measured, 0.118 to 0.087 GB a day).
const FULL_GREETING_DIVISOR: u64 = 8;

/// The most endpoints that have left that a daemon is told of when a connection comes up.
const TOLD_LEAVERS: usize = 256;

impl Gateway {
    /// Greets the other daemons again and again.
    pub(crate) async fn keep_greeting(self: Rc<Self>) {
        let mut round = 0_u64;
        loop {
            self.greet(round);
            self.look_for_leader();
            round += 1;
            sleep(GREET_EVERY).await;
        }
    }

    fn greet(&self, round: u64) {
        let now = self.now();
        let seeds = self.seed_instances();
        let (to, forgotten) = {
            let mut roster = self.roster.borrow_mut();
            for seed in &seeds {
                roster.add(now, seed);
            }
            let voters: BTreeSet<InstanceId> = self.own_voters().into_iter().collect();
            let forgotten =
                roster.expire(now, |daemon| seeds.contains(daemon) || voters.contains(daemon));
            let is_due = |daemon: &&InstanceId| {
                round.is_multiple_of(SILENT_GREETING_DIVISOR)
                    || roster.silence(now, daemon) < crate::roster::SILENT_AFTER
                    || round < SILENT_GREETING_DIVISOR
            };
            let to: Vec<InstanceId> = roster.known().filter(is_due).cloned().collect();
            (to, forgotten)
        };
        for daemon in forgotten {
            self.mesh.forget(&daemon);
            self.line(EventKind::Peer).text("peer", &daemon).text("outcome", "forgotten");
        }
        self.mesh.send_all(&to, &self.greeting(round));
        let alive = self.roster.borrow().alive(now).count();
        self.metrics.peers.set(i64::try_from(alive).unwrap_or(i64::MAX));
    }

    /// Returns what this round's greeting says: everything, or that nothing has changed.
    fn greeting(&self, round: u64) -> PeerMessage {
        let note = self.note();
        let has_changed = self.greeted_edition.replace(note.edition) != note.edition;
        if has_changed
            || round < SILENT_GREETING_DIVISOR
            || round.is_multiple_of(FULL_GREETING_DIVISOR)
        {
            return PeerMessage::Greeting(note);
        }
        PeerMessage::Present { boot: self.boot, edition: note.edition }
    }

    /// Greets everyone at once, after a change that the others should know of.
    pub(crate) fn greet_now(&self) {
        let to: Vec<InstanceId> = {
            let roster = self.roster.borrow();
            roster.alive(self.now()).map(|note| note.instance.clone()).collect()
        };
        self.mesh.send_all(&to, &PeerMessage::Greeting(self.note()));
    }

    /// Daemons listen for each other on the same port everywhere, so an address is enough.
    fn seed_instances(&self) -> Vec<InstanceId> {
        let settings = self.settings();
        let port = settings.listen.peers.port();
        let instances = settings.seeds.hosts.iter().map(|host| SocketAddr::new(*host, port));
        instances
            .filter_map(|address| address.to_string().parse().ok())
            .filter(|instance| *instance != self.own)
            .collect()
    }

    /// Returns what this daemon says of itself.
    fn note(&self) -> DaemonNote {
        let settings = self.settings();
        let replica = self.replica.borrow();
        let node = replica.as_ref().and_then(|replica| replica.node());
        let formed = node.filter(|node| !node.voters().voters.is_empty());
        let mut note = DaemonNote {
            instance: self.own.clone(),
            name: settings.name.clone(),
            boot: self.boot,
            data_centre: settings.data_centre.clone(),
            callers: settings.listen.callers,
            phase: self.daemon_phase(),
            has_disk: settings.data_folder.is_some(),
            may_found: settings.seeds.may_found
                && replica.as_ref().is_some_and(ReplicaDriver::is_empty),
            replica: formed.map(|node| ReplicaNote {
                term: node.term(),
                leader: node.leader().map(|leader| leader.instance.clone()),
                voters: node.voters().voters.iter().map(|v| v.instance.clone()).collect(),
            }),
            known: u32::try_from(self.roster.borrow().known_count()).unwrap_or(u32::MAX),
            edition: 0,
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

    fn daemon_phase(&self) -> DaemonPhase {
        match *self.lifecycle.borrow() {
            Lifecycle::Serving if self.was_ready.get() => DaemonPhase::Ready,
            Lifecycle::Serving => DaemonPhase::Unready,
            Lifecycle::Draining | Lifecycle::Stopped => DaemonPhase::Leaving,
        }
    }

    fn own_voters(&self) -> Vec<InstanceId> {
        let replica = self.replica.borrow();
        let node = replica.as_ref().and_then(|replica| replica.node());
        node.map(|node| node.voters().voters.iter().map(|v| v.instance.clone()).collect())
            .unwrap_or_default()
    }

    fn on_greeting(self: &Rc<Self>, from: &InstanceId, note: DaemonNote) {
        let now = self.now();
        let (boot, known, name, phase) = (note.boot, note.known, note.name.clone(), note.phase);
        let (change, more, is_new) = {
            let mut roster = self.roster.borrow_mut();
            let is_new = roster.get(from).is_none();
            let change = roster.take(now, note);
            let list: Vec<InstanceId> = roster.known().cloned().collect();
            let lacks = usize::try_from(known).unwrap_or(usize::MAX) < list.len();
            (change, lacks.then_some(list), is_new)
        };
        if change == RosterChange::Met {
            self.line(EventKind::Peer)
                .text("peer", from)
                .text("name", name)
                .number("boot", boot)
                .text("outcome", "met");
        }
        if change != RosterChange::Refreshed {
            if phase == DaemonPhase::Leaving {
                self.line(EventKind::Peer).text("peer", from).text("outcome", "leaving");
            }
            self.look_for_leader();
        }
        if let Some(list) = more {
            self.mesh.send(from, &PeerMessage::Known(list));
        }
        if is_new {
            self.mesh.send(from, &PeerMessage::Greeting(self.note()));
        }
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

    /// Works out who leads, from the replica here and from what others say.
    pub(crate) fn look_for_leader(&self) {
        let own = {
            let replica = self.replica.borrow();
            let node = replica.as_ref().and_then(|replica| replica.node());
            node.and_then(|node| Some((node.term(), node.leader()?.instance.clone())))
        };
        let told =
            self.roster.borrow().leader(self.now()).filter(|(_, leader)| *leader != self.own);
        let next = own.into_iter().chain(told).max_by_key(|(term, _)| *term);
        let before = self.leader.replace(next.clone());
        if before == next {
            return;
        }
        self.line(EventKind::Leader)
            .maybe("before", before.as_ref().map(|(_, leader)| leader))
            .maybe("leader", next.as_ref().map(|(_, leader)| leader))
            .number("term", next.as_ref().map_or(LeaderTerm::ZERO, |(term, _)| *term))
            .text("outcome", if next.is_some() { "found" } else { "lost" });
        self.metrics.is_leader.set(i64::from(self.is_leader()));
        self.leader_changed.notify_waiters();
        self.on_new_home();
    }

    /// Runs the replica: time, the storage thread's reports, founding, joining.
    pub(crate) async fn run_replica(self: Rc<Self>, mut reports: UnboundedReceiver<StorageReport>) {
        let mut ticks = interval(REPLICA_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick_replica(),
                report = reports.recv() => match report {
                    Some(report) => self.on_storage_report(report),
                    None => return,
                },
            }
        }
    }

    fn tick_replica(self: &Rc<Self>) {
        let now = self.now();
        let opened = match self.replica.borrow_mut().as_mut() {
            Some(replica) => replica.open(now),
            None => return,
        };
        self.metrics.replica_runs.set(i64::from(matches!(opened, Ok(true))));
        match opened {
            Ok(true) => {
                self.report_replica(now);
                if let Some(replica) = self.replica.borrow_mut().as_mut() {
                    replica.tick(now);
                }
                self.step_replica();
            }
            Ok(false) => self.start_empty_replica(now),
            Err(error) => {
                self.line(EventKind::Replica).text("outcome", "not started").text("reason", error);
            }
        }
    }

    /// Says what the replica's start found, and while it has no leader, whom it sees.
    fn report_replica(&self, now: MonotonicTime) {
        let (recovery, leaderless) = {
            let mut replica = self.replica.borrow_mut();
            let Some(replica) = replica.as_mut() else { return };
            (replica.take_recovery(), replica.leaderless(now))
        };
        if let Some(note) = recovery {
            self.line(EventKind::Replica)
                .number("term", note.term)
                .number("last_index", note.last_index)
                .number("snapshot_index", note.snapshot_index)
                .number("cut_bytes", note.cut_bytes)
                .text("voters", join(&self.own_voters()))
                .text("outcome", "recovered");
        }
        if let Some(time) = leaderless {
            self.report_no_leader(now, time);
        }
    }

    /// Tells a majority that is missing from one that does not agree.
    fn report_no_leader(&self, now: MonotonicTime, time: Duration) {
        let voters = self.own_voters();
        let roster = self.roster.borrow();
        let running = roster.alive(now).filter(|note| note.replica.is_some());
        let replicas: Vec<&InstanceId> = running.map(|note| &note.instance).collect();
        let replica = self.replica.borrow();
        let Some(node) = replica.as_ref().and_then(ReplicaDriver::node) else { return };
        self.line(EventKind::Replica)
            .millis("for_ms", time)
            .text("role", format!("{:?}", node.role()).to_lowercase())
            .number("term", node.term())
            .number("last_index", node.last_index())
            .text("voters", join(&voters))
            .text("other_replicas", join(replicas))
            .text("outcome", "no leader");
    }

    /// Starts a replica with an empty disk as soon as it is clear which system it belongs to.
    fn start_empty_replica(self: &Rc<Self>, now: MonotonicTime) {
        if !self.replica.borrow().as_ref().is_some_and(ReplicaDriver::is_empty) {
            return;
        }
        let voters = self.roster.borrow().voters(now);
        if !voters.is_empty() {
            self.start_replica("joins", &voters, |replica| replica.join(now, &voters));
            return;
        }
        let settings = self.settings();
        if !settings.seeds.may_found {
            return;
        }
        let mut candidates: BTreeMap<_, _> = {
            let roster = self.roster.borrow();
            let founders = roster.alive(now).filter(|note| note.may_found && note.has_disk);
            founders.map(|note| (note.instance.clone(), note.data_centre.clone())).collect()
        };
        candidates.insert(self.own.clone(), settings.data_centre.clone());
        let chosen =
            self.survey.borrow_mut().choose(now, &self.own, candidates, &settings.tolerance);
        if let Some(first_voters) = chosen {
            self.found_with(now, &first_voters);
        }
    }

    fn found_with(self: &Rc<Self>, now: MonotonicTime, first_voters: &[InstanceId]) {
        self.line(EventKind::Founding).text("first_voters", join(first_voters));
        let list = first_voters.to_vec();
        self.start_replica("founds", first_voters, |replica| replica.found(now, list));
    }

    fn start_replica(
        self: &Rc<Self>,
        outcome: &str,
        with: &[InstanceId],
        start: impl FnOnce(&mut ReplicaDriver),
    ) {
        self.replica.borrow_mut().as_mut().map(start);
        self.line(EventKind::Replica).text("with", join(with)).text("outcome", outcome);
        self.step_replica_soon();
    }

    fn step_replica_soon(self: &Rc<Self>) {
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move { gateway.step_replica() });
    }

    fn on_storage_report(self: &Rc<Self>, report: StorageReport) {
        let now = self.now();
        let is_sync = matches!(report, StorageReport::Synced(_));
        let is_opening = matches!(report, StorageReport::Opened(_));
        let reported = self.replica.borrow_mut().as_mut().map(|r| r.report(now, report));
        let Some((effects, failure)) = reported else { return };
        if let Some(DiskFailure { error, was_running }) = failure {
            let outcome = if was_running { "stopped" } else { "not started" };
            self.line(EventKind::Replica).text("outcome", outcome).text("reason", error);
            self.look_for_leader();
        }
        self.metrics.syncs.inc_by(u64::from(is_sync));
        self.carry_out(effects);
        if is_opening {
            self.tick_replica();
        } else {
            self.step_replica();
        }
    }

    fn on_consensus(self: &Rc<Self>, envelope: Envelope) {
        let now = self.now();
        let is_waiting = self.replica.borrow().as_ref().is_some_and(ReplicaDriver::is_empty);
        if is_waiting {
            // Another founder has chosen; only a list with this daemon in it concerns it.
            if let ConsensusMessage::Forming { first_voters, .. } = &envelope.message
                && first_voters.contains(&self.own)
                && self.settings().seeds.may_found
            {
                self.found_with(now, first_voters);
            }
        }
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            replica.receive(now, envelope);
        }
        self.step_replica();
    }

    /// Carries out what the replica wants done.
    pub(crate) fn step_replica(self: &Rc<Self>) {
        let now = self.now();
        let effects = match self.replica.borrow_mut().as_mut() {
            Some(replica) => replica.step(now),
            None => return,
        };
        self.carry_out(effects);
    }

    fn carry_out(self: &Rc<Self>, effects: ReplicaEffects) {
        for envelope in effects.send {
            let to = envelope.to.clone();
            self.mesh.send(&to, &PeerMessage::Consensus(envelope));
        }
        if let Some(text) = effects.newest {
            let leads = {
                let replica = self.replica.borrow();
                let node = replica.as_ref().and_then(|replica| replica.node());
                node.is_some_and(|node| node.role() == NodeRole::Leader)
            };
            if leads {
                let to: Vec<InstanceId> = {
                    let roster = self.roster.borrow();
                    roster.alive(self.now()).map(|note| note.instance.clone()).collect()
                };
                self.mesh.send_all(&to, &PeerMessage::Document(text.clone()));
            }
            self.adopt_document(text);
        }
        for (proposer, end) in effects.ended {
            self.end_proposal(proposer, &end);
        }
        let known = {
            let replica = self.replica.borrow();
            let node = replica.as_ref().and_then(|replica| replica.node());
            node.map(|node| (node.term(), node.leader().map(|l| l.instance.clone())))
        };
        let believed = self.leader.borrow().clone();
        if let Some((term, leader)) = known {
            let is_news = match (&leader, &believed) {
                (Some(leader), Some((t, l))) => term >= *t && (term, leader) != (*t, l),
                (Some(_), None) => true,
                (None, Some((t, l))) => term >= *t && *l == self.own,
                (None, None) => false,
            };
            if is_news {
                self.look_for_leader();
                self.greet_now();
            }
        }
    }

    /// As the leader, replaces voters that are lost; as a replica outside, keeps asking.
    pub(crate) async fn keep_voters(self: Rc<Self>) {
        loop {
            sleep(VOTERS_EVERY).await;
            self.review_voters();
        }
    }

    fn review_voters(self: &Rc<Self>) {
        let now = self.now();
        let contacts = self.roster.borrow().voters(now);
        let settings = self.settings();
        let mut replica = self.replica.borrow_mut();
        let Some(replica) = replica.as_mut() else { return };
        replica.learn_contacts(&contacts);
        let Some(node) = replica.node().filter(|node| node.holds_lease(now)) else { return };
        let wanted = node.voters().wanted.clone();
        let mut disks: BTreeMap<InstanceId, DiskDaemon> = {
            let roster = self.roster.borrow();
            let with_disk = |instance: &InstanceId| {
                let note = roster.get(instance)?.note.as_ref()?;
                note.has_disk.then(|| DiskDaemon {
                    data_centre: note.data_centre.clone(),
                    silence: roster.silence(now, instance),
                    is_leaving: note.phase == DaemonPhase::Leaving,
                })
            };
            roster.known().filter_map(|i| Some((i.clone(), with_disk(i)?))).collect()
        };
        let own = DiskDaemon {
            data_centre: settings.data_centre.clone(),
            silence: Duration::ZERO,
            is_leaving: *self.lifecycle.borrow() != Lifecycle::Serving,
        };
        disks.insert(self.own.clone(), own);
        if let Some(next) = replaced_voters(&wanted, &disks, &settings.tolerance) {
            self.line(EventKind::Voters)
                .text("before", join(&wanted))
                .text("wanted", join(&next))
                .text("outcome", "wanted");
            replica.want_voters(next);
        }
    }
}

fn join<'a>(instances: impl IntoIterator<Item = &'a InstanceId>) -> String {
    let names: Vec<&str> = instances.into_iter().map(InstanceId::as_str).collect();
    names.join(",")
}

/// The mesh's way to the gateway.
pub(crate) struct GatewayMesh(pub(crate) Rc<Gateway>);

impl MeshEvents for GatewayMesh {
    fn on_message(&self, from: &InstanceId, message: PeerMessage) {
        let gateway = &self.0;
        match message {
            PeerMessage::Greeting(note) => gateway.on_greeting(from, note),
            PeerMessage::Present { boot, edition } => {
                let now = gateway.now();
                gateway.roster.borrow_mut().is_present(now, from, boot, edition);
            }
            PeerMessage::Known(instances) => gateway.on_known(&instances),
            PeerMessage::Farewell => {
                gateway.roster.borrow_mut().left(from);
                gateway.line(EventKind::Peer).text("peer", from).text("outcome", "left");
            }
            PeerMessage::Consensus(envelope) => gateway.on_consensus(envelope),
            PeerMessage::FreshAsk { token, held } => gateway.on_fresh_ask(from, token, held),
            PeerMessage::FreshAnswer { token, verdict } => {
                gateway.answer_call(token, PeerReply::Fresh(verdict));
            }
            PeerMessage::Document(text) => gateway.adopt_document(text),
            PeerMessage::InForce(revision) => gateway.note_in_force(from, revision),
            PeerMessage::Propose { token, text } => {
                let proposer = Proposer { instance: from.clone(), token };
                gateway.propose_here(&text, &proposer);
            }
            PeerMessage::ProposeAnswer { token, verdict } => {
                gateway.answer_call(token, PeerReply::Proposed(verdict));
            }
            PeerMessage::Endpoints(notices) => gateway.on_endpoint_notices(from, notices),
            PeerMessage::EndpointsLeft(endpoints) => gateway.on_endpoints_left(from, endpoints),
            PeerMessage::Faults(faults) => gateway.on_faults(&faults),
            PeerMessage::PlaceAsk { token, ask } => gateway.on_place_ask(from, token, &ask),
            PeerMessage::PlaceAnswer { token, verdict } => {
                gateway.answer_call(token, PeerReply::Placed(verdict));
            }
            PeerMessage::SilenceAsk { token, endpoint, silence } => {
                let is_expected = gateway.explains_silence(&endpoint, silence);
                gateway.mesh.send(from, &PeerMessage::SilenceAnswer { token, is_expected });
            }
            PeerMessage::SilenceAnswer { token, is_expected } => {
                gateway.answer_call(token, PeerReply::SilenceExpected(is_expected));
            }
            PeerMessage::Progress(notes) => gateway.on_progress(&notes),
            PeerMessage::Placed(prompts) => gateway.on_placed(prompts),
        }
    }

    fn on_link_up(&self, to: &InstanceId) -> Vec<PeerMessage> {
        let gateway = &self.0;
        gateway.line(EventKind::PeerLink).text("peer", to).text("outcome", "up");
        let endpoints = gateway.endpoints.borrow();
        let notices = endpoints.notices(gateway.now(), MonotonicTime::ZERO);
        vec![
            PeerMessage::Greeting(gateway.note()),
            PeerMessage::EndpointsLeft(endpoints.leavers(TOLD_LEAVERS)),
            PeerMessage::Endpoints(notices),
        ]
    }

    fn on_link_down(&self, to: &InstanceId, reason: &str) {
        let line = self.0.line(EventKind::PeerLink).text("peer", to).text("outcome", "down");
        line.text("reason", reason);
    }
}
