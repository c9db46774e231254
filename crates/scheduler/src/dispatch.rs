//! Takes asks in and gives grants out.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use oriolepass_schema::operator::EndpointState;
use oriolepass_units::{AccountId, AttemptId, MonotonicTime, TokenCount};

use crate::ask::{
    GrantRefusal, GrantRequest, GrantedEndpoint, HomeCommand, PromptGrant, WorkTarget,
};
use crate::config::LengthClass;
use crate::endpoint::EndpointEntry;
use crate::home::{GrantRecord, HomeScheduler};
use crate::lane::{PlaceInAccount, PromptLane, WaitingPrompt};
use crate::placement::{EngineReservation, Placement};

/// The shortest and longest time that a refusal tells the caller to wait.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(30));

/// Accounts looked at in one lane before it counts as blocked. An account at its own limit of
/// memory must not block the others, but looking at thousands for each event would not scale.
const ACCOUNTS_LOOKED_AT: usize = 8;

/// Where each waiting ask stands.
#[derive(Debug, Default)]
pub(crate) struct WaitingIndex {
    places: HashMap<AttemptId, (WorkTarget, LengthClass, AccountId, PlaceInAccount)>,
    queued: HashMap<WorkTarget, u64>,
}

impl WaitingIndex {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn attempts(&self) -> Vec<AttemptId> {
        self.places.keys().cloned().collect()
    }

    fn queued(&self, target: &WorkTarget) -> u64 {
        self.queued.get(target).copied().unwrap_or(0)
    }
}

impl HomeScheduler {
    /// Takes in an ask: grants it, lets it wait, or refuses it at once.
    pub fn request_grant(&mut self, now: MonotonicTime, ask: GrantRequest) {
        self.now = now;
        if let Some(refusal) = self.refusal(&ask) {
            self.counters.refused += 1;
            self.commands.push(HomeCommand::Refuse { attempt: ask.attempt, refusal });
            return;
        }
        let target = ask.target.clone();
        let is_model = matches!(target, WorkTarget::Model(_));
        if is_model && LengthClass::of(ask.prompt) == LengthClass::Short {
            self.short_rate.add(ask.prompt.0);
        }
        self.enqueue(now, ask);
        self.dispatch(now, &target);
    }

    fn refusal(&self, ask: &GrantRequest) -> Option<GrantRefusal> {
        let Some(limit) = self.capacity_for(ask) else {
            return Some(self.why_none_serves(ask));
        };
        if ask.need() > limit {
            return Some(GrantRefusal::TooBig { limit });
        }
        let work = self.work_of(ask);
        let rate = self.rate_for(&ask.target);
        let queued = self.waiting.queued(&ask.target);
        let wait = Duration::from_secs_f64(queued as f64 / rate.max(1) as f64);
        let retry_after = wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        let meter = self.accounts.get(&ask.account);
        let (own, share) = meter.map_or((0, 1), |m| (m.queued, m.share));
        // The first ask of an account is always taken: its limit is on what it adds.
        if own > 0 && own + work > self.config.queue_tokens_per_share * u64::from(share) {
            return Some(GrantRefusal::AccountBusy { retry_after });
        }
        // The home's queue is shared out: once it is full, only accounts that wait for less
        // than their part of it may add to it.
        let full = queued + work > rate.saturating_mul(self.config.queue_seconds);
        if full && queued > 0 && own > self.queue_part(share, queued) {
            return Some(GrantRefusal::Busy { retry_after });
        }
        None
    }

    /// Says why no endpoint can ever take an ask.
    fn why_none_serves(&self, ask: &GrantRequest) -> GrantRefusal {
        let stays = |entry: &EndpointEntry| {
            entry.serves(&ask.target) && entry.state != EndpointState::Leaving
        };
        match self.endpoints.values().any(stays) {
            true => GrantRefusal::AllExcluded,
            false => GrantRefusal::NotServed,
        }
    }

    /// Refuses what waits and can be served no longer, after endpoints have gone.
    pub(crate) fn refuse_hopeless(&mut self) {
        let hopeless: Vec<(AttemptId, GrantRefusal)> = self
            .lanes
            .values()
            .flat_map(PromptLane::prompts)
            .filter_map(|prompt| {
                let refusal = match self.capacity_for(&prompt.ask) {
                    None => self.why_none_serves(&prompt.ask),
                    Some(limit) if prompt.ask.need() > limit => GrantRefusal::TooBig { limit },
                    Some(_) => return None,
                };
                Some((prompt.ask.attempt.clone(), refusal))
            })
            .collect();
        for (attempt, refusal) in hopeless {
            self.withdraw(&attempt);
            self.counters.refused += 1;
            self.commands.push(HomeCommand::Refuse { attempt, refusal });
        }
    }

    /// Returns an account's part of what waits, by its share among the accounts that wait.
    fn queue_part(&self, share: u32, queued: u64) -> u64 {
        let waiting = self.accounts.iter().filter(|(_, meter)| meter.queued > 0);
        let shares: u64 = waiting.map(|(_, meter)| u64::from(meter.share)).sum();
        queued * u64::from(share) / shares.max(1)
    }

