//! Holds the log entries that are kept in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use oriolepass_units::{LeaderTerm, LogIndex};
use serde::{Deserialize, Serialize};

use crate::replica::VoterSet;

/// The payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A command for the state machine, encoded by the caller.
    Command(Arc<[u8]>),
    /// The voter set that is in force from this entry on.
    Voters(VoterSet),
    /// No content; the first entry of a new leader.
    Empty,
}

impl EntryPayload {
    fn size(&self) -> usize {
        match self {
            Self::Command(bytes) => bytes.len() + ENTRY_OVERHEAD_BYTES,
            Self::Voters(_) | Self::Empty => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// Bytes counted for an entry in addition to its command.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position in the log.
    pub index: LogIndex,
    /// The term of the leader that proposed it.
    pub term: LeaderTerm,
    /// The payload.
    pub payload: EntryPayload,
}

/// The entries after a base index. A snapshot covers the log up to and including the base.
#[derive(Debug, Default)]
pub(crate) struct LogBuffer {
    base_index: LogIndex,
    base_term: LeaderTerm,
    entries: VecDeque<LogEntry>,
}

impl LogBuffer {
    pub(crate) fn new(base_index: LogIndex, base_term: LeaderTerm) -> Self {
        Self { base_index, base_term, entries: VecDeque::new() }
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> LeaderTerm {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an entry, or none if the entry is not held and is not the base.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<LeaderTerm> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns entries from `first` on, up to `max_bytes` but at least one entry if any exists.
    pub(crate) fn slice(&self, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        (first.0..=self.last_index().0)
            .map_while(|index| self.get(LogIndex(index)))
            .take_while(|entry| {
                let before = bytes;
                bytes += entry.payload.size();
                before == 0 || bytes <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Returns whether one of the entries is a command.
    pub(crate) fn holds_command(&self) -> bool {
        self.entries.iter().any(|entry| matches!(entry.payload, EntryPayload::Command(_)))
    }

    /// Adds the next entry.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not follow the last one or has an earlier term.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index().next(), "log entries must have no gaps");
        assert!(entry.term >= self.last_term(), "terms in the log must not decrease");
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.0.saturating_sub(self.base_index.0 + 1);
        self.entries.truncate(usize::try_from(kept).expect("the log fits in memory"));
    }

    /// Drops the entries up to and including `index`.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else { break };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }
}
