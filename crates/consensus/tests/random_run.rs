//! A seeded randomised run of the real nodes on the real store over fake disks.
//!
//! One seed decides every delay, loss, duplicate, partition, crash, clock rate, lost disk and
//! snapshot, so a failing seed replays exactly. `oriolepass_seeds` says how to choose seeds.

mod harness;

use harness::{Coverage, RunPlan, run_seed};
use oriolepass_seeds::run_seeds;

/// Seeds run where the environment names no number; a fixed share for CI.
const DEFAULT_SEEDS: u64 = 400;

#[test]
fn accepted_entries_survive_everything() {
    let mut coverage = Coverage::default();
    let all = run_seeds(DEFAULT_SEEDS, |seed, trace| {
        run_seed(seed, &RunPlan::for_seed(seed), trace, &mut coverage);
    });
    println!("{coverage}");
    if all {
        coverage.assert_all_met();
    }
}
