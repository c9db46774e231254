//! Tests failures of real daemons on loopback: crashes, network isolation, lost disks and restarts.

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
use tokio::task::JoinSet;

/// Serializes the tests. Concurrent fleets would starve each other of processor time.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());

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
        caller_key: None,
    }
}

fn caller() -> TestCaller {
    TestCaller::new(&account_key(0))
}

async fn leader_of(fleet: &Fleet, through: usize) -> usize {
    for _ in 0..400 {
        let status = fleet.operator.status(fleet.operators(through)).await;
        let leader = status.ok().and_then(|status| status.leader);
        if let Some(number) = leader.and_then(|leader| daemon_number(fleet, &leader)) {
            return number;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("no leader was elected within 10 s");
}

fn daemon_number(fleet: &Fleet, instance: &InstanceId) -> Option<usize> {
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
    panic!("daemon {number} did not list its objects within 10 s");
}

/// Waits until a daemon has a revision in force and returns its list of models.
async fn wait_revision(fleet: &Fleet, number: usize, revision: ObjectRevision) -> ObjectList {
    for _ in 0..600 {
        let list = objects(fleet, number).await;
        if list.config_revision >= revision {
            return list;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("daemon {number} did not reach revision {revision}");
}

/// Submits changes through one daemon while the flag is set. Returns the names of the accepted
/// objects.
fn change_load(
    fleet: &Fleet,
    through: usize,
    tag: &'static str,
    keep_running: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<BTreeSet<String>> {
    let (operator, daemon) = (fleet.operator.clone(), fleet.operators(through));
    let keep_running = Arc::clone(keep_running);
    tokio::spawn(async move {
        let mut accepted = BTreeSet::new();
        let mut number = 0;
        while keep_running.load(Ordering::SeqCst) {
            let name = format!("{tag}-{number}");
            let id = format!("change-{name}");
            operator
                .put(daemon, &id, &name, 0, model(1))
                .await
                .expect("the change is accepted after resends");
            accepted.insert(name);
            number += 1;
        }
        accepted
    })
}

fn names(list: &ObjectList) -> BTreeSet<String> {
    list.objects.iter().map(|object| object.name.clone()).collect()
}

// Guards against accepted changes that are lost, or resent changes that are applied twice, when the
// leader crashes under load.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_leader_crash() {
    let _guard = FLEET_LOCK.lock().await;
    // Six daemons, three of which have no disk.
    let plan =
        FleetPlan { daemons_per_data_centre: 2, engines: 0, services: 0, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let before = objects(&fleet, 5).await.config_revision;
    let keep_running = Arc::new(AtomicBool::new(true));
    // Two operators submit changes through daemons without a disk and resend after a lost response.
    let loads = [
        change_load(&fleet, 3, "left", &keep_running),
        change_load(&fleet, 4, "right", &keep_running),
    ];
    tokio::time::sleep(Duration::from_millis(500)).await;
    let leader = leader_of(&fleet, 5).await;
    fleet.kill(leader).await.expect("killed");
    tokio::time::sleep(Duration::from_secs(3)).await;
    keep_running.store(false, Ordering::SeqCst);
    let mut accepted = BTreeSet::new();
    for load in loads {
        accepted.extend(load.await.expect("no change is refused"));
    }
    fleet.restart(leader).await.expect("restarted");
    // Each accepted change raises the revision once, however often the change was resent.
    let revision = ObjectRevision(before.0 + accepted.len() as u64);
    for number in 0..fleet.len() {
        let list = wait_revision(&fleet, number, revision).await;
        assert_eq!(list.config_revision, revision, "daemon {number}: a change was applied twice");
        assert!(accepted.is_subset(&names(&list)), "daemon {number} lost an accepted change");
    }
    let trail = fleet.operator.get(fleet.operators(0), "/v1/audit").await.expect("a trail");
    let trail: AuditTrailView = serde_json::from_value(trail).expect("a trail");
    assert_eq!(trail.verify(), Ok(()));
}

// Guards against lost updates: of two operators that create the same object at the same time, one
// must be refused with the revision that is present.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_writes_is_refused_with_a_conflict() {
    let _guard = FLEET_LOCK.lock().await;
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
            other => panic!("expected one accepted and one refused write, not {other:?}"),
        };
        assert!(
            refusal.contains("conflict") && refusal.contains("\"present_revision\":1"),
            "{refusal}"
        );
    }
}

// Guards against stale reads: a leader that loses its peers must stop serving once its
// configuration may be outdated, and must catch up after the partition heals.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_leader_refuses_requests_and_serves_no_stale_configuration() {
    let _guard = FLEET_LOCK.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let isolated = leader_of(&fleet, 0).await;
    let other = (isolated + 1) % 3;
    fleet.daemon(isolated).peer_faults().set_isolated(true);
    let put = fleet.operator.put(fleet.operators(other), "cut-1", "after-the-cut", 0, model(1));
    let accepted = put.await.expect("the other daemons elect a leader");
    // The isolated daemon still runs and is reachable, but neither serves requests nor lists
    // objects that are no longer in force.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let refused = caller().complete(fleet.callers(isolated), &call(1, 4)).await;
    let Err(CallerError::Api(error)) = refused else { panic!("{refused:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::NotReady, RanState::No));
    caller().complete(fleet.callers(other), &call(2, 4)).await.expect("the other daemons serve");
    fleet.daemon(isolated).peer_faults().set_isolated(false);
    let list = wait_revision(&fleet, isolated, accepted.config_revision).await;
    assert!(names(&list).contains("after-the-cut"));
    fleet.wait_until_live().await.expect("the fleet is live after the partition");
    caller()
        .complete(fleet.callers(isolated), &call(3, 4))
        .await
        .expect("the rejoined daemon serves");
}

// Guards against a daemon that answers from an old state while it catches up after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_that_missed_500_changes_serves_the_current_configuration() {
    let _guard = FLEET_LOCK.lock().await;
    let plan =
        FleetPlan { daemons_per_data_centre: 2, engines: 0, services: 0, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let leader = leader_of(&fleet, 0).await;
    // The voter has a disk, the follower has none.
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
        // The first list that the daemon returns is already the current one.
        let first = objects(&fleet, number).await;
        assert!(first.config_revision >= revision, "daemon {number} listed an outdated state");
    }
}

// Guards against accepted changes that are lost when a second voter loses its disk right after the
// first.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_two_disk_losses_in_quick_succession() {
    let _guard = FLEET_LOCK.lock().await;
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
    fleet.delete_data_folder(first).expect("deleted");
    fleet.operator.put(daemon, "d-2", "two", 0, model(1)).await.expect("accepted");
    fleet.restart(first).await.expect("restarted");
    // The second disk is lost without waiting for the first voter to catch up.
    let second = (leader + 2) % 5;
    fleet.kill(second).await.expect("killed");
    fleet.delete_data_folder(second).expect("deleted");
    fleet.operator.put(daemon, "d-3", "three", 0, model(1)).await.expect("accepted");
    fleet.restart(second).await.expect("restarted");
    let answer = fleet.operator.put(daemon, "d-4", "four", 0, model(1)).await.expect("accepted");
    for number in 0..fleet.len() {
        let list = wait_revision(&fleet, number, answer.config_revision).await;
        let wanted: BTreeSet<String> = ["one", "two", "three", "four"].map(str::to_owned).into();
        assert!(wanted.is_subset(&names(&list)), "daemon {number} lost a change");
    }
}

// Guards against a voter change that is reported as done while the new voter does not yet count
// towards the quorum.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_voter_is_replaced_by_another_instance() {
    let _guard = FLEET_LOCK.lock().await;
    let plan =
        FleetPlan { daemons_per_data_centre: 2, engines: 0, services: 0, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let daemon = fleet.operators(5);
    fleet.operator.put(daemon, "v-1", "one", 0, model(1)).await.expect("accepted");
    // Voter 2 fails permanently. Daemon 3, which had no disk before, replaces it.
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
        let sent = fleet.operator.call(daemon, "POST", "/v1/voters", body.clone()).await;
        let done = sent.as_ref().is_ok_and(|answer| answer.status == 200);
        answer = sent.map_or_else(|error| error.to_string(), |answer| answer.body);
        if done {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(answer.contains("wanted"), "{answer}");
    // With voter 0 killed below, changes are accepted only if the new voter counts.
    let settled = |status: &oriolepass_schema::operator::StatusAnswer| {
        let voters: BTreeSet<&InstanceId> = status.voters.iter().collect();
        voters == wanted.iter().collect() && status.learners.is_empty()
    };
    let mut last = None;
    for _ in 0..400 {
        last = fleet.operator.status(daemon).await.ok();
        if last.as_ref().is_some_and(settled) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(last.as_ref().is_some_and(settled), "{last:?}");
    fleet.kill(0).await.expect("killed");
    let answer = fleet.operator.put(daemon, "v-2", "two", 0, model(1)).await.expect("accepted");
    for number in [1, 3, 4, 5] {
        let list = wait_revision(&fleet, number, answer.config_revision).await;
        let wanted: BTreeSet<String> = ["one", "two"].map(str::to_owned).into();
        assert!(wanted.is_subset(&names(&list)), "daemon {number} lost a change");
    }
}

// Guards against prompts that fail without a quorum, which they do not need, and against
// confirmations (service calls that must not run twice) that run although the caller is told that
// they did not.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_prompts_are_served_and_confirmations_are_refused_as_not_run() {
    let _guard = FLEET_LOCK.lock().await;
    let plan = FleetPlan { engines: 6, services: 3, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let leader = leader_of(&fleet, 0).await;
    let survivor = (leader + 2) % 3;
    fleet.kill(leader).await.expect("killed");
    fleet.kill((leader + 1) % 3).await.expect("killed");
    tokio::time::sleep(Duration::from_secs(6)).await;
    caller()
        .complete(fleet.callers(survivor), &call(1, 4))
        .await
        .expect("prompts are served without a quorum");
    let refused =
        caller().call_service(fleet.callers(survivor), SERVICE, "confirm", Some("key-1")).await;
    let Err(CallerError::Api(error)) = refused else { panic!("{refused:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::NoQuorum, RanState::No));
    let runs: usize = fleet.services.iter().map(|service| service.runs_of("confirm")).sum();
    assert_eq!(runs, 0, "a confirmation refused as not run has run");
}

// Guards against a second run of a confirmation whose entry, the daemon that took the request,
// crashes while the service runs it. Resends must get `StillRunning` or `OutcomeUnknown`.
#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_runs_once_when_its_entry_crashes() {
    let _guard = FLEET_LOCK.lock().await;
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
    // Resends go through another daemon for four seconds, then through the restarted entry.
    let other = fleet.callers(leader);
    for _ in 0..20 {
        let resent = caller().call_service(other, SERVICE, "payout", Some("payout-9")).await;
        let Err(CallerError::Api(error)) = resent else { panic!("{resent:?}") };
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
    let resent = caller().call_service(address, SERVICE, "payout", Some("payout-9")).await;
    let Err(CallerError::Api(error)) = resent else { panic!("{resent:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::OutcomeUnknown, RanState::Unknown));
    assert_eq!(fleet.services[0].runs_of("payout"), 1);
}

// Guards against failed prompts when a home, the daemon that schedules work on its endpoints,
// crashes. Prompts enter through a daemon that is not a home.
#[tokio::test(flavor = "multi_thread")]
async fn a_home_crash_fails_no_request_through_other_daemons() {
    let _guard = FLEET_LOCK.lock().await;
    let plan = FleetPlan { daemons_per_data_centre: 2, engines: 6, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let homes = homes_of(&fleet).await;
    let victim = *homes.first().expect("a home");
    let entry = (0..fleet.len()).find(|n| !homes.contains(n)).expect("a daemon that is not a home");
    let keep_running = Arc::new(AtomicBool::new(true));
    let done = Arc::new(AtomicU64::new(0));
    let load = prompt_load(&fleet, entry, &keep_running, &done);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.kill(victim).await.expect("killed");
    tokio::time::sleep(Duration::from_secs(6)).await;
    keep_running.store(false, Ordering::SeqCst);
    let failures = load.await.expect("no panic");
    assert!(failures.is_empty(), "{failures:?}");
    assert!(done.load(Ordering::SeqCst) > 100);
    fleet.wait_until_live().await.expect("the endpoints are live at a new home");
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

/// Sends prompts through one daemon, eight at a time, while the flag is set. Returns the failures.
fn prompt_load(
    fleet: &Fleet,
    entry: usize,
    keep_running: &Arc<AtomicBool>,
    done: &Arc<AtomicU64>,
) -> tokio::task::JoinHandle<Vec<CallerError>> {
    let address = fleet.callers(entry);
    let (keep_running, done) = (Arc::clone(keep_running), Arc::clone(done));
    tokio::spawn(async move {
        let mut tasks = tokio::task::JoinSet::new();
        for worker in 0..8_u64 {
            let (keep_running, done) = (Arc::clone(&keep_running), Arc::clone(&done));
            tasks.spawn(async move {
                let mut failures = Vec::new();
                let mut seed = worker * 100_000;
                while keep_running.load(Ordering::SeqCst) {
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

/// Sends prompts as callers are required to: each worker requests addresses, keeps the list for
/// 9/10 of its validity and connects to an address from it. Returns the number of answered prompts
/// and the failures.
fn address_refreshing_load(
    fleet: &Fleet,
    keep_running: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<(u64, Vec<CallerError>)> {
    let daemons: Vec<_> = (0..fleet.len()).map(|number| fleet.callers(number)).collect();
    let keep_running = Arc::clone(keep_running);
    tokio::spawn(async move {
        let mut tasks = tokio::task::JoinSet::new();
        for worker in 0..6_usize {
            let (keep_running, daemons) = (Arc::clone(&keep_running), daemons.clone());
            tasks.spawn(async move {
                let (mut done, mut failures) = (0, Vec::new());
                let caller = TestCaller::new(&account_key(worker % 2));
                let mut seed = worker as u64 * 100_000;
                while keep_running.load(Ordering::SeqCst) {
                    let mut list = None;
                    for daemon in daemons.iter().cycle().skip(worker).take(daemons.len()) {
                        list = caller.addresses(*daemon).await.ok();
                        if list.is_some() {
                            break;
                        }
                    }
                    let Some(list) = list else { continue };
                    let expiry =
                        std::time::Instant::now() + Duration::from_millis(list.keep_ms * 9 / 10);
                    while std::time::Instant::now() < expiry && keep_running.load(Ordering::SeqCst)
                    {
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

// Guards against requests that fail while each daemon in turn is drained and restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_fails_no_request() {
    let _guard = FLEET_LOCK.lock().await;
    let plan = FleetPlan { engines: 6, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let keep_running = Arc::new(AtomicBool::new(true));
    let load = address_refreshing_load(&fleet, &keep_running);
    for number in 0..fleet.len() {
        let aborted = fleet.drain(number).await.expect("drained");
        assert_eq!(aborted, 0, "the drain of daemon {number} aborted requests");
        fleet.restart(number).await.expect("restarted");
        fleet.wait_until_live().await.expect("all endpoints are live");
    }
    keep_running.store(false, Ordering::SeqCst);
    let (done, failures) = load.await.expect("no panic");
    assert!(failures.is_empty(), "{} failed, {done} answered: {failures:?}", failures.len());
    assert!(done > 100);
}

/// Guards against an operator's query that returns an object as it was before a change that the same
/// daemon has answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_visible_at_once_at_the_daemon_that_answered_it() {
    let _guard = FLEET_LOCK.lock().await;
    let plan = FleetPlan { engines: 0, services: 0, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    let change_and_read = |number: usize| {
        let (operator, daemon) = (fleet.operator.clone(), fleet.operators(number % fleet.len()));
        async move {
            let name = format!("read-{number}");
            let put = operator.put(daemon, &name, &name, 0, model(1)).await;
            put.expect("the change is accepted");
            let path = format!("/v1/objects/model/{name}");
            let answer = operator.call(daemon, "GET", &path, String::new()).await;
            answer.expect("the daemon answers").status
        }
    };
    let mut tasks = JoinSet::new();
    (0..300).for_each(|number| drop(tasks.spawn(change_and_read(number))));
    let answers = tasks.join_all().await;
    let stale = answers.iter().filter(|status| **status != 200).count();
    assert_eq!(stale, 0, "queries answered without the change, of {}", answers.len());
}
