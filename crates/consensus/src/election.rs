//! Elects a leader: join requests, pre-votes, votes and leadership transfer.

use std::collections::BTreeSet;

use oriolepass_units::{LeaderTerm, LogIndex, MonotonicTime};

use crate::election_event::{ElectionEvent, StepDownReason};
use crate::message::ConsensusMessage;
use crate::node::{CandidateState, ConsensusNode, RoleState};
use crate::replica::ReplicaId;

/// The term and index of a log's last entry. Of two logs, the greater value is the more complete.
type LogEnd = (LeaderTerm, LogIndex);

impl ConsensusNode {
    pub(crate) fn tick_election(&mut self, now: MonotonicTime) {
        if !self.is_voter() {
            self.request_join(now);
            return;
        }
        if self.attended.at(now) < self.election_due {
            return;
        }
        self.leader = None;
        if !self.is_synced() {
            // A replica whose disk is behind could neither vote for itself nor commit in time. It
            // leaves the election to others, and does not outrun a candidate that it has just
            // voted for.
            self.reset_election(now);
            return;
        }
        let has_failed = !matches!(self.role, RoleState::Follower);
        self.start_pre_vote(now);
        if has_failed && !matches!(self.role, RoleState::Leader(_)) {
            // A replica that was removed while it was away does not receive the entry that
            // removes it, and no voter answers its pre-votes. Only a leader can tell it.
            self.request_join(now);
        }
    }

    /// Asks the leader, whichever replica that is, to add this replica to the voter set.
    fn request_join(&mut self, now: MonotonicTime) {
        if now < self.join_due {
            return;
        }
        self.join_due = now + self.config.election_timeout;
        // The known disks may have been replaced since, so requests are addressed by instance.
        let known = self.voters().voters.iter().map(|voter| voter.instance.clone());
        let mut targets: BTreeSet<_> =
            known.chain(self.config.first_voters.iter().chain(&self.contacts).cloned()).collect();
        targets.remove(&self.id.instance);
        for instance in targets {
            self.send_to_instance(instance, ConsensusMessage::JoinAsk);
        }
    }

