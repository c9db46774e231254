//! Chooses a group of engines for one prompt: estimates the loss for every group size and takes the
//! size with the least.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_routing::EngineProfile;
use oriolepass_units::EndpointStart;

use crate::contention::PromptWeight;
use crate::cost::{EngineView, LongDemand, ReadCost, ShortDemand, lateness, millis, risk};
use crate::plan::{HelperPart, PromptAsk, PromptKey, PromptPlan};

/// Group sizes that are considered for one prompt. The maximum is the engines' own limit on helpers
/// plus the main engine, which writes the answer.
const GROUP_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16];

/// Weight of the read time between engines with equal loss, per whole objective. It is smaller than
/// any loss that matters.
const READ_TIME_WEIGHT: f64 = 0.02;

/// One way to place a prompt.
pub(crate) struct Candidate {
    pub(crate) main: EndpointStart,
    pub(crate) helpers: Vec<EndpointStart>,
    /// Expected loss of the prompt and of the prompts that it disturbs.
    pub(crate) loss: f64,
    /// The loss plus [`risk`].
    pub(crate) adjusted_loss: f64,
    pub(crate) first_ms: f64,
}

/// A prompt to be placed, with its cost and the demand on the engines.
pub(crate) struct Job<'a> {
    pub(crate) ask: &'a PromptAsk,
    pub(crate) cost: ReadCost,
    /// The value of the prompt, multiplied by its weight.
    pub(crate) value: f64,
    pub(crate) weight: PromptWeight,
    /// Maximum time of reading that fits into one pass.
    pub(crate) cap_ms: f64,
    /// Number of engines that accept work.
    pub(crate) engines: usize,
    /// Number of clear engines, which would serve a short prompt on time.
    pub(crate) clear: usize,
    pub(crate) demand: ShortDemand,
    pub(crate) long_demand: LongDemand,
}

/// Maximum reading ahead of a long prompt that may still wait, as a share of its objective.
/// Helpers' parts are read first, so prompts that are placed later overtake it on the engine; it
/// keeps its turn better by waiting at the home.
const MAX_BACKLOG_SHARE: f64 = 0.4;

/// Returns the engines whose reading ahead is short enough for the prompt.
pub(crate) fn without_backlog(
    job: &Job<'_>,
    mut views: Vec<(EndpointStart, EngineView)>,
) -> Vec<(EndpointStart, EngineView)> {
    if !job.cost.is_short() && !job.ask.patience.is_zero() {
        let most_ms = millis(job.ask.whole_objective) * MAX_BACKLOG_SHARE;
        views.retain(|(_, view)| view.residual_ms + view.unread_ms <= most_ms);
    }
    views
}

/// Chooses a group of engines. Returns `None` if no group has memory for the prompt.
pub(crate) fn best_group(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
) -> Option<Candidate> {
    GROUP_SIZES
        .into_iter()
        .take_while(|size| *size == 1 || (*size <= views.len() && !job.cost.is_short()))
        .filter_map(|size| best_of_size(job, views, size))
        .min_by(|left, right| left.adjusted_loss.total_cmp(&right.adjusted_loss))
}

/// An engine and the loss that a part of the job would cause there.
struct Scored<'a> {
    endpoint: &'a EndpointStart,
    view: &'a EngineView,
    pause_loss: f64,
    score: f64,
}

