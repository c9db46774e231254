//! The limit on requests to cold engines, over all instances that place prompts.
//!
//! Guards against overload when the engines of a data centre come back cold and idle, so that every
//! placer prefers them, during a surge of short prompts and a change of home.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use oriolepass_placement::{
    EngineCell, EngineFacts, EngineFleet, EngineScope, PromptAsk, PromptKey,
};
use oriolepass_units::{EndpointStart, MonotonicTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests per second that a cold engine can take from all instances together.
const MAX_REQUESTS_PER_S: u32 = 26;

/// Prompts per second that one placer may send to a cold engine.
const MAX_PROMPTS_PER_S: u32 = MAX_REQUESTS_PER_S / 3;

const ENGINES: usize = 9;

/// The engines with numbers below this are cold.
const COLD_ENGINES: usize = 3;

fn fleet() -> EngineFleet {
    let profile = common::profile(12, 48);
    let facts = |number| EngineFacts {
        endpoint: common::endpoint(number),
        service: "engines".parse().unwrap(),
        takes_work: true,
        max_prompts_per_s: (number < COLD_ENGINES).then_some(MAX_PROMPTS_PER_S),
        limit: None,
        profile: Arc::clone(&profile),
    };
    let mut fleet = EngineFleet::default();
    fleet.update((0..ENGINES).map(facts).collect());
    fleet
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn ask(number: u64) -> PromptAsk {
    common::prompt(PromptKey { entry: 1, number }, 1_000, 300, 250)
}

fn is_cold(endpoint: &EndpointStart) -> bool {
    (0..COLD_ENGINES).any(|number| *endpoint == common::endpoint(number))
}

/// Returns the largest number of prompts sent within any second.
fn max_within_a_second(sent: &[u64]) -> usize {
    let within = |from: &u64| sent.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Simulates a surge during which the home is replaced by deputies and then by the next home. None of
/// them knows what the others have placed. Returns the times at which each cold engine got prompts.
fn simulate_surge(seed: u64) -> BTreeMap<EndpointStart, Vec<u64>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let home_lost_at = rng.random_range(500..1_500);
    let next_home_at = home_lost_at + rng.random_range(100..1_500);
    let cells = rng.random_range(1..=3);
    let mut home = fleet();
    let mut deputies: Vec<EngineFleet> = (0..cells).map(|_| fleet()).collect();
    let mut next_home = fleet();
    let mut sent: BTreeMap<EndpointStart, Vec<u64>> = BTreeMap::new();
    let mut ms = 0;
    for number in 0.. {
        ms += rng.random_range(0..6);
        if ms >= 4_000 {
            break;
        }
        let (fleet, scope) = if ms < home_lost_at {
            (&mut home, EngineScope::All)
        } else if ms < next_home_at {
            let index = rng.random_range(0..cells);
            let cell = EngineCell { index, count: cells };
            (&mut deputies[index as usize], EngineScope::Cell(cell))
        } else {
            (&mut next_home, EngineScope::All)
        };
        let Ok(plan) = fleet.place_among(at(ms), &ask(number), scope) else { continue };
        // Most prompts end at once, so that slots do not limit the placements.
        if rng.random_bool(0.9) {
            fleet.ended(at(ms), ask(number).key);
        }
        sent.entry(plan.main).or_default().push(ms);
    }
    sent.retain(|endpoint, _| is_cold(endpoint));
    sent
}

#[test]
fn a_cold_engine_stays_within_its_request_limit_while_the_home_changes() {
    let mut busiest = 0;
    for seed in 0..200 {
        for (endpoint, sent) in simulate_surge(seed) {
            let most = max_within_a_second(&sent);
            assert!(
                most <= MAX_REQUESTS_PER_S as usize,
                "seed {seed}: {most} to {endpoint} in a second"
            );
            busiest = busiest.max(most);
        }
    }
    assert!(
        busiest > MAX_PROMPTS_PER_S as usize,
        "in no run did two placers send to the same cold engine within a second"
    );
}

#[test]
fn an_entry_that_places_by_itself_uses_no_cold_engine() {
    let mut fleet = fleet();
    for number in 0..40 {
        let placed = fleet.place_among(at(number), &ask(number), EngineScope::Drawn(number));
        assert!(placed.is_ok_and(|plan| !is_cold(&plan.main)), "prompt {number}");
    }
}

#[test]
fn a_warm_engine_is_limited_only_by_its_slots() {
    let mut fleet = common::fleet(1, &common::profile(12, 48));
    let mut placed = |number| fleet.place(at(number), &ask(number)).is_ok();
    assert_eq!((0..12).filter(|number| placed(*number)).count(), 12);
}
