//! Decides which prompts are refused while the engines have more work than they can do, and when
//! their callers should come back.

use std::time::Duration;

use oriolepass_units::EndpointStart;

use crate::choice::{Candidate, Job};
use crate::cost::EngineView;
use crate::crowd::is_crowded_out;
use crate::plan::{PromptAsk, RefusalReason};

/// Retry delay of a prompt that is refused because of load. Surges last longer, but callers spend
/// at most a third of their time on waiting.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(4_000);

/// Returns why a prompt is refused although a group of engines could read it.
pub(crate) fn refusal_reason(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
    best: &Candidate,
) -> Option<RefusalReason> {
    if is_crowded_out(job, views, best.first_ms) {
        return Some(RefusalReason::Crowded);
    }
    let counts_risk = job.long_demand.counts_risk(job.engines);
    let loss = if counts_risk { best.adjusted_loss } else { best.loss };
    // The other prompts on its engines would lose more than this prompt gains.
    (!job.cost.is_short() && loss > job.value).then_some(RefusalReason::TooDear)
}

/// Returns the delay after which a prompt that is refused because of load should be retried.
pub(crate) fn retry_after(_reason: RefusalReason, _ask: &PromptAsk) -> Duration {
    OVERLOAD_RETRY_DELAY
}
