//! Simulates a model engine as a state machine.
//!
//! Each step processes one batch: every decoding stream produces a token, and the remaining token
//! budget of the batch goes to prefills, the higher priority first. The cost model gives the
//! duration of the step; the caller waits for that duration before the next step.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_scheduler::{PREFIX_BLOCK_TOKENS, prefix_hashes};
use oriolepass_schema::digest::AnswerDigest;
use oriolepass_schema::endpoint::{
    AttemptCall, CacheChange, EndpointOrder, HeldStream, OrderKind, PartCall,
};
use oriolepass_units::{AttemptId, FencingNumber, ModelId, PrefixHash, TokenCount, TokenRate};

use crate::answer::{answer_seed, answer_token};
use crate::prefix_cache::PrefixCache;

/// The cost model and limits of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The models loaded at start.
    pub models: Vec<ModelId>,
    /// Memory for the KV cache.
    pub memory: TokenCount,
    /// Prompt tokens processed per second.
    pub prefill_rate: TokenRate,
    /// Duration of a step with an empty batch.
    pub step_base: Duration,
    /// Additional nanoseconds of a step for each thousand tokens of KV cache that the step reads.
    pub attention_nanos_per_k: u64,
    /// Maximum tokens that a step processes.
    pub step_tokens: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Whether orders with a fencing number below the highest seen are refused.
    pub fenced: bool,
    /// Whether tokens are only counted, without text or digest, for long runs in logical time. Only
    /// the first token of an answer is then reported.
    pub counts_only: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            models: vec!["oriole-large".parse().expect("a valid name")],
            memory: TokenCount(450_000),
            prefill_rate: TokenRate(400_000),
            step_base: Duration::from_millis(2),
            attention_nanos_per_k: 3_000,
            step_tokens: 2_048,
            cache_blocks: 512,
            fenced: true,
            counts_only: false,
        }
    }
}

/// A result of a step for one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepEvent {
    /// The stream produced a token.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// The token's position in the answer.
        index: u64,
        /// The token's text.
        text: String,
    },
    /// The stream ended and holds no memory any more.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Number of tokens in the complete answer.
        tokens: u64,
        /// SHA-256 of the complete answer.
        digest: String,
    },
}

/// The outcome of a step.
#[derive(Debug, Default)]
pub struct EngineStep {
    /// The results for the streams, in order.
    pub events: Vec<StepEvent>,
    /// Duration of the step.
    pub duration: Duration,
}

#[derive(Debug)]
struct EngineStream {
    attempt: AttemptId,
    seed: u64,
    prefill_left: u64,
    produced: u64,
    max_tokens: u64,
    priority: u8,
    arrival: u64,
    reserved: TokenCount,
    /// Number of engines that share the prefill, this engine included.
    group_size: u64,
    digest: AnswerDigest,
    prefix: Vec<PrefixHash>,
    context: u64,
}

/// The record of one attempt, for the tests' oracle.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct EngineRun {
    pub(crate) prompt_seed: u64,
    pub(crate) ended: bool,
}

/// A model engine.
#[derive(Debug)]
pub struct EngineModel {
    config: EngineConfig,
    streams: Vec<EngineStream>,
    parts: BTreeMap<AttemptId, TokenCount>,
    arrivals: u64,
    cache: PrefixCache,
    cache_changes: Vec<CacheChange>,
    runs: BTreeMap<AttemptId, EngineRun>,
    highest_fencing: FencingNumber,
    executed_orders: Vec<String>,
}

impl EngineModel {
    /// Creates an empty engine.
    pub fn new(config: EngineConfig) -> Self {
        let cache = PrefixCache::new(config.cache_blocks);
        Self {
            config,
            streams: Vec::new(),
            parts: BTreeMap::new(),
            arrivals: 0,
            cache,
            cache_changes: Vec::new(),
            runs: BTreeMap::new(),
            highest_fencing: FencingNumber::ZERO,
            executed_orders: Vec::new(),
        }
    }

