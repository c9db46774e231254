//! Tests of the hub selection, the tier threshold and the address ring.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId, MonotonicTime};

use crate::tiers::{AddressRing, HubSelector, is_tiered};

const NOW: MonotonicTime = MonotonicTime(60_000_000);

fn centre(number: usize) -> DataCentreId {
    format!("centre-{number}").parse().expect("a data centre")
}

fn instance(number: usize) -> InstanceId {
    format!("10.{}.{}.{}:7340", number % 24, number / 250, number % 250)
        .parse()
        .expect("an instance")
}

fn hubs(count: usize, centres: usize) -> Vec<(InstanceId, DataCentreId)> {
    let name = |number| format!("10.200.0.{number}:7340").parse().expect("an instance");
    (0..count).map(|number| (name(number), centre(number % centres))).collect()
}

fn selector(hubs: &[(InstanceId, DataCentreId)]) -> HubSelector {
    let mut selector = HubSelector::default();
    selector.update(hubs);
    selector
}

// Guards against a topology that flaps while the number of daemons varies around the threshold.
#[test]
fn tiers_start_and_end_at_different_sizes() {
    assert!(!is_tiered(false, 30, 48));
    assert!(is_tiered(false, 85, 48));
    assert!(
        is_tiered(true, 40, 48) && !is_tiered(false, 40, 48),
        "the topology stays between the two thresholds"
    );
    assert!(!is_tiered(true, 30, 48));
}

#[test]
fn leaves_are_spread_evenly_over_the_hubs_of_their_data_centre() {
    for (leaves, hub_count, centres) in [(1_000, 10, 5), (2_000, 48, 24)] {
        let hubs = hubs(hub_count, centres);
        let selector = selector(&hubs);
        let mut load: BTreeMap<InstanceId, usize> = BTreeMap::new();
        for number in 0..leaves {
            let own = centre(number % centres);
            let attached = selector.attached(NOW, &instance(number), &own);
            assert_eq!(attached.len(), 2);
            for hub in attached {
                assert!(
                    hubs.contains(&(hub.clone(), own.clone())),
                    "attached to a hub of another data centre"
                );
                *load.entry(hub).or_default() += 1;
            }
        }
        let most = load.values().max().copied().unwrap_or(0);
        assert!(most * hub_count <= leaves * 2 * 5 / 4, "{most} leaves at one of {hub_count} hubs");
    }
}

#[test]
fn a_leaf_avoids_a_failed_hub_until_the_retry_delay_ends() {
    let hubs = hubs(10, 5);
    let mut selector = selector(&hubs);
    let (leaf, own) = (instance(1), centre(1));
    let first = selector.attached(NOW, &leaf, &own)[0].clone();
    selector.record_failure(NOW, &first);
    let attached = selector.attached(NOW, &leaf, &own);
    assert!(!attached.contains(&first), "{attached:?}");
    // When all hubs of its data centre have failed, the leaf uses hubs of other data centres.
    selector.record_failure(NOW, &attached[0]);
    let elsewhere = selector.attached(NOW, &leaf, &own);
    assert!(elsewhere.iter().all(|hub| !hubs.contains(&(hub.clone(), own.clone()))));
    let later = NOW + Duration::from_secs(4);
    assert_eq!(selector.attached(later, &leaf, &own)[0], first);
}

#[test]
fn a_leaf_keeps_its_hubs_when_all_have_failed() {
    let hubs = hubs(3, 3);
    let mut selector = selector(&hubs);
    hubs.iter().for_each(|(hub, _)| selector.record_failure(NOW, hub));
    assert_eq!(selector.attached(NOW, &instance(1), &centre(1)).len(), 2);
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).expect("a small number").to_be_bytes();
    SocketAddr::from(([10, 9, high, low], 8_227))
}

fn ring(instances: impl Iterator<Item = usize>) -> AddressRing {
    AddressRing::new(instances.map(|number| (instance(number), address(number))).collect())
}

