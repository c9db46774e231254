//! The replicated state: everything that must survive the loss of instances.
//!
//! The replicated log hands [`ReplicatedState::apply`] one [`ReplicatedCommand`] after another,
//! on every voter in the same order. Applying is deterministic: no clock, no random source, no
//! iteration over unordered maps. What a command needs to know of time, the leader stamped into
//! it when it was proposed.
//!
//! The state has two halves. [`ConfigView`] is what every daemon needs to serve requests:
//! configuration objects and members. Daemons without a disk follow it by [`ViewDelta`]s. The
//! rest stays on the voters: the resend table, the claims of non-repeatable requests and the
//! audit trail.

mod apply;
mod audit;
mod claims;
mod command;
mod members;
mod resend;
mod rights;
mod state;
mod view;

pub use audit::AUDIT_RETAINED;
pub use claims::{
    CLAIM_GRACE_MS, CLAIM_RETENTION_MS, ClaimAnswer, KeptAnswer, MAX_CLAIMS, MAX_KEPT_BYTES,
};
pub use command::{
    ApplyOutcome, ChangeCommand, ClaimCommand, ClaimVerdict, MemberCommand, ReplicatedCommand,
    SettleCommand, StampedCommand,
};
pub use members::{MemberAddresses, MemberRecord, MemberTable, shard_of};
pub use resend::RESENDS_RETAINED;
pub use state::{ReplicatedState, SnapshotError};
pub use view::{ConfigView, KeyOwner, StoredObject, ViewChange, ViewDelta};
