//! Runs one placement policy on a load and collects its metrics.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use oriolepass_scheduler::{LengthClass, SchedulerConfig};
use oriolepass_units::{MonotonicTime, TokenCount};

use crate::baseline::{BaselinePolicy, BaselineRule};
use crate::farm::{EngineFarm, FarmEvent, engine_config};
use crate::homes::HomesPolicy;
use crate::mix::{Arrival, LoadMix};

/// Interval between ticks of the policy.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum duration of a run after its last arrival. Requests that are open by then count as
/// arrived, but neither as ended nor as refused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Delay before a refused or lost request is submitted again, where a retry may succeed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The policy that places the prompts.
#[derive(Debug, Clone)]
pub enum PolicyKind {
    /// The product's homes.
    Homes(SchedulerConfig),
    /// A baseline, with or without priorities by length on the engines.
    Baseline(BaselineRule, bool),
}

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// Seed of the arrivals.
    pub seed: u64,
    /// The load as a ratio of the engines' capacity with full batches.
    pub load: f64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Whether arrivals come in bursts.
    pub bursts: bool,
    /// Whether prompts above the short class are left out.
    pub short_only: bool,
    /// Engines that stop after a third of the arrivals' duration.
    pub lost_engines: Vec<usize>,
}

/// The metrics of a run.
#[derive(Debug)]
pub struct PolicyResult {
    /// Times to first token by length class, in microseconds.
    pub first_token: HashMap<LengthClass, Histogram<u64>>,
    /// Prompt and answer tokens of the requests of each account that ended while arrivals lasted.
    pub served: Vec<u64>,
    /// Prompt and answer tokens that each account requested.
    pub requested: Vec<u64>,
    /// Requests that ended, without those refused.
    pub ended: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Requests that arrived.
    pub arrived: usize,
    /// Prompt and answer tokens per second of prompts above 32 k tokens that ended while arrivals
    /// lasted.
    pub long_goodput: f64,
}

impl PolicyResult {
    /// Returns a quantile of the time to first token, in milliseconds.
    pub fn quantile_ms(&self, class: LengthClass, quantile: f64) -> f64 {
        self.first_token
            .get(&class)
            .map_or(f64::NAN, |times| times.value_at_quantile(quantile) as f64 / 1_000.0)
    }

    /// Returns the mean time to first token, in milliseconds.
    pub fn mean_ms(&self, class: LengthClass) -> f64 {
        self.first_token.get(&class).map_or(f64::NAN, |times| times.mean() / 1_000.0)
    }

    /// Returns the minimum over the accounts of tokens served relative to tokens due. An account is
    /// due its share, or its requested tokens where they are fewer.
    pub fn least_share(&self, mix: &LoadMix) -> f64 {
        let total: u64 = self.served.iter().sum();
        let shares: u32 = mix.accounts.iter().map(|account| account.share).sum();
        let part = |number: usize| {
            let due = total as f64 * f64::from(mix.accounts[number].share) / f64::from(shares);
            // An account that requests less than its share is due only what it requests.
            let due = due.min(self.requested[number] as f64);
            self.served[number] as f64 / due.max(1.0)
        };
        (0..self.served.len()).map(part).fold(f64::INFINITY, f64::min)
    }
}

/// Returns the time to first token of a prompt on idle engines, in milliseconds.
pub fn empty_first_token(prompt: u64) -> f64 {
    let config = engine_config();
    let memory = config.memory.0;
    let count = prompt.div_ceil(memory).max(1);
    let part = prompt.div_ceil(count);
    let steps = part.div_ceil(config.step_tokens) + 1;
    steps as f64 * config.step_base.as_secs_f64() * 1e3
        + part as f64 * 1e3 / config.prefill_rate.0 as f64
}

/// Returns the tokens that one engine processes per second when every batch is full, the upper
/// bound of the throughput under any policy.
pub fn engine_capacity() -> f64 {
    let config = engine_config();
    let tokens = config.step_tokens as f64;
    let step = config.step_base.as_secs_f64() + tokens / config.prefill_rate.0 as f64;
    tokens / step
}

