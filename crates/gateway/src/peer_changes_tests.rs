//! Tests of the aggregation of peer changes: log lines are bounded, and every change is counted.

use oriolepass_units::InstanceId;

use crate::peer_changes::{PeerChange, PeerChanges};

fn instance(number: usize) -> InstanceId {
    format!("10.1.0.{number}:7000").parse().unwrap()
}

#[test]
fn many_changes_are_aggregated_into_a_count_with_a_few_names() {
    let mut changes = PeerChanges::default();
    (0..199).for_each(|number| changes.record(PeerChange::LinkDown, &instance(number)));
    changes.record(PeerChange::Met, &instance(7));
    let reported = changes.take();
    assert_eq!(reported[&PeerChange::LinkDown].count, 199);
    assert_eq!(reported[&PeerChange::LinkDown].names.len(), 5);
    assert_eq!(reported[&PeerChange::Met].names, [instance(7)]);
    assert!(changes.take().is_empty(), "each change is reported once");
}

#[test]
fn a_small_system_logs_a_line_for_each_change() {
    assert!(!PeerChanges::are_aggregated(9));
    assert!(PeerChanges::are_aggregated(199));
}
