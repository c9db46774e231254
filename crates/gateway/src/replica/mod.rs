//! The replica of the log on a daemon with a disk: feeds the consensus node, applies what it
//! commits to the replicated state, and starts over when the disk fails.

mod state;
#[cfg(test)]
mod state_tests;
mod storage;
mod watch;
#[cfg(test)]
mod watch_tests;

use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use oriolepass_consensus::{
    ConsensusConfig, ConsensusNode, DiskId, EntryPayload, Envelope, LogEntry, NodeOutput, NodeRole,
    PersistBatch,
};
use oriolepass_routing::{DrainRegister, RoutingText};
use oriolepass_storage::{RecoveredLog, StorageError, UnsyncedTails};
use oriolepass_units::{InstanceId, LeaderTerm, LogIndex, MonotonicTime};
use tokio::sync::mpsc::UnboundedSender;

use state::ReplicatedState;
pub(crate) use state::{CommandOutcome, LogCommand};
use storage::StorageDuty;
pub(crate) use storage::StorageReport;
use watch::{LeaderWatch, RecoveryNote};

/// The least time without a leader before an election; at most twice this. Longer than a lost
/// packet takes to be sent again (200 ms), and several heartbeats; a replica that is slow for
/// longer deposes nobody, since the others are asked before an election.
const ELECTION: Duration = Duration::from_millis(400);

/// Between heartbeats of a leader.
const HEARTBEAT: Duration = Duration::from_millis(80);

/// The most that two monotonic clocks differ in rate, in percent; real ones differ by less than
/// a thousandth of that.
const DRIFT_PERCENT: u32 = 10;

/// Bytes of entries, or of a snapshot, in one message.
const MESSAGE_BYTES: usize = 256 * 1024;

/// Entries kept behind a snapshot: documents are large and a snapshot holds just one.
const TRAILING_ENTRIES: u64 = 16;

/// Packed bytes of documents between two snapshots.
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// Entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// A leader whose disk has not answered for this long lets another lead: well under the time in
/// which a document has to be acknowledged, well over a sync of a slow disk.
const DISK_PATIENCE: Duration = Duration::from_millis(500);

/// The pause before a replica whose disk failed is read again.
const REOPEN_AFTER: Duration = Duration::from_millis(400);

/// Who waits for a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Proposer {
    pub(crate) instance: InstanceId,
    pub(crate) token: u64,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProposalEnd {
    /// The log holds it.
    Done(CommandOutcome),
    /// This replica leads no more, and cannot tell.
    Lost,
}

/// What a step of the replica brought about.
#[derive(Debug, Default)]
pub(crate) struct ReplicaEffects {
    pub(crate) send: Vec<Envelope>,
    /// The newest document, if it has changed.
    pub(crate) newest: Option<RoutingText>,
    /// The drained data centres, if they have changed.
    pub(crate) drains: Option<DrainRegister>,
    pub(crate) ended: Vec<(Proposer, ProposalEnd)>,
}

struct RunningReplica {
    node: ConsensusNode,
    batches: mpsc::Sender<PersistBatch>,
    /// What may be sent once a batch is synced, and when the batch was handed over.
    unsynced: VecDeque<(u64, Vec<Envelope>, MonotonicTime)>,
    state: ReplicatedState,
    applied: LogIndex,
    bytes_since_snapshot: usize,
    proposals: BTreeMap<LogIndex, (LeaderTerm, Proposer)>,
}

/// What was read from the disk, before a node is made of it.
struct OpenedStore {
    recovered: RecoveredLog,
    batches: mpsc::Sender<PersistBatch>,
}

/// A disk that failed.
#[derive(Debug)]
pub(crate) struct DiskFailure {
    pub(crate) error: StorageError,
    /// Whether the replica was running until then.
    pub(crate) was_running: bool,
}

