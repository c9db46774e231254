//! Admission control and scheduling of engine memory at the home of a shard.
//!
//! Each shard of endpoints has one home, the only daemon that grants the memory of its endpoints.
//! The home's ledger, the record of the memory granted on each endpoint, is therefore exact without
//! waiting for load reports.
//!
//! An entry, the instance that a caller's request arrived at, sends a [`GrantRequest`] to a home
//! and receives a [`PromptGrant`] or a [`GrantRefusal`]. [`HomeScheduler`] performs no I/O: it
//! takes events with the present time and produces [`HomeCommand`]s.
//!
//! The policy in short (`docs/design/0004-home-and-policy.md` has the reasons and the figures):
//!
//! * Memory is reserved for a prompt's whole lifetime before the prompt starts, so that no engine
//!   has to discard work part-way.
//! * Prompts wait in lanes: queues by length class. Within a lane, accounts are served by
//!   weighted fair queueing over tokens of work instead of requests.
//! * A short prompt goes to the engine with the earliest expected first token. Longer prompts
//!   share engines with each other, and leave as many engines clear as the present load of short
//!   prompts needs. A part of every engine's memory is kept for short prompts.
//! * Engines process shorter prompts first: the lane determines the priority.
//! * A prompt that needs several engines gets all of them in one step. Once the prompt has waited
//!   long enough, engines are reserved for it: memory that becomes free there is kept until the
//!   prompt fits. There is one reservation at a time, so two prompts can never wait for
//!   each other.
//!
//! The crate also provides what an entry needs: [`GrantRequest`], [`HomeDigest`] and the ranking
//! of homes by their digests.

mod config;
mod digest;
mod dispatch;
mod endpoint;
mod fairness;
mod grant;
mod home;
mod lane;
mod ledger;
mod placement;
mod prefix;
mod rate;

pub use config::{LengthClass, SchedulerConfig};
pub use digest::{HomeDigest, ModelDigest, ServiceDigest, rank_homes};
pub use grant::{
    GrantRefusal, GrantRequest, GrantedEndpoint, HomeCommand, PromptGrant, ReleaseReason,
    WorkTarget,
};
pub use home::{HomeScheduler, UnknownEndpoint};
pub use prefix::{PREFIX_BLOCK_TOKENS, prefix_hashes};
