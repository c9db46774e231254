//! Averages the demand of short and long prompts: arrivals, slot time and work.

use oriolepass_routing::EngineProfile;

use crate::cost::{LongDemand, ShortDemand};

/// Averaging time of arrivals. A surge is detected within a second or two, and the gap between two
/// prompts does not count as a lull.
const AVERAGING_TIME_MS: f64 = 1_500.0;

/// Share of an engine's slots that short prompts fill before the next engine is needed.
const TARGET_FILL_RATIO: f64 = 0.65;

/// Averages over the prompts of one service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandMeter {
    per_ms: f64,
    value_per_ms: f64,
    held_ms: f64,
    updated_ms: f64,
    long_value_per_ms: f64,
    long_work_per_ms: f64,
    long_updated_ms: f64,
}

/// Averaging time of long prompts, which are rarer than short ones.
pub(crate) const LONG_AVERAGING_TIME_MS: f64 = 4_000.0;

/// Weight of a new prompt in averages over prompts: about the last twenty dominate.
const NEW_PROMPT_WEIGHT: f64 = 0.05;

/// What a long prompt adds to the demand.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordedPrompt {
    pub(crate) recorded_ms: f64,
    pub(crate) value: f64,
    pub(crate) work_ms: f64,
}

impl DemandMeter {
    /// Records a short prompt of a weight that will hold a slot for `held_ms`.
    pub(crate) fn record_short(&mut self, now_ms: f64, held_ms: f64, weight: f64) {
        self.decay(now_ms);
        self.per_ms += 1.0 / AVERAGING_TIME_MS;
        self.value_per_ms += weight / AVERAGING_TIME_MS;
        self.held_ms = average(self.held_ms, held_ms);
    }

    /// Records a long prompt.
    pub(crate) fn record_long(&mut self, prompt: &RecordedPrompt) {
        self.decay_long(prompt.recorded_ms);
        self.long_value_per_ms += prompt.value / LONG_AVERAGING_TIME_MS;
        self.long_work_per_ms += prompt.work_ms / LONG_AVERAGING_TIME_MS;
    }

    /// Takes back the record of a long prompt whose engine failed before its first event. If its caller
    /// still waits, the prompt is placed again, and would otherwise count as demand twice.
    pub(crate) fn withdraw_long(&mut self, now_ms: f64, prompt: &RecordedPrompt) {
        self.decay_long(now_ms);
        let span = (now_ms - prompt.recorded_ms).max(0.0);
        let kept = (-span / LONG_AVERAGING_TIME_MS).exp() / LONG_AVERAGING_TIME_MS;
        // Rounding errors must not lead to negative averages.
        self.long_value_per_ms = (self.long_value_per_ms - prompt.value * kept).max(0.0);
        self.long_work_per_ms = (self.long_work_per_ms - prompt.work_ms * kept).max(0.0);
    }

    fn decay_long(&mut self, now_ms: f64) {
        let span = (now_ms - self.long_updated_ms).max(0.0);
        let kept = (-span / LONG_AVERAGING_TIME_MS).exp();
        self.long_value_per_ms *= kept;
        self.long_work_per_ms *= kept;
        self.long_updated_ms = now_ms;
    }

    /// Returns the present demand of long prompts.
    pub(crate) fn long_demand(&mut self, now_ms: f64) -> LongDemand {
        self.decay_long(now_ms);
        LongDemand { value_per_ms: self.long_value_per_ms, busy_engines: self.long_work_per_ms }
    }

    fn decay(&mut self, now_ms: f64) {
        let span = (now_ms - self.updated_ms).max(0.0);
        let kept = (-span / AVERAGING_TIME_MS).exp();
        self.per_ms *= kept;
        self.value_per_ms *= kept;
        self.updated_ms = now_ms;
    }

    /// Returns how long a short prompt holds a slot on average, in milliseconds; 0 if none has been
    /// recorded.
    pub(crate) fn hold_ms(&self) -> f64 {
        self.held_ms
    }

    /// Returns the present demand of short prompts.
    pub(crate) fn demand(&mut self, now_ms: f64, profile: &EngineProfile) -> ShortDemand {
        self.decay(now_ms);
        let slots = f64::from(profile.slots) * TARGET_FILL_RATIO;
        ShortDemand { value_per_ms: self.value_per_ms, engines: self.per_ms * self.held_ms / slots }
    }
}

fn average(before: f64, next: f64) -> f64 {
    if before > 0.0 { before * (1.0 - NEW_PROMPT_WEIGHT) + next * NEW_PROMPT_WEIGHT } else { next }
}
