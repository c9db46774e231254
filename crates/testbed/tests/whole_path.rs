//! The whole path on real daemons: callers, endpoints that misbehave, plain services.

use std::sync::atomic::Ordering;
use std::time::Duration;

use oriolepass_schema::error::{ErrorCode, RanState};
use oriolepass_standin::{
    CallerError, CallerReply, CompletionRequest, EngineConfig, ServiceReply, TestCaller, call_json,
    get_text,
};
use oriolepass_testbed::{Fleet, FleetPlan, MODEL, SERVICE, account_key, text_prompt};
use oriolepass_units::TokenCount;
use tokio::sync::Mutex;

/// Fleets run one after the other: several at once would starve each other of processors.
static ONE_FLEET: Mutex<()> = Mutex::const_new(());

fn call(seed: u64, tokens: usize, answer: u64) -> CompletionRequest {
    CompletionRequest {
        model: MODEL.to_owned(),
        prompt: text_prompt(seed, tokens),
        max_tokens: answer,
        deadline: Duration::from_secs(60),
        caller_key: None,
    }
}

fn caller() -> TestCaller {
    TestCaller::new(&account_key(0))
}

async fn complete(fleet: &Fleet, call: &CompletionRequest) -> Result<CallerReply, CallerError> {
    caller().complete(fleet.callers(0), call).await
}

