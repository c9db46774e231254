//! Placement of short answers with many idle engines and with few.
//!
//! Guards against short answers gathering on few engines of a large fleet, where first events wait
//! for the pass of other answers although most engines are idle.

mod common;

use std::collections::BTreeSet;

use oriolepass_placement::{EngineFleet, EngineScope, PromptAsk, PromptKey};
use oriolepass_units::{EndpointStart, MonotonicTime};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn ask(number: u64) -> PromptAsk {
    common::prompt(PromptKey { entry: 1, number }, 5_000, 300, 250)
}

/// Places short prompts 10 ms apart and returns the engine chosen for each.
fn place(fleet: &mut EngineFleet, prompts: std::ops::Range<u64>) -> Vec<EndpointStart> {
    let place_one = |number| {
        let placed = fleet.place_among(at(number * 10), &ask(number), EngineScope::All);
        placed.expect("prompt is placed").main
    };
    prompts.map(place_one).collect()
}

#[test]
fn short_answers_are_placed_on_separate_engines_while_hundreds_are_idle() {
    let mut fleet = common::fleet(958, &common::profile(10, 73));
    let engines: BTreeSet<_> = place(&mut fleet, 0..100).into_iter().collect();
    assert_eq!(engines.len(), 100);
}

#[test]
fn homes_that_place_independently_seldom_choose_the_same_idle_engines() {
    let profile = common::profile(10, 73);
    let (mut home, mut deputy) = (common::fleet(958, &profile), common::fleet(958, &profile));
    let by_home: BTreeSet<_> = place(&mut home, 0..50).into_iter().collect();
    let by_deputy = place(&mut deputy, 1_000..1_050);
    let shared = by_deputy.iter().filter(|engine| by_home.contains(*engine)).count();
    assert!(shared <= 10, "{shared} of 50 engines chosen by both");
}

#[test]
fn short_answers_gather_while_few_engines_are_idle() {
    let mut fleet = common::fleet(18, &common::profile(16, 46));
    let engines: BTreeSet<_> = place(&mut fleet, 0..12).into_iter().collect();
    assert!(engines.len() < 4, "{engines:?}");
}

#[test]
fn short_answers_are_spread_over_the_whole_fleet() {
    let mut fleet = common::fleet(2_000, &common::profile(10, 73));
    let engines: BTreeSet<_> = place(&mut fleet, 0..300).into_iter().collect();
    assert!(engines.len() >= 285, "{} engines for 300 answers", engines.len());
}
