//! Tracks the replication progress of one other replica on the leader.

use std::sync::Arc;

use oriolepass_units::{LogIndex, MonotonicTime};

use crate::node::HeldSnapshot;

/// The maximum number of unanswered append messages to one replica.
pub(crate) const MAX_IN_FLIGHT_APPENDS: usize = 16;

/// How entries are sent to a replica.
#[derive(Debug)]
pub(crate) enum SendMode {
    /// The replica's log is compared with the leader's, one message at a time.
    Probe,
    /// Entries are sent without waiting for answers to earlier ones.
    Pipeline,
    /// The replica lags too far behind and receives a snapshot, one chunk at a time.
    Snapshot { held: Arc<HeldSnapshot>, offset: u64 },
}

/// The replication state of one replica, as known to the leader.
#[derive(Debug)]
pub(crate) struct ReplicaProgress {
    pub(crate) next: LogIndex,
    pub(crate) matched: LogIndex,
    pub(crate) acked_round: u64,
    pub(crate) last_contact: Option<MonotonicTime>,
    /// The attended time of the last contact.
    pub(crate) last_heard: Option<MonotonicTime>,
    /// The time of the last answer that the replica's disk has confirmed. A replica whose disk
    /// hangs still answers heartbeats, but it is no use as a voter.
    pub(crate) last_synced: Option<MonotonicTime>,
    pub(crate) in_flight: usize,
    pub(crate) mode: SendMode,
}

impl ReplicaProgress {
    pub(crate) fn new(next: LogIndex) -> Self {
        Self {
            next,
            matched: LogIndex::ZERO,
            acked_round: 0,
            last_contact: None,
            last_heard: None,
            last_synced: None,
            in_flight: 0,
            mode: SendMode::Probe,
        }
    }

    /// Returns whether another message with entries may be sent now.
    pub(crate) fn may_send(&self) -> bool {
        match self.mode {
            SendMode::Probe => self.in_flight == 0,
            SendMode::Pipeline => self.in_flight < MAX_IN_FLIGHT_APPENDS,
            SendMode::Snapshot { .. } => false,
        }
    }

    /// Records that the replica holds the entries up to `index`.
    pub(crate) fn accepted(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.in_flight = self.in_flight.saturating_sub(1);
        if !matches!(self.mode, SendMode::Snapshot { .. }) {
            self.mode = SendMode::Pipeline;
        }
    }

    /// Records a refused append and resumes after `hint`.
    pub(crate) fn rejected(&mut self, hint: LogIndex) {
        self.in_flight = 0;
        if !matches!(self.mode, SendMode::Snapshot { .. }) {
            // Acknowledged entries are synced on the replica, so a delayed refusal does not move
            // the position before them.
            self.next = hint.next().min(self.next).max(self.matched.next());
            self.mode = SendMode::Probe;
        }
    }
}
