//! Runs the `log` thread, which feeds the consensus node and applies committed entries.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Weak};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, bounded, select};
use oriolepass_config::{
    ApplyOutcome, MemberCommand, ReplicatedCommand, ReplicatedState, StampedCommand,
};
use oriolepass_consensus::{
    ConsensusNode, EntryPayload, LogEntry, NodeRole, PersistBatch, ReplicaId,
};
use oriolepass_schema::operator::KeyHash;
use oriolepass_storage::LogStore;
use oriolepass_units::{InstanceId, LeaderTerm, LeaseEpoch, LogIndex, MonotonicTime};
use spdlog::info;

use super::leases::MemberLeaseTracker;
use super::{LogInput, Reply, storage_duty};
use crate::logging::duty_failed;
use crate::peers::{
    LeaderAnswer, LeaderReport, LogFailure, MemberHeartbeat, MemberLease, PeerHandle,
};
use crate::shared::DaemonShared;
use crate::view::ViewUpdate;

/// The capacity of the ring of the `storage` thread, in batches.
const STORAGE_RING_CAPACITY: usize = 256;

/// The maximum number of inputs processed before the node's output is processed.
const MAX_INPUTS_PER_ROUND: usize = 512;

/// The number of entries applied between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 20_000;

/// The components from which the `log` and `storage` threads are built.
pub(crate) struct LogParts {
    pub(crate) shared: Weak<DaemonShared>,
    pub(crate) inputs: Receiver<LogInput>,
    pub(crate) node: ConsensusNode,
    pub(crate) store: LogStore,
    pub(crate) peers: PeerHandle,
    pub(crate) member_lease: Duration,
    pub(crate) root_key: Option<KeyHash>,
}

/// Starts the `log` and the `storage` thread.
///
/// # Errors
///
/// Returns the operating system's error when a thread cannot be started.
pub(crate) fn start_log(parts: LogParts) -> std::io::Result<Vec<JoinHandle<()>>> {
    let (batches, to_sync) = bounded(STORAGE_RING_CAPACITY);
    // The storage thread never blocks on this channel, because no more batches can be in flight.
    let (synced, acks) = bounded(STORAGE_RING_CAPACITY + 2);
    let (peers, store) = (parts.peers.clone(), parts.store);
    let metrics_owner = parts.shared.clone();
    let storage = std::thread::Builder::new().name("storage".into()).spawn(move || {
        storage_duty::run(store, &to_sync, &synced, &peers, || {
            if let Some(shared) = metrics_owner.upgrade() {
                shared.metrics.log_syncs.inc();
            }
        });
    })?;
    let driver = LogDriver {
        node: parts.node,
        state: ReplicatedState::default(),
        peers: parts.peers,
        batches,
        pending_proposals: BTreeMap::new(),
        leader: None,
        join_proposed_at: HashMap::new(),
        member_lease: parts.member_lease,
        root_key: parts.root_key,
        shared: parts.shared,
    };
    let inputs = parts.inputs;
    let log =
        std::thread::Builder::new().name("log".into()).spawn(move || driver.run(&inputs, &acks))?;
    Ok(vec![storage, log])
}

/// State kept only while this replica is the leader.
struct LeaderState {
    term: LeaderTerm,
    leases: MemberLeaseTracker,
    bootstrapped: bool,
}

struct LogDriver {
    node: ConsensusNode,
    state: ReplicatedState,
    peers: PeerHandle,
    batches: Sender<PersistBatch>,
    pending_proposals: BTreeMap<LogIndex, (LeaderTerm, Reply<ApplyOutcome>)>,
    leader: Option<LeaderState>,
    join_proposed_at: HashMap<InstanceId, MonotonicTime>,
    member_lease: Duration,
    root_key: Option<KeyHash>,
    shared: Weak<DaemonShared>,
}

impl LogDriver {
    fn run(mut self, inputs: &Receiver<LogInput>, acks: &Receiver<u64>) {
        loop {
            let Some(shared) = self.shared.upgrade() else { return };
            if !self.process_output(&shared) {
                return;
            }
            drop(shared);
            select! {
                recv(inputs) -> input => match input {
                    Ok(input) => {
                        if !self.process_inputs(input, inputs) {
                            return;
                        }
                    }
                    Err(_) => return,
                },
                recv(acks) -> sequence => match sequence {
                    Ok(sequence) => {
                        let Some(shared) = self.shared.upgrade() else { return };
                        self.node.persisted(shared.now(), sequence);
                    }
                    Err(_) => {
                        duty_failed("log", &"the storage thread has ended");
                        return;
                    }
                },
            }
        }
    }