#[test]
fn instances_are_returned_to_callers_about_equally_often() {
    let ring = ring(0..200);
    let mut returned: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for queried in 0..200 {
        for address in ring.addresses_for(&instance(queried), 64) {
            *returned.entry(address).or_default() += 1;
        }
    }
    assert_eq!(returned.len(), 200, "an instance is never returned");
    let most = returned.values().max().copied().unwrap_or(0);
    assert!(most * 5 <= 64 * 6, "an address is returned {most} times, 64 on average");
}

#[test]
fn removing_an_instance_changes_at_most_one_returned_address() {
    let (before, after) = (ring(0..200), ring((0..200).filter(|number| *number != 77)));
    for queried in (0..200).filter(|number| *number != 77) {
        let addresses = before.addresses_for(&instance(queried), 64);
        let kept = after.addresses_for(&instance(queried), 64);
        let gone = addresses.iter().filter(|address| !kept.contains(address)).count();
        assert!(gone <= 1, "{gone} addresses of instance {queried} changed");
    }
}

#[test]
fn a_ring_smaller_than_the_limit_returns_each_address_once() {
    let addresses = ring(0..5).addresses_for(&instance(900), 64);
    assert_eq!(addresses.len(), 5);
    let mut distinct = addresses.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), 5);
}

/// Guards against a leaf that stays with a hub which lost the leader while another one is current, and against
/// leaves that change between hubs in vain while there is no leader.
#[test]
fn a_leaf_changes_from_a_hub_that_proves_nothing_for_a_while() {
    let (all, leaf) = (hubs(3, 3), instance(7));
    let mut selector = selector(&all);
    let primary =
        |selector: &HubSelector, now| selector.attached(now, &leaf, &centre(0))[0].clone();
    let first = primary(&selector, NOW);
    let mut proved_at = NOW;
    // One of the hubs has a proof: the leaf finds it, and looks back at the others for one answer at most.
    let current = &all.iter().find(|(hub, _)| *hub != first).expect("another hub").0;
    for round in 0..30 {
        let now = NOW + Duration::from_millis(400) * round;
        let before = primary(&selector, now);
        selector.record_answer(now, &before, before == *current);
        if before == *current {
            proved_at = now;
        }
        let bound = if round < 12 { 4_400 } else { 900 };
        assert!(now.since(proved_at) < Duration::from_millis(bound), "round {round}");
    }
}

#[test]
fn leaves_seldom_change_between_hubs_that_all_prove_nothing() {
    let (all, leaf) = (hubs(3, 3), instance(7));
    let mut selector = selector(&all);
    let primary =
        |selector: &HubSelector, now| selector.attached(now, &leaf, &centre(0))[0].clone();
    let mut changes = 0;
    for round in 0..25 {
        let now = NOW + Duration::from_millis(400) * round;
        let before = primary(&selector, now);
        selector.record_answer(now, &before, false);
        changes += usize::from(primary(&selector, now) != before);
    }
    assert!(changes <= 6, "{changes} changes in 10 s");
}

/// Guards against a leaf that asks a hub that is gone for as long as it avoids the others, which are back.
#[test]
fn a_leaf_finds_the_hub_that_is_back_after_all_had_failed() {
    let (all, leaf) = (hubs(3, 3), instance(7));
    let mut selector = selector(&all);
    let primary =
        |selector: &HubSelector, now| selector.attached(now, &leaf, &centre(0))[0].clone();
    let back = &all.iter().find(|(hub, _)| *hub != primary(&selector, NOW)).expect("another").0;
    let asked = |selector: &mut HubSelector, from: u32, until: u32, is_back: bool| {
        (from..until).find(|round| {
            let now = NOW + Duration::from_millis(400) * *round;
            let hub = primary(selector, now);
            let answers = is_back && hub == *back;
            if !answers {
                selector.record_failure(now, &hub);
            }
            answers
        })
    };
    assert_eq!(asked(&mut selector, 0, 60, false), None);
    assert!(asked(&mut selector, 60, 70, true).is_some_and(|round| round < 64));
}
