//! What the judgement draws on: ends by chance that other requests survived, and how long they are known.

use oriolepass_quarantine::{
    CaseUpdate, QuarantineTable, RequestDigest, RequestIdentity, Standing,
};
use oriolepass_units::{EndpointStart, MonotonicTime};

/// Far from zero, so that earlier moments can be told.
const START_S: u64 = 864_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(START_S * 1_000_000 + millis * 1_000)
}

fn digest(number: u64) -> RequestDigest {
    let path = format!("/{number}");
    RequestIdentity { account: None, method: "GET", host: "h", path: &path, body: b"" }.digest()
}

fn endpoint(number: u64) -> EndpointStart {
    format!("e{number}").parse().unwrap()
}

fn is_quarantined(table: &QuarantineTable, millis: u64, request: RequestDigest) -> bool {
    matches!(table.standing(at(millis), request), Standing::Quarantined { .. })
}

/// Lets `request` lose one endpoint a second, four in all.
fn lose_four(table: &mut QuarantineTable, request: RequestDigest) {
    for second in 1..=4 {
        table.record_end(at(second * 1_000), request, &endpoint(second));
    }
}

/// A table of `requests` others that each lost three endpoints of their own within four seconds and were
/// then answered, and of request 0 that lost four and was not.
fn in_a_storm(requests: u64) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for request in 1..=requests {
        for number in 0..3 {
            let seen = 500 + number * 1_100 + request * 61 % 1_000;
            table.record_end(at(seen), digest(request), &endpoint(request * 100 + number));
        }
        table.clear_request(at(4_000), digest(request));
    }
    lose_four(&mut table, digest(0));
    table
}

/// Guards against blaming a request for ends that all others survive as well.
#[test]
fn a_request_is_quarantined_for_four_ends_on_a_calm_day_and_not_in_a_storm() {
    let mut calm = QuarantineTable::default();
    lose_four(&mut calm, digest(0));
    assert!(is_quarantined(&calm, 4_000, digest(0)));
    assert!(!is_quarantined(&in_a_storm(20), 60_000, digest(0)));
}

/// Guards against a restart of all daemons that remembers the ends of a storm and forgets that it was one.
#[test]
fn what_shows_a_storm_survives_on_a_disk() {
    let kept = in_a_storm(20).durable_updates(at(5_000));
    let mut next = QuarantineTable::default();
    kept.iter().for_each(|case| {
        next.merge(at(5_000), case);
    });
    assert!(!is_quarantined(&next, 60_000, digest(0)));
}

/// Guards against full tables that bring back to each other what the other one has evicted.
#[test]
fn full_tables_keep_the_same_requests_in_whatever_order_they_learn_of_them() {
    let news: Vec<CaseUpdate> = (0..400)
        .filter_map(|number| {
            let mut table = QuarantineTable::default();
            table.record_end(at(number * 10), digest(number), &endpoint(number))
        })
        .collect();
    let learn = |news: &mut dyn Iterator<Item = &CaseUpdate>| {
        let mut table = QuarantineTable::default();
        news.for_each(|case| {
            table.merge(at(10_000), case);
        });
        table
    };
    let forwards = learn(&mut news.iter());
    let mut backwards = learn(&mut news.iter().rev());
    assert_eq!(forwards.list(at(10_000)), backwards.list(at(10_000)));
    let told = forwards.updates(at(10_000));
    assert!(told.iter().all(|case| !backwards.merge(at(10_000), case)), "nothing is news");
}

/// Guards against the loss of what shows a storm while the requests that are judged by it stay.
#[test]
fn a_request_is_not_quarantined_when_the_storm_that_it_met_is_forgotten() {
    let mut table = in_a_storm(20);
    for number in 0..400 {
        table.record_end(
            at(20_000 + number * 10),
            digest(1_000 + number),
            &endpoint(90_000 + number),
        );
        table.clear_request(at(20_005 + number * 10), digest(1_000 + number));
    }
    assert!(!is_quarantined(&table, 60_000, digest(0)));
}
