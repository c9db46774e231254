//! Measures by how much the event loop is late.
//!
//! A loop that gets little processor time, or whose tasks take long, reads what has arrived late: a
//! request's time is counted from the moment at which its head is read.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::events::EventKind;
use crate::gateway::Gateway;

/// The interval at which the delay is measured. Each measurement wakes the process.
pub(crate) const MEASURE_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest delay that is logged: half of what an endpoint's time may be too long by.
const MIN_REPORTED_DELAY: Duration = Duration::from_millis(250);

/// The minimum interval between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The time for which a delay counts as recent.
const RECENT_SPAN: Duration = Duration::from_secs(2);

/// The delays of the event loop in the recent past.
#[derive(Debug, Default)]
pub(crate) struct RecentDelays {
    /// When the running measurement is due.
    due: Cell<Option<Instant>>,
    /// The longest recent delay, and when it was measured.
    longest: Cell<Option<(Instant, Duration)>>,
}

impl RecentDelays {
    /// Records that a measurement is due at a time.
    pub(crate) fn begin(&self, due: Instant) {
        self.due.set(Some(due));
    }

    /// Records the delay of the measurement that was due.
    pub(crate) fn record(&self, now: Instant, delay: Duration) {
        self.due.set(None);
        if self.recorded(now).is_none_or(|longest| delay >= longest) {
            self.longest.set(Some((now, delay)));
        }
    }

    fn recorded(&self, now: Instant) -> Option<Duration> {
        let recent = self.longest.get().filter(|(at, _)| now - *at < RECENT_SPAN);
        recent.map(|(_, delay)| delay)
    }

    /// Returns the longest recent delay, that of a measurement that is overdue included.
    pub(crate) fn longest(&self, now: Instant) -> Duration {
        let overdue =
            self.due.get().map_or(Duration::ZERO, |due| now.saturating_duration_since(due));
        self.recorded(now).unwrap_or_default().max(overdue)
    }
}

/// Limits the log lines on a late event loop.
#[derive(Debug, Default)]
pub(crate) struct DelayReporter {
    reported: Option<Instant>,
    /// The longest delay and the number of delays that were not reported yet.
    longest: Duration,
    count: u32,
}

impl DelayReporter {
    /// Records a delay. Returns the longest delay and the number of delays since the last report, if a
    /// report is due.
    pub(crate) fn record(&mut self, now: Instant, delay: Duration) -> Option<(Duration, u32)> {
        if delay >= MIN_REPORTED_DELAY {
            self.longest = self.longest.max(delay);
            self.count += 1;
        }
        let is_due = self.reported.is_none_or(|at| now - at >= REPORT_INTERVAL);
        if self.count == 0 || !is_due {
            return None;
        }
        self.reported = Some(now);
        Some((std::mem::take(&mut self.longest), std::mem::take(&mut self.count)))
    }
}

impl Gateway {
    /// Returns by how much the event loop was late at most in the last seconds.
    pub(crate) fn recent_loop_delay(&self) -> Duration {
        self.loop_delays.longest(Instant::now())
    }

    /// Returns how long before now something that is read now may have arrived. What an endpoint sent
    /// before it crashed must not count as sent when a loop that was late reads it.
    pub(crate) fn max_reading_delay(&self) -> Duration {
        let delay = self.recent_loop_delay();
        // The loop may have stopped at any time since the measurement began.
        if delay < MIN_REPORTED_DELAY { delay } else { delay + MEASURE_INTERVAL }
    }

    /// Measures the delay of the event loop until the process stops.
    pub(crate) async fn measure_loop_delay(self: Rc<Self>) {
        let mut reporter = DelayReporter::default();
        loop {
            let due = Instant::now() + MEASURE_INTERVAL;
            self.loop_delays.begin(due);
            sleep_until(due).await;
            let now = Instant::now();
            let delay = now - due;
            self.loop_delays.record(now, delay);
            self.metrics.loop_delay.observe(delay.as_secs_f64());
            if let Some((longest, count)) = reporter.record(now, delay) {
                self.line(EventKind::LateLoop)
                    .millis("late_ms", longest)
                    .number("times", count)
                    .number("active", self.active_requests.get())
                    .text("outcome", "requests were read late");
            }
        }
    }
}
