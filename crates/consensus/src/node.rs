//! The node: its state, what it takes in and what it hands out.

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

use crate::follower::IncomingSnapshot;
use crate::leader::LeaderState;
use crate::log::{EntryPayload, LogBuffer, LogEntry};
use crate::message::{ConsensusMessage, Envelope};
use crate::replica::{DiskId, ReplicaId, VoterSet};

/// Checked parameters of a node.
#[derive(Debug, Clone)]
pub struct ConsensusConfig {
    /// The least time without a leader before an election; at most twice this.
    pub election_timeout: Duration,
    /// Between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// The most that two clocks differ in rate, in percent.
    pub drift_percent: u32,
    /// The most bytes of entries, or of a snapshot, in one message.
    pub message_bytes: usize,
    /// The first voters, from the settings or agreed on by the daemons that have met. Empty on a
    /// replica that must not found a system.
    pub first_voters: Vec<InstanceId>,
    /// Entries kept behind a snapshot for replicas that lag a little.
    pub trailing_entries: u64,
    /// Seeds the choice of election timeouts.
    pub seed: u64,
}

impl ConsensusConfig {
    /// Returns how long a leader may act on a round of heartbeats, counted from its sending.
    ///
    /// A follower that answered does not vote for another for `election` on its own clock. The
    /// leader's clock may run slower by the drift, so its lease is shorter by that much.
    pub fn lease(&self) -> Duration {
        self.election_timeout * (100 - self.drift_percent) / 100
    }
}

/// A snapshot kept for replicas that lag.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldSnapshot {
    /// The last entry covered.
    pub index: LogIndex,
    /// That entry's term.
    pub term: LeaderTerm,
    /// The voters at that entry.
    pub voters: VoterSet,
    /// The state.
    pub data: Vec<u8>,
}

/// What the node is at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// A fresh replica that has not met all first voters.
    Forming,
    /// A replica that follows, or looks for, a leader.
    Follower,
    /// A replica that asks whether an election makes sense.
    PreCandidate,
    /// A replica that stands for election.
    Candidate,
    /// The leader.
    Leader,
}

#[derive(Debug)]
pub(crate) enum RoleState {
    Forming { met: BTreeMap<InstanceId, DiskId> },
    Follower,
    PreCandidate { granted: Vec<ReplicaId> },
    Candidate { granted: Vec<ReplicaId> },
    Leader(Box<LeaderState>),
}

/// The call needs the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
}

/// What must be synced before some messages go out.
#[derive(Debug, Default)]
pub struct PersistBatch {
    /// Names the batch; to be handed to [`ConsensusNode::persisted`] once it is synced.
    pub sequence: u64,
    /// A snapshot, to be saved before the records, if there is one.
    pub snapshot: Option<(SnapshotMeta, Arc<HeldSnapshot>)>,
    /// Records to append.
    pub records: Vec<LogRecord>,
    /// What to send once all of that is synced.
    pub send_after: Vec<Envelope>,
    /// After the snapshot is saved, entries up to here are not needed any more.
    pub compact: Option<(LogIndex, LogIndex)>,
}

