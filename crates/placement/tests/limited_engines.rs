//! Engines that name limits on their request rates get no more prompts than that, over all
//! instances that place prompts, and are used up to their limits.
//!
//! Guards against placement by predicted time alone: an engine in need that is idle is the best one
//! for every prompt.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_limits::{PermitWaiter, RequestRank, WaiterId};
use oriolepass_placement::{
    EngineCell, EngineFacts, EngineFleet, EngineScope, PromptAsk, PromptKey, RefusalReason,
};
use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn facts(number: usize, limit: Option<f64>) -> EngineFacts {
    EngineFacts {
        endpoint: common::endpoint(number),
        service: "engines".parse().unwrap(),
        takes_work: true,
        max_prompts_per_s: None,
        limit: limit.map(|limit| RequestRate::try_from(limit).expect("a rate")),
        profile: common::profile(12, 48),
    }
}

fn fleet(limits: &[Option<f64>]) -> EngineFleet {
    let mut fleet = common::fleet(0, &common::profile(12, 48));
    let facts = |(number, limit): (usize, &Option<f64>)| facts(number, *limit);
    fleet.update(limits.iter().enumerate().map(facts).collect());
    fleet
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn ask(number: u64, prompt_tokens: u64, patience_ms: u64) -> PromptAsk {
    let objective_ms = if prompt_tokens < 20_000 { 300 } else { 3_000 };
    let prompt = common::prompt(PromptKey { entry: 1, number }, prompt_tokens, objective_ms, 250);
    PromptAsk {
        answer_tokens: 100,
        max_answer_tokens: 200,
        patience: Duration::from_millis(patience_ms),
        ..prompt
    }
}

fn ranked(number: u64, priority: u8) -> PromptAsk {
    let waiter = PermitWaiter {
        id: WaiterId { entry: 1, number },
        rank: RequestRank { priority, account: None },
        patience: Duration::from_millis(1_000),
    };
    PromptAsk { waiter: Some(waiter), ..ask(number, 1_000, 1_000) }
}

/// Returns the largest number of times within any span of four seconds.
fn most_within_4_s(times: &[u64]) -> usize {
    let within = |from: &u64| times.iter().filter(|at| (*from..from + 4_000).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn engines_with_limits_get_what_they_take_and_the_others_the_rest() {
    let limits = [Some(2.0), Some(0.5), None, None];
    let mut fleet = fleet(&limits);
    let mut sent: BTreeMap<EndpointStart, Vec<u64>> = BTreeMap::new();
    let mut random = StdRng::seed_from_u64(3);
    let mut now = 0;
    for number in 0.. {
        now += random.random_range(0..40);
        if now > 20_000 {
            break;
        }
        let tokens = if random.random_bool(0.1) { 150_000 } else { 1_000 };
        let plan = fleet.place(at(now), &ask(number, tokens, 0));
        let Ok(plan) = plan else { continue };
        let helpers = plan.helpers.iter().map(|helper| &helper.endpoint);
        for engine in std::iter::once(&plan.main).chain(helpers) {
            sent.entry(engine.clone()).or_default().push(now);
        }
        fleet.first_event(at(now + 50), ask(number, tokens, 0).key);
        fleet.ended(at(now + 60), ask(number, tokens, 0).key);
    }
    for (number, limit) in limits.into_iter().enumerate() {
        let times = sent.remove(&common::endpoint(number)).unwrap_or_default();
        if let Some(limit) = limit {
            let most = most_within_4_s(&times);
            assert!(most as f64 <= limit * 4.25 + 2.0, "{most} in 4 s at {limit}");
        } else {
            assert!(times.len() > 50, "{} to an engine without a limit", times.len());
        }
    }
}

#[test]
fn the_limits_of_all_engines_are_used_and_the_rest_is_refused_with_a_time() {
    let mut fleet = fleet(&[Some(4.0), Some(2.0)]);
    let (mut placed, mut refused) = (0, 0);
    for number in 0..400 {
        let (now, key) = (number * 25, ask(number, 1_000, 0).key);
        match fleet.place(at(now), &ask(number, 1_000, 0)) {
            Ok(_) => {
                placed += 1;
                fleet.first_event(at(now + 10), key);
                fleet.ended(at(now + 20), key);
            }
            Err(refusal) => {
                refused += 1;
                assert_eq!(refusal.reason, RefusalReason::AtLimit);
                assert!(refusal.retry_after > Duration::ZERO);
            }
        }
    }
    // Six a second for ten seconds.
    assert!((56..=62).contains(&placed), "{placed} placed, {refused} refused");
}

#[test]
fn urgent_prompts_go_first_where_all_engines_have_limits() {
    let mut fleet = fleet(&[Some(1.0)]);
    let refusal = |result: Result<_, oriolepass_placement::PlacementRefusal>| {
        result.map(|_: oriolepass_placement::PromptPlan| ()).expect_err("a refusal")
    };
    assert_eq!(refusal(fleet.place(at(0), &ranked(1, 5))).reason, RefusalReason::AtLimit);
    refusal(fleet.place(at(920), &ranked(1, 5)));
    refusal(fleet.place(at(930), &ranked(2, 0)));
    refusal(fleet.place(at(1_005), &ranked(1, 5)));
    assert!(fleet.place(at(1_010), &ranked(2, 0)).is_ok());
}

/// Guards against a limit that is exceeded because a deputy and the home do not know of each other.
#[test]
fn a_home_counts_what_others_have_placed() {
    let limits = [Some(2.0), None];
    let (mut home, mut deputy) = (fleet(&limits), fleet(&limits));
    let cell = EngineScope::Cell(EngineCell { index: 0, count: 1 });
    let mut times = Vec::new();
    for number in 0..800 {
        let now = number * 10;
        let prompt = ask(number, 1_000, 0);
        let (fleet, scope) =
            if number % 2 == 0 { (&mut home, EngineScope::All) } else { (&mut deputy, cell) };
        let Ok(plan) = fleet.place_among(at(now), &prompt, scope) else { continue };
        home.adopt(at(now), &prompt, &plan, false);
        for fleet in [&mut home, &mut deputy] {
            fleet.first_event(at(now + 5), prompt.key);
            fleet.ended(at(now + 8), prompt.key);
        }
        if plan.main == common::endpoint(0) {
            times.push(now);
        }
    }
    let most = most_within_4_s(&times);
    assert!(most <= 17, "{most} in 4 s at 2 a second");
}

#[test]
fn a_lifted_limit_needs_no_permit() {
    let mut limited = fleet(&[Some(0.1)]);
    assert!(limited.place(at(0), &ask(1, 1_000, 0)).is_err());
    limited.update(vec![facts(0, None)]);
    for number in 2..8 {
        assert!(limited.place(at(number * 10), &ask(number, 1_000, 0)).is_ok());
    }
}
