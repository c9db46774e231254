//! The home of the engines follows the leader, and a common deputy without one.

use std::time::Duration;

use oriolepass_units::{InstanceId, MonotonicTime};

use crate::home_choice::HomeChoice;

fn instance(number: u8) -> InstanceId {
    format!("10.1.0.{number}:7000").parse().unwrap()
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

#[test]
fn a_leader_that_does_not_answer_is_stood_in_for() {
    let (own, leader) = (instance(9), instance(1));
    let deputies = || vec![instance(4), instance(5)];
    let mut choice = HomeChoice::default();
    let first = choice.choose(at(0), &own, Some(leader.clone()), deputies);
    assert_eq!((&first.home, first.is_new), (&leader, true));
    assert!(!choice.choose(at(1), &own, Some(leader.clone()), deputies).is_new);
    choice.lost(at(100), &leader);
    let stand_in = choice.choose(at(101), &own, Some(leader.clone()), deputies);
    assert_eq!((&stand_in.home, stand_in.before.as_ref()), (&instance(4), Some(&leader)));
    choice.lost(at(200), &instance(4));
    assert_eq!(choice.choose(at(201), &own, Some(leader.clone()), deputies).home, instance(5));
    // It is asked again after a while, also when nothing is heard of another leader.
    let again = choice.choose(at(1_101), &own, Some(leader.clone()), deputies);
    assert_eq!((again.home, again.is_new), (leader, true));
}

#[test]
fn without_anyone_a_daemon_places_alone() {
    let own = instance(9);
    let mut choice = HomeChoice::default();
    assert_eq!(choice.choose(at(0), &own, None, Vec::new).home, own);
    // Entries that know the same others come to the same deputy.
    let mut other = HomeChoice::default();
    let deputies = || vec![instance(3), instance(9)];
    let here = choice.choose(at(1), &own, None, deputies).home;
    assert_eq!(here, other.choose(at(1), &instance(3), None, deputies).home);
}
