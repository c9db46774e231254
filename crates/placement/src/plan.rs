//! Defines the request for a placement and its results.

use std::time::Duration;

use oriolepass_limits::{PermitWaiter, RequestRank};
use oriolepass_units::{EndpointStart, ServiceName};
use serde::{Deserialize, Serialize};

use crate::appointment::{AppointmentId, ReturnTurn};
use crate::second_sends::SecondSend;

/// Identifies a placed prompt by its entry, the instance that serves its caller, and a number that
/// the entry assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptKey {
    /// Random number that the entry draws at its start.
    pub entry: u64,
    /// Sequence number of the prompt at its entry.
    pub number: u64,
}

/// A prompt that needs engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptAsk {
    /// Identifies the prompt.
    pub key: PromptKey,
    /// The service whose engines may serve it.
    pub service: ServiceName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of the answer.
    pub answer_tokens: u64,
    /// Maximum tokens of the answer, by which the prompt's memory may grow.
    pub max_answer_tokens: u64,
    /// Time until the first event is late.
    pub objective: Duration,
    /// Value of `objective` when the request arrived.
    pub whole_objective: Duration,
    /// Longest pause between two events that is on time.
    pub pause: Duration,
    /// Time until the caller gives up.
    pub deadline: Duration,
    /// Time that the prompt may still wait for engines; zero in the last attempt.
    pub patience: Duration,
    /// Engines to avoid, such as the one that just failed the prompt.
    pub avoid: Vec<EndpointStart>,
    /// Engines that asked the entry for rest: neither they nor their helpers' parts may be used.
    /// Messages carry them separately.
    #[serde(skip)]
    pub resting: Vec<EndpointStart>,
    /// Whether engines have ended while they served the prompt. Such a suspect is placed where the
    /// fewest other prompts run.
    pub is_suspect: bool,
    /// Its place among prompts that wait for engines with limits, if it may wait. Messages carry it
    /// separately.
    #[serde(skip)]
    pub waiter: Option<PermitWaiter>,
    /// Identifies the prompt across its caller's attempts, if appointments are kept. Messages carry
    /// it separately.
    #[serde(skip)]
    pub appointment: Option<AppointmentId>,
    /// The first send of the prompt, if this is a second one beside it. Messages carry it
    /// separately.
    #[serde(skip)]
    pub second: Option<Box<SecondSend>>,
}

impl PromptAsk {
    /// Returns the rank of the prompt, if the entry sent it.
    pub(crate) fn rank(&self) -> Option<RequestRank> {
        self.waiter.as_ref().map(|waiter| waiter.rank.clone())
    }
}

/// An engine that reads a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelperPart {
    /// The engine.
    pub endpoint: EndpointStart,
    /// Memory to reserve on the helper for the prompt, in tokens; `None` if it needs none there.
    pub reserve_tokens: Option<u64>,
}

/// The placement of a prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptPlan {
    /// The engine that receives the request and writes the answer.
    pub main: EndpointStart,
    /// The engines that read parts of the prompt besides the main engine.
    pub helpers: Vec<HelperPart>,
    /// Priority of the prompt at its engines; 0 is first, 9 is last.
    pub engine_priority: u8,
    /// Expected time until the first event.
    pub first_event: Duration,
    /// Expected time until the end of the answer.
    pub whole: Duration,
}

impl PromptPlan {
    /// Returns the expected pause between two events of an answer of `answer_tokens`.
    pub fn pause(&self, answer_tokens: u64, steps_per_pass: u32) -> Duration {
        let passes = answer_tokens as f64 / f64::from(steps_per_pass.max(1));
        self.whole.saturating_sub(self.first_event).div_f64(passes.max(1.0))
    }
}

/// The reason why a prompt is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No engine of the service accepts work.
    NoEngine,
    /// No group of engines has memory for the prompt.
    NoMemory,
    /// All engines have a long backlog of reading, and the prompt may still wait.
    Backlog,
    /// The first event would come after the caller has left.
    TooLate,
    /// Other prompts would lose more than this prompt gains.
    TooDear,
    /// Nearly all slots are taken, and the prompt would take one from a prompt that can still be on
    /// time.
    Crowded,
    /// All engines that accept work name limits on their request rates and have no permit left.
    AtLimit,
    /// No other engine would begin a second send of the prompt clearly before the first one.
    NoLead,
    /// The engines that are slow at present are so many that a second one would be no better.
    AllSlow,
    /// The limit on the work of second sends is used up.
    SecondLimit,
    /// More urgent prompts would lose more than this prompt gains at its priority, for longer than
    /// it may wait.
    Outranked,
    /// Other prompts would lose more than this prompt gains after its account has used more than
    /// its share, for longer than it may wait.
    OverShare,
}

impl RefusalReason {
    /// Returns whether the reason may cease to apply within the part of its objective that a prompt
    /// may wait.
    pub fn is_transient(self) -> bool {
        !matches!(self, Self::Crowded | Self::Outranked | Self::OverShare)
    }

    /// Returns the reason as text for logs and refusals.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEngine => "no engine takes work",
            Self::NoMemory => "no engines have the memory",
            Self::Backlog => "engines have much to read",
            Self::TooLate => "engines too busy to begin in time",
            Self::TooDear => "engines too busy for a prompt of this size",
            Self::Crowded => "all places of the engines are taken",
            Self::AtLimit => "engines are at the limits that they name",
            Self::NoLead => "no other engine would begin earlier",
            Self::AllSlow => "many engines are slow",
            Self::SecondLimit => "second sends are at their limit",
            Self::Outranked => "engines are left to more urgent prompts",
            Self::OverShare => "engines are left to accounts with less use",
        }
    }
}

/// The refusal of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRefusal {
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
    /// What the delay means. Messages carry it separately.
    #[serde(skip)]
    pub turn: ReturnTurn,
}

impl PlacementRefusal {
    /// Returns whether a prompt is refused for good, rather than to ask again.
    pub fn is_final_for(&self, ask: &PromptAsk) -> bool {
        !self.reason.is_transient() || ask.patience.is_zero()
    }
}
