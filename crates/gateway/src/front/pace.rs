//! Measures the pace at which an engine writes an answer.

use std::collections::VecDeque;
use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// Number of the newest measurements that are judged together, without the longest: reading a long
/// prompt can delay a single event.
const JUDGED_PAUSES: usize = 4;

/// Ratio of the pauses to the expected ones from which they are reported. In a surge, the passes of
/// engines of published speed are twice as long as expected, because they also read later prompts.
const REPORTED_RATIO: f64 = 2.5;

/// Interval between reports of one answer. It bounds the messages, and is shorter than the time for
/// which the home relies on a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A number of pauses between events, and their total duration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct MeasuredPauses {
    pub(super) pauses: u32,
    pub(super) total: Duration,
}

/// Measures the pauses between the events of one endpoint's stream.
#[derive(Debug)]
pub(super) struct PaceMeter {
    expected_pause: Duration,
    last_arrival: Option<MonotonicTime>,
    measured: VecDeque<MeasuredPauses>,
    reported_at: Option<MonotonicTime>,
}

impl PaceMeter {
    pub(super) fn new(expected_pause: Duration) -> Self {
        Self {
            expected_pause,
            last_arrival: None,
            measured: VecDeque::with_capacity(JUDGED_PAUSES),
            reported_at: None,
        }
    }

    /// Records that events have arrived together. Returns the newest pauses if they are to be
    /// reported.
    pub(super) fn record_events(
        &mut self,
        now: MonotonicTime,
        events: u32,
    ) -> Option<MeasuredPauses> {
        let last = self.last_arrival.replace(now)?;
        if self.measured.len() == JUDGED_PAUSES {
            self.measured.pop_front();
        }
        self.measured.push_back(MeasuredPauses { pauses: events.max(1), total: now.since(last) });
        let is_reported_lately = self.reported_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL);
        if self.measured.len() < JUDGED_PAUSES || is_reported_lately {
            return None;
        }
        let longest =
            self.measured.iter().max_by_key(|measured| measured.total / measured.pauses)?;
        let pauses = self.measured.iter().map(|measured| measured.pauses).sum::<u32>();
        let total = self.measured.iter().map(|measured| measured.total).sum::<Duration>();
        let measured =
            MeasuredPauses { pauses: pauses - longest.pauses, total: total - longest.total };
        let expected = self.expected_pause * measured.pauses;
        if measured.total <= expected.mul_f64(REPORTED_RATIO) {
            return None;
        }
        self.reported_at = Some(now);
        Some(measured)
    }

    /// Leaves out the pause until the next event, because the gateway did not read from the endpoint
    /// meanwhile.
    pub(super) fn skip_pause(&mut self) {
        self.last_arrival = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXPECTED: Duration = Duration::from_millis(50);

    fn at(ms: u64) -> MonotonicTime {
        MonotonicTime(1_000_000 + ms * 1_000)
    }

    /// Returns the times, in milliseconds, at which single events at these times cause a report.
    fn reports(meter: &mut PaceMeter, events_ms: impl Iterator<Item = u64>) -> Vec<u64> {
        events_ms.filter(|ms| meter.record_events(at(*ms), 1).is_some()).collect()
    }

    // Answers at the expected pace, one event delayed by a long prompt; guards against messages that
    // grow with the load.
    #[test]
    fn an_answer_at_the_expected_pace_causes_no_report() {
        let mut meter = PaceMeter::new(EXPECTED);
        assert!(reports(&mut meter, (0..40).map(|at| at * 55)).is_empty());
        let delayed = (40..80).map(|at| at * 55 + if at >= 60 { 900 } else { 0 });
        assert!(reports(&mut meter, delayed).is_empty());
    }

    // Answers on a slow engine; guards against a report for each event.
    #[test]
    fn a_slow_answer_is_reported_after_a_few_pauses_and_at_most_twice_a_second() {
        let mut meter = PaceMeter::new(EXPECTED);
        assert_eq!(reports(&mut meter, (0..16).map(|at| at * 200)), [800, 1_400, 2_000, 2_600]);
    }

    // A caller that reads slowly; guards against blaming its engine.
    #[test]
    fn time_in_which_the_caller_does_not_read_is_left_out() {
        let mut meter = PaceMeter::new(EXPECTED);
        let mut now_ms = 0;
        for number in 0..40 {
            now_ms += 50;
            assert_eq!(meter.record_events(at(now_ms), 1), None, "event {number}");
            if number % 2 == 0 {
                now_ms += 900;
                meter.skip_pause();
            }
        }
    }

    // Events that a lossy link delivers together; guards against taking the link for a slow engine.
    #[test]
    fn events_that_arrive_together_count_each() {
        let mut meter = PaceMeter::new(EXPECTED);
        let reported = (0..20).any(|at_ms| meter.record_events(at(at_ms * 250), 5).is_some());
        assert!(!reported);
    }
}
