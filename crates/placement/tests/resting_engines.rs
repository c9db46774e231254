//! Engines that asked an entry for rest get none of its prompts and read no parts of them, and get the prompts
//! of other entries.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_limits::RestTable;
use oriolepass_placement::{EngineCell, EngineFleet, EngineScope, PromptAsk, PromptKey};
use oriolepass_units::{EndpointStart, MonotonicTime};

const ENGINES: usize = 8;

/// The number of prompts of many entries.
const PROMPTS: u64 = 1_200;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn fleet() -> EngineFleet {
    common::fleet(ENGINES, &common::profile(12, 48))
}

fn ask(entry: u64, number: u64, prompt_tokens: u64, resting: &[usize]) -> PromptAsk {
    let prompt = common::prompt(PromptKey { entry, number }, prompt_tokens, 3_000, 500);
    PromptAsk { resting: resting.iter().copied().map(common::endpoint).collect(), ..prompt }
}

/// Returns the engines that prompts of various sizes are placed on, as main engines or helpers.
fn used(
    fleet: &mut EngineFleet,
    entry: u64,
    scope: EngineScope,
    resting: &[usize],
) -> BTreeSet<EndpointStart> {
    let mut used = BTreeSet::new();
    for number in 0..60 {
        let prompt_tokens = [900, 40_000, 200_000][number as usize % 3];
        let ask = ask(entry, number, prompt_tokens, resting);
        let now = at(1_000 + number * 400);
        if let Ok(plan) = fleet.place_among(now, &ask, scope) {
            used.insert(plan.main);
            used.extend(plan.helpers.into_iter().map(|helper| helper.endpoint));
        }
        fleet.ended(now, ask.key);
    }
    used
}

/// Guards against a home that treats a rest as a preference where few engines are left.
#[test]
fn a_resting_engine_is_neither_main_engine_nor_helper() {
    let resting: Vec<usize> = (1..ENGINES).collect();
    let placed = used(&mut fleet(), 1, EngineScope::All, &resting);
    assert_eq!(placed, BTreeSet::from([common::endpoint(0)]));
}

#[test]
fn a_deputy_places_no_prompt_on_a_resting_engine_of_its_cell() {
    for index in 0..2 {
        let scope = EngineScope::Cell(EngineCell { index, count: 2 });
        let placed = used(&mut fleet(), 1, scope, &[0, 1, 2, 3, 4, 5]);
        assert!((0..6).all(|number| !placed.contains(&common::endpoint(number))), "{placed:?}");
    }
}

#[test]
fn a_prompt_is_refused_if_all_engines_rest() {
    let all: Vec<usize> = (0..ENGINES).collect();
    assert!(fleet().place(at(0), &ask(1, 1, 900, &all)).is_err());
}

/// Guards against a rest that excludes an engine from the prompts of entries that were not asked for it.
#[test]
fn a_rest_excludes_an_engine_from_the_prompts_of_one_entry_only() {
    let mut fleet = fleet();
    let resting: Vec<usize> = (1..ENGINES).collect();
    used(&mut fleet, 1, EngineScope::All, &resting);
    let placed = used(&mut fleet, 2, EngineScope::All, &[]);
    assert!(placed.len() > 1, "{placed:?}");
}

/// Sends the prompts of many entries in turn, and asks the entry of each `one_in`-th prompt for rest. Returns the
/// numbers of prompts that were placed and of rests.
fn run_entries(entries: u64, engines: usize, one_in: u64) -> (u64, u64) {
    let mut fleet = common::fleet(engines, &common::profile(12, 48));
    let mut tables: BTreeMap<u64, RestTable> = BTreeMap::new();
    let (mut placed, mut rests) = (0, 0);
    for number in 0..PROMPTS {
        let now = at(1_000 + number * 2);
        // A quarter of the entries have most of the callers.
        let entry = if number % 4 == 0 { number % entries } else { number % (entries / 4).max(1) };
        let table = tables.entry(entry).or_default();
        let prompt = common::prompt(PromptKey { entry, number }, 3_000, 300, 200);
        let ask = PromptAsk { resting: table.resting(now).cloned().collect(), ..prompt };
        let Ok(plan) = fleet.place(now, &ask) else { continue };
        assert!(!table.is_resting(now, &plan.main), "{} rests for entry {entry}", plan.main);
        placed += 1;
        if number % one_in == 0 {
            table.record(now, &plan.main, Duration::from_secs(3));
            rests += 1;
        }
        fleet.ended(now, ask.key);
    }
    (placed, rests)
}

/// Guards against rests that are kept by a few instances only: each of 994 may have others.
#[test]
fn rests_of_200_and_994_entries_are_kept_and_prompts_are_placed_beside_them() {
    for (entries, engines) in [(200, 200), (994, 958)] {
        for one_in in [40, 5, 2] {
            let (placed, rests) = run_entries(entries, engines, one_in);
            println!("{entries} entries: {placed} placed, {rests} rests");
            assert_eq!(placed, PROMPTS);
            assert!(rests >= PROMPTS / one_in);
        }
    }
}
