//! Weighs the prompts that compete for the engines of one service, by urgency and by the shares of
//! client accounts.

use oriolepass_limits::RequestRank;

use crate::plan::{PromptAsk, RefusalReason};
use crate::shares::{AccountShares, scarcity};
use crate::urgency::{UrgencyMeter, UrgencyWeights};

/// The weight of a prompt, by which its value is multiplied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PromptWeight {
    pub(crate) urgency: f64,
    /// Part of the weight that remains because of what its account used.
    pub(crate) share: f64,
}

impl PromptWeight {
    /// Returns the product of all weights, from an eighth to 1.
    pub(crate) fn whole(self) -> f64 {
        self.urgency * self.share
    }

    /// Returns the reason for a refusal that the weight has caused.
    pub(crate) fn refusal_reason(self) -> RefusalReason {
        if self.share < self.urgency { RefusalReason::OverShare } else { RefusalReason::Outranked }
    }
}

/// What competes for the engines of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceContention {
    urgency: UrgencyMeter,
    shares: AccountShares,
}

impl ServiceContention {
    /// Records a prompt that asks for engines or that another home placed. Priorities count only if
    /// `weighs_urgency`.
    pub(crate) fn record_ask(&mut self, now_ms: f64, ask: &PromptAsk, weighs_urgency: bool) {
        if let Some(rank) = rank(ask) {
            if weighs_urgency {
                self.urgency.record(now_ms, rank.priority);
            }
            self.shares.record_ask(now_ms, &rank.account);
        }
    }

    /// Returns the present weights of all priorities while `used_share` of the engines are in use.
    pub(crate) fn urgency(&self, now_ms: f64, used_share: f64) -> UrgencyWeights {
        self.urgency.weights(now_ms, scarcity(used_share))
    }

    /// Returns the weight of a prompt while `used_share` of the engines are in use. Shares of
    /// accounts count only if `shares_accounts`.
    pub(crate) fn weight(
        &self,
        now_ms: f64,
        ask: &PromptAsk,
        used_share: f64,
        shares_accounts: bool,
    ) -> PromptWeight {
        let urgencies = self.urgency(now_ms, used_share);
        let Some(rank) = rank(ask) else {
            return PromptWeight { urgency: 1.0, share: 1.0 };
        };
        let share = if shares_accounts {
            self.shares.weight(now_ms, &rank.account, scarcity(used_share))
        } else {
            1.0
        };
        PromptWeight { urgency: urgencies.weight(Some(rank.priority)), share }
    }

    /// Records the work of a placed prompt, in milliseconds of an engine.
    pub(crate) fn record_work(&mut self, now_ms: f64, ask: &PromptAsk, work_ms: f64) {
        if let Some(rank) = rank(ask) {
            self.shares.record_work(now_ms, &rank.account, work_ms);
        }
    }

    /// Returns the number of accounts that have used more than their fair share.
    pub(crate) fn over_share(&self, now_ms: f64) -> usize {
        self.shares.over_share(now_ms)
    }
}

fn rank(ask: &PromptAsk) -> Option<&RequestRank> {
    ask.waiter.as_ref().map(|waiter| &waiter.rank)
}

/// Returns the priority of a prompt, if it is known.
pub(crate) fn priority(ask: &PromptAsk) -> Option<u8> {
    rank(ask).map(|rank| rank.priority)
}
