//! Second sends of prompts whose first engine is slow.

mod common;

use std::time::Duration;

use oriolepass_placement::{
    EngineFleet, PromptAsk, PromptKey, PromptPlan, RefusalReason, SecondSend,
};
use oriolepass_units::{EndpointStart, MonotonicTime};

const ENGINES: usize = 4;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn key(number: u64) -> PromptKey {
    PromptKey { entry: 1, number }
}

fn ask(number: u64, prompt_tokens: u64) -> PromptAsk {
    common::prompt(key(number), prompt_tokens, 300, 250)
}

fn fleet() -> EngineFleet {
    common::fleet(ENGINES, &common::profile(12, 48))
}

/// Asks for a second send of prompt 1 and returns the reason for a refusal.
fn place_second(
    fleet: &mut EngineFleet,
    ms: u64,
    ask: &PromptAsk,
    first_remaining_ms: u64,
) -> Result<PromptPlan, RefusalReason> {
    let first_remaining = Duration::from_millis(first_remaining_ms);
    let second = SecondSend { first: key(1), first_remaining };
    let placed = fleet.place_second(at(ms), ask, &second, |_| true);
    placed.map_err(|refusal| refusal.reason)
}

/// Guards against a late first event of a prompt whose engine is slow while others are idle.
#[test]
fn an_overdue_prompt_goes_to_one_other_engine() {
    let mut fleet = fleet();
    let first = fleet.place(at(0), &ask(1, 5_000)).expect("a plan");
    let second = place_second(&mut fleet, 200, &ask(2, 5_000), 400).expect("a plan");
    assert_ne!(second.main, first.main);
    assert!(second.helpers.is_empty());
    assert_eq!(fleet.placed_count(), 2);
    fleet.ended(at(250), key(1));
    assert_eq!(fleet.placed_count(), 1, "the cancelled send takes no engine");
}

/// Guards against an engine that answers nothing and looks idle, because each prompt there is
/// cancelled after a second send: 20 prompts a second.
#[test]
fn a_slow_engine_does_not_attract_the_next_prompts() {
    let mut fleet = fleet();
    let first = fleet.place(at(0), &ask(1, 5_000)).expect("a plan");
    let second = place_second(&mut fleet, 200, &ask(2, 5_000), 400).expect("a plan");
    fleet.first_event(at(250), key(2));
    fleet.ended(at(250), key(1));
    for number in 10..30 {
        let next = fleet.place(at(250), &ask(number, 10_000)).expect("a plan");
        assert_ne!(next.main, first.main);
    }
    assert_ne!(second.main, first.main);
    fleet.ended(at(300), key(2));
    let mains: Vec<_> = (30..60)
        .filter_map(|number| Some(fleet.place(at(1_300 + number), &ask(number, 5_000)).ok()?.main))
        .collect();
    assert!(mains.contains(&first.main), "it is used again after a second");
}

/// Guards against second sends that begin no earlier than the first one.
#[test]
fn a_prompt_that_is_about_to_begin_is_not_sent_again() {
    let mut fleet = fleet();
    fleet.place(at(0), &ask(1, 5_000)).expect("a plan");
    let refused = place_second(&mut fleet, 200, &ask(2, 5_000), 10);
    assert_eq!(refused, Err(RefusalReason::NoLead));
    assert_eq!(fleet.placed_count(), 1);
}

/// Guards against second giants: a prompt of 400,000 tokens takes one engine alone for seconds.
#[test]
fn a_second_send_has_no_helpers_and_disturbs_no_answer() {
    let mut fleet = fleet();
    for number in 10..10 + ENGINES as u64 * 2 {
        let placed = fleet.place(at(0), &ask(number, 1_000)).expect("a plan");
        fleet.first_event(at(100), key(number));
        assert!(placed.helpers.is_empty());
    }
    fleet.place(at(100), &ask(1, 60_000)).expect("a plan");
    let refused = place_second(&mut fleet, 2_000, &ask(2, 400_000), 20_000);
    assert!(refused.is_err(), "{refused:?}");
}

/// Guards against second sends that take the places of new prompts in a surge.
#[test]
fn in_a_surge_no_place_is_taken() {
    let mut fleet = fleet();
    fleet.place(at(0), &ask(1, 5_000)).expect("a plan");
    for number in 10..10 + 9 * ENGINES as u64 {
        fleet.place(at(0), &ask(number, 500)).expect("a plan");
        fleet.first_event(at(0), key(number));
    }
    let refused = place_second(&mut fleet, 100, &ask(2, 5_000), 10_000);
    assert_eq!(refused, Err(RefusalReason::Crowded));
}

/// Guards against prompts that move from one slow engine to another when many are slow.
#[test]
fn where_many_engines_are_silent_no_second_send_follows() {
    let mut fleet = fleet();
    let first = fleet.place(at(0), &ask(1, 1_000)).expect("a plan");
    let others = (0..ENGINES).map(common::endpoint).filter(|other| *other != first.main);
    for engine in others.take(2) {
        fleet.explains_silence(at(5_000), &engine, Duration::from_millis(5_000));
    }
    let refused = place_second(&mut fleet, 5_000, &ask(2, 1_000), 10_000);
    assert_eq!(refused, Err(RefusalReason::AllSlow));
}

/// Guards against second sends to engines that failed the prompt or asked for rest, and beyond the
/// limit that the operators set.
#[test]
fn engines_to_avoid_and_the_limit_are_respected() {
    let mut fleet = fleet();
    let first = fleet.place(at(0), &ask(1, 5_000)).expect("a plan");
    let others: Vec<EndpointStart> =
        (0..ENGINES).map(common::endpoint).filter(|other| *other != first.main).collect();
    let avoiding =
        PromptAsk { avoid: others[..2].to_vec(), resting: others[2..].to_vec(), ..ask(2, 5_000) };
    let refused = place_second(&mut fleet, 200, &avoiding, 1_000);
    assert_eq!(refused, Err(RefusalReason::NoEngine));
    let second = SecondSend { first: key(1), first_remaining: Duration::from_secs(1) };
    let mut work_ms = 0.0;
    let refused = fleet.place_second(at(200), &ask(2, 5_000), &second, |ms| {
        work_ms = ms;
        false
    });
    assert_eq!(refused.map_err(|refusal| refusal.reason), Err(RefusalReason::SecondLimit));
    assert!((15.0..30.0).contains(&work_ms), "the work of reading 5,000 tokens: {work_ms} ms");
}
