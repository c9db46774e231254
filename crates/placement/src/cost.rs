//! What reading and writing cost on an engine.

use oriolepass_routing::EngineProfile;

/// The cost of reading a prompt, in milliseconds of an engine that does nothing else.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadCost {
    /// The whole prompt on one engine.
    pub whole_ms: f64,
}

impl ReadCost {
    /// Computes the cost of a prompt.
    pub fn new(profile: &EngineProfile, prompt_tokens: u64) -> Self {
        let tokens = prompt_tokens as f64;
        let linear = tokens / profile.read_tokens_per_s * 1_000.0;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        Self { whole_ms: linear + pairs_m * profile.read_ms_per_million_pairs }
    }

    /// Returns the cost of one of `parts` even parts, each with its share of the pairs.
    pub fn part_ms(self, parts: usize) -> f64 {
        self.whole_ms / parts as f64
    }
}

/// Returns how long a pass takes in which `writers` requests with `context_tokens` between them
/// write and nothing is read, in milliseconds.
pub(crate) fn writing_pass_ms(profile: &EngineProfile, writers: usize, context_tokens: u64) -> f64 {
    let step = profile.step_ms
        + profile.step_ms_per_writer * writers as f64
        + profile.step_ms_per_context_k * context_tokens as f64 / 1_000.0;
    step * f64::from(profile.steps_per_pass)
}

/// Returns the most milliseconds of reading that fit into one pass with writers, for reading
/// that takes `ms_per_token`.
pub(crate) fn reading_per_pass_ms(profile: &EngineProfile, ms_per_token: f64) -> f64 {
    let tokens = profile.read_tokens_per_step as f64 * f64::from(profile.steps_per_pass);
    tokens * ms_per_token
}
