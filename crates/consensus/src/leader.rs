//! A leader's side of replication: entries, commits, the lease and reads.

use std::collections::{BTreeMap, VecDeque};

use oriolepass_units::{InstanceId, LeaderTerm, LogIndex, MonotonicTime};

use crate::log::EntryPayload;
use crate::message::ConsensusMessage;
use crate::node::{ConsensusNode, NotLeader, RoleState};
use crate::progress::{ReplicaProgress, SendMode};
use crate::replica::ReplicaId;

/// Rounds whose sending time is remembered; older ones are no longer of use for the lease.
const ROUNDS_REMEMBERED: usize = 64;

#[derive(Debug)]
struct PendingRead {
    token: u64,
    round: u64,
    index: LogIndex,
}

/// What only a leader keeps.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<ReplicaId, ReplicaProgress>,
    /// Replicas that asked to join, with the time of their last ask.
    pub(crate) asked: BTreeMap<InstanceId, (ReplicaId, MonotonicTime)>,
    /// The leader's first entry; before it is committed, the leader does not know which
    /// entries of earlier terms are.
    pub(crate) first_index: LogIndex,
    since: MonotonicTime,
    heartbeat_due: MonotonicTime,
    /// Whether the commit index rose since the followers were told of it.
    commit_is_news: bool,
    round: u64,
    rounds: VecDeque<(u64, MonotonicTime)>,
    reads: VecDeque<PendingRead>,
}

impl LeaderState {
    pub(crate) fn take_reads(&mut self) -> Vec<u64> {
        self.reads.drain(..).map(|read| read.token).collect()
    }
}

impl ConsensusNode {
    pub(crate) fn become_leader(&mut self, now: MonotonicTime) {
        let next = self.log.last_index().next();
        let others = self.voters().replicas().filter(|r| **r != self.id);
        let progress = others.map(|r| (r.clone(), ReplicaProgress::new(next))).collect();
        self.role = RoleState::Leader(Box::new(LeaderState {
            progress,
            asked: BTreeMap::new(),
            first_index: next,
            since: now,
            heartbeat_due: now,
            commit_is_news: false,
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
        }));
        self.leader = Some(self.id.clone());
        self.propose_payload(EntryPayload::Empty).expect("this node leads");
        self.tick_leader(now);
    }

    pub(crate) fn leading(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    pub(crate) fn tick_leader(&mut self, now: MonotonicTime) {
        if self.lost_quorum(now) {
            self.step_down(now, self.term);
            return;
        }
        self.reconcile(now);
        let due = self.leading().is_some_and(|leader| now >= leader.heartbeat_due);
        if due {
            self.send_heartbeats(now);
        }
    }

    /// Returns whether no quorum was heard within the election timeout. Such a leader may have
    /// a successor already and steps down by itself, however long it stays cut off.
    fn lost_quorum(&self, now: MonotonicTime) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let heard = |replica: &ReplicaId| {
            if *replica == self.id {
                return now;
            }
            let contact = leader.progress.get(replica).and_then(|p| p.last_contact);
            contact.unwrap_or(leader.since)
        };
        let latest = self.voters().quorum_value(heard);
        latest.is_none_or(|latest| now.since(latest) > self.config.election_timeout)
    }

    fn send_heartbeats(&mut self, now: MonotonicTime) {
        let heartbeat = self.config.heartbeat_interval;
        let Some(leader) = self.leading() else { return };
        leader.heartbeat_due = now + heartbeat;
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        if leader.rounds.len() > ROUNDS_REMEMBERED {
            leader.rounds.pop_front();
        }
        // An answer that did not come within a heartbeat is taken for lost.
        leader.progress.values_mut().for_each(|progress| progress.in_flight = 0);
        let replicas: Vec<ReplicaId> = leader.progress.keys().cloned().collect();
        for replica in replicas {
            self.send_append(&replica, true);
        }
    }

    /// Sends what is new: entries to every replica that can take more, and the commit index.
    pub(crate) fn send_entries(&mut self) {
        let last = self.log.last_index();
        let Some(leader) = self.leading() else { return };
        let news = std::mem::take(&mut leader.commit_is_news);
        let ready: Vec<ReplicaId> = leader
            .progress
            .iter()
            .filter(|(_, progress)| {
                let waits = progress.next <= last && progress.may_send();
                waits || (news && !matches!(progress.mode, SendMode::Snapshot { .. }))
            })
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in ready {
            self.send_append(&replica, news);
        }
    }

