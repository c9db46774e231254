//! The outcome of a request.

use std::time::Duration;

use oriolepass_config::KeptAnswer;
use oriolepass_schema::error::{ApiError, ErrorCode, RanState};

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete answer was delivered.
    Done {
        /// Number of tokens in the answer.
        tokens: u64,
        /// SHA-256 of the answer's text.
        digest: String,
        /// Why generation stopped.
        finish_reason: String,
        /// Number of attempts that were sent.
        attempts: u32,
    },
    /// The stored answer of an earlier request with the same caller key.
    Kept(KeptAnswer),
    /// The request failed.
    Failed(ApiError),
}

impl RequestOutcome {
    /// Returns the label for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Kept(_) => "kept",
            Self::Failed(error) => error.code.as_str(),
        }
    }

    pub(crate) fn failed(code: ErrorCode, ran: RanState, detail: &str) -> Self {
        Self::Failed(ApiError::new(code, ran, detail))
    }

    pub(crate) fn retry_later(code: ErrorCode, detail: &str, retry_after: Duration) -> Self {
        Self::Failed(ApiError::not_run(code, detail).retry_after(retry_after))
    }
}
