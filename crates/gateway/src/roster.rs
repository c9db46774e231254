//! The other daemons: who they are, what they say of themselves, when they were last heard.
//!
//! A daemon starts with nothing but a few seeds. It greets them, they tell whom they know, and
//! it greets those in turn. Greetings repeat, so that the roster heals by itself after a cut.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId, LeaderTerm, MonotonicTime};
use serde::{Deserialize, Serialize};

/// Between two greetings. Three may be lost before a daemon counts as silent.
pub(crate) const GREETING_INTERVAL: Duration = Duration::from_millis(600);

/// A daemon that has not been heard for this long is not named to callers.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// A daemon that has not been heard for this long is forgotten, unless it votes.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(90);

/// Whether a daemon takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DaemonPhase {
    /// It does not yet, or not for now.
    Unready,
    /// It does.
    Ready,
    /// It is about to end.
    Leaving,
}

/// What a replica of the log says of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaNote {
    pub(crate) term: LeaderTerm,
    pub(crate) leader: Option<InstanceId>,
    pub(crate) voters: Vec<InstanceId>,
}

/// What a daemon says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DaemonNote {
    pub(crate) instance: InstanceId,
    pub(crate) name: InstanceId,
    /// Drawn at the start of the process.
    pub(crate) boot: u64,
    pub(crate) data_centre: DataCentreId,
    pub(crate) callers: SocketAddr,
    pub(crate) phase: DaemonPhase,
    pub(crate) has_disk: bool,
    /// Whether it waits with an empty disk for a new system to be founded.
    pub(crate) may_found: bool,
    /// Absent while it knows of no system.
    pub(crate) replica: Option<ReplicaNote>,
    /// How many daemons it knows.
    pub(crate) known: u32,
    /// Whether it is a hub with tiers enabled.
    pub(crate) is_tiered: bool,
    /// Grows with each change of what stands above.
    pub(crate) edition: u32,
}

/// A leaf as its hub describes it to the other hubs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeafNote {
    pub(crate) instance: InstanceId,
    pub(crate) boot: u64,
    pub(crate) data_centre: DataCentreId,
    pub(crate) callers: SocketAddr,
    pub(crate) is_ready: bool,
}

impl LeafNote {
    /// Creates a leaf note from a daemon's own note.
    pub(crate) fn of(note: &DaemonNote) -> Self {
        Self {
            instance: note.instance.clone(),
            boot: note.boot,
            data_centre: note.data_centre.clone(),
            callers: note.callers,
            is_ready: note.phase == DaemonPhase::Ready,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct RosterEntry {
    pub(crate) note: Option<DaemonNote>,
    pub(crate) heard: Option<MonotonicTime>,
    added: MonotonicTime,
}

/// What a greeting changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RosterChange {
    /// The daemon had not been heard before, or has started again.
    Met,
    /// It says something new of itself.
    Changed,
    /// It is alive.
    Refreshed,
}

/// The other daemons.
#[derive(Debug, Default)]
pub(crate) struct DaemonRoster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    /// The leaves attached to other hubs, by hub.
    attached_leaves: BTreeMap<InstanceId, BTreeMap<InstanceId, LeafNote>>,
}

impl DaemonRoster {
    /// Adds a daemon that somebody named; returns whether it is new.
    pub(crate) fn add(&mut self, now: MonotonicTime, instance: &InstanceId) -> bool {
        if self.entries.contains_key(instance) {
            return false;
        }
        let entry = RosterEntry { note: None, heard: None, added: now };
        self.entries.insert(instance.clone(), entry);
        true
    }

    /// Takes in what a daemon says of itself.
    pub(crate) fn update(&mut self, now: MonotonicTime, note: DaemonNote) -> RosterChange {
        self.add(now, &note.instance);
        let Some(entry) = self.entries.get_mut(&note.instance) else {
            return RosterChange::Refreshed;
        };
        entry.heard = Some(now);
        let change = match &entry.note {
            Some(before) if before.boot != note.boot => RosterChange::Met,
            Some(before) if before.phase != note.phase || before.replica != note.replica => {
                RosterChange::Changed
            }
            Some(_) => RosterChange::Refreshed,
            None => RosterChange::Met,
        };
        entry.note = Some(note);
        change
    }

    /// Notes that a daemon is alive and says what it said before; returns whether that is known
    /// here. News that was lost on its way does not count: the daemon then looks silent until it
    /// says everything again.
    pub(crate) fn record_presence(
        &mut self,
        now: MonotonicTime,
        instance: &InstanceId,
        boot: u64,
        edition: u32,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else { return false };
        let said = |note: &DaemonNote| note.boot == boot && note.edition == edition;
        let is_known = entry.note.as_ref().is_some_and(said);
        if is_known {
            entry.heard = Some(now);
        }
        is_known
    }

    /// Notes that a daemon has ended.
    pub(crate) fn left(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.heard = None;
            if let Some(note) = &mut entry.note {
                note.phase = DaemonPhase::Leaving;
            }
        }
    }

