//! Prompts go where they lose least, on engines as the users' platform publishes them.

mod common;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use oriolepass_placement::{
    AnswerEnd, EngineFarm, EngineFleet, LackReason, PassPrompt, PromptAsk, PromptKey, ReadCost,
};
use oriolepass_routing::EngineProfile;
use oriolepass_units::{EndpointStart, MonotonicTime};

use common::endpoint;

fn profile() -> Arc<EngineProfile> {
    common::profile(16, 46)
}

fn fleet(engines: usize) -> EngineFleet {
    common::fleet(engines, &profile())
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn key(number: u64) -> PromptKey {
    PromptKey { entry: 1, number }
}

fn ask(number: u64, prompt_tokens: u64) -> PromptAsk {
    let (objective_ms, pause_ms) = if prompt_tokens < 20_000 { (300, 200) } else { (3_000, 800) };
    let prompt = common::prompt(key(number), prompt_tokens, objective_ms, pause_ms);
    PromptAsk { deadline: Duration::from_secs(15), ..prompt }
}

#[test]
fn first_events_come_when_the_users_bench_showed_them() {
    // A prompt of 1,828 tokens on an idle engine: 12.3 ms, of which 4 to 5 on the way.
    let mut farm = EngineFarm::new(AnswerEnd::ByCount);
    farm.add(&endpoint(0), &profile());
    let prompt = |number, prompt_tokens, parts| PassPrompt {
        key: key(number),
        prompt_tokens,
        parts,
        answer_tokens: 46 * 24,
        priority: 2,
        tokens_at_helpers: 0,
    };
    farm.take(0.0, &endpoint(0), &[], &prompt(1, 1_828, 1));
    let events = farm.advance(3_000.0);
    assert!((7.0..9.5).contains(&events[0].at_ms), "{}", events[0].at_ms);
    assert_eq!(events.iter().filter(|event| event.is_last).count(), 1);
    // Its events come 43 ms apart: a pass of 46 steps.
    assert!((42.0..46.0).contains(&(events[2].at_ms - events[1].at_ms)));
    // A second one waits for the end of the present pass and a pass of its own.
    farm.take(5_000.0, &endpoint(0), &[], &prompt(2, 1_828, 1));
    farm.advance(5_020.0);
    farm.take(5_020.0, &endpoint(0), &[], &prompt(3, 1_711, 1));
    let first = farm.advance(6_000.0).into_iter().find(|event| event.key == key(3)).unwrap();
    assert!((60.0..100.0).contains(&(first.at_ms - 5_020.0)), "{}", first.at_ms - 5_020.0);
}

#[test]
fn a_long_prompt_is_read_by_several_engines() {
    let plan = fleet(14).place(at(0), &ask(1, 210_000)).unwrap();
    assert!(plan.helpers.len() >= 3, "{} helpers", plan.helpers.len());
    assert!(plan.first_event < Duration::from_millis(1_000), "{:?}", plan.first_event);
    assert!(plan.helpers.iter().all(|helper| helper.endpoint != plan.main));
    let alone = ReadCost::new(&profile(), 210_000).whole_ms;
    assert!((2_800.0..2_900.0).contains(&alone), "{alone}");
}

#[test]
fn short_answers_share_engines_and_long_prompts_stay_away_from_them() {
    let mut fleet = fleet(8);
    for number in 0..8 {
        fleet.place(at(number * 30), &ask(number, 4_000)).unwrap();
        fleet.first_event(at(number * 30 + 25), key(number));
    }
    let with_short: BTreeSet<_> =
        (0..8).map(|number| fleet.engines_of(key(number))[0].clone()).collect();
    assert!(with_short.len() <= 2, "{with_short:?}");
    let plan = fleet.place(at(300), &ask(100, 200_000)).unwrap();
    let disturbed = plan.helpers.iter().filter(|h| with_short.contains(&h.endpoint)).count();
    assert_eq!(disturbed + usize::from(with_short.contains(&plan.main)), 0);
}

/// Places a short prompt and returns the engine that writes its answer.
fn place_short(fleet: &mut EngineFleet, number: u64, now_ms: u64) -> EndpointStart {
    let plan = fleet.place(at(now_ms), &ask(number, 4_000)).unwrap();
    fleet.first_event(at(now_ms + 30), key(number));
    plan.main
}

#[test]
fn after_a_flood_of_short_prompts_their_answers_gather_on_few_engines() {
    let mut fleet = fleet(14);
    let mut under_way: VecDeque<(u64, u64)> = VecDeque::new();
    let mut number = 0;
    let mut play = |fleet: &mut EngineFleet, span: std::ops::Range<u64>, every_ms: usize| {
        let mut used = Vec::new();
        for now_ms in span.step_by(every_ms) {
            while under_way.front().is_some_and(|(_, ends)| *ends <= now_ms) {
                let (ended, _) = under_way.pop_front().unwrap();
                fleet.ended(at(now_ms), key(ended));
            }
            used.push(place_short(fleet, number, now_ms));
            under_way.push_back((number, now_ms + 2_000));
            number += 1;
        }
        used
    };
    // 83 a second take most engines; 20 a second, 40 at a time, fit on three.
    let flood = play(&mut fleet, 0..5_000, 12);
    assert!(flood.iter().collect::<BTreeSet<_>>().len() >= 9);
    play(&mut fleet, 5_000..7_500, 50);
    let ebb = play(&mut fleet, 7_500..10_000, 50);
    let used: BTreeSet<_> = ebb.iter().collect();
    assert!(used.len() <= 3, "answers are still begun on {} engines", used.len());
}

#[test]
fn a_prompt_beyond_one_engines_memory_is_kept_by_several() {
    let mut fleet = fleet(8);
    let plan = fleet.place(at(0), &ask(1, 700_000)).unwrap();
    let kept: u64 = plan.helpers.iter().filter_map(|helper| helper.reserve_tokens).sum();
    assert!(700_000 - kept <= 450_000, "the engine that writes keeps {}", 700_000 - kept);
    let lack = fleet.place(at(1), &ask(2, 3_000_000)).unwrap_err();
    assert_eq!(lack.reason, LackReason::NoMemory, "no group can hold it");
    fleet.ended(at(2), key(1));
    assert_eq!(fleet.placed_count(), 0, "nothing is left behind");
}

#[test]
fn while_engines_are_busy_a_giant_that_costs_more_than_it_brings_is_refused() {
    let mut fleet = fleet(14);
    // In calm times a giant gets a large group.
    let calm = fleet.place(at(0), &ask(1, 430_000)).unwrap();
    assert!(calm.helpers.len() >= 4, "{} helpers", calm.helpers.len());
    fleet.ended(at(10), key(1));
    // Long prompts that take most of the engines' time.
    for number in 0..24 {
        let now = at(100 + number * 150);
        fleet.place(now, &ask(100 + number, 200_000)).unwrap();
        fleet.ended(now + Duration::from_millis(140), key(100 + number));
    }
    let giant = fleet.place(at(4_000), &ask(2, 430_000)).unwrap_err();
    assert_eq!(giant.reason, LackReason::TooDear);
    assert!(giant.retry_after >= Duration::from_secs(1), "it is told when to come back");
    assert!(fleet.place(at(4_010), &ask(3, 130_000)).is_ok(), "it brings more for its time");
    assert!(fleet.place(at(4_020), &ask(4, 4_000)).is_ok(), "others are not affected");
    assert!(fleet.place(at(12_000), &ask(2, 430_000)).is_ok(), "the surge is over");
}

#[test]
fn in_a_surge_a_long_prompt_that_may_wait_is_not_put_behind_much_reading() {
    let mut fleet = fleet(4);
    // 1.6 s of reading for each of the engines.
    for number in 0..4 {
        fleet.place(at(number), &ask(number, 150_000)).unwrap();
    }
    let asked = |number, patience_ms| PromptAsk {
        patience: Duration::from_millis(patience_ms),
        ..ask(number, 100_000)
    };
    let lack = fleet.place(at(10), &asked(10, 500)).unwrap_err();
    assert_eq!(lack.reason, LackReason::Backlog);
    assert!(fleet.place(at(20), &ask(20, 4_000)).is_ok(), "a short one goes somewhere at once");
    assert!(fleet.place(at(900), &asked(11, 500)).is_ok(), "its turn comes while it waits");
    assert!(fleet.place(at(910), &asked(12, 0)).is_ok(), "the last time that it asks it is taken");
}

#[test]
fn a_prompt_that_is_late_already_is_still_served_while_engines_have_time() {
    let mut fleet = fleet(14);
    // Long prompts take a good part of the engines' time, and leave enough of it.
    for number in 0..12 {
        let now = at(number * 300);
        fleet.place(now, &ask(number, 200_000)).unwrap();
        fleet.ended(now + Duration::from_millis(290), key(number));
    }
    // Its stream broke off, or it waited for a start of all gateways: its objective is used up.
    let late = |number, tokens, whole_ms| PromptAsk {
        objective: Duration::ZERO,
        whole_objective: Duration::from_millis(whole_ms),
        ..ask(number, tokens)
    };
    assert!(fleet.place(at(3_600), &late(100, 15_000, 300)).is_ok());
    assert!(fleet.place(at(3_610), &late(101, 60_000, 1_500)).is_ok());
}

#[test]
fn a_prompt_that_engines_could_only_read_late_does_not_take_long_from_one_of_them() {
    let mut fleet = fleet(14);
    let profile = profile();
    for number in 0..40 {
        let now = at(number * 100);
        let Ok(plan) = fleet.place(now, &ask(number, 280_000)) else { continue };
        let part = ReadCost::new(&profile, 280_000).part_ms(plan.helpers.len() + 1);
        // Read by one engine it would be late for sure, and cost as much.
        assert!(part < 3_000.0, "prompt {number} is read by {} engines", plan.helpers.len() + 1);
    }
}

#[test]
fn idle_engines_serve_what_can_only_be_late() {
    // 7.5 s of reading against an objective of 3 s: late, and not too late for its caller.
    assert!(fleet(1).place(at(0), &ask(1, 365_000)).is_ok());
    let mut busy = fleet(1);
    busy.place(at(0), &ask(1, 60_000)).unwrap();
    assert!(busy.place(at(10), &ask(2, 365_000)).is_err(), "others come, and it brings little");
}

#[test]
fn a_giant_does_not_silence_short_answers_until_their_callers_leave() {
    let mut fleet = fleet(2);
    for number in 0..12 {
        fleet.place(at(number * 30), &ask(number, 2_000)).unwrap();
        fleet.first_event(at(number * 30 + 20), key(number));
    }
    // On the engine with answers, each of its passes would last over two seconds.
    let with_short = fleet.engines_of(key(0))[0].clone();
    let plan = fleet.place(at(400), &ask(100, 180_000)).unwrap();
    assert!(plan.main != with_short && plan.helpers.is_empty(), "{with_short}: {plan:?}");
}

#[test]
fn a_failed_engine_gets_no_work_for_a_while_and_never_half_of_them() {
    let mut fleet = fleet(4);
    (0..4).for_each(|number| fleet.failed(at(0), &endpoint(number)));
    let plan = fleet.place(at(1), &ask(1, 4_000)).unwrap();
    assert!([endpoint(2), endpoint(3)].contains(&plan.main), "{}", plan.main);
    let mut avoiding = ask(2, 4_000);
    avoiding.avoid = vec![endpoint(2)];
    assert_eq!(fleet.place(at(2), &avoiding).unwrap().main, endpoint(3));
}

#[test]
fn a_silence_is_expected_while_an_engine_reads() {
    let mut fleet = fleet(1);
    fleet.place(at(0), &ask(1, 4_000)).unwrap();
    fleet.first_event(at(25), key(1));
    fleet.place(at(30), &ask(2, 300_000)).unwrap();
    let silent = Duration::from_millis(1_200);
    assert!(fleet.explains_silence(at(1_300), &endpoint(0), silent), "it reads for 5 s");
    assert!(!fleet.explains_silence(at(60_000), &endpoint(0), silent), "long over");
}

#[test]
fn a_silence_of_many_engines_is_no_fault_of_each() {
    let mut fleet = fleet(8);
    let silent = Duration::from_millis(1_200);
    let mut is_expected = |ms, number| fleet.explains_silence(at(ms), &endpoint(number), silent);
    assert!(!is_expected(1_000, 0), "one of eight may well be dead");
    assert!(!is_expected(1_010, 0), "also when it is asked again");
    assert!(!is_expected(1_020, 1));
    assert!(is_expected(1_030, 2), "three at a time are not");
    assert!(!is_expected(9_000, 3), "long over");
}

#[test]
fn a_new_home_learns_what_runs() {
    let mut old = fleet(4);
    let asked = ask(1, 4_000);
    let plan = old.place(at(0), &asked).unwrap();
    let mut new = fleet(4);
    new.adopt(at(50), &asked, &plan, true);
    assert_eq!(new.engines_of(key(1)), old.engines_of(key(1)));
    new.forget_entries(at(60), |entry| entry == 1);
    assert_eq!(new.placed_count(), 0, "its entry has died");
}

#[test]
fn a_new_home_does_not_take_for_read_what_answers_under_way_wait_beside() {
    let mut old = fleet(1);
    let answers: Vec<_> = (0..6).map(|number| ask(number, 4_000)).collect();
    let mut placed: Vec<_> =
        answers.iter().map(|ask| (ask.clone(), old.place(at(0), ask).unwrap(), true)).collect();
    let long = ask(10, 150_000);
    placed.insert(2, (long.clone(), old.place(at(200), &long).unwrap(), false));
    let mut new = fleet(1);
    for (ask, plan, begun) in &placed {
        new.adopt(at(210), ask, plan, *begun);
    }
    // The long prompt is 1.6 s of reading for the only engine.
    let next = new.place(at(215), &ask(20, 60_000)).unwrap();
    assert!(next.first_event > Duration::from_millis(1_500), "{:?}", next.first_event);
}

#[test]
fn a_prompt_that_is_asked_for_again_is_placed_once() {
    let mut fleet = fleet(4);
    let first = fleet.place(at(0), &ask(1, 200_000)).unwrap();
    let second = fleet.place(at(5), &ask(1, 200_000)).unwrap();
    assert_eq!(fleet.placed_count(), 1);
    assert!(second.first_event < first.first_event * 2, "it does not wait behind itself");
    fleet.ended(at(10), key(1));
    assert_eq!(fleet.placed_count(), 0);
}

/// Plays a surge of short prompts on ten engines of sixteen places: returns how many were on time,
/// late, and refused, of those that came after its first two seconds.
fn play_short_surge(per_s: u64) -> (u32, u32, u32) {
    let mut fleet = fleet(10);
    let mut farm = EngineFarm::new(AnswerEnd::ByCount);
    (0..10).for_each(|number| farm.add(&endpoint(number), &profile()));
    let mut asked = std::collections::BTreeMap::new();
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    let end = 8_000;
    for now in 0..end + 4_000 {
        for event in farm.advance(now as f64) {
            if event.is_last {
                fleet.ended(at(now), event.key);
            } else if let Some(came) = asked.remove(&event.key) {
                fleet.first_event(at(now), event.key);
                let is_counted = (2_000..end).contains(&came);
                match now - came {
                    _ if !is_counted => {}
                    0..=300 => on_time += 1,
                    _ => late += 1,
                }
            }
        }
        let due = now * per_s / 1_000 != (now + 1) * per_s / 1_000;
        if now >= end || !due {
            continue;
        }
        let prompt = ask(now, 4_000);
        match fleet.place(at(now), &prompt) {
            Ok(plan) => {
                asked.insert(key(now), now);
                let pass = PassPrompt {
                    key: key(now),
                    prompt_tokens: prompt.prompt_tokens,
                    parts: 1,
                    answer_tokens: prompt.answer_tokens,
                    priority: plan.engine_priority,
                    tokens_at_helpers: 0,
                };
                farm.take(now as f64, &plan.main, &[], &pass);
            }
            Err(_) if now >= 2_000 => refused += 1,
            Err(_) => {}
        }
    }
    (on_time, late, refused)
}

#[test]
fn a_surge_of_short_prompts_beyond_the_places_leaves_most_of_them_on_time() {
    // Some 84 a second fit on 160 places at 1.9 s each.
    let (on_time, late, refused) = play_short_surge(70);
    assert_eq!((late, refused), (0, 0), "{on_time} on time: nobody is refused below capacity");
    let (on_time, late, refused) = play_short_surge(100);
    let all = on_time + late + refused;
    assert!(on_time * 10 >= all * 6, "{on_time} on time, {late} late, {refused} refused");
    assert!(refused * 3 <= all, "{on_time} on time, {late} late, {refused} refused");
}

#[test]
fn a_home_that_answered_too_late_learns_where_the_prompt_went_instead() {
    let mut slow_home = fleet(8);
    let prompt = ask(1, 4_000);
    let answered_late = slow_home.place(at(0), &prompt).unwrap();
    let mut deputy = fleet(8);
    deputy.failed(at(0), &answered_late.main);
    let went = deputy.place(at(100), &prompt).unwrap();
    assert_ne!(went.main, answered_late.main);
    slow_home.adopt(at(110), &prompt, &went, false);
    assert_eq!(slow_home.engines_of(key(1)), [went.main]);
    assert_eq!(slow_home.placed_count(), 1, "not on both");
}
