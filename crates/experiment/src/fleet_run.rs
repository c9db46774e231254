//! Simulates a day of a deployment under one placement policy. The engines work in passes: each
//! pass runs several steps and emits one event for each answer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use oriolepass_placement::{
    AnswerEnd, EngineFacts, EngineFarm, EngineFleet, FarmEvent, PassPrompt, PromptAsk, PromptKey,
    PromptPlan,
};
use oriolepass_units::{EndpointStart, MonotonicTime, ServiceName};

use crate::fleet_day::{DayPlan, DayPrompt};

/// One-way network latency from an entry to an engine or a home, in milliseconds.
const HOP_MS: f64 = 1.5;

/// The policy that places prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetPolicy {
    /// The gateway's placement, which predicts the times of an answer.
    Predicting,
    /// The engine with the fewest open answers, which processes the prompt alone.
    LeastOutstanding,
    /// Each engine in turn, which processes the prompt alone.
    RoundRobin,
}

/// The outcomes of the prompts of one class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassTally {
    /// Prompts that arrived.
    pub arrived: u32,
    /// Prompts with all events on time.
    pub on_time: u32,
    /// Prompts with a late first event.
    pub late_first: u32,
    /// Prompts with a first event on time and a pause above the objective.
    pub late_pause: u32,
    /// Prompts that were refused twice, refused by their engines, cancelled by the caller or
    /// answered after the deadline.
    pub lost: u32,
    /// Worth earned, and the worth of answering all prompts on time.
    pub worth: (f64, f64),
    /// Predicted and actual times to the first event, in milliseconds.
    pub first_ms: Vec<(f64, f64)>,
    /// Arrival times of the placed prompts that were late or lost, in seconds. Refused prompts are
    /// left out.
    pub late_or_lost_at_s: Vec<f64>,
}

/// The result of a day.
#[derive(Debug, Clone, Default)]
pub struct DayResult {
    /// The outcomes by class.
    pub classes: Vec<ClassTally>,
}

impl DayResult {
    /// Returns the earned worth as a ratio of the worth of answering all prompts on time.
    pub fn share(&self) -> f64 {
        let (earned, possible) = self
            .classes
            .iter()
            .fold((0.0, 0.0), |sum, class| (sum.0 + class.worth.0, sum.1 + class.worth.1));
        earned / possible
    }
}

struct OpenPrompt {
    prompt: DayPrompt,
    main: usize,
    predicted_ms: f64,
    first_ms: Option<f64>,
    last_ms: f64,
    longest_pause_ms: f64,
    /// Start of the time that counts against the objective.
    objective_start_ms: f64,
    is_retry: bool,
}

/// An attempt to place a prompt.
#[derive(Debug, Clone)]
struct Attempt {
    number: u64,
    at_ms: f64,
    /// When the gateway stops searching for engines and refuses the prompt.
    wait_ends_ms: f64,
    /// Whether the prompt was refused before.
    is_retry: bool,
    prompt: DayPrompt,
}

/// Maximum time for which a gateway searches for engines, as a ratio of the objective.
const PLACEMENT_WAIT_RATIO: f64 = 0.22;

/// Delay between searches for engines, in milliseconds. Gateways search twice as often.
const PLACEMENT_RETRY_DELAY_MS: f64 = 50.0;

/// Delay after which a refused caller sends the prompt again, in milliseconds. Refusals tell
/// callers to retry after this delay.
const CALLER_RETRY_DELAY_MS: f64 = 4_000.0;

/// Cost of a second refusal as a ratio of the prompt's worth, in the users' price list.
const SECOND_REFUSAL_COST_RATIO: f64 = 0.3;

/// The state of a simulated day.
struct DaySimulation<'a> {
    plan: &'a DayPlan,
    farm: EngineFarm,
    names: Vec<EndpointStart>,
    fleet: EngineFleet,
    open: BTreeMap<u64, OpenPrompt>,
    result: DayResult,
    attempts: VecDeque<Attempt>,
    round_robin_index: usize,
}

/// Simulates a day drawn from a seed.
pub fn run_day(plan: &DayPlan, policy: FleetPolicy, seed: u64) -> DayResult {
    run_prompts(plan, policy, plan.prompts(seed))
}

