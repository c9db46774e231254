//! Identifies a single start of an endpoint.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{EndpointId, IdError};
use crate::number::{NumberError, StartTime};

/// Identifies one start of an endpoint by the endpoint's id and its start time.
///
/// An endpoint may restart under the same id. A restart loses all state, so observations, memory
/// reservations and pending work of an earlier start do not apply to a later start. Starts of the
/// same id are ordered by time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointStart {
    id: EndpointId,
    time: StartTime,
}

/// The reason a text was refused as an endpoint start.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointStartError {
    /// The part before the `@` is not a valid endpoint id.
    #[error(transparent)]
    Id(#[from] IdError),
    /// The part after the `@` is not a valid start time.
    #[error(transparent)]
    Time(#[from] NumberError),
}

impl EndpointStart {
    /// Creates the start of endpoint `id` at `time`.
    pub fn new(id: EndpointId, time: StartTime) -> Self {
        Self { id, time }
    }

    /// Returns the endpoint's id.
    pub fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Returns the start time.
    pub fn time(&self) -> StartTime {
        self.time
    }
}

/// Writes `ID@TIME`, or only the id where the start time is unknown.
impl fmt::Display for EndpointStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.time {
            StartTime::ZERO => self.id.fmt(f),
            time => write!(f, "{}@{time}", self.id),
        }
    }
}

impl FromStr for EndpointStart {
    type Err = EndpointStartError;

    fn from_str(text: &str) -> Result<Self, EndpointStartError> {
        let (id, time) = text.split_once('@').unwrap_or((text, "0"));
        Ok(Self { id: id.parse()?, time: time.parse()? })
    }
}
