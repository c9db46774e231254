//! Tests how long requests may wait in a starting daemon, to which all callers reconnect at once
//! after a loss of all daemons.

use std::time::Duration;

use super::starting::startup_wait_at;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn requests_right_after_a_start_wait_and_keep_time_to_be_served() {
    // A stream with a deadline of 10 s, then a call with a deadline of 1 s.
    assert_eq!(startup_wait_at(millis(20), Some(millis(10_000))), millis(900));
    assert_eq!(startup_wait_at(millis(20), Some(millis(1_000))), millis(500));
    assert_eq!(startup_wait_at(millis(20), None), millis(900), "a request without a deadline");
}

#[test]
fn requests_do_not_wait_after_the_startup_time() {
    assert_eq!(
        startup_wait_at(millis(1_100), Some(millis(10_000))),
        millis(400),
        "the rest of the startup time"
    );
    assert_eq!(startup_wait_at(millis(1_500), Some(millis(10_000))), Duration::ZERO);
    assert_eq!(startup_wait_at(millis(60_000), None), Duration::ZERO);
}
