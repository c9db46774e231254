//! Decides when a slow request is also sent to a second endpoint, and limits the extra work.
//!
//! A request that may run twice and takes far longer than its kind usually takes is sent to another
//! endpoint as well. The first answer is used, and the other send is cancelled. This shortens the
//! tail of the answer times where single endpoints are slow at times. It does harm where all of
//! them are slow, since the extra work makes them slower.
//!
//! [`AnswerTimes`] holds the recent times of one kind of request. [`judge`] decides by them whether
//! a second send would pay. [`WorkAllowance`] limits the second sends to a ratio of the first ones:
//! it is filled by first sends and emptied by second sends, so the limit holds for any number of
//! instances without messages among them. What an instance has saved up it may also deposit in the
//! allowance of another one, which grants second sends to many instances with few requests each.
//!
//! The crate does no I/O and reads no clock: every call takes the current time.

mod allowance;
mod judge;
mod times;

pub use allowance::WorkAllowance;
pub use judge::{
    SecondSendVerdict, SkipReason, SlowRequest, has_clear_lead, judge, next_judgement,
};
pub use times::AnswerTimes;
