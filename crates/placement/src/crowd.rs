//! Refuses short prompts during surges that need more slots than the engines have.
//!
//! If short prompts arrive faster than slots become free and all of them are accepted, a queue
//! forms at each engine. From then on every prompt waits for the whole queue and is late, although
//! the engines could serve nearly all of them on time. A prompt that would be late anyway takes a
//! slot that a later prompt could have used in time. It is therefore refused at once, while prompts
//! that can still be on time are accepted, and the queue stays short.

use oriolepass_units::EndpointStart;

use crate::choice::Job;
use crate::cost::{EngineView, millis};

/// Share of engines without a free slot from which prompts are refused. Below it, late prompts have
/// other causes, such as a long prompt that is read on the same engine.
const MIN_FULL_SHARE: f64 = 0.8;

/// Ratio of the predicted first event to the objective from which the event is late despite the
/// prediction error. The error is at most some 150 ms, half of a usual objective, for nine of ten
/// short prompts.
const SURELY_LATE_RATIO: f64 = 1.5;

/// Returns whether a short prompt would only take a slot from another one that can still be on
/// time.
pub(crate) fn is_crowded_out(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
    first_ms: f64,
) -> bool {
    if !job.cost.is_short() || first_ms < millis(job.ask.whole_objective) * SURELY_LATE_RATIO {
        return false;
    }
    let full = views.iter().filter(|(_, view)| view.load >= view.slots).count();
    full as f64 >= views.len() as f64 * MIN_FULL_SHARE
}
