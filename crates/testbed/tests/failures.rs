//! Failures of daemons, real ones on loopback: kills, silent isolation, lost disks, restarts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use oriolepass_schema::error::{ErrorCode, RanState};
use oriolepass_schema::operator::{AuditTrailView, ModelSpec, ObjectList, ObjectSpec};
use oriolepass_standin::{CallerError, CompletionRequest, TestCaller};
use oriolepass_testbed::{Fleet, FleetPlan, MODEL, SERVICE, account_key, text_prompt};
use oriolepass_units::{InstanceId, ObjectRevision, TokenCount};
use tokio::sync::Mutex;

/// Fleets run one after the other: several at once would starve each other of processors.
static ONE_FLEET: Mutex<()> = Mutex::const_new(());

fn model(version: u64) -> ObjectSpec {
    ObjectSpec::Model(ModelSpec {
        version: version.to_string(),
        adapters: Vec::new(),
        replicas: Default::default(),
        max_prompt: TokenCount(1_000),
    })
}

fn call(seed: u64, answer: u64) -> CompletionRequest {
    CompletionRequest {
        model: MODEL.to_owned(),
        prompt: text_prompt(seed, 500),
        max_tokens: answer,
        deadline: Duration::from_secs(30),
        once: None,
    }
}

fn caller() -> TestCaller {
    TestCaller::new(&account_key(0))
}

