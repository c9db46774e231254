//! What operators have to see of a replica: what it found on its disk, and that it has no leader.

use std::time::Duration;

use oriolepass_storage::RecoveredLog;
use oriolepass_units::{LeaderTerm, LogIndex, MonotonicTime};

/// The time without a leader before it is reported, and between two such reports: an election
/// takes less.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// What a start found on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecoveryNote {
    pub(crate) term: LeaderTerm,
    pub(crate) last_index: LogIndex,
    pub(crate) snapshot_index: LogIndex,
    pub(crate) cut_bytes: u64,
}

impl RecoveryNote {
    pub(crate) fn of(log: &RecoveredLog) -> Self {
        Self {
            term: log.hard.term,
            last_index: log.last_index(),
            snapshot_index: log.snapshot.as_ref().map_or(LogIndex::ZERO, |(meta, _)| meta.index),
            cut_bytes: log.cut_bytes,
        }
    }
}

/// Tells when a replica without a leader is due for a report.
#[derive(Debug, Default)]
pub(crate) struct LeaderWatch {
    since: Option<MonotonicTime>,
    reported: Option<MonotonicTime>,
}

impl LeaderWatch {
    /// Takes in whether there is a leader; returns for how long there has been none, if that is
    /// to be reported now.
    pub(crate) fn note(&mut self, now: MonotonicTime, has_leader: bool) -> Option<Duration> {
        if has_leader {
            *self = Self::default();
            return None;
        }
        let since = *self.since.get_or_insert(now);
        let is_due = now.since(self.reported.unwrap_or(since)) >= REPORT_EVERY;
        is_due.then(|| {
            self.reported = Some(now);
            now.since(since)
        })
    }
}
