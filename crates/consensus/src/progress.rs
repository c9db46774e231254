//! What a leader knows of one other replica.

use std::sync::Arc;

use oriolepass_units::{LogIndex, MonotonicTime};

use crate::node::HeldSnapshot;

/// Append messages under way to one replica at a time.
pub(crate) const MAX_IN_FLIGHT: usize = 16;

/// How entries reach a replica.
#[derive(Debug)]
pub(crate) enum SendMode {
    /// Its log is being compared, one message at a time.
    Probe,
    /// Entries are sent ahead of the answers.
    Pipeline,
    /// It is too far behind and receives a snapshot, one piece at a time.
    Snapshot { held: Arc<HeldSnapshot>, offset: u64 },
}

/// One replica as its leader sees it.
#[derive(Debug)]
pub(crate) struct ReplicaProgress {
    pub(crate) next: LogIndex,
    pub(crate) matched: LogIndex,
    pub(crate) acked_round: u64,
    pub(crate) last_contact: Option<MonotonicTime>,
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
            in_flight: 0,
            mode: SendMode::Probe,
        }
    }

    /// Returns whether another append may be sent now.
    pub(crate) fn may_send(&self) -> bool {
        match self.mode {
            SendMode::Probe => self.in_flight == 0,
            SendMode::Pipeline => self.in_flight < MAX_IN_FLIGHT,
            SendMode::Snapshot { .. } => false,
        }
    }

    pub(crate) fn accepted(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.in_flight = self.in_flight.saturating_sub(1);
        if !matches!(self.mode, SendMode::Snapshot { .. }) {
            self.mode = SendMode::Pipeline;
        }
    }

    pub(crate) fn rejected(&mut self, hint: LogIndex) {
        self.in_flight = 0;
        if !matches!(self.mode, SendMode::Snapshot { .. }) {
            // What was acknowledged once is synced there, so a late refusal cannot take it back.
            self.next = hint.next().min(self.next).max(self.matched.next());
            self.mode = SendMode::Probe;
        }
    }
}
