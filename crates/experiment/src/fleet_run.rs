//! One day on engines that work in passes, under one policy.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use oriolepass_placement::{
    AnswerEnd, EngineFacts, EngineFarm, EngineFleet, FarmEvent, PassPrompt, PromptAsk, PromptKey,
    PromptPlan,
};
use oriolepass_units::{EndpointStart, MonotonicTime, ServiceName};

use crate::fleet_day::{DayPlan, DayPrompt};

/// From an entry to an engine or a home, in milliseconds.
const HOP_MS: f64 = 1.5;

/// Who places prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetPolicy {
    /// The gateway's, which predicts.
    Predicting,
    /// Each prompt to the engine with the fewest answers, read whole.
    LeastOutstanding,
    /// In turn, read whole.
    RoundRobin,
}

/// What became of the prompts of one kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassTally {
    /// Prompts.
    pub asked: u32,
    /// Answered with all events on time.
    pub on_time: u32,
    /// Whose first event was late.
    pub late_first: u32,
    /// Whose first event was on time, and some pause was not.
    pub late_pause: u32,
    /// Not answered.
    pub lost: u32,
    /// What was earned, and what was to be had.
    pub worth: (f64, f64),
    /// Predicted and actual time to the first event, in milliseconds.
    pub first_ms: Vec<(f64, f64)>,
    /// When those came that were late or lost, in seconds.
    pub bad_at: Vec<f64>,
}

/// The result of a day.
#[derive(Debug, Clone, Default)]
pub struct DayResult {
    /// By kind.
    pub classes: Vec<ClassTally>,
}

impl DayResult {
    /// Returns what was earned, as a part of what was to be had.
    pub fn share(&self) -> f64 {
        let (earned, owed) = self
            .classes
            .iter()
            .fold((0.0, 0.0), |sum, class| (sum.0 + class.worth.0, sum.1 + class.worth.1));
        earned / owed
    }
}

struct OpenPrompt {
    prompt: DayPrompt,
    main: usize,
    predicted_ms: f64,
    first_ms: Option<f64>,
    last_ms: f64,
    longest_ms: f64,
    /// When its objective began to count.
    began_ms: f64,
    is_second: bool,
}

/// A prompt on its way to engines.
#[derive(Debug, Clone)]
struct Attempt {
    number: u64,
    at_ms: f64,
    /// Until when engines are looked for.
    waits_until: f64,
    /// Whether it was refused before.
    is_second: bool,
    prompt: DayPrompt,
}

/// The part of its objective for which a gateway looks for engines.
const WAIT_SHARE: f64 = 0.22;

/// The pause before it looks again; gateways look twice as often.
const LOOK_AGAIN_MS: f64 = 50.0;

/// When a caller comes back that was refused, as it is told.
const COMES_BACK_MS: f64 = 4_000.0;

/// The part of its worth that a prompt costs which is refused again; the users' prices.
const REFUSED_AGAIN_LOSS: f64 = 0.3;

struct DayWorld<'a> {
    plan: &'a DayPlan,
    farm: EngineFarm,
    names: Vec<EndpointStart>,
    fleet: EngineFleet,
    open: BTreeMap<u64, OpenPrompt>,
    result: DayResult,
    attempts: VecDeque<Attempt>,
    turn: usize,
}

/// Plays a day drawn from a seed.
pub fn run_day(plan: &DayPlan, policy: FleetPolicy, seed: u64) -> DayResult {
    run_prompts(plan, policy, plan.prompts(seed))
}

/// Plays a day with given prompts, in order of time.
pub fn run_prompts(plan: &DayPlan, policy: FleetPolicy, prompts: Vec<DayPrompt>) -> DayResult {
    let mut world = DayWorld::new(plan);
    for (number, prompt) in prompts.into_iter().enumerate() {
        let tally = &mut world.result.classes[prompt.class];
        let class = &plan.classes[prompt.class];
        tally.asked += 1;
        tally.worth.1 += class.worth.0 * size_weight(&prompt, class.prompt_tokens.0);
        let (at_ms, waits_until) = (prompt.at_ms, prompt.at_ms + class.objective_ms * WAIT_SHARE);
        let attempt =
            Attempt { number: number as u64, at_ms, waits_until, is_second: false, prompt };
        world.attempts.push_back(attempt);
    }
    loop {
        let next_end = world.farm.next_end();
        let next_prompt = world.attempts.front().map(|attempt| attempt.at_ms);
        match (next_prompt, next_end) {
            (Some(at), end) if end.is_none_or(|end| at <= end) => {
                if let Some(attempt) = world.attempts.pop_front() {
                    world.arrive(policy, attempt);
                }
            }
            (_, Some(end)) => world.work_until(end),
            _ => return world.result,
        }
    }
}

