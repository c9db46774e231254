//! Belief propagation between ends and suspects, for a given rate of ends by chance.
//!
//! Each suspect is either fatal or not, and each end has one cause: chance or a fatal request that ran on the
//! endpoint. The rate at which other suspects would terminate an endpoint is the message from a suspect
//! to an end. It leaves out what that end itself shows, so that suspects with the same ends do not
//! confirm each other.

use crate::evidence::{EndEvidence, EndIndex, SuspectRun, SuspectRuns, prefix_sums};
use crate::likelihood::{MEAN_DELAYS_S, PerDelay, log_sum_exp, probability, softplus};

/// Maximum number of rounds of messages.
const MAX_ROUNDS: usize = 12;

/// Part of a message that is kept in each round, which damps oscillations.
const DAMPING: f64 = 0.3;

/// Natural logarithm of the prior odds against a request being fatal.
const PRIOR_LOG_ODDS_AGAINST: f64 = 7.0;

/// Pseudo-count of fatal requests with which the share of fatal requests is estimated.
const PSEUDO_FATAL_REQUESTS: f64 = 0.25;

/// Minimum of the natural logarithm of the estimated odds against a request being fatal.
const MIN_LOG_ODDS_AGAINST: f64 = 3.0;

/// The result for one rate of ends by chance.
#[derive(Debug)]
pub(crate) struct Beliefs {
    /// For each suspect the natural logarithm of the odds that it is fatal.
    pub(crate) log_odds: Vec<f64>,
    /// Prefix sums over the ends of the natural logarithm of the likelihood of all observations, without the
    /// time in which no endpoint ended.
    pub(crate) log_evidence: Vec<f64>,
}

/// The state of the propagation.
struct Propagation<'a> {
    evidence: &'a EndEvidence,
    chance_rate: f64,
    /// The natural logarithm of the estimated odds against a request being fatal.
    log_odds_against: f64,
    /// For each run of each suspect, the rate per second at which the suspect would terminate the endpoint.
    messages: Vec<Vec<f64>>,
    /// For each end, the rate per second of ends by chance and by requests that are no suspects.
    base_rates: Vec<f64>,
    /// For each end, the rate per second of ends from all causes.
    total_rates: Vec<f64>,
    log_odds: Vec<f64>,
}

/// Computes the odds of all suspects for a rate of ends by chance, per second and endpoint.
pub(crate) fn propagate(evidence: &EndEvidence, chance_rate: f64) -> Beliefs {
    let mut propagation = Propagation::new(evidence, chance_rate);
    for round in 0..MAX_ROUNDS {
        propagation.update_rates();
        propagation.update_suspects(round == 0);
        propagation.update_prior();
    }
    let log_evidence = propagation.log_evidence();
    Beliefs { log_odds: propagation.log_odds, log_evidence }
}

impl<'a> Propagation<'a> {
    fn new(evidence: &'a EndEvidence, chance_rate: f64) -> Self {
        Self {
            evidence,
            chance_rate,
            log_odds_against: PRIOR_LOG_ODDS_AGAINST,
            messages: evidence.suspects.iter().map(|s| vec![0.0; s.runs.len()]).collect(),
            base_rates: Vec::new(),
            total_rates: Vec::new(),
            log_odds: vec![-PRIOR_LOG_ODDS_AGAINST; evidence.suspects.len()],
        }
    }

    fn prior_probability(&self) -> f64 {
        probability(-self.log_odds_against)
    }

    /// Computes the rates at all ends from the messages.
    fn update_rates(&mut self) {
        let prior = self.prior_probability();
        let base_rate = |end: f64| self.chance_rate + end * prior;
        self.base_rates =
            self.evidence.ends.iter().map(|end| base_rate(end.other_density)).collect();
        self.total_rates.clone_from(&self.base_rates);
        for (suspect, messages) in self.evidence.suspects.iter().zip(&self.messages) {
            for (run, message) in suspect.runs.iter().zip(messages) {
                self.total_rates[run.end] += message;
            }
        }
    }

