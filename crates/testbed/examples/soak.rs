//! Runs nine daemons, fourteen engines and three plain services under mixed load and random
//! deaths, and prints a verdict.
//!
//! `cargo run --release -p oriolepass-testbed --example soak -- CALM_SECONDS STORM_SECONDS`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use oriolepass_schema::error::RanState;
use oriolepass_schema::operator::{ModelSpec, ObjectSpec};
use oriolepass_standin::{CallerError, CompletionRequest, ServiceServer, TestCaller};
use oriolepass_testbed::{
    Fleet, FleetPlan, LatencyTable, MODEL, SERVICE, account_key, process_usage, text_prompt,
};
use oriolepass_units::{ObjectRevision, TokenCount};

const PROMPT_WORKERS: usize = 24;
const CONFIRM_WORKERS: usize = 6;
const ACCOUNTS: usize = 10;

/// Between two deaths.
const DEATH_EVERY: Duration = Duration::from_secs(5);

/// What the callers met.
#[derive(Default)]
struct Tally {
    whole: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    broken: AtomicU64,
    wrong: AtomicU64,
    tokens: AtomicU64,
    confirmed: AtomicU64,
    confirmed_unknown: AtomicU64,
    confirmed_not_run: AtomicU64,
    first_token: Mutex<LatencyTable>,
    /// The bodies of confirmations that the system said had not run, by key.
    not_run: Mutex<BTreeMap<String, String>>,
    reasons: Mutex<BTreeMap<String, u64>>,
}

impl Tally {
    fn note(&self, error: &CallerError) {
        let (counter, reason) = match error {
            CallerError::Api(error) if error.ran == RanState::No => {
                (&self.refused, format!("not run: {}", error.code))
            }
            CallerError::Api(error) => (&self.failed, format!("{}: {}", error.ran, error.code)),
            CallerError::Connection(_) | CallerError::Truncated => {
                (&self.broken, "the daemon died under the connection".to_owned())
            }
            CallerError::Wrong(what) => (&self.wrong, format!("WRONG: {what:.40}")),
        };
        counter.fetch_add(1, Ordering::SeqCst);
        *self.reasons.lock().expect("no panic with the lock").entry(reason).or_default() += 1;
    }
}

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut seconds = |default: u64| -> Result<Duration> {
        let text = arguments.next();
        Ok(Duration::from_secs(text.map_or(Ok(default), |text| text.parse())?))
    };
    let (calm, storm) = (seconds(60)?, seconds(120)?);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(calm, storm))
}

