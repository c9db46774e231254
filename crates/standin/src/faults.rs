//! Misbehaviour on cue.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What a stand-in should do wrong. All counts are of events still to come.
#[derive(Debug, Default)]
pub struct FaultPlan {
    /// Answers whose last token gets lost.
    pub truncate: AtomicU64,
    /// Answers that echo another attempt's id for one token.
    pub wrong_attempt_id: AtomicU64,
    /// Answers in which one token comes twice.
    pub duplicate_token: AtomicU64,
    /// Answers whose connection breaks half-way.
    pub disconnect: AtomicU64,
    /// Calls that are run and never answered.
    pub run_without_answer: AtomicU64,
    /// Calls that are refused without being run.
    pub refuse: AtomicU64,
    /// Whether the load reports stop.
    pub mute: AtomicBool,
    /// Cache events to be lost.
    pub lose_cache_events: AtomicU64,
}

impl FaultPlan {
    /// Uses up one event of a kind; returns whether there was one.
    pub(crate) fn strike(counter: &AtomicU64) -> bool {
        counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
    }
}
