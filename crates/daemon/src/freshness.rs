//! Tracks whether the configuration held by this daemon can be the one in force.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// The time that a daemon continues to serve without proof that its configuration is current.
///
/// A partitioned daemon does not receive changes that the others accept. Without this limit, it
/// would keep an old configuration in force for as long as the partition lasts.
pub(crate) const FRESHNESS_TIMEOUT: Duration = Duration::from_secs(4);

/// The time at which the configuration was last confirmed to be current.
#[derive(Debug, Default)]
pub(crate) struct ConfigFreshness {
    confirmed: AtomicU64,
    was_confirmed: AtomicBool,
}

impl ConfigFreshness {
    /// Records that no newer configuration was accepted before `at`.
    pub(crate) fn confirm(&self, at: MonotonicTime) {
        self.confirmed.fetch_max(at.0, Ordering::SeqCst);
        self.was_confirmed.store(true, Ordering::SeqCst);
    }

    /// Returns whether the configuration was confirmed at least once since the start.
    pub(crate) fn was_current(&self) -> bool {
        self.was_confirmed.load(Ordering::SeqCst)
    }

    /// Returns whether the configuration is recent enough to serve requests with it at `now`.
    pub(crate) fn is_current(&self, now: MonotonicTime) -> bool {
        let confirmed = MonotonicTime(self.confirmed.load(Ordering::SeqCst));
        self.was_current() && now.since(confirmed) < FRESHNESS_TIMEOUT
    }
}
