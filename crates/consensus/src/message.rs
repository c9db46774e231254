//! Defines the messages between replicas.

use std::collections::BTreeMap;

use oriolepass_units::{InstanceId, LeaderTerm, LogIndex};
use serde::{Deserialize, Serialize};

use crate::log::LogEntry;
use crate::replica::{DiskId, ReplicaId, VoterSet};

/// A message between replicas. Its encoding depends on the order of variants and fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// A fresh replica reports to the other first voters which replicas it has met.
    Forming {
        /// The disks of the first voters met so far, the sender's own among them.
        met: BTreeMap<InstanceId, DiskId>,
        /// The first voters that the sender would form a cluster with; stored on its disk.
        first_voters: Vec<InstanceId>,
    },
    /// The cluster already exists.
    Formed {
        /// The first voter set of the cluster.
        first: VoterSet,
    },
    /// A replica that is not a voter, or that may have been removed while it was away, asks the
    /// leader to add it.
    JoinAsk,
    /// Asks whether the receiver would grant a vote (pre-vote request).
    PreVoteAsk {
        /// The term that the sender would start.
        term: LeaderTerm,
        /// The index of the sender's last entry.
        last_index: LogIndex,
        /// That entry's term.
        last_term: LeaderTerm,
    },
    /// The answer to [`ConsensusMessage::PreVoteAsk`].
    PreVoteAnswer {
        /// The requested term if granted, otherwise the sender's term.
        term: LeaderTerm,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests the receiver's vote.
    VoteAsk {
        /// The candidate's term.
        term: LeaderTerm,
        /// The index of the candidate's last entry.
        last_index: LogIndex,
        /// That entry's term.
        last_term: LeaderTerm,
        /// Whether the leader transferred leadership to the candidate. Its lease then does not
        /// block the vote.
        handed_over: bool,
    },
    /// The answer to [`ConsensusMessage::VoteAsk`].
    VoteAnswer {
        /// The sender's term.
        term: LeaderTerm,
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Entries from the leader; empty in a heartbeat.
    Append {
        /// The leader's term.
        term: LeaderTerm,
        /// The index of the entry before the first one sent.
        prev_index: LogIndex,
        /// That entry's term.
        prev_term: LeaderTerm,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The heartbeat round, which the answer echoes.
        round: u64,
    },
    /// The answer to [`ConsensusMessage::Append`].
    AppendAnswer {
        /// The sender's term.
        term: LeaderTerm,
        /// The round of the message that is answered.
        round: u64,
        /// Whether the sender's log holds the entry before the first one sent.
        accepted: bool,
        /// If accepted, the last entry known to match the leader's log; otherwise the entry that
        /// the leader should compare next.
        index: LogIndex,
    },
    /// A chunk of a snapshot.
    Snapshot {
        /// The leader's term.
        term: LeaderTerm,
        /// The index of the last entry covered.
        index: LogIndex,
        /// That entry's term.
        last_term: LeaderTerm,
        /// The voters at that entry.
        voters: VoterSet,
        /// The offset of the chunk, in bytes.
        offset: u64,
        /// The size of the whole snapshot, in bytes.
        total: u64,
        /// The chunk.
        bytes: Vec<u8>,
        /// The heartbeat round, which the answer echoes.
        round: u64,
    },
    /// The answer to [`ConsensusMessage::Snapshot`].
    SnapshotAnswer {
        /// The sender's term.
        term: LeaderTerm,
        /// The round of the message that is answered.
        round: u64,
        /// The index that identifies the snapshot.
        index: LogIndex,
        /// The offset at which the next chunk should start.
        next_offset: u64,
        /// Whether the whole snapshot is synced.
        done: bool,
    },
    /// The leader transfers leadership; the receiver should start an election at once.
    HandOver {
        /// The leader's term.
        term: LeaderTerm,
    },
    /// The answer to [`ConsensusMessage::JoinAsk`] of a replica that is neither a voter nor a
    /// learner.
    Removed {
        /// The leader's term.
        term: LeaderTerm,
        /// The entry that introduced the leader's voter set, which is committed.
        index: LogIndex,
    },
}

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver's instance.
    pub to: InstanceId,
    /// The receiver's disk, or none if it is not known. A replica with another disk drops the
    /// message.
    pub to_disk: Option<DiskId>,
    /// The message.
    pub message: ConsensusMessage,
}
