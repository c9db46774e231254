//! Defines the records of the log and the metadata of snapshots.

use std::sync::Arc;

use oriolepass_units::{LeaderTerm, LogIndex};
use serde::{Deserialize, Serialize};

/// The state that a voter must never lose: its term and its vote in that term.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: LeaderTerm,
    /// The replica voted for in that term, encoded by the caller.
    pub vote: Option<Vec<u8>>,
    /// An opaque description of this replica, encoded by the caller.
    pub identity: Vec<u8>,
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredEntry {
    /// Its log index.
    pub index: LogIndex,
    /// The term of the leader that proposed it.
    pub term: LeaderTerm,
    /// Its content.
    pub payload: Arc<[u8]>,
}

/// One record of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// Replaces the hard state.
    Hard(HardState),
    /// Adds an entry. An entry at or below the last index replaces the entry at its index and
    /// removes all later entries.
    Entry(StoredEntry),
    /// Restarts the log after a snapshot that the leader sent; earlier entries are discarded.
    Reset {
        /// The index of the snapshot's last entry.
        index: LogIndex,
        /// The term of that entry.
        term: LeaderTerm,
    },
}

/// The metadata of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: LeaderTerm,
    /// The voters as of that entry, encoded by the caller.
    pub voters: Vec<u8>,
}