    /// Returns the configuration. Orders change the models in it.
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Returns the reserved memory of streams and parts.
    pub fn used(&self) -> TokenCount {
        let streams: TokenCount = self.streams.iter().map(|stream| stream.reserved).sum();
        streams + self.parts.values().copied().sum()
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Returns a message when the model is not loaded, the free memory is insufficient, or the
    /// attempt is already present.
    pub fn submit(&mut self, call: &AttemptCall) -> Result<(), String> {
        if !self.config.models.contains(&call.model) {
            return Err(format!("model {} is not loaded", call.model));
        }
        self.check_reservation(&call.attempt, call.reserved)?;
        let prompt_tokens = call.prompt.tokens().0;
        let prefix = prefix_hashes(&call.prompt);
        let cached = (self.cache.hits(&prefix) * PREFIX_BLOCK_TOKENS) as u64;
        let seed = answer_seed(&call.prompt);
        let mut digest = AnswerDigest::default();
        digest.update(call.resume_text.as_bytes());
        self.runs.insert(call.attempt.clone(), EngineRun { prompt_seed: seed, ended: false });
        self.arrivals += 1;
        self.streams.push(EngineStream {
            attempt: call.attempt.clone(),
            seed,
            prefill_left: prompt_tokens.saturating_sub(cached).max(1) + call.resume_from,
            produced: call.resume_from,
            max_tokens: call.max_tokens,
            priority: call.priority,
            arrival: self.arrivals,
            reserved: call.reserved,
            group_size: call.helpers.len() as u64 + 1,
            digest,
            prefix,
            context: prompt_tokens,
        });
        self.streams.sort_by_key(|s| (std::cmp::Reverse(s.priority), s.arrival));
        Ok(())
    }

    /// Reserves memory for a part of a prompt whose main engine is another engine.
    ///
    /// # Errors
    ///
    /// Returns a message when the free memory is insufficient or the attempt is already present.
    pub fn hold_part(&mut self, call: &PartCall) -> Result<(), String> {
        self.check_reservation(&call.attempt, call.reserved)?;
        self.parts.insert(call.attempt.clone(), call.reserved);
        Ok(())
    }

    fn check_reservation(&self, attempt: &AttemptId, need: TokenCount) -> Result<(), String> {
        let is_present = self.streams.iter().any(|s| s.attempt == *attempt);
        if is_present || self.parts.contains_key(attempt) {
            return Err(format!("attempt {attempt} is already present"));
        }
        let used = self.used();
        if used + need > self.config.memory {
            return Err(format!(
                "not enough memory: {need} tokens requested, {used} tokens in use"
            ));
        }
        Ok(())
    }

    /// Cancels an attempt and its part. Returns whether either was present.
    pub fn cancel(&mut self, attempt: &AttemptId) -> bool {
        let before = self.streams.len();
        self.streams.retain(|stream| stream.attempt != *attempt);
        self.parts.remove(attempt).is_some() || self.streams.len() < before
    }

    /// Returns the streams and parts that hold memory.
    pub fn held(&self) -> Vec<HeldStream> {
        let streams = self.streams.iter().map(|s| (&s.attempt, s.reserved));
        let parts = self.parts.iter().map(|(attempt, reserved)| (attempt, *reserved));
        streams
            .chain(parts)
            .map(|(attempt, reserved)| HeldStream { attempt: attempt.clone(), reserved })
            .collect()
    }

    /// Returns the prompt tokens that are accepted and not yet processed, and the number of
    /// streams.
    pub fn load(&self) -> (TokenCount, u32) {
        let backlog = self.streams.iter().map(|stream| stream.prefill_left).sum();
        (TokenCount(backlog), u32::try_from(self.streams.len()).unwrap_or(u32::MAX))
    }

    /// Returns whether the engine has no streams.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// Takes the changes of the prefix cache since the previous call.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.cache_changes)
    }

    /// Removes a stream and returns the size of its KV state.
    pub fn export(&mut self, attempt: &AttemptId) -> Option<TokenCount> {
        let position = self.streams.iter().position(|s| s.attempt == *attempt)?;
        let stream = self.streams.remove(position);
        Some(TokenCount(stream.context + stream.produced))
    }

    /// Adds a stream whose prompt another engine has processed.
    ///
    /// # Errors
    ///
    /// Returns a message as [`EngineModel::submit`] does.
    pub fn import(&mut self, call: &AttemptCall) -> Result<(), String> {
        self.submit(call)?;
        let stream = self.streams.iter_mut().find(|s| s.attempt == call.attempt);
        stream.expect("submit adds the stream").prefill_left = 0;
        Ok(())
    }

