//! Surges of short prompts that need more places than the engines have.
//!
//! The pattern: short prompts come faster than places become free, for some seconds. If all are
//! taken in, a line forms at each engine, and from then on every one of them waits its whole length
//! and is late, though the engines could serve nearly all on time. A prompt that would be late
//! anyway then takes a place that a later one would have had in time. So it is sent away at once,
//! while those that can still be on time are taken: the line stays short.

use oriolepass_units::EndpointStart;

use crate::choice::Job;
use crate::cost::{EngineView, millis};

/// The part of the engines that have no free place from which on a place has a price. Below it the
/// late ones are late for other reasons, such as a long prompt that is read beside them.
const FULL_SHARE: f64 = 0.8;

/// A first event this many objectives away is late whatever the prediction's error: it errs by some
/// 150 ms at most for nine short prompts of ten, half of a usual objective.
const SURELY_LATE: f64 = 1.5;

/// Returns whether a short prompt would only take a place from one that is still on time.
pub(crate) fn is_crowded_out(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
    first_ms: f64,
) -> bool {
    if !job.cost.is_short() || first_ms < millis(job.ask.whole_objective) * SURELY_LATE {
        return false;
    }
    let full = views.iter().filter(|(_, view)| view.load >= view.slots).count();
    full as f64 >= views.len() as f64 * FULL_SHARE
}
