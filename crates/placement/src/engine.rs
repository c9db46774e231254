//! One engine: what it still reads, what it writes, and how fast that goes.

use std::sync::Arc;
use std::time::Duration;

use oriolepass_routing::EngineProfile;
use oriolepass_units::{EndpointId, MonotonicTime, ServiceName};

use crate::cost::writing_pass_ms;
use crate::plan::PromptKey;

/// What is known of an engine from its own announcements.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFacts {
    /// The engine.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Whether it may get new work.
    pub takes_work: bool,
    /// How it works.
    pub profile: Arc<EngineProfile>,
}

/// How much later than predicted the first event may come before the prompt's reading counts
/// as done anyway: a helper's part ends without word, so its end is taken from the prediction.
const READ_SLACK_MS: f64 = 60.0;

/// A prompt, or a part of one, that an engine still reads.
#[derive(Debug, Clone)]
pub(crate) struct ReadingPart {
    pub(crate) key: PromptKey,
    pub(crate) left_ms: f64,
    pub(crate) is_helper: bool,
    /// When the prompt's first event is late, and what that loses.
    pub(crate) due: MonotonicTime,
    pub(crate) value: f64,
}

/// An answer that an engine writes, or will write once its prompt is read.
#[derive(Debug, Clone)]
pub(crate) struct WritingAnswer {
    pub(crate) key: PromptKey,
    pub(crate) context_tokens: u64,
    /// Memory that it holds here.
    pub(crate) memory_tokens: u64,
    pub(crate) pause_ms: f64,
    pub(crate) value: f64,
    /// Whether its first event has come.
    pub(crate) has_begun: bool,
    /// Whether a pause has been too long already, so that another one loses nothing more.
    pub(crate) is_spoiled: bool,
    pub(crate) left_tokens: f64,
}

#[derive(Debug, Clone)]
pub(crate) struct EngineState {
    pub(crate) facts: EngineFacts,
    pub(crate) reads: Vec<ReadingPart>,
    pub(crate) answers: Vec<WritingAnswer>,
    /// No new work before this moment, after a failure.
    pub(crate) shunned_until: MonotonicTime,
    pub(crate) failures: u32,
    advanced: MonotonicTime,
}

impl EngineState {
    pub(crate) fn new(facts: EngineFacts, now: MonotonicTime) -> Self {
        Self {
            facts,
            reads: Vec::new(),
            answers: Vec::new(),
            shunned_until: MonotonicTime::ZERO,
            failures: 0,
            advanced: now,
        }
    }

    pub(crate) fn takes_work(&self, now: MonotonicTime) -> bool {
        self.facts.takes_work && now >= self.shunned_until
    }

    /// Lets the engine work until `now`.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        let mut span_ms = millis(now.since(self.advanced));
        self.advanced = now;
        let pass_ms = self.pass_ms();
        for answer in self.answers.iter_mut().filter(|answer| answer.has_begun) {
            let steps = f64::from(self.facts.profile.steps_per_pass);
            answer.left_tokens -= span_ms / pass_ms.max(1.0) * steps;
        }
        for read in &mut self.reads {
            let done = read.left_ms.min(span_ms);
            read.left_ms -= done;
            span_ms -= done;
        }
        self.reads.retain(|read| read.left_ms > 0.0 || !read.is_helper);
    }

    /// Returns how long the reading ahead takes, in milliseconds.
    pub(crate) fn backlog_ms(&self) -> f64 {
        self.reads.iter().map(|read| read.left_ms).sum()
    }

    /// Returns how long a pass takes now in which nothing is read.
    pub(crate) fn idle_pass_ms(&self) -> f64 {
        let writing = self.answers.iter().filter(|answer| answer.has_begun);
        let (count, context) =
            writing.fold((0, 0), |(count, sum), answer| (count + 1, sum + answer.context_tokens));
        writing_pass_ms(&self.facts.profile, count, context)
    }

    /// Returns how long a pass takes now, with what is being read.
    pub(crate) fn pass_ms(&self) -> f64 {
        self.idle_pass_ms() + self.backlog_ms()
    }

    /// Returns the memory that is spoken for, in tokens.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.answers.iter().map(|answer| answer.memory_tokens).sum()
    }

    /// Returns how long until a place is free, in milliseconds.
    pub(crate) fn slot_wait_ms(&self) -> f64 {
        let slots = self.facts.profile.slots as usize;
        if self.answers.len() < slots {
            return 0.0;
        }
        let mut lefts: Vec<f64> = self.answers.iter().map(|answer| self.left_ms(answer)).collect();
        lefts.sort_by(f64::total_cmp);
        lefts[self.answers.len() - slots]
    }

    fn left_ms(&self, answer: &WritingAnswer) -> f64 {
        let steps = f64::from(self.facts.profile.steps_per_pass);
        let reading = if answer.has_begun { 0.0 } else { self.backlog_ms() };
        reading + (answer.left_tokens / steps).max(1.0) * self.idle_pass_ms()
    }

    pub(crate) fn forget(&mut self, key: PromptKey) {
        self.reads.retain(|read| read.key != key);
        self.answers.retain(|answer| answer.key != key);
    }

    /// Notes a first event: the prompt has been read, here and on its helpers.
    pub(crate) fn first_event(&mut self, key: PromptKey) {
        self.reads.retain(|read| read.key != key);
        if let Some(answer) = self.answers.iter_mut().find(|answer| answer.key == key) {
            answer.has_begun = true;
        }
    }

    /// Forgets reading that should have ended long ago: its first event is on its way.
    pub(crate) fn drop_overdue(&mut self, now: MonotonicTime) {
        let slack = Duration::from_micros((READ_SLACK_MS * 1_000.0) as u64);
        self.reads.retain(|read| read.left_ms > 0.0 || now < read.due + slack);
    }
}

pub(crate) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
