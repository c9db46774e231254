//! Builds engines with the profile that the users' platform publishes, and prompts for them.

use std::sync::Arc;
use std::time::Duration;

use oriolepass_placement::{EngineFacts, EngineFleet, PromptAsk, PromptKey};
use oriolepass_routing::EngineProfile;
use oriolepass_units::EndpointStart;

/// Returns the profile of an engine with the given numbers of slots and of steps per pass.
pub fn profile(slots: u32, steps_per_pass: u32) -> Arc<EngineProfile> {
    Arc::new(EngineProfile {
        slots,
        memory_tokens: 450_000,
        step_ms: 0.925,
        step_ms_per_decoding_request: 0.004_83,
        step_ms_per_context_k: 0.002_54,
        prefill_tokens_per_s: 256_000.0,
        prefill_ms_per_million_pairs: 0.0917,
        prefill_tokens_per_step: 2_048,
        steps_per_pass,
        report_lag_ms: 200.0,
        group_step_ms: 0.1,
    })
}

pub fn endpoint(number: usize) -> EndpointStart {
    format!("e{number}").parse().unwrap()
}

/// Returns a fleet whose engines belong to one service and accept work.
pub fn fleet(engines: usize, profile: &Arc<EngineProfile>) -> EngineFleet {
    let facts = |number| EngineFacts {
        endpoint: endpoint(number),
        service: "engines".parse().unwrap(),
        takes_work: true,
        max_prompts_per_s: None,
        limit: None,
        profile: Arc::clone(profile),
    };
    let mut fleet = EngineFleet::default();
    fleet.update((0..engines).map(facts).collect());
    fleet
}

/// Returns a prompt that has just arrived and does not wait for engines. `pause_ms` is the longest
/// pause between its events that is on time.
pub fn prompt(key: PromptKey, prompt_tokens: u64, objective_ms: u64, pause_ms: u64) -> PromptAsk {
    let objective = Duration::from_millis(objective_ms);
    PromptAsk {
        key,
        service: "engines".parse().unwrap(),
        prompt_tokens,
        answer_tokens: 1_600,
        max_answer_tokens: 3_200,
        objective,
        whole_objective: objective,
        pause: Duration::from_millis(pause_ms),
        deadline: Duration::from_secs(10),
        patience: Duration::ZERO,
        avoid: Vec::new(),
        resting: Vec::new(),
        is_suspect: false,
        waiter: None,
        appointment: None,
        second: None,
    }
}
