//! Tests of the log lines on a late event loop.

use std::time::Duration;

use oriolepass_units::EndpointStart;
use tokio::time::Instant;

use crate::clock_tests::gateway;
use crate::endpoints::{EndpointBeat, EndpointNotice, EndpointPhase};
use crate::loop_delay::{DelayReporter, MEASURE_INTERVAL, RecentDelays};

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

// Guards against log lines that show no delay while the loop is late for the first time.
#[test]
fn recent_delays_include_one_that_is_not_over() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let delays = RecentDelays::default();
    assert_eq!(delays.longest(at(0)), Duration::ZERO);
    delays.begin(at(500));
    assert_eq!(delays.longest(at(400)), Duration::ZERO, "not due");
    assert_eq!(delays.longest(at(1_200)), Duration::from_millis(700), "overdue");
    delays.record(at(1_300), Duration::from_millis(800));
    delays.begin(at(1_800));
    delays.record(at(1_801), Duration::from_millis(1));
    delays.begin(at(2_301));
    assert_eq!(delays.longest(at(2_000)), Duration::from_millis(800));
    delays.record(at(4_000), Duration::ZERO);
    assert_eq!(delays.longest(at(4_000)), Duration::ZERO, "no longer recent");
}

fn heartbeat(sequence: u64) -> EndpointBeat {
    EndpointBeat {
        endpoint: endpoint(),
        service: "writers".parse().expect("a service"),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: "z".parse().expect("a data centre"),
        slots: 4,
        phase: EndpointPhase::Serving,
        sequence,
        cold_remaining: Duration::ZERO,
    }
}

fn endpoint() -> EndpointStart {
    "e".parse().expect("an endpoint")
}

// Guards against the last heartbeat of a crashed endpoint that an instance reads after it was frozen, and takes for
// a sign that the endpoint is alive.
#[test]
fn a_heartbeat_that_a_late_loop_reads_may_be_as_old_as_the_delay() {
    let gateway = gateway();
    let silence = || gateway.endpoints.borrow().silence(gateway.now(), &endpoint());
    gateway.endpoint_beat(heartbeat(1));
    assert_eq!(silence(), Some(Duration::ZERO));
    let delay = Duration::from_millis(900);
    gateway.loop_delays.record(Instant::now(), delay);
    crate::clock_tests::run_for(Duration::from_secs(2));
    gateway.endpoint_beat(heartbeat(2));
    let max_age = delay + MEASURE_INTERVAL;
    assert_eq!(silence(), Some(max_age));
    gateway.on_endpoint_notices(
        &"127.0.0.1:11".parse().expect("an id"),
        vec![EndpointNotice { beat: heartbeat(3), age: Duration::from_millis(100) }],
    );
    assert_eq!(silence(), Some(max_age), "a notice may be as late");
}
