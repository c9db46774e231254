//! Tables of facts: merged in any order they are the same, and what is forgotten stays forgotten.

use oriolepass_quarantine::{
    CaseUpdate, QuarantineTable, RequestDigest, RequestIdentity, Standing,
};
use oriolepass_units::{AccountId, EndpointStart, MonotonicTime};
use proptest::prelude::*;

/// Far from zero, so that earlier moments can be told.
const DAYS: u64 = 10 * 24 * 3_600;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime((DAYS + seconds) * 1_000_000)
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

/// A table in which `request` ended endpoints at these seconds.
fn with_ends(request: RequestDigest, seconds: &[u64]) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for (number, second) in seconds.iter().enumerate() {
        table.record_end(at(*second), request, &endpoint(number));
    }
    table
}

fn tell(from: &QuarantineTable, to: &mut QuarantineTable, now: MonotonicTime) -> bool {
    from.updates(now).iter().filter(|case| to.merge(now, case)).count() > 0
}

#[test]
fn a_whole_answer_clears_a_request_and_an_end_after_it_counts_anew() {
    let mut table = with_ends(digest(1), &[0, 1]);
    assert_eq!(table.standing(at(2), digest(1)), Standing::Suspect);
    assert!(table.clear_request(at(2), digest(1)).is_some());
    assert!(table.clear_request(at(2), digest(1)).is_none(), "no news");
    assert_eq!(table.standing(at(2), digest(1)), Standing::Clear);
    table.record_end(at(3), digest(1), &endpoint(7));
    assert_eq!(table.standing(at(3), digest(1)), Standing::Suspect);
}

#[test]
fn what_ends_at_one_moment_is_one_end() {
    let mut table = QuarantineTable::default();
    (0..8).for_each(|number| {
        table.record_end(at(1), digest(1), &endpoint(number));
    });
    assert_eq!(table.standing(at(2), digest(1)), Standing::Suspect, "a rack lost its power");
}

#[test]
fn requests_that_were_at_the_same_ends_are_not_told_apart_by_them() {
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    for (number, second) in [0, 1, 2].into_iter().enumerate() {
        table.record_end(at(second), digest(2), &endpoint(number));
    }
    assert!(!is_quarantined(table.standing(at(3), digest(1))));
    assert!(!is_quarantined(table.standing(at(3), digest(2))));
    table.record_end(at(4), digest(2), &endpoint(9));
    assert!(is_quarantined(table.standing(at(4), digest(2))), "one more end tells");
    assert_eq!(table.standing(at(4), digest(1)), Standing::Clear, "and explains the others");
}

#[test]
fn trials_are_far_apart_and_farther_each_time() {
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    let trial_in = |table: &QuarantineTable, second| match table.standing(at(second), digest(1)) {
        Standing::Quarantined { trial_in } => trial_in.as_secs(),
        other => panic!("{other:?}"),
    };
    assert_eq!((trial_in(&table, 2), trial_in(&table, 602)), (600, 0));
    table.begin_trial(at(700), digest(1));
    assert_eq!(trial_in(&table, 700), 600, "one at a time");
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
fn what_is_too_old_is_not_brought_back_by_one_that_still_has_it() {
    let old = with_ends(digest(1), &[0]);
    let mut table = with_ends(digest(1), &[0]);
    table.expire(at(599));
    assert!(!table.is_empty());
    table.expire(at(601));
    assert!(table.is_empty());
    assert!(!tell(&old, &mut table, at(602)));
    assert!(table.is_empty());
    let mut cleared = with_ends(digest(1), &[0]);
    cleared.clear_request(at(1), digest(1));
    cleared.expire(at(61));
    assert!(cleared.is_empty(), "most of what is noted is cleared within seconds");
}

#[test]
fn a_release_holds_against_one_that_missed_it() {
    let old = with_ends(digest(1), &[0, 1, 2]);
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    table.clear_request(at(300), digest(1));
    table.expire(at(3_000));
    tell(&old, &mut table, at(3_001));
    assert_eq!(table.standing(at(3_001), digest(1)), Standing::Clear);
    let mut late = old;
    tell(&table, &mut late, at(3_002));
    assert_eq!(late.standing(at(3_002), digest(1)), Standing::Clear);
}

#[test]
fn what_survives_on_a_disk_is_what_lost_several_endpoints() {
    let mut table = with_ends(digest(1), &[0, 1, 2]);
    table.record_end(at(5), digest(2), &endpoint(40));
    let kept = table.durable_updates(at(9));
    assert_eq!(kept.iter().map(|case| case.digest).collect::<Vec<_>>(), [digest(1)]);
    let mut next = QuarantineTable::default();
    // The clock of the next process begins anew, and the ages still hold.
    kept.iter().for_each(|case| {
        next.merge(at(0), case);
    });
    assert!(is_quarantined(next.standing(at(1), digest(1))));
}

#[test]
fn an_account_with_many_requests_makes_nobody_else_forgotten() {
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
    assert!(quiet.iter().all(|request| kept.iter().any(|case| case.digest == *request)));
}

/// A fact about a request, seen by some instance.
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

/// What an instance that learns these facts in this order tells of each.
fn news_of(facts: &[Fact]) -> Vec<CaseUpdate> {
    let mut table = QuarantineTable::default();
    let learn = |fact: &Fact| match fact {
        Fact::End { request, endpoint: number, second } => {
            table.record_end(at(*second), digest(*request), &endpoint(*number))
        }
        Fact::Clear { request } => table.clear_request(at(41), digest(*request)),
    };
    let news: Vec<Option<CaseUpdate>> = facts.iter().map(learn).collect();
    news.into_iter().flatten().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn tables_that_know_the_same_judge_alike(
        facts in prop::collection::vec(fact(), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..120),
    ) {
        let news = news_of(&facts);
        prop_assume!(!news.is_empty());
        let (mut first, mut second) = (QuarantineTable::default(), QuarantineTable::default());
        news.iter().for_each(|case| { first.merge(at(50), case); });
        // In any order, some of it twice, and then all that the first one knows.
        order.iter().for_each(|index| { second.merge(at(50), index.get(&news)); });
        tell(&first, &mut second, at(50));
        tell(&second, &mut first, at(50));
        for request in 0..4 {
            prop_assert_eq!(first.standing(at(50), digest(request)), second.standing(at(50), digest(request)));
        }
        prop_assert_eq!(first.list(at(50)), second.list(at(50)));
    }
}
