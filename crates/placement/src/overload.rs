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

/// Returns the delay after which a prompt that is refused because of load should be retried, where
/// no turns are kept.
pub(crate) fn retry_after() -> Duration {
    OVERLOAD_RETRY_DELAY
}

/// Ratio of the loss of other prompts to the value of a prompt in its turn up to which it is placed.
/// It lost time already, so it may disturb others more than a newcomer, whose ratio is 1.
const TURN_LOSS_RATIO: f64 = 2.0;

/// Returns whether a prompt is served in its turn although a newcomer would be refused.
pub(crate) fn is_served_in_turn(job: &Job<'_>, best: &Candidate) -> bool {
    best.first_ms <= millis(job.ask.objective) && best.loss <= job.value * TURN_LOSS_RATIO
}

/// Minimum delay of a short prompt's return: some passes, at whose ends slots become free.
const MIN_SHORT_DELAY_MS: f64 = 100.0;

/// Minimum delay of a long prompt's return, as a share of its objective. Parts that are read on the
/// engines now have been read by then, also those that prompts placed later have delayed.
const MIN_LONG_DELAY_SHARE: f64 = 0.4;

/// Share of its objective in which a long prompt is to be read, which determines the size of its
/// group.
const PART_SHARE: f64 = 0.1;

/// Share of the engines that long prompts can use at least, however many short ones arrive.
const MIN_LONG_SHARE: f64 = 0.25;

/// Share of the time between writing passes in which engines read. Parts of a group end at
/// different times, and until the next prompt is placed, some of its engines are idle.
const READING_SHARE: f64 = 0.9;

/// Time that a short prompt holds a slot if none has been placed yet.
const USUAL_HOLD_MS: f64 = 1_000.0;

/// Share of the caller's remaining time after which a refused prompt returns at the latest. Callers
/// wait no longer, and the rest of the time is for the answer.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Returns the longest delay of a prompt's return, in milliseconds.
pub(crate) fn max_wait_ms(ask: &PromptAsk) -> f64 {
    millis(ask.deadline) * MAX_WAIT_SHARE
}

/// The work that engines have before they can take a refused prompt: reading, in milliseconds of
/// one engine, for a long prompt; prompts that need a slot for a short one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkLine {
    min_delay_ms: f64,
    /// Work of the prompts that are placed.
    queued: f64,
    /// Time until the engines that the prompt needs have done their work, in milliseconds.
    pub(crate) group_free_ms: f64,
    /// Slots without a prompt, for short prompts.
    pub(crate) free: f64,
    /// Work that the engines do per millisecond.
    per_ms: f64,
}

impl WorkLine {
    /// Describes the engines' work for the kind of a prompt. `engines` is the number of all engines,
    /// of which `views` may be a sample, and `hold_ms` how long a short prompt holds a slot.
    pub(crate) fn new(
        job: &Job<'_>,
        views: &[(EndpointStart, EngineView)],
        engines: usize,
        hold_ms: f64,
    ) -> Self {
        let views = || views.iter().map(|(_, view)| view);
        let scale = engines as f64 / views().count().max(1) as f64;
        if job.cost.is_short() {
            let slots: usize = views().map(|view| view.slots).sum();
            let waiting: usize = views().map(|view| view.load.saturating_sub(view.slots)).sum();
            let free: usize = views().map(|view| view.slots.saturating_sub(view.load)).sum();
            let hold_ms = if hold_ms > 0.0 { hold_ms } else { USUAL_HOLD_MS };
            return Self {
                min_delay_ms: MIN_SHORT_DELAY_MS,
                queued: waiting as f64 * scale,
                group_free_ms: waiting as f64 * hold_ms / slots.max(1) as f64,
                free: free as f64 * scale,
                per_ms: slots.max(1) as f64 * scale / hold_ms,
            };
        }
        // The passes in which long parts are read also write the answers in progress.
        let reading: f64 =
            views().map(|view| job.cap_ms / (job.cap_ms + view.writing_pass_ms)).sum();
        let least = engines.max(1) as f64 * MIN_LONG_SHARE;
        let objective_ms = millis(job.ask.whole_objective);
        let mut backlogs: Vec<f64> =
            views().map(|view| view.residual_ms + view.unread_ms).collect();
        backlogs.sort_by(f64::total_cmp);
        let parts = (job.cost.whole_ms / (objective_ms * PART_SHARE).max(1.0)).ceil() as usize;
        let last_part = parts.clamp(1, backlogs.len().max(1)) - 1;
        Self {
            min_delay_ms: objective_ms * MIN_LONG_DELAY_SHARE,
            queued: backlogs.iter().sum::<f64>() * scale,
            group_free_ms: backlogs.get(last_part).copied().unwrap_or_default(),
            free: 0.0,
            per_ms: (reading * scale * READING_SHARE - job.demand.engines).max(least),
        }
    }

    /// Returns the time until the engines have done the placed work and `ahead`, in milliseconds.
    pub(crate) fn done_in_ms(&self, ahead: f64) -> f64 {
        (self.queued + ahead) / self.per_ms
    }

    /// Returns the time that the engines need for `work`, in milliseconds.
    pub(crate) fn span_ms(&self, work: f64) -> f64 {
        work / self.per_ms
    }

    /// Returns the time after which a refused prompt should return if the turns before its own have
    /// `ahead` work, in milliseconds.
    pub(crate) fn wait_ms(&self, ahead: f64) -> f64 {
        self.done_in_ms(0.0).max(self.min_delay_ms) + self.span_ms(ahead)
    }
}
