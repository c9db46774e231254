//! The process's monotonic clock.

use std::time::{Duration, Instant};

use oriolepass_units::MonotonicTime;

/// Tells the time since the process started. The time of day is used in logs only.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub(crate) fn uptime(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        let micros = self.origin.elapsed().as_micros();
        // 0 stands for "never" in several places.
        MonotonicTime(u64::try_from(micros).unwrap_or(u64::MAX).saturating_add(1_000_000))
    }
}
