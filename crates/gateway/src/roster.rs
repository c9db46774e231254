//! The roster of the other daemons: the notes in which they report their state, and when each
//! daemon was last heard from.
//!
//! A daemon starts with a few seeds only. It greets them, they answer with the daemons that they
//! know, and it greets those daemons too. Greetings repeat, so the roster recovers by itself after
//! a network partition.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId, LeaderTerm, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::peers::{ProtocolLevel, TrailingField};

/// The interval between two greetings. A daemon counts as silent after three lost greetings.
pub(crate) const GREETING_INTERVAL: Duration = Duration::from_millis(600);

/// The time without a message after which a daemon counts as silent and is not offered to callers.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The time without a message after which a daemon is removed from the roster, unless it is a voter
/// or a seed.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(90);

/// How long a daemon that fell silent without leaving still shares the retry budget. It may be alive on
/// the other side of a partition and use its share, and partitions may last far longer than a daemon
/// stays in the roster.
const BUDGET_MEMORY: Duration = Duration::from_secs(3_600);

/// Whether a daemon accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DaemonPhase {
    /// Does not accept callers, or not at present.
    Unready,
    /// Accepts callers.
    Ready,
    /// Is about to exit.
    Leaving,
}

/// The leader and the voters of the log as one of its replicas reports them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaNote {
    pub(crate) term: LeaderTerm,
    pub(crate) leader: Option<InstanceId>,
    pub(crate) voters: Vec<InstanceId>,
}

/// A daemon's note, in which it reports its own state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DaemonNote {
    pub(crate) instance: InstanceId,
    pub(crate) name: InstanceId,
    /// A random number drawn at the start of the process.
    pub(crate) boot: u64,
    pub(crate) data_centre: DataCentreId,
    pub(crate) callers: SocketAddr,
    pub(crate) phase: DaemonPhase,
    pub(crate) has_disk: bool,
    /// Whether it has an empty disk and may found a new system. Only daemons of earlier versions
    /// read it.
    pub(crate) may_found: bool,
    /// Absent while the daemon knows no system.
    pub(crate) replica: Option<ReplicaNote>,
    /// The number of daemons that it knows.
    pub(crate) known: u32,
    /// Whether it is a hub with tiers enabled.
    pub(crate) is_tiered: bool,
    /// Increases with each change of the fields above.
    pub(crate) edition: u32,
    /// The messages that it understands.
    pub(crate) protocol: TrailingField<ProtocolLevel>,
    /// Whether it reaches no endpoint by itself.
    pub(crate) is_cut_off: TrailingField<bool>,
    /// Whether its replica belongs to a system that has accepted no command yet, as far as it knows.
    pub(crate) is_founding: TrailingField<bool>,
}

/// A leaf as its hub reports it to the other hubs.
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
    pub(crate) last_heard: Option<MonotonicTime>,
    added: MonotonicTime,
}

/// A daemon that was removed from the roster and had not left.
#[derive(Debug)]
struct LostDaemon {
    removed: MonotonicTime,
    has_disk: bool,
}

/// The effect of a daemon's note on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RosterChange {
    /// The note is the first from the daemon, or the first since its restart.
    Met,
    /// The phase or the replica of the daemon has changed.
    Changed,
    /// The daemon is alive, with the same phase and replica.
    Refreshed,
}

/// The other daemons.
#[derive(Debug, Default)]
pub(crate) struct DaemonRoster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    /// The leaves attached to other hubs, by hub.
    attached_leaves: BTreeMap<InstanceId, BTreeMap<InstanceId, LeafNote>>,
    /// The daemons that were removed, for [`BUDGET_MEMORY`].
    lost: BTreeMap<InstanceId, LostDaemon>,
}

impl DaemonRoster {
    /// Adds a daemon that a setting or another daemon named; returns whether it is new.
    pub(crate) fn add(&mut self, now: MonotonicTime, instance: &InstanceId) -> bool {
        if self.entries.contains_key(instance) {
            return false;
        }
        let entry = RosterEntry { note: None, last_heard: None, added: now };
        self.entries.insert(instance.clone(), entry);
        true
    }

    /// Records a daemon's note.
    pub(crate) fn update(&mut self, now: MonotonicTime, note: DaemonNote) -> RosterChange {
        self.add(now, &note.instance);
        self.lost.remove(&note.instance);
        let Some(entry) = self.entries.get_mut(&note.instance) else {
            return RosterChange::Refreshed;
        };
        entry.last_heard = Some(now);
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

    /// Records that a daemon is alive with an unchanged note; returns whether that note is known
    /// here.
    ///
    /// If the note was lost in transit, nothing is recorded: the daemon looks silent until it
    /// sends the whole note again.
    pub(crate) fn record_presence(
        &mut self,
        now: MonotonicTime,
        instance: &InstanceId,
        boot: u64,
        edition: u32,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else { return false };
        let matches = |note: &DaemonNote| note.boot == boot && note.edition == edition;
        let is_known = entry.note.as_ref().is_some_and(matches);
        if is_known {
            entry.last_heard = Some(now);
        }
        is_known
    }

    /// Records that a daemon has exited.
    pub(crate) fn left(&mut self, instance: &InstanceId) {
        self.lost.remove(instance);
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.last_heard = None;
            if let Some(note) = &mut entry.note {
                note.phase = DaemonPhase::Leaving;
            }
        }
    }

