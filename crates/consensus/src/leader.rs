//! Implements the leader's side of replication: entries, commits, the lease and reads.

use std::collections::{BTreeMap, VecDeque};

use oriolepass_units::{InstanceId, LeaderTerm, LogIndex, MonotonicTime};

use crate::election_event::{ElectionEvent, StepDownReason};
use crate::log::EntryPayload;
use crate::message::ConsensusMessage;
use crate::node::{ConsensusNode, NotLeader, RoleState};
use crate::progress::{ReplicaProgress, SendMode};
use crate::replica::ReplicaId;

/// Heartbeat rounds whose sending time is kept. Older rounds no longer extend the lease.
const MAX_TRACKED_ROUNDS: usize = 64;

/// A read that waits for a heartbeat round and a commit.
#[derive(Debug)]
struct PendingRead {
    token: u64,
    round: u64,
    index: LogIndex,
}

/// State that exists only while the node leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<ReplicaId, ReplicaProgress>,
    /// Replicas that asked to join, with the time of their last request.
    pub(crate) join_requests: BTreeMap<InstanceId, (ReplicaId, MonotonicTime)>,
    /// The leader's first entry. Until it is committed, the leader does not know which entries of
    /// earlier terms are committed.
    pub(crate) first_index: LogIndex,
    pub(crate) elected_at: MonotonicTime,
    /// The attended time of the election.
    attended_since: MonotonicTime,
    heartbeat_due: MonotonicTime,
    /// An entry that a quorum has committed and this leader has not synced, with the time since
    /// which that was so.
    lag: Option<(LogIndex, MonotonicTime)>,
    /// Whether the commit index advanced since it was last sent to the followers.
    commit_advanced: bool,
    round: u64,
    rounds: VecDeque<(u64, MonotonicTime)>,
    reads: VecDeque<PendingRead>,
}

impl LeaderState {
    /// Removes all pending reads and returns their tokens.
    pub(crate) fn take_reads(&mut self) -> Vec<u64> {
        self.reads.drain(..).map(|read| read.token).collect()
    }
}

impl ConsensusNode {
    pub(crate) fn become_leader(&mut self, now: MonotonicTime) {
        if let RoleState::Candidate(candidate) = &self.role {
            let after = now.since(candidate.since);
            self.output.elections.push(ElectionEvent::Elected(self.term, after));
        }
        let next = self.log.last_index().next();
        let others = self.voters().replicas().filter(|r| **r != self.id);
        let progress = others.map(|r| (r.clone(), ReplicaProgress::new(next))).collect();
        self.role = RoleState::Leader(Box::new(LeaderState {
            progress,
            join_requests: BTreeMap::new(),
            first_index: next,
            elected_at: now,
            attended_since: self.attended.at(now),
            heartbeat_due: now,
            lag: None,
            commit_advanced: false,
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
        }));
        self.leader = Some(self.id.clone());
        self.propose_payload(EntryPayload::Empty).expect("this node leads");
        self.tick_leader(now);
    }

    pub(crate) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    pub(crate) fn tick_leader(&mut self, now: MonotonicTime) {
        if self.lost_quorum(now) {
            self.step_down(now, self.term, StepDownReason::QuorumLost);
            return;
        }
        if self.lags_commit(now) && self.transfer_leadership(now) {
            return;
        }
        self.reconcile(now);
        let due = self.leader_state_mut().is_some_and(|leader| now >= leader.heartbeat_due);
        if due {
            self.send_heartbeats(now);
        }
    }

