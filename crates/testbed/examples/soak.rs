//! Runs nine daemons, fourteen engines and three plain services under mixed load, first without and
//! then with crashes, and prints whether any guarantee was violated.
//!
//! `cargo run --release -p oriolepass-testbed --example soak -- BASELINE_SECONDS CRASH_SECONDS`

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

/// Delay after each round. A round submits a change, and in the second phase injects a crash first.
const ROUND_DELAY: Duration = Duration::from_secs(5);

/// Counts of the outcomes that callers observed.
#[derive(Default)]
struct CallerOutcomes {
    completed: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    connection_lost: AtomicU64,
    incorrect: AtomicU64,
    tokens: AtomicU64,
    confirmed: AtomicU64,
    confirmed_unknown: AtomicU64,
    confirmed_not_run: AtomicU64,
    first_token: Mutex<LatencyTable>,
    /// Bodies of the confirmations that were reported as not run, by caller key.
    not_run: Mutex<BTreeMap<String, String>>,
    /// Number of errors by reason.
    reasons: Mutex<BTreeMap<String, u64>>,
}

impl CallerOutcomes {
    fn record_error(&self, error: &CallerError) {
        let (counter, reason) = match error {
            CallerError::Api(error) if error.ran == RanState::No => {
                (&self.refused, format!("not run: {}", error.code))
            }
            CallerError::Api(error) => (&self.failed, format!("{}: {}", error.ran, error.code)),
            CallerError::Connection(_) | CallerError::Truncated => {
                (&self.connection_lost, "the connection to the daemon was lost".to_owned())
            }
            CallerError::Wrong(detail) => (&self.incorrect, format!("INCORRECT: {detail:.40}")),
        };
        counter.fetch_add(1, Ordering::SeqCst);
        *self
            .reasons
            .lock()
            .expect("no task panics while it holds the lock")
            .entry(reason)
            .or_default() += 1;
    }
}

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut seconds = |default: u64| -> Result<Duration> {
        let text = arguments.next();
        Ok(Duration::from_secs(text.map_or(Ok(default), |text| text.parse())?))
    };
    let (baseline_duration, crash_duration) = (seconds(60)?, seconds(120)?);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(baseline_duration, crash_duration))
}

async fn run(baseline_duration: Duration, crash_duration: Duration) -> Result<()> {
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
    let baseline_outcomes = run_phase(&mut fleet, &callers, baseline_duration, false).await?;
    let crash_outcomes = run_phase(&mut fleet, &callers, crash_duration, true).await?;
    let rate = |outcomes: &CallerOutcomes, duration: Duration| {
        outcomes.tokens.load(Ordering::SeqCst) as f64 / duration.as_secs_f64()
    };
    let (without_crashes, with_crashes) =
        (rate(&baseline_outcomes, baseline_duration), rate(&crash_outcomes, crash_duration));
    println!(
        "goodput: {without_crashes:.0} tokens/s without crashes, {with_crashes:.0} tokens/s with \
         crashes ({:.1} %)",
        with_crashes / without_crashes * 100.0
    );
    let mut violations = count_violations(&fleet, &baseline_outcomes).await?;
    violations += count_violations(&fleet, &crash_outcomes).await?;
    if violations > 0 {
        bail!("{violations} violations");
    }
    println!("no violations");
    Ok(())
}

/// Runs the load for the given time, with or without crashes.
async fn run_phase(
    fleet: &mut Fleet,
    callers: &[SocketAddr],
    duration: Duration,
    with_crashes: bool,
) -> Result<Arc<CallerOutcomes>> {
    let outcomes = Arc::new(CallerOutcomes::default());
    let keep_running = Arc::new(AtomicBool::new(true));
    let mut workers = tokio::task::JoinSet::new();
    for worker in 0..PROMPT_WORKERS {
        let (outcomes, keep_running, callers) =
            (Arc::clone(&outcomes), Arc::clone(&keep_running), callers.to_vec());
        workers.spawn(send_prompts(worker, with_crashes, callers, outcomes, keep_running));
    }
    for worker in 0..CONFIRM_WORKERS {
        let (outcomes, keep_running, callers) =
            (Arc::clone(&outcomes), Arc::clone(&keep_running), callers.to_vec());
        workers.spawn(send_confirmations(worker, with_crashes, callers, outcomes, keep_running));
    }
    let started = Instant::now();
    let usage_before = process_usage(std::process::id())?;
    let mut round = 0;
    let mut accepted = ObjectRevision::ZERO;
    while started.elapsed() < duration {
        round += 1;
        if with_crashes {
            inject_crash(fleet, round).await?;
        }
        accepted = accepted.max(submit_change(fleet, round, with_crashes).await?);
        tokio::time::sleep(ROUND_DELAY).await;
    }
    keep_running.store(false, Ordering::SeqCst);
    while let Some(done) = workers.join_next().await {
        done?;
    }
    let usage_after = process_usage(std::process::id())?;
    println!(
        "{} for {:.0} s: {} prompts completed, {} refused as not run, {} failed, {} lost their \
         connection, {} incorrect; {} confirmations answered, {} unknown, {} not run; {round} \
         rounds",
        if with_crashes { "with crashes" } else { "without crashes" },
        duration.as_secs_f64(),
        outcomes.completed.load(Ordering::SeqCst),
        outcomes.refused.load(Ordering::SeqCst),
        outcomes.failed.load(Ordering::SeqCst),
        outcomes.connection_lost.load(Ordering::SeqCst),
        outcomes.incorrect.load(Ordering::SeqCst),
        outcomes.confirmed.load(Ordering::SeqCst),
        outcomes.confirmed_unknown.load(Ordering::SeqCst),
        outcomes.confirmed_not_run.load(Ordering::SeqCst),
    );
    for (reason, count) in
        outcomes.reasons.lock().expect("no task panics while it holds the lock").iter()
    {
        println!("  {count} x {reason}");
    }
    println!("{}", outcomes.first_token.lock().expect("no task panics while it holds the lock"));
    println!(
        "resident {:.0} to {:.0} MB, descriptors {} to {} (daemons, engines and callers in one \
         process)\n",
        usage_before.resident as f64 / 1e6,
        usage_after.resident as f64 / 1e6,
        usage_before.descriptors,
        usage_after.descriptors
    );
    wait_in_force(fleet, accepted).await?;
    Ok(outcomes)
}

