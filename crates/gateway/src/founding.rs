//! Determines the first voters of a new system, and how many voters there should be. A voter is a
//! replica that votes in elections and counts towards the majority that commits an entry.
//!
//! Only one system may ever form. The seeds are the only daemons that all daemons know from the
//! start on, so they are the first voters, and the system forms by a majority of them. A second
//! system would need another majority, which shares a seed with the first one. A seed founds only
//! at the first start of the whole system; one that has lost its disk joins as another replica (see
//! `oriolepass-consensus`). So no seed takes part in two systems.
//!
//! The leader then adds voters up to the number that tolerates the losses in the settings. Until
//! there are as many, no document or drain is accepted.

use std::time::Duration;

use oriolepass_consensus::ReplacementPolicy;
use oriolepass_settings::ToleranceSettings;

/// A voter that has been silent for this long is replaced if a spare daemon with a disk asks to
/// join. This is longer than an election and a quick restart, and shorter than the time allowed for
/// a repair.
pub(crate) const VOTER_REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Returns the minimum number of voters that tolerates the losses in the settings.
///
/// The loss of a data centre removes all its voters, as many as each data centre holds when the
/// voters are spread evenly. With three data centres any odd number of voters tolerates the loss of
/// one.
pub(crate) fn min_voter_count(tolerance: &ToleranceSettings) -> usize {
    2 * tolerance.instances.max(tolerance.data_centres) + 1
}

/// Returns the number of voters to reach. There are three even if no loss must be borne, so that
/// one voter can be replaced while the others serve.
pub(crate) fn voter_count(tolerance: &ToleranceSettings) -> usize {
    min_voter_count(tolerance).max(3)
}

/// Returns how the voters are replaced.
pub(crate) fn replacement_policy(tolerance: &ToleranceSettings) -> ReplacementPolicy {
    ReplacementPolicy {
        voter_count: voter_count(tolerance),
        voter_timeout: VOTER_REPLACEMENT_TIMEOUT,
    }
}

/// What a daemon with an empty disk does at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EmptyStart {
    /// It founds the system together with the other seeds.
    Found,
    /// It joins a system that other daemons report.
    Join,
    /// It waits until enough seeds were heard from.
    WaitForSeeds,
    /// It waits until a system was heard of.
    WaitForSystem,
}

impl EmptyStart {
    /// Returns why the replica does not start yet, if it waits.
    pub(crate) fn wait_reason(self) -> Option<&'static str> {
        match self {
            Self::Found | Self::Join => None,
            Self::WaitForSeeds => Some("no majority of the seeds was heard from"),
            Self::WaitForSystem => Some("no daemon has reported a system to join"),
        }
    }
}

/// What a daemon with an empty disk knows about the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartView {
    /// Whether the settings state that the whole system starts for the first time.
    pub(crate) may_found: bool,
    /// Whether this daemon is one of the seeds.
    pub(crate) is_seed: bool,
    /// The number of seeds.
    pub(crate) seeds: usize,
    /// The number of seeds that were heard from, this daemon included.
    pub(crate) heard_seeds: usize,
    /// Whether another daemon knows the voters of a system.
    pub(crate) knows_voters: bool,
    /// Whether another daemon reports a system that may have accepted a command.
    pub(crate) is_founded: bool,
}

impl StartView {
    /// Returns what to do.
    ///
    /// A seed that starts later than the others is the voter that they count on, so it also founds
    /// beside a leader. A system that has accepted a command is joined even by a seed that may
    /// found. If the settings were not changed after the loss of a disk, the seed then does not
    /// stand for a voter that held commands.
    pub(crate) fn decide(&self) -> EmptyStart {
        let founds = self.may_found && self.is_seed;
        match () {
            () if self.knows_voters && (self.is_founded || !founds) => EmptyStart::Join,
            () if !founds => EmptyStart::WaitForSystem,
            () if 2 * self.heard_seeds > self.seeds => EmptyStart::Found,
            () => EmptyStart::WaitForSeeds,
        }
    }
}
