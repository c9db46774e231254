//! The commands of the replicated log and what applying them answers.

use oriolepass_schema::error::ApiError;
use oriolepass_schema::operator::{ChangeAnswer, ChangeCall, KeyHash};
use oriolepass_units::{AccountId, AttemptId, CallerKey, InstanceId, LeaseEpoch, TeamId};
use serde::{Deserialize, Serialize};

use crate::claims::{ClaimAnswer, KeptAnswer};
use crate::members::MemberRecord;

/// A change of the configuration with the team that asks for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCommand {
    /// The team, as its key proved.
    pub team: TeamId,
    /// The change.
    pub call: ChangeCall,
}

/// Claims the one run of a non-repeatable request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCommand {
    /// The account.
    pub account: AccountId,
    /// The caller's name for the request.
    pub key: CallerKey,
    /// SHA-256 of the request's content.
    pub body_digest: String,
    /// Tells this claim from every other, so that proposing it twice is harmless.
    pub nonce: AttemptId,
    /// The entry instance that will send the request.
    pub entry: InstanceId,
    /// The entry's lease.
    pub epoch: LeaseEpoch,
    /// The time that the request may take, in milliseconds.
    pub allowed_ms: u64,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// It ran, and this is its answer.
    Done(KeptAnswer),
    /// It did not run; the key is free again.
    NotRun,
    /// It cannot be told.
    Unknown,
}

/// Settles a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleCommand {
    /// The account.
    pub account: AccountId,
    /// The caller's name for the request.
    pub key: CallerKey,
    /// The claim's nonce.
    pub nonce: AttemptId,
    /// How it ended.
    pub verdict: ClaimVerdict,
}

/// A change of the membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberCommand {
    /// An instance joins, or joins again after its lease ended.
    Join(MemberRecord),
    /// An instance is to leave gracefully.
    Drain(InstanceId),
    /// The lease of an instance ended.
    Remove {
        /// The instance.
        instance: InstanceId,
        /// The lease that ended; a later one is left alone.
        epoch: LeaseEpoch,
    },
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicatedCommand {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// Create the first team, which may create all others; refused once there is a team.
    Bootstrap {
        /// The hash of its key.
        root_key: KeyHash,
    },
    /// Change the configuration.
    Change(ChangeCommand),
    /// Claim a request.
    Claim(ClaimCommand),
    /// Settle a claim.
    Settle(SettleCommand),
    /// Change the membership.
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

/// What applying a command answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// Nothing to say.
    Done,
    /// The change was accepted, now or by an earlier call with the same id.
    Changed(ChangeAnswer),
    /// The command was refused.
    Refused(ApiError),
    /// The state of the claim.
    Claimed(ClaimAnswer),
    /// The instance is a member with this lease.
    Member(LeaseEpoch),
}
