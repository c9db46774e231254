//! How many short prompts come, and how long each keeps a place.

use oriolepass_routing::EngineProfile;

use crate::cost::{LongDemand, ShortDemand};

/// The time over which arrivals are averaged, in milliseconds: a surge is seen within a second
/// or two, and the gap between two prompts is not taken for a lull.
const MEMORY_MS: f64 = 1_500.0;

/// The part of an engine's places that short prompts fill before the next engine is needed.
const FILLED: f64 = 0.65;

/// Averages over the short prompts of one service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandMeter {
    per_ms: f64,
    held_ms: f64,
    seen_ms: f64,
    long_value_per_ms: f64,
    long_work_per_ms: f64,
    long_seen_ms: f64,
}

/// Long prompts are rarer, so they are averaged over a longer time, in milliseconds.
const LONG_MEMORY_MS: f64 = 4_000.0;

/// The weight of a new prompt in averages over prompts: the last twenty count most.
const NEW_WEIGHT: f64 = 0.05;

impl DemandMeter {
    /// Notes a short prompt that will keep a place for `held_ms`.
    pub(crate) fn arrived(&mut self, now_ms: f64, held_ms: f64) {
        self.decay(now_ms);
        self.per_ms += 1.0 / MEMORY_MS;
        self.held_ms = average(self.held_ms, held_ms);
    }

    /// Notes a long prompt.
    pub(crate) fn long_arrived(&mut self, now_ms: f64, value: f64, work_ms: f64) {
        self.decay_long(now_ms);
        self.long_value_per_ms += value / LONG_MEMORY_MS;
        self.long_work_per_ms += work_ms / LONG_MEMORY_MS;
    }

    fn decay_long(&mut self, now_ms: f64) {
        let span = (now_ms - self.long_seen_ms).max(0.0);
        let kept = (-span / LONG_MEMORY_MS).exp();
        self.long_value_per_ms *= kept;
        self.long_work_per_ms *= kept;
        self.long_seen_ms = now_ms;
    }

    /// Returns the present demand of long prompts.
    pub(crate) fn long_demand(&mut self, now_ms: f64) -> LongDemand {
        self.decay_long(now_ms);
        LongDemand { value_per_ms: self.long_value_per_ms, busy_engines: self.long_work_per_ms }
    }

    fn decay(&mut self, now_ms: f64) {
        let span = (now_ms - self.seen_ms).max(0.0);
        self.per_ms *= (-span / MEMORY_MS).exp();
        self.seen_ms = now_ms;
    }

    /// Returns the present demand.
    pub(crate) fn demand(&mut self, now_ms: f64, profile: &EngineProfile) -> ShortDemand {
        self.decay(now_ms);
        let places = f64::from(profile.slots) * FILLED;
        ShortDemand { per_ms: self.per_ms, engines: self.per_ms * self.held_ms / places }
    }
}

fn average(before: f64, next: f64) -> f64 {
    if before > 0.0 { before * (1.0 - NEW_WEIGHT) + next * NEW_WEIGHT } else { next }
}
