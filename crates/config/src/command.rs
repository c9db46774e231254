//! Defines the commands of the replicated log and the outcomes of applying them.

use oriolepass_schema::error::ApiError;
use oriolepass_schema::operator::{ChangeAnswer, ChangeCall, KeyHash};
use oriolepass_units::{AccountId, AttemptId, CallerKey, InstanceId, LeaseEpoch, TeamId};
use serde::{Deserialize, Serialize};

use crate::claims::{ClaimAnswer, KeptAnswer};
use crate::members::MemberRecord;

/// A configuration change with the team that requests it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCommand {
    /// The team, authenticated by its key.
    pub team: TeamId,
    /// The change.
    pub call: ChangeCall,
}

/// Claims the single run of a non-repeatable request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCommand {
    /// The account.
    pub account: AccountId,
    /// The caller key, which identifies the request within the account.
    pub key: CallerKey,
    /// SHA-256 digest of the request's content.
    pub body_digest: String,
    /// Unique id of this claim, which makes a repeated proposal idempotent.
    pub nonce: AttemptId,
    /// The entry instance that will send the request.
    pub entry: InstanceId,
    /// The lease of the entry instance.
    pub epoch: LeaseEpoch,
    /// The time allowed for the request, in milliseconds.
    pub allowed_ms: u64,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The request ran; this is its answer.
    Done(KeptAnswer),
    /// The request did not run; the caller key is released.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

/// Settles a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleCommand {
    /// The account.
    pub account: AccountId,
    /// The caller key, which identifies the request within the account.
    pub key: CallerKey,
    /// The claim's nonce.
    pub nonce: AttemptId,
    /// How the request ended.
    pub verdict: ClaimVerdict,
}

/// A change of the membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberCommand {
    /// An instance joins, or rejoins after its lease ended.
    Join(MemberRecord),
    /// An instance starts to drain before it leaves.
    Drain(InstanceId),
    /// The lease of an instance ended.
    Remove {
        /// The instance.
        instance: InstanceId,
        /// The lease that ended; a member with another lease is not removed.
        epoch: LeaseEpoch,
    },
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicatedCommand {
    /// Changes nothing. A log entry that holds no command is applied as a no-op: a voter set, or the
    /// empty entry that a new leader commits to determine the commit index.
    Noop,
    /// Creates the first team, an admin team that can create the others; has no effect once a
    /// team exists.
    Bootstrap {
        /// The hash of the team's key.
        root_key: KeyHash,
    },
    /// Changes the configuration.
    Change(ChangeCommand),
    /// Claims a request.
    Claim(ClaimCommand),
    /// Settles a claim.
    Settle(SettleCommand),
    /// Changes the membership.
    Member(MemberCommand),
}

/// A command with the time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Milliseconds of Unix time on the leader's clock.
    pub unix_ms: u64,
    /// The command.
    pub command: ReplicatedCommand,
}

/// The outcome of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The command was applied and has no result.
    Done,
    /// The change was accepted, either now or by an earlier call with the same change id.
    Changed(ChangeAnswer),
    /// The command was refused.
    Refused(ApiError),
    /// The state of the claim.
    Claimed(ClaimAnswer),
    /// The instance is a member with this lease.
    Member(LeaseEpoch),
}
