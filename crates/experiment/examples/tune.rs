//! Compares scheduler parameters of the homes. The seeds differ from the seed of the report in the
//! `policy` example, so that no parameter is fitted to that seed.
//!
//! `cargo run --release -p oriolepass-experiment --example tune`

use std::path::Path;
use std::time::Duration;

use eyre::Result;
use oriolepass_experiment::{LoadMix, PolicyKind, RunPlan, run_policy};
use oriolepass_scheduler::{LengthClass, SchedulerConfig};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Metrics of runs, as means over the seeds.
#[derive(Default)]
struct MeanMetrics {
    short_p95: f64,
    slowdown: f64,
    medium_p95: f64,
    long_goodput: f64,
}

fn measure(mix: &LoadMix, config: &SchedulerConfig, load: f64) -> MeanMetrics {
    let kind = PolicyKind::Homes(config.clone());
    let mut sum = MeanMetrics::default();
    for seed in SEEDS {
        let plan = RunPlan {
            seed,
            load,
            seconds: 180.0,
            bursts: false,
            short_only: false,
            lost_engines: Vec::new(),
        };
        let mixed = run_policy(mix, &kind, &plan);
        let alone = run_policy(mix, &kind, &RunPlan { short_only: true, ..plan });
        let weight = 1.0 / SEEDS.len() as f64;
        let short = LengthClass::Short;
        sum.short_p95 += mixed.quantile_ms(short, 0.95) * weight;
        sum.slowdown += mixed.mean_ms(short) / alone.mean_ms(short) * weight;
        sum.medium_p95 += mixed.quantile_ms(LengthClass::Medium, 0.95) * weight;
        sum.long_goodput += mixed.long_goodput * weight;
    }
    sum
}

fn main() -> Result<()> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("mixes");
    println!(
        "| mix | load | clear load % | spill s | short p95 | slowdown | medium p95 | long tokens/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for name in ["agencia", "magnolia"] {
        let mix = LoadMix::load(&folder.join(format!("{name}.json")))?;
        for load in [0.7, 0.85] {
            for clear_load_percent in [20, 35, 50] {
                for spill in [3, 10, 30] {
                    let config = SchedulerConfig {
                        clear_load_percent,
                        spill_after: Duration::from_secs(spill),
                        ..SchedulerConfig::default()
                    };
                    let metrics = measure(&mix, &config, load);
                    println!(
                        "| {name} | {load} | {clear_load_percent} | {spill} | {:.0} | {:.2} | \
                         {:.0} | {:.0} |",
                        metrics.short_p95,
                        metrics.slowdown,
                        metrics.medium_p95,
                        metrics.long_goodput
                    );
                }
            }
        }
    }
    Ok(())
}
