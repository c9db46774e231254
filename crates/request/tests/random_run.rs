//! A seeded randomised run of requests, homes, claims and engines.
//!
//! The real request, ledger and claim code runs against stand-in engines and a plain service,
//! with deaths, lost and crossed and late messages, resends and callers that leave. What the
//! stand-ins' own ledgers say they ran is the oracle. `oriolepass_seeds` says how to choose seeds.

mod world;

use oriolepass_seeds::run_seeds;
use world::{Coverage, World};

/// Seeds run where the environment names no number; a fixed share for CI.
const DEFAULT_SEEDS: u64 = 300;

#[test]
fn every_request_ends_once_and_says_the_truth() {
    let mut coverage = Coverage::default();
    let all = run_seeds(DEFAULT_SEEDS, |seed, trace| World::new(seed, trace).run(&mut coverage));
    println!("{coverage}");
    if all {
        coverage.assert_all_met();
    }
}
