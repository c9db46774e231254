//! Validation of routing documents, route and key lookups, and the order of revisions in the register.

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
fn check_reports_each_kind_of_problem() {
    assert_eq!(document().check(), Ok(()));
    let mut duplicate = document();
    duplicate.routes.push(RouteSpec { host: "notas.EXAMPLE".into(), ..route("twin", "/notes/") });
    assert!(matches!(duplicate.check(), Err(DocumentProblem::DuplicateRoute { .. })));
    let mut unknown = document();
    unknown.routes[0].split[0].service = "nowhere".parse().unwrap();
    assert!(matches!(unknown.check(), Err(DocumentProblem::UnknownService { .. })));
    let mut no_weight = document();
    no_weight.routes[1].split[0].weight = 0;
    assert!(matches!(no_weight.check(), Err(DocumentProblem::NoWeight(_))));
    let mut no_timeout = document();
    no_timeout.routes[2].timeout = Duration::ZERO;
    assert!(matches!(no_timeout.check(), Err(DocumentProblem::NoTimeout(_))));
    let mut shared = document();
    shared.accounts.as_mut().unwrap()[1].keys.push("k1".into());
    assert!(matches!(shared.check(), Err(DocumentProblem::SharedKey { .. })));
}

#[test]
fn route_lookup_takes_the_longest_prefix_and_ignores_host_case_and_port() {
    let table = RoutingTable::new(document());
    let name = |path| table.route("notas.example:80", path).map(|route| route.name.as_str());
    assert_eq!(name("/notes/deep/x"), Some("deep"));
    assert_eq!(name("/notes/x"), Some("notes"));
    assert_eq!(name("/notesx"), Some("all"));
    assert_eq!(table.route("other.example", "/").map(|route| &route.name), None);
}

#[test]
fn a_key_maps_to_its_own_account_only() {
    let table = RoutingTable::new(document());
    assert_eq!(table.holder("k2").unwrap().account.as_str(), "forro");
    assert_eq!(table.holder("k3").unwrap().account.as_str(), "frevo");
    assert!(table.holder("K3").is_none());
}

#[test]
fn requests_are_split_by_service_weights() {
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
fn the_register_rejects_equal_and_lower_revisions() {
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