    /// Executes an order. Repeating an order changes no models.
    ///
    /// # Errors
    ///
    /// Returns a message when the engine checks fencing numbers and the order's number is below the
    /// highest seen.
    pub fn order(&mut self, order: &EndpointOrder) -> Result<(), String> {
        if self.config.fenced && order.fencing < self.highest_fencing {
            let highest = self.highest_fencing;
            return Err(format!("fencing number {} is below {highest}", order.fencing));
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        if self.executed_orders.contains(&order.order_id) {
            return Ok(());
        }
        self.executed_orders.push(order.order_id.clone());
        match &order.kind {
            OrderKind::LoadModel { model } if !self.config.models.contains(model) => {
                self.config.models.push(model.clone());
            }
            OrderKind::LoadModel { .. } => {}
            OrderKind::UnloadModel { model } => self.config.models.retain(|m| m != model),
        }
        Ok(())
    }

    /// Returns the number of attempts that started and the number that ended.
    pub fn run_counts(&self) -> (usize, usize) {
        (self.runs.len(), self.runs.values().filter(|run| run.ended).count())
    }

    /// Returns the number of attempts that started with a prompt of this seed.
    pub fn runs_of(&self, prompt_seed: u64) -> usize {
        self.runs.values().filter(|run| run.prompt_seed == prompt_seed).count()
    }

    /// Processes one batch.
    pub fn step(&mut self) -> EngineStep {
        let mut step = EngineStep::default();
        let mut budget = self.config.step_tokens;
        let mut context = 0;
        for stream in self.streams.iter_mut().filter(|stream| stream.prefill_left == 0) {
            budget = budget.saturating_sub(1);
            context += (stream.context + stream.produced) / stream.group_size;
            step.events.extend(stream.decode(self.config.counts_only));
        }
        let mut processed = 0;
        for stream in self.streams.iter_mut().filter(|stream| stream.prefill_left > 0) {
            if budget == 0 {
                break;
            }
            // The engines of a group process the prompt together, so each engine processes a part.
            let group_tokens = (budget * stream.group_size).min(stream.prefill_left);
            stream.prefill_left -= group_tokens;
            let own_tokens = group_tokens.div_ceil(stream.group_size);
            budget -= own_tokens.min(budget);
            processed += own_tokens;
            if stream.prefill_left == 0 {
                self.cache_changes.extend(self.cache.store(&stream.prefix));
            }
        }
        self.finish_streams(&mut step);
        step.duration = self.step_duration(processed, context);
        step
    }

    fn finish_streams(&mut self, step: &mut EngineStep) {
        let done = |stream: &mut EngineStream| {
            stream.prefill_left == 0 && stream.produced >= stream.max_tokens
        };
        for stream in self.streams.extract_if(.., done) {
            if let Some(run) = self.runs.get_mut(&stream.attempt) {
                run.ended = true;
            }
            step.events.push(StepEvent::Ended {
                attempt: stream.attempt,
                tokens: stream.produced,
                digest: stream.digest.finish(),
            });
        }
    }

    fn step_duration(&self, processed: u64, context: u64) -> Duration {
        let prefill = processed * 1_000_000_000 / self.config.prefill_rate.0.max(1);
        let attention = context * self.config.attention_nanos_per_k / 1_000;
        self.config.step_base + Duration::from_nanos(prefill + attention)
    }
}

impl EngineStream {
    fn decode(&mut self, counts_only: bool) -> Option<StepEvent> {
        if self.produced >= self.max_tokens {
            return None;
        }
        let index = self.produced;
        if counts_only {
            self.produced += 1;
            let text = String::new();
            // The experiments read only the time of the first token.
            return (index == 0).then(|| StepEvent::Token {
                attempt: self.attempt.clone(),
                index,
                text,
            });
        }
        let text = answer_token(self.seed, index);
        self.digest.update(text.as_bytes());
        self.produced += 1;
        Some(StepEvent::Token { attempt: self.attempt.clone(), index, text })
    }
}