    /// Returns the rate of all causes of an end but the suspect that sent `message`.
    fn other_rate(&self, end: EndIndex, message: f64) -> f64 {
        (self.total_rates[end] - message).max(self.base_rates[end])
    }

    /// Returns what an end shows about the suspect that sent `message`.
    fn log_ratios(&self, run: &SuspectRun, message: f64) -> PerDelay {
        if run.is_evidence {
            run.likelihood.log_ratios(self.other_rate(run.end, message))
        } else {
            PerDelay::default()
        }
    }

    /// Computes the odds and the messages of all suspects from the rates.
    fn update_suspects(&mut self, is_first_round: bool) {
        let evidence = self.evidence;
        for (number, suspect) in evidence.suspects.iter().enumerate() {
            let ratios: Vec<PerDelay> = suspect
                .runs
                .iter()
                .zip(&self.messages[number])
                .map(|(run, message)| self.log_ratios(run, *message))
                .collect();
            let sums = sum_per_delay(&ratios);
            self.log_odds[number] = mean_log_ratio(&sums) - self.log_odds_against;
            for (position, run) in suspect.runs.iter().enumerate() {
                let without_end: PerDelay =
                    std::array::from_fn(|delay| sums[delay] - ratios[position][delay]);
                let is_fatal = probability(mean_log_ratio(&without_end) - self.log_odds_against);
                let new = is_fatal * run.likelihood.mean_density(&without_end);
                let message = &mut self.messages[number][position];
                let kept = if is_first_round { 0.0 } else { DAMPING };
                *message = kept * *message + (1.0 - kept) * new;
            }
        }
    }

    /// Estimates the share of fatal requests from the odds.
    fn update_prior(&mut self) {
        let fatal: f64 = self.log_odds.iter().copied().map(probability).sum();
        let pseudo_requests = PSEUDO_FATAL_REQUESTS * PRIOR_LOG_ODDS_AGAINST.exp();
        let share = (PSEUDO_FATAL_REQUESTS + fatal)
            / (pseudo_requests + self.evidence.request_count as f64);
        self.log_odds_against = (1.0 / share - 1.0).ln().max(MIN_LOG_ODDS_AGAINST);
    }

    /// Returns the prefix sums of [`Beliefs::log_evidence`], in the Bethe approximation: the rate of each end,
    /// less what its suspects would contribute if each were the only one, plus the evidence of each
    /// suspect.
    fn log_evidence(&self) -> Vec<f64> {
        let prior = self.prior_probability();
        let mut by_end: Vec<f64> = self.total_rates.iter().map(|rate| rate.ln()).collect();
        let mut selection_rates = self.base_rates.clone();
        for (number, suspect) in self.evidence.suspects.iter().enumerate() {
            for (run, message) in suspect.runs.iter().zip(&self.messages[number]) {
                if run.is_evidence {
                    let other_rate = self.other_rate(run.end, *message);
                    by_end[run.end] -= (self.total_rates[run.end] / other_rate).ln();
                }
                selection_rates[run.end] += prior * run.likelihood.prior_density();
            }
            by_end[last_end(suspect)] += softplus(self.log_odds[number]);
        }
        // An end that is the first one of all its requests is known only because it happened.
        let ends = self.evidence.ends.iter().zip(selection_rates).zip(&mut by_end);
        for ((_, rate), sum) in ends.filter(|((end, _), _)| end.repeated_runs == 0.0) {
            *sum -= rate.ln();
        }
        prefix_sums(by_end)
    }
}

fn last_end(suspect: &SuspectRuns) -> EndIndex {
    suspect.runs.last().map_or(0, |run| run.end)
}

fn sum_per_delay(ratios: &[PerDelay]) -> PerDelay {
    std::array::from_fn(|delay| ratios.iter().map(|ratio| ratio[delay]).sum())
}

/// Returns the logarithm of the mean over all delays.
fn mean_log_ratio(log_ratios: &PerDelay) -> f64 {
    log_sum_exp(log_ratios) - (MEAN_DELAYS_S.len() as f64).ln()
}