/// Waits until nothing holds engine memory any more, in the ledger and on the engines.
async fn wait_memory_free(fleet: &Fleet) {
    for _ in 0..400 {
        let mut held = 0;
        for number in fleet.running() {
            let status = fleet.operator.status(fleet.operators(number)).await.expect("a status");
            held += status.endpoints.iter().map(|e| e.held.0 + e.unexplained.0).sum::<u64>();
        }
        held += fleet.engines.iter().map(|engine| engine.used().0).sum::<u64>();
        if held == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("memory stays held");
}

fn api_error(result: Result<CallerReply, CallerError>) -> oriolepass_schema::error::ApiError {
    match result {
        Err(CallerError::Api(error)) => error,
        other => panic!("expected an error of the system, not {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_of_all_lengths_are_answered_whole() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { engines: 12, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    for (seed, tokens) in [(1, 1), (2, 1_000), (3, 30_000), (4, 200_000)] {
        let reply = complete(&fleet, &call(seed, tokens, 16)).await.expect("a whole answer");
        assert_eq!(reply.tokens, 16);
    }
    // More than twice the memory of one engine: a group of three.
    let huge = complete(&fleet, &call(5, 1_000_000, 8)).await.expect("a whole answer");
    assert_eq!(huge.tokens, 8);
    wait_memory_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_calls_get_clear_refusals_and_hold_nothing() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let address = fleet.callers(0);
    let post = |key: &'static str, body: String| async move {
        call_json(address, "POST", "/v1/completions", Some(key), body).await.expect("an answer")
    };
    let key: &'static str = Box::leak(account_key(0).into_boxed_str());
    let good = r#"{"model":"oriole-large","prompt":"hi","max_tokens":4"#;
    let cases = [
        (key, "{".to_owned(), 400, "malformed"),
        (key, format!("{good},\"max_tokens\":0}}"), 400, "malformed"),
        (key, format!("{good},\"repeatable\":false}}"), 400, "malformed"),
        (key, format!("{good},\"deadline_ms\":0}}"), 504, "deadline_exceeded"),
        ("wrong-key", format!("{good}}}"), 401, "unauthorized"),
        (oriolepass_testbed::POOL_KEY, format!("{good}}}"), 403, "forbidden"),
        (key, good.replace("oriole-large", "nobody") + "}", 404, "not_found"),
        (
            key,
            format!("{{\"model\":\"{MODEL}\",\"prompt\":\"{}\"}}", "x".repeat(17 << 20)),
            413,
            "too_large",
        ),
    ];
    for (key, body, status, code) in cases {
        let answer = post(key, body).await;
        assert_eq!(answer.status, status, "{}", answer.body);
        let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        assert_eq!(body["error"]["code"], code);
        assert_eq!(body["error"]["ran"], "no");
        assert!(!answer.body.contains("wrong-key"), "a key stands in an error");
    }
    let missing = post(key, good.replace("oriole-large", "nobody") + "}").await;
    assert!(missing.body.contains("there is no model nobody"), "{}", missing.body);
    let answer = get_text(address, "/v1/nothing").await.expect("an answer");
    assert_eq!(answer.status, 404);
    assert!(answer.body.contains("not_found"), "{}", answer.body);
    wait_memory_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_are_answered_in_their_own_shape() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let call = |stream: bool| {
        let message = serde_json::json!({"role": "user", "content": "olá"});
        let body = serde_json::json!({
            "model": MODEL, "messages": [message], "max_tokens": 3, "stream": stream
        });
        let (address, key) = (fleet.callers(0), account_key(0));
        async move {
            let path = "/v1/chat/completions";
            call_json(address, "POST", path, Some(&key), body.to_string()).await.expect("an answer")
        }
    };
    let whole: serde_json::Value = serde_json::from_str(&call(false).await.body).expect("JSON");
    assert_eq!(whole["object"], "chat.completion");
    let text = whole["choices"][0]["message"]["content"].as_str().expect("a message").to_owned();
    assert_eq!(whole["choices"][0]["finish_reason"], "stop");
    let stream = call(true).await.body;
    let pieces: Vec<serde_json::Value> = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("JSON"))
        .collect();
    let joined: String = pieces
        .iter()
        .filter_map(|piece| piece["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(joined, text, "the same prompt gets the same answer from the stand-in");
    assert!(stream.trim_end().ends_with("data: [DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn damaged_answers_are_never_passed_off_as_whole() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { engines: 3, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    let strike_all =
        |fault: fn(&oriolepass_standin::FaultPlan) -> &std::sync::atomic::AtomicU64| {
            fleet.engines.iter().for_each(|e| fault(e.faults()).store(1, Ordering::SeqCst));
        };
    // Crossed and doubled pieces are dropped; the answer is still whole.
    strike_all(|f| &f.wrong_attempt_id);
    strike_all(|f| &f.duplicate_token);
    for seed in 10..16 {
        complete(&fleet, &call(seed, 500, 20)).await.expect("a whole answer");
    }
    // A lost last piece shows at the end, and the request fails rather than pass it off.
    strike_all(|f| &f.truncate);
    let error = api_error(complete(&fleet, &call(20, 500, 20)).await);
    assert_eq!((error.code, error.ran), (ErrorCode::EndpointFailed, RanState::Yes));
    fleet.engines.iter().for_each(|e| e.faults().truncate.store(0, Ordering::SeqCst));
    // A stream that breaks goes on, on another engine, at the exact token.
    fleet.engines[0].faults().disconnect.store(1, Ordering::SeqCst);
    fleet.engines[1].faults().disconnect.store(1, Ordering::SeqCst);
    fleet.engines[2].faults().disconnect.store(1, Ordering::SeqCst);
    let reply = complete(&fleet, &call(21, 500, 20)).await.expect("resumed");
    assert!(reply.attempts > 1, "the fault was never met");
    // A refusal moves on to another engine.
    fleet.engines.iter().for_each(|e| e.faults().disconnect.store(0, Ordering::SeqCst));
    fleet.engines[0].faults().refuse.store(1, Ordering::SeqCst);
    fleet.engines[1].faults().refuse.store(1, Ordering::SeqCst);
    complete(&fleet, &call(22, 500, 20)).await.expect("a whole answer");
    wait_memory_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_engine_fails_no_repeatable_request() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { engines: 6, ..FleetPlan::default() };
    let mut fleet = Fleet::start(plan).await.expect("a fleet");
    let mut tasks = tokio::task::JoinSet::new();
    for seed in 100..160 {
        let (address, call) = (fleet.callers(seed as usize % 3), call(seed, 2_000, 200));
        tasks.spawn(async move { caller().complete(address, &call).await });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let victim = fleet.engines.remove(0);
    victim.kill();
    while let Some(done) = tasks.join_next().await {
        done.expect("no panic").expect("a whole answer");
    }
    drop(victim);
    wait_memory_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_its_engine() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let (address, long) = (fleet.callers(0), call(200, 2_000, 30_000));
    let task = tokio::spawn(async move { caller().complete(address, &long).await });
    let mut seen = TokenCount::ZERO;
    for _ in 0..200 {
        seen = fleet.engines.iter().map(oriolepass_standin::EngineServer::used).sum();
        if seen > TokenCount::ZERO {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(seen > TokenCount::ZERO, "the request never reached an engine");
    task.abort();
    wait_memory_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_ends_at_its_deadline() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let mut late = call(210, 2_000, 30_000);
    late.deadline = Duration::from_millis(400);
    let error = api_error(complete(&fleet, &late).await);
    assert_eq!(error.code, ErrorCode::DeadlineExceeded);
    assert_eq!(error.ran, RanState::Yes);
    wait_memory_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_nothing_new_and_ends_what_it_has() {
    let _one = ONE_FLEET.lock().await;
    let plan = FleetPlan { engines: 3, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    let leaver = &fleet.engines[0];
    leaver.leave().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = leaver.run_counts().0;
    for seed in 300..330 {
        complete(&fleet, &call(seed, 500, 4)).await.expect("a whole answer");
    }
    assert_eq!(leaver.run_counts().0, before, "the leaving engine got new work");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_runs_once_however_often_it_is_sent() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let service = &fleet.services[0];
    service.set_delay(Duration::from_millis(100));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..12 {
        let address = fleet.callers(number % 3);
        tasks.spawn(async move {
            caller().call_service(address, SERVICE, "confirm 7", Some("confirm-7")).await
        });
    }
    let mut answered = 0;
    while let Some(done) = tasks.join_next().await {
        match done.expect("no panic") {
            Ok(ServiceReply { body, .. }) => {
                assert_eq!(body, "done: confirm 7");
                answered += 1;
            }
            Err(CallerError::Api(error)) => assert_eq!(error.code, ErrorCode::StillRunning),
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(answered >= 1);
    assert_eq!(service.runs_of("confirm 7"), 1);
    // Later resends, through every daemon, get the kept answer.
    for number in 0..3 {
        let address = fleet.callers(number);
        let again = caller().call_service(address, SERVICE, "confirm 7", Some("confirm-7")).await;
        assert_eq!(again.expect("kept").body, "done: confirm 7");
    }
    // The same key for something else is refused.
    let other =
        caller().call_service(fleet.callers(1), SERVICE, "confirm 8", Some("confirm-7")).await;
    let Err(CallerError::Api(error)) = other else { panic!("{other:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::CallerKeyReused, RanState::No));
    assert_eq!(service.runs_of("confirm 7"), 1);
    assert_eq!(service.runs_of("confirm 8"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_whose_answer_is_lost_is_unknown_and_not_run_again() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let service = &fleet.services[0];
    service.faults().wrong_attempt_id.store(1, Ordering::SeqCst);
    let first =
        caller().call_service(fleet.callers(0), SERVICE, "payout 1", Some("payout-1")).await;
    let Err(CallerError::Api(error)) = first else { panic!("{first:?}") };
    assert_eq!((error.code, error.ran), (ErrorCode::OutcomeUnknown, RanState::Unknown));
    for number in 0..3 {
        let address = fleet.callers(number);
        let again = caller().call_service(address, SERVICE, "payout 1", Some("payout-1")).await;
        let Err(CallerError::Api(error)) = again else { panic!("an answer from nowhere") };
        assert!(matches!(error.code, ErrorCode::OutcomeUnknown | ErrorCode::StillRunning));
    }
    assert_eq!(service.runs_of("payout 1"), 1);
    // A refusal by the service itself is "not run", and a new try may run.
    service.faults().refuse.store(10, Ordering::SeqCst);
    let refused =
        caller().call_service(fleet.callers(0), SERVICE, "payout 2", Some("payout-2")).await;
    let Err(CallerError::Api(error)) = refused else { panic!("{refused:?}") };
    assert_eq!(error.ran, RanState::No);
    assert_eq!(service.runs_of("payout 2"), 0);
    service.faults().refuse.store(0, Ordering::SeqCst);
    let mut answered = false;
    for _ in 0..100 {
        let again =
            caller().call_service(fleet.callers(1), SERVICE, "payout 2", Some("payout-2")).await;
        answered = again.is_ok();
        if answered {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(answered, "a request that did not run may run later");
    assert_eq!(service.runs_of("payout 2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_repeatable_prompt_keeps_its_answer() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let mut once = call(400, 1_000, 12);
    once.caller_key = Some("summary-400".to_owned());
    complete(&fleet, &once).await.expect("a whole answer");
    let again = caller().complete(fleet.callers(2), &once).await.expect("the kept answer");
    assert_eq!(again.attempts, 0, "a kept answer needs no attempt");
    let runs: usize = fleet.engines.iter().map(|engine| engine.runs_of(&once.prompt)).sum();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_thousand_short_streams_and_ten_long_ones_get_their_own_answers() {
    let _one = ONE_FLEET.lock().await;
    let engine = EngineConfig { memory: TokenCount(4_000_000), ..EngineConfig::default() };
    let plan = FleetPlan { engines: 6, engine, ..FleetPlan::default() };
    let fleet = Fleet::start(plan).await.expect("a fleet");
    let mut tasks = tokio::task::JoinSet::new();
    for seed in 1_000..3_010_u64 {
        let tokens = if seed % 201 == 0 { 200_000 } else { 200 };
        let (address, call) = (fleet.callers(seed as usize % 3), call(seed, tokens, 20));
        tasks.spawn(async move { caller().complete(address, &call).await });
    }
    while let Some(done) = tasks.join_next().await {
        done.expect("no panic").expect("its own whole answer");
    }
    wait_memory_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_of_the_schema_is_served() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let settings = fleet.settings(0);
    for route in oriolepass_schema::routes::ROUTES {
        let address = match route.listener {
            oriolepass_schema::routes::RouteListener::Callers => settings.listen.callers,
            oriolepass_schema::routes::RouteListener::Endpoints => settings.listen.endpoints,
            oriolepass_schema::routes::RouteListener::Operators => settings.listen.operators,
        };
        let path = route.path.replace(['{', '}'], "");
        let answer = call_json(address, route.method, &path, None, "{}".to_owned()).await;
        let answer = answer.expect("an answer");
        assert!(!answer.body.contains("no such call"), "{} {path}: {}", route.method, answer.body);
        let other = if route.method == "GET" { "POST" } else { "GET" };
        let answer = call_json(address, other, &path, None, "{}".to_owned()).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 405, "{other} {path}: {}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_stand_in_no_metric_error_or_answer() {
    let _one = ONE_FLEET.lock().await;
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    complete(&fleet, &call(900, 100, 2)).await.expect("a whole answer");
    let operators = fleet.operators(0);
    let mut pages = vec![get_text(operators, "/metrics").await.expect("a page").body];
    for path in ["/v1/objects", "/v1/status", "/v1/audit"] {
        let page = fleet.operator.call(operators, "GET", path, String::new()).await;
        pages.push(page.expect("a page").body);
        let refused = call_json(operators, "GET", path, Some("planted-key-7731"), String::new());
        pages.push(refused.await.expect("an answer").body);
    }
    let keys = [
        account_key(0),
        oriolepass_testbed::ROOT_KEY.to_owned(),
        oriolepass_testbed::POOL_KEY.to_owned(),
        fleet.settings(0).cluster_key.clone(),
        "planted-key-7731".to_owned(),
    ];
    for page in &pages {
        for key in &keys {
            assert!(!page.contains(key.as_str()), "a key stands in a page: {page:.200}");
        }
    }
}
