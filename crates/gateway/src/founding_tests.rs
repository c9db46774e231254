//! Tests of what a daemon with an empty disk does, and of the number of voters.

use oriolepass_settings::ToleranceSettings;

use crate::founding::{EmptyStart, StartView, min_voter_count, voter_count};

const SEED: StartView = StartView {
    may_found: true,
    is_seed: true,
    seeds: 3,
    heard_seeds: 2,
    knows_voters: false,
    is_founded: false,
};

/// Guards against two systems after a first start in which the seeds do not reach each other.
#[test]
fn a_seed_founds_only_if_a_majority_of_the_seeds_was_heard_from() {
    assert_eq!(SEED.decide(), EmptyStart::Found);
    assert_eq!(StartView { heard_seeds: 1, ..SEED }.decide(), EmptyStart::WaitForSeeds);
    assert_eq!(StartView { seeds: 1, heard_seeds: 1, ..SEED }.decide(), EmptyStart::Found);
    let even = StartView { seeds: 4, heard_seeds: 2, ..SEED };
    assert_eq!(even.decide(), EmptyStart::WaitForSeeds);
}

/// Guards against a seed that founds again after it has lost its disk.
#[test]
fn a_seed_without_its_disk_joins() {
    let lost = StartView { may_found: false, ..SEED };
    assert_eq!(lost.decide(), EmptyStart::WaitForSystem);
    assert_eq!(StartView { knows_voters: true, ..lost }.decide(), EmptyStart::Join);
    // The settings were not changed after the loss of the disk.
    let unchanged = StartView { knows_voters: true, is_founded: true, ..SEED };
    assert_eq!(unchanged.decide(), EmptyStart::Join);
}

/// Guards against a seed that starts late and joins as another replica than the voter that the others count on.
#[test]
fn a_seed_founds_beside_seeds_that_have_accepted_no_command_yet() {
    assert_eq!(StartView { knows_voters: true, ..SEED }.decide(), EmptyStart::Found);
}

/// Guards against a daemon that is no seed and founds a system of its own.
#[test]
fn a_daemon_that_is_no_seed_waits_for_a_system() {
    let other = StartView { is_seed: false, ..SEED };
    assert_eq!(other.decide(), EmptyStart::WaitForSystem);
    assert_eq!(StartView { knows_voters: true, ..other }.decide(), EmptyStart::Join);
}

/// Guards against a document that is acknowledged with fewer voters than the losses take.
#[test]
fn the_voters_outnumber_twice_the_losses() {
    let tolerance = |instances, data_centres| ToleranceSettings { instances, data_centres };
    assert_eq!(min_voter_count(&tolerance(0, 0)), 1);
    assert_eq!(voter_count(&tolerance(0, 0)), 3);
    assert_eq!(min_voter_count(&tolerance(2, 0)), 5);
    assert_eq!(voter_count(&tolerance(2, 1)), 5);
}
