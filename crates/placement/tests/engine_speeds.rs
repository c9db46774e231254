//! Placement on engines of unequal speed.
//!
//! Guards against steady prompts being placed on engines that are several times slower than
//! published, where their first events and pauses are late.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_placement::{
    AnswerEnd, EngineFarm, EngineFleet, PaceNote, PassPrompt, PlacementFeatures, PromptAsk,
    PromptKey, PromptPlan,
};
use oriolepass_units::MonotonicTime;

const ENTRIES: u64 = 5;
const STEPS_PER_PASS: u32 = 46;
const OBJECTIVE_MS: u64 = 300;
const PAUSE_MS: f64 = 200.0;
/// Time until an entry's report arrives at the home.
const REPORT_MS: u64 = 4;

fn time(ms: u64) -> MonotonicTime {
    MonotonicTime(10_000_000 + ms * 1_000)
}

fn usual_fleet(engines: usize) -> EngineFleet {
    common::fleet(engines, &common::profile(16, STEPS_PER_PASS))
}

fn learning_fleet(engines: usize) -> EngineFleet {
    let mut fleet = usual_fleet(engines);
    fleet.set_features(PlacementFeatures { learns_speeds: true, ..Default::default() });
    fleet
}

fn short_prompt(number: u64) -> PromptAsk {
    let key = PromptKey { entry: number % ENTRIES, number };
    let ask = common::prompt(key, 5_000, OBJECTIVE_MS, PAUSE_MS as u64);
    PromptAsk { answer_tokens: 460, max_answer_tokens: 920, ..ask }
}

/// A prompt in progress, as its entry sees it.
struct OpenPrompt {
    placed_ms: u64,
    expected_pause: Duration,
    last_event_ms: Option<f64>,
    pauses: Vec<f64>,
    noted_ms: f64,
    is_late: bool,
}

/// What became of the prompts.
#[derive(Default)]
struct LoadReport {
    /// The time of placement and whether the answer was late, by number.
    answers: BTreeMap<u64, (u64, bool)>,
    refused: u64,
    /// Prompts by time of placement that went to the first engine.
    on_first: Vec<u64>,
}

impl LoadReport {
    fn late_share(&self, from_ms: u64, until_ms: u64) -> f64 {
        let within = |at: &u64| (from_ms..until_ms).contains(at);
        let placed: Vec<bool> =
            self.answers.values().filter(|(at, _)| within(at)).map(|(_, late)| *late).collect();
        placed.iter().filter(|late| **late).count() as f64 / placed.len().max(1) as f64
    }
}

/// Serves a prompt each `interval_ms` for `until_ms` on real engines whose slowdown is
/// `slowdown(engine, ms)`.
fn serve(
    fleet: &mut EngineFleet,
    engines: usize,
    interval_ms: u64,
    until_ms: u64,
    slowdown: impl Fn(usize, u64) -> f64,
) -> LoadReport {
    let mut real = EngineFarm::new(AnswerEnd::ByCount);
    let profile = common::profile(16, STEPS_PER_PASS);
    (0..engines).for_each(|number| real.add(&common::endpoint(number), &profile));
    let mut open: BTreeMap<u64, OpenPrompt> = BTreeMap::new();
    let mut report = LoadReport::default();
    for ms in 0..until_ms {
        for number in 0..engines {
            let (endpoint, slowdown) = (common::endpoint(number), slowdown(number, ms));
            if real.engine(&endpoint).is_some_and(|engine| engine.slowdown() != slowdown) {
                real.set_slowdown(ms as f64, &endpoint, slowdown);
            }
        }
        for event in real.advance(ms as f64) {
            let Some(prompt) = open.get_mut(&event.key.number) else { continue };
            let now = time(ms + REPORT_MS);
            if let Some(note) = prompt.observe(event.at_ms, event.key) {
                fleet.observe_paces(now, &[note]);
            }
            if prompt.pauses.is_empty() {
                fleet.first_event(now, event.key);
            }
            if event.is_last {
                fleet.ended(now, event.key);
                real.remove(event.key);
                report.answers.insert(event.key.number, (prompt.placed_ms, prompt.is_late));
                open.remove(&event.key.number);
            }
        }
        if ms % interval_ms == 0 {
            let ask = short_prompt(ms / interval_ms);
            let Ok(plan) = fleet.place(time(ms), &ask) else {
                report.refused += 1;
                continue;
            };
            if plan.main == common::endpoint(0) {
                report.on_first.push(ms);
            }
            real.take(ms as f64, &plan.main, &plan.helpers, &pass_prompt(&ask, &plan));
            open.insert(ask.key.number, OpenPrompt::new(ms, &ask, &plan));
        }
    }
    report
}

fn pass_prompt(ask: &PromptAsk, plan: &PromptPlan) -> PassPrompt {
    PassPrompt {
        key: ask.key,
        prompt_tokens: ask.prompt_tokens,
        parts: 1,
        answer_tokens: ask.answer_tokens,
        priority: plan.engine_priority,
        tokens_at_helpers: 0,
    }
}

