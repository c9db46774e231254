//! Simulates an engine that works in passes, from its published profile, in logical time.
//!
//! During a pass, answers in progress advance by a fixed number of steps, and prompts are read in
//! pieces between those steps. Without answers, a pass has one step. A prompt that several engines
//! read is divided into equal parts, each with its share of the whole prompt's token pairs. Its
//! first event follows the last part.
//!
//! The home predicts with this model, and the experiment simulates whole days on it. Its validation
//! is described in `docs/measurements/engine-model.md`.

use std::collections::VecDeque;
use std::sync::Arc;

use oriolepass_routing::EngineProfile;

use crate::plan::PromptKey;

/// A prompt, or a part of a prompt, to be read.
#[derive(Debug, Clone, PartialEq)]
pub struct PassPrompt {
    /// The prompt.
    pub key: PromptKey,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Number of engines that read the prompt, this one included.
    pub parts: u32,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Priority in the queue; 0 is first.
    pub priority: u8,
    /// Tokens of the prompt whose memory is reserved at helpers.
    pub tokens_at_helpers: u64,
}

impl PassPrompt {
    /// Returns the memory that the prompt needs on its main engine, in tokens.
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.tokens_at_helpers) + self.answer_tokens
    }
}

#[derive(Debug, Clone)]
struct PassReading {
    key: PromptKey,
    left_tokens: f64,
    ms_per_token: f64,
}

#[derive(Debug, Clone)]
struct PassAnswer {
    prompt: PassPrompt,
    is_writing: bool,
    left_tokens: f64,
}

/// An event at the end of a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassEvent {
    /// A part of a prompt has been read.
    PartRead(PromptKey),
    /// An event of an answer.
    Event(PromptKey),
    /// The answer has ended. The event before it was the last one of the answer.
    Ended(PromptKey),
}

/// What ends an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The number of its tokens, as on a real engine.
    ByCount,
    /// Its cancellation: the length is only an estimate, and the real end is reported from outside.
    #[default]
    ByCancel,
}

/// An engine in logical time.
#[derive(Debug)]
pub struct EnginePasses {
    profile: Arc<EngineProfile>,
    answer_end: AnswerEnd,
    queue: VecDeque<PassPrompt>,
    reading: Vec<PassReading>,
    answers: Vec<PassAnswer>,
    /// Memory reserved for prompts that other engines write, in tokens.
    reserved: Vec<(PromptKey, u64)>,
    pass_end_ms: Option<f64>,
    pass_begin_ms: f64,
    /// Duration of a pass relative to the published one.
    slowdown: f64,
    /// Published duration of the passes before the present one, in milliseconds.
    ended_work_ms: f64,
    /// End and duration of the last long pass, in milliseconds. The end may be in the future.
    long_pass: (f64, f64),
    end_events: Vec<PassEvent>,
}

/// Duration from which a pass is recorded as long, because it may explain a silence.
const MIN_LONG_PASS_MS: f64 = 300.0;

/// Tolerance for the end of a long pass: a fixed time plus a share of its duration.
const LONG_PASS_SLACK_MS: f64 = 300.0;
const LONG_PASS_SLACK_RATIO: f64 = 0.3;

/// Maximum number of prompts that wait on an engine besides the running ones. Further prompts are
/// rejected.
const MAX_QUEUED_PROMPTS: usize = 32;

impl PassReading {
    fn whole_ms(&self) -> f64 {
        self.left_tokens * self.ms_per_token
    }
}

impl EnginePasses {
    /// Creates an idle engine.
    pub fn new(profile: Arc<EngineProfile>, answer_end: AnswerEnd) -> Self {
        Self {
            profile,
            answer_end,
            queue: VecDeque::new(),
            reading: Vec::new(),
            answers: Vec::new(),
            reserved: Vec::new(),
            pass_end_ms: None,
            pass_begin_ms: 0.0,
            slowdown: 1.0,
            ended_work_ms: 0.0,
            long_pass: (f64::MIN, 0.0),
            end_events: Vec::new(),
        }
    }

    /// Returns the end of the present pass, in milliseconds, or `None` while the engine is idle.
    pub fn next_end(&self) -> Option<f64> {
        self.pass_end_ms
    }

