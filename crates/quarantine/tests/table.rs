//! Quarantine tables: standings, merges in any order, trials, retention and limits per account.

use std::time::Duration;

use oriolepass_quarantine::{
    CaseUpdate, InterruptedRun, QuarantineTable, RequestDigest, RequestIdentity, Standing,
};
use oriolepass_units::{AccountId, EndpointStart, MonotonicTime};
use proptest::prelude::*;

/// Offset of the test clock, so that ends before a test's start have valid times.
const START_S: u64 = 10 * 24 * 3_600;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime((START_S + seconds) * 1_000_000)
}

fn digest(number: usize) -> RequestDigest {
    of_account("one", number)
}

fn of_account(account: &str, number: usize) -> RequestDigest {
    let account: AccountId = account.parse().unwrap();
    let path = format!("/{number}");
    RequestIdentity { account: Some(&account), method: "GET", host: "h", path: &path, body: b"" }
        .digest()
}

fn endpoint(number: usize) -> EndpointStart {
    format!("e{number}").parse().unwrap()
}

fn is_quarantined(standing: Standing) -> bool {
    matches!(standing, Standing::Quarantined { .. })
}

/// Returns a table in which an endpoint ended under `request` at each of the given seconds.
fn with_ends(request: RequestDigest, seconds: &[u64]) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for (number, second) in seconds.iter().enumerate() {
        table.record_end(at(*second), request, &endpoint(number));
    }
    table
}

fn send_all(from: &QuarantineTable, to: &mut QuarantineTable, now: MonotonicTime) -> bool {
    from.updates(now).iter().filter(|case| to.merge(now, case)).count() > 0
}

/// Guards against an end whose time is taken from the run that noticed it last, or from one that was refuted.
#[test]
fn the_first_open_observation_of_an_end_counts() {
    let mut table = QuarantineTable::default();
    table.record_end(at(4), digest(1), &endpoint(0));
    table.record_end(at(2), digest(2), &endpoint(0));
    assert_eq!(table.first_observation(&endpoint(0)), Some(at(2)));
    assert!(table.refute_end(at(5), digest(2), &endpoint(0)).is_some());
    assert_eq!(table.first_observation(&endpoint(0)), Some(at(4)));
    assert_eq!(table.first_observation(&endpoint(1)), None);
}

/// Guards against a presumed end that still counts after the endpoint was heard from, or against other ends that
/// are cleared with it.
#[test]
fn a_refuted_end_does_not_count_and_others_do() {
    let mut table = with_ends(digest(1), &[0, 1]);
    assert!(table.refute_end(at(2), digest(1), &endpoint(0)).is_some());
    assert!(table.refute_end(at(2), digest(1), &endpoint(0)).is_none(), "already refuted");
    assert!(table.refute_end(at(2), digest(1), &endpoint(5)).is_none(), "no such end");
    assert_eq!(table.open_end_count(digest(1)), 1);
    let mut other = with_ends(digest(1), &[0, 1]);
    send_all(&table, &mut other, at(3));
    assert_eq!(other.open_end_count(digest(1)), 1);
}

#[test]
fn a_complete_response_clears_earlier_ends_but_not_later_ones() {
    let mut table = with_ends(digest(1), &[0, 1]);
    assert_eq!(table.standing(at(2), digest(1)), Standing::Suspect);
    assert!(table.release(at(2), digest(1)).is_some());
    assert!(table.release(at(2), digest(1)).is_none(), "already cleared");
    assert_eq!(table.standing(at(2), digest(1)), Standing::Clear);
    table.record_end(at(3), digest(1), &endpoint(7));
    assert_eq!(table.standing(at(3), digest(1)), Standing::Suspect);
}

#[test]
fn simultaneous_ends_count_as_one() {
    let mut table = QuarantineTable::default();
    (0..8).for_each(|number| {
        table.record_end(at(1), digest(1), &endpoint(number));
    });
    assert_eq!(
        table.standing(at(2), digest(1)),
        Standing::Suspect,
        "simultaneous ends have a common cause, such as a rack's power failure"
    );
}

/// Returns a table with four ends of one request, 43 ms apart, that interrupted runs of the given duration.
fn with_ends_in_quick_succession(request: RequestDigest, run_ms: u64) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for number in 0..4 {
        let seen = MonotonicTime(at(1).0 + number * 43_000);
        let endpoint = endpoint(usize::try_from(number).unwrap());
        let run = InterruptedRun { endpoint, seen, duration: Some(Duration::from_millis(run_ms)) };
        table.record_interrupted_run(seen, request, &run);
    }
    table
}

