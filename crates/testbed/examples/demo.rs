//! Demonstrates a deployment in one process: daemons in three data centres, stand-in engines and a
//! plain service serve prompts of 1,000 to 220,000 tokens.
//!
//! `cargo run --release -p oriolepass-testbed --example demo`

use std::time::{Duration, Instant};

use eyre::{Result, bail};
use oriolepass_standin::{CallerReply, CompletionRequest, TestCaller};
use oriolepass_testbed::{
    Fleet, FleetPlan, LatencyTable, MODEL, SERVICE, account_key, text_prompt,
};

/// Prompts by length class: name of the class, prompt tokens, number of prompts, answer tokens.
const PROMPT_CLASSES: [(&str, usize, u64, u64); 4] = [
    ("1: short, 1 k", 1_000, 60, 32),
    ("2: medium, 16 k", 16_000, 12, 32),
    ("3: long, 100 k", 100_000, 4, 32),
    ("4: huge, 220 k", 220_000, 2, 32),
];

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run())
}

async fn run() -> Result<()> {
    println!("starting 6 daemons in 3 data centres, 6 engines and 1 plain service ...");
    let plan =
        FleetPlan { daemons_per_data_centre: 2, engines: 6, accounts: 4, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await?;
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let mut seed = 0;
    for (class, tokens, count, answer) in PROMPT_CLASSES {
        for number in 0..count {
            seed += 1;
            let caller = TestCaller::new(&account_key(seed as usize % 4));
            let daemon = fleet.callers(seed as usize % fleet.len());
            let call = CompletionRequest {
                model: MODEL.to_owned(),
                prompt: text_prompt(seed, tokens),
                max_tokens: answer,
                deadline: Duration::from_secs(60),
                caller_key: None,
            };
            let delay = Duration::from_millis(number * 3_000 / count);
            tasks.spawn(async move {
                tokio::time::sleep(delay).await;
                // Callers request the addresses of the daemons and connect to the first address.
                let addresses = caller.addresses(daemon).await;
                let address = addresses.ok().map_or(daemon, |list| list.addresses[0].address);
                (class, caller.complete(address, &call).await)
            });
        }
    }
    let mut table = LatencyTable::default();
    let mut failed = 0;
    while let Some(done) = tasks.join_next().await {
        match done? {
            (class, Ok(CallerReply { first_token, .. })) => table.record(class, first_token),
            (class, Err(error)) => {
                failed += 1;
                println!("{class}: {error:?}");
            }
        }
    }
    println!("\ntime to first token\n{table}");
    let caller = TestCaller::new(&account_key(0));
    let body = "confirm member 17";
    let sent = caller.call_service(fleet.callers(0), SERVICE, body, Some("demo-1")).await;
    let resent = caller.call_service(fleet.callers(1), SERVICE, body, Some("demo-1")).await;
    let runs: usize = fleet.services.iter().map(|service| service.runs_of(body)).sum();
    println!(
        "a confirmation sent through two daemons: {} and {}; executed {runs} time(s)",
        sent.as_ref().map_or("failed", |_| "answered"),
        resent.as_ref().map_or("failed", |_| "answered"),
    );
    let total: u64 = PROMPT_CLASSES.iter().map(|(_, _, count, _)| count).sum();
    println!(
        "{} of {total} prompts answered completely (token count and digest checked) in {:.1} s",
        total - failed,
        started.elapsed().as_secs_f64()
    );
    if failed > 0 || runs != 1 {
        bail!(
            "{failed} prompts failed and the confirmation was executed {runs} time(s); \
             expected 0 and 1"
        );
    }
    Ok(())
}
