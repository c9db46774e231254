//! Runs the replica of the log inside the gateway: advances its clock, handles storage reports,
//! founds or joins a system, sends its messages, and maintains the set of voters.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_consensus::{
    ConsensusMessage, ConsensusNode, DiskInstance, ElectionEvent, Envelope, NodeRole, VoterState,
};
use oriolepass_storage::FolderOpening;
use oriolepass_units::{InstanceId, MonotonicTime};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::events::EventKind;
use crate::founding::{EmptyStart, StartView, min_voter_count, replacement_policy};
use crate::gateway::Gateway;
use crate::lifecycle::Lifecycle;
use crate::peers::{PeerMessage, ProtocolLevel};
use crate::replica::{DiskFailure, ReplicaDriver, ReplicaEffects, StorageReport};
use crate::roster::DaemonPhase;
use crate::voter_watch::VoterReport;

/// The interval between ticks of the replica: a fraction of the log's heartbeat interval.
const REPLICA_TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The interval between reviews of the voters.
const VOTER_REVIEW_INTERVAL: Duration = Duration::from_millis(500);

impl Gateway {
    /// Applies `read` to the replica's node; returns `None` if the replica is not running.
    pub(crate) fn with_node<T>(&self, read: impl FnOnce(&ConsensusNode) -> T) -> Option<T> {
        self.replica.borrow().as_ref().and_then(ReplicaDriver::node).map(read)
    }

    /// Ticks the replica and handles the storage thread's reports until their channel is closed.
    pub(crate) async fn run_replica(self: Rc<Self>, mut reports: UnboundedReceiver<StorageReport>) {
        let mut ticks = interval(REPLICA_TICK_INTERVAL);
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

    /// Logs the state that the replica's start recovered, and reports a missing leader.
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

    /// Logs whether the data folder was created or found, and whether its name is durable.
    fn log_folder(&self, folder: FolderOpening) {
        let parent = folder.unsynced_parent.map_or("synced".into(), |r| format!("not synced: {r}"));
        self.line(EventKind::Replica)
            .text("folder", if folder.is_created { "created" } else { "found" })
            .text("parent", parent)
            .text("outcome", "opened");
    }

    /// Logs that the replica has no leader, with the voters and the other live replicas. The log
    /// line thus distinguishes a missing majority from a majority that does not agree on a leader.
    fn report_no_leader(&self, now: MonotonicTime, time: Duration) {
        let voters = self.own_voters();
        let replicas: Vec<InstanceId> = {
            let roster = self.roster.borrow();
            let running = roster.alive(now).filter(|note| note.replica.is_some());
            running.map(|note| note.instance.clone()).collect()
        };
        self.with_node(|node| {
            self.line(EventKind::Replica)
                .millis("for_ms", time)
                .text("role", format!("{:?}", node.role()).to_lowercase())
                .number("term", node.term())
                .number("last_index", node.last_index())
                .text("voters", join(&voters))
                .text("other_replicas", join(&replicas))
                .text("outcome", "no leader");
        });
    }

    /// Starts a replica with an empty disk once it is known which system to join or found.
    fn start_empty_replica(self: &Rc<Self>, now: MonotonicTime) {
        if !self.replica.borrow().as_ref().is_some_and(ReplicaDriver::is_empty) {
            return;
        }
        let mut seeds = self.seed_instances();
        let (view, voters) = {
            let settings = self.settings();
            let roster = self.roster.borrow();
            let is_heard = |seed: &&InstanceId| roster.alive(now).any(|n| n.instance == **seed);
            let is_seed = self.is_seed();
            let voters = roster.voters(now);
            let view = StartView {
                may_found: settings.seeds.may_found,
                is_seed,
                seeds: seeds.len() + usize::from(is_seed),
                heard_seeds: seeds.iter().filter(is_heard).count() + usize::from(is_seed),
                knows_voters: !voters.is_empty(),
                is_founded: roster.knows_founded_system(now),
            };
            (view, voters)
        };
        let decision = view.decide();
        match decision {
            EmptyStart::Join => {
                self.start_replica("joins", &voters, |replica| replica.join(now, &voters));
            }
            EmptyStart::Found => {
                seeds.push(self.own.clone());
                seeds.sort();
                self.line(EventKind::Founding).text("first_voters", join(&seeds));
                let list = seeds.clone();
                self.start_replica("founds", &seeds, |replica| replica.found(now, list));
            }
            EmptyStart::WaitForSeeds | EmptyStart::WaitForSystem => {
                let waited = self.start_watch.borrow_mut().record(now, false);
                if let (Some(time), Some(reason)) = (waited, decision.wait_reason()) {
                    self.line(EventKind::Replica)
                        .millis("for_ms", time)
                        .number("may_found", view.may_found)
                        .number("seeds", view.seeds)
                        .number("heard_seeds", view.heard_seeds)
                        .text("outcome", "not started")
                        .text("reason", reason);
                }
            }
        }
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
        if let StorageReport::Synced(_, took) = &report {
            self.metrics.syncs.inc();
            self.metrics.sync_seconds.observe(took.as_secs_f64());
        }
        let is_opening = matches!(report, StorageReport::Opened(..));
        let reported = self.replica.borrow_mut().as_mut().map(|r| r.report(now, report));
        let Some((effects, failure)) = reported else { return };
        if let Some(DiskFailure { error, was_running }) = failure {
            let outcome = if was_running { "stopped" } else { "not started" };
            self.line(EventKind::Replica).text("outcome", outcome).text("reason", error);
            self.update_leader();
        }
        self.carry_out(effects);
        if is_opening {
            self.tick_replica();
        } else {
            self.step_replica();
        }
    }

    pub(crate) fn on_consensus(self: &Rc<Self>, envelope: Envelope) {
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            replica.receive(now, envelope);
        }
        self.step_replica();
    }

