//! The replicated log: one order of commands on which a majority of the voters agrees.
//!
//! The algorithm is Raft with pre-vote, check-quorum, a leader lease, learners, single-step
//! membership change and chunked snapshots. It is written sans-IO: [`ConsensusNode`] takes
//! events with the present time and hands back a [`NodeOutput`] of what to persist, send and
//! apply. Sockets, disks, clocks and threads belong to the caller, so the same code runs in the
//! daemon and in a randomised run whose seed decides every delay, loss and crash.
//!
//! Safety rests on a few rules that are easy to break by accident; each stands as a comment
//! where it applies:
//!
//! * what a message promises is synced before the message is sent ([`PersistBatch`]);
//! * a voter that heard from a leader does not vote within the election timeout, which is what
//!   lets a leader trust its lease, and why a restarted voter waits as long before it votes;
//! * a replica is an instance *and* a disk ([`ReplicaId`]): one that lost its disk is another
//!   replica, whose old votes and acknowledgements count no longer;
//! * a new system forms only once all its first voters have met, so that a wiped voter can never
//!   found a second one;
//! * entries are committed by counting only in the leader's own term.
//!
//! Invariants are asserted in every build: a violated one stops the process, because going on
//! would spread the damage to the other replicas.

mod election;
mod follower;
mod forming;
mod leader;
mod log;
mod message;
mod node;
mod progress;
mod reconcile;
mod replica;

pub use log::{EntryPayload, LogEntry};
pub use message::{ConsensusMessage, Envelope};
pub use node::{
    ConsensusConfig, ConsensusNode, HeldSnapshot, NodeOutput, NodeRole, NotLeader, PersistBatch,
};
pub use replica::{DiskId, ReplicaId, VoterSet};
