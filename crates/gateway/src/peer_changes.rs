//! Aggregation of log lines about changes of links and of other daemons.
//!
//! A small system logs each change on a line of its own. In a large system, a restart or a network
//! partition changes hundreds of links at once on every daemon, and such lines would be nine tenths
//! of the log. There, one line reports how many changes there were since the last such line, with a
//! few names. Changes of daemons that others depend on (the voters and the leader) always have
//! lines of their own.

use std::collections::BTreeMap;

use oriolepass_units::InstanceId;

/// The minimum number of known daemons for the aggregation of changes. Each daemon changes as often
/// as in a small system, so smaller systems log few enough lines for a reader to follow.
const MIN_AGGREGATED_DAEMONS: usize = 24;

/// The maximum number of names in one line.
const MAX_LISTED_PEERS: usize = 5;

/// A change of a daemon or of the link to it.
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

/// The number of changes of one kind, and the first daemons that they concern.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ChangeCount {
    pub(crate) count: u64,
    pub(crate) names: Vec<InstanceId>,
}

/// The changes that are not logged yet.
#[derive(Debug, Default)]
pub(crate) struct PeerChanges {
    counts: BTreeMap<PeerChange, ChangeCount>,
}

impl PeerChanges {
    /// Returns whether changes are aggregated with this number of known daemons.
    pub(crate) fn are_aggregated(known: usize) -> bool {
        known >= MIN_AGGREGATED_DAEMONS
    }

    /// Counts a change.
    pub(crate) fn record(&mut self, change: PeerChange, peer: &InstanceId) {
        let entry = self.counts.entry(change).or_default();
        entry.count += 1;
        if entry.names.len() < MAX_LISTED_PEERS {
            entry.names.push(peer.clone());
        }
    }

    /// Returns the changes counted since the last call.
    pub(crate) fn take(&mut self) -> BTreeMap<PeerChange, ChangeCount> {
        std::mem::take(&mut self.counts)
    }
}
