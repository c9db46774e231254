//! The lifecycle of one request as a sans-IO state machine.
//!
//! [`RequestLifecycle`] takes events and emits [`RequestCommand`]s. It enforces the guarantees to
//! callers:
//!
//! * a request ends exactly once, whatever the events and their order; every state is left by the
//!   request's deadline;
//! * `ran: no` is reported only if no byte can have reached an endpoint, or if the endpoint
//!   reported that the request did not run;
//! * a non-repeatable request is sent at most once, after its claim is committed, and the
//!   claim is settled whatever the outcome;
//! * only pieces with the current attempt's id and the next index reach the caller, and an answer
//!   is complete only if its end line matches the token count and the digest computed here;
//! * every requested grant is released.
//!
//! A home is the one daemon that grants the use of the endpoints of a shard. A grant is its
//! permission to use endpoints for one attempt. A claim is the replicated record of a
//! non-repeatable request's caller key.
//!
//! The driver in the daemon performs the input and output, with one task per request.

mod budget;
mod lifecycle;
mod outcome;

pub use budget::RetryBudget;
pub use lifecycle::{AttemptRefusal, RequestCommand, RequestLifecycle, RequestPlan, SendFailure};
pub use outcome::RequestOutcome;
