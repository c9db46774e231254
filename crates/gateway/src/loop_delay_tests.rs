//! Tests of the log lines on a late event loop.

use std::time::Duration;

use tokio::time::Instant;

use crate::loop_delay::DelayReporter;

// Guards against a log that grows with each turn of a loop that is always late, and against a longest
// delay that is lost between two lines.
#[test]
fn late_turns_are_reported_once_a_second_with_the_longest_delay() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut reporter = DelayReporter::default();
    let short = Duration::from_millis(20);
    let late = Duration::from_millis(300);
    let later = Duration::from_millis(900);
    assert_eq!(reporter.record(at(0), short), None, "on time");
    assert_eq!(reporter.record(at(100), late), Some((late, 1)));
    assert_eq!(reporter.record(at(200), later), None, "within a second of the last report");
    assert_eq!(reporter.record(at(600), late), None);
    assert_eq!(reporter.record(at(1_100), short), Some((later, 2)));
    assert_eq!(reporter.record(at(2_200), short), None, "nothing new");
}
