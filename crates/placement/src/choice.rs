//! The choice of a group of engines for one prompt: every size is priced, and the least loss wins.

use std::collections::BTreeMap;

use oriolepass_units::EndpointStart;

use crate::cost::{EngineView, LongDemand, ReadCost, ShortDemand, lateness, millis, risk};
use crate::plan::{PromptAsk, PromptKey};

/// Numbers of engines that may read one prompt; the most is the engines' own limit and the one
/// that writes.
const GROUP_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16];

/// Between engines that lose equally little, the one that reads a part sooner is better by this much for
/// a whole objective: less than any loss that counts.
const EARLY_TIE: f64 = 0.02;

/// One way to place a prompt.
pub(crate) struct Candidate {
    pub(crate) main: EndpointStart,
    pub(crate) others: Vec<EndpointStart>,
    /// What the prompt and others are expected to lose.
    pub(crate) loss: f64,
    /// The loss, and what it may still lose until its first event.
    pub(crate) badness: f64,
    pub(crate) first_ms: f64,
}

/// What is to be placed, and what it costs.
pub(crate) struct Job<'a> {
    pub(crate) ask: &'a PromptAsk,
    pub(crate) cost: ReadCost,
    pub(crate) value: f64,
    /// The most milliseconds of reading that fit into one pass.
    pub(crate) cap_ms: f64,
    /// Engines that take work.
    pub(crate) engines: usize,
    /// Engines that would serve a short prompt on time.
    pub(crate) clear: usize,
    pub(crate) demand: ShortDemand,
    pub(crate) long_demand: LongDemand,
}

/// A long prompt that may wait is not put behind more reading than this part of its objective: what is
/// placed later goes ahead of it there, since helpers' parts are read first, so it keeps its turn better
/// here.
const BACKLOG_SHARE: f64 = 0.4;

/// Returns the engines behind whose reading a prompt may be put.
pub(crate) fn without_backlog(
    job: &Job<'_>,
    mut views: Vec<(EndpointStart, EngineView)>,
) -> Vec<(EndpointStart, EngineView)> {
    if !job.cost.is_short() && !job.ask.patience.is_zero() {
        let most_ms = millis(job.ask.whole_objective) * BACKLOG_SHARE;
        views.retain(|(_, view)| view.residual_ms + view.unread_ms <= most_ms);
    }
    views
}

/// Chooses a group of engines; none where no group can hold the prompt.
pub(crate) fn best_group(
    job: &Job<'_>,
    views: &[(EndpointStart, EngineView)],
) -> Option<Candidate> {
    GROUP_SIZES
        .into_iter()
        .take_while(|size| *size == 1 || (*size <= views.len() && !job.cost.is_short()))
        .filter_map(|size| best_of_size(job, views, size))
        .min_by(|left, right| left.badness.total_cmp(&right.badness))
}

/// An engine with what a part of the job would do to it.
struct Scored<'a> {
    endpoint: &'a EndpointStart,
    view: &'a EngineView,
    damage: f64,
    score: f64,
}

/// Finds the best group of one size: the engine that is best for writing, which receives the request, and
/// helpers among those that a part disturbs least.
fn best_of_size(
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
            let damage = view.damage(part_ms, job.cap_ms, is_helper);
            let delays: f64 =
                if is_helper { view.delays(part_ms).map(|(_, loss)| loss).sum() } else { 0.0 };
            let short = if job.cost.is_short() { view.short_answer_cost() } else { 0.0 };
            let read_ms = view.read_in_ms(part_ms, job.cap_ms, size == 1);
            let wait_ms = if job.cost.is_short() { lacking_wait_ms(job.ask, view) } else { 0.0 };
            let late = lateness(read_ms + wait_ms, job.ask, job.value);
            let early = read_ms / objective_ms.max(1.0) * EARLY_TIE;
            Scored { endpoint, view, damage, score: damage + delays + short + late + early }
        })
        .collect();
    scored.sort_by(|left, right| left.score.total_cmp(&right.score));
    // The one that writes, then those that a part disturbs least.
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
    let damage: f64 = scored.iter().map(|s| s.damage).sum();
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
    let loss = damage + delays + short + future + busy + lateness(first_ms, job.ask, job.value);
    let badness = loss + risk(first_ms, job.ask, job.value, size - 1);
    let others = scored.iter().map(|s| s.endpoint).filter(|e| *e != main.endpoint).cloned();
    Some(Candidate {
        main: main.endpoint.clone(),
        others: others.collect(),
        loss,
        badness,
        first_ms,
    })
}

