//! What is asked and what is answered.

use std::time::Duration;

use oriolepass_units::{EndpointStart, ServiceName};
use serde::{Deserialize, Serialize};

/// Names a placed prompt: the instance that serves its caller and a number of that instance's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptKey {
    /// Drawn by the entry at its start.
    pub entry: u64,
    /// Counted by the entry.
    pub number: u64,
}

/// A prompt that needs engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptAsk {
    /// Its name.
    pub key: PromptKey,
    /// The service whose engines may serve it.
    pub service: ServiceName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, as expected.
    pub answer_tokens: u64,
    /// The most tokens of the answer, which its memory may grow by.
    pub max_answer_tokens: u64,
    /// What is left until the first event is late.
    pub objective: Duration,
    /// The same when the request came.
    pub whole_objective: Duration,
    /// The longest pause between two events that is on time.
    pub pause: Duration,
    /// What is left until the caller gives up.
    pub deadline: Duration,
    /// How long it may still wait for engines; none the last time that it asks.
    pub patience: Duration,
    /// Engines that it should not go to, such as the one that just failed it.
    pub avoid: Vec<EndpointStart>,
    /// Whether engines have ended under it: it goes where the fewest others run.
    pub is_suspect: bool,
}

/// An engine that reads a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelperPart {
    /// The engine.
    pub endpoint: EndpointStart,
    /// Memory to reserve there for the prompt, in tokens; none where it is kept elsewhere.
    pub reserve_tokens: Option<u64>,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptPlan {
    /// The engine that receives the request and writes the answer.
    pub main: EndpointStart,
    /// The engines that read parts of the prompt beside it.
    pub helpers: Vec<HelperPart>,
    /// How urgent the engine should take it; 0 is first, 9 is last.
    pub engine_priority: u8,
    /// When the first event is expected.
    pub first_event: Duration,
    /// How long the whole answer is expected to take.
    pub whole: Duration,
}

/// The reason that a prompt is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LackReason {
    /// No engine of the service takes work.
    NoEngine,
    /// No group of engines has the memory for it.
    NoMemory,
    /// All engines have much to read, and it may still wait.
    Backlog,
    /// Its first event would come after its caller has left.
    TooLate,
    /// Other prompts would lose more by it than it brings.
    TooDear,
    /// Nearly all places are taken, and it would keep one from a prompt that is still on time.
    Crowded,
}

impl LackReason {
    /// Returns whether it may be otherwise within the part of an objective that a prompt waits.
    pub fn is_transient(self) -> bool {
        self != Self::Crowded
    }

    /// Returns the reason in words, for logs and refusals.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEngine => "no engine takes work",
            Self::NoMemory => "no engines have the memory",
            Self::Backlog => "engines have much to read",
            Self::TooLate => "engines too busy to begin in time",
            Self::TooDear => "engines too busy for a prompt of this size",
            Self::Crowded => "all places of the engines are taken",
        }
    }
}

/// A prompt is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRefusal {
    /// Why not.
    pub reason: LackReason,
    /// When it is worth asking again.
    pub retry_after: Duration,
}
