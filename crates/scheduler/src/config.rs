//! Parameters of the scheduling policy.

use std::time::Duration;

use oriolepass_units::TokenCount;
use serde::{Deserialize, Serialize};

/// Length class of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LengthClass {
    /// Below 4 k tokens.
    Short,
    /// Up to 32 k tokens.
    Medium,
    /// Up to 128 k tokens.
    Long,
    /// Above 128 k tokens.
    Huge,
}

impl LengthClass {
    /// All classes, the shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// Returns the class of a prompt of the given length.
    pub fn of(prompt: TokenCount) -> Self {
        match prompt.0 {
            0..4_000 => Self::Short,
            4_000..=32_000 => Self::Medium,
            32_001..=128_000 => Self::Long,
            _ => Self::Huge,
        }
    }

    /// Returns the priority on an engine. Shorter classes have a higher priority.
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

/// Parameters of the home's scheduling decisions.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Validity of a grant without renewal.
    pub grant_lease: Duration,
    /// Time without a heartbeat after which an endpoint is suspect and gets no new work.
    pub endpoint_suspect: Duration,
    /// Time without a heartbeat after which an endpoint is removed.
    pub endpoint_gone: Duration,
    /// Interval between inspections of the memory that an endpoint holds.
    pub inspect_interval: Duration,
    /// Time that an endpoint may hold an unexplained stream, one without a grant, before the
    /// stream is cancelled.
    pub unexplained_grace: Duration,
    /// Percentage of each engine's memory that only short prompts may use.
    pub short_guard_percent: u64,
    /// Target load, in percent, of short prompts on the engines that are kept clear of longer
    /// prompts.
    pub clear_load_percent: u64,
    /// Backlog that every other engine must have before longer prompts may also use the engines
    /// that are kept clear.
    pub spill_after: Duration,
    /// Cost of an answer token, in prompt tokens.
    pub answer_weight: u64,
    /// Time that a prompt that does not fit waits before engines are reserved for it.
    pub reservation_delay: Duration,
    /// Maximum queue of one account, in tokens of work per unit of its share.
    pub max_queue_tokens_per_share: u64,
    /// Maximum queue of the home, in seconds of work of the engines that serve the model.
    pub max_queue_seconds: u64,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            grant_lease: Duration::from_secs(4),
            endpoint_suspect: Duration::from_millis(1_500),
            endpoint_gone: Duration::from_secs(5),
            inspect_interval: Duration::from_secs(2),
            unexplained_grace: Duration::from_secs(1),
            short_guard_percent: 20,
            clear_load_percent: 35,
            spill_after: Duration::from_secs(10),
            answer_weight: 8,
            reservation_delay: Duration::from_millis(500),
            max_queue_tokens_per_share: 20_000_000,
            max_queue_seconds: 60,
        }
    }
}
