//! Simulates several engines in logical time, with prompts that are read in parts by several of
//! them. The answer of such a prompt is written once its last part has been read.

use std::collections::BTreeMap;
use std::sync::Arc;

use oriolepass_routing::EngineProfile;
use oriolepass_units::EndpointStart;

use crate::passes::{AnswerEnd, EnginePasses, PassEvent, PassPrompt};
use crate::plan::{HelperPart, PromptKey};

/// An event of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FarmEvent {
    /// Time of the event, in milliseconds.
    pub at_ms: f64,
    /// The prompt.
    pub key: PromptKey,
    /// Whether it was the last event of the answer.
    pub is_last: bool,
    /// Published duration of all passes of the main engine up to the event, in milliseconds.
    pub work_ms: f64,
}

#[derive(Debug, Clone)]
struct OpenPrompt {
    /// The engines of the group, the main engine first.
    engines: Vec<EndpointStart>,
    unread_parts: usize,
}

/// Several engines in logical time.
#[derive(Debug, Default)]
pub struct EngineFarm {
    answer_end: AnswerEnd,
    engines: BTreeMap<EndpointStart, EnginePasses>,
    open: BTreeMap<PromptKey, OpenPrompt>,
}

impl EngineFarm {
    /// Creates a farm without engines.
    pub fn new(answer_end: AnswerEnd) -> Self {
        Self { answer_end, ..Self::default() }
    }

    /// Adds an idle engine unless the farm has it already.
    pub fn add(&mut self, endpoint: &EndpointStart, profile: &Arc<EngineProfile>) {
        if !self.engines.contains_key(endpoint) {
            self.engines
                .insert(endpoint.clone(), EnginePasses::new(Arc::clone(profile), self.answer_end));
        }
    }

