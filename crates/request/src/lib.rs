//! The life of one request.
//!
//! [`RequestLifecycle`] is a sans-IO state machine: events in, [`RequestCommand`]s out. It decides
//! everything that the promises to callers hang on:
//!
//! * it ends exactly once, whatever happens and in whatever order; every state has a way out by
//!   the request's deadline;
//! * `ran: no` is said only where no byte can have reached an endpoint, or the endpoint said so;
//! * a non-repeatable request is sent at most once, after its claim is committed, and its claim
//!   is settled however it ends;
//! * only pieces that carry the present attempt's id and the next index reach the caller, and
//!   an answer is whole only if its explicit end matches the tokens and the digest counted here;
//! * every grant that was asked for is given back.
//!
//! The driver in the daemon does the input and output, one task for each request.

mod budget;
mod lifecycle;
mod outcome;

pub use budget::RetryBudget;
pub use lifecycle::{AttemptRefusal, RequestCommand, RequestLifecycle, RequestPlan, SendFailure};
pub use outcome::RequestOutcome;
