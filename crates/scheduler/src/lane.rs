//! Prompts of one model and length class that wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use oriolepass_schema::caller::RequestPriority;
use oriolepass_units::{AccountId, MonotonicTime};

use crate::ask::GrantRequest;
use crate::fairness::VirtualTime;

/// A prompt's place within its account: urgent ones first, then by arrival.
pub(crate) type PlaceInAccount = (Reverse<RequestPriority>, u64);

/// A prompt that waits.
#[derive(Debug)]
pub(crate) struct WaitingPrompt {
    pub(crate) ask: GrantRequest,
    pub(crate) since: MonotonicTime,
    pub(crate) expires: MonotonicTime,
    pub(crate) work: u64,
}

/// The accounts that wait, by virtual time, each with its prompts in order.
#[derive(Debug, Default)]
pub(crate) struct PromptLane {
    accounts: BTreeMap<AccountId, (VirtualTime, BTreeMap<PlaceInAccount, WaitingPrompt>)>,
    order: BTreeSet<(VirtualTime, AccountId)>,
}

impl PromptLane {
    pub(crate) fn has(&self, account: &AccountId) -> bool {
        self.accounts.contains_key(account)
    }

    pub(crate) fn push(&mut self, at: VirtualTime, place: PlaceInAccount, prompt: WaitingPrompt) {
        let account = prompt.ask.account.clone();
        let entry = self.accounts.entry(account.clone()).or_insert_with(|| {
            self.order.insert((at, account));
            (at, BTreeMap::new())
        });
        entry.1.insert(place, prompt);
    }

    /// Returns the accounts in the order in which they are due.
    pub(crate) fn accounts_in_order(&self) -> impl Iterator<Item = &AccountId> {
        self.order.iter().map(|(_, account)| account)
    }

    /// Returns the next prompt of the account that is due first, with that account's time.
    pub(crate) fn first_head(&self) -> Option<(VirtualTime, &WaitingPrompt)> {
        let (at, account) = self.order.first()?;
        self.head_of(account).map(|(_, prompt)| (*at, prompt))
    }

    /// Returns the next prompt of an account.
    pub(crate) fn head_of(&self, account: &AccountId) -> Option<(PlaceInAccount, &WaitingPrompt)> {
        let (_, prompts) = self.accounts.get(account)?;
        prompts.first_key_value().map(|(place, prompt)| (*place, prompt))
    }

    pub(crate) fn remove(
        &mut self,
        account: &AccountId,
        place: PlaceInAccount,
    ) -> Option<WaitingPrompt> {
        let (at, prompts) = self.accounts.get_mut(account)?;
        let prompt = prompts.remove(&place);
        if prompts.is_empty() {
            self.order.remove(&(*at, account.clone()));
            self.accounts.remove(account);
        }
        prompt
    }

    /// Moves an account to its new virtual time, where it still waits.
    pub(crate) fn move_to(&mut self, account: &AccountId, at: VirtualTime) {
        if let Some((present, _)) = self.accounts.get_mut(account) {
            self.order.remove(&(*present, account.clone()));
            *present = at;
            self.order.insert((at, account.clone()));
        }
    }

    /// Returns all prompts.
    pub(crate) fn prompts(&self) -> impl Iterator<Item = &WaitingPrompt> {
        self.accounts.values().flat_map(|(_, prompts)| prompts.values())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
