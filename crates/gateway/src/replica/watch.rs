//! Collects what is logged about a replica: the state recovered from its disk, and how long it has
//! had no leader.

use std::time::Duration;

use oriolepass_storage::RecoveredLog;
use oriolepass_units::{LeaderTerm, LogIndex, MonotonicTime};

/// The time without a leader before the first report, and the interval between reports. It is
/// longer than an election, so ordinary elections are not reported.
const LEADERLESS_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The state that a start recovered from the disk.
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

/// Determines when a replica without a leader is due for a report.
#[derive(Debug, Default)]
pub(crate) struct LeaderWatch {
    since: Option<MonotonicTime>,
    reported: Option<MonotonicTime>,
}

impl LeaderWatch {
    /// Records whether there is a leader; returns how long there has been none if a report is due.
    pub(crate) fn record(&mut self, now: MonotonicTime, has_leader: bool) -> Option<Duration> {
        if has_leader {
            *self = Self::default();
            return None;
        }
        let since = *self.since.get_or_insert(now);
        let is_due = now.since(self.reported.unwrap_or(since)) >= LEADERLESS_REPORT_INTERVAL;
        is_due.then(|| {
            self.reported = Some(now);
            now.since(since)
        })
    }
}
