//! Stable error codes with their HTTP status, and the error that reports whether a request ran.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request ran on an endpoint.
///
/// `No` is a guarantee: either no byte of the request can have reached an endpoint that would act
/// on it, or the endpoint itself reported that it did not act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// The request did not run.
    No,
    /// The request ran.
    Yes,
    /// It is not known whether the request ran.
    Unknown,
}

impl fmt::Display for RanState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! error_codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal, $remedy:literal;)*) => {
        /// A stable error code; callers and operators may depend on its meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ErrorCode {
            $($(#[$doc])* #[serde(rename = $text)] $name,)*
        }

        impl ErrorCode {
            /// All codes, in the order of the documentation.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the code as it is written in answers.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text),* }
            }

            /// Returns the HTTP status of the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Returns the action that the receiver of the error can take.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy),* }
            }
        }
    };
}

error_codes! {
    /// The request does not have the form that the call expects.
    Malformed = "malformed", 400, "correct the request as the message says";
    /// The key is missing or invalid.
    Unauthorized = "unauthorized", 401, "send a valid key as `Authorization: Bearer KEY`";
    /// The key does not grant access to the object.
    Forbidden = "forbidden", 403, "use a key of the team or account that owns the object";
    /// No resource exists at the path or under the name.
    NotFound = "not_found", 404, "check the path and the name";
    /// The path exists, but not with this method.
    MethodNotAllowed = "method_not_allowed", 405, "use the method that the schema names";
    /// The request body did not arrive within the time limit.
    SlowRequest = "slow_request", 408, "send the body faster";
    /// The object's revision differs from the expected revision.
    Conflict = "conflict", 409, "read the present revision and decide again";
    /// The change id has already been used for a different change.
    ChangeIdReused = "change_id_reused", 409, "use a fresh change id for another change";
    /// The caller key has already been used for a different request.
    CallerKeyReused = "caller_key_reused", 409, "use a fresh caller key for another request";
    /// The request with this caller key is still running.
    StillRunning = "still_running", 409, "ask again later with the same key and body";
    /// The request with this caller key ran, but its answer was too long to store.
    AnswerNotKept = "answer_not_kept", 410, "it ran; do not send it again";
    /// The request exceeds a size limit.
    TooLarge = "too_large", 413, "shorten the prompt to the limit in the message";
    /// The request can never be served in its present form.
    Unservable = "unservable", 422, "ask for less memory or another model";
    /// The account has exhausted its share for now.
    AccountLimited = "account_limited", 429, "wait as Retry-After says, or ask for a larger share";
    /// There is no capacity for the request at present.
    Overloaded = "overloaded", 503, "wait as Retry-After says";
    /// The daemon is draining and accepts no new requests.
    Draining = "draining", 503, "ask for the addresses again and use another one";
    /// The daemon has not yet applied the accepted configuration.
    NotReady = "not_ready", 503, "use another address, or wait as Retry-After says";
    /// A majority of the voters cannot be reached.
    NoQuorum = "no_quorum", 503, "wait as Retry-After says; repeatable requests go on";
    /// The request's deadline passed.
    DeadlineExceeded = "deadline_exceeded", 504, "allow more time, or send it again if it may be repeated";
    /// All attempts failed on their endpoints.
    EndpointFailed = "endpoint_failed", 502, "send it again if it may be repeated";
    /// The outcome of a non-repeatable request is not known.
    OutcomeUnknown = "outcome_unknown", 502, "check at the service whether it ran before sending a new one";
    /// The daemon reached an unexpected state.
    Internal = "internal", 500, "report it with the request id";
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal or failure, as it is written in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct ApiError {
    /// The stable error code.
    pub code: ErrorCode,
    /// A description of the error, followed by the remedy.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanState,
    /// The delay after which the caller may retry, in milliseconds; absent if waiting does not
    /// help.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The object's current revision; present for conflicts.
    #[serde(default)]
    pub present_revision: Option<oriolepass_units::ObjectRevision>,
}

impl ApiError {
    /// Creates an error for a request that did not run. The remedy of `code` is appended to
    /// `detail`.
    pub fn not_run(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Self::new(code, RanState::No, detail)
    }

    /// Creates an error. The remedy of `code` is appended to `detail`.
    pub fn new(code: ErrorCode, ran: RanState, detail: impl fmt::Display) -> Self {
        Self {
            code,
            message: format!("{detail}; {}", code.remedy()),
            ran,
            retry_after_ms: None,
            present_revision: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        self
    }
}

/// The response body that carries an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ApiError,
}
