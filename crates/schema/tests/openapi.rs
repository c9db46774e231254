//! Compares the OpenAPI description with the types, in both directions.

use std::collections::{BTreeMap, BTreeSet};

use oriolepass_schema::OPENAPI_JSON;
use oriolepass_schema::caller::{
    AddressList, AnswerProof, ChatAnswer, ChatCall, ChatChoice, ChatDelta, ChatMessage,
    CompletionAnswer, CompletionCall, CompletionChoice, CompletionOptions, EntryAddress,
    PromptBody, RequestPriority, TokenUsage,
};
use oriolepass_schema::endpoint::{
    AnnouncementAnswer, CacheChange, CacheEvents, EndpointAnnouncement, EndpointHeartbeat,
    EndpointKind, EndpointLeave, HeartbeatAnswer,
};
use oriolepass_schema::error::{ApiError, ErrorBody, ErrorCode, RanState};
use oriolepass_schema::operator::{
    AccountSpec, AuditRecord, AuditTrailView, ChangeAction, ChangeAnswer, ChangeCall, DrainCall,
    EndpointState, EndpointView, InForceAnswer, KeyHash, MemberView, ModelSpec, ObjectKind,
    ObjectList, ObjectSpec, ObjectView, PoolRole, PoolSpec, StatusAnswer, TeamSpec, VotersCall,
};
use oriolepass_schema::routes::ROUTES;
use oriolepass_units::{
    Incarnation, LeaderTerm, LogIndex, ObjectRevision, PrefixHash, TokenCount, TokenRate,
};
use serde::Serialize;
use serde_json::Value;

fn schema() -> Value {
    serde_json::from_str(OPENAPI_JSON).expect("the schema file is JSON")
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>() -> T {
    "x-1".parse().expect("a valid id")
}

/// A route that is missing in the OpenAPI description, or described but not served, fails the test.
#[test]
fn routes_match_openapi_description() {
    let schema = schema();
    let mut described = BTreeSet::new();
    for (path, operations) in schema["paths"].as_object().expect("paths") {
        for (method, operation) in operations.as_object().expect("operations") {
            let listener = operation["x-listener"].as_str().expect("a listener").to_owned();
            described.insert((listener, method.to_uppercase(), path.clone()));
        }
    }
    let served: BTreeSet<_> = ROUTES
        .iter()
        .map(|r| (r.listener.to_string(), r.method.to_owned(), r.path.to_owned()))
        .collect();
    assert_eq!(served, described);
}

/// Codes, statuses, remedies and the order of the codes must agree with the OpenAPI description.
#[test]
fn error_codes_match_openapi_description() {
    let schema = schema();
    let described = &schema["components"]["schemas"]["ErrorCode"];
    let names: Vec<&str> = ErrorCode::ALL.iter().map(|code| code.as_str()).collect();
    let listed: Vec<&str> =
        described["enum"].as_array().expect("codes").iter().filter_map(Value::as_str).collect();
    assert_eq!(names, listed);
    for code in ErrorCode::ALL {
        assert_eq!(described["x-statuses"][code.as_str()], code.status(), "{code}");
        assert_eq!(described["x-remedies"][code.as_str()], code.remedy(), "{code}");
        let json = serde_json::to_string(code).expect("a code");
        assert_eq!(json, format!("\"{code}\""), "`Display` and the JSON form of the code differ");
    }
}

/// Returns the names of the fields that each message has when it is serialised.
fn serialised_fields() -> BTreeMap<&'static str, BTreeSet<String>> {
    let mut all: BTreeMap<&'static str, BTreeSet<String>> = BTreeMap::new();
    let mut add = |name: &'static str, value: Value| {
        let fields = value.as_object().expect("an object").keys().cloned();
        all.entry(name).or_default().extend(fields);
    };
    add_caller_messages(&mut add);
    add_endpoint_messages(&mut add);
    add_operator_messages(&mut add);
    all
}

fn json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("a message")
}

