//! Measures how long a replica has waited for others, without the time for which its own event loop
//! was late.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// A clock that counts only the time in which this replica could send and receive.
///
/// A replica whose event loop is late sends no heartbeat and reads no message meanwhile, so that
/// time says nothing about the others. The time between two ticks therefore counts only up to a
/// limit, so that several ticks pass, and waiting messages are read, before a silence is judged.
///
/// Leases and votes must not use this clock: other replicas rely on time that passes for them.
#[derive(Debug)]
pub(crate) struct AttendedClock {
    max_interval: Duration,
    last_tick: MonotonicTime,
    /// The attended time at the last tick.
    at_last_tick: MonotonicTime,
}

impl AttendedClock {
    /// Creates a clock that shows `now`.
    pub(crate) fn new(max_interval: Duration, now: MonotonicTime) -> Self {
        Self { max_interval, last_tick: now, at_last_tick: now }
    }

    /// Records that the replica advances its time.
    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        self.at_last_tick = self.at(now);
        self.last_tick = now;
    }

    /// Returns the attended time at a moment since the last tick.
    pub(crate) fn at(&self, now: MonotonicTime) -> MonotonicTime {
        self.at_last_tick + now.since(self.last_tick).min(self.max_interval)
    }
}
