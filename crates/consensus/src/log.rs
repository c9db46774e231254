//! The part of the log that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use oriolepass_units::{LeaderTerm, LogIndex};
use serde::{Deserialize, Serialize};

use crate::replica::VoterSet;

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A command for the state machine, encoded by the caller.
    Command(Arc<[u8]>),
    /// The voters from this entry on.
    Voters(VoterSet),
    /// Nothing; a new leader's first entry.
    Empty,
}

impl EntryPayload {
    fn size(&self) -> usize {
        match self {
            Self::Command(bytes) => bytes.len() + ENTRY_OVERHEAD,
            Self::Voters(_) | Self::Empty => ENTRY_OVERHEAD,
        }
    }
}

/// Bytes counted for an entry beside its command.
const ENTRY_OVERHEAD: usize = 64;

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that proposed it.
    pub term: LeaderTerm,
    /// Its content.
    pub payload: EntryPayload,
}

/// Entries after a base, which a snapshot covers.
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

    /// Returns the term of an entry, or none where it is not held.
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

    /// Returns entries from `first` on, up to a number of bytes but at least one if there is any.
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

    /// Adds the next entry.
    ///
    /// # Panics
    ///
    /// Panics when the entry does not follow the last one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
        assert!(entry.term >= self.last_term(), "terms in the log never fall");
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.0.saturating_sub(self.base_index.0 + 1);
        self.entries.truncate(usize::try_from(kept).expect("a log that fits in memory"));
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
