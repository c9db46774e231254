//! Maintains the table of members: the instances that run a daemon, each with a lease.
//!
//! The endpoints of a data centre are divided into shards. The home of a shard is the member that
//! is responsible for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriolepass_units::{DataCentreId, EndpointId, InstanceId, LeaseEpoch, ShardId};
use serde::{Deserialize, Serialize};

/// The listen addresses of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for endpoints.
    pub endpoints: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
}

/// A member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Identifies the start of the daemon; a restarted daemon has another value.
    pub boot: u64,
    /// Its lease, which [`MemberTable`] assigns.
    pub epoch: LeaseEpoch,
    /// Whether it is draining before it leaves.
    pub draining: bool,
    /// Its listen addresses.
    pub addresses: MemberAddresses,
}

impl MemberRecord {
    /// Returns whether `other` describes the same start of this daemon. In that case the daemon
    /// keeps its lease.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.boot == other.boot && self.addresses == other.addresses
    }
}

/// The members and the epoch of the last lease granted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberTable {
    pub(crate) members: BTreeMap<InstanceId, MemberRecord>,
    pub(crate) last_epoch: LeaseEpoch,
}

impl MemberTable {
    /// Returns a member.
    pub fn get(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        self.members.get(instance)
    }

    /// Returns all members in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Returns the home of a shard: the non-draining member with the highest rendezvous weight
    /// in the data centre, or among all data centres if this one has no such member.
    ///
    /// Every daemon with the same table computes the same home. A member that joins or leaves
    /// moves only the shards that it gains or loses.
    pub fn home(&self, data_centre: &DataCentreId, shard: &ShardId) -> Option<&MemberRecord> {
        let candidates = || self.iter().filter(|m| !m.draining);
        let weight = |m: &&MemberRecord| rendezvous_weight(&m.instance, shard);
        candidates()
            .filter(|m| m.data_centre == *data_centre)
            .max_by_key(weight)
            .or_else(|| candidates().max_by_key(weight))
    }

    /// Adds a member and returns its lease. A member that is already present with the same start
    /// keeps its lease.
    pub(crate) fn join(&mut self, record: &MemberRecord) -> LeaseEpoch {
        let present = self.members.get(&record.instance);
        if let Some(present) = present.filter(|present| present.is_same_start(record)) {
            return present.epoch;
        }
        self.last_epoch = self.last_epoch.next();
        let record = MemberRecord { epoch: self.last_epoch, draining: false, ..record.clone() };
        self.members.insert(record.instance.clone(), record);
        self.last_epoch
    }
}

/// Returns the shard of an endpoint among the `shards` shards of its data centre.
///
/// # Panics
///
/// Panics if `shards` is 0.
pub fn shard_of(data_centre: &DataCentreId, endpoint: &EndpointId, shards: u32) -> ShardId {
    use sha2::{Digest, Sha256};

    assert!(shards > 0, "a data centre has at least one shard");
    let digest = Sha256::digest(endpoint.as_str());
    let number = u32::from_le_bytes(digest[..4].try_into().expect("4 of 32 bytes"));
    format!("{data_centre}:{}", number % shards).parse().unwrap_or_else(|_| {
        // A data centre name of the maximum length leaves no room for the shard number.
        data_centre.as_str().parse().expect("a data centre id is a valid shard id")
    })
}

/// Computes the rendezvous-hashing weight of an instance for a shard. The weight is the same on
/// every build and machine.
fn rendezvous_weight(instance: &InstanceId, shard: &ShardId) -> [u8; 16] {
    use sha2::{Digest, Sha256};

    let digest = Sha256::new()
        .chain_update(instance.as_str())
        .chain_update([0])
        .chain_update(shard.as_str())
        .finalize();
    digest[..16].try_into().expect("16 of 32 bytes")
}
