//! Offers prompts to a fleet in logical time. The engines work as their profile says, and the fleet
//! learns of first events and ends, as from the entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_limits::{PermitWaiter, RequestRank, WaiterId};
use oriolepass_placement::{
    AnswerEnd, EngineFarm, EngineFleet, PassPrompt, PlacementFeatures, PlacementRefusal, PromptAsk,
    PromptKey, RefusalReason,
};
use oriolepass_routing::EngineProfile;
use oriolepass_units::MonotonicTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::common;

/// Share of its objective for which a prompt asks again before it is refused.
const PATIENCE_SHARE: f64 = 0.22;

/// Time between two asks of a prompt that waits.
const ASK_INTERVAL_MS: u64 = 100;

/// Time after which a caller leaves.
const CALLER_TIMEOUT_MS: u64 = 15_000;

/// Prompts of about one size.
#[derive(Debug, Clone, Copy)]
pub struct LoadKind {
    pub per_s: f64,
    pub mean_tokens: u64,
    pub objective_ms: u64,
    pub pause_ms: u64,
    pub priority: u8,
}

/// What became of an offered prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadEnd {
    Refused {
        reason: RefusalReason,
        waited_ms: u64,
    },
    /// Late, or not answered while the caller waited.
    Late,
    OnTime,
}

#[derive(Debug, Clone)]
pub struct OfferedPrompt {
    pub at_ms: u64,
    pub kind: usize,
    pub tokens: u64,
    pub account: usize,
    pub end: LoadEnd,
}

/// Draws the prompts of a span. Sizes vary by a factor of three to either side, few are large.
/// `account` draws the account of each prompt.
pub fn offered(
    seed: u64,
    span_ms: u64,
    kinds: &[LoadKind],
    account: impl Fn(&mut StdRng) -> usize,
) -> Vec<OfferedPrompt> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut prompts = Vec::new();
    for (kind, load) in kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            at_ms += -random.random_range(f64::EPSILON..1.0).ln() / load.per_s * 1_000.0;
            if at_ms > span_ms as f64 {
                break;
            }
            let spread = (0..3).map(|_| random.random_range(-0.4..0.4)).sum::<f64>();
            let tokens = (load.mean_tokens as f64 * spread.exp()) as u64;
            let (at_ms, account) = (at_ms as u64, account(&mut random));
            prompts.push(OfferedPrompt { at_ms, kind, tokens, account, end: LoadEnd::Late });
        }
    }
    prompts.sort_by_key(|prompt| prompt.at_ms);
    prompts
}