/// Crashes and replaces an engine in even rounds; crashes and restarts a daemon in odd rounds.
async fn inject_crash(fleet: &mut Fleet, round: usize) -> Result<()> {
    let count = fleet.len();
    if round.is_multiple_of(2) {
        let engine = round / 2 % fleet.engines.len();
        let replacement = fleet.start_engine(engine).await?;
        // The old engine is killed after its replacement has started.
        fleet.engines[engine].kill();
        fleet.engines[engine] = replacement;
        return Ok(());
    }
    let victim = round / 2 % count;
    fleet.kill(victim).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.restart(victim).await
}

/// Submits a change through the daemon of this round. Returns the revision of the configuration
/// that contains the change.
async fn submit_change(fleet: &Fleet, round: usize, with_crashes: bool) -> Result<ObjectRevision> {
    let daemon = fleet.operators(round % fleet.len());
    let spec = ObjectSpec::Model(ModelSpec {
        version: round.to_string(),
        adapters: Vec::new(),
        replicas: Default::default(),
        max_prompt: TokenCount(10),
    });
    let name = format!("soak-{with_crashes}-{round}");
    let answer = fleet.operator.put(daemon, &format!("change-{name}"), &name, 0, spec).await?;
    Ok(answer.config_revision)
}

async fn wait_in_force(fleet: &Fleet, revision: ObjectRevision) -> Result<()> {
    for number in fleet.running() {
        fleet.operator.wait_in_force(fleet.operators(number), revision).await?;
    }
    Ok(())
}

/// Sends prompts of mixed lengths while the flag is set.
async fn send_prompts(
    worker: usize,
    with_crashes: bool,
    callers: Vec<SocketAddr>,
    outcomes: Arc<CallerOutcomes>,
    keep_running: Arc<AtomicBool>,
) {
    let caller = TestCaller::new(&account_key(worker % ACCOUNTS));
    let mut seed = worker as u64 * 10_000_000 + u64::from(with_crashes) * 5_000_000;
    while keep_running.load(Ordering::SeqCst) {
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
                outcomes.completed.fetch_add(1, Ordering::SeqCst);
                outcomes.tokens.fetch_add(reply.tokens + tokens as u64, Ordering::SeqCst);
                let mut table =
                    outcomes.first_token.lock().expect("no task panics while it holds the lock");
                table.record(class, reply.first_token);
            }
            Err(error) => {
                outcomes.record_error(&error);
                // Callers retry at another address after a short delay.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Sends confirmations, service calls that must not run twice, while the flag is set. Resends each
/// confirmation through other daemons, up to 39 times, until its outcome is known.
async fn send_confirmations(
    worker: usize,
    with_crashes: bool,
    callers: Vec<SocketAddr>,
    outcomes: Arc<CallerOutcomes>,
    keep_running: Arc<AtomicBool>,
) {
    let caller = TestCaller::new(&account_key(worker % ACCOUNTS));
    let mut number = 0;
    while keep_running.load(Ordering::SeqCst) {
        number += 1;
        let key = format!("soak-{with_crashes}-{worker}-{number}");
        let body = format!("confirm {key}");
        let mut last_answer = None;
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
            last_answer = Some(answer);
            if settled {
                break;
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        match last_answer {
            Some(Ok(_)) => outcomes.confirmed.fetch_add(1, Ordering::SeqCst),
            Some(Err(CallerError::Api(error))) if error.ran == RanState::No => {
                let mut not_run =
                    outcomes.not_run.lock().expect("no task panics while it holds the lock");
                not_run.insert(key, body);
                outcomes.confirmed_not_run.fetch_add(1, Ordering::SeqCst)
            }
            _ => outcomes.confirmed_unknown.fetch_add(1, Ordering::SeqCst),
        };
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Compares the outcomes reported to callers with the runs recorded by the stand-ins. Returns the
/// number of violations.
async fn count_violations(fleet: &Fleet, outcomes: &CallerOutcomes) -> Result<u64> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in fleet.services.iter().flat_map(ServiceServer::ledger) {
        runs.entry(run.body).or_default().push(run.attempt);
    }
    let duplicated: Vec<_> = runs.iter().filter(|(_, attempts)| attempts.len() > 1).collect();
    for (body, attempts) in &duplicated {
        // An attempt id contains the entry, the start of the entry and the number of the request.
        println!("DUPLICATE RUN of {body}: {}", attempts.join(", "));
    }
    let duplicated = duplicated.len();
    let not_run = outcomes.not_run.lock().expect("no task panics while it holds the lock").clone();
    let false_not_run = not_run.values().filter(|body| runs.contains_key(*body)).count();
    let incorrect = outcomes.incorrect.load(Ordering::SeqCst);
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
        "{} confirmations run, {duplicated} run more than once, {false_not_run} reported as not \
         run although they ran, {incorrect} incorrect answers, {held} tokens of memory or requests \
         still held",
        runs.len()
    );
    Ok(duplicated as u64 + false_not_run as u64 + incorrect + u64::from(held > 0))
}
