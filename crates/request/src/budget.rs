//! A budget for retries, so that a failing data centre cannot double the load.

/// Retries allowed for each hundred first attempts.
const RETRY_PERCENT: u64 = 20;

/// Hundredths of a retry that one first attempt earns, and that one retry costs.
const RETRY_COST: u64 = 100;

/// The most retries saved up: a burst of this many may fail at once and be tried again.
const MAX_SAVED: u64 = 50 * RETRY_COST;

/// Retries saved up by first attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_PERCENT).min(MAX_SAVED);
    }

    /// Spends one retry; returns false where none is left.
    pub fn spend(&mut self) -> bool {
        match self.saved.checked_sub(RETRY_COST) {
            Some(left) => {
                self.saved = left;
                true
            }
            None => false,
        }
    }
}
