//! Placement by two hundred entries at the same moment, none of which knows the placements of the
//! others.
//!
//! Guards against collisions on the same engines during a surge while all daemons with the log are
//! down. Each entry then has a prompt or two per second. The sizes are those of a deployment with
//! 112 engines of 10 slots.

mod common;

use std::collections::BTreeMap;

use oriolepass_placement::{EngineCell, EngineFleet, EngineScope, PromptAsk, PromptKey};
use oriolepass_units::{EndpointStart, MonotonicTime};

const ENGINES: usize = 112;
const ENTRIES: u64 = 200;

fn fleet() -> EngineFleet {
    common::fleet(ENGINES, &common::profile(10, 73))
}

fn ask(entry: u64, number: u64, prompt_tokens: u64) -> PromptAsk {
    let (objective_ms, pause_ms) = if prompt_tokens < 20_000 { (300, 250) } else { (4_000, 1_000) };
    let key = PromptKey { entry, number };
    let prompt = common::prompt(key, prompt_tokens, objective_ms, pause_ms);
    PromptAsk { answer_tokens: 1_700, max_answer_tokens: 3_400, ..prompt }
}

fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *state ^ (*state >> 29)
}

/// Returns the number of prompts that each engine writes when every entry places `each` prompts by
/// itself.
fn placed_alone(each: u64, tokens: u64, seed: u64) -> BTreeMap<EndpointStart, usize> {
    let mut state = seed;
    let mut mains = BTreeMap::new();
    for entry in 0..ENTRIES {
        let mut fleet = fleet();
        for number in 0..each {
            let scope = EngineScope::Drawn(draw(&mut state));
            let now = MonotonicTime(1_000_000 + number * 500_000);
            let plan = fleet.place_among(now, &ask(entry, number, tokens), scope).unwrap();
            *mains.entry(plan.main).or_default() += 1;
        }
    }
    mains
}

#[test]
fn entries_without_a_home_spread_short_prompts_over_all_engines() {
    for seed in 1..=5 {
        for each in [1, 2, 3] {
            let mains = placed_alone(each, 5_000, seed);
            let most = mains.values().max().copied().unwrap();
            // A uniform draw of 200, 400 or 600 among 112 has 7, 11 or 14 on the fullest engine.
            let fair = [7, 11, 14][usize::try_from(each).unwrap() - 1];
            assert!(
                most <= 2 * fair,
                "seed {seed}: {most} prompts on one engine with {each} per entry"
            );
            assert!(mains.len() >= 70, "seed {seed}: prompts on only {} engines", mains.len());
        }
    }
}

#[test]
fn entries_without_a_home_spread_long_prompts_and_still_split_them() {
    let mains = placed_alone(1, 300_000, 3);
    assert!(mains.values().max().is_some_and(|most| *most <= 10), "{mains:?}");
    let plan = fleet().place_among(MonotonicTime(1), &ask(1, 1, 300_000), EngineScope::Drawn(9));
    assert!(plan.is_ok_and(|plan| plan.helpers.len() >= 7));
}

#[test]
fn cells_partition_all_engines_and_a_home_of_a_cell_uses_only_its_own() {
    let engines: Vec<EndpointStart> =
        (0..ENGINES).map(|n| format!("e{n}").parse().unwrap()).collect();
    for count in 1..=6 {
        let cells = (0..count).map(|index| EngineCell { index, count });
        let sizes: Vec<usize> =
            cells.map(|cell| engines.iter().filter(|engine| cell.holds(engine)).count()).collect();
        assert_eq!(sizes.iter().sum::<usize>(), ENGINES);
        let fair = ENGINES / count as usize;
        assert!(sizes.iter().all(|size| *size >= fair / 2), "{sizes:?}");
    }
    let cell = EngineCell { index: 2, count: 4 };
    let mut fleet = fleet();
    for number in 0..100 {
        let now = MonotonicTime(1_000_000 + number * 5_000);
        let plan = fleet.place_among(now, &ask(1, number, 5_000), EngineScope::Cell(cell)).unwrap();
        assert!(cell.holds(&plan.main));
    }
}
