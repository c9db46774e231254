//! Permits keep the rate that an endpoint names, are used in full where more is asked for, and go to
//! the right requests.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_limits::{
    IssuerRole, PermitAsk, PermitIssuer, PermitVerdict, PermitWaiter, RequestRank, WaiterId,
};
use oriolepass_units::{AccountId, EndpointStart, MonotonicTime, RequestRate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn endpoint(number: usize) -> EndpointStart {
    format!("i-{number}@1").parse().expect("a start")
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ask(number: u64, patience_ms: u64) -> PermitAsk {
    PermitAsk {
        waiter: PermitWaiter {
            id: WaiterId { entry: 1, number },
            rank: RequestRank::default(),
            patience: millis(patience_ms),
        },
        service: "portal".parse().expect("a service"),
        endpoints: vec![endpoint(0)],
        has_alternative: false,
    }
}

fn ranked(number: u64, priority: u8, account: &str) -> PermitAsk {
    let account: AccountId = account.parse().expect("an account");
    let mut ask = ask(number, 5_000);
    ask.waiter.rank = RequestRank { priority, account: Some(account) };
    ask
}

/// Issues permits at a limit of one endpoint to requests that ask again when they are told to.
/// Returns the times of the permits in milliseconds, with the numbers of their requests.
struct Desk {
    issuer: PermitIssuer,
    role: IssuerRole,
    limit: f64,
    /// The requests that ask at a time.
    due: BTreeMap<(u64, u64), (PermitAsk, u64)>,
    granted: Vec<(u64, u64)>,
    refused: Vec<(u64, Duration)>,
}

impl Desk {
    fn new(limit: f64) -> Self {
        Self {
            issuer: PermitIssuer::default(),
            role: IssuerRole::Home,
            limit,
            due: BTreeMap::new(),
            granted: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn add(&mut self, at_ms: u64, ask: PermitAsk) {
        let deadline = at_ms + ask.waiter.patience.as_millis() as u64;
        self.due.insert((at_ms, ask.waiter.id.number), (ask, deadline));
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(((now, number), (mut ask, deadline))) = self.due.pop_first() {
            if now > end_ms {
                self.due.insert((now, number), (ask, deadline));
                return;
            }
            ask.waiter.patience = millis(deadline.saturating_sub(now));
            let rate = self.role.rate(rate(self.limit));
            match self.issuer.ask(at(now), &ask, |_| Some(rate)) {
                PermitVerdict::Granted(_) => self.granted.push((now, number)),
                PermitVerdict::Wait(wait) => {
                    let again = now + wait.as_millis() as u64 + 1;
                    self.due.insert((again, number), (ask, deadline));
                }
                PermitVerdict::Refused(after) => self.refused.push((number, after)),
            }
        }
    }

    fn most_within(&self, span_ms: u64) -> usize {
        let from = |first: &(u64, u64)| {
            self.granted.iter().filter(|(at, _)| (first.0..first.0 + span_ms).contains(at)).count()
        };
        self.granted.iter().map(from).max().unwrap_or(0)
    }

    fn order(&self) -> Vec<u64> {
        self.granted.iter().map(|(_, number)| *number).collect()
    }
}

/// Guards against permits beyond the rate, and against permits that nobody takes although requests
/// are refused.
#[test]
fn a_rate_is_kept_and_used() {
    const SECONDS: u64 = 40;
    let mut random = StdRng::seed_from_u64(19);
    for limit in [0.3, 0.5, 1.0, 2.3, 4.0, 10.0, 60.0] {
        for (load, patience_ms) in [(1.5, 60), (1.5, 1_000), (6.0, 0), (6.0, 200)] {
            let mut desk = Desk::new(limit);
            let mut arrivals = 0;
            for number in 0..(limit * load * SECONDS as f64) as u64 {
                desk.add(random.random_range(0..SECONDS * 1_000), ask(number, patience_ms));
                arrivals += 1;
            }
            desk.run_until(SECONDS * 1_000);
            let most = desk.most_within(4_000) as f64;
            assert!(most <= limit * 4.25 + 2.0, "{most} in 4 s at {limit}");
            let (got, whole) = (desk.granted.len() as f64, limit * SECONDS as f64);
            println!("limit {limit}, load {load}, patience {patience_ms} ms: {got} of {whole}");
            assert!(got >= whole * 0.5 - 1.0, "{got} of {whole} permits used, {arrivals} asked");
        }
    }
}

#[test]
fn urgent_requests_go_first() {
    let mut desk = Desk::new(2.0);
    for number in 0..4 {
        desk.add(10 + number, ranked(number, 3, "a"));
    }
    desk.add(200, ranked(9, 0, "a"));
    desk.run_until(4_000);
    assert_eq!(desk.order(), [9, 0, 1, 2, 3]);
}

#[test]
fn accounts_take_turns_however_many_requests_they_send() {
    let mut desk = Desk::new(2.0);
    for number in 0..6 {
        desk.add(10 + number, ranked(number, 1, "many"));
    }
    desk.add(50, ranked(10, 1, "few"));
    desk.add(51, ranked(11, 1, "few"));
    desk.run_until(2_600);
    // The first in line is of the large account, and the others alternate.
    let few = desk.order().iter().filter(|number| **number >= 10).count();
    assert_eq!((desk.order().len(), few), (5, 2), "{:?}", desk.order());
    assert!(desk.order()[..4].contains(&11), "{:?}", desk.order());
}

/// Guards against requests that wait until their time is over for a permit that cannot come.
#[test]
fn a_request_whose_turn_comes_too_late_is_refused_at_once() {
    let mut desk = Desk::new(1.0);
    desk.add(0, ask(1, 10));
    desk.run_until(500);
    assert!(desk.granted.is_empty());
    assert_eq!(desk.refused.len(), 1);
    let (_, after) = desk.refused[0];
    assert!((millis(900)..=millis(1_100)).contains(&after), "{after:?}");
}

/// Guards against refused callers that all come back for the same permit.
#[test]
fn refused_requests_are_told_to_come_back_one_after_the_other() {
    let mut desk = Desk::new(2.0);
    for number in 0..5 {
        desk.add(0, ask(number, 10));
    }
    desk.run_until(100);
    let after: Vec<u128> = desk.refused.iter().map(|(_, after)| after.as_millis()).collect();
    for (first, second) in after.iter().zip(&after[1..]) {
        assert!((450..=550).contains(&(second - first)), "{after:?}");
    }
}

#[test]
fn a_request_with_an_alternative_takes_no_permit_from_one_that_waits() {
    let mut issuer = PermitIssuer::default();
    let limit = |_: &EndpointStart| Some(rate(1.0));
    let other = PermitAsk { has_alternative: true, ..ask(2, 0) };
    assert!(matches!(issuer.ask(at(0), &other, limit), PermitVerdict::Refused(_)));
    assert!(matches!(issuer.ask(at(950), &ask(1, 2_000), limit), PermitVerdict::Wait(_)));
    assert!(matches!(issuer.ask(at(1_005), &other, limit), PermitVerdict::Refused(_)));
    assert_eq!(issuer.ask(at(1_010), &ask(1, 1_500), limit), PermitVerdict::Granted(endpoint(0)));
}

#[test]
fn a_permit_of_any_endpoint_serves_a_request() {
    let mut issuer = PermitIssuer::default();
    let limit = |start: &EndpointStart| Some(rate(if *start == endpoint(0) { 1.0 } else { 3.0 }));
    let any = |number| PermitAsk { endpoints: (0..2).map(endpoint).collect(), ..ask(number, 400) };
    assert!(matches!(issuer.ask(at(0), &any(1), limit), PermitVerdict::Wait(_)));
    assert_eq!(issuer.ask(at(340), &any(1), limit), PermitVerdict::Granted(endpoint(1)));
}

#[test]
fn an_endpoint_whose_limit_was_lifted_needs_no_permit() {
    let mut issuer = PermitIssuer::default();
    let first = issuer.ask(at(0), &ask(1, 0), |_| Some(rate(0.1)));
    assert!(matches!(first, PermitVerdict::Refused(_)));
    for number in 2..30 {
        let verdict = issuer.ask(at(number), &ask(number, 0), |_| None);
        assert_eq!(verdict, PermitVerdict::Granted(endpoint(0)));
    }
}

#[test]
fn a_changed_rate_applies_from_now_on() {
    let mut desk = Desk::new(1.0);
    for number in 0..400 {
        desk.add(number * 50, ask(number, 40));
    }
    desk.run_until(8_000);
    let at_one = desk.granted.len();
    desk.limit = 10.0;
    desk.run_until(16_000);
    let at_ten = desk.granted.len() - at_one;
    desk.limit = 0.0;
    desk.run_until(20_000);
    assert!((6..=8).contains(&at_one), "{at_one}");
    assert!((70..=82).contains(&at_ten), "{at_ten}");
    assert!(desk.granted.len() - at_one - at_ten <= 2, "{:?}", desk.granted);
}

/// Guards against a limit of 0 that can never be lifted, because no answer can lift it.
#[test]
fn an_endpoint_that_names_zero_gets_a_request_twice_a_minute() {
    let mut desk = Desk::new(0.0);
    for number in 0..1_200 {
        desk.add(number * 100, ask(number, 0));
    }
    desk.run_until(120_000);
    assert!((3..=4).contains(&desk.granted.len()), "{:?}", desk.granted);
}

/// Guards against instances that exceed a limit together while they disagree on who issues permits.
#[test]
fn home_deputy_and_lone_instances_keep_the_rule_together() {
    for (limit, instances) in [(0.5, 10), (2.0, 5), (10.0, 200), (50.0, 200)] {
        let home = IssuerRole::Home.rate(rate(limit)).per_second();
        let deputy = IssuerRole::Deputy.rate(rate(limit)).per_second();
        let alone = IssuerRole::Alone(instances).rate(rate(limit)).per_second();
        let sum = home + deputy + alone * instances as f64;
        assert!(sum <= limit * 1.5 + 1e-9, "{sum} at {limit}");
    }
}

/// Guards against a limit that is exceeded because permits of a deputy are charged to the home at
/// once after an interruption, or not at all.
#[test]
fn charges_are_made_up_for_and_bounded() {
    let mut issuer = PermitIssuer::default();
    let limit = |_: &EndpointStart| Some(rate(2.0));
    issuer.ask(at(0), &ask(0, 0), limit);
    for _ in 0..50 {
        issuer.charge(at(10), &endpoint(0));
    }
    let is_granted = |number: &u64| {
        let verdict = issuer.ask(at(10 + number * 10), &ask(*number, 0), limit);
        verdict == PermitVerdict::Granted(endpoint(0))
    };
    let waited_ms = (1..1_000).find(is_granted).expect("a permit") * 10;
    // A second's permits of debt and the next one.
    assert!((1_400..=1_600).contains(&waited_ms), "{waited_ms}");
}
