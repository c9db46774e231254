//! Brings the voters in line with the wanted ones, one replica at a time.
//!
//! Any majority before a step and any majority after it have a replica in common as long as a
//! step adds or removes one voter. A replaced disk therefore takes three steps: the new replica
//! learns, the old one is removed, the new one is promoted. It is promoted only once it has
//! caught up, so that it never counts in a quorum before it holds what the quorum vouches for.

use oriolepass_units::{InstanceId, LogIndex, MonotonicTime};

use crate::log::EntryPayload;
use crate::node::{ConsensusNode, RoleState};
use crate::progress::ReplicaProgress;
use crate::replica::{ReplicaId, VoterSet};

/// How far behind the leader's last entry a learner may be when it is promoted.
const CAUGHT_UP_WITHIN: u64 = 64;

impl ConsensusNode {
    pub(crate) fn on_join_ask(&mut self, now: MonotonicTime, from: ReplicaId) {
        if let Some(leader) = self.leading() {
            leader.asked.insert(from.instance.clone(), (from, now));
        }
    }

    /// Takes the next step, if there is one and the last one is committed.
    pub(crate) fn reconcile(&mut self, now: MonotonicTime) {
        self.match_progress();
        if !self.may_change_voters() {
            return;
        }
        if !self.voters().is_voter(&self.id) {
            // The set without this leader is committed, so its work is done.
            self.step_down(now, self.term);
            return;
        }
        let step = self
            .next_learner(now)
            .or_else(|| self.next_removal(now))
            .or_else(|| self.next_voter(now));
        if let Some(set) = step {
            self.propose_payload(EntryPayload::Voters(set)).expect("this node leads");
            self.match_progress();
        }
    }

    /// One step at a time: two uncommitted ones could have majorities without a common replica.
    /// And none before the leader's first entry is committed, since an earlier leader's step
    /// may still be under way.
    fn may_change_voters(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let settled = self.voter_sets.last().is_some_and(|(from, _)| *from <= self.commit);
        settled && self.commit >= leader.first_index
    }

    /// Keeps the list of replicas sent to in line with the set in force.
    fn match_progress(&mut self) {
        let wanted: Vec<ReplicaId> =
            self.voters().replicas().filter(|r| **r != self.id).cloned().collect();
        let next = self.log.last_index().next();
        let Some(leader) = self.leading() else { return };
        leader.progress.retain(|replica, _| wanted.contains(replica));
        for replica in wanted {
            leader.progress.entry(replica).or_insert_with(|| ReplicaProgress::new(next));
        }
    }

    /// Adds a replica that asked, of an instance that should vote.
    fn next_learner(&self, now: MonotonicTime) -> Option<VoterSet> {
        let RoleState::Leader(leader) = &self.role else { return None };
        let set = self.voters();
        let fresh = |asked: &MonotonicTime| now.since(*asked) < self.config.election_timeout * 3;
        let (replica, _) = leader.asked.values().find(|(replica, asked)| {
            fresh(asked)
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

    /// Removes a voter whose successor is ready, or that nobody wants any more.
    fn next_removal(&self, now: MonotonicTime) -> Option<VoterSet> {
        let set = self.voters();
        let ready = |instance: &InstanceId| {
            set.learners.iter().any(|l| l.instance == *instance && self.caught_up(now, l))
        };
        let successor_waits = set
            .learners
            .iter()
            .any(|learner| set.wanted.contains(&learner.instance) && self.caught_up(now, learner));
        let replaced = set.voters.iter().find(|voter| ready(&voter.instance));
        let unwanted = || {
            let full = set.wanted.iter().all(|w| set.voters.iter().any(|v| v.instance == *w));
            let removable = |voter: &&ReplicaId| !set.wanted.contains(&voter.instance);
            set.voters.iter().find(removable).filter(|_| full || successor_waits)
        };
        let leaver = replaced.or_else(unwanted)?;
        let mut next = set.clone();
        next.voters.remove(leaver);
        (next.voters.len() >= next.quorum() && self.quorum_answers(now, &next)).then_some(next)
    }

    /// Promotes a learner that has caught up.
    fn next_voter(&self, now: MonotonicTime) -> Option<VoterSet> {
        let set = self.voters();
        let learner = set.learners.iter().find(|learner| {
            let twin = set.voters.iter().any(|voter| voter.instance == learner.instance);
            set.wanted.contains(&learner.instance) && !twin && self.caught_up(now, learner)
        })?;
        let mut next = set.clone();
        next.learners.remove(learner);
        next.voters.insert(learner.clone());
        Some(next)
    }

    fn caught_up(&self, now: MonotonicTime, replica: &ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let enough = LogIndex(self.log.last_index().0.saturating_sub(CAUGHT_UP_WITHIN));
        leader.progress.get(replica).is_some_and(|progress| {
            progress.matched >= enough
                && progress.matched >= leader.first_index
                && progress
                    .last_contact
                    .is_some_and(|at| now.since(at) < self.config.election_timeout)
        })
    }

    /// Returns whether a quorum of `set` answers now, so that a step towards it cannot stall.
    fn quorum_answers(&self, now: MonotonicTime, set: &VoterSet) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let answers = |replica: &&ReplicaId| {
            **replica == self.id
                || leader.progress.get(*replica).is_some_and(|progress| {
                    progress
                        .last_contact
                        .is_some_and(|at| now.since(at) < self.config.election_timeout)
                })
        };
        set.voters.iter().filter(answers).count() >= set.quorum()
    }
}
