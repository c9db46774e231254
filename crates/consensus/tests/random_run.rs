//! Runs consensus nodes with their log stores on fake disks through seeded random faults.
//!
//! A seed determines every delay, loss, duplicate, partition, crash, clock rate, lost disk and
//! snapshot, so a failing seed replays exactly. `oriolepass_seeds` documents how to choose seeds.

mod harness;

use std::collections::BTreeMap;

use harness::{Coverage, FirstStarts, RunPlan, SuspendedClock, run_membership_seed, run_seed};
use oriolepass_seeds::run_seeds;

/// The number of seeds if the environment sets none; a fixed number for CI.
const DEFAULT_SEEDS: u64 = 400;

/// Guards against the loss or duplication of acknowledged commands, diverging logs, two leaders in
/// one term, two valid leases and stale reads.
#[test]
fn accepted_entries_survive_random_faults() {
    let mut coverage = Coverage::default();
    let all = run_seeds(DEFAULT_SEEDS, |seed, trace| {
        run_seed(seed, &RunPlan::for_seed(seed), trace, &mut coverage);
    });
    println!("{coverage}");
    if all {
        coverage.assert_all_met();
    }
}

/// Guards against a cluster that elects no leader and serves no accepted entry after a power loss
/// on all machines and the loss of one disk.
///
/// The fault requires processes that were killed while writing. A restarted process reads its
/// unsynced data as durable, and a later power loss removes that data from a log that other
/// replicas rely on. The test fails if the store does not sync the data that it reads at start.
#[test]
fn accepted_entries_survive_process_kills_and_power_loss() {
    let mut coverage = Coverage::default();
    let (mut kills, mut final_power_losses) = (0, 0);
    let all = run_seeds(DEFAULT_SEEDS, |seed, trace| {
        let counts = run_seed(seed, &RunPlan::with_kills(seed), trace, &mut coverage);
        kills += counts.kills;
        final_power_losses += counts.final_power_losses;
    });
    println!("{coverage}kills {kills}  final_power_losses {final_power_losses}");
    if all {
        assert!(
            kills > 0 && final_power_losses > 0,
            "kills {kills}, final power losses {final_power_losses}"
        );
    }
}

/// Guards against lost entries and overlapping leases when machines are suspended for up to three
/// seconds. Leaders and several machines at once are suspended too. Their clocks include the time
/// of the suspension.
#[test]
fn accepted_entries_and_leases_survive_suspensions() {
    let mut coverage = Coverage::default();
    let mut suspensions = 0;
    let all = run_seeds(DEFAULT_SEEDS, |seed, trace| {
        let plan = RunPlan::with_suspensions(seed, SuspendedClock::Counts);
        suspensions += run_seed(seed, &plan, trace, &mut coverage).suspensions;
    });
    println!("{coverage}suspensions {suspensions}");
    if all {
        assert!(suspensions > DEFAULT_SEEDS, "{suspensions} suspensions");
    }
}

/// Checks that `accepted_entries_and_leases_survive_suspensions` can detect overlapping leases.
/// With a clock that stops during a suspension, a suspended leader holds its lease for longer than
/// the other replicas wait before they vote.
#[test]
fn a_clock_that_stops_during_suspension_breaks_leases() {
    let failing_seed = (0..DEFAULT_SEEDS).find(|seed| {
        let plan = RunPlan::with_suspensions(*seed, SuspendedClock::Stops);
        let run = || run_seed(*seed, &plan, false, &mut Coverage::default());
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).is_err()
    });
    assert!(
        failing_seed.is_some(),
        "no seed of {DEFAULT_SEEDS} breaks an invariant with a stopped clock"
    );
}

/// Guards against two leaders that hold a lease at once.
///
/// A leader is deposed and re-elected in a later term, and one of its earlier messages reaches a
/// follower only then. If the follower refuses the message in the current term with the old
/// message's round, the leader takes that for an answer to a round that it has not sent yet. Rounds
/// restart with each term, so its lease and its reads would count on that follower indefinitely.
#[test]
fn a_reelected_leader_gains_no_acknowledgement_from_rounds_of_earlier_terms() {
    let seed = 15_538;
    let plan = RunPlan::with_suspensions(seed, SuspendedClock::Counts);
    run_seed(seed, &plan, false, &mut Coverage::default());
}

/// Guards against two systems after the first start, lost acknowledgements, and voters that are
/// not repaired: an empty place, or a replica that does not know whether it is a voter.
#[test]
fn voters_are_repaired_after_troubles_in_series() {
    run_membership_seeds(FirstStarts::Together);
}

/// Guards against the same where some machines start after the others have elected a leader, which may
/// replace the seeds that it does not hear from.
#[test]
fn voters_are_repaired_if_machines_start_one_after_the_other() {
    run_membership_seeds(FirstStarts::InTurn);
}

fn run_membership_seeds(starts: FirstStarts) {
    let mut troubles: BTreeMap<&str, u64> = BTreeMap::new();
    let all = run_seeds(DEFAULT_SEEDS, |seed, trace| {
        for (trouble, count) in run_membership_seed(seed, starts, trace) {
            *troubles.entry(trouble).or_default() += count;
        }
    });
    println!("{troubles:?}");
    if all {
        assert_eq!(troubles.len(), 7, "troubles that never occurred: {troubles:?}");
    }
}
