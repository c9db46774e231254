//! The log's thread: feeds the consensus node and applies what it commits.

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

use super::leases::MemberWatch;
use super::{LogInput, Reply, storage_duty};
use crate::logging::duty_failed;
use crate::peers::{LeaderAnswer, LeaderReport, LogFailure, MemberBeat, MemberLease, PeerHandle};
use crate::shared::DaemonShared;
use crate::view::ViewUpdate;

/// Batches that wait for the storage thread.
const STORAGE_RING: usize = 256;

/// Inputs taken in before the node's output is carried out.
const MAX_INPUTS: usize = 512;

/// Entries applied between two snapshots.
const SNAPSHOT_EVERY: u64 = 20_000;

/// What the log's thread needs.
pub(crate) struct LogParts {
    pub(crate) shared: Weak<DaemonShared>,
    pub(crate) inputs: Receiver<LogInput>,
    pub(crate) node: ConsensusNode,
    pub(crate) store: LogStore,
    pub(crate) peers: PeerHandle,
    pub(crate) member_lease: Duration,
    pub(crate) root_key: Option<KeyHash>,
}

/// Starts the log's and the storage thread.
///
/// # Errors
///
/// Returns the operating system's error when a thread cannot be started.
pub(crate) fn start_log(parts: LogParts) -> std::io::Result<Vec<JoinHandle<()>>> {
    let (batches, to_sync) = bounded(STORAGE_RING);
    // The storage thread never waits here: there are never more batches under way.
    let (synced, acks) = bounded(STORAGE_RING + 2);
    let (peers, store) = (parts.peers.clone(), parts.store);
    let counted = parts.shared.clone();
    let storage = std::thread::Builder::new().name("storage".into()).spawn(move || {
        storage_duty::run(store, &to_sync, &synced, &peers, || {
            if let Some(shared) = counted.upgrade() {
                shared.metrics.log_syncs.inc();
            }
        });
    })?;
    let driver = LogDriver {
        node: parts.node,
        state: ReplicatedState::default(),
        peers: parts.peers,
        batches,
        waiting: BTreeMap::new(),
        leader: None,
        pending_joins: HashMap::new(),
        member_lease: parts.member_lease,
        root_key: parts.root_key,
        shared: parts.shared,
    };
    let inputs = parts.inputs;
    let log =
        std::thread::Builder::new().name("log".into()).spawn(move || driver.run(&inputs, &acks))?;
    Ok(vec![storage, log])
}

/// What only the leader keeps.
struct LeaderDuty {
    term: LeaderTerm,
    watch: MemberWatch,
    bootstrapped: bool,
}

struct LogDriver {
    node: ConsensusNode,
    state: ReplicatedState,
    peers: PeerHandle,
    batches: Sender<PersistBatch>,
    waiting: BTreeMap<LogIndex, (LeaderTerm, Reply<ApplyOutcome>)>,
    leader: Option<LeaderDuty>,
    pending_joins: HashMap<InstanceId, MonotonicTime>,
    member_lease: Duration,
    root_key: Option<KeyHash>,
    shared: Weak<DaemonShared>,
}

impl LogDriver {
    fn run(mut self, inputs: &Receiver<LogInput>, acks: &Receiver<u64>) {
        loop {
            let Some(shared) = self.shared.upgrade() else { return };
            if !self.carry_out(&shared) {
                return;
            }
            drop(shared);
            select! {
                recv(inputs) -> input => match input {
                    Ok(input) => {
                        if !self.take_in(input, inputs) {
                            return;
                        }
                    }
                    Err(_) => return,
                },
                recv(acks) -> sequence => match sequence {
                    Ok(sequence) => self.node.persisted(sequence),
                    Err(_) => {
                        duty_failed("log", &"the storage thread has ended");
                        return;
                    }
                },
            }
        }
    }

    /// Takes in one input and those that wait behind it; returns whether to go on.
    fn take_in(&mut self, first: LogInput, inputs: &Receiver<LogInput>) -> bool {
        let Some(shared) = self.shared.upgrade() else { return false };
        let now = shared.now();
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(input) = next {
            match input {
                LogInput::Stop => return false,
                input => self.handle(now, input),
            }
            taken += 1;
            next = if taken < MAX_INPUTS { inputs.try_recv().ok() } else { None };
        }
        true
    }