    /// Asks the voters whether an election could be won, without raising the term.
    ///
    /// Without the pre-vote, a replica that returns from a network partition would depose a
    /// healthy leader with its higher term.
    fn start_pre_vote(&mut self, now: MonotonicTime) {
        self.reset_election(now);
        match &mut self.role {
            // Votes for the current term may still be on their way from voters with slow disks, so
            // the candidate keeps its term until a majority would vote in the next one.
            RoleState::Candidate(candidate) => candidate.pre_votes.clear(),
            role => *role = RoleState::PreCandidate { pre_votes: Vec::new() },
        }
        if self.voters().quorum() == 1 {
            self.start_election(now, false);
            return;
        }
        let message = ConsensusMessage::PreVoteAsk {
            term: self.term.next(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.other_voters().iter().for_each(|voter| self.send_synced(voter, message.clone()));
    }

    /// Starts an election in the next term, in which this replica votes for itself.
    pub(crate) fn start_election(&mut self, now: MonotonicTime, handed_over: bool) {
        self.record_step_down(StepDownReason::NotElected);
        let was_synced = self.is_synced();
        self.enter_term(self.term.next());
        self.vote = Some(self.id.clone());
        self.persist_hard_state();
        self.leader = None;
        self.reset_election(now);
        let candidate = CandidateState { votes: Vec::new(), pre_votes: Vec::new(), since: now };
        self.role = RoleState::Candidate(candidate);
        self.output.elections.push(ElectionEvent::Candidate(self.term));
        let message = ConsensusMessage::VoteAsk {
            term: self.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handed_over,
        };
        for voter in self.other_voters() {
            if was_synced {
                // The others sync their votes while this replica syncs its own, which it counts
                // only once it is synced. The log that the request states is already durable: a
                // vote that arrives after a restart must not be for entries that were lost.
                self.send_now(&voter, message.clone());
            } else {
                self.send_synced(&voter, message.clone());
            }
        }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        self.voters().voters.iter().filter(|voter| **voter != self.id).cloned().collect()
    }

    /// Becomes the leader once this replica's own vote is synced and a majority voted for it.
    ///
    /// The own vote is needed even if a majority of others voted: a leader that forgets its term in
    /// a crash could be elected in the same term again, with other entries.
    pub(crate) fn count_votes(&mut self, now: MonotonicTime) {
        let RoleState::Candidate(candidate) = &self.role else { return };
        let votes = candidate.votes.len() + 1;
        if self.is_vote_synced() && votes >= self.voters().quorum() {
            self.become_leader(now);
        }
    }

    /// Returns whether a leader was heard from within the election timeout.
    ///
    /// The leader's lease relies on voters that refuse votes for this time. A restarted node has
    /// lost the time of its last answer to a leader, so it counts its start as that time.
    pub(crate) fn leader_may_hold_lease(&self, now: MonotonicTime) -> bool {
        match &self.role {
            RoleState::Leader(_) => true,
            _ => now.since(self.last_leader_contact) < self.config.election_timeout,
        }
    }

    /// Returns whether messages from the leader may wait unread because this replica was late.
    ///
    /// A pre-vote of such a replica would help to depose a leader that is still there.
    fn may_hear_leader(&self, now: MonotonicTime) -> bool {
        self.attended.at(now).since(self.leader_heard) < self.config.election_timeout
    }

    fn own_log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote_ask(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        term: LeaderTerm,
        end: LogEnd,
    ) {
        // A vote that is still being synced may elect another candidate. A further election now
        // would only make it worthless.
        let is_undecided = self.is_vote_synced() || self.vote.as_ref() == Some(from);
        let granted = term > self.term
            && end >= self.own_log_end()
            && is_undecided
            && !self.leader_may_hold_lease(now)
            && !self.may_hear_leader(now);
        let term = if granted { term } else { self.term };
        self.send_synced(from, ConsensusMessage::PreVoteAnswer { term, granted });
    }

    pub(crate) fn on_pre_vote_answer(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: LeaderTerm,
        granted: bool,
    ) {
        if !granted {
            if term > self.term {
                self.step_down(now, term, StepDownReason::OtherTerm);
            }
            return;
        }
        let quorum = self.voters().quorum();
        let counts = self.voters().is_voter(&from) && term == self.term.next();
        let pre_votes = match &mut self.role {
            RoleState::PreCandidate { pre_votes } => pre_votes,
            RoleState::Candidate(candidate) => &mut candidate.pre_votes,
            _ => return,
        };
        if counts && !pre_votes.contains(&from) {
            pre_votes.push(from);
        }
        if pre_votes.len() + 1 >= quorum {
            self.start_election(now, false);
        }
    }

    pub(crate) fn on_vote_ask(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        term: LeaderTerm,
        end: LogEnd,
        handed_over: bool,
    ) {
        // A vote request that arrives while a leader may hold its lease is dropped before its term
        // is adopted: the higher term alone would depose a leader that other replicas rely on. A
        // request of the current term is dropped as well: this replica may have learned the term
        // from another message, which does not end the lease.
        let has_voted = self.vote.as_ref() == Some(from);
        if self.leader_may_hold_lease(now) && !handed_over && term >= self.term && !has_voted {
            return;
        }
        if matches!(self.role, RoleState::Forming { .. }) {
            return;
        }
        if term > self.term {
            self.step_down(now, term, StepDownReason::OtherTerm);
        }
        let may_vote = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = term == self.term && may_vote && end >= self.own_log_end();
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.role = RoleState::Follower;
            self.persist_hard_state();
            self.reset_election(now);
        }
        self.send_synced(from, ConsensusMessage::VoteAnswer { term: self.term, granted });
    }

    pub(crate) fn on_vote_answer(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: LeaderTerm,
        granted: bool,
    ) {
        if term > self.term {
            self.step_down(now, term, StepDownReason::OtherTerm);
            return;
        }
        let counts = granted && term == self.term && self.voters().is_voter(&from);
        let RoleState::Candidate(candidate) = &mut self.role else { return };
        if counts && !candidate.votes.contains(&from) {
            candidate.votes.push(from);
        }
        self.count_votes(now);
    }

    /// Becomes a follower without a known leader, in `term` or in the current term if that is
    /// later.
    ///
    /// A replica that is still forming stays in that role.
    pub(crate) fn step_down(
        &mut self,
        now: MonotonicTime,
        term: LeaderTerm,
        reason: StepDownReason,
    ) {
        self.record_step_down(reason);
        if let RoleState::Leader(leader) = &mut self.role {
            let reads = leader.take_reads();
            self.output.failed_reads.extend(reads);
        }
        if term > self.term {
            self.enter_term(term);
        }
        if !matches!(self.role, RoleState::Forming { .. }) {
            self.role = RoleState::Follower;
        }
        self.leader = None;
        self.reset_election(now);
    }

    /// Outputs that this replica stops leading or standing for election, if it did.
    pub(crate) fn record_step_down(&mut self, reason: StepDownReason) {
        if matches!(self.role, RoleState::Leader(_) | RoleState::Candidate(_)) {
            self.output.elections.push(ElectionEvent::SteppedDown(self.term, reason));
        }
    }

    /// Notes that this replica is not a voter any more, unless its own log is more recent.
    ///
    /// Such a replica stops standing for election and asks to join. It still grants votes: a
    /// candidate counts them only if its own voter set holds this replica.
    pub(crate) fn on_removed(&mut self, now: MonotonicTime, term: LeaderTerm, index: LogIndex) {
        let is_voter = self.voters().is_voter(&self.id);
        if !is_voter || term < self.term || self.leader_may_hold_lease(now) {
            return;
        }
        let own_index = self.voter_sets.last().map_or(LogIndex::ZERO, |(from, _)| *from);
        let own_term = self.log.term_at(own_index).unwrap_or(LeaderTerm::ZERO);
        // A leader of a later term holds all committed entries of the terms before, so its voter
        // set is at least as recent. Within a term, the later entry is.
        if term > own_term || index > own_index {
            self.is_removed = true;
            self.role = RoleState::Follower;
        }
    }

    pub(crate) fn on_hand_over(&mut self, now: MonotonicTime, from: &ReplicaId, term: LeaderTerm) {
        let expected = term == self.term && self.leader.as_ref() == Some(from);
        if expected && self.voters().is_voter(&self.id) {
            self.start_election(now, true);
        }
    }
}
