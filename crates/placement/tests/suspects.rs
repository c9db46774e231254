//! Placement of suspects: prompts that engines were serving when they ended.
//!
//! Guards against suspects that gather on few engines, where the next end interrupts many streams
//! and does not identify its cause. When an engine with a dozen prompts ends, each of them may be
//! the cause, and all are placed again at the same moment. The sizes are those of the smaller
//! deployments: 14 engines with 16 slots, prompts of 5,000 tokens, answers of 1,600.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use oriolepass_placement::{EngineFleet, PromptAsk, PromptKey};
use oriolepass_units::{EndpointStart, MonotonicTime};

const ENGINES: usize = 14;

/// Number of prompts that run on an engine when it ends.
const PROMPTS_PER_ENGINE: u64 = 12;

fn fleet() -> EngineFleet {
    common::fleet(ENGINES, &common::profile(16, 46))
}

fn ask(number: u64, prompt_tokens: u64, is_suspect: bool) -> PromptAsk {
    let key = PromptKey { entry: 1, number };
    PromptAsk { is_suspect, ..common::prompt(key, prompt_tokens, 300, 200) }
}

fn place(
    fleet: &mut EngineFleet,
    prompts: std::ops::Range<u64>,
    is_suspect: bool,
) -> Vec<EndpointStart> {
    let at = MonotonicTime(1_000_000);
    let place =
        |number| fleet.place(at, &ask(number, 5_000, is_suspect)).expect("prompt is placed").main;
    prompts.map(place).collect()
}

#[test]
fn each_of_a_dozen_suspects_is_placed_on_an_engine_of_its_own() {
    let mut usual = fleet();
    let gathered: BTreeSet<_> =
        place(&mut usual, 0..PROMPTS_PER_ENGINE, false).into_iter().collect();
    assert!(gathered.len() < 4, "other prompts are spread: {gathered:?}");
    let mut careful = fleet();
    let apart: BTreeSet<_> = place(&mut careful, 0..PROMPTS_PER_ENGINE, true).into_iter().collect();
    assert_eq!(apart.len(), 12, "{apart:?}");
}

#[test]
fn a_suspect_is_placed_where_no_other_suspect_and_the_fewest_prompts_run() {
    let mut fleet = fleet();
    let others = place(&mut fleet, 0..10, false);
    let first = place(&mut fleet, 100..101, true);
    assert!(!others.contains(&first[0]), "suspect placed beside other prompts");
    // The suspects fill the engines without other prompts first; the last one is placed on the
    // engine with the other prompts.
    let rest = place(&mut fleet, 101..100 + ENGINES as u64, true);
    let all: BTreeSet<_> = first.iter().chain(&rest).collect();
    assert_eq!(all.len(), ENGINES, "two suspects share an engine");
}

#[test]
fn a_suspect_too_long_for_one_engine_is_placed_on_several() {
    let mut fleet = fleet();
    place(&mut fleet, 0..30, false);
    let mut long = ask(100, 600_000, true);
    (long.objective, long.whole_objective) = (Duration::from_secs(20), Duration::from_secs(20));
    (long.pause, long.deadline) = (Duration::from_secs(1), Duration::from_secs(60));
    let plan = fleet.place(MonotonicTime(1_000_000), &long).expect("prompt is placed");
    assert!(!plan.helpers.is_empty(), "placed on one engine, which cannot hold it");
}
