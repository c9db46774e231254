//! The process clock, which includes the time during which the machine was suspended.
//!
//! A machine may be suspended for seconds. The steady clock, which timers use, stops meanwhile, but
//! other machines continue: a proof that was one second old may be ten seconds old after the
//! suspension. Everything that other machines rely on (proofs, leases, heartbeats, deadlines)
//! therefore uses the clock that includes suspensions. The time of day is used in log lines only.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use oriolepass_units::MonotonicTime;

/// The shortest suspension that is reported. Shorter suspensions affect nothing that other machines
/// rely on, and the delay between the readings of the two clocks is shorter than this too.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// The readings of both clocks, each relative to its own origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClockReading {
    pub(crate) steady: Duration,
    pub(crate) with_suspensions: Duration,
}

/// Measures the time since the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    read: fn() -> ClockReading,
    origin: ClockReading,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self::start_with(read_clocks)
    }

    /// Starts a clock on readings from `read`; tests pass their own.
    pub(crate) fn start_with(read: fn() -> ClockReading) -> Self {
        Self { read, origin: read() }
    }

    /// Returns the time since the process started, including suspensions.
    pub(crate) fn uptime(&self) -> Duration {
        (self.read)().with_suspensions.saturating_sub(self.origin.with_suspensions)
    }

    /// Returns the current time, including suspensions. The value is never zero.
    pub(crate) fn now(&self) -> MonotonicTime {
        let micros = self.uptime().as_micros();
        // Several callers use 0 for "never".
        MonotonicTime(u64::try_from(micros).unwrap_or(u64::MAX).saturating_add(1_000_000))
    }

    /// Returns how long the machine has been suspended since the process started, accurate to some
    /// microseconds.
    pub(crate) fn suspended(&self) -> Duration {
        let ClockReading { steady, with_suspensions } = (self.read)();
        let steady = steady.saturating_sub(self.origin.steady);
        let whole = with_suspensions.saturating_sub(self.origin.with_suspensions);
        whole.saturating_sub(steady)
    }

    /// Returns how long the machine has been suspended beyond the `recorded` time, if that is at
    /// least [`MIN_SUSPENSION`].
    pub(crate) fn newly_suspended(&self, recorded: Duration) -> Option<Duration> {
        let more = self.suspended().saturating_sub(recorded);
        (more >= MIN_SUSPENSION).then_some(more)
    }
}

fn read_clocks() -> ClockReading {
    thread_local! {
        static STEADY_ORIGIN: Instant = Instant::now();
    }
    let steady = STEADY_ORIGIN.with(Instant::elapsed);
    // All supported Linux versions have `CLOCK_BOOTTIME`. Without it, suspensions are not detected.
    let with_suspensions = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(steady, Duration::from);
    ClockReading { steady, with_suspensions }
}
