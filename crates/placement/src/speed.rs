//! Estimates the real speed of each engine from observations of its prompts.
//!
//! An observation is the ratio of an observed duration to the one that the published profile
//! predicts. Engines are compared with each other, because a ratio has other causes than a slow
//! engine:
//!
//! - A slow instance or link delays all prompts of one entry. An observation is divided by what its
//!   entry observes on other engines at the time.
//! - A wrong prediction applies to all engines. An engine is divided by the median of its service.
//! - A single prompt may be delayed by work that this home does not know of. An engine counts as
//!   slow only if its newest observations agree.
//!
//! An estimate fades without new observations, so that an engine that has recovered gets work
//! again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::cost::millis;
use crate::plan::PromptKey;

/// Maximum slowdown. The passes of an engine that is slower still take seconds, which callers do
/// not wait for.
const MAX_SLOWDOWN: f64 = 8.0;

/// Slowdown below which an engine counts as of published speed. Predictions err by as much.
const MIN_SLOWDOWN: f64 = 1.5;

/// Slowdown from which an engine is reported as slow.
const SLOW_ENGINE_SLOWDOWN: f64 = 2.0;

/// Number of the newest observations that have to agree.
const JUDGED_OBSERVATIONS: usize = 3;

/// Time within which observations of an engine count as one, by the least of them: several answers
/// observe the same pass.
const OBSERVATION_SPACING: Duration = Duration::from_millis(200);

/// Number of observations kept for an engine: those of several answers, some of which may count
/// only once.
const KEPT_OBSERVATIONS: usize = 24;

/// Age from which an observation no longer counts. It is longer than [`FADE_END`], so that one slow
/// prompt after the fade confirms the earlier estimate.
const OBSERVATION_TTL: Duration = Duration::from_secs(4);

/// Time after the newest observation for which an estimate applies in full. Entries repeat their
/// notes about slow answers within it.
const FADE_START: Duration = Duration::from_millis(800);

/// Time after the newest observation from which an engine counts as of published speed again.
const FADE_END: Duration = Duration::from_millis(2_400);

/// Duration within which observations of one entry are compared with each other.
const ENTRY_WINDOW: Duration = Duration::from_secs(2);

/// Rank of the observation, as a share of all, that an entry is expected to make on an engine of
/// published speed. It is below the median because entries report pauses of slow answers only.
const ENTRY_REFERENCE_SHARE: f64 = 0.25;

/// Delay of a first event that no engine causes: hops between instances, a connection, a busy
/// processor.
const FIRST_EVENT_SLACK_MS: f64 = 40.0;

/// Shortest prediction of a first event that is compared. Below it, the ratio shows scheduling
/// noise.
const MIN_FIRST_EVENT_MS: f64 = 25.0;

/// The pace at which an engine writes an answer, as its entry observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNote {
    /// The prompt.
    pub key: PromptKey,
    /// Number of pauses between events that the note covers.
    pub pauses: u32,
    /// Total duration of these pauses, without the time in which the caller did not read.
    pub total: Duration,
}

/// An engine that began or ceased to count as slow.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// The engine.
    pub endpoint: EndpointStart,
    /// Whether the engine counts as slow.
    pub is_slow: bool,
    /// Duration of a pass relative to the published one.
    pub slowdown: f64,
    /// The newest observations, corrected by what their entries observe on other engines.
    pub observations: Vec<f64>,
    /// Number of entries that made them.
    pub entries: usize,
    /// Median of the observations of all engines of the service.
    pub common: f64,
}

