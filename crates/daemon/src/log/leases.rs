//! Tracks the heartbeats and leases of the members at the leader.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oriolepass_config::MemberTable;
use oriolepass_units::{InstanceId, LeaseEpoch, MonotonicTime, ObjectRevision};

/// The heartbeats received since this daemon became the leader.
#[derive(Debug)]
pub(super) struct MemberLeaseTracker {
    since: MonotonicTime,
    last_heartbeats: HashMap<InstanceId, MonotonicTime>,
    applied: HashMap<InstanceId, ObjectRevision>,
    /// The leases whose end has been proposed.
    proposed_ends: HashSet<(InstanceId, LeaseEpoch)>,
}

impl MemberLeaseTracker {
    pub(super) fn new(since: MonotonicTime) -> Self {
        Self {
            since,
            last_heartbeats: HashMap::new(),
            applied: HashMap::new(),
            proposed_ends: HashSet::new(),
        }
    }

    /// Records a heartbeat and the configuration revision applied by its sender.
    pub(super) fn record_heartbeat(
        &mut self,
        now: MonotonicTime,
        instance: &InstanceId,
        applied: ObjectRevision,
    ) {
        self.last_heartbeats.insert(instance.clone(), now);
        self.applied.insert(instance.clone(), applied);
    }

    /// Returns the configuration revision that each member reported last.
    pub(super) fn applied(&self) -> Vec<(InstanceId, ObjectRevision)> {
        self.applied.iter().map(|(instance, revision)| (instance.clone(), *revision)).collect()
    }

    /// Returns the members whose lease has expired, each lease once.
    ///
    /// A new leader grants every member a full lease from the start of its own leadership, because
    /// it does not know which leases its predecessor granted.
    pub(super) fn expired(
        &mut self,
        now: MonotonicTime,
        members: &MemberTable,
        lease: Duration,
    ) -> Vec<(InstanceId, LeaseEpoch)> {
        let expired: Vec<_> = members
            .iter()
            .filter(|member| {
                let last_heartbeat =
                    self.last_heartbeats.get(&member.instance).copied().unwrap_or(self.since);
                now.since(last_heartbeat.max(self.since)) >= lease
            })
            .map(|member| (member.instance.clone(), member.epoch))
            .collect();
        expired.into_iter().filter(|lease| self.proposed_ends.insert(lease.clone())).collect()
    }
}
