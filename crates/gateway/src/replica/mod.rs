//! Runs the replica of the log on a daemon with a disk: drives the consensus node, applies
//! committed entries to the replicated state, and restarts the replica after a disk failure.

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
    ConsensusConfig, ConsensusNode, DiskId, ElectionEvent, EntryPayload, Envelope, FoundingRule,
    LogEntry, NodeOutput, NodeRole, PersistBatch,
};
use oriolepass_routing::{DrainRegister, RoutingText};
use oriolepass_storage::{FolderOpening, RecoveredLog, StorageError, UnsyncedTails};
use oriolepass_units::{InstanceId, LeaderTerm, LogIndex, MonotonicTime};
use tokio::sync::mpsc::UnboundedSender;

use state::ReplicatedState;
pub(crate) use state::{CommandOutcome, LogCommand};
pub(crate) use storage::StorageReport;
use storage::StorageThread;
pub(crate) use watch::LeaderWatch;
use watch::{RecoveryNote, SlowSync, SyncWatch};

/// The minimum time without a leader before an election; the maximum is twice this. It is longer
/// than the retransmission of a lost packet (200 ms) and than several heartbeats. A replica that is
/// slow for longer does not depose the leader, because a pre-vote precedes each election that
/// follows this time-out.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval between heartbeats of a leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);

/// The maximum difference in rate between two monotonic clocks, in percent. Real clocks differ by
/// less than a thousandth of that.
const DRIFT_PERCENT: u32 = 10;

/// The size limit of the entries or the snapshot chunk in one message.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Entries kept in the log before a snapshot. There are few because documents are large, while a
/// snapshot holds only one document.
const TRAILING_ENTRIES: u64 = 16;

/// A snapshot is taken after this many bytes of encoded commands, mostly packed documents.
const SNAPSHOT_INTERVAL_BYTES: usize = 4 * 1024 * 1024;

/// A snapshot is taken after this many entries.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1_000;

/// A leader whose disk is behind a quorum of the others for this long transfers leadership. This is
/// well below the time in which a document has to be acknowledged, and well above a sync of a disk
/// that is slow at times.
const MAX_COMMIT_LAG: Duration = Duration::from_millis(500);

/// The delay before the disk is read again after a failure.
const REOPEN_DELAY: Duration = Duration::from_millis(400);

/// The daemon and call that wait for the outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Proposer {
    pub(crate) instance: InstanceId,
    pub(crate) token: u64,
}

/// The outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProposalEnd {
    /// The command is committed and applied.
    Done(CommandOutcome),
    /// This replica lost leadership, so the outcome is unknown.
    Lost,
}

/// The effects of a step of the replica.
#[derive(Debug, Default)]
pub(crate) struct ReplicaEffects {
    pub(crate) send: Vec<Envelope>,
    /// The newest document, if it has changed.
    pub(crate) newest: Option<RoutingText>,
    /// The drained data centres, if they have changed.
    pub(crate) drains: Option<DrainRegister>,
    pub(crate) ended: Vec<(Proposer, ProposalEnd)>,
    pub(crate) elections: Vec<ElectionEvent>,
    /// How the data folder was opened, if a start has just read it.
    pub(crate) folder: Option<FolderOpening>,
    /// The syncs that were slow since the last report of slow syncs, if a report is due.
    pub(crate) slow_sync: Option<SlowSync>,
}

struct RunningReplica {
    node: ConsensusNode,
    batches: mpsc::Sender<PersistBatch>,
    /// Messages that may be sent once their batch is synced, with the batch's sequence number.
    unsynced: VecDeque<(u64, Vec<Envelope>)>,
    state: ReplicatedState,
    applied: LogIndex,
    bytes_since_snapshot: usize,
    proposals: BTreeMap<LogIndex, (LeaderTerm, Proposer)>,
}

/// The log as read from the disk, before a node is created from it.
struct OpenedStore {
    recovered: RecoveredLog,
    batches: mpsc::Sender<PersistBatch>,
}

/// A failure of the disk.
#[derive(Debug)]
pub(crate) struct DiskFailure {
    pub(crate) error: StorageError,
    /// Whether the replica was running when the disk failed.
    pub(crate) was_running: bool,
}

