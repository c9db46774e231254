//! Chooses which instances should be voters: replaces lost voters and fills missing places.
//!
//! Only an instance whose replica has recently asked to join takes a place. A request shows that
//! the replica runs, that its disk works, that it knows that it is not a voter, and that its
//! messages reach the leader. An instance that is alive without a working replica would hold the
//! place for good.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId, MonotonicTime};

use crate::node::{ConsensusNode, RoleState};
use crate::replica::ReplicaId;

/// An instance with a disk that may run a voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiskInstance {
    /// The instance's data centre.
    pub data_centre: DataCentreId,
    /// Whether the instance is about to exit.
    pub is_leaving: bool,
}

/// Determines when voters are replaced, and how many there should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplacementPolicy {
    /// The number of voters to reach if there are enough instances with a disk.
    pub voter_count: usize,
    /// The silence after which a voter or a replica that joins counts as lost.
    pub voter_timeout: Duration,
}

/// The state of an instance that should be a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterState {
    /// Its replica is a voter, and its disk confirms what the leader sends.
    Live,
    /// Its replica receives the log and is not a voter yet.
    CatchingUp,
    /// Its replica has asked to join.
    Joining,
    /// None of its replicas was heard from, or their disks confirmed nothing, within the time-out.
    Lost,
}

impl VoterState {
    /// Returns the name of the state in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::CatchingUp => "catching up",
            Self::Joining => "asks to join",
            Self::Lost => "silent",
        }
    }
}

impl ConsensusNode {
    /// Returns the changed set of wanted voters if spare instances can replace lost voters or fill
    /// missing places. Returns `None` if this replica does not lead or nothing should change.
    pub fn voters_with_replacements(
        &self,
        now: MonotonicTime,
        instances: &BTreeMap<InstanceId, DiskInstance>,
        policy: ReplacementPolicy,
    ) -> Option<BTreeSet<InstanceId>> {
        let RoleState::Leader(_) = &self.role else { return None };
        let wanted = &self.voters().wanted;
        let is_leaving =
            |instance: &InstanceId| instances.get(instance).is_some_and(|i| i.is_leaving);
        let is_lost = |instance: &&InstanceId| {
            is_leaving(instance)
                || self.voter_state(now, instance, policy.voter_timeout) == VoterState::Lost
        };
        let mut spares: BTreeMap<&InstanceId, &DataCentreId> = instances
            .iter()
            .filter(|(instance, _)| !wanted.contains(*instance) && !is_leaving(instance))
            .filter(|(instance, _)| self.asks_to_join(now, instance))
            .map(|(instance, disk)| (instance, &disk.data_centre))
            .collect();
        let mut next = wanted.clone();
        for lost in wanted.iter().filter(is_lost) {
            next.remove(lost);
            let replacement = take_spare(&mut spares, &next, instances);
            next.insert(replacement.unwrap_or_else(|| lost.clone()));
        }
        // Voters are added in pairs, which keeps their number odd.
        let lacking = policy.voter_count.saturating_sub(next.len());
        let added = lacking - lacking % 2;
        if spares.len() >= added {
            for _ in 0..added {
                next.extend(take_spare(&mut spares, &next, instances));
            }
        }
        (next != *wanted).then_some(next)
    }

    /// Returns the state of an instance that should be a voter, as this leader knows it.
    pub fn voter_state(
        &self,
        now: MonotonicTime,
        instance: &InstanceId,
        timeout: Duration,
    ) -> VoterState {
        let RoleState::Leader(leader) = &self.role else { return VoterState::Lost };
        if *instance == self.id.instance {
            return VoterState::Live;
        }
        // A new leader has not heard from anyone yet.
        let is_recent = |at: Option<MonotonicTime>| {
            now.since(at.map_or(leader.elected_at, |at| at.max(leader.elected_at))) < timeout
        };
        let set = self.voters();
        let is_live = |replica: &ReplicaId| {
            replica.instance == *instance
                && leader.progress.get(replica).is_some_and(|p| is_recent(p.last_synced))
        };
        let asked_at = leader.join_requests.get(instance).map(|(_, asked_at)| *asked_at);
        if set.voters.iter().any(is_live) {
            VoterState::Live
        } else if set.learners.iter().any(is_live) {
            VoterState::CatchingUp
        } else if is_recent(asked_at) {
            VoterState::Joining
        } else {
            VoterState::Lost
        }
    }

    /// Returns whether a command may be proposed to this leader.
    ///
    /// The first command waits until there are `min_voters` voters, so that it is never held by
    /// fewer replicas than its acknowledgement promises. A later change of the voters, which takes
    /// out a voter before it adds another, does not stop commands.
    pub fn may_accept_commands(&self, min_voters: usize) -> bool {
        self.voters().voters.len() >= min_voters || self.holds_command()
    }

    /// Returns whether this replica's log holds a command, or a snapshot of earlier ones.
    pub fn holds_command(&self) -> bool {
        self.snapshot.is_some() || self.log.holds_command()
    }

    /// Returns whether a replica of an instance has recently asked to join.
    fn asks_to_join(&self, now: MonotonicTime, instance: &InstanceId) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let request = leader.join_requests.get(instance);
        request.is_some_and(|(_, asked_at)| self.is_recent_request(now, *asked_at))
    }

    /// Returns whether a replica that asked to join at `asked_at` still counts as asking. Replicas
    /// repeat their requests.
    pub(crate) fn is_recent_request(&self, now: MonotonicTime, asked_at: MonotonicTime) -> bool {
        now.since(asked_at) < self.config.election_timeout * 3
    }
}

/// Takes the spare whose data centre has the fewest wanted voters, so that the loss of a data
/// centre takes as few voters as possible.
fn take_spare(
    spares: &mut BTreeMap<&InstanceId, &DataCentreId>,
    wanted: &BTreeSet<InstanceId>,
    instances: &BTreeMap<InstanceId, DiskInstance>,
) -> Option<InstanceId> {
    let voters_in = |centre: &DataCentreId| {
        let centres = wanted.iter().filter_map(|voter| instances.get(voter));
        centres.filter(|disk| disk.data_centre == *centre).count()
    };
    let (spare, _) = spares.iter().min_by_key(|(_, centre)| voters_in(centre))?;
    let spare = (*spare).clone();
    spares.remove(&spare);
    Some(spare)
}
