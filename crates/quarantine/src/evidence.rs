//! Orders the ends of endpoints by time and estimates how likely each end is by chance.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::case::{COINCIDENCE_WINDOW, RequestCase};
use crate::digest::RequestDigest;

/// Minimum number of ends for a request to be an alternative explanation of another request's ends.
const MIN_SUSPECT_ENDS: usize = 2;

/// Pseudo-counts of runs and of ends by chance that are added to the observed counts. Without observations
/// they give one end by chance in a hundred runs.
const PSEUDO_RUNS: f64 = 25.0;
const PSEUDO_ENDS: f64 = 0.25;

/// Minimum probability that a run is hit by an end by chance.
const MIN_CHANCE_PROBABILITY: f64 = PSEUDO_ENDS / PSEUDO_RUNS;

/// Weight in the count of ends by chance of each further end under a request. The weight is above 1 because
/// requests that are not known yet or are regarded as causes are missing from the count.
const REPEATED_END_WEIGHT: f64 = 1.5;

/// Bounds of the weight of one end. The end of an endpoint is one observation even if many requests ran on
/// it, or if none of them had lost an endpoint before.
const MIN_END_WEIGHT: f64 = 0.6;
const MAX_END_WEIGHT: f64 = 3.0;

/// Maximum distance of the ends that are used to estimate the probability of an end by chance.
const CHANCE_WINDOW: Duration = Duration::from_secs(10);

/// Index of an end in chronological order.
pub(crate) type EndIndex = usize;

/// A request with at least [`MIN_SUSPECT_ENDS`] open ends.
#[derive(Debug)]
pub(crate) struct SuspectEnds {
    pub(crate) digest: RequestDigest,
    /// The open ends in chronological order.
    pub(crate) ends: Vec<EndIndex>,
}

/// The ends of endpoints in all cases.
#[derive(Debug)]
pub(crate) struct EndEvidence {
    /// Sorted by digest.
    pub(crate) suspects: Vec<SuspectEnds>,
    pub(crate) endpoints: Vec<EndpointStart>,
    seen: Vec<MonotonicTime>,
    /// The weight of each end in the count of ends by chance, unless a request explains the end.
    weights: Vec<f64>,
    /// For each end, the number of cleared requests whose last end was earlier. One more item
    /// holds the total.
    cleared_before: Vec<f64>,
    /// For each end, the range of ends within [`CHANCE_WINDOW`] of it.
    windows: Vec<Range<EndIndex>>,
}

impl EndEvidence {
    /// Collects the ends of all cases.
    pub(crate) fn new(cases: &BTreeMap<RequestDigest, RequestCase>) -> Self {
        let mut first_seen: BTreeMap<&EndpointStart, MonotonicTime> = BTreeMap::new();
        for (endpoint, seen) in cases.values().flat_map(RequestCase::ends) {
            first_seen
                .entry(endpoint)
                .and_modify(|first| *first = seen.min(*first))
                .or_insert(seen);
        }
        let mut ordered: Vec<(MonotonicTime, &EndpointStart)> =
            first_seen.into_iter().map(|(endpoint, seen)| (seen, endpoint)).collect();
        ordered.sort_unstable();
        let index: BTreeMap<&EndpointStart, EndIndex> =
            ordered.iter().enumerate().map(|(index, (_, endpoint))| (*endpoint, index)).collect();
        let seen: Vec<MonotonicTime> = ordered.iter().map(|(seen, _)| *seen).collect();

        let mut repeated = vec![0.0; seen.len()];
        let mut cleared = vec![0.0; seen.len()];
        let mut suspects = Vec::new();
        for (digest, case) in cases {
            let all = sorted(case.ends().map(|(endpoint, _)| index[endpoint]));
            all.iter().skip(1).for_each(|end| repeated[*end] += REPEATED_END_WEIGHT);
            let open = sorted(case.open_ends().map(|(endpoint, _)| index[endpoint]));
            if let (Some(last), true) = (all.last(), open.is_empty()) {
                cleared[*last] += 1.0;
            }
            if open.len() >= MIN_SUSPECT_ENDS {
                suspects.push(SuspectEnds { digest: *digest, ends: open });
            }
        }
        let bounded = |weight: f64| weight.clamp(MIN_END_WEIGHT, MAX_END_WEIGHT);
        Self {
            suspects,
            endpoints: ordered.into_iter().map(|(_, endpoint)| endpoint.clone()).collect(),
            weights: repeated.into_iter().map(bounded).collect(),
            cleared_before: prefix_sums(cleared),
            windows: seen.iter().map(|end| window_around(&seen, *end)).collect(),
            seen,
        }
    }

