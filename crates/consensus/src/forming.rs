//! How a new system comes into being.

use std::collections::{BTreeMap, BTreeSet};

use oriolepass_units::{InstanceId, LogIndex, MonotonicTime};

use crate::message::{ConsensusMessage, Envelope};
use crate::node::{ConsensusNode, RoleState};
use crate::replica::{DiskId, ReplicaId, VoterSet};

impl ConsensusNode {
    /// Starts as a replica that knows of no system.
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
        let others: BTreeSet<InstanceId> =
            self.config.first_voters.iter().chain(&self.contacts).cloned().collect();
        for instance in others {
            if instance != self.id.instance {
                self.send_to_instance(instance, message.clone());
            }
        }
    }

    /// Sends to whatever replica the instance has now.
    ///
    /// A fresh replica's disk id must be synced before others build on it: one that forgot it
    /// in a crash would come back as another replica in a system that waits for the first.
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
        if let RoleState::Forming { met: mine } = &mut self.role {
            // Only what a replica says of itself counts. Hearsay may be about a disk that has
            // been replaced since.
            let own = met.get(&from.instance).copied();
            // Only one that would form the same system counts. With lists that merely overlap, a
            // replica could end up in two systems.
            let same = is_same_set(first_voters, &self.config.first_voters);
            if own == Some(from.disk) && same && first_voters.contains(&from.instance) {
                mine.insert(from.instance.clone(), from.disk);
            }
            self.form_if_complete();
        }
    }

    /// Forms the system once *all* first voters have been met. A majority would not do: after a
    /// majority of voters lost their disks, they would found a second, empty system, while the
    /// others still hold accepted state.
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
            self.contact = now;
            self.reset_election(now);
        }
    }

    /// Takes over the first set. A replica that is not in it never stands for election; it asks
    /// the leader to take it in.
    fn adopt_first(&mut self, first: VoterSet) {
        self.voter_sets = vec![(LogIndex::ZERO, first.clone())];
        self.first = Some(first);
        self.role = RoleState::Follower;
        self.persist_hard();
    }
}

fn is_same_set(left: &[InstanceId], right: &[InstanceId]) -> bool {
    let set = |list: &[InstanceId]| list.iter().cloned().collect::<BTreeSet<_>>();
    set(left) == set(right)
}
