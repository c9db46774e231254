//! Control traffic stays in proportion to the instances, and nobody is left out.

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
fn relays_stand_in_the_data_centre_of_those_they_pass_on_to_and_take_turns() {
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

#[test]
fn a_daemon_whose_relay_is_lost_gets_its_copy_in_a_storm_of_documents() {
    let mut spread = DocumentDissemination::default();
    let held = Some(RoutingRevision(10));
    let mut copies = Vec::new();
    for step in 0..40 {
        // A new document each 60 ms, and a question each 120 ms from one that still has the tenth.
        let now = at(step * 60);
        spread.begin(now, RoutingRevision(11 + step));
        if step % 2 == 0 && spread.needs_copy(now, &instance(1), held) {
            copies.push(step * 60);
        }
    }
    assert!(copies.first().is_some_and(|ms| (300..=420).contains(ms)), "{copies:?}");
    assert!(copies.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{copies:?}");
}

#[test]
fn a_daemon_that_lacks_an_old_document_gets_it_at_once() {
    let mut spread = DocumentDissemination::default();
    assert!(spread.needs_copy(at(5), &instance(1), None), "nothing was spread by this leader");
    spread.begin(at(1_000), RoutingRevision(3));
    assert!(!spread.needs_copy(at(1_100), &instance(2), Some(RoutingRevision(2))));
    assert!(spread.needs_copy(at(1_300), &instance(2), Some(RoutingRevision(2))));
}

#[test]
fn each_newcomer_has_a_few_sponsors_and_newcomers_have_different_ones() {
    let all: Vec<InstanceId> = (0..200).map(instance).collect();
    let mut duties = vec![0; all.len()];
    for newcomer in &all {
        let sponsors: Vec<usize> = (0..all.len())
            .filter(|own| all[*own] != *newcomer)
            .filter(|own| is_sponsor(&all[*own], newcomer, all.iter()))
            .collect();
        assert_eq!(sponsors.len(), 4, "of {newcomer}");
        sponsors.into_iter().for_each(|sponsor| duties[sponsor] += 1);
    }
    assert!(duties.iter().all(|duty| *duty <= 16), "{duties:?}");
}

#[test]
fn a_start_of_all_daemons_at_once_tells_each_list_a_few_times() {
    // Each greets the three seeds, then all it was told of, and says how many it knows.
    for count in [30, 100, 200, 360] {
        let mut known: Vec<BTreeSet<usize>> = (0..count).map(|own| BTreeSet::from([own])).collect();
        let mut lists = 0;
        let mut draw = 0.5_f64;
        let mut rounds = 0;
        while known.iter().any(|set| set.len() < count) {
            rounds += 1;
            assert!(rounds < 20, "{count} daemons have not met");
            for own in 0..count {
                let greeted: Vec<usize> = known[own].iter().copied().chain(0..3).collect();
                for to in greeted {
                    known[to].insert(own);
                    draw = (draw * 997.0 + 0.123_456_7).fract();
                    if should_send_member_list(known[to].len(), known[own].len(), draw) {
                        lists += 1;
                        let told = known[to].clone();
                        known[own].extend(told);
                    }
                }
            }
        }
        assert!(lists <= 12 * count, "{lists} lists for {count} daemons");
    }
}

#[test]
fn heartbeats_cross_to_each_data_centre_once_and_by_another_relay_each_time() {
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
fn a_daemon_that_knows_many_others_but_no_hub_is_told_of_the_hubs() {
    assert!(should_send_hub_list(6, 12, false));
    assert!(should_send_hub_list(6, 0, true), "a hub that has just started");
    assert!(!should_send_hub_list(6, 6, true), "a hub that knows them all");
    assert!(!should_send_hub_list(0, 0, false), "nothing to tell");
}
