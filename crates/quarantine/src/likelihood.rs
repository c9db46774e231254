//! The distribution of the time after which a request terminates its endpoint.
//!
//! The time is assumed to be exponentially distributed with an unknown mean. Each mean in
//! [`MEAN_DELAYS_S`] is equally likely at first.

/// Means of the time from sending a fatal request to the end of its endpoint, in seconds.
pub(crate) const MEAN_DELAYS_S: [f64; 6] = [0.05, 0.15, 0.5, 1.5, 5.0, 15.0];

/// Assumed duration in seconds of a run whose duration is not known.
pub(crate) const DEFAULT_RUN_S: f64 = 0.2;

/// One value for each of [`MEAN_DELAYS_S`].
pub(crate) type PerDelay = [f64; MEAN_DELAYS_S.len()];

/// An interrupted run of a request that may be fatal.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunLikelihood {
    /// The probability that a fatal request has not terminated the endpoint during the run.
    survival: PerDelay,
    /// The probability density, per second, that a fatal request terminates the endpoint at the end of the
    /// run.
    density: PerDelay,
}

impl RunLikelihood {
    /// Returns the likelihood of a run of the given duration in seconds. A run of unknown duration fits all
    /// delays equally.
    pub(crate) fn new(duration_s: Option<f64>) -> Self {
        let Some(duration) = duration_s else {
            let density = [1.0 / DEFAULT_RUN_S; MEAN_DELAYS_S.len()];
            return Self { survival: [1.0; MEAN_DELAYS_S.len()], density };
        };
        let survival = MEAN_DELAYS_S.map(|mean| (-duration / mean).exp());
        let density = std::array::from_fn(|delay| survival[delay] / MEAN_DELAYS_S[delay]);
        Self { survival, density }
    }

    /// Returns the natural logarithm of the ratio between the likelihoods of the end if the request is fatal
    /// and if it is not. `other_rate` is the rate of ends from all other causes, per second.
    pub(crate) fn log_ratios(&self, other_rate: f64) -> PerDelay {
        std::array::from_fn(|delay| (self.survival[delay] + self.density[delay] / other_rate).ln())
    }

    /// Returns the mean density, weighted by the logarithms of the probabilities of the delays.
    pub(crate) fn mean_density(&self, log_weights: &PerDelay) -> f64 {
        let total = log_sum_exp(log_weights);
        let weighted = log_weights.iter().zip(&self.density);
        weighted.map(|(weight, density)| (weight - total).exp() * density).sum()
    }

    /// Returns the mean density if nothing is known about the delay.
    pub(crate) fn prior_density(&self) -> f64 {
        self.mean_density(&[0.0; MEAN_DELAYS_S.len()])
    }
}

/// Returns the natural logarithm of the sum of the exponentials of the values.
pub(crate) fn log_sum_exp(values: &[f64]) -> f64 {
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    max + values.iter().map(|value| (value - max).exp()).sum::<f64>().ln()
}

/// Returns the probability for the natural logarithm of the odds.
pub(crate) fn probability(log_odds: f64) -> f64 {
    1.0 / (1.0 + (-log_odds).exp())
}

/// Returns the natural logarithm of `1 + exp(value)`.
pub(crate) fn softplus(value: f64) -> f64 {
    value.max(0.0) + (-value.abs()).exp().ln_1p()
}
