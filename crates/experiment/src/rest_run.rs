//! Simulates in logical time how the daemon that places prompts learns which engines an instance must not send to.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use oriolepass_limits::RestTable;
use oriolepass_units::{EndpointStart, MonotonicTime};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};

/// One way between two instances.
const ONE_WAY: Duration = Duration::from_micros(900);

/// The simulated time.
const RUN_TIME: Duration = Duration::from_secs(60);

/// The lengths of rests, in seconds.
const REST_SECONDS: [f64; 3] = [1.75, 2.0, 3.0];

/// The interval at which another instance becomes the home.
const HOME_TERM: Duration = Duration::from_secs(10);

/// The time from a change of the home until an instance has reported its rests to the new one.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// The bytes of a message without its list of engines, and of one engine in a list.
const MESSAGE_BYTES: usize = 24;
const ENGINE_BYTES: usize = 22;

/// The daemons besides the home that place prompts while it is away.
const DEPUTIES: usize = 4;

/// The number of engines on which short answers are gathered, as a part of all.
const GATHERED_SHARE: f64 = 0.4;

/// The maximum number of sends of a prompt.
const MAX_SENDS: usize = 4;

/// How the home learns of rests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestDesign {
    /// Not at all: a prompt avoids the engines that turned itself away.
    PerPrompt,
    /// Each instance reports its rests to the home and the deputies, which keep a table.
    SharedTable,
    /// Each prompt carries the engines that rest for its instance.
    WithPrompt,
}

impl RestDesign {
    /// All designs, with the name of each.
    pub const ALL: [(Self, &'static str); 3] = [
        (Self::PerPrompt, "per prompt"),
        (Self::SharedTable, "shared table"),
        (Self::WithPrompt, "with the prompt"),
    ];
}

/// A run: instances that send prompts, and engines that ask them for rest.
#[derive(Debug, Clone, Copy)]
pub struct RestRunPlan {
    /// The instances.
    pub instances: usize,
    /// The engines.
    pub engines: usize,
    /// The prompts per second at all instances together.
    pub prompts_per_s: f64,
    /// The number of prompts of which an engine turns one away.
    pub one_in: u32,
    /// The seed of the arrivals and rests.
    pub seed: u64,
}

/// The result of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RestRunResult {
    /// The maximum number of prompts that reached an engine in a rest, later than half a second after
    /// it began.
    pub most_in_rest: u32,
    /// The share of prompts that were placed on an engine that rests at least once.
    pub placed_in_vain: f64,
    /// The share of prompts that were served.
    pub served: f64,
    /// The bytes per prompt that tell of rests.
    pub bytes: f64,
    /// The maximum number of rests that the home knew at a time, over all instances.
    pub most_known: usize,
}

struct RestRun {
    plan: RestRunPlan,
    random: StdRng,
    names: Vec<EndpointStart>,
    /// The rests that each instance was asked for.
    own: Vec<RestTable>,
    /// When each rest began and how many prompts reached the engine since, by instance and engine.
    begun: BTreeMap<(usize, usize), (MonotonicTime, MonotonicTime, u32)>,
    /// When the home learnt of each rest and when it ends, by instance and engine.
    known: BTreeMap<(usize, usize), (MonotonicTime, MonotonicTime)>,
    result: RestRunResult,
    bytes: usize,
}

/// Runs a design.
///
/// # Panics
///
/// Panics if the plan has no engines or instances.
pub fn run_rests(design: RestDesign, plan: &RestRunPlan) -> RestRunResult {
    let mut run = RestRun {
        plan: *plan,
        random: StdRng::seed_from_u64(plan.seed),
        names: (0..plan.engines).map(|n| format!("e-{n}@1").parse().expect("a start")).collect(),
        own: (0..plan.instances).map(|_| RestTable::default()).collect(),
        begun: BTreeMap::new(),
        known: BTreeMap::new(),
        result: RestRunResult::default(),
        bytes: 0,
    };
    let count = (plan.prompts_per_s * RUN_TIME.as_secs_f64()) as usize;
    let mut arrivals: BinaryHeap<_> = (0..count)
        .map(|_| {
            let at = MonotonicTime(run.random.random_range(0..RUN_TIME.as_micros() as u64));
            let skewed: f64 = run.random.random::<f64>().powi(2);
            (std::cmp::Reverse(at), (skewed * plan.instances as f64) as usize)
        })
        .collect();
    let (mut served, mut in_vain) = (0, 0);
    while let Some((std::cmp::Reverse(at), instance)) = arrivals.pop() {
        let (is_served, was_in_vain) = run.serve(design, at, instance);
        served += usize::from(is_served);
        in_vain += usize::from(was_in_vain);
    }
    let count = count.max(1) as f64;
    RestRunResult {
        served: served as f64 / count,
        placed_in_vain: in_vain as f64 / count,
        bytes: run.bytes as f64 / count,
        ..run.result
    }
}

