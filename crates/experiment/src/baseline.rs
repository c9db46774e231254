//! Places prompts by common load-balancing rules, the baselines of the comparison. Each engine has
//! a first-come, first-served queue.

use std::collections::VecDeque;
use std::time::Duration;

use oriolepass_scheduler::LengthClass;
use oriolepass_units::{MonotonicTime, TokenCount};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::farm::{EngineFarm, PlacedPrompt, engine_config};
use crate::mix::Arrival;

/// Interval between load reports, and so their maximum age.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A placement rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineRule {
    /// A random engine.
    Random,
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest outstanding tokens by the last load report and the prompts sent
    /// since.
    LeastTokens,
    /// The less loaded of two random engines.
    PowerOfTwo,
    /// An engine by a hash of the account, as under prefix affinity alone.
    AffinityOnly,
    /// A quarter of the engines takes only short prompts (up to 4 k tokens), and the others take
    /// the rest. Within each part, the engine with the fewest outstanding tokens is chosen.
    StaticSplit,
}

/// Places prompts by a baseline rule.
pub struct BaselinePolicy {
    rule: BaselineRule,
    priorities: bool,
    engines: usize,
    random: StdRng,
    round_robin_index: usize,
    /// Outstanding tokens of each engine by the last report, plus the tokens sent since.
    outstanding: Vec<u64>,
    reports_due: MonotonicTime,
    /// The queue of each engine. A prompt for several engines is in the queues of all of them.
    queues: Vec<VecDeque<usize>>,
    /// The queued prompts by request.
    waiting: Vec<Option<PlacedPrompt>>,
}

impl BaselinePolicy {
    /// Creates a baseline. With `priorities`, engines process shorter prompts first.
    pub fn new(rule: BaselineRule, priorities: bool, engines: usize, seed: u64) -> Self {
        Self {
            rule,
            priorities,
            engines,
            random: StdRng::seed_from_u64(seed),
            round_robin_index: 0,
            outstanding: vec![0; engines],
            reports_due: MonotonicTime::ZERO,
            queues: vec![VecDeque::new(); engines],
            waiting: Vec::new(),
        }
    }

    fn refresh_reports(&mut self, now: MonotonicTime, farm: &EngineFarm) {
        if now < self.reports_due {
            return;
        }
        self.reports_due = now + REPORT_INTERVAL;
        let memory = engine_config().memory.0;
        for engine in 0..self.engines {
            let queued: u64 = self.queues[engine]
                .iter()
                .filter_map(|request| self.waiting[*request].as_ref())
                .map(|prompt| prompt.members.iter().map(|(_, part)| part).sum::<u64>())
                .sum();
            let (backlog, _) = farm.load(engine);
            let held = memory - farm.free(engine);
            self.outstanding[engine] = backlog + held / 8 + queued;
        }
    }

    /// Returns the engines that may take a prompt, in order of preference.
    fn ranked_engines(&mut self, arrival: &Arrival, farm: &EngineFarm) -> Vec<usize> {
        let mut alive: Vec<usize> =
            (0..self.engines).filter(|engine| farm.is_alive(*engine)).collect();
        if self.rule == BaselineRule::StaticSplit {
            let short = LengthClass::of(TokenCount(arrival.prompt)) == LengthClass::Short;
            let split = self.engines / 4;
            alive.retain(|engine| (*engine < split) == short);
        }
        let count = alive.len();
        match self.rule {
            BaselineRule::Random => {
                let start = self.random.random_range(0..count);
                alive.rotate_left(start);
            }
            BaselineRule::RoundRobin => {
                self.round_robin_index += 1;
                alive.rotate_left(self.round_robin_index % count);
            }
            BaselineRule::AffinityOnly => alive.rotate_left(arrival.account * 7 % count),
            BaselineRule::LeastTokens | BaselineRule::StaticSplit => {
                alive.sort_by_key(|engine| self.outstanding[*engine]);
            }
            BaselineRule::PowerOfTwo => {
                let pair = [self.random.random_range(0..count), self.random.random_range(0..count)];
                let best = if self.outstanding[alive[pair[0]]] <= self.outstanding[alive[pair[1]]] {
                    pair[0]
                } else {
                    pair[1]
                };
                alive.rotate_left(best);
            }
        }
        alive
    }

    pub(crate) fn submit(
        &mut self,
        now: MonotonicTime,
        request: usize,
        arrival: &Arrival,
        farm: &EngineFarm,
    ) {
        self.refresh_reports(now, farm);
        let ranked = self.ranked_engines(arrival, farm);
        let need = arrival.prompt + arrival.answer;
        let memory = engine_config().memory.0;
        let count = usize::try_from(need.div_ceil(memory)).unwrap_or(1);
        let part = need.div_ceil(count as u64);
        let members: Vec<(usize, u64)> =
            ranked.into_iter().take(count).map(|engine| (engine, part)).collect();
        for (engine, part) in &members {
            self.outstanding[*engine] += part;
            self.queues[*engine].push_back(request);
        }
        let class = LengthClass::of(TokenCount(arrival.prompt));
        let priority = if self.priorities { class.priority() } else { 0 };
        if self.waiting.len() <= request {
            self.waiting.resize_with(request + 1, || None);
        }
        self.waiting[request] = Some(PlacedPrompt { request, members, priority });
    }

    /// Removes and returns a prompt that is first in all its queues and fits on all its engines.
    pub(crate) fn take_ready(&mut self, farm: &EngineFarm) -> Option<PlacedPrompt> {
        let ready = (0..self.engines).find_map(|engine| {
            let request = *self.queues[engine].front()?;
            let prompt = self.waiting[request].as_ref()?;
            let fits = prompt.members.iter().all(|(member, part)| {
                self.queues[*member].front() == Some(&request) && farm.free(*member) >= *part
            });
            fits.then_some(request)
        })?;
        let prompt = self.waiting[ready].take()?;
        for (engine, _) in &prompt.members {
            self.queues[*engine].pop_front();
        }
        Some(prompt)
    }

    /// Removes and returns the requests that wait for a stopped engine. The caller submits the
    /// requests again.
    pub(crate) fn remove_engine(&mut self, engine: usize) -> Vec<usize> {
        let lost: Vec<usize> = self.queues[engine].drain(..).collect();
        for request in &lost {
            self.waiting[*request] = None;
            self.queues.iter_mut().for_each(|queue| queue.retain(|other| other != request));
        }
        lost
    }
}
