//! Identifies prompts across their callers' attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifies a prompt across the attempts of its caller: a digest of the account, the route and
/// the content of the request. Other accounts cannot produce it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// The text is not a claim.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not a claim; give up to 16 hexadecimal digits")]
pub struct ClaimIdError(String);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ClaimId {
    type Err = ClaimIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| ClaimIdError(text.to_owned()))
    }
}