async fn run(calm: Duration, storm: Duration) -> Result<()> {
    let plan = FleetPlan {
        daemons_per_data_centre: 3,
        voters: 5,
        engines: 14,
        services: 3,
        accounts: ACCOUNTS,
        address_keep: Duration::from_secs(2),
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    let callers: Vec<SocketAddr> = (0..fleet.len()).map(|n| fleet.callers(n)).collect();
    let quiet = phase(&mut fleet, &callers, calm, false).await?;
    let stormy = phase(&mut fleet, &callers, storm, true).await?;
    let rate = |tally: &Tally, span: Duration| {
        tally.tokens.load(Ordering::SeqCst) as f64 / span.as_secs_f64()
    };
    let (before, after) = (rate(&quiet, calm), rate(&stormy, storm));
    println!(
        "goodput {before:.0} tokens/s without failures, {after:.0} with: {:.1} %",
        after / before * 100.0
    );
    let mut faults = verdict(&fleet, &quiet).await?;
    faults += verdict(&fleet, &stormy).await?;
    if faults > 0 {
        bail!("{faults} violations");
    }
    println!("verdict: no violation");
    Ok(())
}

/// Runs the load for a while, with deaths or without.
async fn phase(
    fleet: &mut Fleet,
    callers: &[SocketAddr],
    span: Duration,
    deaths: bool,
) -> Result<Arc<Tally>> {
    let tally = Arc::new(Tally::default());
    let run = Arc::new(AtomicBool::new(true));
    let mut workers = tokio::task::JoinSet::new();
    for worker in 0..PROMPT_WORKERS {
        let (tally, run, callers) = (Arc::clone(&tally), Arc::clone(&run), callers.to_vec());
        workers.spawn(prompts(worker, deaths, callers, tally, run));
    }
    for worker in 0..CONFIRM_WORKERS {
        let (tally, run, callers) = (Arc::clone(&tally), Arc::clone(&run), callers.to_vec());
        workers.spawn(confirmations(worker, deaths, callers, tally, run));
    }
    let started = Instant::now();
    let usage = process_usage(std::process::id())?;
    let mut round = 0;
    let mut accepted = ObjectRevision::ZERO;
    while started.elapsed() < span {
        round += 1;
        if deaths {
            death(fleet, round).await?;
        }
        accepted = accepted.max(change(fleet, round, deaths).await?);
        tokio::time::sleep(DEATH_EVERY).await;
    }
    run.store(false, Ordering::SeqCst);
    while let Some(done) = workers.join_next().await {
        done?;
    }
    let later = process_usage(std::process::id())?;
    println!(
        "{} for {:.0} s: {} prompts whole, {} refused as not run, {} failed, {} lost with their \
         daemon, {} wrong; {} confirmations, {} unknown, {} not run; {round} rounds",
        if deaths { "deaths" } else { "calm" },
        span.as_secs_f64(),
        tally.whole.load(Ordering::SeqCst),
        tally.refused.load(Ordering::SeqCst),
        tally.failed.load(Ordering::SeqCst),
        tally.broken.load(Ordering::SeqCst),
        tally.wrong.load(Ordering::SeqCst),
        tally.confirmed.load(Ordering::SeqCst),
        tally.confirmed_unknown.load(Ordering::SeqCst),
        tally.confirmed_not_run.load(Ordering::SeqCst),
    );
    for (reason, count) in tally.reasons.lock().expect("no panic with the lock").iter() {
        println!("  {count} x {reason}");
    }
    println!("{}", tally.first_token.lock().expect("no panic with the lock"));
    println!(
        "resident {:.0} to {:.0} MB, descriptors {} to {} (daemons, engines and callers in one)\n",
        usage.resident as f64 / 1e6,
        later.resident as f64 / 1e6,
        usage.descriptors,
        later.descriptors
    );
    wait_in_force(fleet, accepted).await?;
    Ok(tally)
}

/// Kills a daemon or an engine and lets the one before come back.
async fn death(fleet: &mut Fleet, round: usize) -> Result<()> {
    let count = fleet.len();
    if round.is_multiple_of(2) {
        let engine = round / 2 % fleet.engines.len();
        let reborn = fleet.start_engine(engine).await?;
        // The old one dies as the new one takes its place.
        fleet.engines[engine].kill();
        fleet.engines[engine] = reborn;
        return Ok(());
    }
    let victim = round / 2 % count;
    fleet.kill(victim).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.restart(victim).await
}

/// Accepts a change through any daemon; returns the configuration's revision after it.
async fn change(fleet: &Fleet, round: usize, deaths: bool) -> Result<ObjectRevision> {
    let daemon = fleet.operators(round % fleet.len());
    let spec = ObjectSpec::Model(ModelSpec {
        version: round.to_string(),
        adapters: Vec::new(),
        replicas: Default::default(),
        max_prompt: TokenCount(10),
    });
    let name = format!("soak-{deaths}-{round}");
    let answer = fleet.operator.put(daemon, &format!("change-{name}"), &name, 0, spec).await?;
    Ok(answer.config_revision)
}

async fn wait_in_force(fleet: &Fleet, revision: ObjectRevision) -> Result<()> {
    for number in fleet.running() {
        fleet.operator.wait_in_force(fleet.operators(number), revision).await?;
    }
    Ok(())
}

async fn prompts(
    worker: usize,
    deaths: bool,
    callers: Vec<SocketAddr>,
    tally: Arc<Tally>,
    run: Arc<AtomicBool>,
) {
    let caller = TestCaller::new(&account_key(worker % ACCOUNTS));
    let mut seed = worker as u64 * 10_000_000 + u64::from(deaths) * 5_000_000;
    while run.load(Ordering::SeqCst) {
        seed += 1;
        let (class, tokens) = match seed % 50 {
            0 => ("4: huge, 150 k", 150_000),
            1..=4 => ("3: long, 50 k", 50_000),
            5..=14 => ("2: medium, 10 k", 10_000),
            _ => ("1: short, 1 k", 1_000),
        };
        let call = CompletionRequest {
            model: MODEL.to_owned(),
            prompt: text_prompt(seed, tokens),
            max_tokens: 40,
            deadline: Duration::from_secs(30),
            caller_key: None,
        };
        let address = callers[seed as usize % callers.len()];
        match caller.complete(address, &call).await {
            Ok(reply) => {
                tally.whole.fetch_add(1, Ordering::SeqCst);
                tally.tokens.fetch_add(reply.tokens + tokens as u64, Ordering::SeqCst);
                let mut table = tally.first_token.lock().expect("no panic with the lock");
                table.record(class, reply.first_token);
            }
            Err(error) => {
                tally.note(&error);
                // Callers come back after a moment, at another address.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Sends confirmations, each again and again through other daemons until its end is known.
async fn confirmations(
    worker: usize,
    deaths: bool,
    callers: Vec<SocketAddr>,
    tally: Arc<Tally>,
    run: Arc<AtomicBool>,
) {
    let caller = TestCaller::new(&account_key(worker % ACCOUNTS));
    let mut number = 0;
    while run.load(Ordering::SeqCst) {
        number += 1;
        let key = format!("soak-{deaths}-{worker}-{number}");
        let body = format!("confirm {key}");
        let mut last = None;
        for attempt in 0..40 {
            let address = callers[(number + attempt) % callers.len()];
            let answer = caller.call_service(address, SERVICE, &body, Some(&key)).await;
            let settled = match &answer {
                Ok(_) => true,
                Err(CallerError::Api(error)) => {
                    error.ran == RanState::Unknown
                        && error.code == oriolepass_schema::error::ErrorCode::OutcomeUnknown
                }
                Err(_) => false,
            };
            last = Some(answer);
            if settled {
                break;
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        match last {
            Some(Ok(_)) => tally.confirmed.fetch_add(1, Ordering::SeqCst),
            Some(Err(CallerError::Api(error))) if error.ran == RanState::No => {
                let mut not_run = tally.not_run.lock().expect("no panic with the lock");
                not_run.insert(key, body);
                tally.confirmed_not_run.fetch_add(1, Ordering::SeqCst)
            }
            _ => tally.confirmed_unknown.fetch_add(1, Ordering::SeqCst),
        };
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Compares what callers were told with what the stand-ins did; returns the violations.
async fn verdict(fleet: &Fleet, tally: &Tally) -> Result<u64> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in fleet.services.iter().flat_map(ServiceServer::ledger) {
        runs.entry(run.body).or_default().push(run.attempt);
    }
    let doubled: Vec<_> = runs.iter().filter(|(_, attempts)| attempts.len() > 1).collect();
    for (body, attempts) in &doubled {
        // The attempts name the entry, its start and the request.
        println!("DOUBLED {body}: {}", attempts.join(", "));
    }
    let doubled = doubled.len();
    let not_run = tally.not_run.lock().expect("no panic with the lock").clone();
    let lies = not_run.values().filter(|body| runs.contains_key(*body)).count();
    let wrong = tally.wrong.load(Ordering::SeqCst);
    let mut held = u64::MAX;
    for _ in 0..200 {
        held = 0;
        for number in fleet.running() {
            if let Ok(status) = fleet.operator.status(fleet.operators(number)).await {
                held += status.endpoints.iter().map(|e| e.held.0 + e.unexplained.0).sum::<u64>();
                held += status.running;
            }
        }
        held += fleet.engines.iter().map(|engine| engine.used().0).sum::<u64>();
        if held == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    println!(
        "{} confirmations run, {doubled} doubled, {lies} said not to have run that did, {wrong} \
         wrong answers, {held} memory or requests left",
        runs.len()
    );
    Ok(doubled as u64 + lies as u64 + wrong + u64::from(held > 0))
}
