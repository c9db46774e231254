//! Simulates days of the users' deployments under the gateway's placement and under baselines.

use std::path::{Path, PathBuf};
use std::thread;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::{Result, WrapErr};
use oriolepass_experiment::{DayPlan, DayPrompt, DayResult, FleetPolicy, run_day, run_prompts};

#[derive(Debug, Clone)]
struct PlacementOptions {
    seeds: u64,
    loads: Vec<f64>,
    json: bool,
    trace: Option<PathBuf>,
    engines: usize,
    grown: bool,
    further: bool,
}

fn command_line() -> OptionParser<PlacementOptions> {
    let seeds =
        long("seeds").help("Days to simulate for each load and policy").argument("N").fallback(40);
    let loads = long("load")
        .help("Factor of the deployment's arrival rates; may be given several times")
        .argument("X")
        .some("expected a load")
        .fallback(vec![0.85, 1.0, 1.25]);
    let json = long("json").help("Write JSON").switch();
    let trace = long("trace")
        .help(
            "Simulate the prompts in this file, one JSON object per line, instead of drawn prompts",
        )
        .argument::<PathBuf>("FILE")
        .optional();
    let engines = long("engines")
        .help("Number of engines, to which the arrival rates are scaled")
        .argument("N")
        .fallback(14);
    let grown = long("grown")
        .help("Simulate the grown deployment, whose rates are given for 45 engines")
        .switch();
    let further = long("further")
        .help(
            "Simulate the deployment with more long prompts, whose rates are given for 18 engines",
        )
        .switch();
    construct!(PlacementOptions { seeds, loads, json, trace, engines, grown, further })
        .to_options()
        .descr("Simulates days of a deployment and computes the worth of the answers")
}

fn simulate(plan: &DayPlan, policy: FleetPolicy, seeds: u64) -> Vec<DayResult> {
    let workers = thread::available_parallelism().map_or(1, usize::from) as u64;
    thread::scope(|scope| {
        let threads: Vec<_> = (0..workers)
            .map(|worker| {
                scope.spawn(move || {
                    (worker..seeds)
                        .step_by(workers as usize)
                        .map(|seed| run_day(plan, policy, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("the simulation of a day does not panic"))
            .collect()
    })
}

fn print_summary(plan: &DayPlan, policy: FleetPolicy, days: &[DayResult], json: bool) {
    let shares: Vec<f64> = days.iter().map(DayResult::share).collect();
    let count = shares.len() as f64;
    let mean = shares.iter().sum::<f64>() / count;
    let variance = shares.iter().map(|share| (share - mean).powi(2)).sum::<f64>() / count.max(2.0);
    let interval = 1.96 * (variance / count).sqrt();
    if json {
        let line = serde_json::json!({
            "deployment": plan.name, "load": plan.load, "policy": format!("{policy:?}"),
            "worth": mean, "interval": interval, "days": days.len(),
        });
        println!("{line}");
        return;
    }
    println!(
        "{:<10} load {:<5} {policy:<18?} worth {mean:.3} +- {interval:.3}",
        plan.name, plan.load
    );
    for (at, class) in plan.classes.iter().enumerate() {
        let tallies = || days.iter().map(|day| &day.classes[at]);
        let arrived: u32 = tallies().map(|tally| tally.arrived).sum();
        let ratio = |count: u32| f64::from(count) / f64::from(arrived.max(1));
        let mut errors: Vec<f64> = tallies()
            .flat_map(|tally| &tally.first_ms)
            .map(|(predicted, actual)| predicted - actual)
            .collect();
        errors.sort_by(f64::total_cmp);
        let quantile = |q: f64| errors.get((errors.len() as f64 * q) as usize).copied();
        println!(
            "  {:<8} on time {:.3}  late first {:.3}  late pause {:.3}  lost {:.3}  predicted less actual ms: 10% {:.0} 50% {:.0} 90% {:.0}",
            class.name,
            ratio(tallies().map(|t| t.on_time).sum()),
            ratio(tallies().map(|t| t.late_first).sum()),
            ratio(tallies().map(|t| t.late_pause).sum()),
            ratio(tallies().map(|t| t.lost).sum()),
            quantile(0.1).unwrap_or(0.0),
            quantile(0.5).unwrap_or(0.0),
            quantile(0.9).unwrap_or(0.0),
        );
        println!(
            "           late or lost by the second: {}",
            late_or_lost_by_second(plan, days, at)
        );
    }
}

/// Formats the number of late and lost prompts by the second of their arrival, as a mean over the
/// days. Refused prompts are left out.
fn late_or_lost_by_second(plan: &DayPlan, days: &[DayResult], class: usize) -> String {
    let mut counts = vec![0.0; plan.seconds as usize + 1];
    for at in days.iter().flat_map(|day| &day.classes[class].late_or_lost_at_s) {
        let second = (*at as usize).min(counts.len() - 1);
        counts[second] += 1.0 / days.len() as f64;
    }
    let texts: Vec<String> = counts.iter().map(|count| format!("{count:.1}")).collect();
    texts.join(" ")
}

fn read_trace(file: &Path) -> Result<Vec<DayPrompt>> {
    let text = std::fs::read_to_string(file).wrap_err("failed to read the trace")?;
    text.lines()
        .map(|line| serde_json::from_str(line).wrap_err("failed to parse a line of the trace"))
        .collect()
}

fn main() -> Result<()> {
    let options = command_line().run();
    let policies =
        [FleetPolicy::Predicting, FleetPolicy::LeastOutstanding, FleetPolicy::RoundRobin];
    if let Some(file) = &options.trace {
        let prompts = read_trace(file)?;
        let plan = DayPlan::present("trace", options.engines, 1.0);
        for policy in policies {
            let day = run_prompts(&plan, policy, prompts.clone());
            print_summary(&plan, policy, &[day], options.json);
        }
        return Ok(());
    }
    for load in &options.loads {
        let plan = if options.further {
            DayPlan::further("further", options.engines, *load)
        } else if options.grown {
            DayPlan::grown("grown", options.engines, *load)
        } else {
            DayPlan::present("present", options.engines, *load)
        };
        for policy in policies {
            let days = simulate(&plan, policy, options.seeds);
            print_summary(&plan, policy, &days, options.json);
        }
    }
    Ok(())
}
