//! Collects what is logged about a replica: the state recovered from its disk, how long it has had
//! no leader, and slow syncs.

use std::time::Duration;

use oriolepass_storage::RecoveredLog;
use oriolepass_units::{LeaderTerm, LogIndex, MonotonicTime};

/// The time without a leader before the first report, and the interval between reports. It is
/// longer than an election, so ordinary elections are not reported.
const LEADERLESS_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A sync that takes this long is reported: a quarter of the shortest election timeout.
const SLOW_SYNC: Duration = Duration::from_millis(100);

/// The minimum interval between two reports of slow syncs.
const SYNC_REPORT_INTERVAL: Duration = Duration::from_secs(1);

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

/// The slow syncs of an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlowSync {
    pub(crate) count: u64,
    pub(crate) longest: Duration,
}

/// Counts slow syncs and determines when they are due for a report.
#[derive(Debug, Default)]
pub(crate) struct SyncWatch {
    unreported: Option<SlowSync>,
    reported: Option<MonotonicTime>,
}

impl SyncWatch {
    /// Records a sync; returns the slow syncs since the last report if a report is due.
    pub(crate) fn record(&mut self, now: MonotonicTime, took: Duration) -> Option<SlowSync> {
        if took >= SLOW_SYNC {
            let slow = self.unreported.get_or_insert(SlowSync { count: 0, longest: took });
            slow.count += 1;
            slow.longest = slow.longest.max(took);
        }
        if self.reported.is_some_and(|at| now.since(at) < SYNC_REPORT_INTERVAL) {
            return None;
        }
        let slow = self.unreported.take()?;
        self.reported = Some(now);
        Some(slow)
    }
}
