//! Whether the configuration held here can be the one in force.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// How long a daemon serves on without proof that its configuration is current.
///
/// A daemon that a partition cut off cannot learn of changes that the others accept. Serving on
/// would keep an old configuration in force for as long as the partition lasts.
pub(crate) const STALE_AFTER: Duration = Duration::from_secs(4);

/// When the configuration was last known to be current.
#[derive(Debug, Default)]
pub(crate) struct ConfigFreshness {
    confirmed: AtomicU64,
    ever: AtomicBool,
}

impl ConfigFreshness {
    /// Notes that nothing newer was accepted before `at`.
    pub(crate) fn confirm(&self, at: MonotonicTime) {
        self.confirmed.fetch_max(at.0, Ordering::SeqCst);
        self.ever.store(true, Ordering::SeqCst);
    }

    /// Returns whether the configuration was ever current since the start.
    pub(crate) fn was_current(&self) -> bool {
        self.ever.load(Ordering::SeqCst)
    }

    /// Returns whether the configuration may be served from at `now`.
    pub(crate) fn is_current(&self, now: MonotonicTime) -> bool {
        let confirmed = MonotonicTime(self.confirmed.load(Ordering::SeqCst));
        self.was_current() && now.since(confirmed) < STALE_AFTER
    }
}