    /// Processes one input and those queued behind it; returns whether the thread continues.
    fn process_inputs(&mut self, first: LogInput, inputs: &Receiver<LogInput>) -> bool {
        let Some(shared) = self.shared.upgrade() else { return false };
        let now = shared.now();
        let mut next = Some(first);
        let mut processed = 0;
        while let Some(input) = next {
            match input {
                LogInput::Stop => return false,
                input => self.handle(now, input),
            }
            processed += 1;
            next = if processed < MAX_INPUTS_PER_ROUND { inputs.try_recv().ok() } else { None };
        }
        true
    }

    fn handle(&mut self, now: MonotonicTime, input: LogInput) {
        match input {
            LogInput::Tick => {
                self.node.tick(now);
                self.run_leader_tasks(now);
            }
            LogInput::Message(envelope) => self.node.receive(now, envelope),
            LogInput::Propose(command, reply) => self.propose(command, reply),
            LogInput::Heartbeat(heartbeat, reply) => self.heartbeat(now, heartbeat, reply),
            LogInput::Audit(after, limit, reply) => {
                let answer = self.check_leader(now).map(|()| {
                    self.state.audit(after, usize::try_from(limit).unwrap_or(usize::MAX))
                });
                let _ = reply.send(answer);
            }
            LogInput::LeaderReport(reply) => {
                let _ = reply.send(self.check_leader(now).map(|()| self.report()));
            }
            LogInput::WantVoters(wanted, reply) => {
                let answer = self.node.set_wanted_voters(wanted).map(|_| ());
                let _ = reply.send(answer.map_err(|error| self.not_leader(error.leader.as_ref())));
            }
            LogInput::HandOver(reply) => {
                let _ = reply.send(self.node.transfer_leadership(now));
            }
            LogInput::Stop => {}
        }
    }

    fn report(&self) -> LeaderReport {
        let voters = self.node.voters();
        let names = |replicas: &BTreeSet<ReplicaId>| {
            replicas.iter().map(|replica| replica.instance.clone()).collect()
        };
        LeaderReport {
            term: self.node.term(),
            applied: self.leader.as_ref().map_or_else(Vec::new, |state| state.leases.applied()),
            voters: names(&voters.voters),
            learners: names(&voters.learners),
        }
    }

    fn not_leader(&self, leader: Option<&ReplicaId>) -> LogFailure {
        let leader = leader.map(|replica| replica.instance.clone());
        LogFailure::NotLeader { leader, term: self.node.term() }
    }

    /// Returns `Ok` only while this node holds the leader lease, which proves that no other leader
    /// exists.
    fn check_leader(&self, now: MonotonicTime) -> LeaderAnswer<()> {
        if self.node.holds_lease(now) {
            return Ok(());
        }
        let leader = self.node.leader().filter(|replica| *replica != self.node.id());
        Err(self.not_leader(leader))
    }

    /// Encodes a command with the current wall-clock time.
    fn encode_stamped(command: ReplicatedCommand) -> Arc<[u8]> {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let unix_ms = u64::try_from(unix_ms).unwrap_or(u64::MAX);
        let bytes = postcard::to_stdvec(&StampedCommand { unix_ms, command });
        bytes.expect("a command always serialises").into()
    }

    fn propose(&mut self, command: ReplicatedCommand, reply: Reply<ApplyOutcome>) {
        match self.node.propose(Self::encode_stamped(command)) {
            Ok((index, term)) => {
                self.pending_proposals.insert(index, (term, reply));
            }
            Err(error) => {
                let _ = reply.send(Err(self.not_leader(error.leader.as_ref())));
            }
        }
    }

    /// Proposes a command without a reply to a caller.
    fn propose_without_reply(&mut self, command: ReplicatedCommand) {
        let _ = self.node.propose(Self::encode_stamped(command));
    }