    /// Sends entries, or a piece of a snapshot, or a mere heartbeat.
    fn send_append(&mut self, to: &ReplicaId, heartbeat: bool) {
        let (term, commit, message_bytes) = (self.term, self.commit, self.config.message_bytes);
        let last = self.log.last_index();
        let snapshot = self.snapshot.clone();
        let RoleState::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(to) else { return };
        if let SendMode::Snapshot { .. } = progress.mode {
            if heartbeat {
                self.send_snapshot_piece(to);
            }
            return;
        }
        let prev_index = LogIndex(progress.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let held = snapshot.expect("entries are dropped only behind a snapshot");
            progress.mode = SendMode::Snapshot { held, offset: 0 };
            self.send_snapshot_piece(to);
            return;
        };
        let may_carry = progress.may_send() && progress.next <= last;
        if !may_carry && !heartbeat {
            return;
        }
        let entries =
            if may_carry { self.log.slice(progress.next, message_bytes) } else { Vec::new() };
        if let Some(sent) = entries.last() {
            progress.in_flight += 1;
            if matches!(progress.mode, SendMode::Pipeline) {
                progress.next = sent.index.next();
            }
        }
        let message =
            ConsensusMessage::Append { term, prev_index, prev_term, entries, commit, round };
        // Entries go out before this node has synced them itself: its own copy counts towards
        // the quorum only once it has.
        self.send_now(to, message);
    }

    fn send_snapshot_piece(&mut self, to: &ReplicaId) {
        let (term, size) = (self.term, self.config.message_bytes);
        let RoleState::Leader(leader) = &self.role else { return };
        let Some(progress) = leader.progress.get(to) else { return };
        let SendMode::Snapshot { held, offset } = &progress.mode else { return };
        let start = usize::try_from(*offset).expect("a snapshot that fits in memory");
        let end = (start + size).min(held.data.len());
        let message = ConsensusMessage::Snapshot {
            term,
            index: held.index,
            last_term: held.term,
            voters: held.voters.clone(),
            offset: *offset,
            total: held.data.len() as u64,
            bytes: held.data[start..end].to_vec(),
            round: leader.round,
        };
        self.send_now(to, message);
    }

    /// Notes a sign of life; returns the progress if the sender is one of this leader's.
    fn heard(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        term: LeaderTerm,
        round: u64,
    ) -> Option<&mut ReplicaProgress> {
        if term > self.term {
            self.step_down(now, term);
            return None;
        }
        if term < self.term {
            return None;
        }
        let progress = self.leading()?.progress.get_mut(from)?;
        progress.last_contact = Some(now);
        progress.acked_round = progress.acked_round.max(round);
        Some(progress)
    }

    pub(crate) fn on_append_answer(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        term: LeaderTerm,
        round: u64,
        accepted: Option<LogIndex>,
        hint: LogIndex,
    ) {
        let Some(progress) = self.heard(now, from, term, round) else { return };
        match accepted {
            Some(index) => progress.accepted(index),
            None => {
                progress.rejected(hint);
                self.send_append(from, false);
            }
        }
        self.advance_commit();
        self.answer_reads();
        self.reconcile(now);
    }

    pub(crate) fn on_snapshot_answer(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        term: LeaderTerm,
        round: u64,
        (index, next_offset, done): (LogIndex, u64, bool),
    ) {
        let Some(progress) = self.heard(now, from, term, round) else { return };
        let SendMode::Snapshot { held, offset } = &mut progress.mode else { return };
        if held.index != index {
            return;
        }
        if done {
            progress.matched = progress.matched.max(index);
            progress.next = progress.matched.next();
            progress.mode = SendMode::Probe;
            progress.in_flight = 0;
        } else if next_offset <= held.data.len() as u64 {
            *offset = next_offset;
            self.send_snapshot_piece(from);
        }
        self.answer_reads();
    }

