//! The timer service: the one place where time passes.
//!
//! Everything that waits subscribes here. The decision code never reads a clock; it is handed
//! `now` with each event. Drivers learn `now` from a [`ClockSource`], which tests replace by a
//! manual one, so that a test that covers an hour of leases takes milliseconds and never sleeps.
//!
//! [`TimerQueue`] is the sans-IO part: deadlines in order, cancellation by ticket.
//! [`TimerService`] is the thread that runs one.

mod clock;
mod queue;
mod service;

pub use clock::ClockSource;
pub use queue::{TimerQueue, TimerTicket};
pub use service::TimerService;
