//! Newtypes for every identifier, size and time that oriolepass passes around.
//!
//! A bare `u64` or `String` says nothing about what it counts or names, and mixing two of them
//! up is the kind of mistake a serving layer cannot afford: a fencing number taken for a log
//! index would let a stale leader through. Every quantity therefore has a type of its own with
//! `Display` and `FromStr`, and arithmetic is offered only where it makes sense.
//!
//! The package has no dependencies inside the workspace; everything else depends on it.

mod endpoint_start;
mod id;
mod number;
mod time;

pub use endpoint_start::{EndpointStart, StartError};
pub use id::{
    AccountId, AttemptId, CallerKey, ChangeId, DataCentreId, EndpointId, IdError, InstanceId,
    ModelId, ServiceName, ShardId, TeamId,
};
pub use number::{
    ByteCount, FencingNumber, Incarnation, LeaderTerm, LeaseEpoch, LogIndex, NumberError,
    ObjectRevision, StartTime, TokenCount, TokenRate,
};
pub use time::{MonotonicTime, PrefixHash};
