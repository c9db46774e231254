//! Implements the follower's side of replication: append and snapshot messages.

use std::sync::Arc;

use oriolepass_storage::LogRecord;
use oriolepass_units::{LeaderTerm, LogIndex, MonotonicTime};

use crate::election_event::StepDownReason;
use crate::log::{LogBuffer, LogEntry};
use crate::message::ConsensusMessage;
use crate::node::{ConsensusNode, HeldSnapshot, RoleState, snapshot_meta};
use crate::replica::ReplicaId;

/// The largest snapshot that a follower accepts, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 4 << 30;

/// The round in the answer to a message that is refused because its sender is not followed.
///
/// The refused message may carry a round of an earlier term, and rounds restart in every term. If
/// the answer echoed that round, a re-elected leader would take it for an acknowledgement of a
/// round that it has not sent yet, and would count this replica for its lease and reads
/// indefinitely.
const NO_ROUND: u64 = 0;

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    term: LeaderTerm,
    total: u64,
    data: Vec<u8>,
}

impl ConsensusNode {
    /// Follows the sender as the leader of `term`.
    ///
    /// Returns false if `term` is older than the current one or this replica is still forming.
    ///
    /// # Panics
    ///
    /// Panics if a second leader appears in one term.
    fn follow(&mut self, now: MonotonicTime, from: &ReplicaId, term: LeaderTerm) -> bool {
        if term < self.term {
            return false;
        }
        if term > self.term {
            self.step_down(now, term, StepDownReason::OtherTerm);
        }
        assert!(!matches!(self.role, RoleState::Leader(_)), "{from} leads in this node's own term");
        if matches!(self.role, RoleState::Forming { .. }) {
            // A replica that has not adopted a first voter set is in no set known to the leader.
            return false;
        }
        if self.leader.as_ref() != Some(from) {
            let other = self.leader.as_ref();
            assert!(other.is_none(), "{from} and {other:?} lead in one term");
            self.leader = Some(from.clone());
        }
        self.record_step_down(StepDownReason::OtherTerm);
        self.role = RoleState::Follower;
        self.is_removed = false;
        self.last_leader_contact = now;
        self.leader_heard = self.attended.at(now);
        self.reset_election(now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        message: ConsensusMessage,
    ) {
        let ConsensusMessage::Append { term, prev_index, prev_term, entries, commit, round } =
            message
        else {
            return;
        };
        if !self.follow(now, from, term) {
            self.answer_append(from, NO_ROUND, false, LogIndex::ZERO);
            return;
        }
        match self.check_prev_entry(prev_index, prev_term) {
            Err(hint) => self.answer_append(from, round, false, hint),
            Ok(()) => {
                let last = LogIndex(prev_index.0 + entries.len() as u64);
                let has_stored = self.merge(entries);
                self.commit = self.commit.max(commit.min(last));
                if has_stored || self.is_synced() {
                    self.answer_append(from, round, true, last);
                } else {
                    self.answer_contact(from, round);
                }
            }
        }
    }

    /// Checks that this log holds the leader's entry at `index`.
    ///
    /// # Errors
    ///
    /// Returns the index of the entry that the leader should compare next.
    fn check_prev_entry(&self, index: LogIndex, term: LeaderTerm) -> Result<(), LogIndex> {
        // Entries covered by a snapshot are committed, so they are the same on all replicas.
        if index < self.log.base_index() {
            return Ok(());
        }
        match self.log.term_at(index) {
            Some(own) if own == term => Ok(()),
            None => Err(self.log.last_index()),
            Some(own) => {
                // All entries of this term may differ, so the hint skips to before its first entry.
                let mut hint = LogIndex(index.0 - 1);
                while hint > self.commit && self.log.term_at(hint) == Some(own) {
                    hint = LogIndex(hint.0 - 1);
                }
                Err(hint)
            }
        }
    }

    /// Stores entries from the leader and truncates conflicting entries first. Returns whether any
    /// entry was not known yet.
    fn merge(&mut self, entries: Vec<LogEntry>) -> bool {
        let mut has_stored = false;
        for entry in entries {
            if entry.index <= self.log.base_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            self.store_entry(entry);
            has_stored = true;
        }
        has_stored
    }

    fn answer_append(&mut self, to: &ReplicaId, round: u64, accepted: bool, index: LogIndex) {
        let answer = ConsensusMessage::AppendAnswer { term: self.term, round, accepted, index };
        if accepted {
            self.send_synced(to, answer);
        } else {
            self.send_now(to, answer);
        }
    }

    /// Answers a message of the leader at once, while earlier state is still being synced.
    ///
    /// The answer promises no entry. It tells the leader that this replica follows it, for its lease
    /// and its quorum, and that needs no sync: a restarted replica votes for no other within the
    /// election timeout, whatever it has forgotten.
    fn answer_contact(&mut self, to: &ReplicaId, round: u64) {
        let index = LogIndex::ZERO;
        let answer =
            ConsensusMessage::AppendAnswer { term: self.term, round, accepted: true, index };
        self.send_now(to, answer);
    }

    pub(crate) fn on_snapshot(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        message: ConsensusMessage,
    ) {
        let ConsensusMessage::Snapshot {
            term,
            index,
            last_term,
            voters,
            offset,
            total,
            bytes,
            round,
        } = message
        else {
            return;
        };
        if !self.follow(now, from, term) {
            self.answer_snapshot(from, NO_ROUND, index, 0, false);
            return;
        }
        if index <= self.commit {
            self.answer_snapshot(from, round, index, total, true);
            return;
        }
        let next = self.append_chunk(index, last_term, offset, total, &bytes);
        if next < total {
            self.answer_snapshot(from, round, index, next, false);
            return;
        }
        let data = self.incoming.take().expect("the snapshot is complete").data;
        self.install(Arc::new(HeldSnapshot { index, term: last_term, voters, data }));
        self.answer_snapshot(from, round, index, total, true);
    }

    /// Appends a chunk and returns the offset at which the next chunk should start.
    fn append_chunk(
        &mut self,
        index: LogIndex,
        term: LeaderTerm,
        offset: u64,
        total: u64,
        bytes: &[u8],
    ) -> u64 {
        let same = |s: &IncomingSnapshot| s.index == index && s.term == term && s.total == total;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(IncomingSnapshot { index, term, total, data: Vec::new() });
        }
        let incoming = self.incoming.as_mut().expect("set above");
        let have = incoming.data.len() as u64;
        if offset == have && have + bytes.len() as u64 <= total.min(MAX_SNAPSHOT_BYTES) {
            incoming.data.extend_from_slice(bytes);
        }
        incoming.data.len() as u64
    }