async fn leader_of(fleet: &Fleet, ask: usize) -> usize {
    for _ in 0..400 {
        let status = fleet.operator.status(fleet.operators(ask)).await;
        let leader = status.ok().and_then(|status| status.leader);
        if let Some(number) = leader.and_then(|leader| number_of(fleet, &leader)) {
            return number;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("no leader");
}

fn number_of(fleet: &Fleet, instance: &InstanceId) -> Option<usize> {
    (0..fleet.len()).find(|number| fleet.settings(*number).instance.id == *instance)
}

async fn objects(fleet: &Fleet, number: usize) -> ObjectList {
    for _ in 0..400 {
        let path = "/v1/objects?kind=model";
        let list = fleet.operator.get(fleet.operators(number), path).await;
        if let Some(list) = list.ok().and_then(|list| serde_json::from_value(list).ok()) {
            return list;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("daemon {number} lists nothing");
}

/// Waits until a daemon has a revision in force.
async fn wait_revision(fleet: &Fleet, number: usize, revision: ObjectRevision) -> ObjectList {
    for _ in 0..600 {
        let list = objects(fleet, number).await;
        if list.config_revision >= revision {
            return list;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("daemon {number} never reached revision {revision}");
}

/// Accepts changes through one daemon for as long as the flag is set; returns what was accepted.
fn change_load(
    fleet: &Fleet,
    through: usize,
    tag: &'static str,
    run: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<BTreeSet<String>> {
    let (operator, daemon) = (fleet.operator.clone(), fleet.operators(through));
    let run = Arc::clone(run);
    tokio::spawn(async move {
        let mut accepted = BTreeSet::new();
        let mut number = 0;
        while run.load(Ordering::SeqCst) {
            let name = format!("{tag}-{number}");
            let id = format!("change-{name}");
            operator.put(daemon, &id, &name, 0, model(1)).await.expect("accepted in the end");
            accepted.insert(name);
            number += 1;
        }
        accepted
    })
}

fn names(list: &ObjectList) -> BTreeSet<String> {
    list.objects.iter().map(|object| object.name.clone()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_the_death_of_the_leader() {
    let _one = ONE_FLEET.lock().await;
    // Six daemons, three of them without a disk.
    let plan =
        FleetPlan { daemons_per_data_centre: 2, engines: 0, services: 0, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let before = objects(&fleet, 5).await.config_revision;
    let run = Arc::new(AtomicBool::new(true));
    // Two operators, each through a daemon without a disk, that resend when answers get lost.
    let loads = [change_load(&fleet, 3, "left", &run), change_load(&fleet, 4, "right", &run)];
    tokio::time::sleep(Duration::from_millis(500)).await;
    let leader = leader_of(&fleet, 5).await;
    fleet.kill(leader).await.expect("killed");
    tokio::time::sleep(Duration::from_secs(3)).await;
    run.store(false, Ordering::SeqCst);
    let mut accepted = BTreeSet::new();
    for load in loads {
        accepted.extend(load.await.expect("no refusal"));
    }
    fleet.restart(leader).await.expect("restarted");
    // Each accepted change counts once, whatever was resent.
    let revision = ObjectRevision(before.0 + accepted.len() as u64);
    for number in 0..fleet.len() {
        let list = wait_revision(&fleet, number, revision).await;
        assert_eq!(list.config_revision, revision, "a change was applied twice");
        assert!(accepted.is_subset(&names(&list)), "daemon {number} lost an accepted change");
    }
    let trail = fleet.operator.get(fleet.operators(0), "/v1/audit").await.expect("a trail");
    let trail: AuditTrailView = serde_json::from_value(trail).expect("a trail");
    assert_eq!(trail.verify(), Ok(()));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { engines: 0, services: 0, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    for round in 0..10 {
        let name = format!("contested-{round}");
        let put = |number: usize| {
            let (operator, daemon) = (fleet.operator.clone(), fleet.operators(number));
            let (id, name) = (format!("race-{round}-{number}"), name.clone());
            async move { operator.put(daemon, &id, &name, 0, model(number as u64)).await }
        };
        let (left, right) = tokio::join!(put(0), put(1));
        let refusal = match (&left, &right) {
            (Ok(_), Err(refusal)) | (Err(refusal), Ok(_)) => refusal.to_string(),
            other => panic!("one of two must win, not {other:?}"),
        };
        assert!(
            refusal.contains("conflict") && refusal.contains("\"present_revision\":1"),
            "{refusal}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_leader_accepts_nothing_and_serves_no_old_configuration() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let old = leader_of(&fleet, 0).await;
    let other = (old + 1) % 3;
    fleet.daemon(old).peer_faults().set_isolated(true);
    let put = fleet.operator.put(fleet.operators(other), "cut-1", "after-the-cut", 0, model(1));
    let accepted = put.await.expect("the others elect a leader");
    // The isolated one still runs and can be reached, but neither serves nor shows what is not
    // in force any more.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let refused = caller().complete(fleet.callers(old), &call(1, 4)).await;
    let Err(CallerError::Api(error)) = refused else { panic!("{refused:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::NotReady, RanState::No));
    caller().complete(fleet.callers(other), &call(2, 4)).await.expect("the others serve");
    fleet.daemon(old).peer_faults().set_isolated(false);
    let list = wait_revision(&fleet, old, accepted.config_revision).await;
    assert!(names(&list).contains("after-the-cut"));
    fleet.wait_until_live().await.expect("whole again");
    caller().complete(fleet.callers(old), &call(3, 4)).await.expect("it serves again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_missed_500_changes_comes_back_current() {
    let _one = ONE_FLEET.lock().await;
    let plan =
        FleetPlan { daemons_per_data_centre: 2, engines: 0, services: 0, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let leader = leader_of(&fleet, 0).await;
    // One with a disk and one without.
    let voter = (leader + 1) % 3;
    let follower = 5;
    fleet.kill(voter).await.expect("killed");
    fleet.kill(follower).await.expect("killed");
    let daemon = fleet.operators(leader);
    let mut revision = ObjectRevision::ZERO;
    for batch in 0..10 {
        let puts = (0..50).map(|number| {
            let (operator, name) = (fleet.operator.clone(), format!("m-{batch}-{number}"));
            async move { operator.put(daemon, &format!("c-{name}"), &name, 0, model(1)).await }
        });
        for put in puts.map(tokio::spawn).collect::<Vec<_>>() {
            let answer = put.await.expect("no panic").expect("accepted");
            revision = revision.max(answer.config_revision);
        }
    }
    for number in [voter, follower] {
        fleet.restart(number).await.expect("restarted");
        // The first state that it shows at all is the current one.
        let first = objects(&fleet, number).await;
        assert!(first.config_revision >= revision, "an older state was shown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_is_repaired_and_another_loss_right_after_is_borne() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan {
        daemons_per_data_centre: 2,
        voters: 5,
        engines: 0,
        services: 0,
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let leader = leader_of(&fleet, 5).await;
    let daemon = fleet.operators(leader);
    fleet.operator.put(daemon, "d-1", "one", 0, model(1)).await.expect("accepted");
    let first = (leader + 1) % 5;
    fleet.kill(first).await.expect("killed");
    fleet.delete_data_folder(first).expect("lost");
    fleet.operator.put(daemon, "d-2", "two", 0, model(1)).await.expect("accepted");
    fleet.restart(first).await.expect("restarted");
    // The second loss comes before anything has settled.
    let second = (leader + 2) % 5;
    fleet.kill(second).await.expect("killed");
    fleet.delete_data_folder(second).expect("lost");
    fleet.operator.put(daemon, "d-3", "three", 0, model(1)).await.expect("accepted");
    fleet.restart(second).await.expect("restarted");
    let answer = fleet.operator.put(daemon, "d-4", "four", 0, model(1)).await.expect("accepted");
    for number in 0..fleet.len() {
        let list = wait_revision(&fleet, number, answer.config_revision).await;
        let wanted: BTreeSet<String> = ["one", "two", "three", "four"].map(str::to_owned).into();
        assert!(wanted.is_subset(&names(&list)), "daemon {number} lost a change");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_moves_to_another_instance() {
    let _one = ONE_FLEET.lock().await;
    let plan =
        FleetPlan { daemons_per_data_centre: 2, engines: 0, services: 0, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let before = fleet.operators(5);
    fleet.operator.put(before, "v-1", "one", 0, model(1)).await.expect("accepted");
    // Voter 2 is gone for good; daemon 3, so far without a disk, takes its place.
    fleet.kill(2).await.expect("killed");
    fleet.kill(3).await.expect("killed");
    let folder = tempfile::tempdir().expect("a folder");
    let own = fleet.settings(3).clone();
    let settings = fleet.settings_mut(3);
    settings.instance.data_folder = Some(folder.path().join("data"));
    settings.voters[2] = oriolepass_settings::VoterAddress {
        instance: own.instance.id.clone(),
        peers: own.listen.peers,
    };
    fleet.restart(3).await.expect("restarted");
    let wanted: Vec<InstanceId> =
        [0, 1, 3].iter().map(|number| fleet.settings(*number).instance.id.clone()).collect();
    let body = serde_json::json!({ "wanted": wanted }).to_string();
    let mut answer = String::new();
    for _ in 0..200 {
        let sent = fleet.operator.call(before, "POST", "/v1/voters", body.clone()).await;
        let done = sent.as_ref().is_ok_and(|answer| answer.status == 200);
        answer = sent.map_or_else(|error| error.to_string(), |answer| answer.body);
        if done {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(answer.contains("wanted"), "{answer}");
    // Only if the new voter counts can one of the two old ones be missed.
    let settled = |status: &oriolepass_schema::operator::StatusAnswer| {
        let voters: BTreeSet<&InstanceId> = status.voters.iter().collect();
        voters == wanted.iter().collect() && status.learners.is_empty()
    };
    let mut last = None;
    for _ in 0..400 {
        last = fleet.operator.status(before).await.ok();
        if last.as_ref().is_some_and(settled) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(last.as_ref().is_some_and(settled), "{last:?}");
    fleet.kill(0).await.expect("killed");
    let answer = fleet.operator.put(before, "v-2", "two", 0, model(1)).await.expect("accepted");
    for number in [1, 3, 4, 5] {
        let list = wait_revision(&fleet, number, answer.config_revision).await;
        let wanted: BTreeSet<String> = ["one", "two"].map(str::to_owned).into();
        assert!(wanted.is_subset(&names(&list)), "daemon {number} lost a change");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_prompts_go_on_and_confirmations_are_refused_as_not_run() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { engines: 6, services: 3, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let leader = leader_of(&fleet, 0).await;
    let left = (leader + 2) % 3;
    fleet.kill(leader).await.expect("killed");
    fleet.kill((leader + 1) % 3).await.expect("killed");
    tokio::time::sleep(Duration::from_secs(6)).await;
    caller().complete(fleet.callers(left), &call(1, 4)).await.expect("prompts go on");
    let refused =
        caller().call_service(fleet.callers(left), SERVICE, "confirm", Some("key-1")).await;
    let Err(CallerError::Api(error)) = refused else { panic!("{refused:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::NoQuorum, RanState::No));
    let runs: usize = fleet.services.iter().map(|service| service.runs_of("confirm")).sum();
    assert_eq!(runs, 0, "`not run` must be true");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_survives_the_death_of_its_entry_and_runs_once() {
    let _one = ONE_FLEET.lock().await;
    let mut fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let leader = leader_of(&fleet, 0).await;
    fleet.services[0].set_delay(Duration::from_millis(600));
    let entry = (leader + 1) % 3;
    let address = fleet.callers(entry);
    let first = tokio::spawn(async move {
        caller().call_service(address, SERVICE, "payout", Some("payout-9")).await
    });
    for _ in 0..200 {
        if fleet.services[0].runs_of("payout") > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.kill(entry).await.expect("killed");
    let _ = first.await;
    // Through another daemon, then through the restarted one, in every phase.
    let other = fleet.callers(leader);
    for _ in 0..20 {
        let again = caller().call_service(other, SERVICE, "payout", Some("payout-9")).await;
        let Err(CallerError::Api(error)) = again else { panic!("{again:?}") };
        assert!(matches!(error.code, ErrorCode::StillRunning | ErrorCode::OutcomeUnknown));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    fleet.restart(entry).await.expect("restarted");
    for _ in 0..400 {
        if fleet.daemon(entry).is_ready() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let again = caller().call_service(address, SERVICE, "payout", Some("payout-9")).await;
    let Err(CallerError::Api(error)) = again else { panic!("{again:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::OutcomeUnknown, RanState::Unknown));
    assert_eq!(fleet.services[0].runs_of("payout"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_death_of_a_home_fails_no_request_of_the_others() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { daemons_per_data_centre: 2, engines: 6, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let homes = homes_of(&fleet).await;
    let victim = *homes.first().expect("a home");
    let entry = (0..fleet.len()).find(|n| !homes.contains(n)).expect("one that is no home");
    let run = Arc::new(AtomicBool::new(true));
    let done = Arc::new(AtomicU64::new(0));
    let load = prompt_load(&fleet, entry, &run, &done);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.kill(victim).await.expect("killed");
    tokio::time::sleep(Duration::from_secs(6)).await;
    run.store(false, Ordering::SeqCst);
    let failures = load.await.expect("no panic");
    assert!(failures.is_empty(), "{failures:?}");
    assert!(done.load(Ordering::SeqCst) > 100);
    fleet.wait_until_live().await.expect("the endpoints found their new home");
}

async fn homes_of(fleet: &Fleet) -> Vec<usize> {
    let mut homes = Vec::new();
    for number in fleet.running() {
        let status = fleet.operator.status(fleet.operators(number)).await.expect("a status");
        if !status.endpoints.is_empty() {
            homes.push(number);
        }
    }
    homes
}

/// Sends prompts through one daemon, eight at a time, for as long as the flag is set; returns
/// the failures.
fn prompt_load(
    fleet: &Fleet,
    entry: usize,
    run: &Arc<AtomicBool>,
    done: &Arc<AtomicU64>,
) -> tokio::task::JoinHandle<Vec<CallerError>> {
    let address = fleet.callers(entry);
    let (run, done) = (Arc::clone(run), Arc::clone(done));
    tokio::spawn(async move {
        let mut tasks = tokio::task::JoinSet::new();
        for worker in 0..8_u64 {
            let (run, done) = (Arc::clone(&run), Arc::clone(&done));
            tasks.spawn(async move {
                let mut failures = Vec::new();
                let mut seed = worker * 100_000;
                while run.load(Ordering::SeqCst) {
                    seed += 1;
                    match caller().complete(address, &call(seed, 10)).await {
                        Ok(_) => {
                            done.fetch_add(1, Ordering::SeqCst);
                        }
                        Err(error) => failures.push(error),
                    }
                }
                failures
            });
        }
        tasks.join_all().await.into_iter().flatten().collect()
    })
}

/// Callers as the brief has them: they ask for addresses, keep the answer for as long as it may
/// be kept, and connect there.
fn polite_load(
    fleet: &Fleet,
    run: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<(u64, Vec<CallerError>)> {
    let daemons: Vec<_> = (0..fleet.len()).map(|number| fleet.callers(number)).collect();
    let run = Arc::clone(run);
    tokio::spawn(async move {
        let mut tasks = tokio::task::JoinSet::new();
        for worker in 0..6_usize {
            let (run, daemons) = (Arc::clone(&run), daemons.clone());
            tasks.spawn(async move {
                let (mut done, mut failures) = (0, Vec::new());
                let caller = TestCaller::new(&account_key(worker % 2));
                let mut seed = worker as u64 * 100_000;
                while run.load(Ordering::SeqCst) {
                    let mut list = None;
                    for daemon in daemons.iter().cycle().skip(worker).take(daemons.len()) {
                        list = caller.addresses(*daemon).await.ok();
                        if list.is_some() {
                            break;
                        }
                    }
                    let Some(list) = list else { continue };
                    let until =
                        std::time::Instant::now() + Duration::from_millis(list.keep_ms * 9 / 10);
                    while std::time::Instant::now() < until && run.load(Ordering::SeqCst) {
                        seed += 1;
                        let address = list.addresses[worker % list.addresses.len()].address;
                        match caller.complete(address, &call(seed, 40)).await {
                            Ok(_) => done += 1,
                            Err(error) => failures.push(error),
                        }
                    }
                }
                (done, failures)
            });
        }
        tasks.join_all().await.into_iter().fold((0, Vec::new()), |mut sum, (done, failures)| {
            sum.0 += done;
            sum.1.extend(failures);
            sum
        })
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_fails_no_request() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { engines: 6, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let run = Arc::new(AtomicBool::new(true));
    let load = polite_load(&fleet, &run);
    for number in 0..fleet.len() {
        let given_up = fleet.drain(number).await.expect("drained");
        assert_eq!(given_up, 0, "a graceful shutdown cut off requests");
        fleet.restart(number).await.expect("restarted");
        fleet.wait_until_live().await.expect("served again");
    }
    run.store(false, Ordering::SeqCst);
    let (done, failures) = load.await.expect("no panic");
    assert!(failures.is_empty(), "{} of {done}: {failures:?}", failures.len());
    assert!(done > 100);
}
