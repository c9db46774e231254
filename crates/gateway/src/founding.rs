//! Who votes: the first voters of a new system, and the successors of lost ones.
//!
//! Exactly one system may ever form. A fresh replica that may found one waits until the daemons
//! have met; then the first of them by name chooses the first voters and the others follow. That
//! choice only has to be likely to be common. That no two systems form is safe without it: a
//! replica keeps its choice on its disk before it names it, and a system forms only when *all*
//! its first voters have named the same set (see `oriolepass-consensus`).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_settings::ToleranceSettings;
use oriolepass_units::{DataCentreId, InstanceId, MonotonicTime};

/// The daemons of a new system start within some 0.3 s of each other; this leaves a slow one
/// time to greet the seeds.
const SURVEY_AT_LEAST: Duration = Duration::from_millis(1_500);

/// The candidates must have been the same for this long.
const SETTLED_FOR: Duration = Duration::from_millis(700);

/// After this long the system is founded with fewer voters than the tolerance asks for.
const SURVEY_AT_MOST: Duration = Duration::from_secs(6);

/// A voter that has been silent for this long is replaced where a spare disk is at hand. Longer
/// than an election and a quick restart, shorter than the time allowed for a repair.
const REPLACED_AFTER: Duration = Duration::from_millis(1_800);

/// Returns how many voters bear the losses asked for.
///
/// Losing a data centre takes all voters there, so each counts as many as stand in one when they
/// are spread evenly; three data centres bear the loss of one with any odd number.
pub(crate) fn voter_count(tolerance: &ToleranceSettings) -> usize {
    2 * tolerance.instances.max(tolerance.data_centres).max(1) + 1
}

/// Looks out for the other founders of a new system.
#[derive(Debug)]
pub(crate) struct FoundingSurvey {
    started: MonotonicTime,
    seen: BTreeMap<InstanceId, DataCentreId>,
    changed: MonotonicTime,
}

impl FoundingSurvey {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { started: now, seen: BTreeMap::new(), changed: now }
    }

    /// Takes in the daemons that may found a system, this one included; returns the first voters
    /// once it is this daemon's turn to choose them.
    pub(crate) fn choose(
        &mut self,
        now: MonotonicTime,
        own: &InstanceId,
        candidates: BTreeMap<InstanceId, DataCentreId>,
        tolerance: &ToleranceSettings,
    ) -> Option<Vec<InstanceId>> {
        if self.seen != candidates {
            self.seen = candidates;
            self.changed = now;
        }
        let wanted = voter_count(tolerance);
        let enough = self.seen.len() >= wanted;
        let waited = now.since(self.started);
        let is_ripe = if enough { waited >= SURVEY_AT_LEAST } else { waited >= SURVEY_AT_MOST };
        let settled = now.since(self.changed) >= SETTLED_FOR;
        let is_first = self.seen.keys().next() == Some(own);
        (is_ripe && settled && is_first).then(|| spread(&self.seen, wanted))
    }
}

/// Chooses an odd number of candidates, spread over the data centres.
fn spread(candidates: &BTreeMap<InstanceId, DataCentreId>, wanted: usize) -> Vec<InstanceId> {
    let mut by_centre: BTreeMap<&DataCentreId, Vec<&InstanceId>> = BTreeMap::new();
    for (instance, centre) in candidates {
        by_centre.entry(centre).or_default().push(instance);
    }
    let deepest = by_centre.values().map(Vec::len).max().unwrap_or(0);
    let in_turn: Vec<InstanceId> = (0..deepest)
        .flat_map(|row| by_centre.values().filter_map(move |list| list.get(row)))
        .map(|instance| (*instance).clone())
        .collect();
    let odd = in_turn.len() - usize::from(in_turn.len().is_multiple_of(2));
    in_turn.into_iter().take(wanted.min(odd)).collect()
}

/// What the leader knows of a daemon with a disk.
#[derive(Debug, Clone)]
pub(crate) struct DiskDaemon {
    pub(crate) data_centre: DataCentreId,
    pub(crate) silence: Duration,
    pub(crate) is_leaving: bool,
}

/// Returns the voters to want instead, where some are lost and spare disks are at hand.
pub(crate) fn replaced_voters(
    wanted: &BTreeSet<InstanceId>,
    disks: &BTreeMap<InstanceId, DiskDaemon>,
    tolerance: &ToleranceSettings,
) -> Option<BTreeSet<InstanceId>> {
    let is_sound = |disk: &DiskDaemon| disk.silence < REPLACED_AFTER && !disk.is_leaving;
    let lost = |instance: &&InstanceId| !disks.get(*instance).is_some_and(is_sound);
    let mut spares: Vec<(&InstanceId, &DiskDaemon)> = disks
        .iter()
        .filter(|(instance, disk)| !wanted.contains(*instance) && is_sound(disk))
        .collect();
    let mut next = wanted.clone();
    for loser in wanted.iter().filter(lost) {
        let centre = disks.get(loser).map(|disk| &disk.data_centre);
        let near = spares.iter().position(|(_, disk)| Some(&disk.data_centre) == centre);
        let at = near.unwrap_or(0);
        if at < spares.len() {
            next.remove(loser);
            next.insert(spares.remove(at).0.clone());
        }
    }
    let lacking = voter_count(tolerance).saturating_sub(next.len());
    // Two at a time keep the number odd.
    let added = spares.iter().take(lacking - lacking % 2).map(|(instance, _)| (*instance).clone());
    if added.len() == lacking - lacking % 2 {
        next.extend(added);
    }
    (next != *wanted).then_some(next)
}
