//! The leader's account of who is alive.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oriolepass_config::MemberTable;
use oriolepass_units::{InstanceId, LeaseEpoch, MonotonicTime, ObjectRevision};

/// Signs of life since this daemon became the leader.
#[derive(Debug)]
pub(super) struct MemberWatch {
    since: MonotonicTime,
    heard: HashMap<InstanceId, MonotonicTime>,
    applied: HashMap<InstanceId, ObjectRevision>,
    /// Leases whose end has been proposed.
    ended: HashSet<(InstanceId, LeaseEpoch)>,
}

impl MemberWatch {
    pub(super) fn new(since: MonotonicTime) -> Self {
        Self { since, heard: HashMap::new(), applied: HashMap::new(), ended: HashSet::new() }
    }

    pub(super) fn heard(
        &mut self,
        now: MonotonicTime,
        instance: &InstanceId,
        applied: ObjectRevision,
    ) {
        self.heard.insert(instance.clone(), now);
        self.applied.insert(instance.clone(), applied);
    }

    pub(super) fn applied(&self) -> Vec<(InstanceId, ObjectRevision)> {
        self.applied.iter().map(|(instance, revision)| (instance.clone(), *revision)).collect()
    }

    /// Returns the members whose lease has ended, each once. A new leader gives everyone a whole lease
    /// from its own beginning: it does not know what its predecessor promised.
    pub(super) fn expired(
        &mut self,
        now: MonotonicTime,
        members: &MemberTable,
        lease: Duration,
    ) -> Vec<(InstanceId, LeaseEpoch)> {
        let ended: Vec<_> = members
            .iter()
            .filter(|member| {
                let heard = self.heard.get(&member.instance).copied().unwrap_or(self.since);
                now.since(heard.max(self.since)) >= lease
            })
            .map(|member| (member.instance.clone(), member.epoch))
            .collect();
        ended.into_iter().filter(|lease| self.ended.insert(lease.clone())).collect()
    }
}
