//! Attributes ends of endpoints to the requests, or the parts of prompts, that caused them.
//!
//! An end is caused either by a request that ran on the endpoint, by a part of its prompt, or by
//! chance. The rate of ends by chance is not known, so the odds of each suspect are computed for
//! several rates, and are averaged by how well each rate explains the ends and the runs without an
//! end around the suspect's ends. Thus a request needs three ends for its quarantine where ends by
//! chance are rare, and more where they are frequent, and ends under several fatal requests are not
//! taken for ends by chance.
//!
//! The result depends only on the set of known ends, not on the order in which they became known, so all
//! instances with the same records reach the same result.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::case::{MIN_PART_ENDS, MIN_QUARANTINE_ENDS, RequestCase};
use crate::digest::SuspectId;
use crate::evidence::{EndEvidence, PartGroup, Suspect, SuspectRuns};
use crate::likelihood::{log_sum_exp, softplus};
use crate::propagation::{Beliefs, propagate};

/// Rates of ends by chance that are considered, per second and endpoint.
const CHANCE_RATES_PER_S: [f64; 8] = [0.01, 0.02, 0.04, 0.09, 0.18, 0.36, 0.73, 1.5];

/// Shape and rate, in seconds, of the gamma distribution that is the prior of the rate of ends by chance. Its
/// mean is one end in a hundred seconds.
const CHANCE_RATE_SHAPE: f64 = 0.25;
const CHANCE_RATE_SCALE_S: f64 = 25.0;

/// Natural logarithm of the odds at which a request is quarantined immediately.
const CONCLUSIVE_LOG_ODDS: f64 = 9.0;

/// Natural logarithm of the odds at which a request is quarantined after [`SETTLE_DELAY`].
const SETTLED_LOG_ODDS: f64 = 5.5;

/// Delay between a request's third end and its quarantine at [`SETTLED_LOG_ODDS`]. Within the delay, most
/// requests that ran on the same endpoints are answered or lose another endpoint, which shows whether
/// endpoints end by chance.
pub(crate) const SETTLE_DELAY: Duration = Duration::from_millis(2_000);

/// Natural logarithm of the odds that a request or a part of prompts is fatal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CauseLogOdds(f64);

impl CauseLogOdds {
    /// Returns whether the odds are sufficient after [`SETTLE_DELAY`].
    pub(crate) fn is_sufficient(self) -> bool {
        self.0 >= SETTLED_LOG_ODDS
    }

    /// Returns whether the cause is more likely fatal than not.
    pub(crate) fn is_likely(self) -> bool {
        self.0 > 0.0
    }

    /// Returns whether the odds are sufficient without waiting for more evidence.
    pub(crate) fn is_conclusive(self) -> bool {
        self.0 >= CONCLUSIVE_LOG_ODDS
    }
}

impl Display for CauseLogOdds {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.1}", self.0)
    }
}

/// The result of the attribution.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Attribution {
    /// The odds of each request with at least [`MIN_QUARANTINE_ENDS`] open ends, and of each part
    /// of a group.
    pub(crate) odds: BTreeMap<SuspectId, CauseLogOdds>,
    /// The groups of parts with at least [`MIN_PART_ENDS`] open ends. Each group holds one fatal
    /// part or none.
    pub(crate) groups: Vec<PartGroup>,
    /// The endpoint starts that the fatal requests and parts terminated.
    pub(crate) explained: BTreeSet<EndpointStart>,
}

/// Determines the fatal requests and parts among all cases.
pub(crate) fn attribute_ends(cases: &BTreeMap<SuspectId, RequestCase>) -> Attribution {
    let mut attribution = Attribution::default();
    // Fast path: usually no request or part has lost that many endpoints.
    let may_be_cause = |(id, case): (&SuspectId, &RequestCase)| {
        let min_ends = min_ends(id);
        case.open_ends().count() >= min_ends && case.distinct_open_ends() >= min_ends
    };
    if !cases.iter().any(may_be_cause) {
        return attribution;
    }
    let evidence = EndEvidence::new(cases);
    let beliefs = CHANCE_RATES_PER_S.map(|rate| propagate(&evidence, rate));
    for (number, suspect) in evidence.suspects.iter().enumerate() {
        if suspect.evident_ends() < MIN_QUARANTINE_ENDS {
            continue;
        }
        let odds = CauseLogOdds(mean_log_odds(&evidence, &beliefs, number));
        let members: Vec<SuspectId> = match &suspect.suspect {
            Suspect::Request(digest) => vec![SuspectId::Request(*digest)],
            Suspect::Parts(group) => {
                attribution.groups.push(group.clone());
                group.iter().copied().map(SuspectId::Part).collect()
            }
        };
        if let Some(id) = members.first().filter(|_| odds.is_sufficient()) {
            let open_ends = cases[id].open_ends();
            attribution.explained.extend(open_ends.map(|(endpoint, _)| endpoint.clone()));
        }
        attribution.odds.extend(members.into_iter().map(|id| (id, odds)));
    }
    attribution
}

/// Returns the number of ends that a quarantine needs.
fn min_ends(id: &SuspectId) -> usize {
    match id {
        SuspectId::Request(_) => MIN_QUARANTINE_ENDS,
        SuspectId::Part(_) => MIN_PART_ENDS,
    }
}

/// Returns the natural logarithm of the odds that a suspect is fatal, averaged over the rates of ends by
/// chance.
fn mean_log_odds(evidence: &EndEvidence, beliefs: &[Beliefs], suspect: usize) -> f64 {
    let weights = rate_log_weights(evidence, beliefs, &evidence.suspects[suspect]);
    let sum = |log_probability: fn(f64) -> f64| {
        let log_odds = beliefs.iter().map(|beliefs| beliefs.log_odds[suspect]);
        let terms =
            weights.iter().zip(log_odds).map(|(weight, odds)| weight + log_probability(odds));
        log_sum_exp(&terms.collect::<Vec<f64>>())
    };
    sum(|odds| -softplus(-odds)) - sum(|odds| -softplus(odds))
}

/// Returns the natural logarithm of the weight of each rate of ends by chance around a suspect's ends.
fn rate_log_weights(
    evidence: &EndEvidence,
    beliefs: &[Beliefs],
    suspect: &SuspectRuns,
) -> Vec<f64> {
    let window = evidence.window(suspect);
    let exposure = evidence.exposure_s(&window);
    let weight = |(rate, beliefs): (&f64, &Beliefs)| {
        let observed = beliefs.log_evidence[window.end] - beliefs.log_evidence[window.start];
        let prior = CHANCE_RATE_SHAPE * rate.ln() - CHANCE_RATE_SCALE_S * rate;
        observed - rate * exposure + prior
    };
    CHANCE_RATES_PER_S.iter().zip(beliefs).map(weight).collect()
}

/// Returns whether [`SETTLE_DELAY`] has passed since the third end of a request.
pub(crate) fn is_settled(case: &RequestCase, now: MonotonicTime) -> bool {
    let mut seen: Vec<MonotonicTime> = case.open_ends().map(|(_, seen)| seen).collect();
    seen.sort_unstable();
    seen.get(MIN_QUARANTINE_ENDS - 1).is_some_and(|third| now.since(*third) >= SETTLE_DELAY)
}
