//! Implements the replicated state machine: all state that must survive the loss of instances.
//!
//! The replicated log passes each [`ReplicatedCommand`] to [`ReplicatedState::apply`], on every
//! voter in the same order. Applying is deterministic: it reads no clock and no random source and
//! iterates over no unordered map. Commands that depend on time carry a timestamp, which the
//! leader sets when it proposes them.
//!
//! The state has two parts. [`ConfigView`] holds the configuration objects and the members, which
//! every daemon needs to serve requests. Daemons without a disk replicate it through
//! [`ViewDelta`]s. The resend table, the claims of non-repeatable requests and the audit trail
//! are held by the voters only.

mod apply;
mod audit;
mod claims;
mod command;
mod members;
mod resend;
mod rights;
mod state;
mod view;

pub use audit::MAX_AUDIT_RECORDS;
pub use claims::{
    CLAIM_GRACE_MS, CLAIM_RETENTION_MS, ClaimAnswer, KeptAnswer, MAX_CLAIMS, MAX_KEPT_BYTES,
};
pub use command::{
    ApplyOutcome, ChangeCommand, ClaimCommand, ClaimVerdict, MemberCommand, ReplicatedCommand,
    SettleCommand, StampedCommand,
};
pub use members::{MemberAddresses, MemberRecord, MemberTable, shard_of};
pub use resend::MAX_RETAINED_REPLIES;
pub use state::{ReplicatedState, SnapshotError};
pub use view::{ConfigView, KeyOwner, StoredObject, ViewChange, ViewDelta};
