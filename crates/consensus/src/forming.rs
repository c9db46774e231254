//! Forms a new cluster once all of its first voters have met, where a store may have been lost.

use std::collections::{BTreeMap, BTreeSet};

use oriolepass_units::{InstanceId, LogIndex, MonotonicTime};

use crate::message::{ConsensusMessage, Envelope};
use crate::node::{ConsensusNode, RoleState};
use crate::replica::{DiskId, ReplicaId, VoterSet};

impl ConsensusNode {
    /// Starts in the forming role, for a replica that belongs to no cluster yet.
    pub(crate) fn start_forming(&mut self) {
        let met = BTreeMap::from([(self.id.instance.clone(), self.id.disk)]);
        self.role = RoleState::Forming { met };
        self.form_if_complete();
    }

    pub(crate) fn tick_forming(&mut self, now: MonotonicTime) {
        if now < self.join_due {
            return;
        }
        self.join_due = now + self.config.heartbeat_interval;
        let RoleState::Forming { met } = &self.role else { return };
        let message = ConsensusMessage::Forming {
            met: met.clone(),
            first_voters: self.config.first_voters.clone(),
        };
        let targets: BTreeSet<InstanceId> =
            self.config.first_voters.iter().chain(&self.contacts).cloned().collect();
        for instance in targets {
            if instance != self.id.instance {
                self.send_to_instance(instance, message.clone());
            }
        }
    }

    /// Sends to the replica that currently runs on an instance, whatever its disk.
    ///
    /// The message is sent after a sync, because other replicas rely on the sender's disk id. A
    /// fresh replica that lost its disk id in a crash would return as another replica, while the
    /// cluster waits for the first one.
    pub(crate) fn send_to_instance(&mut self, to: InstanceId, message: ConsensusMessage) {
        let envelope = Envelope { from: self.id.clone(), to, to_disk: None, message };
        self.batch().send_after.push(envelope);
    }

    pub(crate) fn on_forming(
        &mut self,
        from: &ReplicaId,
        met: &BTreeMap<InstanceId, DiskId>,
        first_voters: &[InstanceId],
    ) {
        if let Some(first) = &self.first {
            let message = ConsensusMessage::Formed { first: first.clone() };
            self.send_synced(from, message);
            return;
        }
        if let RoleState::Forming { met: own_met } = &mut self.role {
            // Only the disk that a replica reports for itself counts. A disk reported by a third
            // replica may have been replaced since.
            let own_disk = met.get(&from.instance).copied();
            // Only a replica with the same first voters counts. With lists that merely overlap, a
            // replica could become a member of two clusters.
            let same = is_same_set(first_voters, &self.config.first_voters);
            if own_disk == Some(from.disk) && same && first_voters.contains(&from.instance) {
                own_met.insert(from.instance.clone(), from.disk);
            }
            self.form_if_complete();
        }
    }

    /// Forms the cluster once *all* first voters have been met.
    ///
    /// A majority is not enough: after a majority of voters lost their disks, they would form a
    /// second, empty cluster, while the others still hold accepted state.
    fn form_if_complete(&mut self) {
        let RoleState::Forming { met } = &self.role else { return };
        let all = self.config.first_voters.iter().all(|instance| met.contains_key(instance));
        if !all || !self.config.first_voters.contains(&self.id.instance) {
            return;
        }
        let replica = |(instance, disk): (&InstanceId, &DiskId)| ReplicaId {
            instance: instance.clone(),
            disk: *disk,
        };
        let first = VoterSet {
            voters: met.iter().map(replica).collect(),
            wanted: met.keys().cloned().collect(),
            ..VoterSet::default()
        };
        self.adopt_first(first);
    }

    pub(crate) fn on_formed(&mut self, now: MonotonicTime, first: VoterSet) {
        if self.first.is_none() {
            self.adopt_first(first);
            self.last_leader_contact = now;
            self.reset_election(now);
        }
    }

    /// Adopts and persists the first voter set.
    ///
    /// A replica outside this set does not stand for election until it is made a voter: it sends
    /// join requests to the leader.
    fn adopt_first(&mut self, first: VoterSet) {
        self.voter_sets = vec![(LogIndex::ZERO, first.clone())];
        self.first = Some(first);
        self.role = RoleState::Follower;
        self.persist_hard_state();
    }
}

fn is_same_set(left: &[InstanceId], right: &[InstanceId]) -> bool {
    let set = |list: &[InstanceId]| list.iter().cloned().collect::<BTreeSet<_>>();
    set(left) == set(right)
}
