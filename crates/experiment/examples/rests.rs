//! Compares ways in which the home learns of the rests that engines ask instances for.

use oriolepass_experiment::{RestDesign, RestRunPlan, RestRunResult, run_rests};

const SEEDS: u64 = 4;

fn mean(design: RestDesign, plan: &RestRunPlan) -> RestRunResult {
    let results: Vec<RestRunResult> =
        (0..SEEDS).map(|seed| run_rests(design, &RestRunPlan { seed, ..*plan })).collect();
    let mean = |value: fn(&RestRunResult) -> f64| {
        results.iter().map(value).sum::<f64>() / results.len() as f64
    };
    RestRunResult {
        most_in_rest: results.iter().map(|result| result.most_in_rest).max().unwrap_or(0),
        most_known: results.iter().map(|result| result.most_known).max().unwrap_or(0),
        placed_in_vain: mean(|result| result.placed_in_vain),
        served: mean(|result| result.served),
        bytes: mean(|result| result.bytes),
    }
}

fn main() {
    println!(
        "| instances | engines | prompts a second | turned away, one in | design | most in a rest | \
         placed in vain | served | bytes a prompt | rests known at most |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let sizes = [(5, 4, 40.0), (9, 14, 45.0), (200, 200, 400.0), (994, 958, 700.0)];
    for (instances, engines, prompts_per_s) in sizes {
        for one_in in [40, 5, 2] {
            let plan = RestRunPlan { instances, engines, prompts_per_s, one_in, seed: 0 };
            for (design, name) in RestDesign::ALL {
                let RestRunResult { most_in_rest, placed_in_vain, served, bytes, most_known } =
                    mean(design, &plan);
                println!(
                    "| {instances} | {engines} | {prompts_per_s} | {one_in} | {name} | {most_in_rest} | \
                     {placed_in_vain:.4} | {served:.3} | {bytes:.1} | {most_known} |"
                );
            }
        }
    }
}