fn add_caller_messages(add: &mut impl FnMut(&'static str, Value)) {
    let options = CompletionOptions {
        model: id(),
        max_tokens: Some(1),
        stream: true,
        priority: RequestPriority::High,
        deadline_ms: Some(1),
        repeatable: false,
        caller_key: Some(id()),
    };
    let prompt = PromptBody::Tokens(vec![1]);
    add("CompletionCall", json(&CompletionCall { prompt, options: options.clone() }));
    let message = ChatMessage { role: "user".into(), content: "hi".into() };
    add("ChatMessage", json(&message));
    add("ChatCall", json(&ChatCall { messages: vec![message], options }));
    let choice = CompletionChoice { index: 0, text: "x".into(), finish_reason: None };
    let usage = TokenUsage { prompt_tokens: TokenCount(1), completion_tokens: TokenCount(1) };
    let proof = AnswerProof { digest: "d".into(), attempts: 1, ran: RanState::Yes, kept: false };
    add_chat_messages(add, &usage, &proof);
    add("CompletionChoice", json(&choice));
    add("TokenUsage", json(&usage));
    add("AnswerProof", json(&proof));
    add(
        "CompletionAnswer",
        json(&CompletionAnswer {
            id: "r".into(),
            object: "o".into(),
            model: id(),
            choices: vec![choice],
            usage: Some(usage),
            oriolepass: Some(proof),
        }),
    );
    let address = EntryAddress {
        instance: id(),
        data_centre: id(),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    add("EntryAddress", json(&address));
    add("AddressList", json(&AddressList { addresses: vec![address], keep_ms: 1 }));
    let error = ApiError::not_run(ErrorCode::Conflict, "x");
    add("ApiError", json(&error));
    add("ErrorBody", json(&ErrorBody { error }));
}

fn add_chat_messages(
    add: &mut impl FnMut(&'static str, Value),
    usage: &TokenUsage,
    proof: &AnswerProof,
) {
    let (role, content) = ("assistant".to_owned(), "hi".to_owned());
    let delta = ChatDelta { role: role.clone(), content: content.clone() };
    add("ChatDelta", json(&delta));
    let choice = ChatChoice {
        index: 0,
        message: Some(ChatMessage { role, content }),
        delta: Some(delta),
        finish_reason: None,
    };
    add("ChatChoice", json(&choice));
    add(
        "ChatAnswer",
        json(&ChatAnswer {
            id: "r".into(),
            object: "o".into(),
            model: id(),
            choices: vec![choice],
            usage: Some(usage.clone()),
            oriolepass: Some(proof.clone()),
        }),
    );
}

fn add_endpoint_messages(add: &mut impl FnMut(&'static str, Value)) {
    let address = "127.0.0.1:1".parse().expect("an address");
    let engine = EndpointKind::Engine {
        models: vec![id()],
        memory: TokenCount(1),
        prefill_rate: TokenRate(1),
    };
    let service = EndpointKind::Service { service: id(), concurrency: 1 };
    for kind in [engine, service] {
        add(
            "EndpointAnnouncement",
            json(&EndpointAnnouncement {
                endpoint: id(),
                incarnation: Incarnation(1),
                data_centre: id(),
                address,
                fenced: true,
                other_home_ms: Some(1),
                kind,
            }),
        );
    }
    add(
        "AnnouncementAnswer",
        json(&AnnouncementAnswer { accepted: true, home: Some(address), heartbeat_ms: 1 }),
    );
    add(
        "EndpointHeartbeat",
        json(&EndpointHeartbeat {
            endpoint: id(),
            incarnation: Incarnation(1),
            used: TokenCount(1),
            prefill_backlog: TokenCount(1),
            streams: 1,
        }),
    );
    add(
        "HeartbeatAnswer",
        json(&HeartbeatAnswer { accepted: true, released: false, home: Some(address) }),
    );
    add(
        "CacheEvents",
        json(&CacheEvents {
            endpoint: id(),
            incarnation: Incarnation(1),
            first_sequence: 1,
            changes: vec![CacheChange::Stored(PrefixHash(1)), CacheChange::Evicted(PrefixHash(2))],
        }),
    );
    add("EndpointLeave", json(&EndpointLeave { endpoint: id(), incarnation: Incarnation(1) }));
}

fn add_operator_messages(add: &mut impl FnMut(&'static str, Value)) {
    let keys = vec![KeyHash::of("k")];
    let team = TeamSpec { keys: keys.clone(), admin: true };
    add("TeamSpec", json(&team));
    add(
        "AccountSpec",
        json(&AccountSpec { keys: keys.clone(), share: 1, max_held: Some(TokenCount(1)) }),
    );
    add(
        "ModelSpec",
        json(&ModelSpec {
            version: "1".into(),
            adapters: vec!["a".into()],
            replicas: BTreeMap::from([(id(), 1)]),
            max_prompt: TokenCount(1),
        }),
    );
    add("PoolSpec", json(&PoolSpec { keys, role: PoolRole::Short }));
    add(
        "ChangeCall",
        json(&ChangeCall {
            change_id: id(),
            name: "n".into(),
            expected_revision: ObjectRevision(1),
            action: ChangeAction::Delete(ObjectKind::Team),
            reason: "r".into(),
        }),
    );
    add(
        "ChangeAnswer",
        json(&ChangeAnswer {
            change_id: id(),
            revision: ObjectRevision(1),
            config_revision: ObjectRevision(1),
        }),
    );
    let view = ObjectView {
        kind: ObjectKind::Team,
        name: "n".into(),
        team: id(),
        revision: ObjectRevision(1),
        spec: ObjectSpec::Team(team),
    };
    add("ObjectView", json(&view));
    add(
        "ObjectList",
        json(&ObjectList { config_revision: ObjectRevision(1), objects: vec![view] }),
    );
    let record = AuditRecord {
        sequence: 1,
        unix_ms: 1,
        actor: String::new(),
        action: String::new(),
        before: String::new(),
        after: String::new(),
        config_revision: ObjectRevision(1),
        verdict: String::new(),
        reason: String::new(),
        hash: String::new(),
    };
    add("AuditRecord", json(&record));
    add("AuditTrailView", json(&AuditTrailView { anchor: String::new(), records: vec![record] }));
    let endpoint = EndpointView {
        endpoint: id(),
        state: EndpointState::Live,
        held: TokenCount(1),
        memory: TokenCount(1),
        unexplained: TokenCount(1),
    };
    let member = MemberView {
        instance: id(),
        data_centre: id(),
        draining: false,
        operators: "127.0.0.1:1".parse().expect("an address"),
        applied: None,
    };
    add("EndpointView", json(&endpoint));
    add("MemberView", json(&member));
    add(
        "StatusAnswer",
        json(&StatusAnswer {
            instance: id(),
            leader: Some(id()),
            term: LeaderTerm(1),
            voters: vec![id()],
            learners: vec![id()],
            applied_index: LogIndex(1),
            config_revision: ObjectRevision(1),
            members: vec![member],
            endpoints: vec![endpoint],
            running: 1,
        }),
    );
    add(
        "InForceAnswer",
        json(&InForceAnswer {
            config_revision: ObjectRevision(1),
            everywhere: true,
            lagging: vec![id()],
        }),
    );
    add("DrainCall", json(&DrainCall { instance: id() }));
    add("VotersCall", json(&VotersCall { wanted: vec![id()] }));
}

/// A field that is only in the Rust type or only in the OpenAPI description fails the test.
#[test]
fn message_fields_match_openapi_description() {
    let schema = schema();
    let described: BTreeMap<&str, BTreeSet<String>> = schema["components"]["schemas"]
        .as_object()
        .expect("schemas")
        .iter()
        .filter_map(|(name, schema)| {
            let properties = schema.get("properties")?.as_object()?;
            Some((name.as_str(), properties.keys().cloned().collect()))
        })
        .collect();
    assert_eq!(serialised_fields(), described);
}

/// Every `$ref` must name a schema that exists.
#[test]
fn openapi_references_resolve() {
    let schema = schema();
    let known = schema["components"]["schemas"].as_object().expect("schemas");
    let mut pending = vec![&schema];
    while let Some(value) = pending.pop() {
        match value {
            Value::Object(fields) => {
                if let Some(target) = fields.get("$ref").and_then(Value::as_str) {
                    let name = target.rsplit('/').next().unwrap_or_default();
                    assert!(known.contains_key(name), "{target} names no schema");
                }
                pending.extend(fields.values());
            }
            Value::Array(items) => pending.extend(items),
            _ => {}
        }
    }
}