enum Policy {
    Homes(Box<HomesPolicy>),
    Baseline(Box<BaselinePolicy>),
}

struct Run<'a> {
    policy: Policy,
    farm: EngineFarm,
    arrivals: &'a [Arrival],
    placed: HashMap<usize, Vec<(usize, u64)>>,
    has_first_token: Vec<bool>,
    result: PolicyResult,
    now: MonotonicTime,
    arrivals_end: MonotonicTime,
    engines: usize,
    long_tokens: u64,
    /// Requests to submit again, with the time of the retry.
    retries: Vec<(MonotonicTime, usize)>,
}

/// Runs a policy until all requests have ended or been refused, or the drain timeout has passed.
pub fn run_policy(mix: &LoadMix, kind: &PolicyKind, plan: &RunPlan) -> PolicyResult {
    let rate = plan.load * mix.engines as f64 * engine_capacity() / mix.mean_work();
    let mut arrivals = mix.draw(plan.seed, rate, plan.seconds, plan.bursts);
    if plan.short_only {
        arrivals.retain(|a| LengthClass::of(TokenCount(a.prompt)) == LengthClass::Short);
    }
    let policy =
        match kind {
            PolicyKind::Homes(config) => Policy::Homes(Box::new(HomesPolicy::new(mix, config))),
            PolicyKind::Baseline(rule, priorities) => Policy::Baseline(Box::new(
                BaselinePolicy::new(*rule, *priorities, mix.engines, plan.seed),
            )),
        };
    let mut run = Run {
        policy,
        farm: EngineFarm::new(mix.engines),
        placed: HashMap::new(),
        has_first_token: vec![false; arrivals.len()],
        result: PolicyResult {
            first_token: HashMap::new(),
            served: vec![0; mix.accounts.len()],
            requested: vec![0; mix.accounts.len()],
            ended: 0,
            refused: 0,
            arrived: arrivals.len(),
            long_goodput: 0.0,
        },
        arrivals: &arrivals,
        now: MonotonicTime::ZERO,
        arrivals_end: MonotonicTime((plan.seconds * 1e6) as u64),
        engines: mix.engines,
        long_tokens: 0,
        retries: Vec::new(),
    };
    run.execute(plan);
    run.result.long_goodput = run.long_tokens as f64 / plan.seconds;
    run.result
}

