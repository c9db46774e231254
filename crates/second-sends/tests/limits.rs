//! The limit on second sends, over all instances together.

use std::time::Duration;

use oriolepass_second_sends::WorkAllowance;
use oriolepass_units::MonotonicTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests per second of all instances together.
const REQUESTS_PER_S: u64 = 100;

/// The length of a run.
const RUN_S: u64 = 400;

/// The share of requests that are slow.
const SLOW_SHARE: f64 = 0.2;

/// The greatest age of the requests whose part a second send takes.
const MAX_CARRY_S: u64 = 120;

/// What a run of many instances sent.
struct Run {
    /// The times of second sends, in milliseconds.
    sent: Vec<u64>,
    requests: u64,
}

impl Run {
    fn used_share(&self, ratio: f64) -> f64 {
        self.sent.len() as f64 / (self.requests as f64 * ratio)
    }
}

/// Sends requests to instances at random. An instance without enough of its own asks the home if
/// `has_home`. Every 20 s an instance is replaced, and another one is frozen for 15 s; the home is
/// replaced in the middle of the run.
fn run(instances: usize, ratio: f64, has_home: bool) -> Run {
    let mut random = StdRng::seed_from_u64(17);
    let mut own = vec![WorkAllowance::default(); instances];
    let (mut home, mut sent) = (WorkAllowance::default(), Vec::new());
    let (mut frozen, mut requests) = (None, 0);
    for number in 0..REQUESTS_PER_S * RUN_S {
        let ms = number * 1_000 / REQUESTS_PER_S;
        let now = MonotonicTime(ms * 1_000);
        if ms.is_multiple_of(20_000) {
            own[random.random_range(0..instances)] = WorkAllowance::default();
            frozen = (instances > 1).then(|| random.random_range(0..instances));
        }
        if ms % 20_000 == 15_000 {
            frozen = None;
        }
        if ms == RUN_S * 500 {
            home = WorkAllowance::default();
        }
        let instance = random.random_range(0..instances);
        let is_slow = random.random_bool(SLOW_SHARE);
        if frozen == Some(instance) {
            continue;
        }
        requests += 1;
        own[instance].earn(now, ratio);
        if !is_slow {
            continue;
        }
        let mut is_granted = own[instance].take(now, 1.0);
        if !is_granted && has_home {
            home.earn(now, own[instance].take_all(now));
            is_granted = home.take(now, 1.0);
        }
        if is_granted {
            sent.push(ms);
        }
    }
    Run { sent, requests }
}

/// Guards against limits that are divided by a number of instances that each sees differently: 300
/// instances with a request every three seconds each, which come, go and freeze.
#[test]
fn the_limit_holds_for_one_instance_and_for_hundreds() {
    for (instances, ratio) in
        [1, 30, 300].into_iter().flat_map(|count| [0.0, 0.02, 0.1].map(|ratio| (count, ratio)))
    {
        for has_home in [false, true] {
            let run = run(instances, ratio, has_home);
            let allowed = run.requests as f64 * ratio;
            println!(
                "{instances} instances, {ratio}, home {has_home}: {} of {allowed:.0}",
                run.sent.len()
            );
            assert!(run.sent.len() as f64 <= allowed, "over the whole run");
            for until in (0..RUN_S * 1_000).step_by(1_000) {
                let from = until.saturating_sub(10_000);
                let most = (10 + MAX_CARRY_S) as f64 * REQUESTS_PER_S as f64 * ratio;
                let count = run.sent.iter().filter(|at| (from..until).contains(*at)).count();
                assert!(count as f64 <= most, "{count} in 10 s, allowed {most}");
            }
        }
    }
}

/// Guards against a limit that hundreds of instances with few requests each cannot use, because
/// none of them saves up a whole second send.
#[test]
fn instances_with_few_requests_use_the_limit_together() {
    let (alone, together) = (run(300, 0.02, false), run(300, 0.02, true));
    assert!(together.used_share(0.02) > 0.8, "{}", together.used_share(0.02));
    assert!(alone.used_share(0.02) < 0.5, "{}", alone.used_share(0.02));
}

/// Guards against a burst of second sends after a quiet hour, when a fault makes all requests slow.
#[test]
fn what_was_saved_up_expires() {
    let mut allowance = WorkAllowance::default();
    let at = |s: u64| MonotonicTime(s * 1_000_000);
    (0..3_600).for_each(|s| allowance.earn(at(s), 1.0));
    assert!(allowance.balance(at(3_600)) <= 60.0, "{}", allowance.balance(at(3_600)));
    assert!(allowance.balance(at(3_700)) <= 0.0);
    assert!(!allowance.take(at(3_700), 1.0));
}

/// Guards against a giant prompt that takes the parts of many short ones in advance.
#[test]
fn work_is_taken_whole_or_not_at_all() {
    let (mut allowance, now) = (WorkAllowance::default(), MonotonicTime::ZERO);
    (0..100).for_each(|_| allowance.earn(now, 0.05 * 30.0));
    assert!(!allowance.take(now, 1_500.0), "a giant needs ten times as much");
    assert!(allowance.take(now, 30.0));
    assert!((allowance.balance(now) - 120.0).abs() < 1e-6);
    allowance.earn(now + Duration::from_secs(1), f64::NAN);
    assert!((allowance.balance(now) - 120.0).abs() < 1e-6, "no amount");
}