    /// Returns whether no quorum was heard from within the election timeout.
    ///
    /// Time in which this leader's own loop was late does not count: it sent no heartbeat that could
    /// have been answered. Such a leader may already have a successor. It steps down without a
    /// message from another replica, so a partition of any length does not keep it in the role.
    fn lost_quorum(&self, now: MonotonicTime) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let now = self.attended.at(now);
        let last_heard = |replica: &ReplicaId| {
            if *replica == self.id {
                return now;
            }
            let heard = leader.progress.get(replica).and_then(|p| p.last_heard);
            heard.unwrap_or(leader.attended_since)
        };
        let latest = self.voters().quorum_value(last_heard);
        latest.is_none_or(|latest| now.since(latest) > self.config.election_timeout)
    }

    /// Returns whether this leader's disk has been behind a quorum of the others for too long.
    fn lags_commit(&mut self, now: MonotonicTime) -> bool {
        let (synced, commit) = (self.synced, self.commit);
        let max_lag = self.config.max_commit_lag;
        let Some(leader) = self.leader_state_mut() else { return false };
        match leader.lag {
            Some((index, since)) if synced < index => now.since(since) > max_lag,
            _ => {
                leader.lag = (synced < commit).then_some((commit, now));
                false
            }
        }
    }

    fn send_heartbeats(&mut self, now: MonotonicTime) {
        let heartbeat = self.config.heartbeat_interval;
        let Some(leader) = self.leader_state_mut() else { return };
        leader.heartbeat_due = now + heartbeat;
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        if leader.rounds.len() > MAX_TRACKED_ROUNDS {
            leader.rounds.pop_front();
        }
        // An answer that did not arrive within a heartbeat interval is considered lost.
        leader.progress.values_mut().for_each(|progress| progress.in_flight = 0);
        let replicas: Vec<ReplicaId> = leader.progress.keys().cloned().collect();
        for replica in replicas {
            self.send_append(&replica, true);
        }
    }

    /// Sends pending entries to every replica that may receive more, and an advanced commit index.
    pub(crate) fn send_entries(&mut self) {
        let last = self.log.last_index();
        let Some(leader) = self.leader_state_mut() else { return };
        let commit_advanced = std::mem::take(&mut leader.commit_advanced);
        let ready: Vec<ReplicaId> = leader
            .progress
            .iter()
            .filter(|(_, progress)| {
                let waits = progress.next <= last && progress.may_send();
                waits || (commit_advanced && !matches!(progress.mode, SendMode::Snapshot { .. }))
            })
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in ready {
            self.send_append(&replica, commit_advanced);
        }
    }

    /// Sends entries, a snapshot chunk or an empty heartbeat to a replica.
    fn send_append(&mut self, to: &ReplicaId, heartbeat: bool) {
        let (term, commit, message_bytes) = (self.term, self.commit, self.config.message_bytes);
        let last = self.log.last_index();
        let snapshot = self.snapshot.clone();
        let RoleState::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(to) else { return };
        if let SendMode::Snapshot { .. } = progress.mode {
            if heartbeat {
                self.send_snapshot_chunk(to);
            }
            return;
        }
        let prev_index = LogIndex(progress.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let held = snapshot.expect("only entries covered by a snapshot are dropped");
            progress.mode = SendMode::Snapshot { held, offset: 0 };
            self.send_snapshot_chunk(to);
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
        // Entries are sent before this node has synced them. Its own copy counts towards the
        // quorum only after the sync.
        self.send_now(to, message);
    }

    fn send_snapshot_chunk(&mut self, to: &ReplicaId) {
        let (term, size) = (self.term, self.config.message_bytes);
        let RoleState::Leader(leader) = &self.role else { return };
        let Some(progress) = leader.progress.get(to) else { return };
        let SendMode::Snapshot { held, offset } = &progress.mode else { return };
        let start = usize::try_from(*offset).expect("the snapshot fits in memory");
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

    /// Records contact with a replica and the round that it acknowledges.
    ///
    /// Returns the replica's progress, or none if this node does not lead in `term` or does not
    /// replicate to the sender.
    fn record_contact(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        term: LeaderTerm,
        round: u64,
    ) -> Option<&mut ReplicaProgress> {
        if term > self.term {
            self.step_down(now, term, StepDownReason::OtherTerm);
            return None;
        }
        if term < self.term {
            return None;
        }
        let heard = self.attended.at(now);
        let progress = self.leader_state_mut()?.progress.get_mut(from)?;
        progress.last_contact = Some(now);
        progress.last_heard = Some(heard);
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
        let Some(progress) = self.record_contact(now, from, term, round) else { return };
        match accepted {
            // An answer without an entry is sent before a sync.
            Some(LogIndex::ZERO) => progress.accepted(LogIndex::ZERO),
            Some(index) => {
                progress.last_synced = Some(now);
                progress.accepted(index);
            }
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
        let Some(progress) = self.record_contact(now, from, term, round) else { return };
        progress.last_synced = Some(now);
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
            self.send_snapshot_chunk(from);
        }
        self.answer_reads();
    }

    /// Advances the commit index to the last entry of the current term that a quorum has synced.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role else { return };
        let matched = |replica: &ReplicaId| {
            if *replica == self.id {
                return self.synced;
            }
            leader.progress.get(replica).map_or(LogIndex::ZERO, |p| p.matched)
        };
        let Some(index) = self.voters().quorum_value(matched) else { return };
        // A leader commits only entries of its own term by counting replicas; all earlier entries
        // are committed with them. An entry of an earlier term that a quorum holds may still be
        // replaced by a leader that does not have it.
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            if let RoleState::Leader(leader) = &mut self.role {
                leader.commit_advanced = true;
            }
        }
    }

    /// Returns whether this node leads, knows what is committed, and no other node can lead yet.
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

    /// Requests a linearizable read.
    ///
    /// [`NodeOutput::reads`](crate::NodeOutput::reads) later holds `token` with the index that must
    /// be applied before the read is answered.
    ///
    /// # Errors
    ///
    /// Returns the known leader if this node does not lead.
    pub fn read(&mut self, now: MonotonicTime, token: u64) -> Result<(), NotLeader> {
        if self.holds_lease(now) {
            self.output.reads.push((token, self.commit));
            return Ok(());
        }
        let commit = self.commit;
        let leader_id = self.leader.clone();
        let Some(leader) = self.leader_state_mut() else {
            return Err(NotLeader { leader: leader_id });
        };
        // A quorum's answers to a round that starts after the request prove that this node still
        // led at the request. The read index is at least that of the leader's first entry, because
        // earlier commits are known only once that entry is committed.
        let index = commit.max(leader.first_index);
        leader.reads.push_back(PendingRead { token, round: leader.round + 1, index });
        leader.heartbeat_due = now;
        self.tick_leader(now);
        Ok(())
    }

    /// Outputs the pending reads whose round a quorum acknowledged and whose index is committed.
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

    /// Transfers leadership to an up-to-date voter, for example at a graceful shutdown.
    ///
    /// Returns whether there was such a voter.
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
        let Some((successor, _)) = leader.progress.iter().find(ready) else { return false };
        let successor = successor.clone();
        // This node steps down first, so that its lease ends before the successor can hold one.
        self.step_down(now, self.term, StepDownReason::Transferred);
        let message = ConsensusMessage::HandOver { term: self.term };
        self.send_now(&successor, message);
        true
    }

    /// Returns every other replica with the last entry that is synced on it.
    ///
    /// The list is empty if this node does not lead.
    pub fn replica_progress(&self) -> Vec<(ReplicaId, LogIndex)> {
        match &self.role {
            RoleState::Leader(leader) => {
                leader.progress.iter().map(|(r, p)| (r.clone(), p.matched)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Sets which instances should be voters. The leader changes the voter set one step at a time.
    ///
    /// # Errors
    ///
    /// Returns the known leader if this node does not lead.
    pub fn set_wanted_voters(
        &mut self,
        wanted: impl IntoIterator<Item = InstanceId>,
    ) -> Result<(LogIndex, LeaderTerm), NotLeader> {
        let mut set = self.voters().clone();
        set.wanted = wanted.into_iter().collect();
        self.propose_payload(EntryPayload::Voters(set))
    }
}
