//! A seeded randomised run of the real nodes on the real store over fake disks.
//!
//! One seed decides every delay, loss, duplicate, partition, crash, clock rate, lost disk and
//! snapshot, so a failing seed replays exactly: `ORIOLEPASS_SEED=7 cargo test -p
//! oriolepass-consensus --test random_run -- --nocapture` prints its trace. `ORIOLEPASS_SEEDS`
//! sets how many seeds are run.

mod harness;

use harness::{Coverage, RunPlan, run_seed};

/// Seeds run where the environment names no number; a fixed share for CI.
const DEFAULT_SEEDS: u64 = 400;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a number"))
}

#[test]
fn accepted_entries_survive_everything() {
    let mut coverage = Coverage::default();
    let seeds = match number("ORIOLEPASS_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("ORIOLEPASS_SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    let trace = seeds.end - seeds.start == 1;
    for seed in seeds {
        run_seed(seed, &RunPlan::for_seed(seed), trace, &mut coverage);
    }
    println!("{coverage}");
    if !trace {
        coverage.assert_all_met();
    }
}
