//! All callers back at once after a loss of all daemons: how long each may wait.

use std::time::Duration;

use super::starting::patience_after;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn callers_that_are_back_right_after_a_start_wait_and_leave_time_to_be_served() {
    // A stream with ten seconds left, and a call with one.
    assert_eq!(patience_after(millis(20), Some(millis(10_000))), millis(900));
    assert_eq!(patience_after(millis(20), Some(millis(1_000))), millis(500));
    assert_eq!(patience_after(millis(20), None), millis(900), "a body may still come");
}

#[test]
fn a_daemon_that_has_started_lets_nobody_wait_for_a_start() {
    assert_eq!(
        patience_after(millis(1_100), Some(millis(10_000))),
        millis(400),
        "what is left of it"
    );
    assert_eq!(patience_after(millis(1_500), Some(millis(10_000))), Duration::ZERO);
    assert_eq!(patience_after(millis(60_000), None), Duration::ZERO);
}