/// Finds the best group of one size: the main engine, which receives the request and is the best
/// one for writing, and as helpers the engines that a part disturbs least.
pub(crate) fn best_of_size(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
    size: usize,
) -> Option<Candidate> {
    let part_ms = job.cost.part_ms(size);
    let objective_ms = millis(job.ask.whole_objective);
    let mut scored: Vec<Scored<'_>> = views
        .iter()
        .map(|(endpoint, view)| {
            let is_helper = size > 1;
            let pause_loss = view.pause_loss(part_ms, job.cap_ms, is_helper);
            let delays: f64 =
                if is_helper { view.delays(part_ms).map(|(_, loss)| loss).sum() } else { 0.0 };
            let short = if job.cost.is_short() { view.short_answer_cost() } else { 0.0 };
            let read_ms = view.read_in_ms(part_ms, job.cap_ms, size == 1);
            let wait_ms =
                if job.cost.is_short() { memory_shortage_wait_ms(job.ask, view) } else { 0.0 };
            let late = lateness(read_ms + wait_ms, job.ask, job.value);
            let early = read_ms / objective_ms.max(1.0) * READ_TIME_WEIGHT;
            Scored { endpoint, view, pause_loss, score: pause_loss + delays + short + late + early }
        })
        .collect();
    scored.sort_by(|left, right| left.score.total_cmp(&right.score));
    // The main engine comes first, then the engines that a part disturbs least.
    let main_at = choose_main(job, &scored)?;
    scored[..=main_at].rotate_right(1);
    scored.truncate(size);
    let main = scored.first()?;
    if !can_hold(job.ask, &scored, main) {
        return None;
    }
    let first_ms = scored
        .iter()
        .map(|s| s.view.read_in_ms(part_ms, job.cap_ms, std::ptr::eq(s.endpoint, main.endpoint)))
        .fold(0.0, f64::max)
        + memory_wait_ms(job.ask, &scored, main);
    let pause_loss: f64 = scored.iter().map(|s| s.pause_loss).sum();
    let delays = delays(part_ms, &scored[1..]);
    let short = if job.cost.is_short() { main.view.short_answer_cost() } else { 0.0 };
    let taken = scored.iter().filter(|s| s.view.is_clear());
    let blocked: Vec<f64> = taken.map(|s| s.view.blocked_ms(part_ms, job.cap_ms)).collect();
    let lasting = blocked.iter().filter(|ms| **ms > 0.0).count();
    let future = job.demand.loss(job.clear, lasting, blocked.iter().sum());
    let busy = if job.cost.is_short() {
        0.0
    } else {
        job.long_demand.price(job.engines, job.cost.whole_ms)
    };
    let loss = pause_loss
        + delays
        + short
        + future
        + busy
        + lateness(first_ms, job.ask, job.value)
        + main.view.own_pause_loss(job.ask, job.value);
    let adjusted_loss = loss + risk(first_ms, job.ask, job.value, size - 1);
    let helpers = scored.iter().map(|s| s.endpoint).filter(|e| *e != main.endpoint).cloned();
    Some(Candidate {
        main: main.endpoint.clone(),
        helpers: helpers.collect(),
        loss,
        adjusted_loss,
        first_ms,
    })
}

