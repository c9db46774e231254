//! The newest statement of an endpoint applies, however the notices of it arrive.

use std::time::Duration;

use oriolepass_limits::{LimitChange, LimitNotice, LimitTable};
use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate};
use proptest::prelude::*;

fn endpoint() -> EndpointStart {
    "i-1@1".parse().expect("a start")
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

/// Returns a notice, received at `received_ms`, of an answer at `answered_ms`.
fn notice(limit: Option<f64>, received_ms: u64, answered_ms: u64) -> LimitNotice {
    let age = Duration::from_millis(received_ms - answered_ms);
    LimitNotice { endpoint: endpoint(), limit: limit.map(rate), age }
}

#[test]
fn a_late_notice_of_an_older_answer_changes_nothing() {
    let mut table = LimitTable::default();
    assert_eq!(table.record(at(100), &notice(Some(2.0), 100, 100)), LimitChange::Changed);
    assert_eq!(table.record(at(200), &notice(None, 200, 200)), LimitChange::Changed);
    assert_eq!(table.record(at(900), &notice(Some(2.0), 900, 150)), LimitChange::Unchanged);
    assert_eq!(table.limit(&endpoint()), None);
    assert_eq!(table.record(at(950), &notice(Some(3.5), 950, 950)), LimitChange::Changed);
    assert_eq!(table.limit(&endpoint()), Some(rate(3.5)));
}

#[test]
fn an_endpoint_that_never_named_a_limit_is_reported_to_nobody() {
    let mut table = LimitTable::default();
    assert_eq!(table.record(at(100), &notice(None, 100, 100)), LimitChange::Unchanged);
    assert!(table.notices(at(100)).is_empty());
}

/// Guards against a limit that comes back because the answer that lifted it was the first one seen.
#[test]
fn a_notice_of_an_answer_before_the_first_one_seen_changes_nothing() {
    let mut table = LimitTable::default();
    table.record(at(500), &notice(None, 500, 500));
    assert_eq!(table.record(at(600), &notice(Some(2.0), 600, 400)), LimitChange::Unchanged);
    assert_eq!(table.limit(&endpoint()), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a limit that depends on the order in which an instance hears of the answers.
    #[test]
    fn the_newest_answer_applies_in_any_order(
        answers in prop::collection::btree_map(
            0..1_000_u64,
            prop::option::of(0.0..9.0_f64),
            1..12,
        )
        .prop_map(|answers| answers.into_iter().collect::<Vec<_>>())
        .prop_shuffle(),
    ) {
        let mut table = LimitTable::default();
        for (received, (answered, limit)) in (1_000..).zip(&answers) {
            table.record(at(received), &notice(*limit, received, *answered));
        }
        let newest = answers.iter().max_by_key(|(answered, _)| *answered).expect("an answer");
        prop_assert_eq!(table.limit(&endpoint()), newest.1.map(rate));
    }
}
