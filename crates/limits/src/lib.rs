//! Keeps the request rates that endpoints name for all instances together, and the rests that they ask
//! single instances for.
//!
//! An endpoint in need names in its answers how many requests per second it takes from all
//! instances together. [`LimitTable`] holds the newest statement of each endpoint, whichever
//! instance received it.
//!
//! One instance, the home, issues the permits of all endpoints with limits: before an instance sends
//! a request to such an endpoint, it asks for a permit. [`PermitIssuer`] issues permits at the named
//! rate. A rate that was divided among the instances would be useless where it is small: of one
//! request per second, each of ten instances would have a tenth, and most of them have no caller.
//! While the home does not answer, others issue permits at a part of the rate ([`IssuerRole`]).
//!
//! [`PermitQueue`] decides which request takes the next permit, and refuses at once those whose turn
//! would come too late.
//!
//! An endpoint may also ask the instance whose request it turns away for rest. [`RestTable`] holds these
//! rests, and [`ReturnQueue`] orders the requests that come while all endpoints of a service rest.
//!
//! The crate does no I/O and reads no clock: every call takes the current time.

mod bucket;
mod issuer;
mod queue;
mod rest;
mod returns;
mod table;

pub use bucket::{PermitBucket, PermitForecast};
pub use issuer::{IssuerRole, PermitAsk, PermitIssuer, PermitVerdict};
pub use queue::{PermitQueue, PermitWaiter, QueueVerdict, RequestRank, WaiterId};
pub use rest::{MAX_REST, RestChange, RestTable};
pub use returns::ReturnQueue;
pub use table::{LimitChange, LimitNotice, LimitTable};
