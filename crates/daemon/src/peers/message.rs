//! Defines the messages between daemons: the queries ([`PeerQuestion`]) and their answers.

use std::time::Duration;

use bytes::Bytes;
use oriolepass_config::{ApplyOutcome, MemberRecord, ReplicatedCommand};
use oriolepass_scheduler::{GrantRefusal, GrantRequest, HomeDigest, PromptGrant, ReleaseReason};
use oriolepass_schema::operator::AuditTrailView;
use oriolepass_units::{AttemptId, InstanceId, LeaderTerm, LeaseEpoch, LogIndex, ObjectRevision};
use serde::{Deserialize, Serialize};

use crate::view::ViewUpdate;

/// A heartbeat of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberHeartbeat {
    /// The record of the member.
    pub(crate) record: MemberRecord,
    /// The configuration revision in force at the member.
    pub(crate) applied: ObjectRevision,
    /// Whether the daemon has caught up and requests membership. Before that, the heartbeat only
    /// requests the index to reach: address answers name members to callers, so a member must be
    /// able to serve them.
    pub(crate) join: bool,
}

/// The leader's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberLease {
    /// The epoch of the lease; zero if the daemon is not a member.
    pub(crate) epoch: LeaseEpoch,
    /// The log index of the last committed change of the view.
    pub(crate) view_index: LogIndex,
}

/// State that only the leader has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderReport {
    /// The term of the leader.
    pub(crate) term: LeaderTerm,
    /// The configuration revision in force at each member that has reported one.
    pub(crate) applied: Vec<(InstanceId, ObjectRevision)>,
    /// The instances that vote.
    pub(crate) voters: Vec<InstanceId>,
    /// The instances that are catching up with the log before they vote.
    pub(crate) learners: Vec<InstanceId>,
}

/// The reason why the log did not fulfil a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogFailure {
    /// The receiving daemon is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
        /// The term of the receiving daemon.
        term: LeaderTerm,
    },
    /// Leadership was lost, so the outcome of the request is unknown.
    Lost,
    /// The ring of the `log` thread is full, or a join has been proposed and is not yet committed.
    Busy,
}

/// The result of a query that only the leader can answer.
pub(crate) type LeaderAnswer<T> = Result<T, LogFailure>;

/// A query to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerQuestion {
    /// To the leader: proposes a command and waits until it is committed and applied.
    Propose(ReplicatedCommand),
    /// To the leader: a heartbeat.
    Beat(MemberHeartbeat),
    /// To the leader: requests audit records.
    Audit {
        /// The sequence number after which the records start.
        after: u64,
        /// The maximum number of records.
        limit: u32,
    },
    /// To the leader: requests the voters and the revision in force at each member.
    LeaderReport,
    /// To the leader: sets the instances that should be voters.
    WantVoters(Vec<InstanceId>),
    /// To any daemon: requests the changes of the view after `have`. The query is a long poll: it
    /// waits up to [`FOLLOW_LONG_POLL_TIMEOUT`] for a change.
    Follow {
        /// The index of the sender's view.
        have: LogIndex,
    },
    /// To a home: requests a grant for an endpoint; waits until it is granted or refused.
    Grant(GrantRequest),
    /// To a home: reports that the first token of an attempt has arrived.
    Started(AttemptId),
    /// To a home: renews grants that are still in use.
    Renew {
        /// The entry, which is the instance that received the requests.
        entry: InstanceId,
        /// The attempts that hold the grants.
        attempts: Vec<AttemptId>,
    },
    /// To a home: ends a grant or a pending grant request.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The reason for the release.
        reason: ReleaseReason,
    },
    /// To any daemon: reports the digest of a home.
    Digest(HomeDigest),
    /// To any daemon: checks that the connection is alive.
    Ping,
}

impl PeerQuestion {
    /// Encodes the query for the wire.
    pub(crate) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).expect("a query always serialises").into()
    }
}

/// The answer to a [`PeerQuestion`].
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
    /// To [`PeerQuestion::Renew`]: the attempts that the home does not know.
    Unknown(Vec<AttemptId>),
    /// The message was received; there is no other content.
    Noted,
    /// The ring of the receiving duty is full.
    RingFull,
}

/// The time that a [`PeerQuestion::Follow`] waits for a change.
pub(crate) const FOLLOW_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
