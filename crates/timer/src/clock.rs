//! The clocks that supply the current time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use oriolepass_units::MonotonicTime;

/// A source of monotonic time: the system's clock, or a manual clock that a test advances.
#[derive(Debug, Clone)]
pub struct ClockSource(ClockKind);

#[derive(Debug, Clone)]
enum ClockKind {
    System(Instant),
    Manual(Arc<AtomicU64>),
}

impl ClockSource {
    /// Creates a source on the system's monotonic clock, starting at zero.
    pub fn system() -> Self {
        Self(ClockKind::System(Instant::now()))
    }

    /// Creates a manual source, whose time changes only through [`ClockSource::advance`].
    pub fn manual() -> Self {
        Self(ClockKind::Manual(Arc::default()))
    }

    /// Returns the current time.
    pub fn now(&self) -> MonotonicTime {
        match &self.0 {
            ClockKind::System(origin) => MonotonicTime::ZERO + origin.elapsed(),
            ClockKind::Manual(micros) => MonotonicTime(micros.load(Ordering::SeqCst)),
        }
    }

    /// Advances a manual source by `span`.
    ///
    /// # Panics
    ///
    /// Panics on a system source, which cannot be advanced.
    pub fn advance(&self, span: Duration) {
        let ClockKind::Manual(micros) = &self.0 else {
            panic!("only a manual clock can be advanced");
        };
        micros.fetch_add(u64::try_from(span.as_micros()).expect("a short span"), Ordering::SeqCst);
    }
}