    /// Steps the replica and carries out the effects.
    pub(crate) fn step_replica(self: &Rc<Self>) {
        let now = self.now();
        let effects = match self.replica.borrow_mut().as_mut() {
            Some(replica) => replica.step(now),
            None => return,
        };
        self.carry_out(effects);
    }

    fn carry_out(self: &Rc<Self>, effects: ReplicaEffects) {
        self.record_leadership();
        for envelope in effects.send {
            let to = envelope.to.clone();
            let is_removal = matches!(envelope.message, ConsensusMessage::Removed { .. });
            if !is_removal || self.roster.borrow().understands(&to, ProtocolLevel::REMOVALS) {
                self.mesh.send(&to, &PeerMessage::Consensus(envelope));
            }
        }
        if let Some(text) = effects.newest {
            if self.with_node(ConsensusNode::role) == Some(NodeRole::Leader) {
                self.disseminate_document(&text);
            }
            self.adopt_document(text);
        }
        if let Some(drains) = effects.drains {
            if self.with_node(ConsensusNode::role) == Some(NodeRole::Leader) {
                self.broadcast_drains(&drains);
            }
            self.adopt_drains(&drains);
        }
        for (proposer, end) in effects.ended {
            self.end_proposal(proposer, &end);
        }
        effects.elections.into_iter().for_each(|event| self.log_election(event));
        if let Some(folder) = effects.folder {
            self.log_folder(folder);
        }
        if let Some(slow) = effects.slow_sync {
            self.line(EventKind::Replica)
                .number("syncs", slow.count)
                .millis("longest_ms", slow.longest)
                .text("outcome", "slow syncs");
        }
        let known = self.with_node(|node| (node.term(), node.leader().map(|l| l.instance.clone())));
        let recorded = self.leader.borrow().clone();
        if let Some((term, leader)) = known {
            let is_changed = match (&leader, &recorded) {
                (Some(leader), Some((t, l))) => term >= *t && (term, leader) != (*t, l),
                (Some(_), None) => true,
                (None, Some((t, l))) => term >= *t && *l == self.own,
                (None, None) => false,
            };
            if is_changed {
                self.update_leader();
                self.greet_now();
            }
        }
    }

    /// Records the term if this daemon leads, and judges its start before it takes a command.
    fn record_leadership(&self) {
        let leads = |node: &ConsensusNode| node.role() == NodeRole::Leader;
        let term = self.with_node(|node| leads(node).then(|| node.term())).flatten();
        if let Some(term) = term {
            self.documents.borrow_mut().proofs.begin_term(self.now(), term);
            // A leader's log has all commands that were accepted, until it accepts the next one.
            self.judge_start();
        }
    }

