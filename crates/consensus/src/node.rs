//! Implements the consensus node: its state, inputs and outputs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_storage::{
    HardState, LogRecord, LogStore, RecoveredLog, SnapshotMeta, StorageError, StoredEntry,
};
use oriolepass_units::{InstanceId, LeaderTerm, LogIndex, MonotonicTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::attended::AttendedClock;
use crate::election_event::ElectionEvent;
use crate::follower::IncomingSnapshot;
use crate::leader::LeaderState;
use crate::log::{EntryPayload, LogBuffer, LogEntry};
use crate::message::{ConsensusMessage, Envelope};
use crate::replica::{DiskId, ReplicaId, VoterSet};

/// The minimum number of ticks within an election timeout. A replica that ticks more rarely extends
/// the timeout, so that it reads the messages that wait before it judges another's silence.
const ATTENDED_TICKS: u32 = 4;

/// Validated parameters of a node.
#[derive(Debug, Clone)]
pub struct ConsensusConfig {
    /// The minimum time without a leader before an election. Each timeout is drawn at random
    /// between this value and twice this value.
    pub election_timeout: Duration,
    /// The interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The time for which a leader's disk may be behind a quorum of the others before the leader
    /// transfers leadership. A leader that is no slower than the others stays, however slow all are.
    pub max_commit_lag: Duration,
    /// The maximum difference between the rates of two clocks, in percent.
    pub drift_percent: u32,
    /// The maximum size of the entries or the snapshot chunk in one message, in bytes.
    pub message_bytes: usize,
    /// The first voters, which are the same on all of them. Empty on a replica that must not form a
    /// cluster.
    pub first_voters: Vec<InstanceId>,
    /// How the first voters form a cluster.
    pub founding: FoundingRule,
    /// The number of entries before a snapshot that are kept for replicas that lag slightly.
    pub trailing_entries: u64,
    /// The seed of the random election timeouts.
    pub seed: u64,
}

/// How a replica with an empty store forms a cluster with the other first voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoundingRule {
    /// The store may have been lost, so the cluster forms only once all first voters have met.
    AllMeet,
    /// All first voters start for the first time, with stores that have never held a replica. Each
    /// is then known to the others as the replica on its first disk, and a majority suffices.
    FirstStart,
}

impl ConsensusConfig {
    /// Returns the first voter set under [`FoundingRule::FirstStart`], which each first voter knows
    /// without a message from another.
    fn first_start_voters(&self) -> VoterSet {
        let replica =
            |instance: &InstanceId| ReplicaId { instance: instance.clone(), disk: DiskId::FIRST };
        VoterSet {
            voters: self.first_voters.iter().map(replica).collect(),
            wanted: self.first_voters.iter().cloned().collect(),
            ..VoterSet::default()
        }
    }

    /// Returns how long a leader may rely on an acknowledged heartbeat round, from its sending.
    ///
    /// A follower that answered does not vote for another replica for `election_timeout` on its
    /// own clock. The leader's clock may run slower by `drift_percent`, so the lease is shorter by
    /// that share.
    pub fn lease(&self) -> Duration {
        self.election_timeout * (100 - self.drift_percent) / 100
    }
}

/// A snapshot of the state machine, kept in memory for replicas that lag.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldSnapshot {
    /// The last entry covered.
    pub index: LogIndex,
    /// That entry's term.
    pub term: LeaderTerm,
    /// The voters at that entry.
    pub voters: VoterSet,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// The current role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// A fresh replica that has not met all first voters yet.
    Forming,
    /// A replica that follows a leader or waits for one.
    Follower,
    /// A replica that runs a pre-vote.
    PreCandidate,
    /// A replica that stands for election.
    Candidate,
    /// The leader.
    Leader,
}

/// The current role with its state.
#[derive(Debug)]
pub(crate) enum RoleState {
    Forming {
        met: BTreeMap<InstanceId, DiskId>,
    },
    Follower,
    PreCandidate {
        /// The other voters that would vote for this replica in the next term.
        pre_votes: Vec<ReplicaId>,
    },
    Candidate(CandidateState),
    Leader(Box<LeaderState>),
}

