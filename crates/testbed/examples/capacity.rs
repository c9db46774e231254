//! Measures how time, memory and message sizes grow with the size of a deployment. The estimates in
//! `docs/CAPACITY.md` are based on these figures.
//!
//! `cargo run --release -p oriolepass-testbed --example capacity`

use std::time::{Duration, Instant};

use eyre::Result;
use oriolepass_config::{
    ChangeCommand, ClaimCommand, ClaimVerdict, KeptAnswer, MemberAddresses, MemberCommand,
    MemberRecord, ReplicatedCommand, ReplicatedState, SettleCommand, StampedCommand, ViewChange,
    ViewDelta,
};
use oriolepass_scheduler::{
    GrantRequest, HomeCommand, HomeScheduler, ReleaseReason, SchedulerConfig, WorkTarget,
};
use oriolepass_schema::caller::RequestPriority;
use oriolepass_schema::endpoint::{EndpointAnnouncement, EndpointKind};
use oriolepass_schema::operator::{
    AccountSpec, ChangeAction, ChangeCall, KeyHash, ModelSpec, ObjectSpec, PoolRole,
};
use oriolepass_storage::{DiskFolder, LogRecord, LogStore, StoredEntry};
use oriolepass_testbed::{Fleet, FleetPlan, LatencyTable, process_usage};
use oriolepass_units::{
    Incarnation, LeaderTerm, LeaseEpoch, LogIndex, MonotonicTime, ObjectRevision, TokenCount,
    TokenRate,
};

fn main() -> Result<()> {
    measure_endpoints()?;
    measure_accounts()?;
    measure_objects()?;
    measure_claims()?;
    measure_log_length()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(measure_followers())
}

fn resident() -> Result<u64> {
    Ok(process_usage(std::process::id())?.resident)
}

fn home_with(endpoints: u64) -> Result<HomeScheduler> {
    let mut home = HomeScheduler::new(SchedulerConfig::default());
    let now = MonotonicTime::ZERO;
    for number in 0..endpoints {
        let announcement = EndpointAnnouncement {
            endpoint: format!("engine-{number:05}").parse()?,
            incarnation: Incarnation(1),
            data_centre: "dc".parse()?,
            address: "127.0.0.1:1".parse()?,
            fenced: true,
            other_home_ms: None,
            kind: EndpointKind::Engine {
                models: vec!["m".parse()?],
                memory: TokenCount(450_000),
                prefill_rate: TokenRate(20_000),
            },
        };
        home.announce(now, &announcement, PoolRole::General);
        home.held_streams(now, now, &announcement.endpoint, &[]);
    }
    let _ = home.take_commands();
    Ok(home)
}

fn grant_request(number: u64, account: u64, prompt: u64) -> Result<GrantRequest> {
    Ok(GrantRequest {
        attempt: format!("a-{number}").parse()?,
        entry: "entry".parse()?,
        account: format!("account-{account}").parse()?,
        target: WorkTarget::Model("m".parse()?),
        prompt: TokenCount(prompt),
        answer: TokenCount(200),
        priority: RequestPriority::Normal,
        patience: Duration::from_secs(3_600),
        prefix: Vec::new(),
        exclude: Vec::new(),
    })
}

/// Requests and releases grants with 10,000 prompts waiting. Returns the mean time of one request
/// and one release.
fn grant_cycle_time(endpoints: u64) -> Result<Duration> {
    const WAITING_PROMPTS: u64 = 10_000;
    const ROUNDS: u64 = 20_000;
    let mut home = home_with(endpoints)?;
    let now = MonotonicTime(1_000);
    let mut granted = Vec::new();
    let mut number = 0;
    // The first requests fill the engines, the later requests fill the queue.
    while home.waiting_count() < WAITING_PROMPTS as usize {
        number += 1;
        home.request_grant(now, grant_request(number, number % 10, 3_000 + number % 900)?);
        for command in home.take_commands() {
            if let HomeCommand::Grant(grant) = command {
                granted.push(grant.attempt);
            }
        }
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        number += 1;
        home.request_grant(now, grant_request(number, number % 10, 3_000 + round % 900)?);
        let released = granted.swap_remove(round as usize % granted.len());
        home.release(now, &released, ReleaseReason::Ended { tokens: TokenCount(200) });
        for command in home.take_commands() {
            if let HomeCommand::Grant(grant) = command {
                granted.push(grant.attempt);
            }
        }
    }
    Ok(started.elapsed() / ROUNDS as u32)
}

fn measure_endpoints() -> Result<()> {
    println!(
        "| endpoints of a home | request, release and grant with 10,000 waiting | digest | memory |"
    );
    println!("|---|---|---|---|");
    for count in [10, 14, 33, 100, 500, 1_000] {
        let before = resident()?;
        let home = home_with(count)?;
        let memory = resident()?.saturating_sub(before);
        let digest = home.digest(&"home".parse()?, &"dc".parse()?);
        let bytes = serde_json::to_vec(&digest)?.len();
        let time = grant_cycle_time(count)?;
        println!(
            "| {count} | {:.1} us | {bytes} B | {:.0} kB |",
            time.as_secs_f64() * 1e6,
            memory as f64 / 1e3
        );
    }
    println!();
    Ok(())
}