/// Guards against a fatal request that is sent on because it terminates each endpoint so quickly that its ends
/// are taken for simultaneous ones.
#[test]
fn ends_in_quick_succession_count_if_each_run_began_after_the_previous_end() {
    let quick = with_ends_in_quick_succession(digest(1), 42);
    assert!(is_quarantined(quick.standing(at(4), digest(1))));
    let concurrent = with_ends_in_quick_succession(digest(1), 500);
    assert_eq!(concurrent.standing(at(4), digest(1)), Standing::Suspect);
}

#[test]
fn requests_with_the_same_ends_are_not_quarantined_until_another_end_distinguishes_them() {
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    for (number, second) in [0, 1, 2].into_iter().enumerate() {
        table.record_end(at(second), digest(2), &endpoint(number));
    }
    assert!(!is_quarantined(table.standing(at(3), digest(1))));
    assert!(!is_quarantined(table.standing(at(3), digest(2))));
    table.record_end(at(4), digest(2), &endpoint(9));
    assert!(
        is_quarantined(table.standing(at(4), digest(2))),
        "one more end distinguishes the requests"
    );
    assert_eq!(
        table.standing(at(4), digest(1)),
        Standing::Clear,
        "the quarantined request explains the shared ends"
    );
}

#[test]
fn trial_intervals_double_after_each_failed_trial() {
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    let trial_in = |table: &QuarantineTable, second| match table.standing(at(second), digest(1)) {
        Standing::Quarantined { trial_in } => trial_in.as_secs(),
        other => panic!("{other:?}"),
    };
    assert_eq!((trial_in(&table, 2), trial_in(&table, 602)), (600, 0));
    table.begin_trial(at(700), digest(1));
    assert_eq!(trial_in(&table, 700), 600, "the start of a trial restarts the interval");
    table.record_end(at(701), digest(1), &endpoint(20));
    assert_eq!(trial_in(&table, 701), 1_200);
    let trials = (0..24 * 3_600).fold((table, 0), |(mut table, count), second| {
        let is_due = trial_in(&table, 701 + second) == 0;
        if is_due {
            table.record_end(at(701 + second), digest(1), &endpoint(30 + count));
        }
        (table, count + usize::from(is_due))
    });
    assert!((6..=9).contains(&trials.1), "{} trials in a day", trials.1);
}

#[test]
fn expired_cases_are_not_restored_by_a_table_that_still_holds_them() {
    let old = with_ends(digest(1), &[0]);
    let mut table = with_ends(digest(1), &[0]);
    table.expire(at(599));
    assert!(!table.is_empty());
    table.expire(at(601));
    assert!(table.is_empty());
    assert!(!send_all(&old, &mut table, at(602)));
    assert!(table.is_empty());
    let mut cleared = with_ends(digest(1), &[0]);
    cleared.release(at(1), digest(1));
    cleared.expire(at(61));
    assert!(
        cleared.is_empty(),
        "cleared cases expire after a minute, since most cases are cleared within seconds"
    );
}

#[test]
fn a_release_is_not_undone_by_a_table_that_missed_it() {
    let old = with_ends(digest(1), &[0, 1, 2]);
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    table.release(at(300), digest(1));
    table.expire(at(3_000));
    send_all(&old, &mut table, at(3_001));
    assert_eq!(table.standing(at(3_001), digest(1)), Standing::Clear);
    let mut late = old;
    send_all(&table, &mut late, at(3_002));
    assert_eq!(late.standing(at(3_002), digest(1)), Standing::Clear);
}

#[test]
fn durable_updates_hold_the_requests_that_lost_several_endpoints() {
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    table.record_end(at(5), digest(2), &endpoint(40));
    let kept = table.durable_updates(at(9));
    assert_eq!(kept.iter().map(|case| case.digest).collect::<Vec<_>>(), [digest(1)]);
    let mut next = QuarantineTable::default();
    // The next process's clock starts at another time, and the ages in the updates remain valid.
    kept.iter().for_each(|case| {
        next.merge(at(0), case);
    });
    assert!(is_quarantined(next.standing(at(1), digest(1))));
}

#[test]
fn an_account_with_many_cases_does_not_evict_cases_of_other_accounts() {
    let mut table = QuarantineTable::default();
    let quiet: Vec<RequestDigest> = (0..5).map(|n| of_account("quiet", n)).collect();
    for (number, request) in quiet.iter().enumerate() {
        table.record_end(at(1), *request, &endpoint(number));
    }
    for number in 0..2_000 {
        table.record_end(at(2), of_account("loud", number), &endpoint(100 + number));
    }
    let kept = table.list(at(3));
    assert!(kept.len() <= 5 + 128, "{} are kept", kept.len());
    assert!(quiet.iter().all(|request| kept.iter().any(|case| case.id == (*request).into())));
}