/// State that exists only while the node stands for election.
#[derive(Debug)]
pub(crate) struct CandidateState {
    /// The other voters that voted for this replica in the current term.
    pub(crate) votes: Vec<ReplicaId>,
    /// The other voters that would vote for this replica in the next term.
    pub(crate) pre_votes: Vec<ReplicaId>,
    pub(crate) since: MonotonicTime,
}

/// Error of a call that only the leader can serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
}

/// Records that must be synced before certain messages are sent.
#[derive(Debug, Default)]
pub struct PersistBatch {
    /// Identifies the batch. The caller passes it to [`ConsensusNode::persisted`] after the sync.
    pub sequence: u64,
    /// A snapshot that is saved before the records, if any.
    pub snapshot: Option<(SnapshotMeta, Arc<HeldSnapshot>)>,
    /// Records to append.
    pub records: Vec<LogRecord>,
    /// Messages to send once the snapshot and the records are synced.
    pub send_after: Vec<Envelope>,
    /// The snapshot's index and the last entry that may be removed once the snapshot is saved.
    pub compact: Option<(LogIndex, LogIndex)>,
}

impl PersistBatch {
    /// Writes batches in order and syncs them together. Their messages may be sent only after this
    /// call returns.
    ///
    /// # Errors
    ///
    /// Returns an error if some data may not be durable. The store must not be used afterwards.
    pub fn write_group(store: &mut LogStore, group: &[Self]) -> Result<(), StorageError> {
        let mut records: Vec<LogRecord> = Vec::new();
        for batch in group {
            if let Some((meta, held)) = &batch.snapshot {
                // Records of earlier batches are written before the snapshot, to keep their order.
                store.append(&std::mem::take(&mut records))?;
                store.save_snapshot(meta, &held.data)?;
            }
            records.extend(batch.records.iter().cloned());
            if let Some((index, keep_after)) = batch.compact {
                store.append(&std::mem::take(&mut records))?;
                store.compact(index, keep_after)?;
            }
        }
        store.append(&records)
    }
}

/// Work that the caller must carry out.
#[derive(Debug, Default)]
pub struct NodeOutput {
    /// Messages to send immediately.
    pub send: Vec<Envelope>,
    /// The batch to sync. Batches must be synced in the order of their sequence.
    pub persist: Option<PersistBatch>,
    /// A snapshot to load into the state machine before any entry is applied.
    pub restore: Option<Arc<HeldSnapshot>>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Reads, as pairs of token and index, that may be answered once the index is applied.
    pub reads: Vec<(u64, LogIndex)>,
    /// Tokens of reads that failed because the node lost leadership.
    pub failed_reads: Vec<u64>,
    /// What happened in elections, in order.
    pub elections: Vec<ElectionEvent>,
}

/// The persisted identity of a replica. Its encoding depends on the order of fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaIdentity {
    pub(crate) disk: DiskId,
    pub(crate) first: Option<VoterSet>,
    /// The first voters that this replica has announced it would form a cluster with.
    pub(crate) chosen: Vec<InstanceId>,
}

/// One replica of the replicated log.
#[derive(Debug)]
pub struct ConsensusNode {
    pub(crate) config: ConsensusConfig,
    pub(crate) id: ReplicaId,
    pub(crate) term: LeaderTerm,
    pub(crate) vote: Option<ReplicaId>,
    pub(crate) first: Option<VoterSet>,
    /// Instances, besides the known voters, that may belong to the cluster.
    pub(crate) contacts: Vec<InstanceId>,
    pub(crate) log: LogBuffer,
    /// Voter sets by the entry that introduced them. The last set is in force.
    pub(crate) voter_sets: Vec<(LogIndex, VoterSet)>,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) synced: LogIndex,
    pub(crate) snapshot: Option<Arc<HeldSnapshot>>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<ReplicaId>,
    /// The time of the last message from a leader, or of the node's start if that is later.
    pub(crate) last_leader_contact: MonotonicTime,
    /// The attended time of the last message from a leader, or of the node's start.
    pub(crate) leader_heard: MonotonicTime,
    pub(crate) attended: AttendedClock,
    /// The attended time at which this replica stands for election.
    pub(crate) election_due: MonotonicTime,
    pub(crate) join_due: MonotonicTime,
    /// Whether a leader has stated that this replica is not a voter any more, although its log says
    /// so. Ends with the next message that it accepts from a leader.
    pub(crate) is_removed: bool,
    pub(crate) random: StdRng,
    pub(crate) output: NodeOutput,
    /// The last entry of each batch that is not synced yet, by the batch's sequence.
    unsynced: BTreeMap<u64, LogIndex>,
    next_sequence: u64,
    /// The sequence up to which all batches are synced.
    persisted_sequence: u64,
    /// The sequence of the batch that holds the current term and vote.
    hard_state_sequence: u64,
}

