//! Tests that daemons stay within the retry budget together while they are split for long.

use std::collections::VecDeque;
use std::time::Duration;

use oriolepass_units::{InstanceId, MonotonicTime, ServiceName};

use crate::budget::{BudgetRule, ProcessStart, RetryBudget};
use crate::peers::TrailingField;
use crate::roster::{DaemonNote, DaemonPhase, DaemonRoster};

const RULE: BudgetRule = BudgetRule { ratio: 0.0, slack: 240.0, window: Duration::from_secs(10) };
const STEP_MS: u64 = 600;
const SEEDS: usize = 3;

/// When the daemons are split, and when the split ends.
const SPLIT_MS: u64 = 20_000;
const HEAL_MS: u64 = 260_000;

/// When all daemons start again, in tests that say so.
const RESTART_MS: u64 = 54 * STEP_MS;
const END_MS: u64 = 300_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Topology {
    Mesh,
    Hubs,
}

struct Daemon {
    roster: DaemonRoster,
    budget: RetryBudget,
}

impl Daemon {
    /// Repeats as often as the budget allows; returns how often.
    fn repeat_all(&mut self, now: MonotonicTime, topology: Topology) -> usize {
        let service: ServiceName = "portal".parse().expect("a name");
        let mut repeats = 0;
        while match topology {
            Topology::Mesh => {
                let daemons = self.roster.budget_count() + 1;
                self.budget.take(now, &RULE, daemons, &service)
            }
            Topology::Hubs => {
                let hubs = self.roster.budget_hub_count() + 1;
                self.budget.grant(now, &RULE, hubs, &service)
            }
        } {
            repeats += 1;
        }
        repeats
    }
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn instance(number: usize) -> InstanceId {
    format!("10.1.0.{}:7000", number + 1).parse().expect("an id")
}

fn note(number: usize, phase: DaemonPhase) -> DaemonNote {
    DaemonNote {
        instance: instance(number),
        name: format!("front-{number}").parse().expect("a name"),
        boot: 7,
        data_centre: "recife-a".parse().expect("a name"),
        callers: "10.1.0.2:8000".parse().expect("an address"),
        phase,
        has_disk: true,
        may_found: false,
        replica: None,
        known: 3,
        is_tiered: false,
        edition: 1,
        protocol: TrailingField::default(),
        is_cut_off: TrailingField::default(),
        is_founding: TrailingField::default(),
    }
}

/// Runs daemons that are split into `sides` for longer than a daemon stays in the roster, and returns
/// the largest share of the allowance that a window has.
fn largest_share(
    daemons: usize,
    side_of: impl Fn(usize) -> usize,
    topology: Topology,
    restarts_at_ms: Option<u64>,
) -> f64 {
    let start = |ms, start| Daemon {
        roster: DaemonRoster::default(),
        budget: RetryBudget::new(at(ms), start),
    };
    let mut all: Vec<Daemon> = (0..daemons).map(|_| start(0, ProcessStart::First)).collect();
    let mut repeats = VecDeque::new();
    let mut largest: f64 = 0.0;
    for ms in (0..END_MS).step_by(STEP_MS as usize) {
        let now = at(ms);
        let is_split = (SPLIT_MS..HEAL_MS).contains(&ms);
        if restarts_at_ms == Some(ms) {
            all = (0..daemons).map(|_| start(ms, ProcessStart::Later)).collect();
        }
        for (number, daemon) in all.iter_mut().enumerate() {
            let is_heard = |other: &usize| !is_split || side_of(*other) == side_of(number);
            let heard: Vec<usize> = (0..daemons).filter(is_heard).collect();
            for other in heard.iter().filter(|other| **other != number) {
                daemon.roster.update(now, note(*other, DaemonPhase::Ready));
            }
            if 2 * heard.len() > daemons {
                daemon.budget.record_majority(now);
            }
            let seeds: Vec<InstanceId> = (0..SEEDS).map(instance).collect();
            for seed in (0..SEEDS).filter(|seed| *seed != number) {
                daemon.roster.add(now, &seeds[seed]);
            }
            daemon.roster.expire(now, |daemon| seeds.contains(daemon));
        }
        // Daemons are ready only after they have met.
        if ms >= STEP_MS {
            let made: usize = all.iter_mut().map(|daemon| daemon.repeat_all(now, topology)).sum();
            repeats.push_back((ms, made));
        }
        while repeats.front().is_some_and(|(sent, _)| ms - sent > 10_000) {
            repeats.pop_front();
        }
        let in_window: usize = repeats.iter().map(|(_, made)| made).sum();
        largest = largest.max(in_window as f64 / RULE.slack);
    }
    largest
}

// Guards against repeats beyond the budget because each side of a long split forgets the daemons of the
// other side and divides the fixed number among its own.
#[test]
fn long_splits_do_not_add_to_the_retry_budget() {
    for topology in [Topology::Mesh, Topology::Hubs] {
        for (daemons, sides) in [(12, 2), (12, 3), (12, 12), (60, 2), (60, 5)] {
            let share = largest_share(daemons, |number| number % sides, topology, None);
            println!("{daemons} daemons, {sides} sides: {share:.2} of the allowance");
            assert!(share <= 1.0, "{daemons} daemons, {sides} sides: {share:.2} of the allowance");
        }
    }
}

// Guards against the same by daemons that start again during a split and know only their own side and
// the seeds. Daemons with a number below the first limit are on one side, and so on.
#[test]
fn restarts_during_splits_do_not_add_to_the_retry_budget() {
    for topology in [Topology::Mesh, Topology::Hubs] {
        for limits in [vec![6], vec![8], vec![4, 8], vec![7, 9]] {
            let side_of = |number| limits.iter().filter(|limit| number >= **limit).count();
            let share = largest_share(12, side_of, topology, Some(RESTART_MS));
            println!("sides end at {limits:?}: {share:.2} of the allowance");
            assert!(share <= 1.0, "sides end at {limits:?}: {share:.2} of the allowance");
        }
    }
}

// Guards against a budget that shrinks for good with each daemon that was shut down, or that ended long
// ago.
#[test]
fn daemons_that_have_left_do_not_share_the_retry_budget() {
    let mut roster = DaemonRoster::default();
    (1..=8).for_each(|number| {
        roster.update(at(0), note(number, DaemonPhase::Ready));
    });
    (5..=6).for_each(|number| roster.left(&instance(number)));
    let mut now = at(0);
    for _ in 0..200 {
        now = now + Duration::from_secs(1);
        (1..=4).for_each(|number| {
            roster.update(now, note(number, DaemonPhase::Ready));
        });
        roster.expire(now, |_| false);
    }
    assert_eq!(roster.known_count(), 4);
    assert_eq!(roster.budget_count(), 6, "two may be alive on the other side of a split");
    assert_eq!(roster.budget_hub_count(), 6);
    roster.update(now, note(7, DaemonPhase::Ready));
    assert_eq!(roster.budget_count(), 6, "one is back and counts once");
    roster.add(now, &instance(8));
    assert_eq!((roster.budget_count(), roster.budget_hub_count()), (6, 6), "others name it again");
    let later = now + Duration::from_secs(91);
    roster.expire(later, |daemon| *daemon != instance(8));
    assert_eq!((roster.budget_count(), roster.budget_hub_count()), (6, 6), "it is silent still");
    roster.left(&instance(8));
    assert_eq!((roster.budget_count(), roster.budget_hub_count()), (5, 5), "one has left");
    (1..=7).for_each(|number| {
        roster.update(now, note(number, DaemonPhase::Ready));
    });
    let later = now + Duration::from_secs(100);
    (1..=4).for_each(|number| {
        roster.update(later, note(number, DaemonPhase::Ready));
    });
    roster.expire(later, |_| false);
    assert_eq!(roster.budget_count(), 7);
    let long_after = later + Duration::from_secs(4_000);
    (1..=4).for_each(|number| {
        roster.update(long_after, note(number, DaemonPhase::Ready));
    });
    roster.expire(long_after, |_| false);
    assert_eq!(roster.budget_count(), 4, "the others ended long ago");
}