/// The replica of a daemon with a disk.
pub(crate) struct ReplicaDriver {
    instance: InstanceId,
    folder: PathBuf,
    reports: UnboundedSender<StorageReport>,
    /// The way to a storage thread that reads the disk.
    opening: Option<mpsc::Sender<PersistBatch>>,
    opened: Option<OpenedStore>,
    running: Option<RunningReplica>,
    reopen_at: MonotonicTime,
    /// What a failed sync has left on the disk, to be cut before it is read again.
    suspects: UnsyncedTails,
    /// What the last start found, until it is taken for the log.
    recovery: Option<RecoveryNote>,
    watch: LeaderWatch,
}

impl ReplicaDriver {
    pub(crate) fn new(
        instance: InstanceId,
        folder: &Path,
        reports: UnboundedSender<StorageReport>,
    ) -> Self {
        Self {
            instance,
            folder: folder.to_owned(),
            reports,
            opening: None,
            opened: None,
            running: None,
            reopen_at: MonotonicTime::ZERO,
            suspects: UnsyncedTails::default(),
            recovery: None,
            watch: LeaderWatch::default(),
        }
    }

    /// Lets the disk be read if that has not been done; returns whether the replica runs now.
    ///
    /// A replica whose disk is empty does not run before [`ReplicaDriver::found`] or
    /// [`ReplicaDriver::join`].
    ///
    /// # Errors
    ///
    /// Returns an error when no storage thread can be started; a later call tries again.
    pub(crate) fn open(&mut self, now: MonotonicTime) -> Result<bool, StorageError> {
        if self.running.is_some() {
            return Ok(true);
        }
        let Some(opened) = &self.opened else {
            self.begin_opening(now)?;
            return Ok(false);
        };
        if self.is_empty() {
            return Ok(false);
        }
        self.recovery = Some(RecoveryNote::of(&opened.recovered));
        self.start(now, Vec::new());
        Ok(true)
    }

    fn begin_opening(&mut self, now: MonotonicTime) -> Result<(), StorageError> {
        if self.opening.is_some() || now < self.reopen_at {
            return Ok(());
        }
        self.reopen_at = now + REOPEN_AFTER;
        let (batches, to_sync) = mpsc::channel();
        let duty = StorageDuty {
            folder: self.folder.clone(),
            suspects: self.suspects.clone(),
            batches: to_sync,
            reports: self.reports.clone(),
        };
        duty.start().map_err(|source| StorageError::Io {
            operation: "start the thread of",
            file: "the log".into(),
            source,
        })?;
        self.opening = Some(batches);
        Ok(())
    }

    /// Returns whether the disk was read and has never held a replica.
    pub(crate) fn is_empty(&self) -> bool {
        self.opened.as_ref().is_some_and(|opened| opened.recovered.hard.identity.is_empty())
    }

    /// Starts with an empty disk, to found a system with the given first voters.
    pub(crate) fn found(&mut self, now: MonotonicTime, first_voters: Vec<InstanceId>) {
        self.start(now, first_voters);
    }

    /// Starts with an empty disk, to become a replica of the system that the contacts know.
    pub(crate) fn join(&mut self, now: MonotonicTime, contacts: &[InstanceId]) {
        self.start(now, Vec::new());
        self.learn_contacts(contacts);
    }

    /// Names replicas to ask for membership.
    pub(crate) fn learn_contacts(&mut self, contacts: &[InstanceId]) {
        if let Some(running) = &mut self.running {
            running.node.learn_contacts(contacts.iter().cloned());
        }
    }

    fn start(&mut self, now: MonotonicTime, first_voters: Vec<InstanceId>) {
        let Some(OpenedStore { recovered, batches }) = self.opened.take() else { return };
        let config = ConsensusConfig {
            election: ELECTION,
            heartbeat: HEARTBEAT,
            drift_percent: DRIFT_PERCENT,
            message_bytes: MESSAGE_BYTES,
            first_voters,
            trailing_entries: TRAILING_ENTRIES,
            seed: rand::random(),
        };
        let disk = DiskId(rand::random());
        let node = ConsensusNode::new(config, self.instance.clone(), disk, recovered, now);
        self.running = Some(RunningReplica {
            node,
            batches,
            unsynced: VecDeque::new(),
            state: ReplicatedState::default(),
            applied: LogIndex::ZERO,
            bytes_since_snapshot: 0,
            proposals: BTreeMap::new(),
        });
    }

