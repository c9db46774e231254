//! Tracks claims of non-repeatable requests, which give at-most-once execution.
//!
//! The entry instance is the daemon that accepted the request from the caller. It sends a
//! non-repeatable request only after the request's claim is committed. Each pair of account and
//! caller key has at most one claim. A claim is released for another run only when the entry
//! instance that holds it reports that it sent no byte of the request.

use std::collections::{BTreeMap, BTreeSet};

use oriolepass_units::{AccountId, AttemptId, CallerKey, InstanceId, LeaseEpoch};
use serde::{Deserialize, Serialize};

use crate::command::{ClaimCommand, ClaimVerdict, SettleCommand};

/// Retention period of a claim after the deadline of its request: 24 hours.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Grace period after the deadline before a running claim counts as unknown. It covers clock
/// differences and the delay of settling.
pub const CLAIM_GRACE_MS: u64 = 5_000;

/// Maximum number of retained claims. New claims above it are refused, because evicting a claim
/// early could let its request run twice.
pub const MAX_CLAIMS: usize = 200_000;

/// Maximum size of an answer body retained for resends, in bytes.
pub const MAX_KEPT_BYTES: usize = 32 * 1024;

/// An answer retained for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status of a service's answer; 200 for the answer of a model.
    pub status: u16,
    /// The answer's content type.
    pub content_type: String,
    /// The body; absent if it was longer than [`MAX_KEPT_BYTES`].
    pub body: Option<Vec<u8>>,
}

impl KeptAnswer {
    /// Creates a record of an answer, without the body if it exceeds [`MAX_KEPT_BYTES`].
    pub fn new(status: u16, content_type: String, body: &[u8]) -> Self {
        let body = (body.len() <= MAX_KEPT_BYTES).then(|| body.to_vec());
        Self { status, content_type, body }
    }
}

/// The result of claiming a request or settling a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant may send the request once; for a settled claim, the claim is released.
    Granted,
    /// The request has run; this is its answer.
    Done(KeptAnswer),
    /// The request is still running.
    StillRunning,
    /// The request may have run.
    Unknown,
    /// The caller key was used with a different request body.
    OtherBody,
    /// The table holds [`MAX_CLAIMS`] claims.
    Full,
    /// The claimant's lease has ended; it must join again before it can claim.
    StaleEntry,
    /// The claim to settle does not exist.
    NoClaim,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    Running,
    Done(KeptAnswer),
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    body_digest: String,
    nonce: AttemptId,
    entry: InstanceId,
    epoch: LeaseEpoch,
    due_ms: u64,
    state: ClaimState,
}

type ClaimKey = (AccountId, CallerKey);

/// All retained claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimTable {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    by_due: BTreeSet<(u64, ClaimKey)>,
}

impl ClaimTable {
    /// Claims a request, or returns the state of its present claim.
    pub(crate) fn claim(&mut self, command: &ClaimCommand, unix_ms: u64) -> ClaimAnswer {
        self.evict_expired(unix_ms);
        let key = (command.account.clone(), command.key.clone());
        if let Some(record) = self.records.get(&key) {
            return Self::answer_repeated_claim(record, command, unix_ms);
        }
        if self.records.len() >= MAX_CLAIMS {
            return ClaimAnswer::Full;
        }
        let record = ClaimRecord {
            body_digest: command.body_digest.clone(),
            nonce: command.nonce.clone(),
            entry: command.entry.clone(),
            epoch: command.epoch,
            due_ms: unix_ms.saturating_add(command.allowed_ms),
            state: ClaimState::Running,
        };
        self.by_due.insert((record.due_ms, key.clone()));
        self.records.insert(key, record);
        ClaimAnswer::Granted
    }

    fn answer_repeated_claim(
        record: &ClaimRecord,
        command: &ClaimCommand,
        unix_ms: u64,
    ) -> ClaimAnswer {
        if record.body_digest != command.body_digest {
            return ClaimAnswer::OtherBody;
        }
        match &record.state {
            ClaimState::Done(answer) => ClaimAnswer::Done(answer.clone()),
            ClaimState::Unknown => ClaimAnswer::Unknown,
            // The claimant repeats its proposal because it lost the answer. It has not sent the
            // request yet, because it sends only after it has received this answer.
            ClaimState::Running if record.nonce == command.nonce => ClaimAnswer::Granted,
            ClaimState::Running if unix_ms > record.due_ms.saturating_add(CLAIM_GRACE_MS) => {
                ClaimAnswer::Unknown
            }
            ClaimState::Running => ClaimAnswer::StillRunning,
        }
    }

    /// Records the outcome of a claimed request.
    pub(crate) fn settle(&mut self, command: &SettleCommand) -> ClaimAnswer {
        let key = (command.account.clone(), command.key.clone());
        let Some(record) = self.records.get_mut(&key).filter(|r| r.nonce == command.nonce) else {
            return ClaimAnswer::NoClaim;
        };
        // Only the entry instance that holds the claim settles it, so its verdict may also replace
        // an `Unknown` that was recorded when its lease ended. `Done` is final.
        if let ClaimState::Done(answer) = &record.state {
            return ClaimAnswer::Done(answer.clone());
        }
        match &command.verdict {
            ClaimVerdict::Done(answer) => {
                record.state = ClaimState::Done(answer.clone());
                ClaimAnswer::Done(answer.clone())
            }
            ClaimVerdict::Unknown => {
                record.state = ClaimState::Unknown;
                ClaimAnswer::Unknown
            }
            ClaimVerdict::NotRun => {
                let due = record.due_ms;
                self.records.remove(&key);
                self.by_due.remove(&(due, key));
                ClaimAnswer::Granted
            }
        }
    }

    /// Marks the running claims of an entry instance as unknown after its lease `epoch` ended.
    pub(crate) fn mark_unknown(&mut self, entry: &InstanceId, epoch: LeaseEpoch) {
        self.records
            .values_mut()
            .filter(|r| r.entry == *entry && r.epoch <= epoch && r.state == ClaimState::Running)
            .for_each(|record| record.state = ClaimState::Unknown);
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Evicts claims whose retention period has ended.
    fn evict_expired(&mut self, unix_ms: u64) {
        let cutoff_ms = unix_ms.saturating_sub(CLAIM_RETENTION_MS);
        while let Some((due, key)) =
            self.by_due.first().filter(|(due, _)| *due < cutoff_ms).cloned()
        {
            self.by_due.remove(&(due, key.clone()));
            self.records.remove(&key);
        }
    }
}
