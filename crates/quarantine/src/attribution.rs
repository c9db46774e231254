//! Attributes ends of endpoints to the requests that caused them.
//!
//! An end is caused either by a request that ran on the endpoint or by chance. The algorithm selects a
//! small set of requests that together explain the ends best, and computes for each of them how much less
//! likely the observations would be without it. The probability of ends by chance is estimated from the
//! ends that no selected request explains. A request therefore needs three ends for its quarantine where
//! ends by chance are rare, and a dozen where they are frequent.
//!
//! The result depends only on the set of known ends, not on the order in which they became known, so all
//! instances with the same records reach the same result.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::case::{RequestCase, count_distinct_times};
use crate::digest::RequestDigest;
use crate::evidence::{EndEvidence, SuspectEnds, max_surprisal};

/// Minimum number of ends for a quarantine. Two ends may be chance: when an endpoint ends, the dozen
/// requests that ran there move to other endpoints, and some of those end as well.
pub(crate) const MIN_QUARANTINE_ENDS: usize = 3;

/// Natural logarithm of the prior odds against a request being fatal, without any observed ends.
const PRIOR_LOG_ODDS_AGAINST: f64 = 6.0;

/// Natural logarithm of the odds at which a request is quarantined immediately.
const CONCLUSIVE_LOG_ODDS: f64 = 7.8;

/// Natural logarithm of the odds at which a request is quarantined after [`SETTLE_DELAY`].
const SETTLED_LOG_ODDS: f64 = 3.5;

/// Natural logarithm of the odds at which a request is quarantined even if other requests could explain
/// the same ends. Without this limit, fatal requests that repeatedly run on the same endpoints would hide
/// each other indefinitely.
const SHARED_LOG_ODDS: f64 = 18.4;

/// Delay between a request's third end and its quarantine at [`SETTLED_LOG_ODDS`]. Within the delay, most
/// requests that ran on the same endpoints are answered or lose another endpoint, which shows whether
/// endpoints end by chance.
pub(crate) const SETTLE_DELAY: Duration = Duration::from_millis(2_000);

/// Natural logarithm of the odds that a request is fatal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CauseLogOdds(f64);

impl CauseLogOdds {
    /// Returns whether the odds are sufficient without waiting for more evidence.
    pub(crate) fn is_conclusive(self) -> bool {
        self.0 >= CONCLUSIVE_LOG_ODDS
    }
}

/// The result of the attribution.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Attribution {
    /// The fatal requests, with the odds of each.
    pub(crate) quarantined: BTreeMap<RequestDigest, CauseLogOdds>,
    /// The endpoint starts that the fatal requests terminated.
    pub(crate) explained: BTreeSet<EndpointStart>,
}

/// Determines the fatal requests among all cases.
pub(crate) fn attribute_ends(cases: &BTreeMap<RequestDigest, RequestCase>) -> Attribution {
    let mut attribution = Attribution::default();
    // Fast path: usually no request has lost that many endpoints.
    let may_be_cause = |case: &RequestCase| {
        case.open_ends().count() >= MIN_QUARANTINE_ENDS
            && count_distinct_times(case.open_ends().map(|(_, seen)| seen)) >= MIN_QUARANTINE_ENDS
    };
    if !cases.values().any(may_be_cause) {
        return attribution;
    }
    let evidence = EndEvidence::new(cases);
    let causes = likely_causes(&evidence);
    let surprisals = evidence.surprisals(&evidence.explained_by(causes.iter().copied()));
    for cause in &causes {
        let odds = log_odds_of(&evidence, &surprisals, &causes, *cause)
            - chance_penalty(&surprisals, &evidence.suspects[*cause]);
        if odds >= SETTLED_LOG_ODDS {
            let SuspectEnds { digest, ends } = &evidence.suspects[*cause];
            attribution.quarantined.insert(*digest, CauseLogOdds(odds));
            attribution.explained.extend(ends.iter().map(|end| evidence.endpoints[*end].clone()));
        }
    }
    attribution
}

