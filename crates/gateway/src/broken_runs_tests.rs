//! Tests of the delays after broken connections.

use std::time::Duration;

use oriolepass_quarantine::{RequestDigest, RequestIdentity};
use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::broken_runs::BrokenRuns;

fn digest(number: usize) -> RequestDigest {
    let path = format!("/{number}");
    RequestIdentity { account: None, method: "GET", host: "h", path: &path, body: b"" }.digest()
}

fn endpoint(number: usize) -> EndpointStart {
    format!("e{number}").parse().unwrap()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

/// Guards against delays of requests whose connection was lost once.
#[test]
fn resends_are_delayed_from_the_second_broken_connection_on() {
    let mut runs = BrokenRuns::default();
    let mut delays = Vec::new();
    for number in 0..6 {
        runs.record(at(1_000), digest(1), &endpoint(number), at(1_000));
        delays.push(runs.resend_delay(at(1_000), digest(1)).as_millis());
    }
    assert_eq!(delays, [0, 100, 200, 400, 800, 800]);
    assert_eq!(runs.resend_delay(at(1_700), digest(1)), Duration::from_millis(100));
    assert_eq!(runs.resend_delay(at(1_000), digest(2)), Duration::ZERO);
}

/// Guards against requests that stay delayed after their endpoints were heard from or were replaced.
#[test]
fn resolved_and_old_broken_connections_do_not_count() {
    let mut runs = BrokenRuns::default();
    (0..2).for_each(|number| {
        runs.record(at(0), digest(1), &endpoint(number), at(0));
    });
    runs.resolve(&endpoint(0));
    assert_eq!(runs.resend_delay(at(0), digest(1)), Duration::ZERO);
    assert!(runs.has_recent(at(4_999), digest(1)));
    assert!(!runs.has_recent(at(5_000), digest(1)));
    runs.resolve(&endpoint(1));
    assert!(runs.is_empty());
}

/// Guards against unlimited memory where connections of many requests break.
#[test]
fn only_the_latest_requests_are_kept() {
    let mut runs = BrokenRuns::default();
    (0..600_u64).for_each(|number| {
        let request = digest(usize::try_from(number).unwrap());
        runs.record(at(number), request, &endpoint(0), at(number));
    });
    assert!(!runs.has_recent(at(600), digest(87)));
    assert!(runs.has_recent(at(600), digest(88)));
}
