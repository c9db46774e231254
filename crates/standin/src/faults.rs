//! Fault injection for the stand-ins.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The faults that a stand-in injects. Each count is the number of events still to be injected.
#[derive(Debug, Default)]
pub struct FaultPlan {
    /// Answers whose last token is dropped.
    pub truncate: AtomicU64,
    /// Engine answers with an additional token under another attempt's id, and service answers that
    /// carry another attempt's id.
    pub wrong_attempt_id: AtomicU64,
    /// Answers in which one token is sent twice.
    pub duplicate_token: AtomicU64,
    /// Answers whose connection breaks once half of the tokens have been sent.
    pub disconnect: AtomicU64,
    /// Calls that start and get no answer: an engine returns status 500 with an empty body, a
    /// service runs the call and holds the connection open.
    pub run_without_answer: AtomicU64,
    /// Calls that are refused without running.
    pub refuse: AtomicU64,
    /// Whether announcements, heartbeats and cache events stop.
    pub stop_reports: AtomicBool,
    /// Messages of cache events that are dropped.
    pub lose_cache_events: AtomicU64,
}

impl FaultPlan {
    /// Decrements a counter. Returns whether it was above zero.
    pub(crate) fn consume(counter: &AtomicU64) -> bool {
        counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
    }
}
