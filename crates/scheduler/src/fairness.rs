//! Weighted fair queueing over client accounts.

use std::collections::BTreeMap;

use oriolepass_units::{AccountId, TokenCount};

/// Work done for an account divided by its share. The account with the lowest value is served
/// next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(u128);

/// Fixed-point scale of [`VirtualTime`], so that the division by the share does not round small
/// amounts of work to zero.
const VIRTUAL_TIME_SCALE: u128 = 1 << 20;

impl VirtualTime {
    fn plus(self, work: u64, share: u32) -> Self {
        Self(self.0 + u128::from(work) * VIRTUAL_TIME_SCALE / u128::from(share.max(1)))
    }

    fn minus(self, work: u64, share: u32) -> Self {
        Self(
            self.0.saturating_sub(u128::from(work) * VIRTUAL_TIME_SCALE / u128::from(share.max(1))),
        )
    }
}

/// Usage of one account at this home.
#[derive(Debug, Clone)]
pub(crate) struct AccountMeter {
    pub(crate) share: u32,
    pub(crate) virtual_time: VirtualTime,
    /// Waiting work, in prompt tokens.
    pub(crate) queued: u64,
    /// Memory granted at present.
    pub(crate) held: TokenCount,
    /// Maximum memory held by the account. A single grant may exceed it.
    pub(crate) max_held: Option<TokenCount>,
    /// Work charged so far, in prompt tokens.
    pub(crate) served: u64,
}

/// All accounts at this home.
#[derive(Debug, Default)]
pub(crate) struct AccountTable {
    meters: BTreeMap<AccountId, AccountMeter>,
    /// The system virtual time: the highest virtual time at which work has started. An account
    /// that was idle resumes here, so that its unused share goes to the other accounts instead of
    /// accumulating.
    system_time: VirtualTime,
}

/// Share of an account without a configured share.
const DEFAULT_SHARE: u32 = 1;

impl AccountTable {
    pub(crate) fn set_share(
        &mut self,
        account: &AccountId,
        share: u32,
        max_held: Option<TokenCount>,
    ) {
        let meter = self.meter(account);
        meter.share = share.max(1);
        meter.max_held = max_held;
    }

    pub(crate) fn meter(&mut self, account: &AccountId) -> &mut AccountMeter {
        if !self.meters.contains_key(account) {
            let meter = AccountMeter {
                share: DEFAULT_SHARE,
                virtual_time: self.system_time,
                queued: 0,
                held: TokenCount::ZERO,
                max_held: None,
                served: 0,
            };
            self.meters.insert(account.clone(), meter);
        }
        self.meters.get_mut(account).expect("inserted above")
    }

    pub(crate) fn get(&self, account: &AccountId) -> Option<&AccountMeter> {
        self.meters.get(account)
    }

    /// Raises the virtual time of an account that starts to wait to at least the system virtual
    /// time; returns the account's virtual time.
    pub(crate) fn activate(&mut self, account: &AccountId) -> VirtualTime {
        let system_time = self.system_time;
        let meter = self.meter(account);
        meter.virtual_time = meter.virtual_time.max(system_time);
        meter.virtual_time
    }

    /// Charges work to an account; returns its new virtual time.
    pub(crate) fn charge(&mut self, account: &AccountId, work: u64) -> VirtualTime {
        let meter = self.meter(account);
        let started_at = meter.virtual_time;
        meter.virtual_time = started_at.plus(work, meter.share);
        meter.served += work;
        let after = meter.virtual_time;
        self.system_time = self.system_time.max(started_at);
        after
    }

    /// Refunds work that was charged and not done.
    pub(crate) fn refund(&mut self, account: &AccountId, work: u64) {
        let system_time = self.system_time;
        let meter = self.meter(account);
        meter.virtual_time = meter.virtual_time.minus(work, meter.share).max(system_time);
        meter.served = meter.served.saturating_sub(work);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AccountId, &AccountMeter)> {
        self.meters.iter()
    }
}
