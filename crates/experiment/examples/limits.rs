//! Compares designs that keep the limit of one endpoint by many instances together.

use std::time::Duration;

use oriolepass_experiment::{LimitDesign, LimitPlan, LimitResult, run_limit};

const SEEDS: u64 = 8;

fn mean(design: LimitDesign, plan: &LimitPlan) -> LimitResult {
    let results: Vec<LimitResult> =
        (0..SEEDS).map(|seed| run_limit(design, &LimitPlan { seed, ..*plan })).collect();
    let mean = |value: fn(&LimitResult) -> f64| {
        results.iter().map(value).sum::<f64>() / results.len() as f64
    };
    LimitResult {
        most_share: results.iter().map(|result| result.most_share).fold(0.0, f64::max),
        used: mean(|result| result.used),
        messages: mean(|result| result.messages),
    }
}

fn main() {
    println!(
        "| instances | limit a second | load | patience ms | design | most, of the bound | used | messages a request |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for instances in [5, 10, 200, 1_000] {
        for (limit, load) in [(0.5, 3.0), (2.0, 0.7), (2.0, 3.0), (10.0, 3.0), (100.0, 3.0)] {
            for patience_ms in [66, 660] {
                let patience = Duration::from_millis(patience_ms);
                let plan = LimitPlan { instances, limit, load, patience, seed: 0 };
                for (design, name) in LimitDesign::ALL {
                    let LimitResult { most_share, used, messages } = mean(design, &plan);
                    println!(
                        "| {instances} | {limit} | {load} | {patience_ms} | {name} | \
                         {most_share:.2} | {used:.2} | {messages:.1} |"
                    );
                }
            }
        }
    }
}