    /// Takes in the storage thread's report; returns what is known of a disk that failed.
    ///
    /// The replica is dropped then, as in a crash: nothing that was not synced has been promised
    /// to anyone, and what the disk holds has to be read again.
    pub(crate) fn report(
        &mut self,
        now: MonotonicTime,
        report: StorageReport,
    ) -> (ReplicaEffects, Option<DiskFailure>) {
        let mut effects = ReplicaEffects::default();
        match report {
            StorageReport::Opened(recovered) => {
                self.suspects = UnsyncedTails::default();
                let opening = self.opening.take();
                self.opened = opening.map(|batches| OpenedStore { recovered, batches });
                (effects, None)
            }
            StorageReport::Synced(sequence) => {
                if let Some(running) = &mut self.running {
                    running.synced(sequence, &mut effects);
                }
                (effects, None)
            }
            StorageReport::Failed(error, suspects) => {
                self.suspects = suspects;
                self.opening = None;
                self.opened = None;
                let running = self.running.take();
                let was_running = running.is_some();
                if let Some(running) = running {
                    let lost = running.proposals.into_values();
                    effects.ended.extend(lost.map(|(_, p)| (p, ProposalEnd::Lost)));
                }
                self.reopen_at = now + REOPEN_AFTER;
                (effects, Some(DiskFailure { error, was_running }))
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        let Some(running) = &mut self.running else { return };
        running.node.tick(now);
        let oldest = running.unsynced.front().map(|(_, _, at)| *at);
        let is_stalled = oldest.is_some_and(|at| now.since(at) > DISK_PATIENCE);
        if is_stalled && running.node.role() == NodeRole::Leader {
            running.node.hand_over(now);
        }
    }

    pub(crate) fn receive(&mut self, now: MonotonicTime, envelope: Envelope) {
        if let Some(running) = &mut self.running {
            running.node.receive(now, envelope);
        }
    }

    /// Proposes a command; the outcome is among the effects of a later step.
    ///
    /// # Errors
    ///
    /// Returns the leader, if known, where this replica is not it.
    pub(crate) fn propose(
        &mut self,
        command: &LogCommand,
        proposer: Proposer,
    ) -> Result<(), Option<InstanceId>> {
        let running = self.running.as_mut().ok_or(None)?;
        let command: Arc<[u8]> = command.encode().into();
        match running.node.propose(command) {
            Ok((index, term)) => {
                running.proposals.insert(index, (term, proposer));
                Ok(())
            }
            Err(error) => Err(error.leader.map(|leader| leader.instance)),
        }
    }

    /// Gives up leadership, if it is this replica's, in favour of another.
    pub(crate) fn hand_over(&mut self, now: MonotonicTime) -> bool {
        self.running.as_mut().is_some_and(|running| running.node.hand_over(now))
    }

    /// Carries out what the node wants done.
    pub(crate) fn step(&mut self, now: MonotonicTime) -> ReplicaEffects {
        let mut effects = ReplicaEffects::default();
        if let Some(running) = &mut self.running {
            running.step(now, &mut effects);
        }
        effects
    }

    /// Returns the node, while the replica runs.
    pub(crate) fn node(&self) -> Option<&ConsensusNode> {
        self.running.as_ref().map(|running| &running.node)
    }

    /// Hands out what the last start found on the disk, once.
    pub(crate) fn take_recovery(&mut self) -> Option<RecoveryNote> {
        self.recovery.take()
    }

    /// Returns for how long the running replica has had no leader, if that is to be reported now.
    pub(crate) fn leaderless(&mut self, now: MonotonicTime) -> Option<Duration> {
        let node = &self.running.as_ref()?.node;
        self.watch.note(now, node.leader().is_some())
    }

    /// Changes which instances should vote.
    pub(crate) fn want_voters(&mut self, wanted: impl IntoIterator<Item = InstanceId>) {
        if let Some(running) = &mut self.running {
            // Only a leader asks, and one that has just lost its place has nobody to tell.
            let _ = running.node.want_voters(wanted);
        }
    }

    /// Returns the newest state if this replica holds the leader's lease and has applied everything
    /// that any leader has acknowledged.
    pub(crate) fn state_as_leader(&self, now: MonotonicTime) -> Option<&ReplicatedState> {
        let running = self.running.as_ref()?;
        let is_sure = running.node.holds_lease(now) && running.applied >= running.node.commit();
        is_sure.then_some(&running.state)
    }
}

impl RunningReplica {
    fn step(&mut self, now: MonotonicTime, effects: &mut ReplicaEffects) {
        let before = self.state.revision();
        // A snapshot taken on the way gives rise to another output.
        while self.carry_out(now, effects) {}
        let after = self.state.revision();
        if after.document != before.document {
            effects.newest = self.state.newest_document().cloned();
        }
        if after.drains != before.drains {
            effects.drains = Some(self.state.drains().clone());
        }
        if self.node.role() != NodeRole::Leader {
            let lost = std::mem::take(&mut self.proposals).into_values();
            effects.ended.extend(lost.map(|(_, p)| (p, ProposalEnd::Lost)));
        }
    }

    /// Carries out one output; returns whether a snapshot was taken.
    fn carry_out(&mut self, now: MonotonicTime, effects: &mut ReplicaEffects) -> bool {
        let NodeOutput { send, persist, restore, committed, .. } = self.node.take_output();
        effects.send.extend(send);
        if let Some(held) = restore {
            self.state = ReplicatedState::decode(&held.data).expect("a state encoded here");
            self.applied = self.applied.max(held.index);
        }
        for entry in committed {
            self.apply(&entry, effects);
        }
        if let Some(batch) = persist {
            self.hand_to_storage(now, batch, effects);
        }
        let entries = self.applied.0.saturating_sub(self.node.base_index().0);
        let is_due = self.bytes_since_snapshot > SNAPSHOT_BYTES || entries > SNAPSHOT_ENTRIES;
        if is_due && self.applied > self.node.base_index() {
            self.bytes_since_snapshot = 0;
            self.node.take_snapshot(self.applied, self.state.encode());
        }
        is_due
    }

    fn hand_to_storage(
        &mut self,
        now: MonotonicTime,
        mut batch: PersistBatch,
        effects: &mut ReplicaEffects,
    ) {
        let messages = std::mem::take(&mut batch.send_after);
        let sequence = batch.sequence;
        let is_empty =
            batch.records.is_empty() && batch.snapshot.is_none() && batch.compact.is_none();
        if is_empty && self.unsynced.is_empty() {
            self.node.persisted(sequence);
            effects.send.extend(messages);
            return;
        }
        self.unsynced.push_back((sequence, messages, now));
        // A thread that has ended has reported why, or will.
        let _ = self.batches.send(batch);
    }

    fn synced(&mut self, sequence: u64, effects: &mut ReplicaEffects) {
        while self.unsynced.front().is_some_and(|(first, _, _)| *first <= sequence) {
            if let Some((_, messages, _)) = self.unsynced.pop_front() {
                effects.send.extend(messages);
            }
        }
        self.node.persisted(sequence);
    }

    fn apply(&mut self, entry: &LogEntry, effects: &mut ReplicaEffects) {
        self.applied = entry.index;
        let EntryPayload::Command(bytes) = &entry.payload else { return };
        self.bytes_since_snapshot += bytes.len();
        let command = LogCommand::decode(bytes).expect("an entry that a leader encoded");
        let outcome = self.state.apply(command);
        if let Some((term, proposer)) = self.proposals.remove(&entry.index) {
            let end =
                if term == entry.term { ProposalEnd::Done(outcome) } else { ProposalEnd::Lost };
            effects.ended.push((proposer, end));
        }
    }
}
