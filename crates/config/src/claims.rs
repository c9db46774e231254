//! Claims of non-repeatable requests: the record that makes "at most once" true.
//!
//! An entry instance sends a non-repeatable request only after its claim is committed, and each
//! (account, caller key) has one claim. A claim is freed for another run only by the word of
//! the entry that holds it that not one byte left.

use std::collections::{BTreeMap, BTreeSet};

use oriolepass_units::{AccountId, AttemptId, CallerKey, InstanceId, LeaseEpoch};
use serde::{Deserialize, Serialize};

use crate::command::{ClaimCommand, ClaimVerdict, SettleCommand};

/// How long a claim is kept after its request's time ended: a day.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// How long after its time a running claim counts as unknown: clocks differ and settling lags.
pub const CLAIM_GRACE_MS: u64 = 5_000;

/// The most claims kept. Beyond it, new ones are refused: forgetting one early could let its
/// request run twice.
pub const MAX_CLAIMS: usize = 200_000;

/// The longest answer kept for resends, in bytes.
pub const MAX_KEPT_BYTES: usize = 32 * 1024;

/// An answer kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The status of a plain service's answer; 200 for a model's.
    pub status: u16,
    /// The answer's content type.
    pub content_type: String,
    /// The answer; absent where it was longer than [`MAX_KEPT_BYTES`].
    pub body: Option<Vec<u8>>,
}

impl KeptAnswer {
    /// Creates a record of an answer, leaving out a body that is too long to keep.
    pub fn new(status: u16, content_type: String, body: &[u8]) -> Self {
        let body = (body.len() <= MAX_KEPT_BYTES).then(|| body.to_vec());
        Self { status, content_type, body }
    }
}

/// What a claim answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant may send the request, once.
    Granted,
    /// It ran before; this is the answer.
    Done(KeptAnswer),
    /// It is still running.
    StillRunning,
    /// It may have run.
    Unknown,
    /// The key names another request.
    OtherBody,
    /// Too many claims are kept.
    Full,
    /// The claimant's lease ended; it must join again first.
    StaleEntry,
    /// There is no such claim to settle.
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

/// All claims that are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimTable {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    by_due: BTreeSet<(u64, ClaimKey)>,
}

impl ClaimTable {
    pub(crate) fn claim(&mut self, command: &ClaimCommand, unix_ms: u64) -> ClaimAnswer {
        self.forget_old(unix_ms);
        let key = (command.account.clone(), command.key.clone());
        if let Some(record) = self.records.get(&key) {
            return Self::answer_again(record, command, unix_ms);
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

    fn answer_again(record: &ClaimRecord, command: &ClaimCommand, unix_ms: u64) -> ClaimAnswer {
        if record.body_digest != command.body_digest {
            return ClaimAnswer::OtherBody;
        }
        match &record.state {
            ClaimState::Done(answer) => ClaimAnswer::Done(answer.clone()),
            ClaimState::Unknown => ClaimAnswer::Unknown,
            // The claimant itself asks again because it lost the answer to its proposal. It has
            // not sent anything yet: it sends only after it has seen this answer.
            ClaimState::Running if record.nonce == command.nonce => ClaimAnswer::Granted,
            ClaimState::Running if unix_ms > record.due_ms.saturating_add(CLAIM_GRACE_MS) => {
                ClaimAnswer::Unknown
            }
            ClaimState::Running => ClaimAnswer::StillRunning,
        }
    }

    pub(crate) fn settle(&mut self, command: &SettleCommand) -> ClaimAnswer {
        let key = (command.account.clone(), command.key.clone());
        let Some(record) = self.records.get_mut(&key).filter(|r| r.nonce == command.nonce) else {
            return ClaimAnswer::NoClaim;
        };
        // Only the one entry that held the claim settles it, so its word may also replace an
        // `Unknown` that was recorded when its lease ended. A `Done` is final.
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

    /// Marks what an entry held as unknown, after its lease ended.
    pub(crate) fn entry_gone(&mut self, entry: &InstanceId, epoch: LeaseEpoch) {
        self.records
            .values_mut()
            .filter(|r| r.entry == *entry && r.epoch <= epoch && r.state == ClaimState::Running)
            .for_each(|record| record.state = ClaimState::Unknown);
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    fn forget_old(&mut self, unix_ms: u64) {
        let horizon = unix_ms.saturating_sub(CLAIM_RETENTION_MS);
        while let Some((due, key)) = self.by_due.first().filter(|(due, _)| *due < horizon).cloned()
        {
            self.by_due.remove(&(due, key.clone()));
            self.records.remove(&key);
        }
    }
}
