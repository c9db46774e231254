//! Newtypes for the identifiers, sizes and times that oriolepass uses.
//!
//! Separate types prevent values of different meaning from being mixed up. A log index passed as
//! a fencing number, for example, would let a stale leader issue orders. All types implement
//! `Display` and, except for [`MonotonicTime`], `FromStr`. Arithmetic is implemented only
//! for quantities that can be added and subtracted.
//!
//! The crate depends on no other crate of the workspace, and all other crates may depend on it.

mod endpoint_start;
mod id;
mod number;
mod rate;
mod time;

pub use endpoint_start::{EndpointStart, EndpointStartError};
pub use id::{
    AccountId, AttemptId, CallerKey, ChangeId, DataCentreId, EndpointId, IdError, InstanceId,
    ModelId, PromptPartId, ServiceName, ShardId, TeamId,
};
pub use number::{
    ByteCount, FencingNumber, Incarnation, LeaderTerm, LeaseEpoch, LogIndex, NumberError,
    ObjectRevision, StartTime, TokenCount, TokenRate,
};
pub use rate::{RateError, RequestRate};
pub use time::{MonotonicTime, PrefixHash};
