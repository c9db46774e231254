//! How much work of a kind arrives.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// The span over which arrivals are counted before they enter the average.
const WINDOW: Duration = Duration::from_millis(500);

/// The part of the average that one window makes up, as one in so many.
const SMOOTHING: u64 = 8;

/// A moving average of tokens a second.
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

    /// Closes the windows that are over.
    pub(crate) fn tick(&mut self, now: MonotonicTime) {
        let span = now.since(self.window_since);
        if span < WINDOW {
            return;
        }
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1);
        let present = self.in_window.saturating_mul(1_000) / millis;
        self.average = (self.average * (SMOOTHING - 1) + present) / SMOOTHING;
        self.window_since = now;
        self.in_window = 0;
    }

    pub(crate) fn tokens_per_second(&self) -> u64 {
        self.average
    }
}
