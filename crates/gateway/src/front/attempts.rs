//! Counts the sends of one request and the executions that they may have caused.
//!
//! A send counts as an execution from the moment at which its bytes may leave, regardless of the
//! task that waits for the answer. A send that is abandoned because another answer came first may
//! still be read and executed by its endpoint, so abandoning a send does not reduce the count. Only
//! proof that the request did not run reduces it: a statement by the endpoint, or a connection that
//! was never established.

/// The send and execution counts of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCount {
    sends: u32,
    not_run: u32,
    /// The sends among `not_run` that reached no endpoint.
    not_delivered: u32,
}

impl AttemptCount {
    /// Counts a send. Called before its bytes may leave.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Records proof that one send has not run and never will.
    pub fn record_not_run(&mut self) {
        self.not_run = (self.not_run + 1).min(self.sends);
    }

    /// Records proof that one send reached no endpoint.
    pub fn record_not_delivered(&mut self) {
        self.record_not_run();
        self.not_delivered = (self.not_delivered + 1).min(self.not_run);
    }

    /// Returns how many sends may have reached an endpoint, including sends that were rejected.
    pub fn deliveries(self) -> u32 {
        self.sends - self.not_delivered
    }

    /// Returns the number of sends.
    pub fn sends(self) -> u32 {
        self.sends
    }

    /// Returns on how many endpoints the request may have run or may still run.
    pub fn runs(self) -> u32 {
        self.sends - self.not_run
    }
}
