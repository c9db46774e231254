//! The gateway: a daemon that forwards any HTTP request by replicated routing documents.
//!
//! One event loop serves everything; one thread syncs the log of daemons with a disk, another
//! writes log lines. Small instances have a fraction of one core, so threads would only take
//! turns, and each wake-up costs (`docs/design/0007-platform.md` has the figures).
//!
//! | module | job |
//! |---|---|
//! | `cluster`, `roster`, `founding`, `replica`, `replication`, `peers` | the daemons among themselves: who is there, who leads, who votes, the log |
//! | `documents` | routing documents: into the log, in force, proved current |
//! | `gossip` | who tells whom what, so that control traffic grows with the daemons, not with their square |
//! | `announce`, `endpoints` | what endpoints say of themselves |
//! | `home`, `deputies` | placing prompts on engines, as the home or by asking it; who does it while the home is away |
//! | `balancer`, `budget` | choosing a plain endpoint; how often a request may be sent again |
//! | `quarantine`, `quarantine_disk` | requests that end their endpoints: who is told, what survives |
//! | `front` | callers: from a request's first byte to the last of its answer |
//! | `directory`, `lifecycle` | which instances callers should use; start, readiness, reload, end |
//! | `peer_changes` | changes of links and daemons, counted where there are many |
//! | `operators` | what operators ask on the address of the metrics |
//! | `events`, `metrics` | what the process tells those who run it |
//!
//! A face of the product hands in a [`WireDialect`], which says where in an HTTP message each
//! fact stands, and serves the calls of operators and endpoints on top of [`Gateway`]'s methods
//! with [`serve_calls`].

mod announce;
mod balancer;
mod budget;
mod calls;
mod clock;
#[cfg(test)]
mod clock_tests;
mod cluster;
mod deputies;
#[cfg(test)]
mod deputies_tests;
mod dialect;
mod directory;
mod documents;
mod drains;
mod endpoints;
mod events;
mod founding;
mod front;
mod gateway;
mod gossip;
#[cfg(test)]
mod gossip_tests;
mod home;
mod hubs;
mod lifecycle;
mod metrics;
mod net;
mod operators;
mod peer_changes;
#[cfg(test)]
mod peer_changes_tests;
mod peers;
mod quarantine;
mod quarantine_disk;
mod replica;
mod replication;
mod roster;
#[cfg(test)]
mod roster_tests;
mod start;
mod tiers;
#[cfg(test)]
mod tiers_tests;
mod upstream;

pub use balancer::{EndpointBalancer, FaultKind};
pub use budget::{BudgetRule, RetryBudget};
pub use calls::{WholeAnswer, WholeCall, answer, serve_calls};
pub use dialect::{
    AnswerFacts, EndpointCall, HelperAddress, RequestFacts, ReservationAnswer, SendFacts,
    WireDialect,
};
pub use directory::AddressAnswer;
pub use documents::{PutError, ReadError};
pub use drains::DrainError;
pub use endpoints::{BeatChange, EndpointBeat, EndpointNotice, EndpointPhase, EndpointRegistry};
pub use events::{EventKind, EventLine, EventLog};
pub use front::{AttemptCount, EventSplitter};
pub use gateway::Gateway;
pub use lifecycle::{Lifecycle, StopSignals};
pub use metrics::registered_metric;
pub use start::{GatewayError, listen, start};