/// Returns what prompts that wait for their first event lose by the parts of helpers. A prompt's first event
/// follows the last of its parts, so the longest delay counts and not each.
fn delays(part_ms: f64, helpers: &[Scored<'_>]) -> f64 {
    let mut longest: BTreeMap<PromptKey, f64> = BTreeMap::new();
    for (key, loss) in helpers.iter().flat_map(|helper| helper.view.delays(part_ms)) {
        let most = longest.entry(key).or_default();
        *most = most.max(loss);
    }
    longest.values().sum()
}

/// Returns whether a group has memory for a prompt at all: what its main engine can hold when it
/// is empty, and what the others have free now.
fn can_hold(ask: &PromptAsk, members: &[Scored<'_>], main: &Scored<'_>) -> bool {
    let others = members.iter().filter(|s| s.endpoint != main.endpoint);
    let kept: u64 = others.map(|s| s.view.free_tokens).sum();
    ask.prompt_tokens + ask.answer_tokens <= main.view.usable_tokens + kept
}

/// How long a prompt waits where its memory is not free, in milliseconds: about as long as a
/// long answer takes, since those hold the most.
const MEMORY_WAIT_MS: f64 = 2_000.0;

fn lacking_wait_ms(ask: &PromptAsk, view: &EngineView) -> f64 {
    let need = ask.prompt_tokens + ask.answer_tokens;
    if need > view.free_tokens { MEMORY_WAIT_MS } else { 0.0 }
}

/// Returns how long a prompt waits for memory in a group: what the main engine lacks can be kept
/// by the others.
fn memory_wait_ms(ask: &PromptAsk, members: &[Scored<'_>], main: &Scored<'_>) -> f64 {
    if lacking_wait_ms(ask, main.view) <= 0.0 {
        return 0.0;
    }
    let free: u64 = members.iter().map(|s| s.view.free_tokens).sum();
    if ask.prompt_tokens + ask.max_answer_tokens > free { MEMORY_WAIT_MS } else { 0.0 }
}

/// What an engine is worse by that lacks the memory to write, beyond any loss.
const LACKS_MEMORY: f64 = 1e6;

/// Chooses the engine that writes, and returns its index: one with memory for the whole, where most answers
/// are written already. Answers gather on few engines, so that long parts are read where they disturb nobody.
fn choose_main(job: &Job<'_>, engines: &[Scored<'_>]) -> Option<usize> {
    let need = job.ask.prompt_tokens + job.ask.max_answer_tokens;
    let badness = |s: &Scored<'_>| {
        let lacks = if need > s.view.free_tokens { LACKS_MEMORY } else { 0.0 };
        // The score of a short prompt counts it already.
        let answer = if job.cost.is_short() { 0.0 } else { s.view.long_answer_cost() };
        let wait = s.view.room_in_ms / millis(job.ask.whole_objective).max(1.0);
        lacks + s.score + answer + wait
    };
    let least = |(_, left): &(usize, &Scored<'_>), (_, right): &(usize, &Scored<'_>)| {
        badness(left).total_cmp(&badness(right))
    };
    engines.iter().enumerate().min_by(least).map(|(at, _)| at)
}

/// Divides a prompt that the main engine's memory cannot hold among the group's engines, by
/// what they have free. What is left over goes to the main engine.
pub(crate) fn reserves(
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
        best.others.iter().map(|endpoint| (free_of(endpoint), endpoint)).collect();
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