    fn handle(&mut self, now: MonotonicTime, input: LogInput) {
        match input {
            LogInput::Tick => {
                self.node.tick(now);
                self.lead(now);
            }
            LogInput::Message(envelope) => self.node.receive(now, envelope),
            LogInput::Propose(command, reply) => self.propose(command, reply),
            LogInput::Beat(beat, reply) => self.beat(now, beat, reply),
            LogInput::Audit(after, limit, reply) => {
                let answer = self.as_leader(now).map(|()| {
                    self.state.audit(after, usize::try_from(limit).unwrap_or(usize::MAX))
                });
                let _ = reply.send(answer);
            }
            LogInput::LeaderReport(reply) => {
                let _ = reply.send(self.as_leader(now).map(|()| self.report()));
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
            applied: self.leader.as_ref().map_or_else(Vec::new, |duty| duty.watch.applied()),
            voters: names(&voters.voters),
            learners: names(&voters.learners),
        }
    }

    fn not_leader(&self, leader: Option<&ReplicaId>) -> LogFailure {
        let leader = leader.map(|replica| replica.instance.clone());
        LogFailure::NotLeader { leader, term: self.node.term() }
    }

    /// Succeeds only while this node surely is the one leader.
    fn as_leader(&self, now: MonotonicTime) -> LeaderAnswer<()> {
        if self.node.holds_lease(now) {
            return Ok(());
        }
        let leader = self.node.leader().filter(|replica| *replica != self.node.id());
        Err(self.not_leader(leader))
    }

    fn stamped(command: ReplicatedCommand) -> Arc<[u8]> {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let unix_ms = u64::try_from(unix_ms).unwrap_or(u64::MAX);
        let bytes = postcard::to_stdvec(&StampedCommand { unix_ms, command });
        bytes.expect("a command always serialises").into()
    }

    fn propose(&mut self, command: ReplicatedCommand, reply: Reply<ApplyOutcome>) {
        match self.node.propose(Self::stamped(command)) {
            Ok((index, term)) => {
                self.waiting.insert(index, (term, reply));
            }
            Err(error) => {
                let _ = reply.send(Err(self.not_leader(error.leader.as_ref())));
            }
        }
    }

    /// Proposes a command that nobody waits for.
    fn propose_own(&mut self, command: ReplicatedCommand) {
        let _ = self.node.propose(Self::stamped(command));
    }

    fn beat(&mut self, now: MonotonicTime, beat: MemberBeat, reply: Reply<MemberLease>) {
        if let Err(failure) = self.as_leader(now) {
            let _ = reply.send(Err(failure));
            return;
        }
        let view = self.state.view();
        let known = view.members().get(&beat.record.instance);
        if let Some(member) = known.filter(|member| member.is_same_start(&beat.record)) {
            let lease = MemberLease { epoch: member.epoch, view_index: view.index() };
            if let Some(duty) = &mut self.leader {
                duty.watch.heard(now, &beat.record.instance, beat.applied);
            }
            let _ = reply.send(Ok(lease));
            return;
        }
        if !beat.join {
            let lease = MemberLease { epoch: LeaseEpoch::ZERO, view_index: view.index() };
            let _ = reply.send(Ok(lease));
            return;
        }
        // It joins, or joins again; the next beat finds it. Its new lease counts from this sign
        // of life: counted from the last one before it was away, it would end at once.
        if let Some(duty) = &mut self.leader {
            duty.watch.heard(now, &beat.record.instance, beat.applied);
        }
        // One proposal at a time is enough.
        let instance = beat.record.instance.clone();
        let asked = self.pending_joins.get(&instance);
        if asked.is_none_or(|at| now.since(*at) > Duration::from_millis(500)) {
            self.pending_joins.insert(instance, now);
            self.propose_own(ReplicatedCommand::Member(MemberCommand::Join(beat.record)));
        }
        let _ = reply.send(Err(LogFailure::Busy));
    }

    /// Does what only a leader does: bootstrap and the members' leases.
    fn lead(&mut self, now: MonotonicTime) {
        if !self.node.holds_lease(now) {
            if self.node.role() != NodeRole::Leader {
                self.leader = None;
            }
            return;
        }
        let term = self.node.term();
        if self.leader.as_ref().is_none_or(|duty| duty.term != term) {
            info!("leader", kv: { term = term.0 });
            let watch = MemberWatch::new(now);
            self.leader = Some(LeaderDuty { term, watch, bootstrapped: false });
        }
        let Some(duty) = &mut self.leader else { return };
        if !std::mem::replace(&mut duty.bootstrapped, true) {
            let empty = self.state.view().config_revision().0 == 0;
            if let Some(root_key) = self.root_key.clone().filter(|_| empty) {
                self.propose_own(ReplicatedCommand::Bootstrap { root_key });
            }
        }
        let Some(duty) = &mut self.leader else { return };
        let expired = duty.watch.expired(now, self.state.view().members(), self.member_lease);
        for (instance, epoch) in expired {
            self.propose_own(ReplicatedCommand::Member(MemberCommand::Remove { instance, epoch }));
        }
    }

    /// Carries out the node's output; returns whether the storage thread still runs.
    fn carry_out(&mut self, shared: &DaemonShared) -> bool {
        let output = self.node.take_output();
        self.peers.send_consensus(output.send);
        let lost = output.persist.is_some_and(|batch| self.batches.send(batch).is_err());
        if lost {
            duty_failed("log", &"the storage thread has ended");
            return false;
        }
        if let Some(held) = output.restore {
            match ReplicatedState::from_snapshot(&held.data) {
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
        self.fail_lost();
        shared.metrics.is_leader.set(i64::from(self.node.role() == NodeRole::Leader));
        true
    }

    fn apply(&mut self, shared: &DaemonShared, entry: &LogEntry) {
        let outcome = match &entry.payload {
            EntryPayload::Command(bytes) => {
                let command = postcard::from_bytes(bytes).expect("an entry that a leader encoded");
                self.state.apply(entry.index, &command)
            }
            EntryPayload::Voters(_) | EntryPayload::Empty => {
                let noop = StampedCommand { unix_ms: 0, command: ReplicatedCommand::Noop };
                self.state.apply(entry.index, &noop)
            }
        };
        shared.metrics.log_entries.inc();
        if let Some((term, reply)) = self.waiting.remove(&entry.index) {
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
        shared.book.learn(self.state.view());
        let applied = self.state.applied();
        if applied.0 >= self.node.base_index().0 + SNAPSHOT_EVERY {
            self.node.take_snapshot(applied, self.state.to_snapshot());
        }
    }

    /// Tells those whose proposals this node can no longer commit itself.
    fn fail_lost(&mut self) {
        if self.node.role() == NodeRole::Leader || self.waiting.is_empty() {
            return;
        }
        for (_, (_, reply)) in std::mem::take(&mut self.waiting) {
            let _ = reply.send(Err(LogFailure::Lost));
        }
    }
}