    /// Removes and returns the daemons that have been silent for longer than [`EXPIRY_TIMEOUT`],
    /// unless `is_kept`.
    pub(crate) fn expire(
        &mut self,
        now: MonotonicTime,
        is_kept: impl Fn(&InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let silent = |entry: &RosterEntry| {
            now.since(entry.last_heard.unwrap_or(entry.added)) > EXPIRY_TIMEOUT
        };
        let expired: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(instance, entry)| silent(entry) && !is_kept(instance))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &expired {
            self.attached_leaves.remove(instance);
            let note = self.entries.remove(instance).and_then(|entry| entry.note);
            let has_left = note.as_ref().is_some_and(|note| note.phase == DaemonPhase::Leaving);
            if !has_left {
                let has_disk = note.is_some_and(|note| note.has_disk);
                // Others may name it again. It then has no note, and its first removal counts.
                let lost = LostDaemon { removed: now, has_disk };
                self.lost.entry(instance.clone()).or_insert(lost);
            }
        }
        self.lost.retain(|_, lost| now.since(lost.removed) <= BUDGET_MEMORY);
        expired
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

    /// Returns the live daemons: those heard from recently, and those that a live hub reports as
    /// attached.
    pub(crate) fn all_alive(&self, now: MonotonicTime) -> BTreeMap<&InstanceId, LeafNote> {
        let is_alive = |hub: &InstanceId| self.silence(now, hub) <= SILENCE_TIMEOUT;
        let reported = self.attached_leaves.iter().filter(|(hub, _)| is_alive(hub));
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

    /// Returns whether a daemon is known to understand the messages of a level.
    pub(crate) fn understands(&self, instance: &InstanceId, level: ProtocolLevel) -> bool {
        self.protocol_level(instance) >= level
    }

    /// Returns the level of messages that a daemon is known to understand.
    pub(crate) fn protocol_level(&self, instance: &InstanceId) -> ProtocolLevel {
        let note = self.entries.get(instance).and_then(|entry| entry.note.as_ref());
        note.map(|note| note.protocol.0).unwrap_or_default()
    }

    /// Returns all known daemons.
    pub(crate) fn known(&self) -> impl Iterator<Item = &InstanceId> {
        self.entries.keys()
    }

    /// Returns the number of known daemons, silent ones included.
    pub(crate) fn known_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of other daemons that may be alive and use a share of the retry budget, those
    /// that fell silent long ago included.
    pub(crate) fn budget_count(&self) -> usize {
        let is_forgotten = |lost: &&InstanceId| !self.entries.contains_key(*lost);
        self.known_count() + self.lost.keys().filter(is_forgotten).count()
    }

    /// Returns the number of known daemons with a disk that may be alive and use a hub's share of the
    /// retry budget, those that fell silent long ago included.
    pub(crate) fn budget_hub_count(&self) -> usize {
        self.hubs().count() + self.lost.values().filter(|lost| lost.has_disk).count()
    }

    /// Returns the roster entry of a daemon.
    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&RosterEntry> {
        self.entries.get(instance)
    }

    /// Returns the notes of the daemons heard from within [`SILENCE_TIMEOUT`].
    pub(crate) fn alive(&self, now: MonotonicTime) -> impl Iterator<Item = &DaemonNote> {
        self.alive_within(now, SILENCE_TIMEOUT)
    }

    /// Returns the notes of the daemons heard from within `span`.
    pub(crate) fn alive_within(
        &self,
        now: MonotonicTime,
        span: Duration,
    ) -> impl Iterator<Item = &DaemonNote> {
        let is_alive =
            move |entry: &&RosterEntry| entry.last_heard.is_some_and(|at| now.since(at) <= span);
        self.entries.values().filter(is_alive).filter_map(|entry| entry.note.as_ref())
    }

    /// Returns how long a daemon has been silent, or the maximum if it is not known.
    pub(crate) fn silence(&self, now: MonotonicTime, instance: &InstanceId) -> Duration {
        self.entries
            .get(instance)
            .map_or(Duration::MAX, |entry| now.since(entry.last_heard.unwrap_or(entry.added)))
    }

    /// Returns the leader with the highest term among the notes of live replicas.
    pub(crate) fn leader(&self, now: MonotonicTime) -> Option<(LeaderTerm, InstanceId)> {
        self.alive(now)
            .filter_map(|note| note.replica.as_ref())
            .filter_map(|replica| replica.leader.clone().map(|leader| (replica.term, leader)))
            .max_by_key(|(term, _)| *term)
    }

    /// Returns whether a live replica belongs to a system that may have accepted a command.
    ///
    /// Daemons of earlier versions do not report it, so any leader counts there.
    pub(crate) fn knows_founded_system(&self, now: MonotonicTime) -> bool {
        let has_had_leader = |note: &DaemonNote| {
            note.replica.as_ref().is_some_and(|replica| replica.term > LeaderTerm::ZERO)
        };
        self.alive(now).any(|note| has_had_leader(note) && !note.is_founding.0)
    }

    /// Returns whether a live replica belongs to a system that has accepted no command, as far as that
    /// replica knows.
    pub(crate) fn knows_system_without_command(&self, now: MonotonicTime) -> bool {
        self.alive(now).any(|note| note.replica.is_some() && note.is_founding.0)
    }

    /// Returns the voters from the note of the live replica with the highest term.
    pub(crate) fn voters(&self, now: MonotonicTime) -> Vec<InstanceId> {
        self.alive(now)
            .filter_map(|note| note.replica.as_ref())
            .max_by_key(|replica| replica.term)
            .map(|replica| replica.voters.clone())
            .unwrap_or_default()
    }
}