impl Run<'_> {
    fn execute(&mut self, plan: &RunPlan) {
        let mut next_arrival = 0;
        let mut tick_due = MonotonicTime::ZERO;
        let engines_stop_at = MonotonicTime((plan.seconds * 1e6 / 3.0) as u64);
        let mut engines_to_stop = plan.lost_engines.clone();
        let run_deadline = self.arrivals_end + DRAIN_TIMEOUT;
        while self.result.ended + self.result.refused < self.arrivals.len()
            && self.now < run_deadline
        {
            let arrival = self.arrivals.get(next_arrival).map(|arrival| arrival.at);
            let step = self.farm.next_step_end();
            let next = [arrival, step, Some(tick_due)].into_iter().flatten().min();
            self.now = next.expect("the next tick has a time");
            if self.now >= engines_stop_at && !engines_to_stop.is_empty() {
                std::mem::take(&mut engines_to_stop)
                    .into_iter()
                    .for_each(|engine| self.stop_engine(engine));
            }
            if step == Some(self.now) {
                for event in self.farm.advance() {
                    self.handle_event(&event);
                }
            } else if arrival == Some(self.now) {
                let account = self.arrivals[next_arrival].account;
                self.result.requested[account] += self.tokens(next_arrival);
                self.submit(next_arrival);
                next_arrival += 1;
            } else {
                tick_due = self.now + TICK_INTERVAL;
                self.tick();
            }
            self.start_ready();
        }
    }

    fn tick(&mut self) {
        if let Policy::Homes(homes) = &mut self.policy {
            homes.tick(self.now, &self.farm, self.engines);
        }
        let now = self.now;
        let due: Vec<usize> =
            self.retries.extract_if(.., |(at, _)| *at <= now).map(|(_, request)| request).collect();
        due.into_iter().for_each(|request| self.submit(request));
    }

    /// Schedules retries of the requests that the homes refused, or counts them as refused.
    fn collect_refusals(&mut self) {
        let Policy::Homes(homes) = &mut self.policy else { return };
        for (request, is_retryable) in homes.take_refused() {
            homes.remove(request);
            if is_retryable {
                self.retries.push((self.now + RETRY_DELAY, request));
            } else {
                self.result.refused += 1;
            }
        }
    }

    fn tokens(&self, request: usize) -> u64 {
        self.arrivals[request].prompt + self.arrivals[request].answer
    }

    fn submit(&mut self, request: usize) {
        let arrival = &self.arrivals[request];
        match &mut self.policy {
            Policy::Homes(homes) => homes.submit(self.now, request, arrival),
            Policy::Baseline(baseline) => {
                baseline.submit(self.now, request, arrival, &self.farm);
            }
        }
    }

    fn start_ready(&mut self) {
        loop {
            let started = match &mut self.policy {
                Policy::Homes(homes) => {
                    let starts = homes.take_starts(self.now);
                    if starts.is_empty() {
                        self.collect_refusals();
                        return;
                    }
                    starts
                }
                Policy::Baseline(baseline) => match baseline.take_ready(&self.farm) {
                    Some(ready) => vec![ready],
                    None => return,
                },
            };
            for placed in started {
                if !placed.members.iter().all(|(engine, _)| self.farm.is_alive(*engine)) {
                    // The home has not yet detected that the engine stopped, so the entry's
                    // connection fails.
                    self.release_lost_request(placed.request);
                    self.retries.push((self.now + RETRY_DELAY, placed.request));
                    continue;
                }
                let arrival = &self.arrivals[placed.request];
                self.farm.start(
                    self.now,
                    placed.request,
                    arrival,
                    &placed.members,
                    placed.priority,
                );
                self.placed.insert(placed.request, placed.members);
            }
        }
    }

    fn handle_event(&mut self, event: &FarmEvent) {
        match *event {
            FarmEvent::FirstToken { request } => {
                if let Policy::Homes(homes) = &mut self.policy {
                    homes.first_token(self.now, request);
                }
                if std::mem::replace(&mut self.has_first_token[request], true) {
                    return;
                }
                let arrival = &self.arrivals[request];
                let class = LengthClass::of(TokenCount(arrival.prompt));
                let latency_us = self.now.since(arrival.at).as_micros();
                let times = self.result.first_token.entry(class).or_insert_with(|| {
                    Histogram::new_with_bounds(1, 86_400_000_000, 3).expect("valid bounds")
                });
                times
                    .record(u64::try_from(latency_us).unwrap_or(u64::MAX).max(1))
                    .expect("the latency is within the histogram's bound of one day");
            }
            FarmEvent::Ended { request } => self.record_end(request),
        }
    }

    fn record_end(&mut self, request: usize) {
        let members = self.placed.remove(&request).unwrap_or_default();
        self.farm.release(request, &members);
        let arrival = &self.arrivals[request];
        let tokens = self.tokens(request);
        if self.now <= self.arrivals_end {
            self.result.served[arrival.account] += tokens;
            if arrival.prompt > 32_000 {
                self.long_tokens += tokens;
            }
        }
        self.result.ended += 1;
        if let Policy::Homes(homes) = &mut self.policy {
            homes.ended(self.now, request, arrival.answer);
            homes.remove(request);
        }
    }

    fn release_lost_request(&mut self, request: usize) {
        if let Policy::Homes(homes) = &mut self.policy {
            homes.engine_lost(self.now, request);
            homes.remove(request);
        }
    }

    /// Stops an engine and submits its requests again.
    fn stop_engine(&mut self, engine: usize) {
        let mut lost = self.farm.kill(engine);
        for request in &lost {
            let members = self.placed.remove(request).unwrap_or_default();
            self.farm.release(*request, &members);
            self.release_lost_request(*request);
        }
        if let Policy::Baseline(baseline) = &mut self.policy {
            lost.extend(baseline.remove_engine(engine));
        }
        lost.into_iter().for_each(|request| self.submit(request));
    }
}
