//! Rests are kept for as long as they were asked for, and the requests that met one return in order.

use std::time::Duration;

use oriolepass_limits::{
    MAX_REST, PermitWaiter, QueueVerdict, RequestRank, RestChange, RestTable, ReturnQueue, WaiterId,
};
use oriolepass_units::{AccountId, EndpointStart, MonotonicTime};
use proptest::prelude::*;

fn endpoint(number: usize) -> EndpointStart {
    format!("i-{number}@1").parse().expect("a start")
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a shorter wish that ends a longer rest.
#[test]
fn the_longest_wish_holds() {
    let (mut table, endpoint) = (RestTable::default(), endpoint(0));
    assert_eq!(table.record(at(0), &endpoint, millis(3_000)), RestChange::Began);
    assert_eq!(table.record(at(1_000), &endpoint, millis(500)), RestChange::Unchanged);
    assert_eq!(table.until(at(1_500), &endpoint), Some(at(3_000)));
    assert_eq!(table.record(at(2_000), &endpoint, millis(1_750)), RestChange::Extended);
    assert_eq!(table.until(at(3_500), &endpoint), Some(at(3_750)));
    assert!(!table.is_resting(at(3_750), &endpoint));
}

#[test]
fn a_rest_of_no_time_is_none_and_a_giant_one_is_bounded() {
    let mut table = RestTable::default();
    assert_eq!(table.record(at(5), &endpoint(0), Duration::ZERO), RestChange::Unchanged);
    assert!(!table.is_resting(at(5), &endpoint(0)));
    table.record(at(5), &endpoint(1), Duration::MAX);
    assert_eq!(table.until(at(6), &endpoint(1)), Some(at(5) + MAX_REST));
}

/// Guards against a rest that the next start of the endpoint inherits.
#[test]
fn a_rest_concerns_one_start_of_an_endpoint() {
    let mut table = RestTable::default();
    let starts: [EndpointStart; 2] = ["i-1@1", "i-1@2"].map(|name| name.parse().expect("a start"));
    table.record(at(0), &starts[0], millis(2_000));
    assert!(table.is_resting(at(1), &starts[0]));
    assert!(!table.is_resting(at(1), &starts[1]));
}

/// Guards against renewals and releases of reserved memory that exceed what a rest allows.
#[test]
fn the_interface_of_a_resting_endpoint_is_called_twice_at_most() {
    let (mut table, endpoint) = (RestTable::default(), endpoint(0));
    assert!((0..9).all(|ms| table.try_begin_call(at(ms), &endpoint)));
    table.record(at(10), &endpoint, millis(1_000));
    let allowed = (10..1_000).filter(|ms| table.try_begin_call(at(*ms), &endpoint)).count();
    assert_eq!(allowed, 2);
    assert!(table.try_begin_call(at(1_010), &endpoint));
}

#[test]
fn rests_that_have_ended_are_forgotten() {
    let mut table = RestTable::default();
    (0..100).for_each(|number| {
        table.record(at(0), &endpoint(number), millis(10 * number as u64 + 10));
    });
    table.expire(at(505));
    assert_eq!(table.resting(at(505)).count(), 50);
}

proptest! {
    /// An endpoint rests exactly until the latest end that it asked for.
    #[test]
    fn an_endpoint_rests_until_the_latest_end_it_asked_for(
        wishes in prop::collection::vec((0_u64..5_000, 0_u64..5_000), 1..20),
    ) {
        let (mut table, endpoint) = (RestTable::default(), endpoint(0));
        let mut wishes = wishes;
        wishes.sort_unstable();
        let mut latest = 0;
        for (asked, span) in wishes {
            table.record(at(asked), &endpoint, millis(span));
            latest = latest.max(asked + span);
            prop_assert_eq!(table.is_resting(at(asked), &endpoint), asked < latest);
            if asked < latest {
                prop_assert_eq!(table.until(at(asked), &endpoint), Some(at(latest)));
            }
        }
    }
}

fn waiter(number: u64, priority: u8, account: &str, patience_ms: u64) -> PermitWaiter {
    let account: AccountId = account.parse().expect("an account");
    PermitWaiter {
        id: WaiterId { entry: 1, number },
        rank: RequestRank { priority, account: Some(account) },
        patience: millis(patience_ms),
    }
}

/// Two endpoints, of which the first rests until `first_ms` and the second until 5 s.
fn rests(now_ms: u64, first_ms: u64) -> Vec<(EndpointStart, Option<MonotonicTime>)> {
    let end = |until_ms| (now_ms < until_ms).then(|| at(until_ms));
    vec![(endpoint(0), end(first_ms)), (endpoint(1), end(5_000))]
}

#[test]
fn requests_pass_while_an_endpoint_does_not_rest() {
    let mut queue = ReturnQueue::default();
    for number in 0..100 {
        let rests = rests(2_000, 1_000);
        let verdict = queue.ask(at(2_000), &waiter(number, 1, "a", 100), &rests, 0.5);
        assert_eq!(verdict, QueueVerdict::Take);
    }
    assert!(!queue.is_ordering());
}

/// Guards against waiting requests that all meet the first endpoint in the moment in which its rest ends.
#[test]
fn waiting_requests_return_one_after_the_other_and_urgent_ones_first() {
    let mut queue = ReturnQueue::default();
    // Twelve requests come in the last 600 ms of a rest; those with even numbers are urgent.
    let mut waiting: Vec<PermitWaiter> =
        (0..12).map(|number| waiter(number, u8::from(number % 2 == 1), "a", 1_000)).collect();
    let mut sent = Vec::new();
    for now_ms in (400..2_000).step_by(5) {
        waiting.retain(|waiter| {
            let has_come = now_ms >= 400 + 50 * waiter.id.number;
            let mut ask = || queue.ask(at(now_ms), waiter, &rests(now_ms, 1_000), 0.5);
            // A waiting request is told to ask again after a time; asking earlier changes nothing.
            let is_sent = has_come && ask() == QueueVerdict::Take;
            if is_sent {
                sent.push((now_ms, waiter.id.number));
            }
            !is_sent
        });
    }
    assert!(waiting.is_empty(), "{waiting:?}");
    assert!(sent.iter().all(|(now_ms, _)| *now_ms >= 1_000), "{sent:?}");
    assert!(sent.iter().filter(|(now_ms, _)| *now_ms < 1_050).count() <= 3, "{sent:?}");
    assert!(sent.last().is_some_and(|(now_ms, _)| *now_ms < 1_500), "{sent:?}");
    let urgent = sent.iter().take(6).filter(|(_, number)| number % 2 == 0).count();
    assert_eq!(urgent, 6, "{sent:?}");
}

/// Guards against requests that wait for an end that comes too late for them.
#[test]
fn a_request_is_refused_at_once_if_the_first_rest_ends_too_late_for_it() {
    let mut queue = ReturnQueue::default();
    let verdict = queue.ask(at(0), &waiter(1, 0, "a", 400), &rests(0, 1_000), 0.0);
    assert_eq!(verdict, QueueVerdict::Refuse(millis(1_000)));
}

/// Returns when the requests of `account`, of which one comes each `interval_ms`, are told to come back.
fn returns(queue: &mut ReturnQueue, account: &str, interval_ms: u64) -> Vec<u64> {
    (0..1_000 / interval_ms)
        .map(|number| {
            let now_ms = number * interval_ms;
            let waiter = waiter(number, 1, account, 0);
            match queue.ask(at(now_ms), &waiter, &rests(now_ms, 1_000), 0.5) {
                QueueVerdict::Refuse(after) => now_ms + after.as_millis() as u64,
                verdict => panic!("{verdict:?} at {now_ms} ms"),
            }
        })
        .collect()
}

/// Guards against refused requests that all come back in one moment.
#[test]
fn refused_requests_come_back_at_the_rate_at_which_they_came() {
    let returns = returns(&mut ReturnQueue::default(), "a", 20);
    assert!(returns.iter().all(|at| *at >= 1_000), "{returns:?}");
    for from in (1_000..2_200).step_by(100) {
        let count = returns.iter().filter(|at| (from..from + 100).contains(*at)).count();
        assert!(count <= 10, "{count} come back between {from} and {} ms", from + 100);
    }
    assert!(returns.iter().all(|at| *at <= 2_300), "{returns:?}");
}

/// Guards against an account with many requests that delays the return of all others.
#[test]
fn an_account_delays_only_its_own_requests() {
    let mut queue = ReturnQueue::default();
    let many = returns(&mut queue, "many", 4);
    let few = returns(&mut queue, "few", 250);
    assert!(few.iter().max() < many.iter().max(), "{few:?}");
    assert!(few[0] < 1_300, "{few:?}");
}