    /// Returns the duration of a pass relative to the published one.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Sets the duration of a pass relative to the published one. The rest of the present pass
    /// lasts accordingly longer or shorter.
    pub fn set_slowdown(&mut self, now_ms: f64, slowdown: f64) {
        if let Some(end_ms) = self.pass_end_ms {
            let work_ms = self.work_ms(now_ms);
            let new_end_ms = now_ms + self.residual_ms(now_ms) * slowdown / self.slowdown;
            let pass_ms = new_end_ms - self.pass_begin_ms;
            if self.long_pass.0 == end_ms || pass_ms >= MIN_LONG_PASS_MS {
                self.long_pass = (new_end_ms, pass_ms);
            }
            self.pass_end_ms = Some(new_end_ms);
            self.ended_work_ms = work_ms - (now_ms - self.pass_begin_ms) / slowdown;
        }
        self.slowdown = slowdown;
    }

    /// Returns the published duration of all passes up to now, in milliseconds. The present pass
    /// counts as far as it has progressed.
    pub fn work_ms(&self, now_ms: f64) -> f64 {
        let in_pass = |end_ms: f64| (now_ms.min(end_ms) - self.pass_begin_ms) / self.slowdown;
        self.ended_work_ms + self.pass_end_ms.map_or(0.0, in_pass)
    }

    /// Returns the number of prompts that run or wait on this engine, without parts read as a
    /// helper.
    pub fn load(&self) -> usize {
        self.answers.len() + self.queue.len()
    }

    /// Returns the remaining time of the present pass, in milliseconds.
    pub fn residual_ms(&self, now_ms: f64) -> f64 {
        self.pass_end_ms.map_or(0.0, |end| (end - now_ms).max(0.0))
    }

    /// Returns the time to read everything that is not in the present pass, in milliseconds.
    pub fn unread_ms(&self) -> f64 {
        let begun: f64 = self.reading.iter().map(|r| r.left_tokens * r.ms_per_token).sum();
        let waiting: f64 = self.queue.iter().map(|prompt| self.part(prompt).whole_ms()).sum();
        (begun + waiting) * self.slowdown
    }

    /// Returns the prompts with an unread part on this engine, each with the time of reading until
    /// the part has been read, in milliseconds.
    pub fn unread_parts(&self) -> impl Iterator<Item = (PromptKey, f64)> {
        let waiting = self.queue.iter().map(|prompt| self.part(prompt));
        let parts = self.reading.iter().cloned().chain(waiting);
        parts.scan(0.0, |read_ms, part| {
            *read_ms += part.whole_ms() * self.slowdown;
            Some((part.key, *read_ms))
        })
    }

    /// Returns the duration of a pass without reading, once the prompts that are being read now
    /// write as well, in milliseconds. Returns 0 if there is nothing to write.
    pub fn writing_pass_ms(&self) -> f64 {
        if self.answers.is_empty() {
            return 0.0;
        }
        let steps = f64::from(self.profile.steps_per_pass);
        self.step_ms(self.answers.iter()) * steps * self.slowdown
    }

    /// Returns the duration of a pass that writes a single answer, in milliseconds.
    pub fn single_pass_ms(&self) -> f64 {
        self.profile.step_ms * f64::from(self.profile.steps_per_pass) * self.slowdown
    }

    /// Returns whether a long pass may explain that the engine has been silent for `silent_ms`.
    pub fn explains_silence(&self, now_ms: f64, silent_ms: f64) -> bool {
        let (end, length) = self.long_pass;
        let slack = LONG_PASS_SLACK_MS + length * LONG_PASS_SLACK_RATIO;
        now_ms <= end + slack && silent_ms <= length + (now_ms - end).max(0.0) + slack
    }

    /// Returns the memory in use or reserved, in tokens. Waiting prompts are included.
    pub fn held_tokens(&self) -> u64 {
        let waiting: u64 = self.queue.iter().map(PassPrompt::memory_tokens).sum();
        self.running_tokens() + waiting
    }

