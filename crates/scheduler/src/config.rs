//! Parameters of the policy.

use std::time::Duration;

use oriolepass_units::TokenCount;
use serde::{Deserialize, Serialize};

/// How prompts are told apart by length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LengthClass {
    /// Below 4 k tokens.
    Short,
    /// Up to 32 k tokens.
    Medium,
    /// Up to 128 k tokens.
    Long,
    /// Longer.
    Huge,
}

impl LengthClass {
    /// All classes, the shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// Returns the class of a prompt.
    pub fn of(prompt: TokenCount) -> Self {
        match prompt.0 {
            0..4_000 => Self::Short,
            4_000..=32_000 => Self::Medium,
            32_001..=128_000 => Self::Long,
            _ => Self::Huge,
        }
    }

    /// Returns the priority on an engine: the shorter, the higher.
    pub fn priority(self) -> u8 {
        match self {
            Self::Short => 3,
            Self::Medium => 2,
            Self::Long => 1,
            Self::Huge => 0,
        }
    }

    /// Returns the name used in metrics and tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        }
    }
}

/// Parameters of the home's decisions.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// How long a grant lasts without renewal.
    pub grant_lease: Duration,
    /// Without a heartbeat before an endpoint gets no new work.
    pub endpoint_suspect: Duration,
    /// Without a heartbeat before an endpoint is forgotten.
    pub endpoint_gone: Duration,
    /// Between looks at what each endpoint holds.
    pub inspect_every: Duration,
    /// How long something may be held without explanation before it is cancelled.
    pub unexplained_grace: Duration,
    /// The part of each engine's memory that only short prompts may use, in percent.
    pub short_guard_percent: u64,
    /// How busy with short prompts the engines kept clear of longer ones should be, in percent.
    pub clear_load_percent: u64,
    /// Work of longer prompts that waits on the other engines before engines kept clear are
    /// used as well.
    pub spill_after: Duration,
    /// The cost of a token of answer, in tokens of prompt.
    pub answer_weight: u64,
    /// How long a prompt that does not fit waits before engines are reserved for it.
    pub reserve_after: Duration,
    /// The longest queue of one account, in tokens of work, for each unit of its share.
    pub queue_tokens_per_share: u64,
    /// The longest queue of the home, in seconds of work of the engines that serve the model.
    pub queue_seconds: u64,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            grant_lease: Duration::from_secs(4),
            endpoint_suspect: Duration::from_millis(1_500),
            endpoint_gone: Duration::from_secs(5),
            inspect_every: Duration::from_secs(2),
            unexplained_grace: Duration::from_secs(1),
            short_guard_percent: 20,
            clear_load_percent: 35,
            spill_after: Duration::from_secs(10),
            answer_weight: 8,
            reserve_after: Duration::from_millis(500),
            queue_tokens_per_share: 20_000_000,
            queue_seconds: 60,
        }
    }
}
