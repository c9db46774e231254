//! The replicated register of drained data centres. Endpoints of a drained data centre receive no new
//! requests.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use oriolepass_units::DataCentreId;
use serde::{Deserialize, Serialize};

/// The number of changes made to the drained data centres.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DrainRevision(pub u64);

impl fmt::Display for DrainRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for DrainRevision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A command to drain or restore a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainCommand {
    /// The id of the data centre.
    pub data_centre: DataCentreId,
    /// Whether to drain the data centre (`true`) or to restore it (`false`).
    pub is_drained: bool,
    /// The register's revision when the operator's call arrived.
    pub base_revision: DrainRevision,
}

/// The outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainOutcome {
    /// The data centre was drained or restored.
    Changed,
    /// The data centre was already in the requested state.
    Unchanged,
    /// The data centre changed after the command's base revision, so the command was dropped.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DrainState {
    is_drained: bool,
    changed_at: DrainRevision,
}

/// The register of drained data centres, part of the replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRegister {
    revision: DrainRevision,
    /// All data centres that have ever been drained. Restored data centres keep the revision of the
    /// change.
    states: BTreeMap<DataCentreId, DrainState>,
}

impl DrainRegister {
    /// Applies a command.
    ///
    /// A command is dropped if the data centre changed after the command's base revision, so that a
    /// delayed command does not undo a later one.
    pub fn apply(&mut self, command: &DrainCommand) -> DrainOutcome {
        let state = self.states.get(&command.data_centre);
        if state.is_some_and(|state| state.is_drained) == command.is_drained {
            return DrainOutcome::Unchanged;
        }
        if state.is_some_and(|state| state.changed_at > command.base_revision) {
            return DrainOutcome::Superseded;
        }
        self.revision.0 += 1;
        let state = DrainState { is_drained: command.is_drained, changed_at: self.revision };
        self.states.insert(command.data_centre.clone(), state);
        DrainOutcome::Changed
    }

    /// Returns the number of changes applied so far.
    pub fn revision(&self) -> DrainRevision {
        self.revision
    }

    /// Returns whether a data centre is drained.
    pub fn is_drained(&self, data_centre: &DataCentreId) -> bool {
        self.states.get(data_centre).is_some_and(|state| state.is_drained)
    }

    /// Returns the drained data centres.
    pub fn drained(&self) -> impl Iterator<Item = &DataCentreId> {
        self.states.iter().filter(|(_, state)| state.is_drained).map(|(data_centre, _)| data_centre)
    }
}
