//! Decides which prompts are refused while the engines have more work than they can do, and when
//! their callers should come back.

use std::time::Duration;

use oriolepass_units::EndpointStart;

use crate::choice::{Candidate, Job};
use crate::cost::{EngineView, lateness, millis, risk};
use crate::crowd::crowding_reason;
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
    if let Some(reason) = crowding_reason(job, views, best.first_ms) {
        return Some(reason);
    }
    let counts_risk = job.long_demand.counts_risk(job.engines);
    let loss = if counts_risk { best.adjusted_loss } else { best.loss };
    // The other prompts on its engines would lose more than this prompt gains.
    (!job.cost.is_short() && loss > job.value).then(|| {
        let is_hopeless = weight_refuses(job, best, loss, counts_risk);
        if is_hopeless { job.weight.refusal_reason() } else { RefusalReason::TooDear }
    })
}

/// Returns whether a prompt is refused only because of its weight, and would be so for as long as
/// it may wait even if no further prompt arrived.
fn weight_refuses(job: &Job<'_>, best: &Candidate, loss: f64, counts_risk: bool) -> bool {
    let weight = job.weight.whole();
    let own_risk = if counts_risk { risk(best.first_ms, job.ask, job.value, 0) } else { 0.0 };
    let own_loss = lateness(best.first_ms, job.ask, job.value) + own_risk;
    let (gain, others_loss) = (job.value - own_loss, loss - own_loss);
    if weight >= 1.0 || others_loss > gain / weight {
        return false;
    }
    let wait_ms = job.long_demand.ms_until_price(job.engines, job.cost.whole_ms, gain);
    wait_ms >= millis(job.ask.patience)
}

/// Returns the delay after which a prompt that is refused because of load should be retried.
pub(crate) fn retry_after(_reason: RefusalReason, _ask: &PromptAsk) -> Duration {
    OVERLOAD_RETRY_DELAY
}
