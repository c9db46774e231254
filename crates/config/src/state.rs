//! The whole replicated state, its snapshots and the deltas for followers.

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

/// Deltas kept for followers; one that has missed more starts from a whole view.
const DELTAS_RETAINED: usize = 1_024;

/// A snapshot that cannot be read.
#[derive(Debug, Error)]
#[error(
    "the snapshot cannot be decoded ({0}); it was written by an incompatible version: start this \
     voter with an empty data folder and let it catch up from the others"
)]
pub struct SnapshotError(#[from] postcard::Error);

/// Everything that the replicated log decides.
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
    /// Applies the next entry of the log.
    ///
    /// # Panics
    ///
    /// Panics when `index` does not follow the last one applied: an entry applied twice or left
    /// out would make this replica differ from the others for ever.
    pub fn apply(&mut self, index: LogIndex, stamped: &StampedCommand) -> ApplyOutcome {
        assert_eq!(index, self.applied.next(), "log entries are applied in order, each once");
        self.applied = index;
        // A new leader's clock may lie behind the old one's. Time in the state never goes back,
        // or a claim that was forgotten could seem young again.
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

    /// Returns the index of the last entry applied.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the half of the state that every daemon holds.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Returns audit records after a sequence number, at most `limit` of them.
    pub fn audit(&self, after: u64, limit: usize) -> AuditTrailView {
        self.audit.view(after, limit)
    }

    /// Returns the number of claims kept.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of answers kept for resends.
    pub fn resend_count(&self) -> usize {
        self.resends.len()
    }

    /// Returns the deltas after `have`, or none where a follower must take the whole view.
    pub fn deltas_after(&self, have: LogIndex) -> Option<Vec<ViewDelta>> {
        if have >= self.view.index {
            return Some(Vec::new());
        }
        // A follower needs every delta after its own. Only if one at or before its index is
        // still here is it certain that none in between was dropped.
        let complete = self.deltas.front().is_some_and(|oldest| oldest.index <= have);
        complete.then(|| self.deltas.iter().filter(|d| d.index > have).cloned().collect())
    }

    /// Encodes the state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state always serialises")
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no snapshot of this version.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    pub(crate) fn change_view(
        &mut self,
        index: LogIndex,
        config_revision: ObjectRevision,
        change: ViewChange,
    ) {
        let delta = ViewDelta { index, config_revision, change };
        self.view.apply_delta(delta.clone());
        self.deltas.push_back(delta);
        if self.deltas.len() > DELTAS_RETAINED {
            self.deltas.pop_front();
        }
    }
}
