//! Tests of what a leaf learns from the status of a hub.

use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId};

use crate::clock_tests::gateway;
use crate::deputies_tests::note;
use crate::endpoints::MAX_HEARTBEAT_DELAY;
use crate::hubs::{MISSED_HEARTBEATS, Tier};
use crate::peers::{HubStatus, MemberLists};
use crate::roster::DaemonNote;

fn hub(number: usize) -> (InstanceId, DataCentreId) {
    let name = format!("10.200.0.{number}:7340");
    (name.parse().expect("an instance"), "z".parse().expect("a data centre"))
}

/// The status of a hub that lists `hubs` as alive, with a proof of this age.
fn status(hubs: &[(InstanceId, DataCentreId)], proof_age: Option<Duration>) -> HubStatus {
    HubStatus {
        proof: proof_age.map(|age| (None, age)),
        drains: Default::default(),
        is_home_away: false,
        daemons: 9,
        silent: Vec::new(),
        lists: Some(MemberLists { hubs: hubs.to_vec(), ..MemberLists::default() }),
    }
}

/// Guards against a leaf that serves by a replaced document because it asks only a hub that is cut off: such a
/// hub lists no other hub as alive, and the leaf knew none any more.
#[test]
fn a_leaf_keeps_other_hubs_that_a_hub_without_a_current_proof_does_not_list() {
    let gateway = gateway();
    let all: Vec<(InstanceId, DataCentreId)> = (0..3).map(hub).collect();
    gateway.apply_hub_status(gateway.now(), status(&all, Some(Duration::from_millis(100))));
    assert_eq!(gateway.known_hubs().len(), 3);
    for proof_age in [Some(Duration::from_secs(2)), None] {
        gateway.apply_hub_status(gateway.now(), status(&all[..1], proof_age));
        assert_eq!(gateway.known_hubs().len(), 3, "proof: {proof_age:?}");
    }
    gateway.apply_hub_status(gateway.now(), status(&all[..2], Some(Duration::ZERO)));
    assert_eq!(gateway.known_hubs().len(), 2, "a current hub tells which hubs are gone");
}

/// Guards against repeats beyond the budget by a process that starts during a partition and asks a hub that has
/// been without links for long.
#[test]
fn an_old_proof_of_a_hub_shows_no_majority_since_the_start() {
    let gateway = gateway();
    let service = "portal".parse().expect("a name");
    let may_repeat = || {
        let later = gateway.now() + Duration::from_secs(30);
        gateway.budget.borrow_mut().take(later, &gateway.budget_rule(), 1, &service)
    };
    gateway.apply_hub_status(gateway.now(), status(&[hub(0)], Some(Duration::from_secs(600))));
    assert!(!may_repeat());
    gateway.apply_hub_status(gateway.now(), status(&[hub(0)], Some(Duration::ZERO)));
    assert!(may_repeat());
}

/// Guards against a cut answer that a heartbeat from before its end proves to be whole: a leaf dates a heartbeat up to
/// some intervals too late, and the heartbeat may have been late itself.
#[test]
fn a_heartbeat_proves_nothing_on_a_leaf_while_it_may_have_been_sent_before() {
    let gateway = gateway();
    let heartbeat = gateway.settings().bounds.endpoint_heartbeat;
    assert_eq!(gateway.tier(), Tier::Mesh);
    assert!(gateway.heard_proof_margin() >= MAX_HEARTBEAT_DELAY);
    let hub = DaemonNote { is_tiered: true, ..note(1, true) };
    gateway.roster.borrow_mut().update(gateway.now(), hub);
    assert_eq!(gateway.tier(), Tier::Leaf);
    let margin = gateway.heard_proof_margin();
    assert!(margin >= heartbeat * MISSED_HEARTBEATS + MAX_HEARTBEAT_DELAY, "{margin:?}");
}
