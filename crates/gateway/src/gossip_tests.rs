//! Tests of the dissemination rules: control traffic stays proportional to the number of instances,
//! and every daemon is reached.

use std::collections::BTreeSet;
use std::time::Duration;

use oriolepass_routing::RoutingRevision;
use oriolepass_units::{DataCentreId, InstanceId, MonotonicTime};

use crate::gossip::{
    DocumentDissemination, heartbeat_route, is_sponsor, relay_groups, should_send_hub_list,
    should_send_member_list,
};

fn instance(number: usize) -> InstanceId {
    format!("10.1.{}.{}:7000", number / 250, number % 250).parse().unwrap()
}

fn members(count: usize) -> Vec<(InstanceId, DataCentreId)> {
    let data_centre = |number: usize| format!("centre-{}", number % 5).parse().unwrap();
    (0..count).map(|number| (instance(number), data_centre(number))).collect()
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

#[test]
fn a_document_reaches_every_daemon_once_and_the_leader_sends_few_copies() {
    for count in [1, 9, 23, 24, 99, 199, 359] {
        let groups = relay_groups(members(count), RoutingRevision(7));
        let reached: Vec<InstanceId> = groups
            .iter()
            .flat_map(|group| std::iter::once(&group.relay).chain(&group.pass_on))
            .cloned()
            .collect();
        let distinct: BTreeSet<_> = reached.iter().collect();
        assert_eq!((reached.len(), distinct.len()), (count, count));
        assert!(groups.len() <= 30, "{} copies for {count}", groups.len());
    }
}

#[test]
fn relays_are_in_the_data_centre_of_their_recipients_and_differ_per_document() {
    let all = members(199);
    let centre = |instance: &InstanceId| all.iter().find(|(i, _)| i == instance).unwrap().1.clone();
    let first = relay_groups(all.clone(), RoutingRevision(1));
    for group in &first {
        assert!(group.pass_on.iter().all(|to| centre(to) == centre(&group.relay)));
    }
    let relays = |groups: &[super::gossip::RelayGroup]| -> BTreeSet<InstanceId> {
        groups.iter().map(|group| group.relay.clone()).collect()
    };
    let second = relay_groups(all.clone(), RoutingRevision(2));
    assert_ne!(relays(&first), relays(&second));
}

// Guards against restarting the relay time-out with each document: under frequent changes, a daemon
// without its relay would never get a copy.
#[test]
fn a_daemon_whose_relay_is_lost_gets_a_copy_while_new_documents_follow() {
    let mut dissemination = DocumentDissemination::default();
    let held = Some(RoutingRevision(10));
    let mut copies = Vec::new();
    for step in 0..40 {
        // A new document follows every 60 ms, and a daemon that still holds revision 10 sends a
        // request every 120 ms.
        let now = at(step * 60);
        dissemination.begin(now, RoutingRevision(11 + step));
        if step % 2 == 0 && dissemination.needs_copy(now, &instance(1), held) {
            copies.push(step * 60);
        }
    }
    assert!(copies.first().is_some_and(|ms| (300..=420).contains(ms)), "{copies:?}");
    assert!(copies.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{copies:?}");
}

#[test]
fn a_daemon_that_lacks_an_old_document_gets_a_copy_at_once() {
    let mut dissemination = DocumentDissemination::default();
    assert!(
        dissemination.needs_copy(at(5), &instance(1), None),
        "this leader has sent no document"
    );
    dissemination.begin(at(1_000), RoutingRevision(3));
    assert!(!dissemination.needs_copy(at(1_100), &instance(2), Some(RoutingRevision(2))));
    assert!(dissemination.needs_copy(at(1_300), &instance(2), Some(RoutingRevision(2))));
}

#[test]
fn each_newcomer_has_four_sponsors_and_sponsors_differ_per_newcomer() {
    let all: Vec<InstanceId> = (0..200).map(instance).collect();
    let mut assignments = vec![0; all.len()];
    for newcomer in &all {
        let sponsors: Vec<usize> = (0..all.len())
            .filter(|own| all[*own] != *newcomer)
            .filter(|own| is_sponsor(&all[*own], newcomer, all.iter()))
            .collect();
        assert_eq!(sponsors.len(), 4, "of {newcomer}");
        sponsors.into_iter().for_each(|sponsor| assignments[sponsor] += 1);
    }
    assert!(assignments.iter().all(|count| *count <= 16), "{assignments:?}");
}

#[test]
fn a_simultaneous_start_of_all_daemons_sends_few_member_lists() {
    // Each daemon greets the three seeds and all daemons that it knows, and reports their number.
    for count in [30, 100, 200, 360] {
        let mut known: Vec<BTreeSet<usize>> = (0..count).map(|own| BTreeSet::from([own])).collect();
        let mut lists = 0;
        let mut draw = 0.5_f64;
        let mut rounds = 0;
        while known.iter().any(|set| set.len() < count) {
            rounds += 1;
            assert!(rounds < 20, "{count} daemons do not all know each other");
            for own in 0..count {
                let greeted: Vec<usize> = known[own].iter().copied().chain(0..3).collect();
                for to in greeted {
                    known[to].insert(own);
                    draw = (draw * 997.0 + 0.123_456_7).fract();
                    if should_send_member_list(known[to].len(), known[own].len(), draw) {
                        lists += 1;
                        let list = known[to].clone();
                        known[own].extend(list);
                    }
                }
            }
        }
        assert!(lists <= 12 * count, "{lists} lists for {count} daemons");
    }
}

#[test]
fn heartbeats_reach_each_data_centre_by_one_relay_that_changes_each_round() {
    let own_centre = "centre-0".parse().unwrap();
    let mut relays = BTreeSet::new();
    for round in 0..20 {
        let route = heartbeat_route(members(199), &own_centre, round);
        assert_eq!((route.direct.len(), route.relays.len()), (40, 4));
        relays.extend(route.relays);
    }
    assert!(relays.len() >= 40, "{} relays in 20 rounds", relays.len());
    let small = heartbeat_route(members(9), &own_centre, 1);
    assert_eq!((small.direct.len(), small.relays.len()), (9, 0));
}

#[test]
fn a_daemon_that_knows_many_daemons_but_no_hub_gets_the_list_of_hubs() {
    assert!(should_send_hub_list(6, 12, false));
    assert!(should_send_hub_list(6, 0, true), "a hub that has just started");
    assert!(!should_send_hub_list(6, 6, true), "a hub that knows all hubs");
    assert!(!should_send_hub_list(0, 0, false), "no hub is known");
}
