//! How a request ends.

use std::time::Duration;

use oriolepass_config::KeptAnswer;
use oriolepass_schema::error::{ApiError, ErrorCode, RanState};

/// The end of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was delivered.
    Done {
        /// Its tokens.
        tokens: u64,
        /// SHA-256 of its text.
        digest: String,
        /// Why it ended.
        finish_reason: String,
        /// How often it was tried.
        attempts: u32,
    },
    /// An earlier request with the same caller key ran; this is its answer.
    Kept(KeptAnswer),
    /// It failed.
    Failed(ApiError),
}

impl RequestOutcome {
    /// Returns the word for metrics.
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

    pub(crate) fn come_back(code: ErrorCode, detail: &str, retry_after: Duration) -> Self {
        Self::Failed(ApiError::not_run(code, detail).retry_after(retry_after))
    }
}