    /// Returns the work that the endpoints of a target do a second, in tokens of prompt.
    fn rate_for(&self, target: &WorkTarget) -> u64 {
        let serving = self.endpoints.values().filter(|entry| entry.serves(target));
        serving.fold(0_u64, |sum, entry| sum.saturating_add(entry.prefill_rate))
    }

    /// Returns the work that waits for a target, in milliseconds of its endpoints together.
    pub(crate) fn queue_ms(&self, target: &WorkTarget) -> u64 {
        self.waiting.queued(target).saturating_mul(1_000) / self.rate_for(target).max(1)
    }

    fn enqueue(&mut self, now: MonotonicTime, ask: GrantRequest) {
        let class = LengthClass::of(ask.prompt);
        let work = self.work_of(&ask);
        let place = (Reverse(ask.priority), self.next_place);
        self.next_place += 1;
        let key = (ask.target.clone(), class);
        let account = ask.account.clone();
        let waits = self.lanes.get(&key).is_some_and(|lane| lane.has(&account));
        let at = match waits {
            true => self.accounts.meter(&account).virtual_time,
            false => self.accounts.wake(&account),
        };
        self.accounts.meter(&account).queued += work;
        *self.waiting.queued.entry(ask.target.clone()).or_default() += work;
        let index = (ask.target.clone(), class, account, place);
        self.waiting.places.insert(ask.attempt.clone(), index);
        let expires = now + ask.patience;
        let prompt = WaitingPrompt { ask, since: now, expires, work };
        self.lanes.entry(key).or_default().push(at, place, prompt);
    }

    /// Takes an ask out of the queue; returns whether it was there.
    pub(crate) fn withdraw(&mut self, attempt: &AttemptId) -> bool {
        let Some((target, class, account, place)) = self.waiting.places.remove(attempt) else {
            return false;
        };
        let key = (target, class);
        let lane = self.lanes.get_mut(&key).expect("an indexed ask's lane");
        let prompt = lane.remove(&account, place).expect("an indexed ask waits");
        if lane.is_empty() {
            self.lanes.remove(&key);
        }
        let meter = self.accounts.meter(&account);
        meter.queued -= prompt.work;
        let queued = self.waiting.queued.get_mut(&key.0).expect("something waited");
        *queued -= prompt.work;
        if *queued == 0 {
            self.waiting.queued.remove(&key.0);
        }
        if self.reservation.as_ref().is_some_and(|r| r.attempt == *attempt) {
            self.reservation = None;
        }
        true
    }

    /// Withdraws asks whose entry has stopped waiting, in case its word got lost.
    pub(crate) fn expire_waiting(&mut self, now: MonotonicTime) {
        let expired: Vec<AttemptId> = self
            .lanes
            .values()
            .flat_map(|lane| lane.accounts_in_order().filter_map(|account| lane.head_of(account)))
            .filter(|(_, prompt)| now >= prompt.expires)
            .map(|(_, prompt)| prompt.ask.attempt.clone())
            .collect();
        for attempt in expired {
            self.withdraw(&attempt);
            self.counters.refused += 1;
            let refusal = GrantRefusal::Busy { retry_after: RETRY_BOUNDS.0 };
            self.commands.push(HomeCommand::Refuse { attempt, refusal });
        }
    }

    pub(crate) fn dispatch_all(&mut self, now: MonotonicTime) {
        self.now = now;
        let mut targets: Vec<WorkTarget> = self.lanes.keys().map(|(t, _)| t.clone()).collect();
        targets.dedup();
        targets.iter().for_each(|target| self.dispatch(now, target));
    }

    /// Grants what fits, the shortest lane first.
    fn dispatch(&mut self, now: MonotonicTime, target: &WorkTarget) {
        self.serve_reservation(now);
        for class in LengthClass::ALL {
            while self.grant_next(now, target, class) {}
        }
        self.reserve_for_most_due(now);
    }

    /// Grants the next ask of a lane that fits; returns whether there was one.
    fn grant_next(&mut self, now: MonotonicTime, target: &WorkTarget, class: LengthClass) -> bool {
        let Some(lane) = self.lanes.get(&(target.clone(), class)) else { return false };
        let fitting = lane
            .accounts_in_order()
            .take(ACCOUNTS_LOOKED_AT)
            .filter_map(|account| lane.head_of(account))
            .filter(|(_, prompt)| !self.at_own_limit(&prompt.ask))
            // Only the first account that is not at its own limit is tried: giving its room to
            // a smaller prompt of the next one would let small prompts overtake for ever.
            .take(1)
            .find_map(|(_, prompt)| {
                self.place(&prompt.ask).map(|placement| (prompt.ask.attempt.clone(), placement))
            });
        match fitting {
            Some((attempt, placement)) => {
                self.grant(now, &attempt, placement);
                true
            }
            None => false,
        }
    }

