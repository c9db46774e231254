//! Changes the voter set towards the wanted voters, one replica at a time.
//!
//! A step adds or removes one voter, so any majority before it and any majority after it have a
//! replica in common. The replacement of a disk therefore takes three steps: the new replica
//! becomes a learner, the old replica is removed, and the new replica is promoted. A learner is
//! promoted only once it has caught up, so that it does not count in a quorum before it holds the
//! entries that the quorum committed.

use oriolepass_units::{InstanceId, LogIndex, MonotonicTime};

use crate::election_event::StepDownReason;
use crate::log::EntryPayload;
use crate::message::ConsensusMessage;
use crate::node::{ConsensusNode, RoleState};
use crate::progress::ReplicaProgress;
use crate::replica::{ReplicaId, VoterSet};

/// The maximum number of entries by which a learner may lag the leader when it is promoted.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 64;

impl ConsensusNode {
    /// Records a request to join, and tells the sender that it is not a member.
    ///
    /// A member without a leader may ask as well. It needs no answer, and its request says nothing
    /// about whether it receives the leader's messages.
    pub(crate) fn on_join_ask(&mut self, now: MonotonicTime, from: &ReplicaId) {
        if self.voters().replicas().any(|member| member == from) {
            return;
        }
        let settled_index = self.settled_voters_index();
        let term = self.term;
        let Some(leader) = self.leader_state_mut() else { return };
        leader.join_requests.insert(from.instance.clone(), (from.clone(), now));
        if let Some(index) = settled_index {
            self.send_now(from, ConsensusMessage::Removed { term, index });
        }
    }

    /// Proposes the next step, if there is one and the previous step is committed.
    pub(crate) fn reconcile(&mut self, now: MonotonicTime) {
        self.update_progress_set();
        if !self.may_change_voters() {
            return;
        }
        if !self.voters().is_voter(&self.id) {
            // The voter set without this leader is committed, so the leader steps down.
            self.step_down(now, self.term, StepDownReason::Removed);
            return;
        }
        let step = self
            .next_learner(now)
            .or_else(|| self.next_removal(now))
            .or_else(|| self.next_voter(now));
        if let Some(set) = step {
            self.propose_payload(EntryPayload::Voters(set)).expect("this node leads");
            self.update_progress_set();
        }
    }

    /// Returns whether a step may be proposed now.
    ///
    /// A step waits for the previous one to be committed, because two uncommitted steps could have
    /// majorities without a common replica. It also waits for the leader's first entry to be
    /// committed, because a step of an earlier leader may still be uncommitted.
    fn may_change_voters(&self) -> bool {
        self.settled_voters_index().is_some()
    }

    /// Returns the entry that introduced the voter set in force, if this replica leads and knows
    /// that the entry is committed.
    fn settled_voters_index(&self) -> Option<LogIndex> {
        let RoleState::Leader(leader) = &self.role else { return None };
        let (index, _) = self.voter_sets.last()?;
        (*index <= self.commit && self.commit >= leader.first_index).then_some(*index)
    }

    /// Updates the set of replicas that receive entries to match the voter set in force.
    fn update_progress_set(&mut self) {
        let receivers: Vec<ReplicaId> =
            self.voters().replicas().filter(|r| **r != self.id).cloned().collect();
        let next = self.log.last_index().next();
        let Some(leader) = self.leader_state_mut() else { return };
        leader.progress.retain(|replica, _| receivers.contains(replica));
        for replica in receivers {
            leader.progress.entry(replica).or_insert_with(|| ReplicaProgress::new(next));
        }
    }

    /// Returns the voter set with a new learner: a replica of a wanted instance that asked to join.
    fn next_learner(&self, now: MonotonicTime) -> Option<VoterSet> {
        let RoleState::Leader(leader) = &self.role else { return None };
        let set = self.voters();
        let (replica, _) = leader.join_requests.values().find(|(replica, asked_at)| {
            self.is_recent_request(now, *asked_at)
                && set.wanted.contains(&replica.instance)
                && !set.replicas().any(|known| known == replica)
        })?;
        let mut next = set.clone();
        next.learners.retain(|learner| {
            learner.instance != replica.instance && set.wanted.contains(&learner.instance)
        });
        next.learners.insert(replica.clone());
        Some(next)
    }

    /// Returns the voter set without a voter that has a caught-up replacement or is not wanted.
    fn next_removal(&self, now: MonotonicTime) -> Option<VoterSet> {
        let set = self.voters();
        let ready = |instance: &InstanceId| {
            set.learners.iter().any(|l| l.instance == *instance && self.caught_up(now, l))
        };
        let learner_ready = set
            .learners
            .iter()
            .any(|learner| set.wanted.contains(&learner.instance) && self.caught_up(now, learner));
        let replaced = set.voters.iter().find(|voter| ready(&voter.instance));
        let unwanted = || {
            let full = set.wanted.iter().all(|w| set.voters.iter().any(|v| v.instance == *w));
            let removable = |voter: &&ReplicaId| !set.wanted.contains(&voter.instance);
            set.voters.iter().find(removable).filter(|_| full || learner_ready)
        };
        let removed = replaced.or_else(unwanted)?;
        let mut next = set.clone();
        next.voters.remove(removed);
        (next.voters.len() >= next.quorum() && self.is_quorum_reachable(now, &next)).then_some(next)
    }

    /// Returns the voter set with a caught-up learner promoted to voter.
    fn next_voter(&self, now: MonotonicTime) -> Option<VoterSet> {
        let set = self.voters();
        let learner = set.learners.iter().find(|learner| {
            let has_voter = set.voters.iter().any(|voter| voter.instance == learner.instance);
            set.wanted.contains(&learner.instance) && !has_voter && self.caught_up(now, learner)
        })?;
        let mut next = set.clone();
        next.learners.remove(learner);
        next.voters.insert(learner.clone());
        Some(next)
    }

    /// Returns whether a replica has caught up and its disk has answered within the election timeout.
    fn caught_up(&self, now: MonotonicTime, replica: &ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let min_matched =
            LogIndex(self.log.last_index().0.saturating_sub(MAX_PROMOTION_LAG_ENTRIES));
        leader.progress.get(replica).is_some_and(|progress| {
            progress.matched >= min_matched
                && progress.matched >= leader.first_index
                && progress
                    .last_synced
                    .is_some_and(|at| now.since(at) < self.config.election_timeout)
        })
    }

    /// Returns whether the disks of a quorum of `set` have answered within the election timeout, so that a step
    /// to `set` can be committed.
    fn is_quorum_reachable(&self, now: MonotonicTime, set: &VoterSet) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let is_reachable = |replica: &&ReplicaId| {
            **replica == self.id
                || leader.progress.get(*replica).is_some_and(|progress| {
                    progress
                        .last_synced
                        .is_some_and(|at| now.since(at) < self.config.election_timeout)
                })
        };
        set.voters.iter().filter(is_reachable).count() >= set.quorum()
    }
}