    fn heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: MemberHeartbeat,
        reply: Reply<MemberLease>,
    ) {
        if let Err(failure) = self.check_leader(now) {
            let _ = reply.send(Err(failure));
            return;
        }
        let view = self.state.view();
        let known = view.members().get(&heartbeat.record.instance);
        if let Some(member) = known.filter(|member| member.is_same_start(&heartbeat.record)) {
            let lease = MemberLease { epoch: member.epoch, view_index: view.index() };
            if let Some(state) = &mut self.leader {
                state.leases.record_heartbeat(now, &heartbeat.record.instance, heartbeat.applied);
            }
            let _ = reply.send(Ok(lease));
            return;
        }
        if !heartbeat.join {
            let lease = MemberLease { epoch: LeaseEpoch::ZERO, view_index: view.index() };
            let _ = reply.send(Ok(lease));
            return;
        }
        // The member joins or rejoins; its next heartbeat finds the record. Its new lease starts at
        // this heartbeat: if it started at the last heartbeat before an absence, it would expire at
        // once.
        if let Some(state) = &mut self.leader {
            state.leases.record_heartbeat(now, &heartbeat.record.instance, heartbeat.applied);
        }
        // A repeated join proposal would be redundant while the first one is in flight.
        let instance = heartbeat.record.instance.clone();
        let proposed_at = self.join_proposed_at.get(&instance);
        if proposed_at.is_none_or(|at| now.since(*at) > Duration::from_millis(500)) {
            self.join_proposed_at.insert(instance, now);
            self.propose_without_reply(ReplicatedCommand::Member(MemberCommand::Join(
                heartbeat.record,
            )));
        }
        let _ = reply.send(Err(LogFailure::Busy));
    }

    /// Runs the tasks of the leader: the bootstrap and the expiry of member leases.
    fn run_leader_tasks(&mut self, now: MonotonicTime) {
        if !self.node.holds_lease(now) {
            if self.node.role() != NodeRole::Leader {
                self.leader = None;
            }
            return;
        }
        let term = self.node.term();
        if self.leader.as_ref().is_none_or(|state| state.term != term) {
            info!("leader", kv: { term = term.0 });
            let leases = MemberLeaseTracker::new(now);
            self.leader = Some(LeaderState { term, leases, bootstrapped: false });
        }
        let Some(state) = &mut self.leader else { return };
        if !std::mem::replace(&mut state.bootstrapped, true) {
            let empty = self.state.view().config_revision().0 == 0;
            if let Some(root_key) = self.root_key.clone().filter(|_| empty) {
                self.propose_without_reply(ReplicatedCommand::Bootstrap { root_key });
            }
        }
        let Some(state) = &mut self.leader else { return };
        let expired = state.leases.expired(now, self.state.view().members(), self.member_lease);
        for (instance, epoch) in expired {
            self.propose_without_reply(ReplicatedCommand::Member(MemberCommand::Remove {
                instance,
                epoch,
            }));
        }
    }

    /// Processes the node's output; returns `false` if the thread must stop because the storage
    /// thread has ended or a snapshot cannot be restored.
    fn process_output(&mut self, shared: &DaemonShared) -> bool {
        let output = self.node.take_output();
        self.peers.send_consensus(output.send);
        let storage_ended = output.persist.is_some_and(|batch| self.batches.send(batch).is_err());
        if storage_ended {
            duty_failed("log", &"the storage thread has ended");
            return false;
        }
        if let Some(snapshot) = output.restore {
            match ReplicatedState::from_snapshot(&snapshot.data) {
                Ok(state) => self.state = state,
                Err(error) => {
                    duty_failed("log", &error);
                    return false;
                }
            }
            shared.view.update(ViewUpdate::Whole(Box::new(self.state.view().clone())));
        }
        let applied_any = !output.committed.is_empty();
        for entry in output.committed {
            self.apply(shared, &entry);
        }
        if applied_any {
            self.publish(shared);
        }
        self.fail_pending_proposals();
        shared.metrics.is_leader.set(i64::from(self.node.role() == NodeRole::Leader));
        true
    }

    fn apply(&mut self, shared: &DaemonShared, entry: &LogEntry) {
        let outcome = match &entry.payload {
            EntryPayload::Command(bytes) => {
                let command = postcard::from_bytes(bytes).expect("an entry encoded by a leader");
                self.state.apply(entry.index, &command)
            }
            EntryPayload::Voters(_) | EntryPayload::Empty => {
                let noop = StampedCommand { unix_ms: 0, command: ReplicatedCommand::Noop };
                self.state.apply(entry.index, &noop)
            }
        };
        shared.metrics.log_entries.inc();
        if let Some((term, reply)) = self.pending_proposals.remove(&entry.index) {
            let answer = if term == entry.term { Ok(outcome) } else { Err(LogFailure::Lost) };
            let _ = reply.send(answer);
        }
    }

    fn publish(&mut self, shared: &DaemonShared) {
        let have = shared.view.mark().index;
        let update = match self.state.deltas_after(have) {
            Some(deltas) => ViewUpdate::Deltas(deltas),
            None => ViewUpdate::Whole(Box::new(self.state.view().clone())),
        };
        shared.view.update(update);
        shared.book.update(self.state.view());
        let applied = self.state.applied();
        if applied.0 >= self.node.base_index().0 + SNAPSHOT_INTERVAL_ENTRIES {
            self.node.take_snapshot(applied, self.state.to_snapshot());
        }
    }

    /// Fails the pending proposals once this node is no longer the leader, because it can no longer
    /// commit them itself.
    fn fail_pending_proposals(&mut self) {
        if self.node.role() == NodeRole::Leader || self.pending_proposals.is_empty() {
            return;
        }
        for (_, (_, reply)) in std::mem::take(&mut self.pending_proposals) {
            let _ = reply.send(Err(LogFailure::Lost));
        }
    }
}