impl<'a> DayWorld<'a> {
    fn new(plan: &'a DayPlan) -> Self {
        let names: Vec<EndpointStart> = (0..plan.engines)
            .map(|number| format!("e{number:02}").parse().expect("a valid name"))
            .collect();
        let profile = Arc::new(plan.profile.clone());
        let facts = names
            .iter()
            .map(|name| EngineFacts {
                endpoint: name.clone(),
                service: service(),
                takes_work: true,
                max_prompts_per_s: None,
                profile: Arc::clone(&profile),
            })
            .collect();
        let mut fleet = EngineFleet::default();
        fleet.update(facts);
        let mut farm = EngineFarm::new(AnswerEnd::ByCount);
        names.iter().for_each(|name| farm.add(name, &profile));
        Self {
            plan,
            farm,
            names,
            fleet,
            open: BTreeMap::new(),
            result: DayResult { classes: vec![ClassTally::default(); plan.classes.len()] },
            attempts: VecDeque::new(),
            turn: 0,
        }
    }

    fn arrive(&mut self, policy: FleetPolicy, attempt: Attempt) {
        let now_ms = attempt.at_ms + HOP_MS;
        let Some(placed) = self.place(policy, &attempt) else {
            self.refuse(attempt);
            return;
        };
        let Attempt { number, prompt, is_second, .. } = attempt;
        let read = PassPrompt {
            key: key(number),
            prompt_tokens: prompt.prompt_tokens,
            parts: u32::try_from(placed.helpers.len() + 1).expect("a few parts"),
            answer_tokens: prompt.answer_events * u64::from(self.plan.profile.steps_per_pass),
            priority: placed.engine_priority,
            tokens_at_helpers: placed.helpers.iter().filter_map(|h| h.reserve_tokens).sum(),
        };
        self.work_until(now_ms);
        if !self.farm.take(now_ms, &placed.main, &placed.helpers, &read) {
            self.fleet.ended(time(now_ms), key(number));
            self.result.classes[prompt.class].lost += 1;
            return;
        }
        let main = self.names.iter().position(|name| *name == placed.main).unwrap_or(0);
        let open = OpenPrompt {
            main,
            predicted_ms: placed.first_event.as_secs_f64() * 1_000.0,
            first_ms: None,
            last_ms: attempt.at_ms,
            longest_ms: 0.0,
            began_ms: if is_second { attempt.at_ms } else { prompt.at_ms },
            is_second,
            prompt,
        };
        self.open.insert(number, open);
    }

    /// Looks again for a while, as gateways do; then the caller comes back once.
    fn refuse(&mut self, attempt: Attempt) {
        let class = &self.plan.classes[attempt.prompt.class];
        let again = if attempt.at_ms < attempt.waits_until {
            Attempt { at_ms: attempt.at_ms + LOOK_AGAIN_MS, ..attempt }
        } else if attempt.is_second {
            let tally = &mut self.result.classes[attempt.prompt.class];
            tally.lost += 1;
            let weight = size_weight(&attempt.prompt, class.prompt_tokens.0);
            tally.worth.0 -= class.worth.0 * weight * REFUSED_AGAIN_LOSS;
            return;
        } else {
            let at_ms = attempt.at_ms + COMES_BACK_MS;
            let waits_until = at_ms + class.objective_ms * WAIT_SHARE;
            Attempt { at_ms, waits_until, is_second: true, ..attempt }
        };
        let at = self.attempts.partition_point(|other| other.at_ms <= again.at_ms);
        self.attempts.insert(at, again);
    }

