//! The instances that run daemons, each with a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriolepass_units::{DataCentreId, EndpointId, InstanceId, LeaseEpoch, ShardId};
use serde::{Deserialize, Serialize};

/// Where a daemon listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For endpoints.
    pub endpoints: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Tells one start of the daemon from the next.
    pub boot: u64,
    /// Its lease; the table sets it.
    pub epoch: LeaseEpoch,
    /// Whether it is to leave.
    pub draining: bool,
    /// Where it listens.
    pub addresses: MemberAddresses,
}

impl MemberRecord {
    /// Returns whether `other` is the same start of the same daemon, which keeps its lease.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.boot == other.boot && self.addresses == other.addresses
    }
}

/// The members and the count of leases granted so far.
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

    /// Returns the home of a shard: the member of its data centre with the highest weight,
    /// or of all members where that data centre has none left.
    ///
    /// Every daemon with the same table computes the same home, and a member that comes or goes
    /// moves only the shards that it gains or loses.
    pub fn home(&self, data_centre: &DataCentreId, shard: &ShardId) -> Option<&MemberRecord> {
        let candidates = || self.iter().filter(|m| !m.draining);
        let weight = |m: &&MemberRecord| rendezvous_weight(&m.instance, shard);
        candidates()
            .filter(|m| m.data_centre == *data_centre)
            .max_by_key(weight)
            .or_else(|| candidates().max_by_key(weight))
    }

    /// Takes a member in. One that is known by the same start keeps its lease.
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

/// Returns the shard of an endpoint: one of `shards` in its data centre.
///
/// # Panics
///
/// Panics when `shards` is 0.
pub fn shard_of(data_centre: &DataCentreId, endpoint: &EndpointId, shards: u32) -> ShardId {
    use sha2::{Digest, Sha256};

    assert!(shards > 0, "a data centre has at least one shard");
    let digest = Sha256::digest(endpoint.as_str());
    let number = u32::from_le_bytes(digest[..4].try_into().expect("4 of 32 bytes"));
    format!("{data_centre}:{}", number % shards).parse().unwrap_or_else(|_| {
        // A data centre's name of the greatest length leaves no room for the number.
        data_centre.as_str().parse().expect("an id is an id")
    })
}

/// Weighs an instance for a shard; the same on every build and machine.
fn rendezvous_weight(instance: &InstanceId, shard: &ShardId) -> [u8; 16] {
    use sha2::{Digest, Sha256};

    let digest = Sha256::new()
        .chain_update(instance.as_str())
        .chain_update([0])
        .chain_update(shard.as_str())
        .finalize();
    digest[..16].try_into().expect("16 of 32 bytes")
}