/// Simulates a day with the given prompts, which are in order of arrival.
pub fn run_prompts(plan: &DayPlan, policy: FleetPolicy, prompts: Vec<DayPrompt>) -> DayResult {
    let mut simulation = DaySimulation::new(plan);
    for (number, prompt) in prompts.into_iter().enumerate() {
        let tally = &mut simulation.result.classes[prompt.class];
        let class = &plan.classes[prompt.class];
        tally.arrived += 1;
        tally.worth.1 += class.worth.0 * size_weight(&prompt, class.prompt_tokens.0);
        let (at_ms, wait_ends_ms) =
            (prompt.at_ms, prompt.at_ms + class.objective_ms * PLACEMENT_WAIT_RATIO);
        let attempt =
            Attempt { number: number as u64, at_ms, wait_ends_ms, is_retry: false, prompt };
        simulation.attempts.push_back(attempt);
    }
    loop {
        let next_end = simulation.farm.next_end();
        let next_prompt = simulation.attempts.front().map(|attempt| attempt.at_ms);
        match (next_prompt, next_end) {
            (Some(at), end) if end.is_none_or(|end| at <= end) => {
                if let Some(attempt) = simulation.attempts.pop_front() {
                    simulation.arrive(policy, attempt);
                }
            }
            (_, Some(end)) => simulation.advance_to(end),
            _ => return simulation.result,
        }
    }
}

