//! Implements the daemon `oriolepassd` as a library, so that tests and the demo can run several
//! daemons in one process.
//!
//! The sans-IO packages make the decisions. This crate runs the duties that feed them. A duty is
//! a task with its own thread, and a ring is the bounded queue of messages in front of it:
//!
//! | thread | duty | messages in its ring | when the ring is full |
//! |---|---|---|---|
//! | `timer` | runs callbacks at their deadlines | (a queue ordered by time) | bounded by the number of requests |
//! | `log` | runs the replica of the log, on voters | messages, proposals, queries | requests are refused: no quorum |
//! | `storage` | syncs the log's batches to disk | batches | the `log` thread blocks, which loses nothing |
//! | `peers` | runs the connections to other daemons | queries and messages | queries are refused; messages that the protocol resends are dropped |
//! | `member` | sends heartbeats to the leader, follows the configuration | (no ring) | |
//! | `home` | grants memory of endpoints | grant requests, releases, reports | grant requests are refused; releases wait outside the ring |
//! | `callers` (a pool) | runs the callers' listener, requests, calls to endpoints | requests | requests are refused: overloaded |
//! | `control` | runs the operators' and endpoints' listeners | calls | calls wait in the listener's queue |
//!
//! `docs/ARCHITECTURE.md` describes the path of a request through the duties.

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

pub use daemon::{Daemon, DaemonError, DaemonListeners, ForcedDrainHandle};
pub use logging::init_logging;
pub use peers::PeerFaults;