    fn running_tokens(&self) -> u64 {
        let running: u64 = self.answers.iter().map(|answer| answer.prompt.memory_tokens()).sum();
        running + self.reserved.iter().map(|(_, tokens)| tokens).sum::<u64>()
    }

    /// Returns the expected time until an answer frees a slot, in milliseconds; 0 if a slot is
    /// free.
    pub fn slot_free_in_ms(&self) -> f64 {
        let slots = self.profile.slots as usize;
        let load = self.load();
        if load < slots {
            return 0.0;
        }
        let steps = f64::from(self.profile.steps_per_pass);
        let mut passes: Vec<f64> =
            self.answers.iter().map(|a| (a.left_tokens / steps).ceil().max(1.0)).collect();
        passes.sort_by(f64::total_cmp);
        let at = (load - slots).min(passes.len().saturating_sub(1));
        passes.get(at).copied().unwrap_or(0.0) * self.writing_pass_ms()
    }

    /// Records that a prompt's first event has come, which means that the present pass has just
    /// ended.
    pub fn resync(&mut self, now_ms: f64, key: PromptKey) {
        if let Some(answer) = self.answers.iter_mut().find(|a| a.prompt.key == key) {
            answer.is_writing = true;
        }
        self.drop_part(key);
        if self.pass_end_ms.is_some() {
            self.pass_end_ms = Some(now_ms);
        }
        self.wake(now_ms);
    }

    /// Records that a part has been read.
    pub fn drop_part(&mut self, key: PromptKey) {
        self.reading.retain(|read| read.key != key);
    }

    /// Adds a prompt to the queue of its main engine. Returns whether there was room.
    pub fn take(&mut self, now_ms: f64, prompt: PassPrompt) -> bool {
        if self.queue.len() >= MAX_QUEUED_PROMPTS
            || prompt.memory_tokens() > self.profile.memory_tokens
        {
            return false;
        }
        let at = self.queue.iter().position(|waiting| waiting.priority > prompt.priority);
        self.queue.insert(at.unwrap_or(self.queue.len()), prompt);
        self.wake(now_ms);
        true
    }

    /// Adds a prompt whose parts have all been read and whose answer is being written.
    pub fn take_written(&mut self, now_ms: f64, prompt: PassPrompt) {
        let left_tokens = prompt.answer_tokens as f64;
        self.answers.push(PassAnswer { left_tokens, is_writing: true, prompt });
        self.wake(now_ms);
    }

    /// Reserves memory for a prompt that another engine writes.
    pub fn reserve(&mut self, key: PromptKey, reserve_tokens: u64) {
        if reserve_tokens > 0 {
            self.reserved.push((key, reserve_tokens));
        }
    }

    /// Adds a part of a prompt that this engine reads as a helper.
    pub fn read_part(&mut self, now_ms: f64, prompt: &PassPrompt) {
        // An engine reads a helper's part before everything else, earlier parts included.
        self.reading.insert(0, self.part(prompt));
        self.wake(now_ms);
    }

    /// Starts writing an answer after the last part of its prompt has been read.
    pub fn all_read(&mut self, now_ms: f64, key: PromptKey) {
        if let Some(answer) = self.answers.iter_mut().find(|a| a.prompt.key == key) {
            answer.is_writing = true;
        }
        self.wake(now_ms);
    }

    /// Removes a prompt whose caller has left.
    pub fn cancel(&mut self, key: PromptKey) {
        self.queue.retain(|prompt| prompt.key != key);
        self.reading.retain(|read| read.key != key);
        self.answers.retain(|answer| answer.prompt.key != key);
        self.reserved.retain(|(owner, _)| *owner != key);
    }

    /// Ends the present pass and returns its events.
    pub fn end_pass(&mut self) -> Vec<PassEvent> {
        if let Some(end_ms) = self.pass_end_ms {
            self.ended_work_ms = self.work_ms(end_ms);
            self.pass_end_ms = None;
        }
        let events = std::mem::take(&mut self.end_events);
        let present = |key: &PromptKey| self.answers.iter().any(|a| a.prompt.key == *key);
        // An answer that was removed during the pass has no further events.
        let is_due = |event: &PassEvent| match event {
            PassEvent::Event(key) | PassEvent::Ended(key) => present(key),
            PassEvent::PartRead(_) => true,
        };
        let events = events.into_iter().filter(is_due).collect();
        if self.answer_end == AnswerEnd::ByCount {
            self.answers.retain(|answer| !answer.is_writing || answer.left_tokens > 0.0);
        }
        events
    }

