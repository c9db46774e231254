//! Measures the overhead of a daemon: latency per request and per token, processor time per 1,000
//! requests and memory per open stream. The baseline is a caller that connects to the stand-in
//! engine directly.
//!
//! `cargo build --release -p oriolepass-daemon &&
//! cargo run --release -p oriolepass-testbed --example path_bench`

use std::time::{Duration, Instant};

use eyre::{Result, bail};
use oriolepass_schema::operator::{
    AccountSpec, KeyHash, ModelSpec, ObjectSpec, PoolRole, PoolSpec,
};
use oriolepass_standin::{AnnouncePlan, CompletionRequest, EngineConfig, EngineServer, TestCaller};
use oriolepass_testbed::{
    DaemonProcess, LatencyTable, MODEL, OperatorClient, POOL_KEY, ROOT_KEY, account_key,
    text_prompt,
};
use oriolepass_units::{Incarnation, TokenCount, TokenRate};

/// Number of requests that are sent one at a time.
const SEQUENTIAL_REQUESTS: u64 = 2_000;
/// Number of concurrently open streams.
const OPEN_STREAMS: u64 = 2_000;

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run())
}

fn call(seed: u64, tokens: usize, answer: u64) -> CompletionRequest {
    CompletionRequest {
        model: MODEL.to_owned(),
        prompt: text_prompt(seed, tokens),
        max_tokens: answer,
        deadline: Duration::from_secs(120),
        caller_key: None,
    }
}

async fn configure(daemon: &DaemonProcess) -> Result<()> {
    let operator = OperatorClient::new(ROOT_KEY);
    let operators_address = daemon.operators;
    let pool = PoolSpec { keys: vec![KeyHash::of(POOL_KEY)], role: PoolRole::General };
    operator.put(operators_address, "pool", "engines", 0, ObjectSpec::Pool(pool)).await?;
    let model = ModelSpec {
        version: "1".into(),
        adapters: Vec::new(),
        replicas: Default::default(),
        max_prompt: TokenCount(1_100_000),
    };
    operator.put(operators_address, "model", MODEL, 0, ObjectSpec::Model(model)).await?;
    let account =
        AccountSpec { keys: vec![KeyHash::of(&account_key(0))], share: 1, max_held: None };
    let last_change = operator
        .put(operators_address, "account", "account-0", 0, ObjectSpec::Account(account))
        .await?;
    operator.wait_in_force(operators_address, last_change.config_revision).await
}