impl PersistBatch {
    /// Writes batches in order and syncs them together. Only after that may their messages be
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns an error when something may not be durable; the store is of no use after that.
    pub fn write_group(store: &mut LogStore, group: &[Self]) -> Result<(), StorageError> {
        let mut records: Vec<LogRecord> = Vec::new();
        for batch in group {
            if let Some((meta, held)) = &batch.snapshot {
                // Records before the snapshot are written first, in the order they were made.
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

/// What the caller has to do now.
#[derive(Debug, Default)]
pub struct NodeOutput {
    /// Messages to send at once.
    pub send: Vec<Envelope>,
    /// What to sync. Batches are to be synced in the order of their sequence.
    pub persist: Option<PersistBatch>,
    /// A snapshot to load into the state machine before applying anything else.
    pub restore: Option<Arc<HeldSnapshot>>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Reads that may be answered once the state machine has applied the index.
    pub reads: Vec<(u64, LogIndex)>,
    /// Reads that failed because leadership was lost.
    pub failed_reads: Vec<u64>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaIdentity {
    pub(crate) disk: DiskId,
    pub(crate) first: Option<VoterSet>,
    /// The first voters that this replica has told others it would form a system with.
    pub(crate) chosen: Vec<InstanceId>,
}

/// One replica of the log.
#[derive(Debug)]
pub struct ConsensusNode {
    pub(crate) config: ConsensusConfig,
    pub(crate) id: ReplicaId,
    pub(crate) term: LeaderTerm,
    pub(crate) vote: Option<ReplicaId>,
    pub(crate) first: Option<VoterSet>,
    /// Replicas that may know the system, beside the voters known.
    pub(crate) contacts: Vec<InstanceId>,
    pub(crate) log: LogBuffer,
    /// Sets of voters by the entry that brought them; the last one is in force.
    pub(crate) voter_sets: Vec<(LogIndex, VoterSet)>,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) synced: LogIndex,
    pub(crate) snapshot: Option<Arc<HeldSnapshot>>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<ReplicaId>,
    /// When a leader was last heard, or the node started, whichever is later.
    pub(crate) contact: MonotonicTime,
    pub(crate) election_due: MonotonicTime,
    pub(crate) join_due: MonotonicTime,
    pub(crate) random: StdRng,
    pub(crate) output: NodeOutput,
    /// The last entry of each batch that is not synced yet, by sequence.
    unsynced: BTreeMap<u64, LogIndex>,
    next_sequence: u64,
}

impl ConsensusNode {
    /// Creates a node from what its store kept.
    ///
    /// `fresh_disk` names the disk if the store was empty.
    ///
    /// # Panics
    ///
    /// Panics when the store holds something that this version did not write.
    pub fn new(
        mut config: ConsensusConfig,
        instance: InstanceId,
        fresh_disk: DiskId,
        recovered: RecoveredLog,
        now: MonotonicTime,
    ) -> Self {
        let identity = decode_identity(&recovered.hard.identity);
        let disk = identity.as_ref().map_or(fresh_disk, |identity| identity.disk);
        let first = identity.as_ref().and_then(|identity| identity.first.clone());
        // A choice that others may have built on stands, whatever has been discovered since.
        if let Some(chosen) = identity.as_ref().map(|i| &i.chosen).filter(|c| !c.is_empty()) {
            config.first_voters.clone_from(chosen);
        }
        let id = ReplicaId { instance, disk };
        let snapshot = recovered.snapshot.map(|(meta, data)| {
            let voters = postcard::from_bytes(&meta.voters).expect("voters that were encoded here");
            Arc::new(HeldSnapshot { index: meta.index, term: meta.term, voters, data })
        });
        let base =
            snapshot.as_ref().map_or((LogIndex::ZERO, LeaderTerm::ZERO), |s| (s.index, s.term));
        let mut node = Self {
            random: StdRng::seed_from_u64(config.seed),
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
            contact: now,
            election_due: now,
            join_due: now,
            output: NodeOutput { restore: snapshot.clone(), ..NodeOutput::default() },
            unsynced: BTreeMap::new(),
            next_sequence: 1,
            contacts: Vec::new(),
            snapshot,
            first,
            id,
        };
        node.recover_voters();
        for entry in recovered.entries {
            let payload = postcard::from_bytes(&entry.payload).expect("an entry encoded here");
            node.take_entry(LogEntry { index: entry.index, term: entry.term, payload });
        }
        node.synced = node.log.last_index();
        node.reset_election(now);
        if identity.is_none() {
            node.persist_hard();
        }
        if node.first.is_none() && node.voter_sets.is_empty() {
            node.start_forming();
        }
        node
    }

    fn recover_voters(&mut self) {
        if let Some(snapshot) = &self.snapshot {
            self.voter_sets.push((snapshot.index, snapshot.voters.clone()));
        } else if let Some(first) = &self.first {
            self.voter_sets.push((LogIndex::ZERO, first.clone()));
        }
    }

    /// Names replicas that may know the system, for one that was told of no first voters.
    pub fn set_contacts(&mut self, contacts: impl IntoIterator<Item = InstanceId>) {
        self.contacts = contacts.into_iter().filter(|c| *c != self.id.instance).collect();
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonotonicTime) {
        match &self.role {
            RoleState::Forming { .. } => self.tick_forming(now),
            RoleState::Leader(_) => self.tick_leader(now),
            _ => self.tick_election(now),
        }
    }

    /// Takes in a message.
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
            ConsensusMessage::JoinAsk => self.on_join_ask(now, from),
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
            piece @ ConsensusMessage::Snapshot { .. } => self.on_snapshot(now, &from, piece),
            ConsensusMessage::SnapshotAnswer { term, round, index, next_offset, done } => {
                self.on_snapshot_answer(now, &from, term, round, (index, next_offset, done));
            }
            ConsensusMessage::HandOver { term } => self.on_hand_over(now, &from, term),
        }
    }

    /// Proposes a command; it is sent with the next [`ConsensusNode::take_output`], together
    /// with all others proposed before that.
    ///
    /// # Errors
    ///
    /// Returns the leader where this node is not it.
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

    /// Notes that a batch is synced.
    pub fn persisted(&mut self, sequence: u64) {
        while let Some(first) = self.unsynced.first_entry().filter(|e| *e.key() <= sequence) {
            let index = first.remove();
            self.synced = self.synced.max(index).min(self.log.last_index());
        }
        self.advance_commit();
    }

    /// Takes over a snapshot of the state machine, made after applying exactly `index`.
    ///
    /// # Panics
    ///
    /// Panics when that entry was not handed out for applying yet.
    pub fn take_snapshot(&mut self, index: LogIndex, data: Vec<u8>) {
        assert!(index <= self.applied, "a snapshot covers applied entries only");
        let Some(term) = self.log.term_at(index) else { return };
        let voters = self.voters_at(index).clone();
        let held = Arc::new(HeldSnapshot { index, term, voters, data });
        let keep_after = LogIndex(index.0.saturating_sub(self.config.trailing_entries));
        self.log.compact_to(keep_after);
        self.drop_old_sets();
        self.snapshot = Some(Arc::clone(&held));
        let batch = self.batch();
        batch.snapshot = Some((meta_of(&held), held));
        batch.compact = Some((index, keep_after));
    }

    /// Hands out everything that is to be done since the last call.
    pub fn take_output(&mut self) -> NodeOutput {
        self.send_entries();
        self.hand_out_committed();
        let mut output = std::mem::take(&mut self.output);
        if let Some(batch) = &mut output.persist {
            batch.sequence = self.next_sequence;
            self.next_sequence += 1;
            self.unsynced.insert(batch.sequence, self.log.last_index());
        }
        output
    }

    fn hand_out_committed(&mut self) {
        // Only what is synced here is applied here. Otherwise a crash could take this replica
        // back behind a state that it has already shown.
        let ready = self.commit.min(self.synced);
        while self.applied < ready {
            let index = self.applied.next();
            let entry = self.log.get(index).expect("committed entries are held until applied");
            self.output.committed.push(entry.clone());
            self.applied = index;
        }
    }

    /// Returns this replica.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the present role.
    pub fn role(&self) -> NodeRole {
        match self.role {
            RoleState::Forming { .. } => NodeRole::Forming,
            RoleState::Follower => NodeRole::Follower,
            RoleState::PreCandidate { .. } => NodeRole::PreCandidate,
            RoleState::Candidate { .. } => NodeRole::Candidate,
            RoleState::Leader(_) => NodeRole::Leader,
        }
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the present term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Returns the last committed entry.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the last entry that is covered by a snapshot or older.
    pub fn base_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex::ZERO, |snapshot| snapshot.index)
    }

    /// Returns the voters in force.
    pub fn voters(&self) -> &VoterSet {
        static NONE: VoterSet = VoterSet {
            voters: std::collections::BTreeSet::new(),
            learners: std::collections::BTreeSet::new(),
            wanted: std::collections::BTreeSet::new(),
        };
        self.voter_sets.last().map_or(&NONE, |(_, set)| set)
    }

    pub(crate) fn voters_at(&self, index: LogIndex) -> &VoterSet {
        let at = self.voter_sets.iter().rfind(|(from, _)| *from <= index);
        at.map_or_else(|| self.voters(), |(_, set)| set)
    }

    pub(crate) fn drop_old_sets(&mut self) {
        let base = self.log.base_index();
        let needed = self.voter_sets.iter().rposition(|(from, _)| *from <= base).unwrap_or(0);
        self.voter_sets.drain(..needed);
    }

    pub(crate) fn batch(&mut self) -> &mut PersistBatch {
        self.output.persist.get_or_insert_default()
    }

    /// Adds an entry to the log and to what is to be synced.
    pub(crate) fn store_entry(&mut self, entry: LogEntry) {
        let bytes = postcard::to_stdvec(&entry.payload).expect("a payload always serialises");
        let record = StoredEntry { index: entry.index, term: entry.term, payload: bytes.into() };
        self.batch().records.push(LogRecord::Entry(record));
        self.take_entry(entry);
    }

    fn take_entry(&mut self, entry: LogEntry) {
        if let EntryPayload::Voters(set) = &entry.payload {
            self.voter_sets.push((entry.index, set.clone()));
        }
        self.log.push(entry);
    }

    /// Removes entries that another leader replaced.
    ///
    /// # Panics
    ///
    /// Panics when one of them is committed: then two leaders committed different entries at one
    /// place, and nothing this replica says could be trusted any more.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        assert!(index > self.commit, "committed entry {index} would be replaced");
        self.log.truncate_from(index);
        let last = self.log.last_index();
        self.voter_sets.retain(|(from, _)| *from <= last);
        self.synced = self.synced.min(last);
        // A batch synced later must not vouch for entries that it never held.
        self.unsynced.values_mut().for_each(|bound| *bound = (*bound).min(last));
    }

