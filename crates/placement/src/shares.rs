//! Divides scarce engines among client accounts.
//!
//! The fair shares of all accounts that asked for engines lately are equal. While engines are
//! scarce, the prompts of an account that has used more than its fair share lose a part of their
//! value, so that those of other accounts go first. While they are not scarce, an account may use
//! what the others leave.

use std::collections::BTreeMap;

use oriolepass_units::AccountId;

/// Minimum weight of a prompt because of its account's share. It equals the weight of a prompt that
/// is one level less urgent, so that urgency goes before shares.
const MIN_SHARE_WEIGHT: f64 = 0.5;

/// Averaging time of the engines' time that an account uses: some of the longest prompts.
const USE_AVERAGING_TIME_MS: f64 = 8_000.0;

/// Ratio of use to the fair share from which the prompts of an account have the minimum weight.
const MAX_EXCESS_RATIO: f64 = 2.0;

/// Shares of the engines in use at which urgency and shares of accounts begin to count, and from
/// which they count fully. Below the former, a prompt rarely has to wait for another.
const MIN_SCARCE_USE: f64 = 0.35;
const MAX_SCARCE_USE: f64 = 0.55;

/// Ratio of an account's last use and presence below which it is forgotten.
const MIN_PRESENCE: f64 = 0.02;

/// Maximum number of accounts with a record for each service. Beyond it, the account with the least
/// use is forgotten, whose prompts have the full weight either way.
const MAX_ACCOUNTS: usize = 1_024;

/// Returns how scarce engines are, from 0 to 1, for the share of them that is in use.
pub(crate) fn scarcity(used_share: f64) -> f64 {
    ((used_share - MIN_SCARCE_USE) / (MAX_SCARCE_USE - MIN_SCARCE_USE)).clamp(0.0, 1.0)
}

#[derive(Debug, Clone, Copy)]
struct AccountUse {
    /// Decaying sum of the work, in milliseconds of an engine.
    work_ms: f64,
    updated_ms: f64,
    last_ask_ms: f64,
}

impl AccountUse {
    fn work_ms(&self, now_ms: f64) -> f64 {
        self.work_ms * decay(now_ms, self.updated_ms)
    }

    fn presence(&self, now_ms: f64) -> f64 {
        decay(now_ms, self.last_ask_ms)
    }
}

fn decay(now_ms: f64, from_ms: f64) -> f64 {
    (-(now_ms - from_ms).max(0.0) / USE_AVERAGING_TIME_MS).exp()
}

/// The engines' time that each account used lately. Prompts without an account count as those of
/// one account.
#[derive(Debug, Default)]
pub(crate) struct AccountShares {
    accounts: BTreeMap<Option<AccountId>, AccountUse>,
}

impl AccountShares {
    /// Records a prompt of an account that asks for engines.
    pub(crate) fn record_ask(&mut self, now_ms: f64, account: &Option<AccountId>) {
        self.accounts.retain(|_, used| used.presence(now_ms) >= MIN_PRESENCE);
        if let Some(used) = self.accounts.get_mut(account) {
            used.last_ask_ms = now_ms;
            return;
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.forget_least(now_ms);
        }
        let used = AccountUse { work_ms: 0.0, updated_ms: now_ms, last_ask_ms: now_ms };
        self.accounts.insert(account.clone(), used);
    }

    /// Adds the work of a placed prompt to the use of its account.
    pub(crate) fn record_work(&mut self, now_ms: f64, account: &Option<AccountId>, work_ms: f64) {
        self.record_ask(now_ms, account);
        if let Some(used) = self.accounts.get_mut(account) {
            used.work_ms = used.work_ms(now_ms) + work_ms;
            used.updated_ms = now_ms;
        }
    }

    fn forget_least(&mut self, now_ms: f64) {
        let least = self
            .accounts
            .iter()
            .min_by(|(_, left), (_, right)| left.work_ms(now_ms).total_cmp(&right.work_ms(now_ms)));
        if let Some(account) = least.map(|(account, _)| account.clone()) {
            self.accounts.remove(&account);
        }
    }

    /// Returns the weight of an account's next prompt, from `MIN_SHARE_WEIGHT` to 1, while engines
    /// are as scarce as `scarcity` says.
    pub(crate) fn weight(&self, now_ms: f64, account: &Option<AccountId>, scarcity: f64) -> f64 {
        let own_ms = self.accounts.get(account).map_or(0.0, |used| used.work_ms(now_ms));
        let ratio = own_ms / self.fair_share_ms(now_ms).max(f64::MIN_POSITIVE);
        let excess = ((ratio - 1.0) / (MAX_EXCESS_RATIO - 1.0)).clamp(0.0, 1.0);
        1.0 - (1.0 - MIN_SHARE_WEIGHT) * scarcity * excess
    }

    /// Returns the work that is the fair share of each active account, in milliseconds of an
    /// engine.
    fn fair_share_ms(&self, now_ms: f64) -> f64 {
        let all_ms: f64 = self.accounts.values().map(|used| used.work_ms(now_ms)).sum();
        let active: f64 = self.accounts.values().map(|used| used.presence(now_ms)).sum();
        all_ms / active.max(1.0)
    }

    /// Returns the number of accounts that have used more than their fair share.
    pub(crate) fn over_share(&self, now_ms: f64) -> usize {
        let fair_ms = self.fair_share_ms(now_ms);
        self.accounts.values().filter(|used| used.work_ms(now_ms) > fair_ms).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn account(name: &str) -> Option<AccountId> {
        Some(name.parse().expect("a valid name"))
    }

    /// Guards against one account with half of all prompts that takes the engines from the others.
    #[test]
    fn an_account_above_its_share_weighs_less_only_while_engines_are_scarce() {
        let mut shares = AccountShares::default();
        shares.record_work(0.0, &account("large"), 500.0);
        (0..10).for_each(|n| shares.record_work(0.0, &account(&format!("small-{n}")), 50.0));
        let weight = |name: &str, scarcity| shares.weight(0.0, &account(name), scarcity);
        assert_eq!(weight("large", 0.0), 1.0);
        assert_eq!(weight("large", 0.5), 0.75);
        assert_eq!(weight("large", 1.0), MIN_SHARE_WEIGHT);
        assert_eq!((weight("small-1", 1.0), weight("new", 1.0)), (1.0, 1.0));
        assert_eq!(shares.over_share(0.0), 1);
    }

    /// Guards against engines that are withheld from an account that nobody competes with.
    #[test]
    fn an_account_alone_has_the_full_weight() {
        let mut shares = AccountShares::default();
        (0..20).for_each(|n| shares.record_work(f64::from(n), &account("only"), 900.0));
        assert_eq!(shares.weight(20.0, &account("only"), 1.0), 1.0);
        shares.record_work(30.0, &account("gone"), 1.0);
        assert!(shares.weight(30.0, &account("only"), 1.0) < 1.0);
        shares.record_ask(60_000.0, &account("only"));
        assert_eq!(shares.weight(60_000.0, &account("only"), 1.0), 1.0);
    }

    /// Guards against a flood of accounts that exhausts the memory.
    #[test]
    fn the_number_of_accounts_is_bounded() {
        let mut shares = AccountShares::default();
        shares.record_work(0.0, &account("large"), 500.0);
        (0..3_000).for_each(|n| shares.record_ask(1.0, &account(&format!("small-{n}"))));
        assert_eq!(shares.accounts.len(), MAX_ACCOUNTS);
        assert!(shares.weight(1.0, &account("large"), 1.0) < 1.0);
    }
}
