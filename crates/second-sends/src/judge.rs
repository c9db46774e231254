//! Decides whether a slow request is sent to a second endpoint.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

use crate::times::{AnswerTimes, multiple};

/// The share of requests that are answered before a second send is considered.
const TRIGGER_QUANTILE: f64 = 0.9;

/// A second send must be expected to take at most this part of the time that the first is still
/// expected to take. With a smaller lead, the error of both estimates decides which comes first.
const CLEAR_LEAD_RATIO: f64 = 0.8;

/// All endpoints count as slow if the recent median is this multiple of the usual one.
const SLOW_MEDIAN_RATIO: f64 = 2.0;

/// The time until a slow request is judged again, as a part of the time since it was sent.
const NEXT_JUDGEMENT_SHARE: f64 = 0.25;

/// The minimum time until a slow request is judged again.
const MIN_JUDGEMENT_INTERVAL: Duration = Duration::from_millis(10);

/// The reason why a slow request is not sent to a second endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    /// The request has been sent or run as often as it may be.
    NoAttempts,
    /// Endpoints have ended under the request or under a part of it, or its connections broke.
    Suspect,
    /// Too few requests of this kind were answered to tell what is slow.
    FewSamples,
    /// The second endpoint would not answer before the request's time is over.
    TooLittleTime,
    /// Most endpoints are slow at present, so a second one would be no better.
    AllSlow,
    /// The first endpoint is expected to answer about as early as a second one.
    NoLead,
    /// No other endpoint takes the request: they rest, name limits, leave or failed recently.
    NoOtherEndpoint,
    /// The endpoints have little room for other requests.
    EndpointsFull,
    /// The limit that the operators set is used up.
    LimitReached,
    /// The retry budget is used up.
    BudgetReached,
    /// The home, which places second sends to engines, cannot be asked.
    NoHome,
    /// The routing document is not proved current.
    NotCurrent,
}

impl SkipReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoAttempts => "no attempts left",
            Self::Suspect => "suspect",
            Self::FewSamples => "few samples",
            Self::TooLittleTime => "too little time",
            Self::AllSlow => "all endpoints slow",
            Self::NoLead => "first expected as early",
            Self::NoOtherEndpoint => "no other endpoint",
            Self::EndpointsFull => "endpoints full",
            Self::LimitReached => "limit reached",
            Self::BudgetReached => "retry budget used up",
            Self::NoHome => "no home",
            Self::NotCurrent => "document not proved current",
        }
    }

    /// Returns whether the reason may cease to apply while the request waits for its answer.
    pub fn is_transient(self) -> bool {
        !matches!(self, Self::NoAttempts | Self::Suspect | Self::TooLittleTime)
    }
}

/// A request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowRequest {
    /// The time since it was sent.
    pub elapsed: Duration,
    /// The scale of its time.
    pub scale: Duration,
    /// The time until its deadline.
    pub time_left: Duration,
    /// Whether it may be sent and run once more.
    pub has_attempts: bool,
    /// Whether it, or a part of it, may end its endpoints.
    pub is_suspect: bool,
    /// The number of endpoints of its service.
    pub endpoints: usize,
    /// The number of those that have been slow with a request for too long at present.
    pub slow_endpoints: usize,
    /// The number of endpoints that would take it as a second one.
    pub other_endpoints: usize,
}

/// The decision on a request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondSendVerdict {
    /// The request is sent to a second endpoint if the limits allow it. The first endpoint is
    /// expected to take this much longer.
    Send {
        /// The time that the first endpoint is still expected to take.
        remaining: Duration,
    },
    /// The request is not slow yet, and is judged again after this time.
    Wait(Duration),
    /// The request is slow but not sent again at present. It is judged again after this time.
    Skip(SkipReason, Duration),
    /// The request is not sent to a second endpoint.
    Never(SkipReason),
}

/// Decides whether a request is sent to a second endpoint, by the times of its kind.
pub fn judge(now: MonotonicTime, request: &SlowRequest, times: &AnswerTimes) -> SecondSendVerdict {
    use SecondSendVerdict::{Never, Send, Skip, Wait};
    let (Some(trigger), Some(median)) =
        (times.quantile(now, TRIGGER_QUANTILE), times.quantile(now, 0.5))
    else {
        return Never(SkipReason::FewSamples);
    };
    let elapsed = multiple(request.elapsed, request.scale);
    if elapsed < trigger {
        let wait = request.scale.mul_f64(trigger).saturating_sub(request.elapsed);
        return Wait(wait.max(Duration::from_millis(1)));
    }
    if !request.has_attempts {
        return Never(SkipReason::NoAttempts);
    }
    if request.is_suspect {
        return Never(SkipReason::Suspect);
    }
    let fresh = request.scale.mul_f64(median);
    if request.time_left < fresh {
        return Never(SkipReason::TooLittleTime);
    }
    let again = next_judgement(request.elapsed);
    let is_slow_now = |recent: f64| recent >= median * SLOW_MEDIAN_RATIO;
    if request.slow_endpoints * 2 > request.endpoints
        || times.recent_median(now).is_some_and(is_slow_now)
    {
        return Skip(SkipReason::AllSlow, again);
    }
    if request.other_endpoints == 0 {
        return Skip(SkipReason::NoOtherEndpoint, again);
    }
    let remaining = request.scale.mul_f64(times.remaining(now, elapsed).unwrap_or_default());
    if !has_clear_lead(fresh, remaining) {
        return Skip(SkipReason::NoLead, again);
    }
    Send { remaining }
}

/// Returns the time until a request that has taken `elapsed` so far is judged again.
pub fn next_judgement(elapsed: Duration) -> Duration {
    elapsed.mul_f64(NEXT_JUDGEMENT_SHARE).max(MIN_JUDGEMENT_INTERVAL)
}

/// Returns whether a send that takes `fresh` is expected to be answered clearly before one that
/// takes `remaining` from now on.
pub fn has_clear_lead(fresh: Duration, remaining: Duration) -> bool {
    fresh <= remaining.mul_f64(CLEAR_LEAD_RATIO)
}
