//! Compares the product's policy with the baselines. Prints a table and writes plots.
//!
//! `cargo run --release -p oriolepass-experiment --example policy -- OUT_FOLDER [SECONDS]`

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use eyre::{Result, WrapErr};
use oriolepass_experiment::{
    BaselineRule, LoadMix, PolicyKind, PolicyResult, RunPlan, empty_first_token, run_policy,
};
use oriolepass_scheduler::{LengthClass, SchedulerConfig};
use plotters::prelude::*;

/// Seed of the report. The `tune` example uses the seeds 1 to 3, so that no parameter is fitted to
/// this seed.
const SEED: u64 = 1_001;

const LOADS: [f64; 5] = [0.5, 0.7, 0.85, 0.95, 1.2];

struct Case {
    mix: LoadMix,
    policy: &'static str,
    kind: PolicyKind,
    variant: &'static str,
    plan: RunPlan,
}

struct Row {
    case: Case,
    result: PolicyResult,
    /// Mean time to first token of short prompts without other prompts.
    short_alone_ms: f64,
}

fn policies() -> Vec<(&'static str, PolicyKind)> {
    vec![
        ("homes", PolicyKind::Homes(SchedulerConfig::default())),
        ("random", PolicyKind::Baseline(BaselineRule::Random, false)),
        ("round robin", PolicyKind::Baseline(BaselineRule::RoundRobin, false)),
        ("least tokens", PolicyKind::Baseline(BaselineRule::LeastTokens, false)),
        ("least tokens+prio", PolicyKind::Baseline(BaselineRule::LeastTokens, true)),
        ("power of two", PolicyKind::Baseline(BaselineRule::PowerOfTwo, false)),
        ("power of two+prio", PolicyKind::Baseline(BaselineRule::PowerOfTwo, true)),
        ("affinity only", PolicyKind::Baseline(BaselineRule::AffinityOnly, false)),
        ("static split", PolicyKind::Baseline(BaselineRule::StaticSplit, false)),
        ("static split+prio", PolicyKind::Baseline(BaselineRule::StaticSplit, true)),
    ]
}

fn cases(mixes: &[LoadMix], seconds: f64) -> Vec<Case> {
    let mut cases = Vec::new();
    for mix in mixes {
        for (policy, kind) in policies() {
            let plan = |load: f64, bursts: bool, lost_engines: Vec<usize>| RunPlan {
                seed: SEED,
                load,
                seconds,
                bursts,
                short_only: false,
                lost_engines,
            };
            let mut add = |variant, plan| {
                let (mix, kind) = (mix.clone(), kind.clone());
                cases.push(Case { mix, policy, kind, variant, plan });
            };
            for load in LOADS {
                add("steady", plan(load, false, vec![]));
            }
            add("bursts", plan(0.7, true, vec![]));
            add("engine lost", plan(0.7, false, vec![0]));
            let first_data_centre: Vec<usize> =
                (0..mix.engines).step_by(mix.data_centres).collect();
            add("centre lost", plan(0.5, false, first_data_centre));
        }
    }
    cases
}

/// Runs all cases, one thread for each processor. Returns the results in the order of the cases.
fn run_all(cases: Vec<Case>) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<(PolicyResult, f64)>>> =
        Mutex::new((0..cases.len()).map(|_| None).collect());
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let Some(case) = cases.get(number) else { return };
                    let result = run_policy(&case.mix, &case.kind, &case.plan);
                    let alone = RunPlan { short_only: true, ..case.plan.clone() };
                    let alone = run_policy(&case.mix, &case.kind, &alone);
                    let alone = alone.mean_ms(LengthClass::Short);
                    results.lock().expect("no thread panics while it holds the lock")[number] =
                        Some((result, alone));
                }
            });
        }
    });
    let results = results.into_inner().expect("no thread panics while it holds the lock");
    cases
        .into_iter()
        .zip(results)
        .map(|(case, done)| {
            let (result, short_alone_ms) = done.expect("each case has a result");
            Row { case, result, short_alone_ms }
        })
        .collect()
}

impl Row {
    fn slowdown(&self) -> f64 {
        self.result.mean_ms(LengthClass::Short) / self.short_alone_ms
    }
}

fn print_table(rows: &[Row]) {
    println!(
        "| mix | variant | load | policy | short p50 | p95 | p99 | medium p95 | long p95 | huge \
         p95 | slowdown | least share | long tokens/s | ended | refused |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        let ms = |class, quantile| row.result.quantile_ms(class, quantile);
        println!(
            "| {} | {} | {:.2} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | \
             {:.2} | {:.0} | {}/{} | {} |",
            row.case.mix.name,
            row.case.variant,
            row.case.plan.load,
            row.case.policy,
            ms(LengthClass::Short, 0.5),
            ms(LengthClass::Short, 0.95),
            ms(LengthClass::Short, 0.99),
            ms(LengthClass::Medium, 0.95),
            ms(LengthClass::Long, 0.95),
            ms(LengthClass::Huge, 0.95),
            row.slowdown(),
            row.result.least_share(&row.case.mix),
            row.result.long_goodput,
            row.result.ended,
            row.result.arrived,
            row.result.refused,
        );
    }
}

/// Plots the 95th percentile of the time to first token of short prompts by load, for one mix.
fn plot(rows: &[Row], mix: &str, file: &Path) -> Result<()> {
    let root = SVGBackend::new(file, (900, 560)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{mix}: time to first token of short prompts, p95, ms"),
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.45..1.25, (20.0..200_000.0).log_scale())?;
    chart.configure_mesh().x_desc("load").draw()?;
    for (number, (policy, _)) in policies().into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = rows
            .iter()
            .filter(|row| {
                row.case.mix.name == mix
                    && row.case.policy == policy
                    && row.case.variant == "steady"
            })
            .map(|row| {
                (row.case.plan.load, row.result.quantile_ms(LengthClass::Short, 0.95).max(20.0))
            });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    let limit = empty_first_token(3_900);
    chart
        .draw_series(LineSeries::new([(0.45, limit), (1.25, limit)], BLACK.stroke_width(1)))?
        .label("empty engine, 3.9 k")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK.stroke_width(1)));
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| "target/policy".to_owned()));
    let seconds: f64 = arguments.next().map_or(Ok(120.0), |text| text.parse())?;
    std::fs::create_dir_all(&folder).wrap_err("failed to create the output folder")?;
    let mixes_folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("mixes");
    let mixes: Vec<LoadMix> = ["agencia", "magnolia"]
        .iter()
        .map(|name| LoadMix::load(&mixes_folder.join(format!("{name}.json"))))
        .collect::<Result<_>>()?;
    println!("empty engine, time to first token in ms:");
    for prompt in [1_000, 4_000, 32_000, 128_000, 450_000, 1_000_000] {
        println!("  {prompt:>8} tokens: {:>8.0}", empty_first_token(prompt));
    }
    println!();
    let rows = run_all(cases(&mixes, seconds));
    print_table(&rows);
    for mix in &mixes {
        let file = folder.join(format!("{}-short-p95.svg", mix.name));
        plot(&rows, &mix.name, &file)?;
        println!("\nwritten: {}", file.display());
    }
    Ok(())
}