impl RestRun {
    /// Sends a prompt until an engine takes it. Returns whether it was served, and whether it was placed on
    /// an engine that rests.
    fn serve(
        &mut self,
        design: RestDesign,
        arrived: MonotonicTime,
        instance: usize,
    ) -> (bool, bool) {
        let (mut now, mut avoided, mut was_in_vain) = (arrived, Vec::new(), 0);
        for _ in 0..MAX_SENDS {
            let excluded = self.excluded(design, now + ONE_WAY, instance);
            let Some(engine) = self.place(&excluded, &avoided) else {
                return (false, was_in_vain > 0);
            };
            now = now + ONE_WAY * 2;
            if self.own[instance].is_resting(now, &self.names[engine]) {
                was_in_vain += 1;
                avoided.push(engine);
                // Both designs check the rest where it is known for sure, before the prompt is sent.
                if design != RestDesign::PerPrompt {
                    continue;
                }
            }
            now = now + ONE_WAY;
            if self.deliver(design, now, instance, engine) {
                return (true, was_in_vain > 0);
            }
            avoided.push(engine);
            now = now + ONE_WAY;
        }
        (false, was_in_vain > 0)
    }

    /// Returns the engines that the home excludes for a prompt of an instance.
    fn excluded(&mut self, design: RestDesign, now: MonotonicTime, instance: usize) -> Vec<usize> {
        match design {
            RestDesign::PerPrompt => Vec::new(),
            RestDesign::WithPrompt => {
                let index = |name: &EndpointStart| self.names.iter().position(|n| n == name);
                let resting: Vec<usize> =
                    self.own[instance].resting(now).filter_map(index).collect();
                self.bytes += resting.len() * ENGINE_BYTES + 1;
                resting
            }
            RestDesign::SharedTable => {
                let term = HOME_TERM.as_micros() as u64;
                let since = MonotonicTime(now.0 / term * term);
                self.known.retain(|_, (_, until)| now < *until);
                self.result.most_known = self.result.most_known.max(self.known.len());
                // A new home knows what was reported to it, and the rest after the report delay.
                let is_known = |learnt: MonotonicTime| {
                    learnt <= now && (learnt >= since || now >= since + REPORT_DELAY)
                };
                let of_instance = self.known.range((instance, 0)..(instance + 1, 0));
                let known = of_instance.filter(|(_, (learnt, _))| is_known(*learnt));
                known.map(|((_, engine), _)| *engine).collect()
            }
        }
    }

    /// Chooses an engine, from a part of all where there is one.
    fn place(&mut self, excluded: &[usize], avoided: &[usize]) -> Option<usize> {
        let all = self.plan.engines;
        let gathered = ((all as f64 * GATHERED_SHARE) as usize).max(1);
        let random = &mut self.random;
        let mut choose = |range: std::ops::Range<usize>| {
            range.filter(|e| !excluded.contains(e) && !avoided.contains(e)).choose(random)
        };
        choose(0..gathered).or_else(|| choose(gathered..all))
    }

    /// Delivers a prompt. Returns whether the engine takes it.
    fn deliver(
        &mut self,
        design: RestDesign,
        now: MonotonicTime,
        instance: usize,
        engine: usize,
    ) -> bool {
        if let Some((began, until, count)) = self.begun.get_mut(&(instance, engine))
            && now < *until
        {
            if now >= *began + Duration::from_millis(500) {
                *count += 1;
                self.result.most_in_rest = self.result.most_in_rest.max(*count);
            }
            return false;
        }
        if !self.random.random_ratio(1, self.plan.one_in) {
            return true;
        }
        let seconds = REST_SECONDS.choose(&mut self.random).copied().unwrap_or(1.0);
        let span = Duration::from_secs_f64(seconds);
        self.begun.insert((instance, engine), (now, now + span, 0));
        self.own[instance].record(now + ONE_WAY, &self.names[engine], span);
        if design == RestDesign::SharedTable {
            let learnt = now + ONE_WAY * 2;
            self.known.insert((instance, engine), (learnt, now + ONE_WAY + span));
            self.bytes += (MESSAGE_BYTES + ENGINE_BYTES) * (1 + DEPUTIES);
        }
        false
    }
}