    /// Commits what a quorum has synced.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role else { return };
        let matched = |replica: &ReplicaId| {
            if *replica == self.id {
                return self.synced;
            }
            leader.progress.get(replica).map_or(LogIndex::ZERO, |p| p.matched)
        };
        let Some(index) = self.voters().quorum_value(matched) else { return };
        // Counting commits entries of the leader's own term only; those before come along. An
        // entry of an earlier term that is on a quorum may still be replaced by a leader that
        // does not have it.
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            if let RoleState::Leader(leader) = &mut self.role {
                leader.commit_is_news = true;
            }
        }
    }

    /// Returns whether this node leads, knows what is committed, and no other can lead yet.
    pub fn holds_lease(&self, now: MonotonicTime) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        if self.commit < leader.first_index {
            return false;
        }
        if self.voters().quorum() == 1 && self.voters().is_voter(&self.id) {
            return true;
        }
        let acked = |replica: &ReplicaId| {
            if *replica == self.id {
                return leader.round;
            }
            leader.progress.get(replica).map_or(0, |p| p.acked_round)
        };
        let Some(round) = self.voters().quorum_value(acked) else { return false };
        let sent = leader.rounds.iter().rfind(|(number, _)| *number <= round);
        sent.is_some_and(|(_, at)| now < *at + self.config.lease())
    }

    /// Asks for a read of the present state; `token` comes back with the index that must be
    /// applied before answering.
    ///
    /// # Errors
    ///
    /// Returns the leader where this node is not it.
    pub fn read(&mut self, now: MonotonicTime, token: u64) -> Result<(), NotLeader> {
        if self.holds_lease(now) {
            self.output.reads.push((token, self.commit));
            return Ok(());
        }
        let commit = self.commit;
        let leader_id = self.leader.clone();
        let Some(leader) = self.leading() else { return Err(NotLeader { leader: leader_id }) };
        // A round that starts after the question proves that this node still led then. The
        // index is that of the leader's first entry at least: what was committed before is
        // known only once that is.
        let index = commit.max(leader.first_index);
        leader.reads.push_back(PendingRead { token, round: leader.round + 1, index });
        leader.heartbeat_due = now;
        self.tick_leader(now);
        Ok(())
    }

    fn answer_reads(&mut self) {
        let RoleState::Leader(leader) = &self.role else { return };
        let acked = |replica: &ReplicaId| {
            if *replica == self.id {
                return leader.round;
            }
            leader.progress.get(replica).map_or(0, |p| p.acked_round)
        };
        let Some(round) = self.voters().quorum_value(acked) else { return };
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role else { return };
        while leader.reads.front().is_some_and(|r| r.round <= round && r.index <= commit) {
            let read = leader.reads.pop_front().expect("checked");
            self.output.reads.push((read.token, read.index));
        }
    }

    /// Gives up leadership in favour of an up-to-date voter, as a graceful shutdown does.
    ///
    /// Returns whether there was one to hand over to.
    pub fn transfer_leadership(&mut self, now: MonotonicTime) -> bool {
        let last = self.log.last_index();
        let RoleState::Leader(leader) = &self.role else { return false };
        let ready = |(replica, progress): &(&ReplicaId, &ReplicaProgress)| {
            self.voters().is_voter(replica)
                && progress.matched == last
                && progress
                    .last_contact
                    .is_some_and(|at| now.since(at) < self.config.election_timeout)
        };
        let Some((heir, _)) = leader.progress.iter().find(ready) else { return false };
        let heir = heir.clone();
        // The lease ends here, before the heir can have one: this node steps down first.
        self.step_down(now, self.term);
        let message = ConsensusMessage::HandOver { term: self.term };
        self.send_now(&heir, message);
        true
    }

    /// Returns the progress of every other replica, as (replica, last entry synced there).
    pub fn replica_progress(&self) -> Vec<(ReplicaId, LogIndex)> {
        match &self.role {
            RoleState::Leader(leader) => {
                leader.progress.iter().map(|(r, p)| (r.clone(), p.matched)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Changes which instances should be voters; the leader works towards it step by step.
    ///
    /// # Errors
    ///
    /// Returns the leader where this node is not it.
    pub fn set_wanted_voters(
        &mut self,
        wanted: impl IntoIterator<Item = InstanceId>,
    ) -> Result<(LogIndex, LeaderTerm), NotLeader> {
        let mut set = self.voters().clone();
        set.wanted = wanted.into_iter().collect();
        self.propose_payload(EntryPayload::Voters(set))
    }
}