/// The durations that the published profile predicts for a prompt. Durations are in milliseconds.
#[derive(Debug, Clone)]
pub(crate) struct ExpectedPace {
    pub(crate) placed_ms: f64,
    pub(crate) first_event_ms: f64,
    /// The same without any wait for other prompts: the pass that reads the prompt.
    pub(crate) own_pass_ms: f64,
    pub(crate) pause_ms: f64,
    /// Whether one engine reads the whole prompt. Otherwise it is not known which engine delays the
    /// first event.
    pub(crate) is_unsplit: bool,
    /// Published duration of the main engine's passes up to the placement.
    pub(crate) placed_work_ms: f64,
    /// The same up to the first event in the simulation.
    pub(crate) first_work_ms: Option<f64>,
    /// The same up to the newest event in the simulation.
    pub(crate) last_work_ms: f64,
    /// The same up to the event where the present count of pauses begins.
    pub(crate) counted_work_ms: f64,
    /// Number of pauses in the simulation since then.
    pub(crate) pauses: u32,
}

impl ExpectedPace {
    /// Records an event of the simulation.
    pub(crate) fn record_event(&mut self, work_ms: f64) {
        if self.first_work_ms.is_none() {
            self.first_work_ms = Some(work_ms);
            self.counted_work_ms = work_ms;
        } else {
            self.pauses += 1;
        }
        self.last_work_ms = work_ms;
    }

    /// Returns the ratio of the time until the first event to the predicted one, if it shows the
    /// speed of one engine. `work_ms` is the published duration of the engine's passes up to now.
    pub(crate) fn first_event_ratio(&self, now_ms: f64, work_ms: f64) -> Option<f64> {
        if !self.is_unsplit {
            return None;
        }
        // Parts of later prompts may have been read first, which the simulation includes.
        let simulated_ms = self.first_work_ms.unwrap_or(work_ms) - self.placed_work_ms;
        let expected_ms = simulated_ms.max(self.first_event_ms).max(MIN_FIRST_EVENT_MS);
        let observed_ms = now_ms - self.placed_ms;
        if observed_ms < self.own_pass_ms * SLOW_ENGINE_SLOWDOWN {
            return Some((observed_ms / self.own_pass_ms).min(1.0));
        }
        let without_slack_ms = observed_ms - FIRST_EVENT_SLACK_MS;
        // In between, the prediction of the wait may be too long, or the delay not the engine's.
        (without_slack_ms >= expected_ms * MIN_SLOWDOWN).then_some(observed_ms / expected_ms)
    }

    /// Returns the ratio of an answer's pauses to the predicted ones, if they are longer, and begins
    /// a new count.
    pub(crate) fn pause_ratio(&mut self, note: &PaceNote) -> Option<f64> {
        let pauses = std::mem::take(&mut self.pauses);
        let simulated_ms = self.last_work_ms - self.counted_work_ms;
        self.counted_work_ms = self.last_work_ms;
        let mean_ms = if pauses > 0 { simulated_ms / f64::from(pauses) } else { 0.0 };
        let expected_ms = mean_ms.max(self.pause_ms);
        let observed_ms = millis(note.total) / f64::from(note.pauses.max(1));
        // Entries report slow pauses only: those that reading explains say nothing of the others.
        let is_slow = note.pauses > 0 && observed_ms >= expected_ms * MIN_SLOWDOWN;
        (expected_ms > 0.0 && is_slow).then(|| observed_ms / expected_ms)
    }
}

/// What an observation compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ObservationKind {
    /// The time until a first event.
    FirstEvent,
    /// The pauses of a slow answer.
    Pauses,
}

#[derive(Debug, Clone, Copy)]
struct SpeedObservation {
    at: MonotonicTime,
    entry: u64,
    kind: ObservationKind,
    ratio: f64,
}

/// The observations of one engine's speed and what follows from them.
#[derive(Debug, Default)]
pub(crate) struct EngineSpeed {
    /// The newest observations, the newest last.
    observations: VecDeque<SpeedObservation>,
    /// The estimate before it fades.
    pub(crate) unfaded: f64,
    /// Whether the engine has been reported as slow.
    is_slow: bool,
}

