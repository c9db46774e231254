//! Engines in manual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_schema::caller::PromptBody;
use oriolepass_schema::endpoint::{AttemptCall, PartCall};
use oriolepass_standin::{EngineConfig, EngineModel, StepEvent};
use oriolepass_units::{AttemptId, MonotonicTime, TokenCount, TokenRate};

use crate::mix::Arrival;

/// The stated cost model: 20,000 prompt tokens a second, batches of 1,024 tokens, 8 ms for an
/// empty step, 3 microseconds more for each thousand tokens of context that a step reads.
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

/// What an engine tells.
#[derive(Debug, Clone)]
pub enum FarmEvent {
    /// The first token of a request.
    FirstToken {
        /// The request.
        request: usize,
    },
    /// The end of a request.
    Ended {
        /// The request.
        request: usize,
    },
}

/// A prompt that may start: the engines with the memory on each, the first of which leads.
#[derive(Debug)]
pub(crate) struct PlacedPrompt {
    pub(crate) request: usize,
    pub(crate) members: Vec<(usize, u64)>,
    pub(crate) priority: u8,
}

struct FarmEngine {
    model: EngineModel,
    alive: bool,
    stepping: bool,
}

/// All engines.
pub struct EngineFarm {
    engines: Vec<FarmEngine>,
    /// Steps that end at a time, with what they tell.
    due: BTreeMap<(MonotonicTime, usize), Vec<StepEvent>>,
    reserved: Vec<BTreeMap<usize, u64>>,
}

fn attempt(request: usize) -> AttemptId {
    format!("r-{request}").parse().expect("a valid id")
}

fn request_of(attempt: &AttemptId) -> usize {
    attempt.as_str()[2..].parse().expect("a number")
}

impl EngineFarm {
    /// Creates empty engines.
    pub fn new(count: usize) -> Self {
        let engine = || FarmEngine {
            model: EngineModel::new(engine_config()),
            alive: true,
            stepping: false,
        };
        Self {
            engines: (0..count).map(|_| engine()).collect(),
            due: BTreeMap::new(),
            reserved: vec![BTreeMap::new(); count],
        }
    }

    /// Returns whether an engine lives.
    pub fn is_alive(&self, engine: usize) -> bool {
        self.engines[engine].alive
    }

    /// Returns the free memory of an engine.
    pub fn free(&self, engine: usize) -> u64 {
        let model = &self.engines[engine].model;
        model.config().memory.0 - model.used().0
    }

    /// Returns the prompt tokens not processed yet and the streams of an engine.
    pub fn load(&self, engine: usize) -> (u64, u32) {
        let (backlog, streams) = self.engines[engine].model.load();
        (backlog.0, streams)
    }

    /// Starts a request on engines, the first of which leads.
    ///
    /// # Panics
    ///
    /// Panics when an engine has not the memory: whoever placed it has miscounted.
    pub fn start(
        &mut self,
        now: MonotonicTime,
        request: usize,
        arrival: &Arrival,
        members: &[(usize, u64)],
        priority: u8,
    ) {
        let (lead, own) = members[0];
        for (engine, part) in &members[1..] {
            let call = PartCall { attempt: attempt(request), reserved: TokenCount(*part) };
            self.engines[*engine].model.hold_part(&call).expect("room for the part");
            self.reserved[*engine].insert(request, *part);
        }
        let prompt = usize::try_from(arrival.prompt).expect("a prompt that fits in memory");
        let call = AttemptCall {
            attempt: attempt(request),
            model: "oriole-large".parse().expect("a valid name"),
            prompt: Arc::new(PromptBody::Tokens(vec![0; prompt])),
            max_tokens: arrival.answer,
            reserved: TokenCount(own),
            priority,
            resume_from: 0,
            resume_text: String::new(),
            helpers: members[1..].iter().map(|_| "127.0.0.1:1".parse().expect("one")).collect(),
        };
        self.engines[lead].model.submit(&call).expect("room for the prompt");
        self.reserved[lead].insert(request, own);
        self.step_if_idle(now, lead);
    }

    fn step_if_idle(&mut self, now: MonotonicTime, engine: usize) {
        let target = &mut self.engines[engine];
        if target.stepping || !target.alive || target.model.is_idle() {
            return;
        }
        target.stepping = true;
        let step = target.model.step();
        self.due.insert((now + step.duration, engine), step.events);
    }

    /// Frees what a request holds on the engines that helped.
    pub fn end_parts(&mut self, request: usize, members: &[(usize, u64)]) {
        for (engine, _) in members {
            self.engines[*engine].model.cancel(&attempt(request));
            self.reserved[*engine].remove(&request);
        }
    }

    /// Kills an engine; returns the requests that it held a part of.
    pub fn kill(&mut self, engine: usize) -> Vec<usize> {
        self.engines[engine].alive = false;
        self.engines[engine].stepping = false;
        self.engines[engine].model = EngineModel::new(engine_config());
        self.due.retain(|(_, stepping), _| *stepping != engine);
        std::mem::take(&mut self.reserved[engine]).into_keys().collect()
    }

    /// Returns when the next step ends.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Ends the step that is due first and starts that engine's next one.
    pub fn advance(&mut self) -> Vec<FarmEvent> {
        let Some(((now, engine), events)) = self.due.pop_first() else { return Vec::new() };
        let told = events.into_iter().filter_map(|event| match event {
            StepEvent::Token { attempt, index: 0, .. } => {
                Some(FarmEvent::FirstToken { request: request_of(&attempt) })
            }
            StepEvent::Token { .. } => None,
            StepEvent::Ended { attempt, .. } => {
                Some(FarmEvent::Ended { request: request_of(&attempt) })
            }
        });
        let told: Vec<FarmEvent> = told.collect();
        self.engines[engine].stepping = false;
        self.step_if_idle(now, engine);
        told
    }
}
