//! The election after a start of all voters, without the usual wait.
//!
//! A replica that starts must not vote for an election timeout: it may have answered a leader just
//! before, and that leader may still act on its lease. Where all voters have started, no such leader is
//! left, and waiting would only keep callers waiting.
//!
//! # Why it is safe
//!
//! A candidate of this kind has asked every voter of every set that it holds, after its own start, and
//! each has answered that it has heard no leader since its start and leads nobody. A leader that holds a
//! lease later has therefore been elected after the candidate's start, or belongs to a set that the
//! candidate does not know. Either way its first entry is committed, since it holds no lease before, and
//! the candidate, which has heard no leader since its start, lacks that entry. So a quorum has a log
//! that is more complete than the candidate's, and does not vote for it.

use std::collections::BTreeSet;

use oriolepass_units::{LeaderTerm, LogIndex, MonotonicTime};

use crate::message::{ConsensusMessage, StartId, VoteGrounds};
use crate::node::{ConsensusNode, RoleState};
use crate::replica::ReplicaId;

impl ConsensusNode {
    /// Asks the other voters whether they have just started as well.
    pub(crate) fn tick_start(&mut self, now: MonotonicTime) {
        if self.has_heard_leader || now < self.start_ask_due {
            return;
        }
        self.start_ask_due = now + self.config.heartbeat / 2;
        let start = self.start;
        let asked: Vec<ReplicaId> = self.all_known_voters().into_iter().collect();
        asked.iter().for_each(|voter| self.send_now(voter, ConsensusMessage::StartAsk { start }));
    }

    /// Returns the other voters of every set that this replica holds: the last one may not be
    /// committed, and then an earlier one may still have a leader.
    fn all_known_voters(&self) -> BTreeSet<ReplicaId> {
        let sets = self.voter_sets.iter().flat_map(|(_, set)| &set.voters);
        sets.filter(|voter| **voter != self.id).cloned().collect()
    }

    pub(crate) fn on_start_ask(&mut self, from: &ReplicaId, asked_by: StartId) {
        if self.has_heard_leader || matches!(self.role, RoleState::Forming { .. }) {
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let answer = ConsensusMessage::StartAnswer { asked_by, last_index, last_term };
        self.send_now(from, answer);
    }

    pub(crate) fn on_start_answer(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        asked_by: StartId,
        end: (LeaderTerm, LogIndex),
    ) {
        let is_candidate = matches!(self.role, RoleState::Candidate { .. });
        if asked_by != self.start || self.has_heard_leader || is_candidate {
            return;
        }
        self.started.insert(from, end);
        let asked = self.all_known_voters();
        let all_started = asked.iter().all(|voter| self.started.contains_key(voter));
        // One of them stands, so that votes are not split; the others wait for it as ever.
        let own = ((self.log.last_term(), self.log.last_index()), &self.id);
        let is_first =
            asked.iter().all(|voter| self.started.get(voter).map(|end| (*end, voter)) < Some(own));
        if all_started && is_first && self.voters().is_voter(&self.id) {
            self.started.clear();
            self.start_election(now, VoteGrounds::AllStarted);
        }
    }
}
