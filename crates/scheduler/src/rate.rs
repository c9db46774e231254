//! Measures the arrival rate of work.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// Minimum span over which arrivals are counted before they enter the average.
const AVERAGING_WINDOW: Duration = Duration::from_millis(500);

/// Divisor of the moving average: each window has the weight `1 / SMOOTHING_DIVISOR`.
const SMOOTHING_DIVISOR: u64 = 8;

/// An exponential moving average of arriving tokens per second.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRate {
    window_since: MonotonicTime,
    in_window: u64,
    average: u64,
}

impl ArrivalRate {
    pub(crate) fn add(&mut self, tokens: u64) {
        self.in_window += tokens;
    }

    /// Adds the current window to the average once the window is over.
    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        let span = now.since(self.window_since);
        if span < AVERAGING_WINDOW {
            return;
        }
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1);
        let present = self.in_window.saturating_mul(1_000) / millis;
        self.average = (self.average * (SMOOTHING_DIVISOR - 1) + present) / SMOOTHING_DIVISOR;
        self.window_since = now;
        self.in_window = 0;
    }

    pub(crate) fn tokens_per_second(&self) -> u64 {
        self.average
    }
}