impl EngineSpeed {
    /// Records an observation that one entry made.
    pub(crate) fn observe(
        &mut self,
        at: MonotonicTime,
        entry: u64,
        kind: ObservationKind,
        ratio: f64,
    ) {
        // Prompts that a suspended entry reports late have the same delay, whatever was predicted.
        let ratio = ratio.min(MAX_SLOWDOWN);
        let index = self.observations.partition_point(|seen| seen.at <= at);
        self.observations.insert(index, SpeedObservation { at, entry, kind, ratio });
        if self.observations.len() > KEPT_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    /// Removes observations that no longer count.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.observations.retain(|seen| now.since(seen.at) < OBSERVATION_TTL);
    }

    /// Returns whether there is no observation that counts.
    pub(crate) fn is_unknown(&self) -> bool {
        self.observations.is_empty()
    }

    fn has_pauses_of(&self, entry: u64) -> bool {
        let mut pauses =
            self.observations.iter().filter(|seen| seen.kind == ObservationKind::Pauses);
        pauses.any(|seen| seen.entry == entry)
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Sets whether the engine is reported as slow. Returns whether that has changed.
    pub(crate) fn update_slow(&mut self, slowdown: f64) -> bool {
        let was_slow = self.is_slow;
        self.is_slow = slowdown >= if was_slow { MIN_SLOWDOWN } else { SLOW_ENGINE_SLOWDOWN };
        self.is_slow != was_slow
    }

    /// Returns how much of an estimate applies after the time without a new observation, from 0 to
    /// 1.
    fn weight(&self, now: MonotonicTime) -> f64 {
        let Some(newest) = self.observations.back() else { return 0.0 };
        let fade = millis(FADE_END - FADE_START);
        let left = millis(FADE_END) - millis(now.since(newest.at));
        (left / fade).clamp(0.0, 1.0)
    }

    /// Returns the newest observations that judge the engine, corrected by what their entries
    /// observe on other engines, and the number of these entries.
    fn judged(&self, references: &EntryReferences) -> (Vec<f64>, usize) {
        let mut entries: Vec<u64> = Vec::new();
        let mut judged: Vec<f64> = Vec::new();
        let mut judged_at = None;
        for seen in self.observations.iter().rev() {
            let is_repeated = entries.contains(&seen.entry);
            if !is_repeated {
                entries.push(seen.entry);
            }
            let ratio = match references.reference(seen) {
                Some(reference) => seen.ratio / reference,
                // An entry that sees no other engine may be slow itself.
                None if !is_repeated => seen.ratio,
                None => continue,
            };
            let is_same =
                judged_at.is_some_and(|at: MonotonicTime| at.since(seen.at) < OBSERVATION_SPACING);
            let is_enough = judged.len() == JUDGED_OBSERVATIONS;
            match judged.last_mut().filter(|_| is_same) {
                Some(least) => *least = least.min(ratio),
                None if is_enough => break,
                None => {
                    judged.push(ratio);
                    judged_at = Some(seen.at);
                }
            }
        }
        (judged, entries.len())
    }
}

/// The observations that are compared with each other: those of one entry, kind and window of time.
type ReferenceKey = (u64, ObservationKind, u64);

/// What each entry observes on engines of published speed, at least 1.
#[derive(Debug, Default)]
struct EntryReferences(BTreeMap<ReferenceKey, f64>);

impl EntryReferences {
    fn of(engines: &[JudgedEngine<'_>]) -> Self {
        // Each engine counts once, by the least ratio that the entry observes there.
        let mut ratios: BTreeMap<ReferenceKey, Vec<f64>> = BTreeMap::new();
        let mut silent_engines: BTreeMap<u64, usize> = BTreeMap::new();
        for engine in engines {
            let mut of_engine: BTreeMap<ReferenceKey, f64> = BTreeMap::new();
            for seen in &engine.speed.observations {
                let least = of_engine.entry(key_of(seen)).or_insert(f64::INFINITY);
                *least = least.min(seen.ratio);
            }
            for (key, ratio) in of_engine {
                ratios.entry(key).or_default().push(ratio);
            }
            for entry in engine.writers.iter().filter(|entry| !engine.speed.has_pauses_of(**entry))
            {
                *silent_engines.entry(*entry).or_default() += 1;
            }
        }
        let reference = |(key, mut ratios): (ReferenceKey, Vec<f64>)| {
            // An entry reports slow pauses only. Without a report, its answers are not slow.
            if key.1 == ObservationKind::Pauses {
                let silent = silent_engines.get(&key.0).copied().unwrap_or_default();
                ratios.extend(std::iter::repeat_n(1.0, silent));
            }
            (ratios.len() > 1).then(|| (key, quantile(ratios, ENTRY_REFERENCE_SHARE).max(1.0)))
        };
        Self(ratios.into_iter().filter_map(reference).collect())
    }

    /// Returns the reference for an observation, or `None` if its entry sees no other engine.
    fn reference(&self, seen: &SpeedObservation) -> Option<f64> {
        self.0.get(&key_of(seen)).copied()
    }
}

fn key_of(seen: &SpeedObservation) -> ReferenceKey {
    (seen.entry, seen.kind, seen.at.0 / ENTRY_WINDOW.as_micros() as u64)
}

/// Returns the value at a share of the sorted values, rounded down, or 1 without values.
fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len().saturating_sub(1) as f64 * share) as usize;
    values.get(at).copied().unwrap_or(1.0)
}

