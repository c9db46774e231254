//! A model engine as a state machine.
//!
//! Each step processes one batch: every stream that decodes yields a token, and what is left of
//! the batch's token budget goes to prefills, those with the higher priority first. The step
//! takes as long as the cost model says; the caller waits that long before the next one.

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

/// The cost model and the limits of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The models loaded at the start.
    pub models: Vec<ModelId>,
    /// Memory for KV cache.
    pub memory: TokenCount,
    /// Prompt tokens processed a second.
    pub prefill_rate: TokenRate,
    /// The time of a step with nothing in it.
    pub step_base: Duration,
    /// Nanoseconds that a step takes longer for each thousand tokens of KV cache it reads.
    pub attention_nanos_per_k: u64,
    /// Tokens that one step processes at most.
    pub step_tokens: u64,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Whether tokens are only counted, without text or digest, for long runs in manual time.
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

/// What a step did for one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepEvent {
    /// It produced a token.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// The token's position.
        index: u64,
        /// The token.
        text: String,
    },
    /// It came to its end and holds nothing any more.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of the whole answer.
        tokens: u64,
        /// SHA-256 of the whole answer.
        digest: String,
    },
}

/// The outcome of a step.
#[derive(Debug, Default)]
pub struct EngineStep {
    /// What happened, in order.
    pub events: Vec<StepEvent>,
    /// How long the step takes.
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
    /// Engines that share the prefill, this one included.
    group: u64,
    digest: AnswerDigest,
    prefix: Vec<PrefixHash>,
    context: u64,
}

/// What an engine did with one attempt, for the oracle.
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
    orders_done: Vec<String>,
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
            orders_done: Vec::new(),
        }
    }

    /// Returns the configuration; the models in it follow the orders.
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Returns the memory in use.
    pub fn used(&self) -> TokenCount {
        let streams: TokenCount = self.streams.iter().map(|stream| stream.reserved).sum();
        streams + self.parts.values().copied().sum()
    }

    /// Takes an attempt in.
    ///
    /// # Errors
    ///
    /// Returns a message when the model is not loaded, memory is short, or the attempt is known.
    pub fn submit(&mut self, call: &AttemptCall) -> Result<(), String> {
        if !self.config.models.contains(&call.model) {
            return Err(format!("model {} is not loaded", call.model));
        }
        self.reserve(&call.attempt, call.reserved)?;
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
            group: call.helpers.len() as u64 + 1,
            digest,
            prefix,
            context: prompt_tokens,
        });
        self.streams.sort_by_key(|s| (std::cmp::Reverse(s.priority), s.arrival));
        Ok(())
    }

    /// Sets memory aside for a part of a prompt that another engine leads.
    ///
    /// # Errors
    ///
    /// Returns a message when memory is short or the attempt is known.
    pub fn hold_part(&mut self, call: &PartCall) -> Result<(), String> {
        self.reserve(&call.attempt, call.reserved)?;
        self.parts.insert(call.attempt.clone(), call.reserved);
        Ok(())
    }

    fn reserve(&self, attempt: &AttemptId, need: TokenCount) -> Result<(), String> {
        let known = self.streams.iter().any(|s| s.attempt == *attempt);
        if known || self.parts.contains_key(attempt) {
            return Err(format!("attempt {attempt} is here already"));
        }
        let used = self.used();
        if used + need > self.config.memory {
            return Err(format!("{need} tokens of memory asked, {used} of all in use"));
        }
        Ok(())
    }

    /// Drops an attempt or a part; returns whether there was one.
    pub fn cancel(&mut self, attempt: &AttemptId) -> bool {
        let before = self.streams.len();
        self.streams.retain(|stream| stream.attempt != *attempt);
        self.parts.remove(attempt).is_some() || self.streams.len() < before
    }

    /// Lists everything that holds memory.
    pub fn held(&self) -> Vec<HeldStream> {
        let streams = self.streams.iter().map(|s| (&s.attempt, s.reserved));
        let parts = self.parts.iter().map(|(attempt, reserved)| (attempt, *reserved));
        streams
            .chain(parts)
            .map(|(attempt, reserved)| HeldStream { attempt: attempt.clone(), reserved })
            .collect()
    }

    /// Returns the prompt tokens that are accepted and not processed, and the streams.
    pub fn load(&self) -> (TokenCount, u32) {
        let backlog = self.streams.iter().map(|stream| stream.prefill_left).sum();
        (TokenCount(backlog), u32::try_from(self.streams.len()).unwrap_or(u32::MAX))
    }

    /// Returns whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// Takes the changes of the prefix cache since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.cache_changes)
    }

    /// Takes a stream's state out of the engine.
    pub fn export(&mut self, attempt: &AttemptId) -> Option<TokenCount> {
        let position = self.streams.iter().position(|s| s.attempt == *attempt)?;
        let stream = self.streams.remove(position);
        Some(TokenCount(stream.context + stream.produced))
    }

    /// Takes in a stream whose prompt another engine has processed.
    ///
    /// # Errors
    ///
    /// Returns a message as [`EngineModel::submit`] does.
    pub fn import(&mut self, call: &AttemptCall) -> Result<(), String> {
        self.submit(call)?;
        let stream = self.streams.iter_mut().find(|s| s.attempt == call.attempt);
        stream.expect("submitted above").prefill_left = 0;
        Ok(())
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// Returns a message when the engine checks fencing numbers and this one is old.
    pub fn order(&mut self, order: &EndpointOrder) -> Result<(), String> {
        if self.config.fenced && order.fencing < self.highest_fencing {
            let highest = self.highest_fencing;
            return Err(format!("fencing number {} is below {highest}", order.fencing));
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        if self.orders_done.contains(&order.order_id) {
            return Ok(());
        }
        self.orders_done.push(order.order_id.clone());
        match &order.kind {
            OrderKind::LoadModel { model } if !self.config.models.contains(model) => {
                self.config.models.push(model.clone());
            }
            OrderKind::LoadModel { .. } => {}
            OrderKind::UnloadModel { model } => self.config.models.retain(|m| m != model),
        }
        Ok(())
    }

    /// Returns how many attempts began here, and how many of them came to their end.
    pub fn run_counts(&self) -> (usize, usize) {
        (self.runs.len(), self.runs.values().filter(|run| run.ended).count())
    }

    /// Returns how many attempts with a prompt of this seed began here.
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
            context += (stream.context + stream.produced) / stream.group;
            step.events.extend(stream.decode(self.config.counts_only));
        }
        let mut processed = 0;
        for stream in self.streams.iter_mut().filter(|stream| stream.prefill_left > 0) {
            if budget == 0 {
                break;
            }
            // A group processes the prompt together, so each engine sees a part of it.
            let share = (budget * stream.group).min(stream.prefill_left);
            stream.prefill_left -= share;
            let own = share.div_ceil(stream.group);
            budget -= own.min(budget);
            processed += own;
            if stream.prefill_left == 0 {
                self.cache_changes.extend(self.cache.store(&stream.prefix));
            }
        }
        self.finish_streams(&mut step);
        step.duration = self.step_time(processed, context);
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

    fn step_time(&self, processed: u64, context: u64) -> Duration {
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
            // Only the first token is of interest.
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
