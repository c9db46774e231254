//! When a slow request is sent to a second endpoint, in logical time.

use std::time::Duration;

use oriolepass_second_sends::{
    AnswerTimes, SecondSendVerdict, SkipReason, SlowRequest, WorkAllowance, judge,
};
use oriolepass_units::MonotonicTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SCALE: Duration = Duration::from_millis(800);

/// The interval between requests.
const INTERVAL_MS: u64 = 50;

const REQUESTS: u64 = 6_000;

/// Requests that are not counted, until there are enough samples.
const WARM_UP: usize = 200;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn slow_request(elapsed: Duration) -> SlowRequest {
    SlowRequest {
        elapsed,
        scale: SCALE,
        time_left: millis(2_000),
        has_attempts: true,
        is_suspect: false,
        endpoints: 3,
        slow_endpoints: 1,
        other_endpoints: 2,
    }
}

/// Returns times of which one in twenty is long, the last at `ms`.
fn usual_times(ms: u64) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for number in 0..100 {
        let took = if number % 20 == 0 { 600 } else { 20 + number % 7 };
        times.record(at(ms - 100 + number), millis(took), SCALE);
    }
    times
}

/// The outcome of a run in logical time.
struct Run {
    p99: u64,
    /// Second sends per request.
    extra: f64,
}

/// Sends requests to three endpoints, of which `took` returns the time at one, and second sends
/// within a limit. The slowest cancelled send counts by the time until then.
fn run(ratio: f64, took: impl Fn(u64, usize, &mut StdRng) -> u64) -> Run {
    let judged = |now, elapsed, times: &AnswerTimes| judge(now, &slow_request(elapsed), times);
    run_with(judged, ratio, took)
}

/// Like `run`, with another decision on a request that has taken a time so far.
fn run_with(
    judge: impl Fn(MonotonicTime, Duration, &AnswerTimes) -> SecondSendVerdict,
    ratio: f64,
    took: impl Fn(u64, usize, &mut StdRng) -> u64,
) -> Run {
    let mut random = StdRng::seed_from_u64(5);
    let (mut times, mut allowance) = (AnswerTimes::default(), WorkAllowance::default());
    let (mut totals, mut extra) = (Vec::new(), 0);
    for number in 0..REQUESTS {
        let sent_ms = number * INTERVAL_MS;
        allowance.earn(at(sent_ms), ratio);
        let endpoint = random.random_range(0..3);
        let first = millis(took(sent_ms, endpoint, &mut random));
        let mut elapsed = Duration::ZERO;
        let mut total = first;
        while elapsed < first {
            let now = at(sent_ms) + elapsed;
            match judge(now, elapsed, &times) {
                SecondSendVerdict::Wait(wait) => elapsed += wait,
                SecondSendVerdict::Skip(_, again) => elapsed += again,
                SecondSendVerdict::Never(_) => break,
                SecondSendVerdict::Send { .. } => {
                    if allowance.take(now, 1.0) {
                        extra += 1;
                        let second = millis(took(sent_ms, (endpoint + 1) % 3, &mut random));
                        total = first.min(elapsed + second);
                        if total < first {
                            times.record(at(sent_ms) + total, second, SCALE);
                        }
                    }
                    break;
                }
            }
        }
        times.record(at(sent_ms) + total, total, SCALE);
        totals.push(total.as_millis() as u64);
    }
    let mut counted = totals.split_off(WARM_UP);
    counted.sort_unstable();
    Run { p99: counted[counted.len() * 99 / 100], extra: f64::from(extra) / REQUESTS as f64 }
}

fn with_jitter(random: &mut StdRng) -> u64 {
    20 + random.random_range(0..8)
}

/// Guards against a tail of one endpoint that is slow for one request in twenty, at a limit of 5 in
/// 100, and against second sends over a limit of 0, 2, 5 and 10 in 100.
#[test]
fn the_tail_of_one_slow_endpoint_is_cut_within_the_limit() {
    let took = |_, endpoint, random: &mut StdRng| {
        let is_slow = endpoint == 0 && random.random_bool(0.05);
        if is_slow { 600 } else { with_jitter(random) }
    };
    let without = run(0.0, took);
    assert_eq!((without.p99, without.extra), (600, 0.0));
    for ratio in [0.02, 0.05, 0.1] {
        let with = run(ratio, took);
        println!("{ratio}: p99 {} ms of {}, extra {}", with.p99, without.p99, with.extra);
        assert!(with.extra <= ratio, "{} of {ratio}", with.extra);
        assert!(with.p99 * 3 < without.p99, "{} ms of {} ms", with.p99, without.p99);
    }
}

/// Guards against second sends that make an overload worse: from the middle on, all endpoints are
/// five times as slow.
#[test]
fn where_all_are_slow_hardly_any_second_send_follows() {
    let took = |ms: u64, _, random: &mut StdRng| {
        let factor = if ms > REQUESTS * INTERVAL_MS / 2 { 5 } else { 1 };
        with_jitter(random) * factor
    };
    let run = run(0.1, took);
    assert!(run.extra < 0.01, "{} second sends per request", run.extra);
}