    fn place(&mut self, policy: FleetPolicy, attempt: &Attempt) -> Option<PromptPlan> {
        let (number, prompt) = (attempt.number, &attempt.prompt);
        let class = &self.plan.classes[prompt.class];
        let whole_ms = class.objective_ms;
        let began_ms = if attempt.is_second {
            attempt.waits_until - whole_ms * WAIT_SHARE
        } else {
            prompt.at_ms
        };
        let spent_ms = attempt.at_ms - began_ms;
        let ask = PromptAsk {
            key: key(number),
            service: service(),
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens: prompt.expected_tokens,
            max_answer_tokens: prompt.expected_tokens * 2,
            objective: millis((whole_ms - spent_ms).max(0.0)),
            whole_objective: millis(whole_ms),
            pause: millis(class.pause_ms),
            deadline: millis(class.deadline_ms - (attempt.at_ms - prompt.at_ms)),
            patience: millis((attempt.waits_until - attempt.at_ms).max(0.0)),
            avoid: Vec::new(),
            is_suspect: false,
        };
        let alone = |main: usize| {
            Some(PromptPlan {
                main: self.names[main].clone(),
                helpers: Vec::new(),
                engine_priority: 5,
                first_event: Duration::ZERO,
                whole: Duration::ZERO,
            })
        };
        match policy {
            FleetPolicy::Predicting => self.fleet.place(time(attempt.at_ms), &ask).ok(),
            FleetPolicy::LeastOutstanding => {
                let mut counts = vec![0; self.names.len()];
                self.open.values().for_each(|open| counts[open.main] += 1);
                let least = (0..counts.len()).min_by_key(|at| counts[*at])?;
                alone(least)
            }
            FleetPolicy::RoundRobin => {
                self.turn = (self.turn + 1) % self.names.len();
                alone(self.turn)
            }
        }
    }

    fn work_until(&mut self, now_ms: f64) {
        for FarmEvent { at_ms, key, is_last } in self.farm.advance(now_ms) {
            self.event(at_ms, key.number);
            if is_last {
                self.ended(at_ms, key.number);
            }
        }
        self.give_up(now_ms);
    }

    fn event(&mut self, now_ms: f64, number: u64) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let seen = now_ms + HOP_MS;
        if open.first_ms.is_some() {
            open.longest_ms = open.longest_ms.max(seen - open.last_ms);
        } else {
            open.first_ms = Some(seen - open.began_ms);
            self.fleet.first_event(time(seen), key(number));
        }
        open.last_ms = seen;
    }

    fn ended(&mut self, now_ms: f64, number: u64) {
        let Some(open) = self.open.remove(&number) else { return };
        self.fleet.ended(time(now_ms + HOP_MS), key(number));
        self.farm.remove(key(number));
        let class = &self.plan.classes[open.prompt.class];
        let weight = size_weight(&open.prompt, class.prompt_tokens.0);
        let tally = &mut self.result.classes[open.prompt.class];
        // The users give the mean of both where a refused caller is served in time after all.
        let (whole, late) = class.worth;
        let whole = if open.is_second { f64::midpoint(whole, late) } else { whole };
        let on_time = tally.on_time;
        let first = open.first_ms.unwrap_or(f64::MAX);
        tally.first_ms.push((open.predicted_ms, first));
        if now_ms - open.prompt.at_ms > class.deadline_ms {
            tally.lost += 1;
        } else if first > class.objective_ms {
            tally.late_first += 1;
            tally.worth.0 += late * weight;
        } else if open.longest_ms > class.pause_ms {
            tally.late_pause += 1;
            tally.worth.0 += late * weight;
        } else {
            tally.on_time += 1;
            tally.worth.0 += whole * weight;
        }
        if tally.on_time == on_time {
            tally.bad_at.push(open.prompt.at_ms / 1_000.0);
        }
    }

    /// Callers leave after a gap of two seconds, four objectives or eight pauses, whichever is
    /// longest, or at their deadline.
    fn give_up(&mut self, now_ms: f64) {
        let classes = &self.plan.classes;
        let left: BTreeSet<u64> = self
            .open
            .iter()
            .filter(|(_, open)| {
                let class = &classes[open.prompt.class];
                let patience = (class.objective_ms * 4.0).max(class.pause_ms * 8.0).max(2_000.0);
                now_ms - open.last_ms > patience || now_ms - open.prompt.at_ms > class.deadline_ms
            })
            .map(|(number, _)| *number)
            .collect();
        for number in left {
            if let Some(open) = self.open.remove(&number) {
                self.farm.remove(key(number));
                self.fleet.ended(time(now_ms), key(number));
                let tally = &mut self.result.classes[open.prompt.class];
                tally.lost += 1;
                tally.bad_at.push(open.prompt.at_ms / 1_000.0);
            }
        }
    }
}

/// An answer is worth 0.3 + 0.7 times its size against the mean, four times at most.
fn size_weight(prompt: &DayPrompt, mean: f64) -> f64 {
    (0.3 + 0.7 * prompt.prompt_tokens as f64 / mean).min(4.0)
}

fn service() -> ServiceName {
    "engines".parse().expect("a valid name")
}

fn key(number: u64) -> PromptKey {
    PromptKey { entry: 0, number }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

fn time(ms: f64) -> MonotonicTime {
    MonotonicTime(1 + (ms * 1_000.0) as u64)
}
