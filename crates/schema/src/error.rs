//! Stable error codes, each with its HTTP status and whether the request may have run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request ran on an endpoint.
///
/// `No` is a promise: no byte of the request can have reached an endpoint that would act on it,
/// or the endpoint itself said that it did not act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// The request did not run.
    No,
    /// The request ran.
    Yes,
    /// It cannot be told.
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
        /// A stable code that callers and operators may act on.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ErrorCode {
            $($(#[$doc])* #[serde(rename = $text)] $name,)*
        }

        impl ErrorCode {
            /// Every code, in the order of the documentation.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the code as it stands in answers.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text),* }
            }

            /// Returns the HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Returns what the receiver can do about it.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy),* }
            }
        }
    };
}

error_codes! {
    /// The body is not what the call expects.
    Malformed = "malformed", 400, "correct the request as the message says";
    /// No key or a wrong one.
    Unauthorized = "unauthorized", 401, "send a valid key as `Authorization: Bearer KEY`";
    /// The key does not reach that object.
    Forbidden = "forbidden", 403, "use a key of the team or account that owns the object";
    /// Nothing stands at that path or under that name.
    NotFound = "not_found", 404, "check the path and the name";
    /// The path exists, with another method.
    MethodNotAllowed = "method_not_allowed", 405, "use the method that the schema names";
    /// The body did not arrive in time.
    SlowRequest = "slow_request", 408, "send the body faster";
    /// The object has another revision than expected.
    Conflict = "conflict", 409, "read the present revision and decide again";
    /// The change id was used for another change.
    ChangeIdReused = "change_id_reused", 409, "use a fresh change id for another change";
    /// The caller key was used for another request.
    CallerKeyReused = "caller_key_reused", 409, "use a fresh caller key for another request";
    /// The request with this caller key is still running.
    StillRunning = "still_running", 409, "ask again later with the same key and body";
    /// The request with this caller key ran; its answer was too long to keep.
    AnswerNotKept = "answer_not_kept", 410, "it ran; do not send it again";
    /// The body is over the limit.
    TooLarge = "too_large", 413, "shorten the prompt to the limit in the message";
    /// The request can never be served as it stands.
    Unservable = "unservable", 422, "ask for less memory or another model";
    /// The account has used up its share for now.
    AccountLimited = "account_limited", 429, "wait as Retry-After says, or ask for a larger share";
    /// There is no room for the request now.
    Overloaded = "overloaded", 503, "wait as Retry-After says";
    /// The daemon is about to leave.
    Draining = "draining", 503, "ask for the addresses again and use another one";
    /// The daemon has not caught up with the accepted configuration yet.
    NotReady = "not_ready", 503, "use another address, or wait as Retry-After says";
    /// A majority of the voters cannot be reached.
    NoQuorum = "no_quorum", 503, "wait as Retry-After says; repeatable requests go on";
    /// The deadline passed.
    DeadlineExceeded = "deadline_exceeded", 504, "allow more time, or send it again if it may be repeated";
    /// Every attempt failed on its endpoint.
    EndpointFailed = "endpoint_failed", 502, "send it again if it may be repeated";
    /// The outcome of a non-repeatable request is not known.
    OutcomeUnknown = "outcome_unknown", 502, "check at the service whether it ran before sending a new one";
    /// The daemon met a state that it should not.
    Internal = "internal", 500, "report it with the request id";
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal or failure, as it stands in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct ApiError {
    /// The stable code.
    pub code: ErrorCode,
    /// What happened and what to do about it.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanState,
    /// When to come back, in milliseconds, where waiting helps.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The revision that stands now, for conflicts.
    #[serde(default)]
    pub present_revision: Option<oriolepass_units::ObjectRevision>,
}

impl ApiError {
    /// Creates an error of a request that did not run; the code's remedy ends the message.
    pub fn not_run(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Self::new(code, RanState::No, detail)
    }

    /// Creates an error; the code's remedy ends the message.
    pub fn new(code: ErrorCode, ran: RanState, detail: impl fmt::Display) -> Self {
        Self {
            code,
            message: format!("{detail}; {}", code.remedy()),
            ran,
            retry_after_ms: None,
            present_revision: None,
        }
    }

    /// Adds the time after which a new try makes sense.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(span.as_millis()).unwrap_or(u64::MAX));
        self
    }
}

/// The envelope of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ApiError,
}
