//! Placement of short and long prompts by the least expected loss, on engines with the published
//! profile of the users' platform.

mod common;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use oriolepass_placement::{
    AnswerEnd, EngineFarm, EngineFleet, PassPrompt, PromptAsk, PromptKey, ReadCost, RefusalReason,
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
fn first_events_match_the_users_benchmark() {
    // A prompt of 1,828 tokens on an idle engine takes 12.3 ms, of which 4 to 5 ms are transit
    // time.
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
    // Events are 43 ms apart, a pass of 46 steps.
    assert!((42.0..46.0).contains(&(events[2].at_ms - events[1].at_ms)));
    // A second prompt waits for the end of the present pass and for a pass of its own.
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
fn after_a_surge_of_short_prompts_their_answers_gather_on_few_engines() {
    let mut fleet = fleet(14);
    let mut under_way: VecDeque<(u64, u64)> = VecDeque::new();
    let mut number = 0;
    let mut simulate = |fleet: &mut EngineFleet, span: std::ops::Range<u64>, every_ms: usize| {
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
    // 83 prompts per second take most engines; 20 per second, 40 at a time, fit on three.
    let surge = simulate(&mut fleet, 0..5_000, 12);
    assert!(surge.iter().collect::<BTreeSet<_>>().len() >= 9);
    simulate(&mut fleet, 5_000..7_500, 50);
    let after_surge = simulate(&mut fleet, 7_500..10_000, 50);
    let used: BTreeSet<_> = after_surge.iter().collect();
    assert!(used.len() <= 3, "answers still begin on {} engines", used.len());
}

#[test]
fn a_prompt_beyond_one_engines_memory_is_held_by_several() {
    let mut fleet = fleet(8);
    let plan = fleet.place(at(0), &ask(1, 700_000)).unwrap();
    let kept: u64 = plan.helpers.iter().filter_map(|helper| helper.reserve_tokens).sum();
    assert!(700_000 - kept <= 450_000, "the main engine holds {} tokens", 700_000 - kept);
    let refusal = fleet.place(at(1), &ask(2, 3_000_000)).unwrap_err();
    assert_eq!(
        refusal.reason,
        RefusalReason::NoMemory,
        "refusal of a prompt that no group can hold"
    );
    fleet.ended(at(2), key(1));
    assert_eq!(fleet.placed_count(), 0, "prompts left after the end of the only one");
}

#[test]
fn busy_engines_refuse_a_huge_prompt_that_costs_more_than_its_value() {
    let mut fleet = fleet(14);
    // With idle engines, a huge prompt gets a large group.
    let calm = fleet.place(at(0), &ask(1, 430_000)).unwrap();
    assert!(calm.helpers.len() >= 4, "{} helpers", calm.helpers.len());
    fleet.ended(at(10), key(1));
    // These long prompts take most of the engines' time.
    for number in 0..24 {
        let now = at(100 + number * 150);
        fleet.place(now, &ask(100 + number, 200_000)).unwrap();
        fleet.ended(now + Duration::from_millis(140), key(100 + number));
    }
    let huge = fleet.place(at(4_000), &ask(2, 430_000)).unwrap_err();
    assert_eq!(huge.reason, RefusalReason::TooDear);
    assert!(huge.retry_after >= Duration::from_secs(1), "retry delay of a refusal under load");
    assert!(
        fleet.place(at(4_010), &ask(3, 130_000)).is_ok(),
        "a smaller prompt has more value for its time"
    );
    assert!(fleet.place(at(4_020), &ask(4, 4_000)).is_ok(), "short prompts are not affected");
    assert!(fleet.place(at(12_000), &ask(2, 430_000)).is_ok(), "the surge is over");
}

#[test]
fn a_long_prompt_that_may_wait_is_not_placed_behind_a_reading_backlog() {
    let mut fleet = fleet(4);
    // Each engine has 1.6 s of reading.
    for number in 0..4 {
        fleet.place(at(number), &ask(number, 150_000)).unwrap();
    }
    let asked = |number, patience_ms| PromptAsk {
        patience: Duration::from_millis(patience_ms),
        ..ask(number, 100_000)
    };
    let refusal = fleet.place(at(10), &asked(10, 500)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Backlog);
    assert!(fleet.place(at(20), &ask(20, 4_000)).is_ok(), "a short prompt is placed at once");
    assert!(
        fleet.place(at(900), &asked(11, 500)).is_ok(),
        "the backlog shrinks while the prompt waits"
    );
    assert!(fleet.place(at(910), &asked(12, 0)).is_ok(), "the last attempt is placed");
}

#[test]
fn a_prompt_that_is_late_already_is_still_served_while_engines_have_time() {
    let mut fleet = fleet(14);
    // Long prompts take a good part of the engines' time but leave enough of it.
    for number in 0..12 {
        let now = at(number * 300);
        fleet.place(now, &ask(number, 200_000)).unwrap();
        fleet.ended(now + Duration::from_millis(290), key(number));
    }
    // The objective is used up, because the stream broke off or the prompt waited during a restart
    // of all gateways.
    let late = |number, tokens, whole_ms| PromptAsk {
        objective: Duration::ZERO,
        whole_objective: Duration::from_millis(whole_ms),
        ..ask(number, tokens)
    };
    assert!(fleet.place(at(3_600), &late(100, 15_000, 300)).is_ok());
    assert!(fleet.place(at(3_610), &late(101, 60_000, 1_500)).is_ok());
}

#[test]
fn a_prompt_that_would_be_late_does_not_occupy_one_engine_for_long() {
    let mut fleet = fleet(14);
    let profile = profile();
    for number in 0..40 {
        let now = at(number * 100);
        let Ok(plan) = fleet.place(now, &ask(number, 280_000)) else { continue };
        let part = ReadCost::new(&profile, 280_000).part_ms(plan.helpers.len() + 1);
        // On one engine the prompt would certainly be late, at the same cost.
        assert!(part < 3_000.0, "prompt {number} is read by {} engines", plan.helpers.len() + 1);
    }
}

#[test]
fn idle_engines_serve_a_prompt_that_will_be_late() {
    // 7.5 s of reading against an objective of 3 s: late, but before the caller leaves.
    assert!(fleet(1).place(at(0), &ask(1, 365_000)).is_ok());
    let mut busy = fleet(1);
    busy.place(at(0), &ask(1, 60_000)).unwrap();
    assert!(
        busy.place(at(10), &ask(2, 365_000)).is_err(),
        "a late prompt is placed on a busy engine"
    );
}

#[test]
fn a_huge_prompt_does_not_pause_short_answers_until_their_callers_leave() {
    let mut fleet = fleet(2);
    for number in 0..12 {
        fleet.place(at(number * 30), &ask(number, 2_000)).unwrap();
        fleet.first_event(at(number * 30 + 20), key(number));
    }
    // On the engine with answers, each pass of the prompt would last over two seconds.
    let with_short = fleet.engines_of(key(0))[0].clone();
    let plan = fleet.place(at(400), &ask(100, 180_000)).unwrap();
    assert!(plan.main != with_short && plan.helpers.is_empty(), "{with_short}: {plan:?}");
}

#[test]
fn failed_engines_get_no_work_for_a_while_but_at_most_half_of_all() {
    let mut fleet = fleet(4);
    (0..4).for_each(|number| fleet.failed(at(0), &endpoint(number)));
    let plan = fleet.place(at(1), &ask(1, 4_000)).unwrap();
    assert!([endpoint(2), endpoint(3)].contains(&plan.main), "{}", plan.main);
    let mut avoiding = ask(2, 4_000);
    avoiding.avoid = vec![endpoint(2)];
    assert_eq!(fleet.place(at(2), &avoiding).unwrap().main, endpoint(3));
}

/// Guards against an engine of a small service that fails each prompt and gets the next one, because an
/// engine that failed before it is still in backoff. Load: one prompt each 25 ms.
#[test]
fn an_engine_that_fails_replaces_one_in_backoff_that_may_have_recovered() {
    let mut fleet = fleet(3);
    [0, 500, 1_500, 3_500].into_iter().for_each(|ms| fleet.failed(at(ms), &endpoint(0)));
    let mut failures = 0;
    for number in 0..40 {
        let now = at(4_600 + number * 25);
        let main = fleet.place(now, &ask(number, 2_000)).unwrap().main;
        if main == endpoint(1) {
            fleet.failed(now, &main);
            failures += 1;
        }
        fleet.ended(now, key(number));
    }
    assert!((1..=4).contains(&failures), "{failures} of 40 prompts failed");
}

/// Guards against an engine of a small service that is used again at once after many of its prompts
/// failed, because its own backoff counts as that of another engine. Load: 15 prompts that hang.
#[test]
fn each_failure_of_an_engine_lengthens_its_backoff_in_a_small_service_too() {
    let mut fleet = fleet(3);
    (0..15).for_each(|number| fleet.failed(at(number), &endpoint(0)));
    for number in 0..30 {
        let plan = fleet.place(at(1_000 + number), &ask(number, 2_000)).unwrap();
        assert_ne!(plan.main, endpoint(0));
    }
}

#[test]
fn a_silence_is_expected_while_an_engine_reads() {
    let mut fleet = fleet(1);
    fleet.place(at(0), &ask(1, 4_000)).unwrap();
    fleet.first_event(at(25), key(1));
    fleet.place(at(30), &ask(2, 300_000)).unwrap();
    let silent = Duration::from_millis(1_200);
    assert!(
        fleet.explains_silence(at(1_300), &endpoint(0), silent),
        "silence during 5 s of reading"
    );
    assert!(!fleet.explains_silence(at(60_000), &endpoint(0), silent), "long over");
}

#[test]
fn a_simultaneous_silence_of_many_engines_is_expected() {
    let mut fleet = fleet(8);
    let silent = Duration::from_millis(1_200);
    let mut is_expected = |ms, number| fleet.explains_silence(at(ms), &endpoint(number), silent);
    assert!(!is_expected(1_000, 0), "one of eight engines is silent");
    assert!(!is_expected(1_010, 0), "the same engine is reported again");
    assert!(!is_expected(1_020, 1));
    assert!(is_expected(1_030, 2), "three of eight engines are silent");
    assert!(!is_expected(9_000, 3), "long over");
}

#[test]
fn a_new_home_adopts_running_prompts() {
    let mut old = fleet(4);
    let asked = ask(1, 4_000);
    let plan = old.place(at(0), &asked).unwrap();
    let mut new = fleet(4);
    new.adopt(at(50), &asked, &plan, true);
    assert_eq!(new.engines_of(key(1)), old.engines_of(key(1)));
    new.forget_entries(at(60), |entry| entry == 1);
    assert_eq!(new.placed_count(), 0, "prompts left after the end of their entry");
}

#[test]
fn a_new_home_does_not_count_unread_parts_beside_adopted_answers_as_read() {
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
fn a_prompt_that_is_requested_again_is_placed_once() {
    let mut fleet = fleet(4);
    let first = fleet.place(at(0), &ask(1, 200_000)).unwrap();
    let second = fleet.place(at(5), &ask(1, 200_000)).unwrap();
    assert_eq!(fleet.placed_count(), 1);
    assert!(second.first_event < first.first_event * 2, "the repeated prompt waits behind itself");
    fleet.ended(at(10), key(1));
    assert_eq!(fleet.placed_count(), 0);
}

/// Simulates a surge of short prompts on ten engines with sixteen slots. Returns the numbers of
/// prompts that were on time, late and refused, among those that arrived after the first two
/// seconds.
fn simulate_short_surge(per_s: u64) -> (u32, u32, u32) {
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
fn a_surge_of_short_prompts_beyond_the_slots_leaves_most_of_them_on_time() {
    // Some 84 prompts per second fit on 160 slots at 1.9 s each.
    let (on_time, late, refused) = simulate_short_surge(70);
    assert_eq!((late, refused), (0, 0), "{on_time} on time: late or refused below capacity");
    let (on_time, late, refused) = simulate_short_surge(100);
    let all = on_time + late + refused;
    assert!(on_time * 10 >= all * 6, "{on_time} on time, {late} late, {refused} refused");
    assert!(refused * 3 <= all, "{on_time} on time, {late} late, {refused} refused");
}

#[test]
fn a_home_that_answered_too_late_adopts_the_placement_of_a_deputy() {
    let mut slow_home = fleet(8);
    let prompt = ask(1, 4_000);
    let answered_late = slow_home.place(at(0), &prompt).unwrap();
    let mut deputy = fleet(8);
    deputy.failed(at(0), &answered_late.main);
    let by_deputy = deputy.place(at(100), &prompt).unwrap();
    assert_ne!(by_deputy.main, answered_late.main);
    slow_home.adopt(at(110), &prompt, &by_deputy, false);
    assert_eq!(slow_home.engines_of(key(1)), [by_deputy.main]);
    assert_eq!(slow_home.placed_count(), 1, "the prompt is placed twice");
}

/// Guards against the refusal of a prompt whose engine failed, because its own first placement counts as the demand of
/// other prompts. The other engines are idle and the caller still waits.
#[test]
fn a_late_prompt_is_placed_again_on_idle_engines_after_its_engine_failed() {
    let mut fleet = fleet(4);
    let (pause_ms, objective_ms, spent) = (500, 2_000, Duration::from_millis(3_880));
    let first = common::prompt(key(1), 700_000, objective_ms, pause_ms);
    let first = PromptAsk { deadline: Duration::from_secs(29), ..first };
    let failed = fleet.place(at(0), &first).unwrap().main;
    fleet.failed(at(3_880), &failed);
    fleet.ended(at(3_880), key(1));
    let again = PromptAsk {
        key: key(2),
        objective: Duration::ZERO,
        deadline: first.deadline - spent,
        avoid: vec![failed],
        ..first
    };
    fleet.place(at(3_880), &again).unwrap();
}