/// Returns the suspects that explain the ends best.
///
/// Starts with a set of suspects that covers the ends as if none happened by chance. Then removes the
/// suspect with the lowest odds until chance explains the ends of no remaining suspect better. Each
/// removal raises the estimated probability of ends by chance, so the odds are recomputed every time.
fn likely_causes(evidence: &EndEvidence) -> Vec<usize> {
    let mut causes = covering_suspects(evidence);
    loop {
        let surprisals = evidence.surprisals(&evidence.explained_by(causes.iter().copied()));
        let odds = causes
            .iter()
            .map(|cause| (log_odds_of(evidence, &surprisals, &causes, *cause), *cause));
        let weakest = odds.min_by(|(left, a), (right, b)| left.total_cmp(right).then(b.cmp(a)));
        match weakest {
            Some((odds, cause)) if odds < 0.0 => causes.retain(|other| *other != cause),
            _ => return causes,
        }
    }
}

/// Returns suspects that cover as many ends as possible. Greedily selects the suspect with the most ends
/// that are not explained yet.
fn covering_suspects(evidence: &EndEvidence) -> Vec<usize> {
    let mut causes = Vec::new();
    loop {
        let is_explained = evidence.explained_by(causes.iter().copied());
        let left = |suspect: &SuspectEnds| evidence.unexplained(suspect, &is_explained).count();
        let suspects = evidence.suspects.iter().enumerate();
        let eligible = suspects.filter(|(_, suspect)| suspect.ends.len() >= MIN_QUARANTINE_ENDS);
        let candidates = eligible.map(|(number, suspect)| (left(suspect), number));
        match candidates.max_by_key(|(left, number)| (*left, std::cmp::Reverse(*number))) {
            Some((left, number)) if left >= 2 => causes.push(number),
            _ => return causes,
        }
    }
}

/// Returns the natural logarithm of the odds that `cause` is fatal: the surprisal of those of its ends that
/// no other cause explains, reduced by the log odds of the other suspects that could explain them
/// instead.
fn log_odds_of(evidence: &EndEvidence, surprisals: &[f64], causes: &[usize], cause: usize) -> f64 {
    let others = causes.iter().copied().filter(|other| *other != cause);
    let mut is_explained = evidence.explained_by(others);
    let left = |suspect: usize, is_explained: &[bool]| -> f64 {
        let ends = evidence.unexplained(&evidence.suspects[suspect], is_explained);
        ends.map(|end| surprisals[end]).sum()
    };
    let own_log_odds = left(cause, &is_explained) - PRIOR_LOG_ODDS_AGAINST;
    if own_log_odds >= SHARED_LOG_ODDS {
        return own_log_odds;
    }
    let own_ends = &evidence.suspects[cause].ends;
    let mut explained_by_others = 0.0;
    loop {
        let shares_end = |suspect: &SuspectEnds| {
            suspect.ends.iter().any(|end| !is_explained[*end] && own_ends.contains(end))
        };
        let alternative = (0..evidence.suspects.len())
            .filter(|other| *other != cause && !causes.contains(other))
            .filter(|other| shares_end(&evidence.suspects[*other]))
            .map(|other| (left(other, &is_explained) - PRIOR_LOG_ODDS_AGAINST, other))
            .max_by(|(left, a), (right, b)| left.total_cmp(right).then(b.cmp(a)));
        let Some((gain, other)) = alternative.filter(|(gain, _)| *gain > 0.0) else {
            return own_log_odds - explained_by_others;
        };
        explained_by_others += gain;
        evidence.suspects[other].ends.iter().for_each(|end| is_explained[*end] = true);
    }
}

/// Returns the reduction of a suspect's log odds for the rate of ends by chance: the more frequent they are
/// around the suspect's ends, the more requests become suspects without being fatal.
fn chance_penalty(surprisals: &[f64], suspect: &SuspectEnds) -> f64 {
    let sum: f64 = suspect.ends.iter().map(|end| surprisals[*end]).sum();
    max_surprisal() - sum / suspect.ends.len() as f64
}

/// Returns whether [`SETTLE_DELAY`] has passed since the third end of a request.
pub(crate) fn is_settled(case: &RequestCase, now: MonotonicTime) -> bool {
    let mut seen: Vec<MonotonicTime> = case.open_ends().map(|(_, seen)| seen).collect();
    seen.sort_unstable();
    seen.get(MIN_QUARANTINE_ENDS - 1).is_some_and(|third| now.since(*third) >= SETTLE_DELAY)
}