/// Guards against a second send after a fixed time, which cuts the tail late, or after a quantile of
/// the times alone, which doubles the load on endpoints that are all slow.
#[test]
fn the_observed_tail_is_better_than_a_fixed_time_or_a_quantile_alone() {
    let one_slow = |_, endpoint, random: &mut StdRng| {
        let is_slow = endpoint == 0 && random.random_bool(0.05);
        if is_slow { 600 } else { with_jitter(random) }
    };
    let all_slow = |ms: u64, _, random: &mut StdRng| {
        let factor = if ms > REQUESTS * INTERVAL_MS / 2 { 5 } else { 1 };
        with_jitter(random) * factor
    };
    let send_from = |from: Duration, elapsed: Duration| {
        if elapsed >= from {
            SecondSendVerdict::Send { remaining: Duration::ZERO }
        } else {
            SecondSendVerdict::Wait(from - elapsed)
        }
    };
    let fixed = |_, elapsed, _: &AnswerTimes| send_from(SCALE.mul_f64(0.65), elapsed);
    let quantile = |now, elapsed, times: &AnswerTimes| match times.quantile(now, 0.9) {
        Some(trigger) => send_from(SCALE.mul_f64(trigger), elapsed),
        None => SecondSendVerdict::Never(SkipReason::FewSamples),
    };
    let of_fixed = (run_with(fixed, 0.1, one_slow), run_with(fixed, 0.1, all_slow));
    let of_quantile = (run_with(quantile, 0.1, one_slow), run_with(quantile, 0.1, all_slow));
    let observed = (run(0.1, one_slow), run(0.1, all_slow));
    for (name, (one, all)) in
        [("fixed", &of_fixed), ("quantile", &of_quantile), ("observed", &observed)]
    {
        println!("{name}: p99 {}, extra {}; all slow: extra {}", one.p99, one.extra, all.extra);
    }
    assert!(observed.0.p99 * 3 < of_fixed.0.p99);
    assert!(observed.0.extra < of_quantile.0.extra);
    assert!(observed.1.extra * 3.0 < of_quantile.1.extra);
}

/// Guards against second sends beside answers that are only a little later than others.
#[test]
fn a_short_tail_causes_few_second_sends() {
    let run = run(0.1, |_, _, random: &mut StdRng| 20 + random.random_range(0..30));
    assert!(run.extra < 0.01, "{} second sends per request", run.extra);
}

/// Guards against a trigger that falls with each cancelled send until all requests are sent twice:
/// 60,000 ms of answers, of which those beyond the trigger are cut.
#[test]
fn cancelled_sends_do_not_lower_the_trigger() {
    let mut times = usual_times(1_000);
    let before = times.quantile(at(1_000), 0.9).expect("samples");
    for number in 0..1_200_u64 {
        let took = if number % 20 == 0 { 60 } else { 20 + number % 7 };
        times.record(at(1_000 + number * INTERVAL_MS), millis(took), SCALE);
    }
    let after = times.quantile(at(61_000), 0.9).expect("samples");
    assert!((after - before).abs() < 0.01 * before, "{before} to {after}");
}

/// Guards against second sends of requests that cannot gain by them.
#[test]
fn the_reason_against_a_second_send_is_named() {
    let (now, elapsed) = (at(20_000), millis(100));
    let times = usual_times(10_000);
    let judged = |request: SlowRequest| judge(now, &request, &times);
    let slow = slow_request(elapsed);
    assert!(
        matches!(judged(slow), SecondSendVerdict::Send { remaining } if remaining > millis(400))
    );
    let wait = judged(SlowRequest { elapsed: millis(5), ..slow });
    assert!(matches!(wait, SecondSendVerdict::Wait(wait) if wait < millis(30)), "{wait:?}");
    let never = |request| match judged(request) {
        SecondSendVerdict::Never(reason) => reason,
        other => panic!("{other:?}"),
    };
    assert_eq!(never(SlowRequest { has_attempts: false, ..slow }), SkipReason::NoAttempts);
    assert_eq!(never(SlowRequest { is_suspect: true, ..slow }), SkipReason::Suspect);
    assert_eq!(never(SlowRequest { time_left: millis(10), ..slow }), SkipReason::TooLittleTime);
    let skipped = |request| match judged(request) {
        SecondSendVerdict::Skip(reason, again) if again >= millis(10) => reason,
        other => panic!("{other:?}"),
    };
    assert_eq!(skipped(SlowRequest { slow_endpoints: 2, ..slow }), SkipReason::AllSlow);
    assert_eq!(skipped(SlowRequest { other_endpoints: 0, ..slow }), SkipReason::NoOtherEndpoint);
    let untested = judge(now, &slow, &AnswerTimes::default());
    assert_eq!(untested, SecondSendVerdict::Never(SkipReason::FewSamples));
}
