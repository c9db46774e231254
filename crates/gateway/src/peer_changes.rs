//! Changes of links and of other daemons, told in bounded lines.
//!
//! A few daemons have a line for each change. In a large system a restart or a cut changes
//! hundreds of links at once at every daemon, and nine lines of ten would say so: there a line tells
//! how many changed since the one before, with a few names. Links to daemons that others depend on, the
//! voters and the leader, have lines of their own in any case.

use std::collections::BTreeMap;

use oriolepass_units::InstanceId;

/// From this many daemons on, changes are counted: each one of them changes as often as in a small
/// system, and there are as many lines as a reader can follow.
const COUNTED_FROM: usize = 24;

/// Names in one line.
const NAMED: usize = 5;

/// What happened to a daemon or the link to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PeerChange {
    LinkUp,
    LinkDown,
    Met,
    Leaving,
    Left,
    Forgotten,
}

impl PeerChange {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::LinkUp => "up",
            Self::LinkDown => "down",
            Self::Met => "met",
            Self::Leaving => "leaving",
            Self::Left => "left",
            Self::Forgotten => "forgotten",
        }
    }
}

/// How often one kind of change happened, and to whom first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ChangeCount {
    pub(crate) count: u64,
    pub(crate) names: Vec<InstanceId>,
}

/// The changes that no line has told yet.
#[derive(Debug, Default)]
pub(crate) struct PeerChanges {
    counts: BTreeMap<PeerChange, ChangeCount>,
}

impl PeerChanges {
    /// Returns whether changes are counted among so many daemons.
    pub(crate) fn are_aggregated(known: usize) -> bool {
        known >= COUNTED_FROM
    }

    /// Counts a change.
    pub(crate) fn note(&mut self, change: PeerChange, peer: &InstanceId) {
        let entry = self.counts.entry(change).or_default();
        entry.count += 1;
        if entry.names.len() < NAMED {
            entry.names.push(peer.clone());
        }
    }

    /// Returns what was counted since the last time.
    pub(crate) fn take(&mut self) -> BTreeMap<PeerChange, ChangeCount> {
        std::mem::take(&mut self.counts)
    }
}
