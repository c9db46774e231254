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
use crate::plan::RefusalReason;

/// Share of engines without a free slot from which prompts are refused. Below it, late prompts have
/// other causes, such as a long prompt that is read on the same engine.
const MIN_FULL_SHARE: f64 = 0.8;

/// Ratio of the predicted first event to the objective from which the event is late despite the
/// prediction error. The error is at most some 150 ms, half of a usual objective, for nine of ten
/// short prompts.
const SURELY_LATE_RATIO: f64 = 1.5;

/// The ratio for prompts of the least weight. They leave the slots to the others before those would
/// be late.
const MIN_LATE_RATIO: f64 = 0.75;

/// Returns why a short prompt is refused that would only take a slot from another one that can
/// still be on time. Prompts of less weight are refused at a shorter queue.
pub(crate) fn crowding_reason(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
    first_ms: f64,
) -> Option<RefusalReason> {
    let late_ratio =
        (SURELY_LATE_RATIO * job.weight.whole()).clamp(MIN_LATE_RATIO, SURELY_LATE_RATIO);
    let objective_ms = millis(job.ask.whole_objective);
    if !job.cost.is_short() || first_ms < objective_ms * late_ratio {
        return None;
    }
    let full = views.iter().filter(|(_, view)| view.load >= view.slots).count();
    if (full as f64) < views.len() as f64 * MIN_FULL_SHARE {
        return None;
    }
    let is_late = first_ms >= objective_ms * SURELY_LATE_RATIO;
    Some(if is_late { RefusalReason::Crowded } else { job.weight.refusal_reason() })
}