impl OpenPrompt {
    fn new(placed_ms: u64, ask: &PromptAsk, plan: &PromptPlan) -> Self {
        Self {
            placed_ms,
            expected_pause: plan.pause(ask.answer_tokens, STEPS_PER_PASS),
            last_event_ms: None,
            pauses: Vec::new(),
            noted_ms: f64::MIN,
            is_late: false,
        }
    }

    /// Records an event. Returns a note once four pauses are much slower than expected, at most
    /// twice a second.
    fn observe(&mut self, at_ms: f64, key: PromptKey) -> Option<PaceNote> {
        let Some(last_ms) = self.last_event_ms.replace(at_ms) else {
            self.is_late |= at_ms - self.placed_ms as f64 > OBJECTIVE_MS as f64;
            return None;
        };
        self.is_late |= at_ms - last_ms > PAUSE_MS;
        self.pauses.push(at_ms - last_ms);
        let newest: f64 = self.pauses.iter().rev().take(4).sum();
        let expected_ms = self.expected_pause.as_secs_f64() * 4_000.0;
        if self.pauses.len() < 4 || newest < expected_ms * 2.5 || at_ms < self.noted_ms + 500.0 {
            return None;
        }
        self.noted_ms = at_ms;
        Some(PaceNote { key, pauses: 4, total: Duration::from_secs_f64(newest / 1_000.0) })
    }
}

/// The first engine is slow from 3 to 9 s.
fn first_is_slow(engine: usize, ms: u64) -> f64 {
    if engine == 0 && (3_000..9_000).contains(&ms) { 4.0 } else { 1.0 }
}

// One engine in six slow by 4 under steady short prompts; guards against each of its slots being
// filled again.
#[test]
fn steady_short_prompts_leave_an_engine_that_turns_slow() {
    let usual = serve(&mut usual_fleet(6), 6, 20, 14_000, first_is_slow);
    let learned = serve(&mut learning_fleet(6), 6, 20, 14_000, first_is_slow);
    let (before, after) = (usual.late_share(4_500, 9_000), learned.late_share(4_500, 9_000));
    assert!(before > 0.08, "{before} late without learning");
    assert!(after < before / 4.0, "{after} late, {before} without learning");
    assert_eq!((usual.refused, learned.refused), (0, 0));
}

// The same after the slow phase; guards against an engine that stays without work.
#[test]
fn an_engine_that_recovers_gets_prompts_again_within_five_seconds() {
    let report = serve(&mut learning_fleet(6), 6, 12, 20_000, first_is_slow);
    let share = |from: u64, until: u64| {
        report.on_first.iter().filter(|at| (from..until).contains(at)).count()
    };
    assert!(share(5_000, 9_000) < share(14_000, 18_000), "{:?}", report.on_first);
    assert!(share(9_000, 14_000) > 0, "{:?}", report.on_first);
}

// Steady short prompts on engines of published speed; guards against noise that changes decisions.
#[test]
fn engines_of_published_speed_are_used_as_without_learning() {
    let usual = serve(&mut usual_fleet(6), 6, 12, 8_000, |_, _| 1.0);
    let mut fleet = learning_fleet(6);
    let learned = serve(&mut fleet, 6, 12, 8_000, |_, _| 1.0);
    assert_eq!(usual.on_first, learned.on_first);
    assert_eq!(fleet.take_speed_changes(), []);
}

// Steady short prompts on engines that share a slow machine; guards against refusing prompts
// because all engines look slow.
#[test]
fn engines_that_are_all_slow_refuse_nothing_more() {
    let all_slow = |_: usize, ms: u64| if ms > 2_000 { 2.5 } else { 1.0 };
    let usual = serve(&mut usual_fleet(6), 6, 30, 8_000, all_slow);
    let mut fleet = learning_fleet(6);
    let learned = serve(&mut fleet, 6, 30, 8_000, all_slow);
    assert_eq!((usual.refused, learned.refused), (0, 0));
    assert!(fleet.slow_engines() <= 1, "{} engines count as slow", fleet.slow_engines());
}

/// Returns a fleet with prompts on all of four engines, three of each entry on each, and the prompts
/// by engine.
fn loaded_fleet() -> (EngineFleet, BTreeMap<String, Vec<PromptKey>>) {
    let mut fleet = learning_fleet(4);
    let mut prompts: BTreeMap<String, Vec<PromptKey>> = BTreeMap::new();
    for number in 0..(4 * 3 * ENTRIES) {
        let (mut ask, engine) = (short_prompt(number), (number / ENTRIES) % 4);
        ask.avoid =
            (0..4).filter(|other| *other != engine).map(|n| common::endpoint(n as usize)).collect();
        let plan = fleet.place(time(number), &ask).expect("prompt is placed");
        prompts.entry(plan.main.to_string()).or_default().push(ask.key);
    }
    (fleet, prompts)
}