/// Returns the loss of prompts that wait for their first event through the parts of helpers. A
/// prompt's first event follows the last of its parts, so only the longest delay of each prompt
/// counts.
fn delays(part_ms: f64, helpers: &[Scored<'_>]) -> f64 {
    let mut longest: BTreeMap<PromptKey, f64> = BTreeMap::new();
    for (key, loss) in helpers.iter().flat_map(|helper| helper.view.delays(part_ms)) {
        let most = longest.entry(key).or_default();
        *most = most.max(loss);
    }
    longest.values().sum()
}

/// Returns whether a group has memory for a prompt: the capacity of the main engine when it is
/// empty, plus the free memory of the helpers.
fn can_hold(ask: &PromptAsk, members: &[Scored<'_>], main: &Scored<'_>) -> bool {
    let helpers = members.iter().filter(|s| s.endpoint != main.endpoint);
    let kept: u64 = helpers.map(|s| s.view.free_tokens).sum();
    ask.prompt_tokens + ask.answer_tokens <= main.view.usable_tokens + kept
}

/// Expected wait of a prompt for memory that is not free. It is about the duration of a long
/// answer, since long answers hold the most memory.
const MEMORY_WAIT_MS: f64 = 2_000.0;

fn memory_shortage_wait_ms(ask: &PromptAsk, view: &EngineView) -> f64 {
    let need = ask.prompt_tokens + ask.answer_tokens;
    if need > view.free_tokens { MEMORY_WAIT_MS } else { 0.0 }
}

/// Returns the time that a prompt waits for memory in a group. Helpers can hold what the main
/// engine lacks.
fn memory_wait_ms(ask: &PromptAsk, members: &[Scored<'_>], main: &Scored<'_>) -> f64 {
    if memory_shortage_wait_ms(ask, main.view) <= 0.0 {
        return 0.0;
    }
    let free: u64 = members.iter().map(|s| s.view.free_tokens).sum();
    if ask.prompt_tokens + ask.max_answer_tokens > free { MEMORY_WAIT_MS } else { 0.0 }
}

/// Penalty for an engine without the memory to write the answer. It exceeds any loss.
const MEMORY_SHORTAGE_PENALTY: f64 = 1e6;

/// Chooses the main engine and returns its index: an engine with memory for the whole prompt,
/// preferably one that already writes many answers. Answers gather on few engines, so that long
/// parts are read where they disturb none.
fn choose_main(job: &Job<'_>, engines: &[Scored<'_>]) -> Option<usize> {
    let need = job.ask.prompt_tokens + job.ask.max_answer_tokens;
    let adjusted_loss = |s: &Scored<'_>| {
        let lacks = if need > s.view.free_tokens { MEMORY_SHORTAGE_PENALTY } else { 0.0 };
        // The score of a short prompt contains this cost already.
        let answer = if job.cost.is_short() { 0.0 } else { s.view.long_answer_cost() };
        let wait = s.view.slot_free_in_ms / millis(job.ask.whole_objective).max(1.0);
        lacks + s.score + answer + wait + s.view.own_pause_loss(job.ask, job.value)
    };
    let least = |(_, left): &(usize, &Scored<'_>), (_, right): &(usize, &Scored<'_>)| {
        adjusted_loss(left).total_cmp(&adjusted_loss(right))
    };
    engines.iter().enumerate().min_by(least).map(|(at, _)| at)
}

/// Divides a prompt that exceeds the main engine's memory among the engines of the group by their
/// free memory. The main engine keeps the remainder.
fn reserves(
    ask: &PromptAsk,
    views: &[(EndpointStart, EngineView)],
    best: &Candidate,
) -> BTreeMap<EndpointStart, u64> {
    let free_of = |endpoint: &EndpointStart| {
        views.iter().find(|(e, _)| e == endpoint).map_or(0, |(_, view)| view.free_tokens)
    };
    let free = free_of(&best.main).saturating_sub(ask.max_answer_tokens);
    let mut lacking = ask.prompt_tokens.saturating_sub(free);
    let mut roomy: Vec<(u64, &EndpointStart)> =
        best.helpers.iter().map(|endpoint| (free_of(endpoint), endpoint)).collect();
    roomy.sort_by(|left, right| right.cmp(left));
    let mut reserves = BTreeMap::new();
    for (free, endpoint) in roomy {
        let part = free.min(lacking);
        if part > 0 {
            reserves.insert(endpoint.clone(), part);
            lacking -= part;
        }
    }
    reserves
}

/// Builds the plan that the entry receives.
pub(crate) fn build_plan(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
    profile: &EngineProfile,
    best: &Candidate,
) -> PromptPlan {
    let reserves = reserves(job.ask, views, best);
    let main_pass_ms = views
        .iter()
        .find(|(endpoint, _)| *endpoint == best.main)
        .map_or(0.0, |(_, view)| view.answer_pass_ms())
        .max(profile.step_ms * f64::from(profile.steps_per_pass));
    let passes = job.ask.answer_tokens as f64 / f64::from(profile.steps_per_pass);
    let helper = |endpoint: &EndpointStart| HelperPart {
        endpoint: endpoint.clone(),
        reserve_tokens: reserves.get(endpoint).copied(),
    };
    PromptPlan {
        main: best.main.clone(),
        helpers: best.helpers.iter().map(helper).collect(),
        engine_priority: engine_priority(job.ask),
        first_event: Duration::from_secs_f64(best.first_ms.max(0.0) / 1_000.0),
        whole: Duration::from_secs_f64((best.first_ms + passes * main_pass_ms) / 1_000.0),
    }
}

/// Maps the objective to the engines' priorities: prompts that are due soon are admitted first.
fn engine_priority(ask: &PromptAsk) -> u8 {
    match ask.objective.as_millis() {
        0..=500 => 2,
        501..=1_800 => 4,
        _ => 6,
    }
}
