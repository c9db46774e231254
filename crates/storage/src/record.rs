//! What the log consists of.

use std::sync::Arc;

use oriolepass_units::{LeaderTerm, LogIndex};
use serde::{Deserialize, Serialize};

/// What a voter must never forget: its term and its vote in it.
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
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that proposed it.
    pub term: LeaderTerm,
    /// Its content.
    pub payload: Arc<[u8]>,
}

/// One record of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// The hard state is this from now on.
    Hard(HardState),
    /// An entry. One at or below the last index replaces that and all that follow.
    Entry(StoredEntry),
    /// The log starts after a snapshot that came from the leader; earlier entries are void.
    Reset {
        /// The snapshot's last entry.
        index: LogIndex,
        /// That entry's term.
        term: LeaderTerm,
    },
}

/// Describes a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry that it covers.
    pub index: LogIndex,
    /// That entry's term.
    pub term: LeaderTerm,
    /// The voters at that entry, encoded by the caller.
    pub voters: Vec<u8>,
}
