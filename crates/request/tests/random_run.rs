//! Seeded randomised simulation of requests, homes, claims and engines.
//!
//! The real request, ledger and claim code runs against stand-in engines and a plain service. The
//! faults are crashes, lost, misrouted and late messages, resends, and callers that disconnect. The
//! oracle is the stand-ins' own record of the attempts that they ran. `oriolepass_seeds` documents
//! how to choose seeds.

mod world;

use oriolepass_seeds::run_seeds;
use world::{Coverage, World};

/// Number of seeds run if the environment sets none, as in CI.
const DEFAULT_SEEDS: u64 = 300;

/// Guards against requests that end twice or never, run twice, deliver foreign text, leak engine
/// memory, or report wrongly whether they ran.
#[test]
fn every_request_ends_once_and_reports_whether_it_ran() {
    let mut coverage = Coverage::default();
    let all = run_seeds(DEFAULT_SEEDS, |seed, trace| World::new(seed, trace).run(&mut coverage));
    println!("{coverage}");
    if all {
        coverage.assert_all_met();
    }
}
