//! Identifies prompts across their callers' attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifies a prompt across the attempts of its caller: a digest of the account, the route and
/// the content of the request. Other accounts cannot produce it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AppointmentId(pub u64);

/// The text is not an appointment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not an appointment; give up to 16 hexadecimal digits")]
pub struct AppointmentIdError(String);

impl fmt::Display for AppointmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for AppointmentId {
    type Err = AppointmentIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| AppointmentIdError(text.to_owned()))
    }
}
