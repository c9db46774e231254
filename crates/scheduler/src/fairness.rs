//! Weighted fair queueing over accounts.

use std::collections::BTreeMap;

use oriolepass_units::{AccountId, TokenCount};

/// Work done for an account divided by its share; the lowest is served next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(u128);

/// Scales the division by shares, so that small works are not rounded away.
const SCALE: u128 = 1 << 20;

impl VirtualTime {
    fn plus(self, work: u64, share: u32) -> Self {
        Self(self.0 + u128::from(work) * SCALE / u128::from(share.max(1)))
    }

    fn minus(self, work: u64, share: u32) -> Self {
        Self(self.0.saturating_sub(u128::from(work) * SCALE / u128::from(share.max(1))))
    }
}

/// One account at this home.
#[derive(Debug, Clone)]
pub(crate) struct AccountMeter {
    pub(crate) share: u32,
    pub(crate) virtual_time: VirtualTime,
    /// Tokens of work waiting.
    pub(crate) queued: u64,
    /// Memory granted.
    pub(crate) held: TokenCount,
    pub(crate) max_held: Option<TokenCount>,
    /// Work charged so far.
    pub(crate) served: u64,
}

/// All accounts at this home.
#[derive(Debug, Default)]
pub(crate) struct AccountBook {
    meters: BTreeMap<AccountId, AccountMeter>,
    /// The virtual time of the work that was started last. An account that was idle starts
    /// here: unused share is lent to the others, not saved up.
    floor: VirtualTime,
}

/// The share of an account that the configuration does not name.
const DEFAULT_SHARE: u32 = 1;

impl AccountBook {
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
                virtual_time: self.floor,
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

    /// Notes that an account which had nothing waiting has something now.
    pub(crate) fn wake(&mut self, account: &AccountId) -> VirtualTime {
        let floor = self.floor;
        let meter = self.meter(account);
        meter.virtual_time = meter.virtual_time.max(floor);
        meter.virtual_time
    }

    pub(crate) fn charge(&mut self, account: &AccountId, work: u64) -> VirtualTime {
        let meter = self.meter(account);
        let started_at = meter.virtual_time;
        meter.virtual_time = started_at.plus(work, meter.share);
        meter.served += work;
        let after = meter.virtual_time;
        self.floor = self.floor.max(started_at);
        after
    }

    /// Gives back what was charged for work that was not done.
    pub(crate) fn refund(&mut self, account: &AccountId, work: u64) {
        let floor = self.floor;
        let meter = self.meter(account);
        meter.virtual_time = meter.virtual_time.minus(work, meter.share).max(floor);
        meter.served = meter.served.saturating_sub(work);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AccountId, &AccountMeter)> {
        self.meters.iter()
    }
}
