//! Simulates several engines in logical time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_schema::caller::PromptBody;
use oriolepass_schema::endpoint::{AttemptCall, PartCall};
use oriolepass_standin::{EngineConfig, EngineModel, StepEvent};
use oriolepass_units::{AttemptId, MonotonicTime, TokenCount, TokenRate};

use crate::mix::Arrival;

/// Returns the cost model of the experiments: 20,000 prompt tokens per second, batches of 1,024
/// tokens, 8 ms for an empty step, and 3 microseconds more for each thousand tokens of context that
/// a step reads.
pub fn engine_config() -> EngineConfig {
    EngineConfig {
        memory: TokenCount(450_000),
        prefill_rate: TokenRate(20_000),
        step_base: Duration::from_millis(8),
        attention_nanos_per_k: 3_000,
        step_tokens: 1_024,
        cache_blocks: 0,
        counts_only: true,
        ..EngineConfig::default()
    }
}

/// An event of a request on an engine.
#[derive(Debug, Clone)]
pub enum FarmEvent {
    /// The engine produced the first token.
    FirstToken {
        /// Index of the request.
        request: usize,
    },
    /// The request ended.
    Ended {
        /// Index of the request.
        request: usize,
    },
}

/// A placed prompt: its engines with the memory to reserve on each, the main engine first.
#[derive(Debug)]
pub(crate) struct PlacedPrompt {
    pub(crate) request: usize,
    pub(crate) members: Vec<(usize, u64)>,
    pub(crate) priority: u8,
}

struct FarmEngine {
    model: EngineModel,
    is_running: bool,
    is_stepping: bool,
}

/// Several engines in logical time.
pub struct EngineFarm {
    engines: Vec<FarmEngine>,
    /// The running steps by end time and engine, with their results.
    running_steps: BTreeMap<(MonotonicTime, usize), Vec<StepEvent>>,
    /// The memory reserved on each engine, by request.
    reserved: Vec<BTreeMap<usize, u64>>,
}

fn attempt_id(request: usize) -> AttemptId {
    format!("r-{request}").parse().expect("a valid id")
}

fn request_of(attempt: &AttemptId) -> usize {
    attempt.as_str()[2..].parse().expect("the attempt id ends in the request's number")
}

impl EngineFarm {
    /// Creates `count` idle engines.
    pub fn new(count: usize) -> Self {
        let engine = || FarmEngine {
            model: EngineModel::new(engine_config()),
            is_running: true,
            is_stepping: false,
        };
        Self {
            engines: (0..count).map(|_| engine()).collect(),
            running_steps: BTreeMap::new(),
            reserved: vec![BTreeMap::new(); count],
        }
    }

    /// Returns whether an engine is running.
    pub fn is_alive(&self, engine: usize) -> bool {
        self.engines[engine].is_running
    }

    /// Returns the free memory of an engine, in tokens.
    pub fn free(&self, engine: usize) -> u64 {
        let model = &self.engines[engine].model;
        model.config().memory.0 - model.used().0
    }

    /// Returns the prompt tokens that an engine has not yet processed, and the number of its
    /// streams.
    pub fn load(&self, engine: usize) -> (u64, u32) {
        let (backlog, streams) = self.engines[engine].model.load();
        (backlog.0, streams)
    }

    /// Starts a request on its engines, the main engine first.
    ///
    /// # Panics
    ///
    /// Panics when an engine lacks the memory, which is an accounting error of the policy.
    pub fn start(
        &mut self,
        now: MonotonicTime,
        request: usize,
        arrival: &Arrival,
        members: &[(usize, u64)],
        priority: u8,
    ) {
        let (main_engine, main_tokens) = members[0];
        for (engine, part) in &members[1..] {
            let call = PartCall { attempt: attempt_id(request), reserved: TokenCount(*part) };
            self.engines[*engine]
                .model
                .hold_part(&call)
                .expect("the policy reserves memory for the part");
            self.reserved[*engine].insert(request, *part);
        }
        let prompt = usize::try_from(arrival.prompt).expect("the prompt length fits in usize");
        let call = AttemptCall {
            attempt: attempt_id(request),
            model: "oriole-large".parse().expect("a valid name"),
            prompt: Arc::new(PromptBody::Tokens(vec![0; prompt])),
            max_tokens: arrival.answer,
            reserved: TokenCount(main_tokens),
            priority,
            resume_from: 0,
            resume_text: String::new(),
            helpers: members[1..]
                .iter()
                .map(|_| "127.0.0.1:1".parse().expect("a valid address"))
                .collect(),
        };
        self.engines[main_engine]
            .model
            .submit(&call)
            .expect("the policy reserves memory for the prompt");
        self.reserved[main_engine].insert(request, main_tokens);
        self.start_step_if_idle(now, main_engine);
    }

    fn start_step_if_idle(&mut self, now: MonotonicTime, engine: usize) {
        let target = &mut self.engines[engine];
        if target.is_stepping || !target.is_running || target.model.is_idle() {
            return;
        }
        target.is_stepping = true;
        let step = target.model.step();
        self.running_steps.insert((now + step.duration, engine), step.events);
    }

    /// Releases the memory that a request holds on the given engines.
    pub fn release(&mut self, request: usize, members: &[(usize, u64)]) {
        for (engine, _) in members {
            self.engines[*engine].model.cancel(&attempt_id(request));
            self.reserved[*engine].remove(&request);
        }
    }

    /// Stops an engine and drops its state. Returns the requests that held memory on the engine.
    pub fn kill(&mut self, engine: usize) -> Vec<usize> {
        self.engines[engine].is_running = false;
        self.engines[engine].is_stepping = false;
        self.engines[engine].model = EngineModel::new(engine_config());
        self.running_steps.retain(|(_, step_engine), _| *step_engine != engine);
        std::mem::take(&mut self.reserved[engine]).into_keys().collect()
    }

    /// Returns the end time of the next step to end.
    pub fn next_step_end(&self) -> Option<MonotonicTime> {
        self.running_steps.first_key_value().map(|((at, _), _)| *at)
    }

    /// Ends the earliest running step, starts the next step of the same engine and returns the
    /// events of the ended step.
    pub fn advance(&mut self) -> Vec<FarmEvent> {
        let Some(((now, engine), events)) = self.running_steps.pop_first() else {
            return Vec::new();
        };
        let farm_events = events.into_iter().filter_map(|event| match event {
            StepEvent::Token { attempt, index: 0, .. } => {
                Some(FarmEvent::FirstToken { request: request_of(&attempt) })
            }
            StepEvent::Token { .. } => None,
            StepEvent::Ended { attempt, .. } => {
                Some(FarmEvent::Ended { request: request_of(&attempt) })
            }
        });
        let farm_events: Vec<FarmEvent> = farm_events.collect();
        self.engines[engine].is_stepping = false;
        self.start_step_if_idle(now, engine);
        farm_events
    }
}