impl<'a> DaySimulation<'a> {
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
                limit: None,
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
            round_robin_index: 0,
        }
    }

    fn arrive(&mut self, policy: FleetPolicy, attempt: Attempt) {
        let now_ms = attempt.at_ms + HOP_MS;
        let Some(placed) = self.place(policy, &attempt) else {
            self.refuse(attempt);
            return;
        };
        let Attempt { number, prompt, is_retry, .. } = attempt;
        let pass_prompt = PassPrompt {
            key: key(number),
            prompt_tokens: prompt.prompt_tokens,
            parts: u32::try_from(placed.helpers.len() + 1)
                .expect("the number of parts fits in u32"),
            answer_tokens: prompt.answer_events * u64::from(self.plan.profile.steps_per_pass),
            priority: placed.engine_priority,
            tokens_at_helpers: placed.helpers.iter().filter_map(|h| h.reserve_tokens).sum(),
        };
        self.advance_to(now_ms);
        if !self.farm.take(now_ms, &placed.main, &placed.helpers, &pass_prompt) {
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
            longest_pause_ms: 0.0,
            objective_start_ms: if is_retry { attempt.at_ms } else { prompt.at_ms },
            is_retry,
            prompt,
        };
        self.open.insert(number, open);
    }

    /// Schedules the next search for engines until the gateway's wait ends, then one retry by the
    /// caller. A refusal of the retry loses the prompt.
    fn refuse(&mut self, attempt: Attempt) {
        let class = &self.plan.classes[attempt.prompt.class];
        let next_attempt = if attempt.at_ms < attempt.wait_ends_ms {
            Attempt { at_ms: attempt.at_ms + PLACEMENT_RETRY_DELAY_MS, ..attempt }
        } else if attempt.is_retry {
            let tally = &mut self.result.classes[attempt.prompt.class];
            tally.lost += 1;
            let weight = size_weight(&attempt.prompt, class.prompt_tokens.0);
            tally.worth.0 -= class.worth.0 * weight * SECOND_REFUSAL_COST_RATIO;
            return;
        } else {
            let at_ms = attempt.at_ms + CALLER_RETRY_DELAY_MS;
            let wait_ends_ms = at_ms + class.objective_ms * PLACEMENT_WAIT_RATIO;
            Attempt { at_ms, wait_ends_ms, is_retry: true, ..attempt }
        };
        let at = self.attempts.partition_point(|other| other.at_ms <= next_attempt.at_ms);
        self.attempts.insert(at, next_attempt);
    }

    fn place(&mut self, policy: FleetPolicy, attempt: &Attempt) -> Option<PromptPlan> {
        let (number, prompt) = (attempt.number, &attempt.prompt);
        let class = &self.plan.classes[prompt.class];
        let objective_ms = class.objective_ms;
        let objective_start_ms = if attempt.is_retry {
            attempt.wait_ends_ms - objective_ms * PLACEMENT_WAIT_RATIO
        } else {
            prompt.at_ms
        };
        let elapsed_ms = attempt.at_ms - objective_start_ms;
        let ask = PromptAsk {
            key: key(number),
            service: service(),
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens: prompt.expected_tokens,
            max_answer_tokens: prompt.expected_tokens * 2,
            objective: millis((objective_ms - elapsed_ms).max(0.0)),
            whole_objective: millis(objective_ms),
            pause: millis(class.pause_ms),
            deadline: millis(class.deadline_ms - (attempt.at_ms - prompt.at_ms)),
            patience: millis((attempt.wait_ends_ms - attempt.at_ms).max(0.0)),
            avoid: Vec::new(),
            resting: Vec::new(),
            is_suspect: false,
            waiter: None,
            appointment: None,
            second: None,
        };
        let single_engine_plan = |main: usize| {
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
                single_engine_plan(least)
            }
            FleetPolicy::RoundRobin => {
                self.round_robin_index = (self.round_robin_index + 1) % self.names.len();
                single_engine_plan(self.round_robin_index)
            }
        }
    }

    fn advance_to(&mut self, now_ms: f64) {
        for FarmEvent { at_ms, key, is_last, .. } in self.farm.advance(now_ms) {
            self.record_event(at_ms, key.number);
            if is_last {
                self.record_end(at_ms, key.number);
            }
        }
        self.cancel_timed_out(now_ms);
    }

    fn record_event(&mut self, now_ms: f64, number: u64) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let seen_ms = now_ms + HOP_MS;
        if open.first_ms.is_some() {
            open.longest_pause_ms = open.longest_pause_ms.max(seen_ms - open.last_ms);
        } else {
            open.first_ms = Some(seen_ms - open.objective_start_ms);
            self.fleet.first_event(time(seen_ms), key(number));
        }
        open.last_ms = seen_ms;
    }

    fn record_end(&mut self, now_ms: f64, number: u64) {
        let Some(open) = self.open.remove(&number) else { return };
        self.fleet.ended(time(now_ms + HOP_MS), key(number));
        self.farm.remove(key(number));
        let class = &self.plan.classes[open.prompt.class];
        let weight = size_weight(&open.prompt, class.prompt_tokens.0);
        let tally = &mut self.result.classes[open.prompt.class];
        // The users price an answer on time to a refused caller at the mean of both worths.
        let (on_time_worth, late_worth) = class.worth;
        let on_time_worth =
            if open.is_retry { f64::midpoint(on_time_worth, late_worth) } else { on_time_worth };
        let previous_on_time = tally.on_time;
        let first = open.first_ms.unwrap_or(f64::MAX);
        tally.first_ms.push((open.predicted_ms, first));
        if now_ms - open.prompt.at_ms > class.deadline_ms {
            tally.lost += 1;
        } else if first > class.objective_ms {
            tally.late_first += 1;
            tally.worth.0 += late_worth * weight;
        } else if open.longest_pause_ms > class.pause_ms {
            tally.late_pause += 1;
            tally.worth.0 += late_worth * weight;
        } else {
            tally.on_time += 1;
            tally.worth.0 += on_time_worth * weight;
        }
        if tally.on_time == previous_on_time {
            tally.late_or_lost_at_s.push(open.prompt.at_ms / 1_000.0);
        }
    }

    /// Cancels the prompts of callers that have timed out. Callers wait for an event for at most
    /// two seconds, four times the objective or eight times the pause objective, whichever is
    /// longest, and cancel at their deadline.
    fn cancel_timed_out(&mut self, now_ms: f64) {
        let classes = &self.plan.classes;
        let timed_out: BTreeSet<u64> = self
            .open
            .iter()
            .filter(|(_, open)| {
                let class = &classes[open.prompt.class];
                let idle_timeout_ms =
                    (class.objective_ms * 4.0).max(class.pause_ms * 8.0).max(2_000.0);
                now_ms - open.last_ms > idle_timeout_ms
                    || now_ms - open.prompt.at_ms > class.deadline_ms
            })
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            if let Some(open) = self.open.remove(&number) {
                self.farm.remove(key(number));
                self.fleet.ended(time(now_ms), key(number));
                let tally = &mut self.result.classes[open.prompt.class];
                tally.lost += 1;
                tally.late_or_lost_at_s.push(open.prompt.at_ms / 1_000.0);
            }
        }
    }
}

/// Returns the factor of an answer's worth by the prompt's size: 0.3 + 0.7 times the ratio of the
/// prompt's tokens to the mean of its class, at most 4.
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
