//! What replicas say to each other.

use std::collections::BTreeMap;

use oriolepass_units::{InstanceId, LeaderTerm, LogIndex};
use serde::{Deserialize, Serialize};

use crate::log::LogEntry;
use crate::replica::{DiskId, ReplicaId, VoterSet};

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// A fresh replica tells the other first voters which replicas it has met.
    Forming {
        /// The disks of the first voters met so far, the sender's own among them.
        met: BTreeMap<InstanceId, DiskId>,
        /// The first voters that the sender would form a system with; kept on its disk.
        first_voters: Vec<InstanceId>,
    },
    /// The system exists already; this was its first set of voters.
    Formed {
        /// The first set.
        first: VoterSet,
    },
    /// A replica that is no voter asks to become one.
    JoinAsk,
    /// Would you vote for me?
    PreVoteAsk {
        /// The term that the sender would start.
        term: LeaderTerm,
        /// Its last entry.
        last_index: LogIndex,
        /// That entry's term.
        last_term: LeaderTerm,
    },
    /// The answer to [`ConsensusMessage::PreVoteAsk`].
    PreVoteAnswer {
        /// The term asked about if granted, or else the sender's own.
        term: LeaderTerm,
        /// Whether the sender would.
        granted: bool,
    },
    /// Vote for me.
    VoteAsk {
        /// The term.
        term: LeaderTerm,
        /// The candidate's last entry.
        last_index: LogIndex,
        /// That entry's term.
        last_term: LeaderTerm,
        /// Whether the leader itself handed over, so that its lease does not stand in the way.
        handed_over: bool,
    },
    /// The answer to [`ConsensusMessage::VoteAsk`].
    VoteAnswer {
        /// The sender's term.
        term: LeaderTerm,
        /// Whether it voted for the receiver.
        granted: bool,
    },
    /// Entries from the leader; none in a mere heartbeat.
    Append {
        /// The leader's term.
        term: LeaderTerm,
        /// The entry before the first one sent.
        prev_index: LogIndex,
        /// That entry's term.
        prev_term: LeaderTerm,
        /// The entries.
        entries: Vec<LogEntry>,
        /// What is committed.
        commit: LogIndex,
        /// The heartbeat round, which the answer echoes.
        round: u64,
    },
    /// The answer to [`ConsensusMessage::Append`].
    AppendAnswer {
        /// The sender's term.
        term: LeaderTerm,
        /// The round echoed.
        round: u64,
        /// Whether the entries followed what the sender has.
        accepted: bool,
        /// If accepted, the last entry known to be the leader's; or else where to try next.
        index: LogIndex,
    },
    /// A piece of a snapshot.
    Snapshot {
        /// The leader's term.
        term: LeaderTerm,
        /// The last entry covered.
        index: LogIndex,
        /// That entry's term.
        last_term: LeaderTerm,
        /// The voters at that entry.
        voters: VoterSet,
        /// Where the piece starts.
        offset: u64,
        /// The size of the whole.
        total: u64,
        /// The piece.
        bytes: Vec<u8>,
        /// The heartbeat round, which the answer echoes.
        round: u64,
    },
    /// The answer to [`ConsensusMessage::Snapshot`].
    SnapshotAnswer {
        /// The sender's term.
        term: LeaderTerm,
        /// The round echoed.
        round: u64,
        /// Which snapshot.
        index: LogIndex,
        /// Where the next piece should start.
        next_offset: u64,
        /// Whether the whole is synced.
        done: bool,
    },
    /// The leader hands over; the receiver should stand for election at once.
    HandOver {
        /// The leader's term.
        term: LeaderTerm,
    },
}

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver's instance.
    pub to: InstanceId,
    /// The receiver's disk; absent while it is not known. A replica with another disk drops
    /// the message.
    pub to_disk: Option<DiskId>,
    /// The message.
    pub message: ConsensusMessage,
}
