//! Which requests the ends of endpoints are due to.
//!
//! Each end is due to a request that ran there or to chance. The judgement looks for the few requests that
//! explain the ends best, and weighs for each of them how much less likely all that was seen would be
//! without it. How likely ends by chance are is estimated from the ends that no such request explains, so
//! that a request needs three ends on a calm day and a dozen where endpoints end by chance all the time.
//!
//! The same judgement on every instance that knows the same ends, whatever the order in which it came to
//! know them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::case::{RequestCase, count_moments};
use crate::digest::RequestDigest;
use crate::evidence::{EndEvidence, SuspectEnds, max_surprise};

/// Ends before which no request is quarantined. Two may be chance: an endpoint that ends sends a dozen
/// requests to the next ones, and some of these end as well.
pub(crate) const MIN_ENDS: usize = 3;

/// Natural logarithm of the odds against a request that it ends its endpoints, before it has lost any and
/// where nothing is known of ends by chance.
const PRIOR_ODDS: f64 = 6.0;

/// Natural logarithm of the odds at which a request is quarantined at once.
const SURE_ODDS: f64 = 7.8;

/// Natural logarithm of the odds at which it is quarantined after [`SETTLE_TIME`].
const SETTLED_ODDS: f64 = 3.5;

/// Natural logarithm of the odds at which a request is quarantined although others were at the same ends:
/// requests that keep meeting each other must not hide one another for ever.
const SHARED_ODDS: f64 = 18.4;

/// From a request's third end to a judgement on weaker grounds. Within it most of the requests that ran
/// beside it are answered or lose another endpoint, which tells whether endpoints end by chance.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// How sure it is that a request ends its endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BlameOdds(f64);

impl BlameOdds {
    /// Returns whether the odds are enough without waiting for more evidence.
    pub(crate) fn is_sure(self) -> bool {
        self.0 >= SURE_ODDS
    }
}

/// What comes out.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct BlameVerdict {
    /// Requests that end their endpoints.
    pub(crate) quarantined: BTreeMap<RequestDigest, BlameOdds>,
    /// The ends that are due to these.
    pub(crate) explained: BTreeSet<EndpointStart>,
}

/// Judges all requests under which endpoints ended.
pub(crate) fn judge(cases: &BTreeMap<RequestDigest, RequestCase>) -> BlameVerdict {
    let mut verdict = BlameVerdict::default();
    // On nearly all days nobody has lost so many endpoints.
    let may_be_cause = |case: &RequestCase| {
        case.open().count() >= MIN_ENDS
            && count_moments(case.open().map(|(_, seen)| seen)) >= MIN_ENDS
    };
    if !cases.values().any(may_be_cause) {
        return verdict;
    }
    let evidence = EndEvidence::new(cases);
    let causes = likely_causes(&evidence);
    let surprises = evidence.surprises(&evidence.explained_by(causes.iter().copied()));
    for cause in &causes {
        let odds = odds_of(&evidence, &surprises, &causes, *cause)
            - suspect_surplus(&surprises, &evidence.suspects[*cause]);
        if odds >= SETTLED_ODDS {
            let SuspectEnds { digest, ends } = &evidence.suspects[*cause];
            verdict.quarantined.insert(*digest, BlameOdds(odds));
            verdict.explained.extend(ends.iter().map(|end| evidence.endpoints[*end].clone()));
        }
    }
    verdict
}

/// Returns the suspects that explain the ends best: first as if nothing ended by chance, then without those
/// that chance explains as well, the weakest one first. Ends by chance become the likelier the fewer are
/// taken for a cause.
fn likely_causes(evidence: &EndEvidence) -> Vec<usize> {
    let mut causes = covering_suspects(evidence);
    loop {
        let surprises = evidence.surprises(&evidence.explained_by(causes.iter().copied()));
        let odds =
            causes.iter().map(|cause| (odds_of(evidence, &surprises, &causes, *cause), *cause));
        let weakest = odds.min_by(|(left, a), (right, b)| left.total_cmp(right).then(b.cmp(a)));
        match weakest {
            Some((odds, cause)) if odds < 0.0 => causes.retain(|other| *other != cause),
            _ => return causes,
        }
    }
}

/// Returns suspects that explain as many ends as possible, the one with the most unexplained ends first.
fn covering_suspects(evidence: &EndEvidence) -> Vec<usize> {
    let mut causes = Vec::new();
    loop {
        let is_explained = evidence.explained_by(causes.iter().copied());
        let left = |suspect: &SuspectEnds| evidence.unexplained(suspect, &is_explained).count();
        let suspects = evidence.suspects.iter().enumerate();
        let eligible = suspects.filter(|(_, suspect)| suspect.ends.len() >= MIN_ENDS);
        let most = eligible.map(|(number, suspect)| (left(suspect), number));
        match most.max_by_key(|(left, number)| (*left, std::cmp::Reverse(*number))) {
            Some((left, number)) if left >= 2 => causes.push(number),
            _ => return causes,
        }
    }
}

/// Returns the natural logarithm of the odds that `cause` ends its endpoints: how surprising the ends that no
/// other cause explains would be without it, less what other suspects would explain of them instead.
fn odds_of(evidence: &EndEvidence, surprises: &[f64], causes: &[usize], cause: usize) -> f64 {
    let others = causes.iter().copied().filter(|other| *other != cause);
    let mut is_explained = evidence.explained_by(others);
    let left = |suspect: usize, is_explained: &[bool]| -> f64 {
        let ends = evidence.unexplained(&evidence.suspects[suspect], is_explained);
        ends.map(|end| surprises[end]).sum()
    };
    let own_odds = left(cause, &is_explained) - PRIOR_ODDS;
    if own_odds >= SHARED_ODDS {
        return own_odds;
    }
    let own_ends = &evidence.suspects[cause].ends;
    let mut saved = 0.0;
    loop {
        let meets = |suspect: &SuspectEnds| {
            suspect.ends.iter().any(|end| !is_explained[*end] && own_ends.contains(end))
        };
        let instead = (0..evidence.suspects.len())
            .filter(|other| *other != cause && !causes.contains(other))
            .filter(|other| meets(&evidence.suspects[*other]))
            .map(|other| (left(other, &is_explained) - PRIOR_ODDS, other))
            .max_by(|(left, a), (right, b)| left.total_cmp(right).then(b.cmp(a)));
        let Some((gain, other)) = instead.filter(|(gain, _)| *gain > 0.0) else {
            return own_odds - saved;
        };
        saved += gain;
        evidence.suspects[other].ends.iter().for_each(|end| is_explained[*end] = true);
    }
}

/// Returns how much the odds against a suspect rise with ends by chance, as a natural logarithm: the likelier
/// they are where it lost its endpoints, the more requests come to be suspects that end nothing.
fn suspect_surplus(surprises: &[f64], suspect: &SuspectEnds) -> f64 {
    let sum: f64 = suspect.ends.iter().map(|end| surprises[*end]).sum();
    max_surprise() - sum / suspect.ends.len() as f64
}

/// Returns whether the third end of a request is long enough ago for a judgement on weaker grounds.
pub(crate) fn is_settled(case: &RequestCase, now: MonotonicTime) -> bool {
    let mut seen: Vec<MonotonicTime> = case.open().map(|(_, seen)| seen).collect();
    seen.sort_unstable();
    seen.get(MIN_ENDS - 1).is_some_and(|third| now.since(*third) >= SETTLE_TIME)
}