    /// Starts a pass if none is in progress and there is work. Must be called after the events of
    /// the last pass have been handled.
    pub fn wake(&mut self, now_ms: f64) {
        if self.pass_end_ms.is_none() {
            self.admit();
            self.start_pass(now_ms);
        }
    }

    fn admit(&mut self) {
        while self.answers.len() < self.profile.slots as usize {
            let held = self.running_tokens();
            let fits =
                |prompt: &PassPrompt| held + prompt.memory_tokens() <= self.profile.memory_tokens;
            if !self.queue.front().is_some_and(fits) {
                return;
            }
            let Some(prompt) = self.queue.pop_front() else { return };
            self.reading.push(self.part(&prompt));
            self.answers.push(PassAnswer {
                left_tokens: prompt.answer_tokens as f64,
                is_writing: false,
                prompt,
            });
        }
    }

    fn part(&self, prompt: &PassPrompt) -> PassReading {
        let parts = f64::from(prompt.parts.max(1));
        let whole = prompt.prompt_tokens as f64;
        let tokens = (whole / parts).max(1.0);
        let pairs_m = whole * whole / 2.0 / 1e6 / parts;
        let ms = tokens / self.profile.prefill_tokens_per_s * 1_000.0
            + pairs_m * self.profile.prefill_ms_per_million_pairs;
        PassReading { key: prompt.key, left_tokens: tokens, ms_per_token: ms / tokens }
    }

    fn start_pass(&mut self, now_ms: f64) {
        let writers: Vec<&PassAnswer> = self.answers.iter().filter(|a| a.is_writing).collect();
        if writers.is_empty() && self.reading.is_empty() {
            return;
        }
        let step = self.step_ms(writers.iter().copied());
        let steps = if writers.is_empty() { 1 } else { self.profile.steps_per_pass };
        let read_ms = self.read((self.profile.prefill_tokens_per_step * u64::from(steps)) as f64);
        for answer in self.answers.iter_mut().filter(|answer| answer.is_writing) {
            let had_left = answer.left_tokens > 0.0;
            answer.left_tokens -= f64::from(steps);
            self.end_events.push(PassEvent::Event(answer.prompt.key));
            if had_left && answer.left_tokens <= 0.0 {
                self.end_events.push(PassEvent::Ended(answer.prompt.key));
            }
        }
        let pass_ms = (step * f64::from(steps) + read_ms) * self.slowdown;
        self.pass_begin_ms = now_ms;
        self.pass_end_ms = Some(now_ms + pass_ms);
        if pass_ms >= MIN_LONG_PASS_MS {
            self.long_pass = (now_ms + pass_ms, pass_ms);
        }
    }

    fn step_ms<'a>(&self, writers: impl Iterator<Item = &'a PassAnswer>) -> f64 {
        let mut step = self.profile.step_ms;
        let mut joint = false;
        for answer in writers {
            step += self.profile.step_ms_per_decoding_request
                + self.profile.step_ms_per_context_k * answer.prompt.prompt_tokens as f64 / 1_000.0;
            joint |= answer.prompt.parts > 1;
        }
        step + if joint { self.profile.group_step_ms } else { 0.0 }
    }

    /// Reads up to `tokens` tokens and returns the time that this takes, in milliseconds.
    fn read(&mut self, mut tokens: f64) -> f64 {
        let mut took_ms = 0.0;
        for read in &mut self.reading {
            let now = read.left_tokens.min(tokens);
            read.left_tokens -= now;
            tokens -= now;
            took_ms += now * read.ms_per_token;
            if read.left_tokens <= 0.0 {
                self.end_events.push(PassEvent::PartRead(read.key));
            }
        }
        self.reading.retain(|read| read.left_tokens > 0.0);
        took_ms
    }
}