/// An engine whose speed is estimated.
pub(crate) struct JudgedEngine<'a> {
    pub(crate) speed: &'a EngineSpeed,
    /// The entries whose answers it writes. Without observations, it then counts as of published
    /// speed, because entries would report slow pauses.
    pub(crate) writers: Vec<u64>,
    /// Whether a prompt waits there for its first event. The estimate does not fade meanwhile, so
    /// that one prompt at a time finds out whether the engine has recovered.
    pub(crate) has_probe: bool,
}

/// The estimated speed of one engine.
#[derive(Debug, Clone)]
pub(crate) struct SpeedEstimate {
    /// Duration of a pass relative to the published one, from 1 to [`MAX_SLOWDOWN`].
    pub(crate) slowdown: f64,
    /// The slowdown before it faded.
    pub(crate) unfaded: f64,
    /// The observations from which it follows, and the number of their entries.
    pub(crate) observations: Vec<f64>,
    pub(crate) entries: usize,
    /// Median of all engines of the service.
    pub(crate) common: f64,
}

/// Estimates the speeds of the engines of one service, in the order of `engines`.
pub(crate) fn estimate_speeds(
    now: MonotonicTime,
    engines: &[JudgedEngine<'_>],
) -> Vec<SpeedEstimate> {
    let references = EntryReferences::of(engines);
    let judged: Vec<(Vec<f64>, usize)> =
        engines.iter().map(|engine| engine.speed.judged(&references)).collect();
    let least = |observations: &[f64]| observations.iter().copied().reduce(f64::min);
    let known_ratio = |((observations, _), engine): (&(Vec<f64>, usize), &JudgedEngine<'_>)| {
        least(observations).or((!engine.writers.is_empty()).then_some(1.0))
    };
    let known = judged.iter().zip(engines).filter_map(known_ratio).collect();
    let common = quantile(known, 0.5).max(1.0);
    let estimate = |((observations, entries), engine): (_, &JudgedEngine<'_>)| {
        let observations: Vec<f64> = observations;
        let is_judged = observations.len() >= JUDGED_OBSERVATIONS;
        let ratio = least(&observations).filter(|_| is_judged).unwrap_or(1.0) / common;
        let unfaded = published_below_min(ratio.min(MAX_SLOWDOWN));
        let weight = if engine.has_probe { 1.0 } else { engine.speed.weight(now) };
        let slowdown = published_below_min(1.0 + (unfaded - 1.0) * weight);
        SpeedEstimate { slowdown, unfaded, observations, entries, common }
    };
    judged.into_iter().zip(engines).map(estimate).collect()
}

fn published_below_min(slowdown: f64) -> f64 {
    if slowdown < MIN_SLOWDOWN { 1.0 } else { slowdown }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> MonotonicTime {
        MonotonicTime(10_000_000 + ms * 1_000)
    }

    /// Returns the slowdowns of engines from observations `(engine, ms, entry, ratio)`.
    fn slowdowns(now_ms: u64, engines: usize, seen: &[(usize, u64, u64, f64)]) -> Vec<f64> {
        let mut speeds: Vec<EngineSpeed> = (0..engines).map(|_| EngineSpeed::default()).collect();
        for (engine, ms, entry, ratio) in seen {
            speeds[*engine].observe(at(*ms), *entry, ObservationKind::FirstEvent, *ratio);
        }
        speeds.iter_mut().for_each(|speed| speed.expire(at(now_ms)));
        let engine = |speed| JudgedEngine { speed, writers: Vec::new(), has_probe: false };
        let engines: Vec<JudgedEngine<'_>> = speeds.iter().map(engine).collect();
        estimate_speeds(at(now_ms), &engines).iter().map(|estimate| estimate.slowdown).collect()
    }

    /// Observations of published speed on engines 1 to 3, by each of three entries.
    const USUAL: [(usize, u64, u64, f64); 9] = [
        (1, 100, 1, 1.0),
        (1, 150, 2, 1.1),
        (1, 200, 3, 0.9),
        (2, 250, 1, 1.0),
        (2, 300, 2, 1.2),
        (2, 350, 3, 1.0),
        (3, 400, 1, 1.0),
        (3, 450, 2, 1.0),
        (3, 500, 3, 1.1),
    ];

    fn with_usual(seen: &[(usize, u64, u64, f64)]) -> Vec<(usize, u64, u64, f64)> {
        USUAL.iter().chain(seen).copied().collect()
    }

    // Steady short prompts; guards against placing them on an engine whose prompts are all late.
    #[test]
    fn three_slow_observations_within_a_second_make_an_engine_slow() {
        let seen = with_usual(&[(0, 200, 1, 4.0), (0, 600, 2, 5.0), (0, 900, 3, 4.5)]);
        assert_eq!(slowdowns(1_000, 4, &seen), [4.0, 1.0, 1.0, 1.0]);
    }

    // Steady short prompts; guards against taking an engine away because of a single late prompt.
    #[test]
    fn one_slow_observation_does_not_condemn_an_engine() {
        let seen = with_usual(&[(0, 200, 1, 1.0), (0, 600, 2, 9.0), (0, 900, 3, 1.0)]);
        assert_eq!(slowdowns(1_000, 4, &seen), [1.0; 4]);
        assert_eq!(slowdowns(1_000, 4, &with_usual(&[(0, 900, 1, 9.0)])), [1.0; 4]);
    }

    // Answers beside one long prompt that is read in one pass; guards against counting the pass once
    // for each answer.
    #[test]
    fn answers_that_observe_the_same_pass_count_once() {
        let seen = with_usual(&[(0, 800, 1, 4.0), (0, 810, 2, 4.0), (0, 890, 3, 4.0)]);
        assert_eq!(slowdowns(1_000, 4, &seen), [1.0; 4]);
    }

    // Prompts after a slow phase; guards against leaving a recovered engine without work.
    #[test]
    fn a_quick_observation_or_time_ends_a_slow_estimate() {
        let slow = [(0, 200, 1, 4.0), (0, 600, 2, 5.0), (0, 900, 3, 4.5)];
        let mut seen = with_usual(&slow);
        assert_eq!(slowdowns(1_000, 4, &seen)[0], 4.0);
        let half_faded = slowdowns(2_500, 4, &seen)[0];
        assert!((1.5..3.0).contains(&half_faded), "{half_faded}");
        assert_eq!(slowdowns(3_400, 4, &seen)[0], 1.0);
        seen.push((0, 1_100, 1, 1.1));
        assert_eq!(slowdowns(1_200, 4, &seen)[0], 1.0);
    }

    // A probe after the fade; guards against placing three prompts there before it counts again.
    #[test]
    fn one_slow_observation_confirms_a_faded_estimate() {
        let seen = [
            (0, 200, 1, 4.0),
            (0, 600, 2, 5.0),
            (0, 900, 3, 4.5),
            (1, 3_350, 1, 1.0),
            (2, 3_400, 2, 1.0),
            (0, 3_500, 1, 4.0),
        ];
        assert_eq!(slowdowns(3_400, 4, &seen[..5])[0], 1.0);
        assert_eq!(slowdowns(3_600, 4, &seen)[0], 4.0);
    }

    // An entry that was suspended reports all its first events late at once; guards against
    // blaming the engines.
    #[test]
    fn an_entry_that_is_slow_on_all_engines_blames_none() {
        let mut seen = USUAL.to_vec();
        let entry = 7;
        for engine in 0..4 {
            seen.extend((0..3).map(|number| (engine, 600 + number * 10, entry, 20.0)));
        }
        assert_eq!(slowdowns(1_000, 4, &seen), [1.0; 4]);
    }

    // A suspended entry with prompts on one engine only; guards against one entry's word alone.
    #[test]
    fn an_entry_that_sees_one_engine_counts_once() {
        let seen = with_usual(&[(0, 600, 7, 9.0), (0, 700, 7, 9.0), (0, 800, 7, 9.0)]);
        assert_eq!(slowdowns(1_000, 4, &seen), [1.0; 4]);
    }

    // A profile that promises too much; guards against all engines counting as slow.
    #[test]
    fn a_prediction_that_is_wrong_for_all_engines_slows_none() {
        let mut seen: Vec<(usize, u64, u64, f64)> = Vec::new();
        for engine in 0..4 {
            for entry in 1..=3 {
                seen.push((engine, 300 * entry, 10 * entry + engine as u64, 2.5));
            }
        }
        assert_eq!(slowdowns(1_000, 4, &seen), [1.0; 4]);
        // The one that is slow beside them still differs.
        seen.extend([(4, 300, 1, 7.5), (4, 600, 2, 7.5), (4, 900, 3, 7.5)]);
        assert_eq!(slowdowns(1_000, 5, &seen), [1.0, 1.0, 1.0, 1.0, 3.0]);
    }

    // Answers of one entry on two slow engines and one of published speed; guards against taking the
    // entry for slow because it reports slow pauses only.
    #[test]
    fn an_entry_with_answers_that_are_not_slow_is_not_slow_itself() {
        let mut speeds: Vec<EngineSpeed> = (0..4).map(|_| EngineSpeed::default()).collect();
        for ms in [200, 500, 800] {
            speeds[0].observe(at(ms), 1, ObservationKind::Pauses, 4.0);
            speeds[1].observe(at(ms), 1, ObservationKind::Pauses, 4.0);
        }
        let estimate = |writers: &[u64]| {
            let engine =
                |speed| JudgedEngine { speed, writers: writers.to_vec(), has_probe: false };
            let engines: Vec<JudgedEngine<'_>> = speeds.iter().map(engine).collect();
            estimate_speeds(at(900), &engines)
        };
        let slowdowns = |writers| estimate(writers).iter().map(|e| e.slowdown).collect::<Vec<_>>();
        assert_eq!(slowdowns(&[1]), [4.0, 4.0, 1.0, 1.0]);
        // All answers of the entry are slow.
        assert_eq!(slowdowns(&[]), [1.0; 4]);
    }

    // One instance with few engines; guards against a lone entry that never finds a slow engine.
    #[test]
    fn a_single_entry_finds_the_slow_engine_among_others() {
        let seen = [
            (0, 100, 1, 1.0),
            (1, 150, 1, 4.0),
            (0, 300, 1, 1.1),
            (1, 400, 1, 4.0),
            (2, 500, 1, 1.0),
            (1, 600, 1, 4.0),
        ];
        assert_eq!(slowdowns(700, 3, &seen), [1.0, 4.0, 1.0]);
    }
}
