//! Tests of when the leader reports voters that are not live.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_consensus::VoterState;
use oriolepass_units::{InstanceId, MonotonicTime};

use crate::voter_watch::VoterWatch;

const SECOND: Duration = Duration::from_secs(1);

fn states(of: &[(&str, VoterState)]) -> BTreeMap<InstanceId, VoterState> {
    of.iter().map(|(name, state)| (name.parse().expect("an id"), *state)).collect()
}

/// Returns the seconds at which `states` and `lacking` are reported within a minute.
fn report_seconds(states: &BTreeMap<InstanceId, VoterState>, lacking: usize) -> Vec<u32> {
    let mut watch = VoterWatch::default();
    let is_reported = |second: &u32| {
        !watch.record(MonotonicTime::ZERO + SECOND * *second, states, lacking).is_empty()
    };
    (0..60).filter(is_reported).collect()
}

/// Guards against a voter that is absent for 15 s without a line in the log.
#[test]
fn an_instance_that_does_not_join_is_reported_again_and_again() {
    for state in [VoterState::Lost, VoterState::Joining, VoterState::CatchingUp] {
        let states = states(&[("a", VoterState::Live), ("b", state)]);
        assert_eq!(report_seconds(&states, 0), [2, 12, 22, 32, 42, 52]);
    }
}

/// Guards against a system with too few voters that says nothing.
#[test]
fn missing_voters_are_reported_again_and_again() {
    assert_eq!(report_seconds(&states(&[("a", VoterState::Live)]), 2), [2, 12, 22, 32, 42, 52]);
}

/// Guards against reports of every election and every quick restart.
#[test]
fn live_voters_and_short_absences_are_not_reported() {
    assert!(report_seconds(&states(&[("a", VoterState::Live)]), 0).is_empty());
    let mut watch = VoterWatch::default();
    let absent = states(&[("a", VoterState::Lost)]);
    let live = states(&[("a", VoterState::Live)]);
    for second in 0..20 {
        let states = if second % 2 == 0 { &absent } else { &live };
        let reports = watch.record(MonotonicTime::ZERO + SECOND * second, states, 0);
        assert!(reports.is_empty(), "{second}: {reports:?}");
    }
}
