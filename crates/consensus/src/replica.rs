//! Replicas and the set of voters.

use std::collections::BTreeSet;
use std::fmt;

use oriolepass_units::InstanceId;
use serde::{Deserialize, Serialize};

/// Identifies a data folder; drawn at random when the folder is first used.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskId(pub u64);

/// One replica of the log: an instance together with its disk.
///
/// An instance that comes back with an empty disk is another replica. It has forgotten its
/// votes and its entries, so counting it as the old one could elect two leaders in one term or
/// lose a committed entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The instance.
    pub instance: InstanceId,
    /// Its disk.
    pub disk: DiskId,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.instance, self.disk.0 & 0xffff_ffff)
    }
}

/// Who votes, who learns, and which instances operators want as voters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// The replicas that count in a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// The replicas that receive the log and count in no quorum.
    pub learners: BTreeSet<ReplicaId>,
    /// The instances that should be voters; the leader works towards it step by step.
    pub wanted: BTreeSet<InstanceId>,
}

impl VoterSet {
    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a replica votes.
    pub fn is_voter(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica)
    }

    /// Returns voters and learners.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the largest value that a quorum of the voters has reached.
    pub(crate) fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied()
    }
}
