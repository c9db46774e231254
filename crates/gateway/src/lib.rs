//! The gateway: a daemon that forwards HTTP requests according to replicated routing documents.
//!
//! One event loop serves all connections. On daemons with a disk, one thread syncs the replicated
//! log and one keeps quarantined requests; another thread writes log lines. Small instances have a
//! fraction of one core, so more threads would not run in parallel, and each wake-up has a cost
//! (`docs/design/0007-platform.md` has the figures).
//!
//! | module | responsibility |
//! |---|---|
//! | `cluster`, `roster`, `founding`, `replica`, `replication`, `peers` | the cluster: membership, leader, voters, the replicated log, messages between daemons |
//! | `documents`, `proof_ledger` | routing documents: proposing them, putting them in force, proving them current; which daemons may still decide by an older one |
//! | `gossip` | the dissemination rules, by which control traffic grows with the number of daemons and not with its square |
//! | `announce`, `endpoints` | endpoint announcements and the registry of endpoints |
//! | `home`, `deputies` | placing prompts on engines, as the home or by asking it; the deputies that replace the home while it does not answer |
//! | `balancer`, `budget` | load balancing over endpoints that are not engines; the retry budget |
//! | `limits` | the limits on their request rates that endpoints name in their answers |
//! | `second_sends` | the limit on second sends of slow requests, and the answer times by which requests count as slow |
//! | `upstream`, `dial`, `paths`, `tunnel`, `endpoint_stream` | connections to endpoints: sends and calls; the two ways, directly and through other daemons; which endpoints this daemon reaches; tunnels for others; the bytes of a tunnel and their stated end |
//! | `held_bytes`, `request_body` | the memory for bodies, answers, streams and tunnels, by kind; the bodies of requests in pieces |
//! | `quarantine`, `part_quarantine`, `quarantine_disk`, `broken_runs` | quarantine of requests and of parts of prompts that end their endpoints: replication to other daemons, storage on disk; care with requests whose connections broke |
//! | `fact_queue` | facts about endpoints and requests that are sent to other daemons together |
//! | `shared_stream` | connections: noticing their closes, and closing them so that the peer can read the last answer |
//! | `front` | the callers' listener: requests, sends, retries and answers |
//! | `directory`, `lifecycle` | the instances that callers should use; start, readiness, reload, shutdown |
//! | `peer_changes` | log lines for changes of links and daemons, aggregated where there are many |
//! | `operators` | operators' calls on the address of the metrics |
//! | `events`, `metrics` | structured log lines and metrics |
//!
//! A front end of the product passes in a [`WireDialect`], which maps the typed fields of requests
//! and answers to HTTP headers and bodies. It serves the calls of operators and endpoints on top
//! of [`Gateway`]'s methods with [`serve_calls`].

mod announce;
mod balancer;
mod broken_runs;
#[cfg(test)]
mod broken_runs_tests;
mod budget;
mod calls;
mod clock;
#[cfg(test)]
mod clock_tests;
mod cluster;
mod deputies;
#[cfg(test)]
mod deputies_tests;
mod dial;
mod dialect;
mod directory;
mod documents;
mod drains;
mod endpoint_stream;
#[cfg(test)]
mod endpoint_stream_tests;
mod endpoints;
mod events;
mod fact_queue;
#[cfg(test)]
mod fact_queue_tests;
mod founding;
#[cfg(test)]
mod founding_tests;
mod framing;
mod front;
mod gateway;
#[cfg(test)]
mod gateway_tests;
mod gossip;
#[cfg(test)]
mod gossip_tests;
mod held_bytes;
mod home;
mod hubs;
#[cfg(test)]
mod hubs_tests;
mod lifecycle;
mod limits;
mod loop_delay;
#[cfg(test)]
mod loop_delay_tests;
mod metrics;
mod net;
mod operators;
mod part_quarantine;
#[cfg(test)]
mod part_quarantine_tests;
mod paths;
#[cfg(test)]
mod paths_tests;
mod peer_changes;
#[cfg(test)]
mod peer_changes_tests;
mod peers;
mod proof_ledger;
#[cfg(test)]
mod proof_ledger_tests;
mod quarantine;
mod quarantine_disk;
#[cfg(test)]
mod quarantine_disk_tests;
#[cfg(test)]
mod quarantine_tests;
mod repeats;
#[cfg(test)]
mod repeats_tests;
mod replica;
mod replication;
mod request_body;
mod rests;
mod roster;
#[cfg(test)]
mod roster_tests;
mod second_sends;
mod shared_stream;
#[cfg(test)]
mod split_budget_tests;
mod start;
mod task_guard;
mod tiers;
#[cfg(test)]
mod tiers_tests;
mod tunnel;
mod upstream;
mod voter_watch;
#[cfg(test)]
mod voter_watch_tests;

pub use balancer::{EndpointBalancer, FaultKind};
pub use budget::{BudgetRule, BudgetUse, ProcessStart, RetryBudget};
pub use calls::{WholeAnswer, WholeCall, answer, serve_calls};
pub use dialect::{
    AnswerFacts, EndpointCall, HelperAddress, LimitStatement, RequestFacts, ReservationAnswer,
    RestStatement, SendFacts, StartQuestion, WireDialect,
};
pub use directory::AddressAnswer;
pub use documents::{PutError, ReadError};
pub use drains::DrainError;
pub use endpoints::{
    BeatChange, EndpointBeat, EndpointFate, EndpointNotice, EndpointPhase, EndpointRegistry,
};
pub use events::{EventKind, EventLine, EventLog};
pub use front::{AttemptCount, EventSplitter};
pub use gateway::Gateway;
pub use lifecycle::{Lifecycle, ReloadSignal, StopSignals};
pub use metrics::registered_metric;
pub use start::{GatewayError, listen, start};
