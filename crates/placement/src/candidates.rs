//! Selects the engines that may serve a prompt.

use std::hash::{Hash, Hasher};

use oriolepass_limits::{PermitForecast, PermitWaiter, QueueVerdict, RequestRank, WaiterId};
use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::appointment::ReturnTurn;
use crate::cost::EngineView;
use crate::engine::EngineEntry;
use crate::fleet::EngineFleet;
use crate::plan::{PlacementRefusal, PromptAsk, PromptKey, RefusalReason};
use crate::scope::EngineScope;

impl EngineFleet {
    pub(crate) fn usable(
        &self,
        now: MonotonicTime,
        ask: &PromptAsk,
        scope: EngineScope,
    ) -> Vec<EndpointStart> {
        let takes_work = |engine: &&EngineEntry| {
            let facts = &engine.facts;
            let is_within_limit = |max_per_s| {
                scope.allows_limited(&facts.endpoint) && engine.is_below_limit(now, max_per_s)
            };
            facts.service == ask.service
                && facts.takes_work
                && !ask.resting.contains(&facts.endpoint)
                && now >= engine.backoff_until
                && (facts.limit.is_none() || scope.allows_limited(&facts.endpoint))
                && facts.max_prompts_per_s.is_none_or(is_within_limit)
        };
        let all: Vec<EndpointStart> = self
            .engines
            .values()
            .filter(takes_work)
            .map(|engine| engine.facts.endpoint.clone())
            .collect();
        let is_slow = |endpoint: &EndpointStart| {
            self.engines.get(endpoint).is_some_and(|engine| now < engine.slow_until)
        };
        let preferred: Vec<EndpointStart> =
            all.iter().filter(|endpoint| !ask.avoid.contains(endpoint)).cloned().collect();
        let preferred = if preferred.is_empty() { all } else { preferred };
        let quick: Vec<EndpointStart> =
            preferred.iter().filter(|endpoint| !is_slow(endpoint)).cloned().collect();
        if quick.is_empty() { preferred } else { quick }
    }

    /// Returns the engines without a limit and those with a permit for a request. If all engines
    /// name limits, the prompts that wait take the permits in turn.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::AtLimit`] with the time after which the prompt should ask again.
    pub(crate) fn with_permits(
        &mut self,
        now: MonotonicTime,
        ask: &PromptAsk,
        scope: EngineScope,
        mut usable: Vec<EndpointStart>,
    ) -> Result<Vec<EndpointStart>, PlacementRefusal> {
        let mut limited = 0;
        for endpoint in &usable {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.update_permits(now, scope.issuer_role());
                limited += usize::from(engine.permits.is_some());
            }
        }
        if limited == 0 {
            return Ok(usable);
        }
        if limited == usable.len() {
            let buckets = usable.iter().filter_map(|e| self.engines.get(e)?.permits.as_ref());
            let forecast = PermitForecast::of(now, buckets);
            let waiter = ask.waiter.clone().unwrap_or_else(|| PermitWaiter {
                id: WaiterId { entry: ask.key.entry, number: ask.key.number },
                rank: RequestRank::default(),
                patience: ask.patience,
            });
            let queue = self.permit_queues.entry(ask.service.clone()).or_default();
            match queue.ask(now, &waiter, &forecast) {
                QueueVerdict::Take => {}
                QueueVerdict::Wait(after) | QueueVerdict::Refuse(after) => {
                    let reason = RefusalReason::AtLimit;
                    let turn = ReturnTurn::Unknown;
                    return Err(PlacementRefusal { reason, retry_after: after, turn });
                }
            }
        }
        usable.retain(|endpoint| self.engines.get(endpoint).is_some_and(|e| e.has_permit(now)));
        Ok(usable)
    }
}

/// Number of idle engines to keep for long prompts: enough for three at a time, each read by at
/// most sixteen engines.
const IDLE_RESERVE: f64 = 48.0;

/// Returns the weight for gathering answers on few engines: 1 with up to `IDLE_RESERVE` idle
/// engines, decreasing linearly to 0 at twice that number.
///
/// With enough idle engines, gathering only delays first events, which wait for the pass of other
/// answers on the same engine.
pub(crate) fn gather_weight(views: &[(EndpointStart, EngineView)]) -> f64 {
    let idle = views.iter().filter(|(_, view)| view.is_idle()).count() as f64;
    (1.0 - (idle - IDLE_RESERVE) / IDLE_RESERVE).clamp(0.0, 1.0)
}

/// Number of engines considered for a short prompt if at least twice as many are usable. Bounds the
/// time of a decision and is large enough that the sample likely contains an idle engine.
const SHORT_SAMPLE: usize = 128;

/// Reduces `engines` to `SHORT_SAMPLE` consecutive ones if there are at least twice as many. The
/// start depends on the prompt, so that prompts are spread over all engines.
pub(crate) fn sample_engines(key: PromptKey, engines: &mut Vec<EndpointStart>) {
    if engines.len() >= 2 * SHORT_SAMPLE {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        key.entry.hash(&mut hasher);
        key.number.hash(&mut hasher);
        let start = (hasher.finish() % engines.len() as u64) as usize;
        engines.rotate_left(start);
        engines.truncate(SHORT_SAMPLE);
    }
}

/// Returns a hash of prompt and engine that orders the engines differently for each prompt.
pub(crate) fn rendezvous_hash(key: PromptKey, endpoint: &EndpointStart) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    key.entry.hash(&mut hasher);
    key.number.hash(&mut hasher);
    endpoint.hash(&mut hasher);
    hasher.finish()
}

/// Returns the engines with the fewest suspects, and among them those with the fewest prompts.
///
/// A suspect is a prompt that engines were serving when they ended. On the returned engines, a
/// further end interrupts as few other streams as possible. It also identifies the cause: when a
/// dozen prompts lose one engine together, each of them is placed on a different engine.
pub(crate) fn least_disturbing(
    views: &[(EndpointStart, EngineView)],
) -> Vec<(EndpointStart, EngineView)> {
    let disturbs = |view: &EngineView| {
        let suspects = view.neighbours.iter().filter(|neighbour| neighbour.is_suspect).count();
        (suspects, view.load)
    };
    let least = views.iter().map(|(_, view)| disturbs(view)).min();
    views.iter().filter(|(_, view)| Some(disturbs(view)) == least).cloned().collect()
}
