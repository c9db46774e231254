//! Limits retries to a share of the first attempts, so that a failing data centre cannot double
//! the load.

/// Retries allowed per 100 first attempts. Each first attempt credits this many hundredths of a
/// retry.
const RETRY_PERCENT: u64 = 20;

/// Cost of one retry, in hundredths of a retry, the unit of the balance.
const RETRY_COST: u64 = 100;

/// Maximum balance. A burst of 50 simultaneous failures can be retried.
const MAX_BALANCE: u64 = 50 * RETRY_COST;

/// Token bucket for retries that is filled by first attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Credits the budget for a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + RETRY_PERCENT).min(MAX_BALANCE);
    }

    /// Spends one retry. Returns false if the balance is too low.
    pub fn spend(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}
