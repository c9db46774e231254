//! The questions that daemons ask each other.

use std::time::Duration;

use bytes::Bytes;
use oriolepass_config::{ApplyOutcome, MemberRecord, ReplicatedCommand};
use oriolepass_scheduler::{GrantRefusal, GrantRequest, HomeDigest, PromptGrant, ReleaseReason};
use oriolepass_schema::operator::AuditTrailView;
use oriolepass_units::{AttemptId, InstanceId, LeaderTerm, LeaseEpoch, LogIndex, ObjectRevision};
use serde::{Deserialize, Serialize};

use crate::view::ViewUpdate;

/// A sign of life of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberBeat {
    /// The member.
    pub(crate) record: MemberRecord,
    /// The configuration's revision in force there.
    pub(crate) applied: ObjectRevision,
    /// Whether it has caught up and wants to be a member. Before that it only asks how far it
    /// has to come: a member is named to callers, so it must be able to serve them.
    pub(crate) join: bool,
}

/// The leader's answer to a sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberLease {
    /// The lease.
    pub(crate) epoch: LeaseEpoch,
    /// The last change of the view that is committed.
    pub(crate) view_index: LogIndex,
}

/// What only the leader knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderReport {
    /// Its term.
    pub(crate) term: LeaderTerm,
    /// The configuration's revision in force at each member that has reported.
    pub(crate) applied: Vec<(InstanceId, ObjectRevision)>,
    /// The instances that vote.
    pub(crate) voters: Vec<InstanceId>,
    /// The instances that are catching up to vote.
    pub(crate) learners: Vec<InstanceId>,
}

/// Why the log did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogFailure {
    /// The daemon asked is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
        /// The term of the daemon asked.
        term: LeaderTerm,
    },
    /// Leadership was lost; it may or may not come to pass.
    Lost,
    /// The ring of the log's thread is full.
    Busy,
}

/// An answer that only the leader gives.
pub(crate) type LeaderAnswer<T> = Result<T, LogFailure>;

/// A question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerQuestion {
    /// To the leader: commit a command.
    Propose(ReplicatedCommand),
    /// To the leader: I am alive.
    Beat(MemberBeat),
    /// To the leader: audit records.
    Audit {
        /// The sequence number after which they start.
        after: u64,
        /// How many at most.
        limit: u32,
    },
    /// To the leader: who votes, and which revision each member has in force.
    LeaderReport,
    /// To the leader: change which instances should be voters.
    WantVoters(Vec<InstanceId>),
    /// To any daemon: what changed in the view; waits a while for something to change.
    Follow {
        /// What the asker has.
        have: LogIndex,
    },
    /// To a home: the use of an endpoint; waits until it is granted or refused.
    Grant(GrantRequest),
    /// To a home: an attempt's first token has come.
    Started(AttemptId),
    /// To a home: these grants are still in use.
    Renew {
        /// The entry.
        entry: InstanceId,
        /// The grants.
        attempts: Vec<AttemptId>,
    },
    /// To a home: a grant, or the wait for one, has ended.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: ReleaseReason,
    },
    /// To any daemon: what a home serves.
    Digest(HomeDigest),
    /// To any daemon: is the connection alive?
    Ping,
}

impl PeerQuestion {
    /// Writes the question as it goes over a connection.
    pub(crate) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).expect("a question always serialises").into()
    }
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    /// To [`PeerQuestion::Propose`].
    Proposed(LeaderAnswer<ApplyOutcome>),
    /// To [`PeerQuestion::Beat`].
    Lease(LeaderAnswer<MemberLease>),
    /// To [`PeerQuestion::Audit`].
    Audit(LeaderAnswer<AuditTrailView>),
    /// To [`PeerQuestion::LeaderReport`].
    LeaderReport(LeaderAnswer<LeaderReport>),
    /// To [`PeerQuestion::WantVoters`].
    VotersWanted(LeaderAnswer<()>),
    /// To [`PeerQuestion::Follow`].
    View(ViewUpdate),
    /// To [`PeerQuestion::Grant`].
    Granted(Result<PromptGrant, GrantRefusal>),
    /// To [`PeerQuestion::Renew`]: those that are not known.
    Unknown(Vec<AttemptId>),
    /// Noted.
    Noted,
    /// The ring of the duty asked is full.
    RingFull,
}

/// How long a follower's question waits for a change.
pub(crate) const FOLLOW_WAIT: Duration = Duration::from_millis(500);
