//! Builds the gateway's own responses to requests that it refuses or cannot complete.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::body::ResponseBody;

/// A response that the gateway itself gives instead of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    /// A short name for metrics and logs.
    pub(super) reason: &'static str,
    /// The text for the caller: the cause, and what the caller can do.
    pub(super) remedy: String,
    pub(super) retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub(super) closes: bool,
}

impl Refusal {
    pub(super) fn new(status: StatusCode, reason: &'static str, remedy: impl Into<String>) -> Self {
        Self { status, reason, remedy: remedy.into(), retry_after: None, closes: false }
    }

    /// Creates the refusal of a request that has not run and never will. The caller may send it
    /// again after `retry_after`.
    pub(super) fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        let remedy = "the request was not run; send it again after the time given";
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason, remedy)
        }
    }

    /// Creates the refusal of a request that may have run and has no answer.
    pub(super) fn failed(reason: &'static str) -> Self {
        let remedy = "the request may have run, and its answer was lost";
        Self::new(StatusCode::BAD_GATEWAY, reason, remedy)
    }

    /// Creates the refusal of a request whose deadline has passed.
    pub(super) fn timed_out(reason: &'static str) -> Self {
        let remedy = "the request's time is over; it may have run";
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason, remedy)
    }

    pub(super) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    pub(super) fn response(&self) -> Response<ResponseBody> {
        let body = serde_json::json!({ "error": self.remedy, "reason": self.reason }).to_string();
        let mut response = Response::new(ResponseBody::short(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let text = retry_after_text(after);
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if self.closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Formats the time after which a caller should come back, in seconds. Rounds up to a hundredth,
/// since a caller that comes back at once is refused again.
fn retry_after_text(after: Duration) -> String {
    let hundredths = after.as_micros().div_ceil(10_000).max(1);
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}
