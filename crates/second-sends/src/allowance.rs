//! The allowance for second sends that first sends fill.

use std::collections::VecDeque;
use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// The time after which an unused part of the allowance expires. It bounds the second sends that a
/// sudden fault can cause after a long quiet time, and is long enough that an instance with one
/// request per second saves up a second send at 2 in 100.
const EXPIRY: Duration = Duration::from_secs(60);

/// Earnings within this time are kept together, which bounds the memory of an allowance.
const EARNING_INTERVAL: Duration = Duration::from_secs(1);

/// The error of sums of small amounts.
const ROUNDING_ERROR: f64 = 1e-9;

/// The extra work that is allowed at present, in sends or in milliseconds of an engine.
///
/// In any span of time, the amounts taken are at most those earned in that span and the 60 s
/// before. Amounts deposited from another allowance expire anew, so they may be 120 s old when they
/// are taken.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkAllowance {
    /// The amounts that are left, with the time from which they were earned, in order of time.
    earned: VecDeque<(MonotonicTime, f64)>,
}

impl WorkAllowance {
    /// Adds an amount: the allowed ratio of a first send's work, or a deposit.
    pub fn earn(&mut self, now: MonotonicTime, amount: f64) {
        self.expire(now);
        let amount = if amount.is_finite() { amount.max(0.0) } else { 0.0 };
        match self.earned.back_mut() {
            Some((since, earned)) if now.since(*since) < EARNING_INTERVAL => *earned += amount,
            _ => self.earned.push_back((now, amount)),
        }
    }

    /// Returns the amount that is left.
    pub fn balance(&mut self, now: MonotonicTime) -> f64 {
        self.expire(now);
        self.earned.iter().map(|(_, amount)| amount).sum()
    }

    /// Takes an amount, the oldest first. Returns whether there was enough; otherwise takes
    /// nothing.
    pub fn take(&mut self, now: MonotonicTime, amount: f64) -> bool {
        if self.balance(now) + ROUNDING_ERROR < amount {
            return false;
        }
        let mut lacking = amount;
        while lacking > 0.0 {
            let Some((_, oldest)) = self.earned.front_mut() else { break };
            if *oldest > lacking {
                *oldest -= lacking;
                break;
            }
            lacking -= *oldest;
            self.earned.pop_front();
        }
        true
    }

    /// Takes all that is left and returns it, for a deposit in another allowance.
    pub fn take_all(&mut self, now: MonotonicTime) -> f64 {
        let amount = self.balance(now);
        self.earned.clear();
        amount
    }

    fn expire(&mut self, now: MonotonicTime) {
        while self.earned.front().is_some_and(|(since, _)| now.since(*since) > EXPIRY) {
            self.earned.pop_front();
        }
    }
}