    fn log_election(&self, event: ElectionEvent) {
        let line = self.line(EventKind::Replica).millis("late_ms", self.recent_loop_delay());
        match event {
            ElectionEvent::Candidate(term) => {
                line.number("term", term).text("outcome", "stands for election");
            }
            ElectionEvent::Elected(term, after) => {
                line.number("term", term).millis("after_ms", after).text("outcome", "elected");
            }
            ElectionEvent::SteppedDown(term, reason) => {
                line.number("term", term)
                    .text("reason", reason.name())
                    .text("outcome", "stepped down");
            }
        }
    }

    /// Returns the number of voters without which no command is accepted.
    pub(crate) fn min_voters(&self) -> usize {
        min_voter_count(&self.settings().tolerance)
    }

    /// Reviews the voters at an interval: the leader replaces lost voters, and a replica that is
    /// not a member yet learns the voters that it can ask for membership.
    pub(crate) async fn maintain_voters(self: Rc<Self>) {
        loop {
            sleep(VOTER_REVIEW_INTERVAL).await;
            self.review_voters();
        }
    }

    fn review_voters(self: &Rc<Self>) {
        let now = self.now();
        let contacts = self.roster.borrow().voters(now);
        let policy = replacement_policy(&self.settings().tolerance);
        let instances = self.instances_with_disk();
        let mut replica = self.replica.borrow_mut();
        let Some(replica) = replica.as_mut() else { return };
        replica.set_contacts(&contacts);
        let Some(node) = replica.node().filter(|node| node.holds_lease(now)) else {
            self.record_voter_states(now, &BTreeMap::new(), 0);
            return;
        };
        let wanted = node.voters().wanted.clone();
        let state = |instance: &InstanceId| node.voter_state(now, instance, policy.voter_timeout);
        let states = wanted.iter().map(|instance| (instance.clone(), state(instance))).collect();
        self.record_voter_states(now, &states, policy.voter_count.saturating_sub(wanted.len()));
        if let Some(next) = node.voters_with_replacements(now, &instances, policy) {
            self.line(EventKind::Voters)
                .text("before", join(&wanted))
                .text("wanted", join(&next))
                .text("outcome", "wanted");
            replica.want_voters(next);
        }
    }

    /// Returns the known daemons with a disk, this daemon included.
    fn instances_with_disk(&self) -> BTreeMap<InstanceId, DiskInstance> {
        let mut instances: BTreeMap<InstanceId, DiskInstance> = {
            let roster = self.roster.borrow();
            let with_disk = |instance: &InstanceId| {
                let note = roster.get(instance)?.note.as_ref()?;
                note.has_disk.then(|| DiskInstance {
                    data_centre: note.data_centre.clone(),
                    is_leaving: note.phase == DaemonPhase::Leaving,
                })
            };
            roster.known().filter_map(|i| Some((i.clone(), with_disk(i)?))).collect()
        };
        let own = DiskInstance {
            data_centre: self.settings().data_centre.clone(),
            is_leaving: *self.lifecycle.borrow() != Lifecycle::Serving,
        };
        instances.insert(self.own.clone(), own);
        instances
    }

    /// Sets the metrics of the voters, and logs those that are absent for long. Only the leader
    /// knows the states; the others pass none.
    fn record_voter_states(
        &self,
        now: MonotonicTime,
        states: &BTreeMap<InstanceId, VoterState>,
        lacking: usize,
    ) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let live = states.values().filter(|state| **state == VoterState::Live).count();
        self.metrics.voters_wanted.set(gauge(states.len() + lacking));
        self.metrics.voters_live.set(gauge(live));
        self.metrics.voters_lacking.set(gauge(states.len() + lacking - live));
        for report in self.voter_watch.borrow_mut().record(now, states, lacking) {
            let line = self.line(EventKind::Voters);
            match report {
                VoterReport::Absent(instance, state, time) => line
                    .text("instance", instance)
                    .millis("for_ms", time)
                    .text("reason", state.name())
                    .text("outcome", "not live"),
                VoterReport::Lacking(count, time) => line
                    .number("lacking", count)
                    .millis("for_ms", time)
                    .text("reason", "too few instances with a disk ask to join")
                    .text("outcome", "lacking"),
            };
        }
    }
}

fn join<'a>(instances: impl IntoIterator<Item = &'a InstanceId>) -> String {
    let names: Vec<&str> = instances.into_iter().map(InstanceId::as_str).collect();
    names.join(",")
}
