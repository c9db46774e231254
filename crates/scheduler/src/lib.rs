//! The home's decisions: who may use which engine's memory, and when.
//!
//! Each shard of endpoints has one home, and the home alone grants the use of their memory. Its
//! ledger is therefore exact: it does not wait for load reports to learn what it granted itself.
//! [`HomeScheduler`] is sans-IO; it takes `(now, event)` and returns [`HomeCommand`]s.
//!
//! The policy in short (`docs/design/0004-home-and-policy.md` has the reasons and the figures):
//!
//! * Memory is reserved for a prompt's whole life before it starts, so that no engine has to
//!   throw work away half-way.
//! * Prompts wait in lanes by length. Within a lane, accounts are served by weighted fair
//!   queueing over tokens of work, not over requests.
//! * A short prompt goes where its first token is expected earliest. Longer ones share engines
//!   with each other as long as that leaves as many engines clear as the present short prompts
//!   need. A part of every engine's memory is kept for short prompts.
//! * Engines process shorter prompts first: the lane decides the priority.
//! * A prompt that needs several engines gets all of them in one step. If it has waited long
//!   enough, engines are reserved for it: what becomes free there is kept until it fits. There
//!   is one such reservation at a time, so two can never wait for each other.
//!
//! The package also holds what the other side needs: [`GrantRequest`], [`HomeDigest`] and the
//! ranking of homes by their digests.

mod ask;
mod config;
mod digest;
mod dispatch;
mod endpoint;
mod fairness;
mod home;
mod lane;
mod ledger;
mod placement;
mod prefix;
mod rate;

pub use ask::{
    GrantRefusal, GrantRequest, GrantedEndpoint, HomeCommand, PromptGrant, ReleaseReason,
    WorkTarget,
};
pub use config::{LengthClass, SchedulerConfig};
pub use digest::{HomeDigest, ModelDigest, ServiceDigest, rank_homes};
pub use home::{HomeScheduler, UnknownEndpoint};
pub use prefix::{PREFIX_BLOCK_TOKENS, prefix_hashes};
