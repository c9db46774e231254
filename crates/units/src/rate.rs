//! The rate of requests, which may be fractional.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A rate in requests per second: finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// The reason a rate was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is no rate; write a decimal number of requests per second, at least 0")]
pub struct RateError {
    text: String,
}

impl RequestRate {
    /// No requests at all.
    pub const ZERO: Self = Self(0.0);

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns this rate, or `per_second` if that is higher.
    #[must_use]
    pub fn at_least(self, per_second: f64) -> Self {
        Self(self.0.max(per_second))
    }

    /// Returns the part of this rate that `share` gives, from 0 to 1.
    #[must_use]
    pub fn part(self, share: f64) -> Self {
        Self(self.0 * share.clamp(0.0, 1.0))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(RateError { text: per_second.to_string() })
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let number: Option<f64> = text.trim().parse().ok();
        let rate = number.and_then(|number| Self::try_from(number).ok());
        rate.ok_or_else(|| RateError { text: text.to_owned() })
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