    /// Forgets which entries after `index` are synced or on their way to be.
    pub(crate) fn forget_unsynced(&mut self, index: LogIndex) {
        self.synced = index;
        self.unsynced.values_mut().for_each(|bound| *bound = (*bound).min(index));
    }

    pub(crate) fn persist_hard(&mut self) {
        let vote = self.vote.as_ref().map(|v| postcard::to_stdvec(v).expect("a vote serialises"));
        let identity = ReplicaIdentity {
            disk: self.id.disk,
            first: self.first.clone(),
            chosen: self.config.first_voters.clone(),
        };
        let identity = postcard::to_stdvec(&identity).expect("an identity serialises");
        let hard = HardState { term: self.term, vote, identity };
        self.batch().records.push(LogRecord::Hard(hard));
    }

    /// Enters a later term.
    ///
    /// # Panics
    ///
    /// Panics when the term is not later: a vote forgotten within a term could be given twice.
    pub(crate) fn enter_term(&mut self, term: LeaderTerm) {
        assert!(term > self.term, "terms only rise");
        self.term = term;
        self.vote = None;
        self.persist_hard();
    }

    pub(crate) fn reset_election(&mut self, now: MonotonicTime) {
        let least =
            u64::try_from(self.config.election_timeout.as_micros()).expect("a short timeout");
        let timeout = self.random.random_range(least..2 * least);
        self.election_due = now + Duration::from_micros(timeout);
    }

