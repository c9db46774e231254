//! Defines replica ids and the voter set.

use std::collections::BTreeSet;
use std::fmt;

use oriolepass_units::InstanceId;
use serde::{Deserialize, Serialize};

/// Identifies a data folder. The id is drawn at random when the folder is first used, except at the
/// first start of a cluster.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskId(pub u64);

impl DiskId {
    /// The disk of an instance at the first start of its cluster.
    pub const FIRST: Self = Self(0);
}

/// One replica of the log: an instance together with its disk.
///
/// An instance that returns with an empty disk is another replica. It has lost its votes and
/// entries, so counting it as the old replica could elect two leaders in one term or lose a
/// committed entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The instance that runs the replica.
    pub instance: InstanceId,
    /// The disk that stores the replica.
    pub disk: DiskId,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.instance, self.disk.0 & 0xffff_ffff)
    }
}

/// The voters, the learners, and the instances that operators want as voters.
///
/// A learner receives the log before it is promoted to voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// The replicas that count in a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// The replicas that receive the log but do not count in a quorum.
    pub learners: BTreeSet<ReplicaId>,
    /// The instances that should be voters. The leader changes the set one step at a time.
    pub wanted: BTreeSet<InstanceId>,
}

impl VoterSet {
    /// Returns the number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a replica is a voter.
    pub fn is_voter(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica)
    }

    /// Returns all voters and learners.
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
