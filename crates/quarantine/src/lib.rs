//! Requests that end the endpoints that run them, told from those that merely ran beside them.
//!
//! A caller's id names one attempt, and a request that comes again has another one, perhaps at another
//! instance. What stays the same is its [`RequestDigest`]. When an endpoint ends under a request, the
//! instance that sees it notes the digest and the endpoint's start in its [`QuarantineTable`], and tells
//! the others. Such a note is a fact that never becomes untrue, so tables are sets: they can be merged
//! in any order, twice, and late, and all instances come to the same judgement without agreeing on
//! anything.
//!
//! A dozen requests run on an endpoint that ends, and one of them at most is the cause. An end that a
//! quarantined request explains counts for nobody else, ends that nobody explains tell how likely ends by
//! chance are, and a request that was answered whole is cleared. The judgement stands in `attribution`, what it
//! draws on in `evidence`.
//!
//! A request that has lost an endpoint is a [`Standing::Suspect`] and is to be tried where the fewest
//! others run; one that has ended several is [`Standing::Quarantined`] and is not sent any more, but for
//! a trial after a long time.
//!
//! Sans-IO: every call takes the present time, nothing here waits or knows a network.

mod attribution;
mod case;
mod digest;
mod evidence;
mod table;

pub use case::{CaseUpdate, EndUpdate};
pub use digest::{AccountTag, DigestError, RequestDigest, RequestIdentity};
pub use table::{CaseSummary, QuarantineTable, Standing};