async fn start_engine(daemon: &DaemonProcess, config: EngineConfig) -> Result<EngineServer> {
    let plan = AnnouncePlan {
        daemons: vec![daemon.endpoints],
        key: POOL_KEY.to_owned(),
        cache_lag: Duration::from_millis(20),
    };
    let engine =
        EngineServer::start("engine-0".parse()?, "recife-a".parse()?, Incarnation(1), config, plan)
            .await?;
    for _ in 0..200 {
        let caller = TestCaller::new(&account_key(0));
        if caller.complete(daemon.callers, &call(0, 10, 1)).await.is_ok() {
            return Ok(engine);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("the daemon did not serve a prompt on the engine within 200 attempts")
}

async fn run() -> Result<()> {
    let daemon = DaemonProcess::start()?;
    configure(&daemon).await?;
    let fast = EngineConfig {
        memory: TokenCount(40_000_000),
        prefill_rate: TokenRate(100_000_000),
        step_base: Duration::from_micros(100),
        attention_nanos_per_k: 0,
        step_tokens: 1_000_000,
        ..EngineConfig::default()
    };
    measure_idle(&daemon).await?;
    let engine = start_engine(&daemon, fast).await?;
    measure_sequential_requests(&daemon, &engine).await?;
    measure_token_rate(&daemon, &engine).await?;
    drop(engine);
    tokio::time::sleep(Duration::from_secs(6)).await;
    measure_open_streams(&daemon).await
}

/// Measures the processor time of an idle daemon.
async fn measure_idle(daemon: &DaemonProcess) -> Result<()> {
    const INTERVAL: Duration = Duration::from_secs(5);
    let before = daemon.usage()?.cpu;
    tokio::time::sleep(INTERVAL).await;
    let cpu = daemon.usage()?.cpu - before;
    let percent = cpu.as_secs_f64() / INTERVAL.as_secs_f64() * 100.0;
    println!("idle: {percent:.1} % of a core\n");
    Ok(())
}

/// Measures the latency of sequential requests, alternately to the engine directly and through the
/// daemon.
async fn measure_sequential_requests(daemon: &DaemonProcess, engine: &EngineServer) -> Result<()> {
    let caller = TestCaller::new(&account_key(0));
    let mut table = LatencyTable::default();
    let before = daemon.usage()?.cpu;
    for number in 0..SEQUENTIAL_REQUESTS {
        let call = call(number + 1, 250, 4);
        let attempt = format!("direct-{number}").parse()?;
        let reply = caller.complete_direct(engine.address(), attempt, &call).await;
        let reply = reply.map_err(|e| eyre::eyre!("{e:?}"))?;
        table.record("direct", reply.first_token);
        let reply = caller.complete(daemon.callers, &call).await;
        table.record("through the daemon", reply.map_err(|e| eyre::eyre!("{e:?}"))?.first_token);
    }
    let cpu = daemon.usage()?.cpu - before;
    println!(
        "time to first token, {SEQUENTIAL_REQUESTS} requests of 250 tokens, one at a time\n{table}"
    );
    let median = |row| table.quantile_ms(row, 0.5).unwrap_or_default();
    println!(
        "added median time to first token {:.3} ms; daemon processor time {:.1} ms per 1,000 \
         requests of 4 tokens\n",
        median("through the daemon") - median("direct"),
        cpu.as_secs_f64() * 1e6 / SEQUENTIAL_REQUESTS as f64,
    );
    Ok(())
}

/// Measures the token rate and the processor time per token on long answers.
async fn measure_token_rate(daemon: &DaemonProcess, engine: &EngineServer) -> Result<()> {
    const ANSWER_TOKENS: u64 = 2_000;
    const STREAMS: u64 = 32;
    let mut rates = Vec::new();
    let mut cpu = Duration::ZERO;
    for is_through_daemon in [false, true] {
        let before = daemon.usage()?.cpu;
        let started = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..STREAMS {
            let (address, direct) = (daemon.callers, engine.address());
            tasks.spawn(async move {
                let caller = TestCaller::new(&account_key(0));
                let call = call(100_000 + number, 250, ANSWER_TOKENS);
                if is_through_daemon {
                    caller.complete(address, &call).await
                } else {
                    let attempt = format!("tokens-{number}").parse().expect("a valid id");
                    caller.complete_direct(direct, attempt, &call).await
                }
            });
        }
        while let Some(done) = tasks.join_next().await {
            done?.map_err(|e| eyre::eyre!("{e:?}"))?;
        }
        rates.push((STREAMS * ANSWER_TOKENS) as f64 / started.elapsed().as_secs_f64());
        cpu = daemon.usage()?.cpu - before;
    }
    println!(
        "{STREAMS} streams of {ANSWER_TOKENS} tokens: {:.0} tokens/s direct, {:.0} through the \
         daemon; daemon processor time {:.2} us per token\n",
        rates[0],
        rates[1],
        cpu.as_secs_f64() * 1e6 / (STREAMS * ANSWER_TOKENS) as f64
    );
    Ok(())
}

/// Measures the memory per stream with many open streams.
async fn measure_open_streams(daemon: &DaemonProcess) -> Result<()> {
    let slow = EngineConfig {
        memory: TokenCount(40_000_000),
        prefill_rate: TokenRate(100_000_000),
        step_base: Duration::from_millis(400),
        attention_nanos_per_k: 0,
        step_tokens: 1_000_000,
        ..EngineConfig::default()
    };
    let engine = start_engine(daemon, slow).await?;
    let before = daemon.usage()?;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..OPEN_STREAMS {
        let address = daemon.callers;
        tasks.spawn(async move {
            let caller = TestCaller::new(&account_key(0));
            caller.complete(address, &call(200_000 + number, 250, 40)).await
        });
    }
    let mut peak = before;
    let mut done = 0;
    while !tasks.is_empty() {
        let next = tokio::time::timeout(Duration::from_millis(200), tasks.join_next()).await;
        let now = daemon.usage()?;
        if now.resident > peak.resident {
            peak = now;
        }
        if let Ok(Some(reply)) = next {
            reply?.map_err(|e| eyre::eyre!("{e:?}"))?;
            done += 1;
        }
    }
    let grown = peak.resident - before.resident.min(peak.resident);
    println!(
        "{done} of {OPEN_STREAMS} concurrent streams completed: resident {:.1} MB before, {:.1} MB \
         at the peak, {:.1} kB per stream; {} descriptors at the peak",
        before.resident as f64 / 1e6,
        peak.resident as f64 / 1e6,
        grown as f64 / 1e3 / OPEN_STREAMS as f64,
        peak.descriptors
    );
    drop(engine);
    Ok(())
}
