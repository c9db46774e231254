//! Runs callbacks at deadlines on a monotonic clock.
//!
//! Code that has to wait subscribes to the timer service. The decision code never reads a clock:
//! it receives `now` with each event. Drivers read `now` from a [`ClockSource`]. Tests use a manual
//! clock source, so that a test that covers an hour of leases takes milliseconds and never sleeps.
//!
//! * [`TimerQueue`] is the sans-IO part: it orders deadlines and cancels them by ticket.
//! * [`TimerService`] is the thread that runs a queue.

mod clock;
mod queue;
mod service;

pub use clock::ClockSource;
pub use queue::{TimerQueue, TimerTicket};
pub use service::TimerService;
