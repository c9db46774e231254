//! Replicates a log of commands, in an order on which a majority of the voters agrees.
//!
//! The algorithm is Raft with pre-vote, check-quorum, a leader lease, learners, single-step
//! membership change and chunked snapshots. It is written sans-IO: [`ConsensusNode`] takes
//! events with the current time and returns a [`NodeOutput`] of what to persist, send and apply.
//! Sockets, disks, clocks and threads belong to the caller, so the same code runs in the daemon
//! and in a randomised test whose seed decides every delay, loss and crash.
//!
//! Safety depends on the following rules. A comment marks each place where a rule applies:
//!
//! * State that a message promises is synced before the message is sent ([`PersistBatch`]).
//! * What a message does not promise waits for no sync, so that slow disks do not look like lost
//!   replicas: a replica answers a leader's heartbeat at once, and asks for votes while it syncs its
//!   own. It leads only once that vote is synced.
//! * A voter that heard from a leader does not vote within the election timeout. The leader's
//!   lease relies on this rule, so a restarted voter waits for the same time before it votes.
//! * A replica is an instance *and* a disk ([`ReplicaId`]). An instance that lost its disk is
//!   another replica, and its old votes and acknowledgements no longer count.
//! * Silence is judged by time in which the replica itself ran (`AttendedClock`), and leases and votes
//!   by time that passes. A replica that was late neither deposes a leader nor trusts an old lease.
//! * A new cluster forms by a majority only where all first voters are known to start for the
//!   first time ([`FoundingRule`]). Otherwise it forms once all its first voters have met, so that
//!   wiped voters cannot form a second cluster.
//! * A leader commits only entries of its own term by counting replicas.
//!
//! Invariants are asserted in every build. A violated invariant stops the process, because
//! continuing could spread the corruption to the other replicas.

mod attended;
mod election;
mod election_event;
mod follower;
mod forming;
mod leader;
mod log;
mod message;
mod node;
mod progress;
mod reconcile;
mod replacement;
mod replica;

pub use election_event::{ElectionEvent, StepDownReason};
pub use log::{EntryPayload, LogEntry};
pub use message::{ConsensusMessage, Envelope};
pub use node::{
    ConsensusConfig, ConsensusNode, FoundingRule, HeldSnapshot, NodeOutput, NodeRole, NotLeader,
    PersistBatch,
};
pub use replacement::{DiskInstance, ReplacementPolicy, VoterState};
pub use replica::{DiskId, ReplicaId, VoterSet};
