//! Observations of the engines' real speeds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::plan::PromptKey;

/// The pace at which an engine writes an answer, as its entry observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNote {
    /// The prompt.
    pub key: PromptKey,
    /// Number of pauses between events that the note covers.
    pub pauses: u32,
    /// Total duration of these pauses, without the time in which the caller did not read.
    pub total: Duration,
}
