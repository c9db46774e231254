//! Tests of the comparison of quarantine tables between daemons.

use std::time::Duration;

use oriolepass_quarantine::{InterruptedRun, QuarantineTable, RequestDigest, RequestIdentity};
use oriolepass_units::MonotonicTime;

use crate::quarantine::CompareSchedule;

fn digest(number: usize) -> RequestDigest {
    let path = format!("/{number}");
    RequestIdentity { account: None, method: "GET", host: "h", path: &path, body: b"" }.digest()
}

/// Records an end under the request with this number.
fn record_end(table: &mut QuarantineTable, number: usize) {
    let endpoint = format!("e{number}").parse().expect("an endpoint");
    let seen = MonotonicTime(number as u64);
    table.record_interrupted_run(
        seen,
        digest(number),
        &InterruptedRun { endpoint, seen, duration: Some(Duration::from_secs(1)) },
    );
}

// Guards against whole tables that are sent each second, by each daemon, while facts are on their way.
#[test]
fn a_table_that_changes_is_compared_rarely() {
    let (mut table, mut schedule) = (QuarantineTable::default(), CompareSchedule::default());
    let mut compared = 0;
    for number in 0..60 {
        record_end(&mut table, number);
        compared += usize::from(schedule.is_due(table.revision()));
    }
    assert_eq!(compared, 10);
}

// Guards against facts that a daemon missed and never gets, because its table or that of the others changes.
#[test]
fn a_table_that_did_not_change_is_compared_in_each_interval() {
    let (mut table, mut schedule) = (QuarantineTable::default(), CompareSchedule::default());
    record_end(&mut table, 0);
    assert!(!schedule.is_due(table.revision()));
    record_end(&mut table, 0);
    table.standing(MonotonicTime(1), digest(0));
    assert!((0..3).all(|_| schedule.is_due(table.revision())), "a known end changes nothing");
    table.release(MonotonicTime(1), digest(0));
    assert!(!schedule.is_due(table.revision()));
    assert!(schedule.is_due(table.revision()));
}