    fn at_own_limit(&self, ask: &GrantRequest) -> bool {
        let meter = self.accounts.get(&ask.account);
        meter.is_some_and(|m| {
            m.max_held.is_some_and(|limit| m.held > TokenCount::ZERO && m.held + ask.need() > limit)
        })
    }

    /// Grants the reserved prompt once it fits.
    fn serve_reservation(&mut self, now: MonotonicTime) {
        let Some(reservation) = &self.reservation else { return };
        let attempt = reservation.attempt.clone();
        let Some((target, class, account, place)) = self.waiting.places.get(&attempt) else {
            self.reservation = None;
            return;
        };
        let lane = &self.lanes[&(target.clone(), *class)];
        let head = lane.head_of(account).filter(|(head, _)| head == place);
        if let Some(placement) = head.and_then(|(_, prompt)| self.place(&prompt.ask)) {
            self.grant(now, &attempt, placement);
        }
    }

    /// Reserves engines for the ask that is most due, once it has waited long enough.
    ///
    /// There is one reservation at a time. Two prompts that each hold a part of what the other
    /// needs can therefore not exist, and the one reserved for is sure to fit some day: every
    /// grant that stands in its way has a deadline. Lanes compete for it by the virtual time of
    /// their accounts: by lane or by age alone, a flood of medium prompts would always have one
    /// that comes first, and a group of engines would never come together.
    fn reserve_for_most_due(&mut self, now: MonotonicTime) {
        if self.reservation.is_some() {
            return;
        }
        let waited = |prompt: &WaitingPrompt| now.since(prompt.since) >= self.config.reserve_after;
        let most_due = self
            .lanes
            .iter()
            .filter(|((_, class), _)| *class != LengthClass::Short)
            .filter_map(|(_, lane)| lane.first_head())
            .filter(|(_, prompt)| waited(prompt) && !self.at_own_limit(&prompt.ask))
            .min_by_key(|(at, prompt)| (*at, prompt.since));
        let Some((_, prompt)) = most_due else { return };
        if let Some(members) = self.choose_reservation(&prompt.ask) {
            let attempt = prompt.ask.attempt.clone();
            self.reservation = Some(EngineReservation { attempt, members });
            self.counters.reservations += 1;
        }
    }

    fn grant(&mut self, now: MonotonicTime, attempt: &AttemptId, placement: Placement) {
        let (target, class, account, place) = self.waiting.places[attempt].clone();
        let lane = &self.lanes[&(target.clone(), class)];
        let (_, prompt) = lane.head_of(&account).expect("a granted ask heads its account");
        let ask = prompt.ask.clone();
        let work = prompt.work;
        debug_assert_eq!(lane.head_of(&account).map(|(head, _)| head), Some(place));
        self.withdraw(attempt);
        for (endpoint, part) in &placement {
            self.hold(endpoint, attempt, *part);
        }
        let meter = self.accounts.meter(&account);
        meter.held += ask.need();
        let after = self.accounts.charge(&account, work);
        // The account may wait in several lanes; all of them count the same work.
        for lane_class in LengthClass::ALL {
            if let Some(lane) = self.lanes.get_mut(&(target.clone(), lane_class)) {
                lane.move_to(&account, after);
            }
        }
        let backlog = self.note_running(&ask, class, &placement);
        let members = placement.iter().map(|(endpoint, reserved)| GrantedEndpoint {
            endpoint: endpoint.clone(),
            data_centre: self.endpoints[endpoint].data_centre.clone(),
            address: self.endpoints[endpoint].address,
            reserved: *reserved,
        });
        let grant = PromptGrant {
            attempt: attempt.clone(),
            members: members.collect(),
            priority: class.priority(),
            lease: self.config.grant_lease,
        };
        let record = GrantRecord {
            entry: ask.entry,
            account,
            members: placement,
            class,
            prompt: ask.prompt,
            answer: ask.answer,
            backlog,
            until: now + self.config.grant_lease,
        };
        let twin = self.grants.insert(attempt.clone(), record);
        assert!(twin.is_none(), "attempt {attempt} was granted twice");
        self.counters.granted += 1;
        self.commands.push(HomeCommand::Grant(grant));
    }

    /// Adds a prompt to the backlog of its leading endpoint; returns the tokens added.
    fn note_running(
        &mut self,
        ask: &GrantRequest,
        class: LengthClass,
        placement: &Placement,
    ) -> u64 {
        if class != LengthClass::Short {
            for (member, _) in placement {
                self.endpoints.get_mut(member).expect("placed").long_running += 1;
            }
        }
        let lead = self.endpoints.get_mut(&placement[0].0).expect("placed");
        if lead.service.is_some() {
            return 0;
        }
        let backlog = ask.prompt.0 - lead.cached_tokens(&ask.prefix).min(ask.prompt.0);
        lead.backlog[usize::from(class.priority())] += backlog;
        backlog
    }
}