    /// Returns the surprisal of each end under the assumption that it happened by chance: the negative natural
    /// logarithm of the probability that a run is hit by an end by chance. Ends that `is_explained` marks
    /// are caused by requests and are not counted as ends by chance.
    pub(crate) fn surprisals(&self, is_explained: &[bool]) -> Vec<f64> {
        let by_chance = |(weight, explained): (&f64, &bool)| if *explained { 0.0 } else { *weight };
        let ends_before = prefix_sums(self.weights.iter().zip(is_explained).map(by_chance));
        let surprisal = |window: &Range<EndIndex>| {
            let within = |sums: &[f64]| sums[window.end] - sums[window.start];
            let ends = PSEUDO_ENDS + within(&ends_before);
            let cleared = PSEUDO_RUNS - PSEUDO_ENDS + within(&self.cleared_before);
            -(ends / (ends + cleared)).max(MIN_CHANCE_PROBABILITY).ln()
        };
        self.windows.iter().map(surprisal).collect()
    }

    /// Returns the unexplained ends of a suspect. Of ends within [`COINCIDENCE_WINDOW`] only the first is
    /// returned, since simultaneous ends have a common cause such as a rack's power failure or an operator.
    pub(crate) fn unexplained<'a>(
        &'a self,
        suspect: &'a SuspectEnds,
        is_explained: &'a [bool],
    ) -> impl Iterator<Item = EndIndex> + 'a {
        let mut last: Option<MonotonicTime> = None;
        suspect.ends.iter().copied().filter(|end| !is_explained[*end]).filter(move |end| {
            let seen = self.seen[*end];
            let is_distinct = last.is_none_or(|last| seen.since(last) >= COINCIDENCE_WINDOW);
            if is_distinct {
                last = Some(seen);
            }
            is_distinct
        })
    }

    /// Returns for each end whether one of the given suspects explains it.
    pub(crate) fn explained_by(&self, suspects: impl IntoIterator<Item = usize>) -> Vec<bool> {
        let mut is_explained = vec![false; self.seen.len()];
        for end in suspects.into_iter().flat_map(|suspect| &self.suspects[suspect].ends) {
            is_explained[*end] = true;
        }
        is_explained
    }
}

/// Returns the surprisal of an end by chance at the minimum probability.
pub(crate) fn max_surprisal() -> f64 {
    -MIN_CHANCE_PROBABILITY.ln()
}

fn sorted(ends: impl Iterator<Item = EndIndex>) -> Vec<EndIndex> {
    let mut ends: Vec<EndIndex> = ends.collect();
    ends.sort_unstable();
    ends
}

/// Returns the sum of the values before each position, followed by the total.
fn prefix_sums(values: impl IntoIterator<Item = f64>) -> Vec<f64> {
    let sums = values.into_iter().scan(0.0, |sum, value| {
        *sum += value;
        Some(*sum)
    });
    std::iter::once(0.0).chain(sums).collect()
}

fn window_around(seen: &[MonotonicTime], end: MonotonicTime) -> Range<EndIndex> {
    let from = seen.partition_point(|other| end.since(*other) > CHANCE_WINDOW);
    let to = seen.partition_point(|other| other.since(end) <= CHANCE_WINDOW);
    from..to
}