/// A fact about a request, observed by an instance.
#[derive(Debug, Clone)]
enum Fact {
    End { request: usize, endpoint: usize, second: u64 },
    Clear { request: usize },
}

fn fact() -> impl Strategy<Value = Fact> {
    prop_oneof![
        4 => (0..4_usize, 0..12_usize, 0..40_u64)
            .prop_map(|(request, endpoint, second)| Fact::End { request, endpoint, second }),
        1 => (0..4_usize).prop_map(|request| Fact::Clear { request }),
    ]
}

/// Returns the updates that an instance sends when it records the facts in order.
fn updates_of(facts: &[Fact]) -> Vec<CaseUpdate> {
    let mut table = QuarantineTable::default();
    let record = |fact: &Fact| match fact {
        Fact::End { request, endpoint: number, second } => {
            table.record_end(at(*second), digest(*request), &endpoint(*number))
        }
        Fact::Clear { request } => table.release(at(41), digest(*request)),
    };
    let updates: Vec<Option<CaseUpdate>> = facts.iter().map(record).collect();
    updates.into_iter().flatten().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn tables_with_the_same_facts_return_the_same_standings(
        facts in prop::collection::vec(fact(), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..120),
    ) {
        let updates = updates_of(&facts);
        prop_assume!(!updates.is_empty());
        let (mut first, mut second) = (QuarantineTable::default(), QuarantineTable::default());
        updates.iter().for_each(|case| { first.merge(at(50), case); });
        // Merges the updates in random order with repetitions, and then the full state of the first table.
        order.iter().for_each(|index| { second.merge(at(50), index.get(&updates)); });
        send_all(&first, &mut second, at(50));
        send_all(&second, &mut first, at(50));
        for request in 0..4 {
            prop_assert_eq!(first.standing(at(50), digest(request)), second.standing(at(50), digest(request)));
        }
        prop_assert_eq!(first.list(at(50)), second.list(at(50)));
    }
}

/// Returns the update of a request that lost the endpoints with these numbers, one a second.
fn lost(number: usize, endpoints: &[usize]) -> CaseUpdate {
    let mut table = QuarantineTable::default();
    for lost in endpoints {
        let (endpoint, seen) = (endpoint(*lost), at(*lost as u64));
        let run = InterruptedRun { endpoint, seen, duration: None };
        table.record_interrupted_run(at(60), digest(number), &run);
    }
    table.updates(at(60)).remove(0)
}

// Guards against an event loop that is occupied by judgements when many endpoints end at once: each fact
// that arrives would have all facts judged again.
#[test]
fn facts_that_quarantine_nothing_are_judged_together() {
    let now = at(60);
    let mut table = QuarantineTable::with_deferred_judgement();
    table.merge(now, &lost(0, &[1, 2, 3]));
    table.standing(now, digest(0));
    let before = table.judgements();
    for number in 1..100 {
        table.merge(now, &lost(number, &[number % 20, number % 19 + 20]));
        table.standing(now, digest(number));
        table.standing(now, digest(0));
    }
    assert_eq!(table.judgements(), before);
    table.judge();
    table.standing(now, digest(0));
    assert_eq!(table.judgements(), before + 1);
}

// Guards against a fatal request that is sent on until the facts are judged together.
#[test]
fn a_request_with_enough_ends_is_judged_at_once() {
    let now = at(60);
    let mut table = QuarantineTable::with_deferred_judgement();
    for number in 1..=3 {
        table.merge(now, &lost(0, &[number * 10]));
        table.standing(now, digest(0));
    }
    assert!(is_quarantined(table.standing(now, digest(0))));
}

// Guards against a released request that is refused until the facts are judged together.
#[test]
fn a_released_request_is_clear_at_once() {
    let now = at(60);
    let mut table = QuarantineTable::with_deferred_judgement();
    table.merge(now, &lost(0, &[10, 20, 30]));
    assert!(is_quarantined(table.standing(now, digest(0))));
    assert!(table.release(now, digest(0)).is_some());
    assert_eq!(table.standing(now, digest(0)), Standing::Clear);
}

// Guards against a request that stays quarantined although facts about others explain its ends.
#[test]
fn a_judgement_on_demand_counts_the_facts_that_arrived_meanwhile() {
    let now = at(60);
    let mut deferred = QuarantineTable::with_deferred_judgement();
    let mut table = QuarantineTable::default();
    for number in 0..12 {
        let update = lost(number, &[10, 20, 30]);
        table.merge(now, &update);
        deferred.merge(now, &update);
        if number == 0 {
            assert!(is_quarantined(deferred.standing(now, digest(0))));
        }
    }
    deferred.judge();
    assert_eq!(deferred.standing(now, digest(0)), table.standing(now, digest(0)));
    assert!(!is_quarantined(table.standing(now, digest(0))));
}
