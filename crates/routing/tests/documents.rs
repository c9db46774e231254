//! Documents are checked as a whole, looked up by the longest prefix, and never go back.

use std::time::Duration;

use oriolepass_routing::{
    AccountKeys, DocumentProblem, IngressLimits, RegisterOutcome, RepeatRule, RouteSpec,
    RoutingDocument, RoutingRegister, RoutingRevision, RoutingTable, RoutingText, ServiceSpec,
    WeightedService,
};

fn route(name: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "Notas.example".into(),
        path_prefix: prefix.into(),
        repeat: RepeatRule::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        pause_objective: None,
        max_attempts: 2,
        priority: 1,
        split: vec![WeightedService { service: "portal".parse().unwrap(), weight: 1 }],
        is_public: false,
    }
}

fn account(name: &str, keys: &[&str]) -> AccountKeys {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    AccountKeys { account: name.parse().unwrap(), keys, priority: None }
}

fn document() -> RoutingDocument {
    RoutingDocument {
        revision: RoutingRevision(7),
        routes: vec![route("all", "/"), route("notes", "/notes/"), route("deep", "/notes/deep/")],
        services: vec![ServiceSpec {
            name: "portal".parse().unwrap(),
            health_path: "/health".into(),
            max_connections: 10,
            engine: None,
            cold_start: None,
        }],
        limits: IngressLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        accounts: Some(vec![account("forro", &["k1", "k2"]), account("frevo", &["k3"])]),
    }
}

#[test]
fn each_problem_is_found() {
    assert_eq!(document().check(), Ok(()));
    let mut same = document();
    same.routes.push(RouteSpec { host: "notas.EXAMPLE".into(), ..route("twin", "/notes/") });
    assert!(matches!(same.check(), Err(DocumentProblem::SamePlace { .. })));
    let mut unknown = document();
    unknown.routes[0].split[0].service = "nowhere".parse().unwrap();
    assert!(matches!(unknown.check(), Err(DocumentProblem::UnknownService { .. })));
    let mut weightless = document();
    weightless.routes[1].split[0].weight = 0;
    assert!(matches!(weightless.check(), Err(DocumentProblem::NoWeight(_))));
    let mut timeless = document();
    timeless.routes[2].timeout = Duration::ZERO;
    assert!(matches!(timeless.check(), Err(DocumentProblem::NoTimeout(_))));
    let mut shared = document();
    shared.accounts.as_mut().unwrap()[1].keys.push("k1".into());
    assert!(matches!(shared.check(), Err(DocumentProblem::SharedKey { .. })));
}

#[test]
fn the_longest_prefix_wins_and_hosts_ignore_case_and_port() {
    let table = RoutingTable::new(document());
    let name = |path| table.route("notas.example:80", path).map(|route| route.name.as_str());
    assert_eq!(name("/notes/deep/x"), Some("deep"));
    assert_eq!(name("/notes/x"), Some("notes"));
    assert_eq!(name("/notesx"), Some("all"));
    assert_eq!(table.route("other.example", "/").map(|route| &route.name), None);
}

#[test]
fn a_key_leads_to_its_account_only() {
    let table = RoutingTable::new(document());
    assert_eq!(table.holder("k2").unwrap().account.as_str(), "forro");
    assert_eq!(table.holder("k3").unwrap().account.as_str(), "frevo");
    assert!(table.holder("K3").is_none());
}

#[test]
fn weights_share_the_requests() {
    let mut split = route("split", "/s/");
    split.split = vec![
        WeightedService { service: "a".parse().unwrap(), weight: 90 },
        WeightedService { service: "none".parse().unwrap(), weight: 0 },
        WeightedService { service: "b".parse().unwrap(), weight: 10 },
    ];
    let to_b = (0..1_000).filter(|n| RoutingTable::choose_service(&split, *n).as_str() == "b");
    assert_eq!(to_b.count(), 100);
}

#[test]
fn the_register_never_goes_back() {
    let mut register = RoutingRegister::default();
    let text = |revision, text: &str| RoutingText::pack(RoutingRevision(revision), text.as_bytes());
    assert_eq!(register.apply(text(5, "five")), RegisterOutcome::Accepted);
    let held = RoutingRevision(5);
    assert_eq!(register.apply(text(5, "other")), RegisterOutcome::Superseded { held });
    assert_eq!(register.apply(text(4, "four")), RegisterOutcome::Superseded { held });
    assert_eq!(register.newest().unwrap().unpack().unwrap(), b"five");
    assert_eq!(register.apply(text(9, "nine")), RegisterOutcome::Accepted);
    assert_eq!(register.revision(), Some(RoutingRevision(9)));
}
