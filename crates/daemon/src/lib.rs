//! The daemon `oriolepassd`, as a library so that tests and the demo run several in a process.
//!
//! Decisions live in the sans-IO packages. Here are the duties that feed them, each a thread
//! with a bounded ring in front of it:
//!
//! | thread | duty | what waits in its ring | when the ring is full |
//! |---|---|---|---|
//! | `timer` | calls back at deadlines | (a queue ordered by time) | bounded by requests |
//! | `log` | the replica of the log, on voters | messages, proposals, questions | refused: no quorum |
//! | `storage` | syncs the log's batches | batches | the log waits: it has nothing to lose |
//! | `peers` | connections to other daemons | questions and messages | refused, or dropped where the protocol sends again |
//! | `member` | heartbeats to the leader, following the configuration | nothing | |
//! | `home` | grants endpoints' memory | asks, releases, reports | asks are refused; releases wait outside |
//! | `callers` (a pool) | callers' listener, requests, calls to endpoints | requests | refused: overloaded |
//! | `control` | operators' and endpoints' listeners | calls | the listener's queue |
//!
//! `docs/ARCHITECTURE.md` follows a request through them.

mod address_book;
mod daemon;
mod drain;
mod entry;
mod freshness;
mod home;
mod http;
mod log;
mod logging;
mod member;
mod metrics;
mod peers;
mod shared;
mod view;

pub use daemon::{Daemon, DaemonError, DaemonListeners, DrainHurry};
pub use logging::init_logging;
pub use peers::PeerFaults;
