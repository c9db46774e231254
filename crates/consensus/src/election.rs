//! Elections.

use std::collections::BTreeSet;

use oriolepass_units::{LeaderTerm, LogIndex, MonotonicTime};

use crate::message::ConsensusMessage;
use crate::node::{ConsensusNode, RoleState};
use crate::replica::ReplicaId;

/// A log's last term and index; the greater of two is the more complete log.
type LogEnd = (LeaderTerm, LogIndex);

impl ConsensusNode {
    pub(crate) fn tick_election(&mut self, now: MonotonicTime) {
        if !self.voters().is_voter(&self.id) {
            self.ask_to_join(now);
            return;
        }
        if now >= self.election_due {
            self.leader = None;
            self.start_pre_vote(now);
        }
    }

    /// Lets a replica that is no voter make itself known to whoever leads.
    fn ask_to_join(&mut self, now: MonotonicTime) {
        if now < self.join_due {
            return;
        }
        self.join_due = now + self.config.election_timeout;
        // The disks that this replica knows of may have been replaced since, so it asks by
        // instance.
        let known = self.voters().voters.iter().map(|voter| voter.instance.clone());
        let mut asked: BTreeSet<_> =
            known.chain(self.config.first_voters.iter().chain(&self.contacts).cloned()).collect();
        asked.remove(&self.id.instance);
        for instance in asked {
            self.send_to_instance(instance, ConsensusMessage::JoinAsk);
        }
    }

    /// Asks whether an election could be won, without disturbing anyone: a replica that was cut
    /// off for a while must not depose a healthy leader by a higher term when it comes back.
    fn start_pre_vote(&mut self, now: MonotonicTime) {
        self.reset_election(now);
        self.role = RoleState::PreCandidate { granted: vec![self.id.clone()] };
        if self.voters().quorum() == 1 {
            self.start_election(now, false);
            return;
        }
        let message = ConsensusMessage::PreVoteAsk {
            term: self.term.next(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.ask_voters(&message);
    }

    pub(crate) fn start_election(&mut self, now: MonotonicTime, handed_over: bool) {
        self.enter_term(self.term.next());
        self.vote = Some(self.id.clone());
        self.persist_hard();
        self.leader = None;
        self.reset_election(now);
        self.role = RoleState::Candidate { granted: vec![self.id.clone()] };
        if self.voters().quorum() == 1 {
            self.become_leader(now);
            return;
        }
        let message = ConsensusMessage::VoteAsk {
            term: self.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handed_over,
        };
        self.ask_voters(&message);
    }

    /// The asks wait for the sync of this replica's own vote, which counts from then on.
    fn ask_voters(&mut self, message: &ConsensusMessage) {
        let others: Vec<ReplicaId> =
            self.voters().voters.iter().filter(|v| **v != self.id).cloned().collect();
        others.iter().for_each(|voter| self.send_synced(voter, message.clone()));
    }

    /// Returns whether a leader was heard within the election timeout.
    ///
    /// This is the other half of the leader's lease. A restarted node counts its start as such
    /// a moment, since it has forgotten when it last answered a leader.
    pub(crate) fn leader_may_hold_lease(&self, now: MonotonicTime) -> bool {
        match &self.role {
            RoleState::Leader(_) => true,
            _ => now.since(self.contact) < self.config.election_timeout,
        }
    }

    fn own_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote_ask(
        &mut self,
        now: MonotonicTime,
        from: &ReplicaId,
        term: LeaderTerm,
        end: LogEnd,
    ) {
        let granted = term > self.term && end >= self.own_end() && !self.leader_may_hold_lease(now);
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
                self.step_down(now, term);
            }
            return;
        }
        let quorum = self.voters().quorum();
        let counts = self.voters().is_voter(&from) && term == self.term.next();
        let RoleState::PreCandidate { granted } = &mut self.role else { return };
        if counts && !granted.contains(&from) {
            granted.push(from);
        }
        if granted.len() >= quorum {
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
        // The term of an ask that comes too early is not even taken over: that alone would
        // depose a leader that others still rely on.
        if self.leader_may_hold_lease(now) && !handed_over && term > self.term {
            return;
        }
        if matches!(self.role, RoleState::Forming { .. }) {
            return;
        }
        if term > self.term {
            self.step_down(now, term);
        }
        let free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = term == self.term && free && end >= self.own_end();
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.role = RoleState::Follower;
            self.persist_hard();
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
            self.step_down(now, term);
            return;
        }
        let quorum = self.voters().quorum();
        let counts = granted && term == self.term && self.voters().is_voter(&from);
        let RoleState::Candidate { granted } = &mut self.role else { return };
        if counts && !granted.contains(&from) {
            granted.push(from);
        }
        if granted.len() >= quorum {
            self.become_leader(now);
        }
    }

    /// Becomes a follower, of nobody yet, in the given term or the present one.
    pub(crate) fn step_down(&mut self, now: MonotonicTime, term: LeaderTerm) {
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

    pub(crate) fn on_hand_over(&mut self, now: MonotonicTime, from: &ReplicaId, term: LeaderTerm) {
        let expected = term == self.term && self.leader.as_ref() == Some(from);
        if expected && self.voters().is_voter(&self.id) {
            self.start_election(now, true);
        }
    }
}
