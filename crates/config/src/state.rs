//! Defines the replicated state, its snapshots and the deltas for followers.

use std::collections::VecDeque;

use oriolepass_schema::operator::AuditTrailView;
use oriolepass_units::{LogIndex, ObjectRevision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::audit::AuditTrail;
use crate::claims::ClaimTable;
use crate::command::{ApplyOutcome, ReplicatedCommand, StampedCommand};
use crate::resend::ResendTable;
use crate::view::{ConfigView, ViewChange, ViewDelta};

/// Maximum number of deltas retained for followers. A follower that lags by more takes the whole
/// view.
const MAX_RETAINED_DELTAS: usize = 1_024;

/// The error of decoding a snapshot.
#[derive(Debug, Error)]
#[error(
    "the snapshot cannot be decoded ({0}); it was written by an incompatible version: start this \
     voter with an empty data folder and let it catch up from the others"
)]
pub struct SnapshotError(#[from] postcard::Error);

/// The state machine of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    applied: LogIndex,
    unix_ms: u64,
    pub(crate) view: ConfigView,
    pub(crate) resends: ResendTable,
    pub(crate) claims: ClaimTable,
    pub(crate) audit: AuditTrail,
    #[serde(skip)]
    deltas: VecDeque<ViewDelta>,
}

impl ReplicatedState {
    /// Applies the next log entry.
    ///
    /// # Panics
    ///
    /// Panics if `index` does not directly follow the last applied index. An entry applied twice
    /// or skipped would make this replica diverge permanently from the others.
    pub fn apply(&mut self, index: LogIndex, stamped: &StampedCommand) -> ApplyOutcome {
        assert_eq!(
            index,
            self.applied.next(),
            "log entries must be applied in order, each exactly once"
        );
        self.applied = index;
        // A new leader's clock may be behind the clock of the previous leader. The time in the
        // state must not decrease, or an expired claim could count as unexpired again.
        self.unix_ms = self.unix_ms.max(stamped.unix_ms);
        let unix_ms = self.unix_ms;
        match &stamped.command {
            ReplicatedCommand::Noop => ApplyOutcome::Done,
            ReplicatedCommand::Bootstrap { root_key } => {
                self.apply_bootstrap(index, unix_ms, root_key)
            }
            ReplicatedCommand::Change(change) => self.apply_change(index, unix_ms, change),
            ReplicatedCommand::Claim(claim) => {
                use crate::claims::ClaimAnswer;

                let entry = self.view.members.get(&claim.entry);
                if entry.is_none_or(|entry| entry.epoch != claim.epoch) {
                    return ApplyOutcome::Claimed(ClaimAnswer::StaleEntry);
                }
                ApplyOutcome::Claimed(self.claims.claim(claim, unix_ms))
            }
            ReplicatedCommand::Settle(settle) => ApplyOutcome::Claimed(self.claims.settle(settle)),
            ReplicatedCommand::Member(member) => self.apply_member(index, unix_ms, member),
        }
    }

    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the part of the state that every daemon holds.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Returns up to `limit` audit records that follow the sequence number `after`.
    pub fn audit(&self, after: u64, limit: usize) -> AuditTrailView {
        self.audit.view(after, limit)
    }

    /// Returns the number of retained claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of answers retained for resends.
    pub fn resend_count(&self) -> usize {
        self.resends.len()
    }

    /// Returns the deltas after index `have`, or `None` if the follower must take the whole view.
    pub fn deltas_after(&self, have: LogIndex) -> Option<Vec<ViewDelta>> {
        if have >= self.view.index {
            return Some(Vec::new());
        }
        // A follower needs every delta after its index. If a delta at or before that index is
        // retained, no delta in between has been evicted.
        let complete = self.deltas.front().is_some_and(|oldest| oldest.index <= have);
        complete.then(|| self.deltas.iter().filter(|d| d.index > have).cloned().collect())
    }

    /// Encodes the state as a snapshot.
    pub fn to_snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state always serialises")
    }

    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot of this version.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Applies a change to the view and retains its delta for followers.
    pub(crate) fn change_view(
        &mut self,
        index: LogIndex,
        config_revision: ObjectRevision,
        change: ViewChange,
    ) {
        let delta = ViewDelta { index, config_revision, change };
        self.view.apply_delta(delta.clone());
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_RETAINED_DELTAS {
            self.deltas.pop_front();
        }
    }
}