    /// Forgets daemons that have been silent for long, unless `is_kept`.
    pub(crate) fn expire(
        &mut self,
        now: MonotonicTime,
        is_kept: impl Fn(&InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let silent =
            |entry: &RosterEntry| now.since(entry.heard.unwrap_or(entry.added)) > FORGOTTEN_AFTER;
        let gone: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(instance, entry)| silent(entry) && !is_kept(instance))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &gone {
            self.entries.remove(instance);
            self.attached_leaves.remove(instance);
        }
        gone
    }

    /// Updates the leaves attached to another hub; with `is_all`, replaces them.
    pub(crate) fn update_attached_leaves(
        &mut self,
        hub: &InstanceId,
        is_all: bool,
        leaves: Vec<LeafNote>,
        detached: &[InstanceId],
    ) {
        let attached = self.attached_leaves.entry(hub.clone()).or_default();
        if is_all {
            attached.clear();
        }
        attached.retain(|leaf, _| !detached.contains(leaf));
        attached.extend(leaves.into_iter().map(|leaf| (leaf.instance.clone(), leaf)));
    }

    /// Returns the daemons that this one hears, or that a hub heard here reports as attached.
    pub(crate) fn all_alive(&self, now: MonotonicTime) -> BTreeMap<&InstanceId, LeafNote> {
        let is_heard = |hub: &InstanceId| self.silence(now, hub) <= SILENCE_TIMEOUT;
        let reported = self.attached_leaves.iter().filter(|(hub, _)| is_heard(hub));
        let mut alive: BTreeMap<&InstanceId, LeafNote> = reported
            .flat_map(|(_, leaves)| leaves.iter().map(|(leaf, note)| (leaf, note.clone())))
            .collect();
        // A daemon's own note takes precedence over a hub's report.
        let direct = self.alive(now).map(|note| (&note.instance, LeafNote::of(note)));
        alive.extend(direct);
        alive
    }

    /// Returns the known daemons with a disk.
    pub(crate) fn hubs(&self) -> impl Iterator<Item = &DaemonNote> {
        self.entries.values().filter_map(|entry| entry.note.as_ref()).filter(|note| note.has_disk)
    }

    /// Returns the data centre of a daemon known here or reported by a hub.
    pub(crate) fn data_centre_of(&self, instance: &InstanceId) -> Option<DataCentreId> {
        let note = self.entries.get(instance).and_then(|entry| entry.note.as_ref());
        let reported = || self.attached_leaves.values().find_map(|leaves| leaves.get(instance));
        note.map(|note| note.data_centre.clone()).or_else(|| Some(reported()?.data_centre.clone()))
    }

    /// Returns the boot numbers of the live daemons.
    pub(crate) fn alive_boots(&self, now: MonotonicTime) -> BTreeSet<u64> {
        self.all_alive(now).values().map(|note| note.boot).collect()
    }

    /// Returns whether a daemon is known to have a disk.
    pub(crate) fn is_hub(&self, instance: &InstanceId) -> bool {
        let note = self.entries.get(instance).and_then(|entry| entry.note.as_ref());
        note.is_some_and(|note| note.has_disk)
    }

    /// Returns everyone known.
    pub(crate) fn known(&self) -> impl Iterator<Item = &InstanceId> {
        self.entries.keys()
    }

    /// Returns how many are known.
    pub(crate) fn known_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns a daemon.
    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&RosterEntry> {
        self.entries.get(instance)
    }

    /// Returns what those heard lately say of themselves.
    pub(crate) fn alive(&self, now: MonotonicTime) -> impl Iterator<Item = &DaemonNote> {
        self.alive_within(now, SILENCE_TIMEOUT)
    }

    /// Returns what those heard within a span say of themselves.
    pub(crate) fn alive_within(
        &self,
        now: MonotonicTime,
        span: Duration,
    ) -> impl Iterator<Item = &DaemonNote> {
        let lately =
            move |entry: &&RosterEntry| entry.heard.is_some_and(|at| now.since(at) <= span);
        self.entries.values().filter(lately).filter_map(|entry| entry.note.as_ref())
    }

    /// Returns how long a daemon has been silent.
    pub(crate) fn silence(&self, now: MonotonicTime, instance: &InstanceId) -> Duration {
        self.entries
            .get(instance)
            .map_or(Duration::MAX, |entry| now.since(entry.heard.unwrap_or(entry.added)))
    }

    /// Returns the leader that the replicas heard lately believe in, by the highest term.
    pub(crate) fn leader(&self, now: MonotonicTime) -> Option<(LeaderTerm, InstanceId)> {
        self.alive(now)
            .filter_map(|note| note.replica.as_ref())
            .filter_map(|replica| replica.leader.clone().map(|leader| (replica.term, leader)))
            .max_by_key(|(term, _)| *term)
    }

    /// Returns the voters that the replicas heard lately know of, by the highest term.
    pub(crate) fn voters(&self, now: MonotonicTime) -> Vec<InstanceId> {
        self.alive(now)
            .filter_map(|note| note.replica.as_ref())
            .max_by_key(|replica| replica.term)
            .map(|replica| replica.voters.clone())
            .unwrap_or_default()
    }
}
