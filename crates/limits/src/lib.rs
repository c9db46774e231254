//! Keeps the request rates that endpoints name for all instances together.
//!
//! An endpoint in need names in its answers how many requests per second it takes from all
//! instances together. [`LimitTable`] holds the newest statement of each endpoint, whichever
//! instance received it.
//!
//! The crate does no I/O and reads no clock: every call takes the current time.

mod table;

pub use table::{LimitChange, LimitNotice, LimitTable};