    /// Removes the engines for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointStart) -> bool) {
        self.engines.retain(|endpoint, _| is_kept(endpoint));
    }

    /// Returns an engine.
    pub fn engine(&self, endpoint: &EndpointStart) -> Option<&EnginePasses> {
        self.engines.get(endpoint)
    }

    /// Sets the duration of an engine's passes relative to the published one.
    pub fn set_slowdown(&mut self, now_ms: f64, endpoint: &EndpointStart, slowdown: f64) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.set_slowdown(now_ms, slowdown);
        }
    }

    /// Returns the engines of a prompt, the main engine first.
    pub fn engines_of(&self, key: PromptKey) -> &[EndpointStart] {
        self.open.get(&key).map_or(&[], |open| &open.engines)
    }

    /// Returns the keys of the open prompts.
    pub fn open_keys(&self) -> impl Iterator<Item = PromptKey> {
        self.open.keys().copied()
    }

    /// Places a prompt on its engines. Returns whether the main engine had room.
    pub fn take(
        &mut self,
        now_ms: f64,
        main: &EndpointStart,
        helpers: &[HelperPart],
        prompt: &PassPrompt,
    ) -> bool {
        let Some(engine) = self.engines.get_mut(main) else { return false };
        if !engine.take(now_ms, prompt.clone()) {
            return false;
        }
        let mut engines = vec![main.clone()];
        for helper in helpers {
            if let Some(engine) = self.engines.get_mut(&helper.endpoint) {
                engine.reserve(prompt.key, helper.reserve_tokens.unwrap_or(0));
                engine.read_part(now_ms, prompt);
                engines.push(helper.endpoint.clone());
            }
        }
        let open = OpenPrompt { unread_parts: engines.len(), engines };
        self.open.insert(prompt.key, open);
        true
    }

    /// Adds a prompt whose answer is already being written.
    pub fn take_written(
        &mut self,
        now_ms: f64,
        main: &EndpointStart,
        helpers: &[HelperPart],
        prompt: &PassPrompt,
    ) {
        let Some(engine) = self.engines.get_mut(main) else { return };
        engine.take_written(now_ms, prompt.clone());
        for helper in helpers {
            if let Some(engine) = self.engines.get_mut(&helper.endpoint) {
                engine.reserve(prompt.key, helper.reserve_tokens.unwrap_or(0));
            }
        }
        let helpers = helpers.iter().map(|helper| helper.endpoint.clone());
        let engines = std::iter::once(main.clone()).chain(helpers).collect();
        self.open.insert(prompt.key, OpenPrompt { engines, unread_parts: 0 });
    }

    /// Removes a prompt, regardless of how it ended.
    pub fn remove(&mut self, key: PromptKey) {
        for endpoint in self.open.remove(&key).map(|open| open.engines).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.cancel(key);
            }
        }
    }

    /// Records that a prompt's first event has come.
    pub fn first_event(&mut self, now_ms: f64, key: PromptKey) {
        let Some(open) = self.open.get_mut(&key) else { return };
        if std::mem::take(&mut open.unread_parts) == 0 {
            return;
        }
        let engines = open.engines.clone();
        for (at, endpoint) in engines.iter().enumerate() {
            let Some(engine) = self.engines.get_mut(endpoint) else { continue };
            if at == 0 {
                engine.resync(now_ms, key);
            } else {
                engine.drop_part(key);
            }
        }
    }

    /// Returns the time until the last part has been read, in milliseconds, for each prompt that
    /// waits for its first event.
    pub fn first_events(&self, now_ms: f64) -> BTreeMap<PromptKey, f64> {
        let mut firsts: BTreeMap<PromptKey, f64> = BTreeMap::new();
        for engine in self.engines.values() {
            for (key, read_ms) in engine.unread_parts() {
                let last = firsts.entry(key).or_default();
                *last = last.max(engine.residual_ms(now_ms) + read_ms);
            }
        }
        firsts
    }

    /// Returns the time at which the next pass ends, in milliseconds.
    pub fn next_end(&self) -> Option<f64> {
        let ends = self.engines.values().filter_map(EnginePasses::next_end);
        ends.min_by(f64::total_cmp)
    }

    /// Advances the engines to `now_ms` and returns their events in order.
    pub fn advance(&mut self, now_ms: f64) -> Vec<FarmEvent> {
        let mut events = Vec::new();
        loop {
            let ends = self.engines.iter().filter_map(|(e, engine)| Some((engine.next_end()?, e)));
            let next = ends.min_by(|left, right| left.0.total_cmp(&right.0));
            let Some((at_ms, endpoint)) = next.filter(|(at_ms, _)| *at_ms <= now_ms) else {
                return events;
            };
            let endpoint = endpoint.clone();
            self.end_pass(at_ms, &endpoint, &mut events);
        }
    }

    fn end_pass(&mut self, at_ms: f64, endpoint: &EndpointStart, events: &mut Vec<FarmEvent>) {
        let Some(engine) = self.engines.get_mut(endpoint) else { return };
        let pass_events = engine.end_pass();
        let work_ms = engine.work_ms(at_ms);
        let event = |key, is_last| FarmEvent { at_ms, key, is_last, work_ms };
        for pass_event in pass_events {
            match pass_event {
                PassEvent::Event(key) => events.push(event(key, false)),
                PassEvent::Ended(key) => events.push(event(key, true)),
                PassEvent::PartRead(key) => self.part_read(at_ms, key, events),
            }
        }
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.wake(at_ms);
        }
    }

    fn part_read(&mut self, at_ms: f64, key: PromptKey, events: &mut Vec<FarmEvent>) {
        let Some(open) = self.open.get_mut(&key) else { return };
        if open.unread_parts == 0 {
            return;
        }
        open.unread_parts -= 1;
        if open.unread_parts > 0 {
            return;
        }
        // The first event comes at the end of the pass in which the last part has been read.
        if let Some(main) = open.engines.first().and_then(|main| self.engines.get_mut(main)) {
            events.push(FarmEvent { at_ms, key, is_last: false, work_ms: main.work_ms(at_ms) });
            main.all_read(at_ms, key);
        }
    }
}
