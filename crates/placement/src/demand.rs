//! How many short prompts come, and how long each keeps a place.

use oriolepass_routing::EngineProfile;

use crate::cost::ShortDemand;

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
}

impl DemandMeter {
    /// Notes a short prompt that will keep a place for `held_ms`.
    pub(crate) fn arrived(&mut self, now_ms: f64, held_ms: f64) {
        self.decay(now_ms);
        self.per_ms += 1.0 / MEMORY_MS;
        let weight = 0.05;
        self.held_ms =
            if self.held_ms > 0.0 { self.held_ms * (1.0 - weight) + held_ms * weight } else { held_ms };
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