    /// Replaces the state and the log up to the snapshot's index by the snapshot.
    fn install(&mut self, held: Arc<HeldSnapshot>) {
        if self.log.term_at(held.index) == Some(held.term) {
            // The entries after the snapshot are kept: they were acknowledged and may count
            // towards a commit.
            self.log.compact_to(held.index);
        } else {
            self.log = LogBuffer::new(held.index, held.term);
            self.discard_bookkeeping_after(held.index);
            self.batch().records.push(LogRecord::Reset { index: held.index, term: held.term });
        }
        self.voter_sets.retain(|(from, _)| *from > held.index);
        self.voter_sets.insert(0, (held.index, held.voters.clone()));
        self.commit = self.commit.max(held.index);
        self.applied = held.index;
        self.output.committed.clear();
        self.snapshot = Some(Arc::clone(&held));
        self.output.restore = Some(Arc::clone(&held));
        let index = held.index;
        let batch = self.batch();
        batch.snapshot = Some((snapshot_meta(&held), held));
        batch.compact = Some((index, index));
    }

    /// Discards voter sets and synced positions after `index`, once a snapshot replaced the log.
    fn discard_bookkeeping_after(&mut self, index: LogIndex) {
        self.voter_sets.retain(|(from, _)| *from <= index);
        self.discard_synced_after(index);
    }

    fn answer_snapshot(
        &mut self,
        to: &ReplicaId,
        round: u64,
        index: LogIndex,
        next_offset: u64,
        done: bool,
    ) {
        let term = self.term;
        let answer = ConsensusMessage::SnapshotAnswer { term, round, index, next_offset, done };
        if done && !self.is_synced() {
            self.answer_contact(to, round);
        }
        if done {
            self.send_synced(to, answer);
        } else {
            self.send_now(to, answer);
        }
    }
}
