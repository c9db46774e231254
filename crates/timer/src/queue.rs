//! A queue of deadlines, independent of threads and clocks.

use std::collections::BTreeMap;

use oriolepass_units::MonotonicTime;

/// Identifies one pending deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerTicket {
    due: MonotonicTime,
    serial: u64,
}

/// Pending deadlines, each with a value that is returned when the deadline is due.
#[derive(Debug)]
pub struct TimerQueue<T> {
    pending: BTreeMap<TimerTicket, T>,
    next_serial: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { pending: BTreeMap::new(), next_serial: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Adds a deadline and returns the ticket that cancels it.
    pub fn insert(&mut self, due: MonotonicTime, value: T) -> TimerTicket {
        let ticket = TimerTicket { due, serial: self.next_serial };
        self.next_serial += 1;
        self.pending.insert(ticket, value);
        ticket
    }

    /// Removes a deadline, returning its value if it was still pending.
    pub fn cancel(&mut self, ticket: TimerTicket) -> Option<T> {
        self.pending.remove(&ticket)
    }

    /// Removes the earliest deadline and returns its value if it is due at `now`.
    pub fn pop_due(&mut self, now: MonotonicTime) -> Option<T> {
        let entry = self.pending.first_entry()?;
        (entry.key().due <= now).then(|| entry.remove())
    }

    /// Returns the earliest pending deadline.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.pending.first_key_value().map(|(ticket, _)| ticket.due)
    }

    /// Returns the number of pending deadlines.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no deadline is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