    /// Sends a message that promises nothing that is not synced.
    pub(crate) fn send_now(&mut self, to: &ReplicaId, message: ConsensusMessage) {
        let envelope = self.envelope(to, message);
        self.output.send.push(envelope);
    }

    /// Sends a message after everything decided so far is synced.
    pub(crate) fn send_synced(&mut self, to: &ReplicaId, message: ConsensusMessage) {
        let envelope = self.envelope(to, message);
        if self.output.persist.is_none() && self.unsynced.is_empty() {
            self.output.send.push(envelope);
        } else {
            // An earlier batch may still be under way, so this one waits behind it even if it
            // has nothing to write itself.
            self.batch().send_after.push(envelope);
        }
    }

    fn envelope(&self, to: &ReplicaId, message: ConsensusMessage) -> Envelope {
        Envelope { from: self.id.clone(), to: to.instance.clone(), to_disk: Some(to.disk), message }
    }
}

pub(crate) fn meta_of(held: &HeldSnapshot) -> SnapshotMeta {
    let voters = postcard::to_stdvec(&held.voters).expect("voters always serialise");
    SnapshotMeta { index: held.index, term: held.term, voters }
}

fn decode_identity(bytes: &[u8]) -> Option<ReplicaIdentity> {
    if bytes.is_empty() {
        return None;
    }
    Some(postcard::from_bytes(bytes).expect("an identity that was encoded here"))
}