fn measure_accounts() -> Result<()> {
    println!("| accounts with waiting requests | request and withdraw | memory |");
    println!("|---|---|---|");
    for count in [10_u64, 100, 1_000, 7_200] {
        let before = resident()?;
        let mut home = home_with(33)?;
        let now = MonotonicTime(1_000);
        let mut number = 0;
        while home.waiting_count() < 10_000 {
            number += 1;
            home.request_grant(now, grant_request(number, number % count, 3_500)?);
            let _ = home.take_commands();
        }
        let memory = resident()?.saturating_sub(before);
        let started = Instant::now();
        const ROUNDS: u64 = 20_000;
        for _ in 0..ROUNDS {
            number += 1;
            let request = grant_request(number, number % count, 3_500)?;
            let attempt = request.attempt.clone();
            home.request_grant(now, request);
            home.release(now, &attempt, ReleaseReason::NeverSent);
            let _ = home.take_commands();
        }
        println!(
            "| {count} | {:.1} us | {:.0} kB |",
            started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64,
            memory as f64 / 1e3
        );
    }
    println!();
    Ok(())
}

fn change(number: u64) -> Result<ReplicatedCommand> {
    let spec = if number.is_multiple_of(4) {
        ObjectSpec::Account(AccountSpec {
            keys: vec![KeyHash::of(&number.to_string())],
            share: 1,
            max_held: None,
        })
    } else {
        ObjectSpec::Model(ModelSpec {
            version: "1".into(),
            adapters: vec!["adapter".into()],
            replicas: Default::default(),
            max_prompt: TokenCount(1_000_000),
        })
    };
    let call = ChangeCall {
        change_id: format!("c-{number}").parse()?,
        name: format!("object-{number}"),
        expected_revision: ObjectRevision::ZERO,
        action: ChangeAction::Put(spec),
        reason: String::new(),
    };
    Ok(ReplicatedCommand::Change(ChangeCommand { team: "root".parse()?, call }))
}

fn measure_objects() -> Result<()> {
    println!(
        "| configuration objects | apply a change | snapshot of a voter's state | follower's view \
         | memory of a voter's state | encoded change |"
    );
    println!("|---|---|---|---|---|---|");
    for count in [100_u64, 1_000, 10_000, 30_000] {
        let before = resident()?;
        let mut state = ReplicatedState::default();
        let bootstrap = ReplicatedCommand::Bootstrap { root_key: KeyHash::of("root") };
        let mut index = LogIndex(1);
        state.apply(index, &StampedCommand { unix_ms: 1, command: bootstrap });
        let started = Instant::now();
        for number in 0..count {
            index = index.next();
            state.apply(index, &StampedCommand { unix_ms: 1, command: change(number)? });
        }
        let apply = started.elapsed() / u32::try_from(count)?;
        let memory = resident()?.saturating_sub(before);
        let list = state.view().list(None);
        let last = list.objects.last().expect("at least one object");
        let object = state.view().object(last.kind, &last.name).cloned();
        let delta = ViewDelta {
            index,
            config_revision: list.config_revision,
            change: ViewChange::Object { kind: last.kind, name: last.name.clone(), object },
        };
        println!(
            "| {count} | {:.1} us | {:.0} kB | {:.0} kB | {:.0} kB | {} B |",
            apply.as_secs_f64() * 1e6,
            state.to_snapshot().len() as f64 / 1e3,
            postcard::to_stdvec(state.view())?.len() as f64 / 1e3,
            memory as f64 / 1e3,
            postcard::to_stdvec(&delta)?.len(),
        );
    }
    println!();
    Ok(())
}