/// Returns the request for the placement of a prompt that arrived `waited_ms` ago.
pub fn ask(number: usize, kind: &LoadKind, prompt: &OfferedPrompt, waited_ms: u64) -> PromptAsk {
    let key = PromptKey { entry: 1, number: number as u64 };
    let account = format!("account-{}", prompt.account).parse().expect("a valid name");
    let rank = RequestRank { priority: kind.priority, account: Some(account) };
    let patience = kind.objective_ms as f64 * PATIENCE_SHARE - waited_ms as f64;
    let patience = Duration::from_millis(patience.max(0.0) as u64);
    let id = WaiterId { entry: key.entry, number: key.number };
    let base = common::prompt(key, prompt.tokens, kind.objective_ms, kind.pause_ms);
    PromptAsk {
        answer_tokens: 600,
        max_answer_tokens: 1_200,
        objective: Duration::from_millis(kind.objective_ms.saturating_sub(waited_ms)),
        deadline: Duration::from_millis(CALLER_TIMEOUT_MS - waited_ms),
        patience,
        waiter: Some(PermitWaiter { id, rank, patience }),
        ..base
    }
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

/// Progress of an answer, in milliseconds.
struct OpenAnswer {
    last_ms: f64,
    is_on_time: bool,
    has_begun: bool,
}

/// Offers prompts to `engines` engines and records what became of them.
pub fn run(
    engines: usize,
    profile: &Arc<EngineProfile>,
    features: PlacementFeatures,
    kinds: &[LoadKind],
    prompts: &mut [OfferedPrompt],
) {
    let mut fleet: EngineFleet = common::fleet(engines, profile);
    fleet.set_features(features);
    let mut farm = EngineFarm::new(AnswerEnd::ByCount);
    (0..engines).for_each(|number| farm.add(&common::endpoint(number), profile));
    let mut open: BTreeMap<usize, OpenAnswer> = BTreeMap::new();
    let mut asks: BTreeMap<(u64, usize), u64> =
        prompts.iter().enumerate().map(|(number, p)| ((p.at_ms, number), 0)).collect();
    let mut now_ms = 0;
    while !asks.is_empty() || !open.is_empty() {
        now_ms = asks.first_key_value().map_or(now_ms + 100, |((at_ms, _), _)| *at_ms);
        for event in farm.advance(now_ms as f64) {
            let number = event.key.number as usize;
            let Some(answer) = open.get_mut(&number) else { continue };
            let prompt = &mut prompts[number];
            let kind = &kinds[prompt.kind];
            let limit_ms = if answer.has_begun { kind.pause_ms } else { kind.objective_ms };
            answer.is_on_time &= event.at_ms - answer.last_ms <= limit_ms as f64;
            answer.last_ms = event.at_ms;
            if !std::mem::replace(&mut answer.has_begun, true) {
                fleet.first_event(at(event.at_ms as u64), event.key);
            }
            if event.is_last {
                prompt.end = if answer.is_on_time { LoadEnd::OnTime } else { LoadEnd::Late };
                fleet.ended(at(event.at_ms as u64), event.key);
                farm.remove(event.key);
                open.remove(&number);
            }
        }
        open.retain(|number, _| {
            let is_left = now_ms > prompts[*number].at_ms + CALLER_TIMEOUT_MS;
            if is_left {
                let key = PromptKey { entry: 1, number: *number as u64 };
                fleet.ended(at(now_ms), key);
                farm.remove(key);
            }
            !is_left
        });
        let Some(((at_ms, number), waited_ms)) = asks.pop_first() else { continue };
        let prompt = &prompts[number];
        let ask = ask(number, &kinds[prompt.kind], prompt, waited_ms);
        match fleet.place(at(at_ms), &ask) {
            Ok(plan) => {
                let taken = PassPrompt {
                    key: ask.key,
                    prompt_tokens: prompt.tokens,
                    parts: plan.helpers.len() as u32 + 1,
                    answer_tokens: ask.answer_tokens,
                    priority: plan.engine_priority,
                    tokens_at_helpers: plan.helpers.iter().filter_map(|h| h.reserve_tokens).sum(),
                };
                if farm.take(at_ms as f64, &plan.main, &plan.helpers, &taken) {
                    let last_ms = prompt.at_ms as f64;
                    let answer = OpenAnswer { last_ms, is_on_time: true, has_begun: false };
                    open.insert(number, answer);
                } else {
                    fleet.ended(at(at_ms), ask.key);
                }
            }
            Err(refusal) if !refusal.is_final_for(&ask) => {
                asks.insert((at_ms + ASK_INTERVAL_MS, number), waited_ms + ASK_INTERVAL_MS);
            }
            Err(PlacementRefusal { reason, .. }) => {
                prompts[number].end = LoadEnd::Refused { reason, waited_ms };
            }
        }
    }
}

/// Returns the share of the prompts for which `is_counted` holds that were served, and of those
/// that were on time.
pub fn shares(
    prompts: &[OfferedPrompt],
    is_counted: impl Fn(&OfferedPrompt) -> bool,
) -> (f64, f64) {
    let counted: Vec<&OfferedPrompt> = prompts.iter().filter(|p| is_counted(p)).collect();
    let share = |is_end: &dyn Fn(LoadEnd) -> bool| {
        counted.iter().filter(|prompt| is_end(prompt.end)).count() as f64 / counted.len() as f64
    };
    (share(&|end| !matches!(end, LoadEnd::Refused { .. })), share(&|end| end == LoadEnd::OnTime))
}