/// The replica of a daemon with a disk.
pub(crate) struct ReplicaDriver {
    instance: InstanceId,
    folder: PathBuf,
    reports: UnboundedSender<StorageReport>,
    /// The channel to a storage thread that is still reading the disk.
    opening: Option<mpsc::Sender<PersistBatch>>,
    opened: Option<OpenedStore>,
    running: Option<RunningReplica>,
    reopen_at: MonotonicTime,
    /// Data that a failed sync left on the disk, to be cut off before the disk is read again.
    unsynced_tails: UnsyncedTails,
    /// The state recovered by the last start, until it has been logged.
    recovery: Option<RecoveryNote>,
    watch: LeaderWatch,
    sync_watch: SyncWatch,
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
            unsynced_tails: UnsyncedTails::default(),
            recovery: None,
            watch: LeaderWatch::default(),
            sync_watch: SyncWatch::default(),
        }
    }

    /// Starts to read the disk if that has not been done, and starts the replica after it; returns
    /// whether the replica is running.
    ///
    /// A replica whose disk is empty does not start before [`ReplicaDriver::found`] or
    /// [`ReplicaDriver::join`].
    ///
    /// # Errors
    ///
    /// Returns an error when the storage thread cannot be started; a later call retries.
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
        self.start(now, Vec::new(), FoundingRule::AllMeet);
        Ok(true)
    }

    fn begin_opening(&mut self, now: MonotonicTime) -> Result<(), StorageError> {
        if self.opening.is_some() || now < self.reopen_at {
            return Ok(());
        }
        self.reopen_at = now + REOPEN_DELAY;
        let (batches, batch_receiver) = mpsc::channel();
        let thread = StorageThread {
            folder: self.folder.clone(),
            unsynced_tails: self.unsynced_tails.clone(),
            batches: batch_receiver,
            reports: self.reports.clone(),
        };
        thread.start().map_err(|source| StorageError::Io {
            operation: "start the thread of",
            file: "the log".into(),
            source,
        })?;
        self.opening = Some(batches);
        Ok(())
    }

    /// Returns whether the disk has been read and has never held a replica.
    pub(crate) fn is_empty(&self) -> bool {
        self.opened.as_ref().is_some_and(|opened| opened.recovered.hard.identity.is_empty())
    }

    /// Starts the replica on an empty disk to found a system with the given first voters.
    pub(crate) fn found(&mut self, now: MonotonicTime, first_voters: Vec<InstanceId>) {
        self.start(now, first_voters, FoundingRule::FirstStart);
    }

    /// Starts the replica on an empty disk to join the system of the contacts.
    pub(crate) fn join(&mut self, now: MonotonicTime, contacts: &[InstanceId]) {
        self.start(now, Vec::new(), FoundingRule::AllMeet);
        self.set_contacts(contacts);
    }

    /// Sets the replicas that this replica asks for membership.
    pub(crate) fn set_contacts(&mut self, contacts: &[InstanceId]) {
        if let Some(running) = &mut self.running {
            running.node.set_contacts(contacts.iter().cloned());
        }
    }

    fn start(&mut self, now: MonotonicTime, first_voters: Vec<InstanceId>, founding: FoundingRule) {
        let Some(OpenedStore { recovered, batches }) = self.opened.take() else { return };
        let config = ConsensusConfig {
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            max_commit_lag: MAX_COMMIT_LAG,
            drift_percent: DRIFT_PERCENT,
            message_bytes: MAX_MESSAGE_BYTES,
            first_voters,
            founding,
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

    /// Handles a report of the storage thread; returns the failure if the disk failed.
    ///
    /// A disk failure drops the replica, as a crash would. This is safe because unsynced data has
    /// not been acknowledged to anyone, but the contents of the disk have to be read again.
    pub(crate) fn report(
        &mut self,
        now: MonotonicTime,
        report: StorageReport,
    ) -> (ReplicaEffects, Option<DiskFailure>) {
        let mut effects = ReplicaEffects::default();
        match report {
            StorageReport::Opened(recovered, folder) => {
                effects.folder = Some(folder);
                self.unsynced_tails = UnsyncedTails::default();
                let opening = self.opening.take();
                self.opened = opening.map(|batches| OpenedStore { recovered, batches });
                (effects, None)
            }
            StorageReport::Synced(sequence, took) => {
                effects.slow_sync = self.sync_watch.record(now, took);
                if let Some(running) = &mut self.running {
                    running.synced(now, sequence, &mut effects);
                }
                (effects, None)
            }
            StorageReport::Failed(error, unsynced_tails) => {
                self.unsynced_tails = unsynced_tails;
                self.opening = None;
                self.opened = None;
                let running = self.running.take();
                let was_running = running.is_some();
                if let Some(running) = running {
                    let lost = running.proposals.into_values();
                    effects.ended.extend(lost.map(|(_, p)| (p, ProposalEnd::Lost)));
                }
                self.reopen_at = now + REOPEN_DELAY;
                (effects, Some(DiskFailure { error, was_running }))
            }
        }
    }

    /// Advances the node's clock.
    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        let Some(running) = &mut self.running else { return };
        running.node.tick(now);
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
    /// Returns the leader, if it is known, when this replica does not lead, or when it leads and has
    /// fewer voters than `min_voters` at the first command.
    pub(crate) fn propose(
        &mut self,
        command: &LogCommand,
        proposer: Proposer,
        min_voters: usize,
    ) -> Result<(), Option<InstanceId>> {
        let running = self.running.as_mut().ok_or(None)?;
        let node = &running.node;
        if node.role() == NodeRole::Leader && !node.may_accept_commands(min_voters) {
            return Err(Some(self.instance.clone()));
        }
        let command: Arc<[u8]> = command.encode().into();
        match running.node.propose(command) {
            Ok((index, term)) => {
                running.proposals.insert(index, (term, proposer));
                Ok(())
            }
            Err(error) => Err(error.leader.map(|leader| leader.instance)),
        }
    }

    /// Transfers leadership to another replica if this replica leads; returns whether it did.
    pub(crate) fn transfer_leadership(&mut self, now: MonotonicTime) -> bool {
        self.running.as_mut().is_some_and(|running| running.node.transfer_leadership(now))
    }

    /// Processes the node's output and returns the effects.
    pub(crate) fn step(&mut self, now: MonotonicTime) -> ReplicaEffects {
        let mut effects = ReplicaEffects::default();
        if let Some(running) = &mut self.running {
            running.step(now, &mut effects);
        }
        effects
    }

    /// Returns the node if the replica is running.
    pub(crate) fn node(&self) -> Option<&ConsensusNode> {
        self.running.as_ref().map(|running| &running.node)
    }

    /// Takes the state that the last start recovered from the disk; returns it only once.
    pub(crate) fn take_recovery(&mut self) -> Option<RecoveryNote> {
        self.recovery.take()
    }

    /// Returns how long the running replica has had no leader, if a report of that is due.
    pub(crate) fn leaderless(&mut self, now: MonotonicTime) -> Option<Duration> {
        let node = &self.running.as_ref()?.node;
        self.watch.record(now, node.leader().is_some())
    }

    /// Sets the instances that should be voters.
    pub(crate) fn want_voters(&mut self, wanted: impl IntoIterator<Item = InstanceId>) {
        if let Some(running) = &mut self.running {
            // Callers check that this replica leads. If it has just lost leadership, the new leader
            // reviews the voters, so the error is ignored.
            let _ = running.node.set_wanted_voters(wanted);
        }
    }

    /// Returns the newest state if this replica holds the leader's lease and has applied all
    /// entries that any leader has acknowledged.
    pub(crate) fn state_as_leader(&self, now: MonotonicTime) -> Option<&ReplicatedState> {
        let running = self.running.as_ref()?;
        let is_current = running.node.holds_lease(now) && running.applied >= running.node.commit();
        is_current.then_some(&running.state)
    }
}

impl RunningReplica {
    fn step(&mut self, now: MonotonicTime, effects: &mut ReplicaEffects) {
        let before = self.state.revision();
        // A snapshot makes the node produce further output.
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

    /// Processes one output of the node; returns whether a snapshot was due.
    fn carry_out(&mut self, now: MonotonicTime, effects: &mut ReplicaEffects) -> bool {
        let NodeOutput { send, persist, restore, committed, elections, .. } =
            self.node.take_output();
        effects.send.extend(send);
        effects.elections.extend(elections);
        if let Some(held) = restore {
            self.state = ReplicatedState::decode(&held.data).expect("a state encoded here");
            self.applied = self.applied.max(held.index);
        }
        for entry in committed {
            self.apply(&entry, effects);
        }
        if let Some(batch) = persist {
            self.send_to_storage(now, batch, effects);
        }
        let entries = self.applied.0.saturating_sub(self.node.base_index().0);
        let is_due = self.bytes_since_snapshot > SNAPSHOT_INTERVAL_BYTES
            || entries > SNAPSHOT_INTERVAL_ENTRIES;
        if is_due && self.applied > self.node.base_index() {
            self.bytes_since_snapshot = 0;
            self.node.take_snapshot(self.applied, self.state.encode());
        }
        is_due
    }

    fn send_to_storage(
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
            self.node.persisted(now, sequence);
            effects.send.extend(messages);
            return;
        }
        self.unsynced.push_back((sequence, messages));
        // Sending fails only if the storage thread has ended; its report gives the reason.
        let _ = self.batches.send(batch);
    }

    fn synced(&mut self, now: MonotonicTime, sequence: u64, effects: &mut ReplicaEffects) {
        while self.unsynced.front().is_some_and(|(first, _)| *first <= sequence) {
            if let Some((_, messages)) = self.unsynced.pop_front() {
                effects.send.extend(messages);
            }
        }
        self.node.persisted(now, sequence);
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