fn measure_claims() -> Result<()> {
    println!("| stored claims | claim and settle | snapshot of a voter's state | memory |");
    println!("|---|---|---|---|");
    for count in [10_000_u64, 100_000] {
        let before = resident()?;
        let mut state = ReplicatedState::default();
        let address = "127.0.0.1:1".parse()?;
        let join = MemberCommand::Join(MemberRecord {
            instance: "entry".parse()?,
            data_centre: "dc".parse()?,
            boot: 1,
            epoch: LeaseEpoch::ZERO,
            draining: false,
            addresses: MemberAddresses {
                callers: address,
                operators: address,
                endpoints: address,
                peers: address,
            },
        });
        let mut index = LogIndex(1);
        let stamped = |command| StampedCommand { unix_ms: 1, command };
        state.apply(index, &stamped(ReplicatedCommand::Member(join)));
        let started = Instant::now();
        for number in 0..count {
            let (account, key) = ("account-1".parse()?, format!("confirm-{number}").parse()?);
            let claim = ClaimCommand {
                account,
                key,
                body_digest: KeyHash::of(&number.to_string()).0,
                nonce: format!("entry-1a2b3c-{number}").parse()?,
                entry: "entry".parse()?,
                epoch: LeaseEpoch(1),
                allowed_ms: 60_000,
            };
            let settle = SettleCommand {
                account: claim.account.clone(),
                key: claim.key.clone(),
                nonce: claim.nonce.clone(),
                verdict: ClaimVerdict::Done(KeptAnswer::new(200, "text/plain".into(), &[7; 100])),
            };
            index = index.next();
            state.apply(index, &stamped(ReplicatedCommand::Claim(claim)));
            index = index.next();
            state.apply(index, &stamped(ReplicatedCommand::Settle(settle)));
        }
        println!(
            "| {} | {:.1} us | {:.1} MB | {:.1} MB |",
            state.claim_count(),
            started.elapsed().as_secs_f64() * 1e6 / count as f64,
            state.to_snapshot().len() as f64 / 1e6,
            resident()?.saturating_sub(before) as f64 / 1e6
        );
    }
    println!();
    Ok(())
}

fn measure_log_length() -> Result<()> {
    println!("| entries in the log | recovery | size on disk | append and sync of one entry |");
    println!("|---|---|---|---|");
    for count in [1_000_u64, 10_000, 100_000] {
        let folder = tempfile::tempdir()?;
        let payload: std::sync::Arc<[u8]> = vec![7; 220].into();
        let entry = |index: u64| {
            LogRecord::Entry(StoredEntry {
                index: LogIndex(index),
                term: LeaderTerm(1),
                payload: payload.clone(),
            })
        };
        let (mut store, _) = LogStore::open(DiskFolder::open(folder.path())?.0, 8 << 20)?;
        for first in (1..=count).step_by(100) {
            let batch: Vec<LogRecord> = (first..first + 100).map(entry).collect();
            store.append(&batch)?;
        }
        let started = Instant::now();
        for index in count + 1..count + 101 {
            store.append(&[entry(index)])?;
        }
        let sync = started.elapsed() / 100;
        drop(store);
        let mut size = 0;
        for file in std::fs::read_dir(folder.path())? {
            size += file?.metadata()?.len();
        }
        let started = Instant::now();
        let (_, log) = LogStore::open(DiskFolder::open(folder.path())?.0, 8 << 20)?;
        println!(
            "| {} | {:.0} ms | {:.1} MB | {:.2} ms |",
            log.entries.len(),
            started.elapsed().as_secs_f64() * 1e3,
            size as f64 / 1e6,
            sync.as_secs_f64() * 1e3
        );
    }
    println!();
    Ok(())
}

/// Measures the latency of a change and the processor time and memory of an idle daemon, by number
/// of daemons. The deployments have no engines.
async fn measure_followers() -> Result<()> {
    println!(
        "| daemons (3 vote) | accepted p50 | p99 | in force everywhere p50 | p99 | idle, per \
         daemon | memory per daemon |"
    );
    println!("|---|---|---|---|---|---|---|");
    for per_data_centre in [1, 3, 10, 20] {
        let before = resident()?;
        let plan = FleetPlan {
            daemons_per_data_centre: per_data_centre,
            engines: 0,
            services: 0,
            ..FleetPlan::default()
        };
        let fleet = Fleet::start(plan).await?;
        let count = fleet.len();
        let mut table = LatencyTable::default();
        for number in 0..100 {
            let daemon = fleet.operators(number % count);
            let spec = ObjectSpec::Model(ModelSpec {
                version: "1".into(),
                adapters: Vec::new(),
                replicas: Default::default(),
                max_prompt: TokenCount(10),
            });
            let name = format!("m-{number}");
            let started = Instant::now();
            let answer = fleet.operator.put(daemon, &format!("c-{number}"), &name, 0, spec).await?;
            table.record("accepted", started.elapsed());
            fleet.operator.wait_in_force(daemon, answer.config_revision).await?;
            table.record("in force", started.elapsed());
        }
        let memory = resident()?.saturating_sub(before);
        let cpu = process_usage(std::process::id())?.cpu;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let cpu = process_usage(std::process::id())?.cpu - cpu;
        let ms = |row, quantile| table.quantile_ms(row, quantile).unwrap_or_default();
        println!(
            "| {count} | {:.1} ms | {:.1} ms | {:.1} ms | {:.1} ms | {:.2} % of a core | {:.1} MB |",
            ms("accepted", 0.5),
            ms("accepted", 0.99),
            ms("in force", 0.5),
            ms("in force", 0.99),
            cpu.as_secs_f64() / 5.0 * 100.0 / count as f64,
            memory as f64 / 1e6 / count as f64
        );
    }
    Ok(())
}
