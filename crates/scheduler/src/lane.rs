//! A lane: the queue of prompts that wait for one target in one length class.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use oriolepass_schema::caller::RequestPriority;
use oriolepass_units::{AccountId, MonotonicTime};

use crate::fairness::VirtualTime;
use crate::grant::GrantRequest;

/// Position of a prompt within its account: by descending priority, then by arrival.
pub(crate) type QueuePosition = (Reverse<RequestPriority>, u64);

/// A waiting prompt.
#[derive(Debug)]
pub(crate) struct WaitingPrompt {
    pub(crate) request: GrantRequest,
    pub(crate) enqueued_at: MonotonicTime,
    pub(crate) expires_at: MonotonicTime,
    /// Work that the prompt is charged, in prompt tokens.
    pub(crate) work: u64,
}

/// The waiting accounts by virtual time, each with its prompts in order.
#[derive(Debug, Default)]
pub(crate) struct PromptLane {
    accounts: BTreeMap<AccountId, (VirtualTime, BTreeMap<QueuePosition, WaitingPrompt>)>,
    order: BTreeSet<(VirtualTime, AccountId)>,
}

impl PromptLane {
    pub(crate) fn contains(&self, account: &AccountId) -> bool {
        self.accounts.contains_key(account)
    }

    pub(crate) fn push(
        &mut self,
        virtual_time: VirtualTime,
        position: QueuePosition,
        prompt: WaitingPrompt,
    ) {
        let account = prompt.request.account.clone();
        let entry = self.accounts.entry(account.clone()).or_insert_with(|| {
            self.order.insert((virtual_time, account));
            (virtual_time, BTreeMap::new())
        });
        entry.1.insert(position, prompt);
    }

    /// Returns the accounts by ascending virtual time, which is the order of service.
    pub(crate) fn accounts_in_order(&self) -> impl Iterator<Item = &AccountId> {
        self.order.iter().map(|(_, account)| account)
    }

    /// Returns the next prompt of the account that is served first, with that account's virtual
    /// time.
    pub(crate) fn first_head(&self) -> Option<(VirtualTime, &WaitingPrompt)> {
        let (virtual_time, account) = self.order.first()?;
        self.head_of(account).map(|(_, prompt)| (*virtual_time, prompt))
    }

    /// Returns the next prompt of an account.
    pub(crate) fn head_of(&self, account: &AccountId) -> Option<(QueuePosition, &WaitingPrompt)> {
        let (_, prompts) = self.accounts.get(account)?;
        prompts.first_key_value().map(|(position, prompt)| (*position, prompt))
    }

    pub(crate) fn remove(
        &mut self,
        account: &AccountId,
        position: QueuePosition,
    ) -> Option<WaitingPrompt> {
        let (virtual_time, prompts) = self.accounts.get_mut(account)?;
        let prompt = prompts.remove(&position);
        if prompts.is_empty() {
            self.order.remove(&(*virtual_time, account.clone()));
            self.accounts.remove(account);
        }
        prompt
    }

    /// Sets the virtual time of an account if the account waits in this lane.
    pub(crate) fn set_virtual_time(&mut self, account: &AccountId, virtual_time: VirtualTime) {
        if let Some((present, _)) = self.accounts.get_mut(account) {
            self.order.remove(&(*present, account.clone()));
            *present = virtual_time;
            self.order.insert((virtual_time, account.clone()));
        }
    }

    /// Returns all waiting prompts.
    pub(crate) fn prompts(&self) -> impl Iterator<Item = &WaitingPrompt> {
        self.accounts.values().flat_map(|(_, prompts)| prompts.values())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
