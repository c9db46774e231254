//! Repeated, delayed and superseded commands to drain and restore data centres.

use oriolepass_routing::{DrainCommand, DrainOutcome, DrainRegister, DrainRevision};

fn command(data_centre: &str, is_drained: bool, base_revision: u64) -> DrainCommand {
    let data_centre = data_centre.parse().expect("the id is valid");
    DrainCommand { data_centre, is_drained, base_revision: DrainRevision(base_revision) }
}

fn drained_ids(register: &DrainRegister) -> Vec<String> {
    register.drained().map(ToString::to_string).collect()
}

#[test]
fn a_data_centre_is_drained_and_restored() {
    let mut register = DrainRegister::default();
    assert_eq!(register.apply(&command("north", true, 0)), DrainOutcome::Changed);
    assert_eq!(register.apply(&command("south", true, 1)), DrainOutcome::Changed);
    assert_eq!(drained_ids(&register), ["north", "south"]);
    assert_eq!(register.apply(&command("north", false, 2)), DrainOutcome::Changed);
    assert_eq!(drained_ids(&register), ["south"]);
    assert_eq!(register.revision(), DrainRevision(3));
}

#[test]
fn a_repeated_command_changes_nothing() {
    let mut register = DrainRegister::default();
    assert_eq!(register.apply(&command("north", false, 0)), DrainOutcome::Unchanged);
    register.apply(&command("north", true, 0));
    for base_revision in [0, 1] {
        assert_eq!(register.apply(&command("north", true, base_revision)), DrainOutcome::Unchanged);
    }
    assert_eq!(register.revision(), DrainRevision(1));
}

#[test]
fn a_delayed_command_does_not_undo_a_later_one() {
    let mut register = DrainRegister::default();
    register.apply(&command("north", true, 0));
    register.apply(&command("north", false, 1));
    // A delayed repetition of the first command.
    assert_eq!(register.apply(&command("north", true, 0)), DrainOutcome::Superseded);
    assert_eq!(register.apply(&command("north", true, 1)), DrainOutcome::Superseded);
    assert!(drained_ids(&register).is_empty());
    // A change to another data centre does not supersede the command.
    register.apply(&command("south", true, 2));
    assert_eq!(register.apply(&command("north", true, 2)), DrainOutcome::Changed);
}
