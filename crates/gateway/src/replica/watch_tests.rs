//! Tests when a replica without a leader is reported.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

use crate::replica::watch::LeaderWatch;

/// A lost leader is reported once a second, and the time starts again after a leader was found.
/// Reports at each tick would flood the log.
#[test]
fn a_replica_without_a_leader_is_reported_each_second_until_it_has_one() {
    let at = |ms: u64| MonotonicTime::ZERO + Duration::from_millis(ms);
    let mut watch = LeaderWatch::default();
    assert_eq!(watch.record(at(0), false), None);
    assert_eq!(watch.record(at(999), false), None);
    assert_eq!(watch.record(at(1_000), false), Some(Duration::from_millis(1_000)));
    assert_eq!(watch.record(at(1_500), false), None);
    assert_eq!(watch.record(at(2_000), false), Some(Duration::from_millis(2_000)));
    assert_eq!(watch.record(at(2_100), true), None);
    assert_eq!(watch.record(at(2_900), false), None);
    assert_eq!(watch.record(at(3_900), false), Some(Duration::from_millis(1_000)));
}
