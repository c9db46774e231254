//! Lines about other daemons are bounded, and count every change.

use oriolepass_units::InstanceId;

use crate::peer_changes::{PeerChange, PeerChanges};

fn instance(number: usize) -> InstanceId {
    format!("10.1.0.{number}:7000").parse().unwrap()
}

#[test]
fn many_changes_are_one_count_with_a_few_names() {
    let mut changes = PeerChanges::default();
    (0..199).for_each(|number| changes.note(PeerChange::LinkDown, &instance(number)));
    changes.note(PeerChange::Met, &instance(7));
    let told = changes.take();
    assert_eq!(told[&PeerChange::LinkDown].count, 199);
    assert_eq!(told[&PeerChange::LinkDown].names.len(), 5);
    assert_eq!(told[&PeerChange::Met].names, [instance(7)]);
    assert!(changes.take().is_empty(), "each change is told once");
}

#[test]
fn a_small_system_has_a_line_for_each_change() {
    assert!(!PeerChanges::are_aggregated(9));
    assert!(PeerChanges::are_aggregated(199));
}
