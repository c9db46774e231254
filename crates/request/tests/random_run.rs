//! A seeded randomised run of requests, homes, claims and engines.
//!
//! The real request, ledger and claim code runs against stand-in engines and a plain service,
//! with deaths, lost and crossed and late messages, resends and callers that leave. What the
//! stand-ins' own ledgers say they ran is the oracle. `ORIOLEPASS_SEED=7` replays one seed with
//! its trace, `ORIOLEPASS_SEEDS` sets how many are run.

mod world;

use world::{Coverage, World};

/// Seeds run where the environment names no number; a fixed share for CI.
const DEFAULT_SEEDS: u64 = 300;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a number"))
}

#[test]
fn every_request_ends_once_and_says_the_truth() {
    let mut coverage = Coverage::default();
    let seeds = match number("ORIOLEPASS_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("ORIOLEPASS_SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    let trace = seeds.end - seeds.start == 1;
    for seed in seeds {
        World::new(seed, trace).run(&mut coverage);
    }
    println!("{coverage}");
    if !trace {
        coverage.assert_all_met();
    }
}