impl ConsensusNode {
    /// Creates a node from the state recovered from its store.
    ///
    /// `fresh_disk` becomes the disk id if the store is empty.
    ///
    /// # Panics
    ///
    /// Panics if the store holds data that this version cannot decode.
    pub fn new(
        mut config: ConsensusConfig,
        instance: InstanceId,
        fresh_disk: DiskId,
        recovered: RecoveredLog,
        now: MonotonicTime,
    ) -> Self {
        let identity = decode_identity(&recovered.hard.identity);
        let founds = identity.is_none()
            && config.founding == FoundingRule::FirstStart
            && config.first_voters.contains(&instance);
        let disk = match &identity {
            Some(identity) => identity.disk,
            None if founds => DiskId::FIRST,
            None => fresh_disk,
        };
        let first = match &identity {
            Some(identity) => identity.first.clone(),
            None => founds.then(|| config.first_start_voters()),
        };
        // Other replicas may rely on a persisted choice of first voters, so it takes precedence
        // over the configured or discovered list.
        if let Some(chosen) = identity.as_ref().map(|i| &i.chosen).filter(|c| !c.is_empty()) {
            config.first_voters.clone_from(chosen);
        }
        let id = ReplicaId { instance, disk };
        let snapshot = recovered.snapshot.map(|(meta, data)| {
            let voters = postcard::from_bytes(&meta.voters).expect("the stored voters decode");
            Arc::new(HeldSnapshot { index: meta.index, term: meta.term, voters, data })
        });
        let base =
            snapshot.as_ref().map_or((LogIndex::ZERO, LeaderTerm::ZERO), |s| (s.index, s.term));
        let mut node = Self {
            random: StdRng::seed_from_u64(config.seed),
            attended: AttendedClock::new(config.election_timeout / ATTENDED_TICKS, now),
            config,
            term: recovered.hard.term,
            vote: recovered.hard.vote.as_deref().map(|b| postcard::from_bytes(b).expect("a vote")),
            log: LogBuffer::new(base.0, base.1),
            voter_sets: Vec::new(),
            commit: base.0,
            applied: base.0,
            synced: base.0,
            incoming: None,
            role: RoleState::Follower,
            leader: None,
            last_leader_contact: now,
            leader_heard: now,
            election_due: now,
            join_due: now,
            is_removed: false,
            output: NodeOutput { restore: snapshot.clone(), ..NodeOutput::default() },
            unsynced: BTreeMap::new(),
            next_sequence: 1,
            persisted_sequence: 0,
            hard_state_sequence: 0,
            contacts: Vec::new(),
            snapshot,
            first,
            id,
        };
        node.recover_voters();
        for entry in recovered.entries {
            let payload = postcard::from_bytes(&entry.payload).expect("the stored entry decodes");
            node.append_to_log(LogEntry { index: entry.index, term: entry.term, payload });
        }
        node.synced = node.log.last_index();
        node.reset_election(now);
        if identity.is_none() {
            node.persist_hard_state();
        }
        if node.first.is_none() && node.voter_sets.is_empty() {
            node.start_forming();
        }
        node
    }

    /// Restores the voter set of the snapshot, or the first voter set if there is no snapshot.
    fn recover_voters(&mut self) {
        if let Some(snapshot) = &self.snapshot {
            self.voter_sets.push((snapshot.index, snapshot.voters.clone()));
        } else if let Some(first) = &self.first {
            self.voter_sets.push((LogIndex::ZERO, first.clone()));
        }
    }