/// Reports the first events of all prompts: late ones on one engine, a few at a time.
fn report_first_events(
    fleet: &mut EngineFleet,
    prompts: &BTreeMap<String, Vec<PromptKey>>,
    slow: &str,
) {
    for key in prompts.iter().filter(|(engine, _)| *engine != slow).flat_map(|(_, keys)| keys) {
        fleet.first_event(time(150), *key);
    }
    for (at, key) in prompts[slow].iter().enumerate() {
        fleet.first_event(time(1_500 + at as u64 / 5 * 300), *key);
    }
}

/// Returns the engines that count as slow once a further prompt has been placed.
fn slow_engines(fleet: &mut EngineFleet, ms: u64) -> Vec<String> {
    let _ = fleet.place(time(ms), &short_prompt(10_000 + ms));
    let changes = fleet.take_speed_changes();
    changes.iter().filter(|change| change.is_slow).map(|c| c.endpoint.to_string()).collect()
}

// An instance that was suspended reports the first events of all its prompts seconds late; guards
// against blaming the engines.
#[test]
fn late_reports_of_a_suspended_instance_slow_no_engine() {
    let (mut fleet, prompts) = loaded_fleet();
    let reports = |fleet: &mut EngineFleet, ms, is_due: &dyn Fn(&PromptKey) -> bool| {
        prompts.values().flatten().filter(|key| is_due(key)).for_each(|key| {
            fleet.first_event(time(ms), *key);
        });
    };
    reports(&mut fleet, 150, &|key| key.entry != 0);
    reports(&mut fleet, 3_800, &|key| key.entry == 0);
    assert_eq!(slow_engines(&mut fleet, 3_900), Vec::<String>::new());
}

// The home is lost while an engine is slow; guards against a new home that keeps placing prompts
// there until new ones have been late.
#[test]
fn a_new_home_learns_a_slow_engine_from_the_notes_of_running_answers() {
    let mut home = learning_fleet(6);
    for number in 0..12 {
        let mut ask = short_prompt(number);
        let engine = number.saturating_sub(3) as usize % 6;
        ask.avoid = (0..6).filter(|other| *other != engine).map(common::endpoint).collect();
        let plan = usual_fleet(6).place(time(0), &ask).expect("prompt is placed");
        home.adopt(time(0), &ask, &plan, true);
    }
    let note = |number: u64| PaceNote {
        key: short_prompt(number).key,
        pauses: 4,
        total: Duration::from_millis(4 * 190),
    };
    home.observe_paces(time(400), &[note(0)]);
    home.observe_paces(time(650), &[note(1)]);
    assert_eq!(slow_engines(&mut home, 750), Vec::<String>::new());
    home.observe_paces(time(900), &[note(2)]);
    assert_eq!(slow_engines(&mut home, 1_000), [common::endpoint(0).to_string()]);
}

// Instances of the version before send no notes; guards against learning from notes alone.
#[test]
fn first_events_alone_show_a_slow_engine() {
    let (mut fleet, prompts) = loaded_fleet();
    let slow = common::endpoint(2).to_string();
    report_first_events(&mut fleet, &prompts, &slow);
    assert_eq!(slow_engines(&mut fleet, 2_200), [slow]);
}

// A long prompt beside a slow engine; guards against helpers that delay its first event.
#[test]
fn a_slow_engine_helps_no_long_prompt() {
    let (mut fleet, prompts) = loaded_fleet();
    let slow = common::endpoint(2);
    report_first_events(&mut fleet, &prompts, &slow.to_string());
    assert_eq!(slow_engines(&mut fleet, 2_200), [slow.to_string()]);
    prompts.values().flatten().for_each(|key| fleet.ended(time(2_250), *key));
    let long = common::prompt(PromptKey { entry: 1, number: 9_999 }, 200_000, 2_000, 1_000);
    let plan = fleet.place(time(2_300), &long).expect("prompt is placed");
    assert!(!plan.helpers.is_empty() && plan.main != slow, "{plan:?}");
    assert!(plan.helpers.iter().all(|helper| helper.endpoint != slow), "{plan:?}");
}

// An engine that starts anew; guards against a slowdown that outlives the engine's process.
#[test]
fn a_slow_engine_is_forgotten_when_it_leaves() {
    let (mut fleet, prompts) = loaded_fleet();
    for keys in prompts.values() {
        keys.iter().for_each(|key| fleet.first_event(time(150), *key));
    }
    let slow = &prompts[&common::endpoint(0).to_string()];
    let note =
        |key: &PromptKey| PaceNote { key: *key, pauses: 4, total: Duration::from_millis(4 * 300) };
    for (key, ms) in slow.iter().zip([700, 950, 1_200]) {
        fleet.observe_paces(time(ms), &[note(key)]);
    }
    assert_eq!(slow_engines(&mut fleet, 1_300).len(), 1);
    fleet.update(Vec::new());
    assert_eq!(fleet.slow_engines(), 0);
}
