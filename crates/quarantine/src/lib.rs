//! Detects fatal requests: requests that terminate the endpoints that run them.
//!
//! A request id identifies one attempt. A repeated request has another id and may arrive at another
//! instance, but its [`RequestDigest`] stays the same. When an endpoint ends while it runs a request, the
//! instance that observes the end records the digest and the endpoint's start in its [`QuarantineTable`]
//! and sends the record to the other instances. A record never becomes invalid, so tables are grow-only
//! sets. Updates can be merged in any order, more than once and late, and all instances reach the same
//! result without consensus.
//!
//! About a dozen requests run on an endpoint when it ends, and at most one of them is the cause. An end
//! that a quarantined request explains does not count against other requests. Ends that no request
//! explains give the rate of ends by chance. A complete response clears a request of its earlier ends.
//! The module `attribution` decides which requests are fatal. It uses the observations that the module
//! `evidence` prepares, the odds that the module `propagation` computes from them, and the distribution of
//! running times in the module `likelihood`.
//!
//! A request under which an endpoint ended is a [`Standing::Suspect`] and is to be placed where the fewest
//! other requests run. A request that terminated several endpoints is [`Standing::Quarantined`]: it is no
//! longer sent, except for rare trials.
//!
//! A part that several prompts share may be fatal as well, whatever else the prompts hold. It is a
//! suspect beside the requests, and a complete response clears all parts of its prompt. Parts that
//! always came together are judged as one: prompts with all of them are quarantined, prompts with
//! some of them show which one is fatal. An end may become known late, so the last complete run of
//! each part is remembered.
//!
//! The crate does no I/O and reads no clock: every call takes the current time.

mod attribution;
mod case;
mod digest;
mod evidence;
mod likelihood;
mod propagation;
mod recent;
mod table;

pub use attribution::CauseLogOdds;
pub use case::{CaseUpdate, ClearUpdate, EndUpdate, InterruptedRun};
pub use digest::{
    AccountTag, DigestError, PartDigest, PartIdentity, RequestDigest, RequestIdentity, SuspectId,
};
pub use table::{CaseSummary, QuarantineTable, Standing};