    /// Sets the instances that may belong to the cluster, for a replica without first voters.
    pub fn set_contacts(&mut self, contacts: impl IntoIterator<Item = InstanceId>) {
        self.contacts = contacts.into_iter().filter(|c| *c != self.id.instance).collect();
    }

    /// Advances time and performs the work that is due.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.attended.tick(now);
        match &self.role {
            RoleState::Forming { .. } => self.tick_forming(now),
            RoleState::Leader(_) => self.tick_leader(now),
            _ => self.tick_election(now),
        }
    }

    /// Handles a received message. Messages for another instance or disk are dropped.
    pub fn receive(&mut self, now: MonotonicTime, envelope: Envelope) {
        if envelope.to != self.id.instance || envelope.to_disk.is_some_and(|d| d != self.id.disk) {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            ConsensusMessage::Forming { met, first_voters } => {
                self.on_forming(&from, &met, &first_voters);
            }
            ConsensusMessage::Formed { first } => self.on_formed(now, first),
            ConsensusMessage::JoinAsk => self.on_join_ask(now, &from),
            ConsensusMessage::PreVoteAsk { term, last_index, last_term } => {
                self.on_pre_vote_ask(now, &from, term, (last_term, last_index));
            }
            ConsensusMessage::PreVoteAnswer { term, granted } => {
                self.on_pre_vote_answer(now, from, term, granted);
            }
            ConsensusMessage::VoteAsk { term, last_index, last_term, handed_over } => {
                self.on_vote_ask(now, &from, term, (last_term, last_index), handed_over);
            }
            ConsensusMessage::VoteAnswer { term, granted } => {
                self.on_vote_answer(now, from, term, granted);
            }
            append @ ConsensusMessage::Append { .. } => self.on_append(now, &from, append),
            ConsensusMessage::AppendAnswer { term, round, accepted, index } => {
                self.on_append_answer(now, &from, term, round, accepted.then_some(index), index);
            }
            chunk @ ConsensusMessage::Snapshot { .. } => self.on_snapshot(now, &from, chunk),
            ConsensusMessage::SnapshotAnswer { term, round, index, next_offset, done } => {
                self.on_snapshot_answer(now, &from, term, round, (index, next_offset, done));
            }
            ConsensusMessage::HandOver { term } => self.on_hand_over(now, &from, term),
            ConsensusMessage::Removed { term, index } => self.on_removed(now, term, index),
        }
    }

    /// Proposes a command. The next [`ConsensusNode::take_output`] sends all commands proposed
    /// until then together.
    ///
    /// # Errors
    ///
    /// Returns the known leader if this node does not lead.
    pub fn propose(&mut self, command: Arc<[u8]>) -> Result<(LogIndex, LeaderTerm), NotLeader> {
        self.propose_payload(EntryPayload::Command(command))
    }

    pub(crate) fn propose_payload(
        &mut self,
        payload: EntryPayload,
    ) -> Result<(LogIndex, LeaderTerm), NotLeader> {
        if !matches!(self.role, RoleState::Leader(_)) {
            return Err(NotLeader { leader: self.leader.clone() });
        }
        let entry = LogEntry { index: self.log.last_index().next(), term: self.term, payload };
        let index = entry.index;
        self.store_entry(entry);
        Ok((index, self.term))
    }

    /// Records that all batches up to `sequence` are synced.
    pub fn persisted(&mut self, now: MonotonicTime, sequence: u64) {
        self.persisted_sequence = self.persisted_sequence.max(sequence);
        while let Some(first) = self.unsynced.first_entry().filter(|e| *e.key() <= sequence) {
            let index = first.remove();
            self.synced = self.synced.max(index).min(self.log.last_index());
        }
        self.count_votes(now);
        self.advance_commit();
    }

    /// Stores a snapshot of the state machine, taken after exactly the entries up to `index` were
    /// applied.
    ///
    /// # Panics
    ///
    /// Panics if the entry was not output for application yet.
    pub fn take_snapshot(&mut self, index: LogIndex, data: Vec<u8>) {
        assert!(index <= self.applied, "a snapshot must cover only applied entries");
        let Some(term) = self.log.term_at(index) else { return };
        let voters = self.voters_at(index).clone();
        let held = Arc::new(HeldSnapshot { index, term, voters, data });
        let keep_after = LogIndex(index.0.saturating_sub(self.config.trailing_entries));
        self.log.compact_to(keep_after);
        self.drop_old_voter_sets();
        self.snapshot = Some(Arc::clone(&held));
        let batch = self.batch();
        batch.snapshot = Some((snapshot_meta(&held), held));
        batch.compact = Some((index, keep_after));
    }

    /// Returns all work that has accumulated since the last call.
    pub fn take_output(&mut self) -> NodeOutput {
        self.send_entries();
        self.output_committed();
        let mut output = std::mem::take(&mut self.output);
        if let Some(batch) = &mut output.persist {
            batch.sequence = self.next_sequence;
            self.next_sequence += 1;
            self.unsynced.insert(batch.sequence, self.log.last_index());
        }
        output
    }

    /// Outputs the committed entries that are synced on this replica.
    fn output_committed(&mut self) {
        // Only entries that are synced on this replica are applied on it. Otherwise a crash could
        // take the replica back to a state before one that it has already exposed.
        let ready = self.commit.min(self.synced);
        while self.applied < ready {
            let index = self.applied.next();
            let entry = self.log.get(index).expect("committed entries are held until applied");
            self.output.committed.push(entry.clone());
            self.applied = index;
        }
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the current role.
    pub fn role(&self) -> NodeRole {
        match self.role {
            RoleState::Forming { .. } => NodeRole::Forming,
            RoleState::Follower => NodeRole::Follower,
            RoleState::PreCandidate { .. } => NodeRole::PreCandidate,
            RoleState::Candidate(_) => NodeRole::Candidate,
            RoleState::Leader(_) => NodeRole::Leader,
        }
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Returns the index of the last committed entry.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the index of the last entry covered by the snapshot, or zero without a snapshot.
    pub fn base_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex::ZERO, |snapshot| snapshot.index)
    }

    /// Returns the voter set in force.
    pub fn voters(&self) -> &VoterSet {
        static NONE: VoterSet = VoterSet {
            voters: std::collections::BTreeSet::new(),
            learners: std::collections::BTreeSet::new(),
            wanted: std::collections::BTreeSet::new(),
        };
        self.voter_sets.last().map_or(&NONE, |(_, set)| set)
    }

    /// Returns whether this replica is a voter, as far as it knows.
    pub fn is_voter(&self) -> bool {
        !self.is_removed && self.voters().is_voter(&self.id)
    }

    /// Returns whether a leader has stated that this replica is not a voter any more. Its own log
    /// then holds an old voter set.
    pub fn is_removed(&self) -> bool {
        self.is_removed
    }

    /// Returns the voter set that was in force at an entry.
    pub(crate) fn voters_at(&self, index: LogIndex) -> &VoterSet {
        let at = self.voter_sets.iter().rfind(|(from, _)| *from <= index);
        at.map_or_else(|| self.voters(), |(_, set)| set)
    }

    /// Drops voter sets that were replaced at or before the log's base.
    pub(crate) fn drop_old_voter_sets(&mut self) {
        let base = self.log.base_index();
        let needed = self.voter_sets.iter().rposition(|(from, _)| *from <= base).unwrap_or(0);
        self.voter_sets.drain(..needed);
    }

    /// Returns the batch that collects the records and messages of the next output.
    pub(crate) fn batch(&mut self) -> &mut PersistBatch {
        self.output.persist.get_or_insert_default()
    }

    /// Appends an entry to the log and to the batch to sync.
    pub(crate) fn store_entry(&mut self, entry: LogEntry) {
        let bytes = postcard::to_stdvec(&entry.payload).expect("a payload serialises");
        let record = StoredEntry { index: entry.index, term: entry.term, payload: bytes.into() };
        self.batch().records.push(LogRecord::Entry(record));
        self.append_to_log(entry);
    }

    fn append_to_log(&mut self, entry: LogEntry) {
        if let EntryPayload::Voters(set) = &entry.payload {
            self.voter_sets.push((entry.index, set.clone()));
        }
        self.log.push(entry);
    }

    /// Removes the entries from `index` on, which another leader replaced.
    ///
    /// # Panics
    ///
    /// Panics if one of the entries is committed. In that case two leaders committed different
    /// entries at one index, and no state of this replica can be trusted.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        assert!(index > self.commit, "committed entry {index} would be replaced");
        self.log.truncate_from(index);
        let last = self.log.last_index();
        self.voter_sets.retain(|(from, _)| *from <= last);
        self.synced = self.synced.min(last);
        // A batch that is synced later must not mark entries as synced that it does not contain.
        self.unsynced.values_mut().for_each(|bound| *bound = (*bound).min(last));
    }

    /// Discards the record of which entries after `index` are synced or being synced.
    pub(crate) fn discard_synced_after(&mut self, index: LogIndex) {
        self.synced = index;
        self.unsynced.values_mut().for_each(|bound| *bound = (*bound).min(index));
    }

    /// Adds the term, the vote and the replica's identity to the batch to sync.
    pub(crate) fn persist_hard_state(&mut self) {
        let vote = self.vote.as_ref().map(|v| postcard::to_stdvec(v).expect("a vote serialises"));
        let identity = ReplicaIdentity {
            disk: self.id.disk,
            first: self.first.clone(),
            chosen: self.config.first_voters.clone(),
        };
        let identity = postcard::to_stdvec(&identity).expect("an identity serialises");
        let hard = HardState { term: self.term, vote, identity };
        self.batch().records.push(LogRecord::Hard(hard));
        self.hard_state_sequence = self.next_sequence;
    }

    /// Enters a later term.
    ///
    /// # Panics
    ///
    /// Panics if the term is not later. Entering the same term would clear its vote, so that the
    /// replica could vote twice in it.
    pub(crate) fn enter_term(&mut self, term: LeaderTerm) {
        assert!(term > self.term, "a new term must be later than the current one");
        self.term = term;
        self.vote = None;
        self.persist_hard_state();
    }

    /// Draws a new election timeout that starts now.
    pub(crate) fn reset_election(&mut self, now: MonotonicTime) {
        let min_timeout = u64::try_from(self.config.election_timeout.as_micros())
            .expect("the election timeout fits in 64 bits");
        let timeout = self.random.random_range(min_timeout..2 * min_timeout);
        self.election_due = self.attended.at(now) + Duration::from_micros(timeout);
    }

    /// Returns whether the current term and vote are synced.
    pub(crate) fn is_vote_synced(&self) -> bool {
        self.persisted_sequence >= self.hard_state_sequence
    }

    /// Returns whether all state of this replica is synced.
    pub(crate) fn is_synced(&self) -> bool {
        self.output.persist.is_none() && self.unsynced.is_empty()
    }

    /// Sends a message at once. It must not promise any state that is not synced.
    pub(crate) fn send_now(&mut self, to: &ReplicaId, message: ConsensusMessage) {
        let envelope = self.envelope(to, message);
        self.output.send.push(envelope);
    }

    /// Sends a message after all state changed so far is synced.
    pub(crate) fn send_synced(&mut self, to: &ReplicaId, message: ConsensusMessage) {
        let envelope = self.envelope(to, message);
        if self.is_synced() {
            self.output.send.push(envelope);
        } else {
            // An earlier batch may still be in progress. The message waits in a batch behind it,
            // even if that batch has no records.
            self.batch().send_after.push(envelope);
        }
    }

    fn envelope(&self, to: &ReplicaId, message: ConsensusMessage) -> Envelope {
        Envelope { from: self.id.clone(), to: to.instance.clone(), to_disk: Some(to.disk), message }
    }
}

pub(crate) fn snapshot_meta(held: &HeldSnapshot) -> SnapshotMeta {
    let voters = postcard::to_stdvec(&held.voters).expect("voters serialise");
    SnapshotMeta { index: held.index, term: held.term, voters }
}

fn decode_identity(bytes: &[u8]) -> Option<ReplicaIdentity> {
    if bytes.is_empty() {
        return None;
    }
    Some(postcard::from_bytes(bytes).expect("the stored identity decodes"))
}
