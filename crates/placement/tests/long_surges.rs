//! Placement during surges of long prompts that many engines read in parts.
//!
//! Guards against long prompts that delay each other and the answers in progress. Prompts of 45,000
//! to 500,000 tokens arrive faster than each is read, so engines have parts of several prompts to
//! read. An engine reads the latest part first, so each later prompt delays the earlier ones on the
//! engines that they share, and each part pauses the answers that are written there.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use oriolepass_placement::{
    AnswerEnd, EngineFarm, EngineFleet, HelperPart, PassPrompt, PromptAsk, PromptKey, PromptPlan,
};
use oriolepass_units::MonotonicTime;

/// Number of engines of the deployment with this load.
const ENGINES: usize = 45;

/// Maximum number of engines that read one prompt.
const MAX_PARTS: usize = 16;

/// Number of engines that may write such that two prompts still find the maximum number of engines
/// without answers.
const MAX_WRITERS: usize = ENGINES - 2 * MAX_PARTS;

fn fleet() -> EngineFleet {
    common::fleet(ENGINES, &common::profile(12, 52))
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn key(number: u64) -> PromptKey {
    PromptKey { entry: 1, number }
}

/// Returns a medium prompt, with pauses up to 500 ms, or a long one, with pauses up to 800 ms.
fn ask(number: u64, prompt_tokens: u64) -> PromptAsk {
    let (objective_ms, pause_ms) =
        if prompt_tokens > 100_000 { (4_000, 800) } else { (1_500, 500) };
    let prompt = common::prompt(key(number), prompt_tokens, objective_ms, pause_ms);
    PromptAsk { answer_tokens: 1_000, max_answer_tokens: 2_000, ..prompt }
}

fn place(fleet: &mut EngineFleet, now_ms: u64, number: u64, prompt_tokens: u64) -> PromptPlan {
    fleet.place(at(now_ms), &ask(number, prompt_tokens)).expect("prompt is placed")
}

#[test]
fn an_engine_reads_the_latest_part_first() {
    let profile = common::profile(12, 52);
    let mut farm = EngineFarm::new(AnswerEnd::ByCount);
    (0..3).for_each(|number| farm.add(&common::endpoint(number), &profile));
    let helpers = [HelperPart { endpoint: common::endpoint(0), reserve_tokens: None }];
    let prompt = |number| PassPrompt {
        key: key(number),
        prompt_tokens: 200_000,
        parts: 2,
        answer_tokens: 100,
        priority: 6,
        tokens_at_helpers: 0,
    };
    // The first engine reads a part of both prompts; each prompt has a different main engine.
    assert!(farm.take(0.0, &common::endpoint(1), &helpers, &prompt(1)));
    assert!(farm.take(5.0, &common::endpoint(2), &helpers, &prompt(2)));
    let events = farm.advance(10_000.0);
    let first = |number| events.iter().find(|event| event.key == key(number)).unwrap().at_ms;
    assert!(first(2) < first(1), "{} and {}", first(2), first(1));
}

#[test]
fn later_parts_do_not_delay_a_prompt_that_is_nearly_due() {
    let mut fleet = fleet();
    let first = Duration::from_millis(1_200);
    let tight = PromptAsk { objective: first, whole_objective: first, ..ask(1, 480_000) };
    let early = fleet.place(at(0), &tight).expect("prompt is placed");
    let reads: BTreeSet<_> = early.helpers.iter().map(|h| h.endpoint.clone()).collect();
    let mut shared = 0;
    for number in 2..4 {
        let plan = place(&mut fleet, 600, number, 300_000);
        shared += plan.helpers.iter().filter(|h| reads.contains(&h.endpoint)).count();
    }
    assert_eq!(shared, 0, "later parts share engines although 29 others are idle");
}

#[test]
fn long_answers_gather_and_leave_other_engines_to_long_parts() {
    let mut fleet = fleet();
    let mut writers = BTreeSet::new();
    // Fifteen answers to medium prompts at a time, as in a surge.
    for number in 0..15 {
        let now_ms = number * 60;
        let plan = place(&mut fleet, now_ms, number, 45_000);
        fleet.first_event(at(now_ms + 50), key(number));
        writers.insert(plan.main);
    }
    assert!(writers.len() <= MAX_WRITERS, "answers are written by {} engines", writers.len());
    let long = place(&mut fleet, 1_000, 100, 300_000);
    let disturbed = long.helpers.iter().filter(|h| writers.contains(&h.endpoint)).count();
    assert_eq!(disturbed, 0, "a part is read on an engine that writes");
    assert!(long.helpers.len() >= 7, "{} helpers", long.helpers.len());
}

/// Number of engines of which a third is idle while the others read a long prompt.
const FEW_ENGINES: usize = 24;

#[test]
fn later_parts_are_not_read_on_an_engine_that_is_about_to_write() {
    let mut fleet = common::fleet(FEW_ENGINES, &common::profile(12, 52));
    let first = place(&mut fleet, 0, 1, 300_000);
    assert_eq!(first.helpers.len() + 1, MAX_PARTS, "parts of the first prompt");
    // The first event is due in some 80 ms. A part of the next prompt takes 770 ms, nearly the
    // longest pause that is on time.
    let next = place(&mut fleet, 250, 2, 480_000);
    let disturbs = next.helpers.iter().any(|helper| helper.endpoint == first.main);
    assert!(
        next.main != first.main && !disturbs,
        "a part is read on {}, which is about to write",
        first.main
    );
    assert_eq!(next.helpers.len() + 1, MAX_PARTS, "parts of the second prompt");
}
