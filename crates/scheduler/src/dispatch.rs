//! Admits, queues and grants requests.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use oriolepass_schema::operator::EndpointState;
use oriolepass_units::{AccountId, AttemptId, MonotonicTime, TokenCount};

use crate::config::LengthClass;
use crate::endpoint::EndpointEntry;
use crate::grant::{
    GrantRefusal, GrantRequest, GrantedEndpoint, HomeCommand, PromptGrant, WorkTarget,
};
use crate::home::{GrantRecord, HomeScheduler};
use crate::lane::{PromptLane, QueuePosition, WaitingPrompt};
use crate::placement::{EngineReservation, Placement};

/// Minimum and maximum retry delay in a refusal.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(30));

/// Maximum number of accounts examined in one lane before the lane counts as blocked. An account
/// at its memory limit must not block the others, but examining thousands of accounts for each
/// event would not scale.
const MAX_ACCOUNTS_EXAMINED: usize = 8;

/// Index of the waiting requests by attempt, with the total waiting work of each target.
#[derive(Debug, Default)]
pub(crate) struct WaitingIndex {
    positions: HashMap<AttemptId, (WorkTarget, LengthClass, AccountId, QueuePosition)>,
    queued: HashMap<WorkTarget, u64>,
}

impl WaitingIndex {
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(crate) fn attempts(&self) -> Vec<AttemptId> {
        self.positions.keys().cloned().collect()
    }

    fn queued(&self, target: &WorkTarget) -> u64 {
        self.queued.get(target).copied().unwrap_or(0)
    }
}

impl HomeScheduler {
    /// Handles a grant request: grants it, queues it, or refuses it immediately.
    pub fn request_grant(&mut self, now: MonotonicTime, request: GrantRequest) {
        self.now = now;
        if let Some(refusal) = self.refusal(&request) {
            self.counters.refused += 1;
            self.commands.push(HomeCommand::Refuse { attempt: request.attempt, refusal });
            return;
        }
        let target = request.target.clone();
        let is_model = matches!(target, WorkTarget::Model(_));
        if is_model && LengthClass::of(request.prompt) == LengthClass::Short {
            self.short_rate.add(request.prompt.0);
        }
        self.enqueue(now, request);
        self.dispatch(now, &target);
    }

    /// Returns the refusal of a request that cannot be admitted.
    fn refusal(&self, request: &GrantRequest) -> Option<GrantRefusal> {
        let Some(limit) = self.capacity_for(request) else {
            return Some(self.unservable_refusal(request));
        };
        if request.need() > limit {
            return Some(GrantRefusal::TooBig { limit });
        }
        let work = self.work_of(request);
        let rate = self.rate_for(&request.target);
        let queued = self.waiting.queued(&request.target);
        let wait = Duration::from_secs_f64(queued as f64 / rate.max(1) as f64);
        let retry_after = wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
        let meter = self.accounts.get(&request.account);
        let (own, share) = meter.map_or((0, 1), |m| (m.queued, m.share));
        // The account's first waiting request is always admitted: the limit is on further requests.
        if own > 0 && own + work > self.config.max_queue_tokens_per_share * u64::from(share) {
            return Some(GrantRefusal::AccountBusy { retry_after });
        }
        // The home's queue is divided by share: once it is full, only accounts whose waiting work
        // does not exceed their part of the queue may add to it.
        let full = queued + work > rate.saturating_mul(self.config.max_queue_seconds);
        if full && queued > 0 && own > self.queue_share(share, queued) {
            return Some(GrantRefusal::Busy { retry_after });
        }
        None
    }

    /// Returns the refusal of a request that no endpoint can ever serve.
    fn unservable_refusal(&self, request: &GrantRequest) -> GrantRefusal {
        let is_staying = |entry: &EndpointEntry| {
            entry.serves(&request.target) && entry.state != EndpointState::Leaving
        };
        match self.endpoints.values().any(is_staying) {
            true => GrantRefusal::AllExcluded,
            false => GrantRefusal::NotServed,
        }
    }

    /// Refuses the waiting requests that can no longer be served after endpoints have been removed
    /// or started to leave.
    pub(crate) fn refuse_unservable(&mut self) {
        let unservable: Vec<(AttemptId, GrantRefusal)> = self
            .lanes
            .values()
            .flat_map(PromptLane::prompts)
            .filter_map(|prompt| {
                let refusal = match self.capacity_for(&prompt.request) {
                    None => self.unservable_refusal(&prompt.request),
                    Some(limit) if prompt.request.need() > limit => GrantRefusal::TooBig { limit },
                    Some(_) => return None,
                };
                Some((prompt.request.attempt.clone(), refusal))
            })
            .collect();
        for (attempt, refusal) in unservable {
            self.withdraw(&attempt);
            self.counters.refused += 1;
            self.commands.push(HomeCommand::Refuse { attempt, refusal });
        }
    }

    /// Returns an account's part of the waiting work, by its share among the waiting accounts.
    fn queue_share(&self, share: u32, queued: u64) -> u64 {
        let waiting = self.accounts.iter().filter(|(_, meter)| meter.queued > 0);
        let shares: u64 = waiting.map(|(_, meter)| u64::from(meter.share)).sum();
        queued * u64::from(share) / shares.max(1)
    }

    /// Returns the processing rate of a target's endpoints together, in prompt tokens per second.
    fn rate_for(&self, target: &WorkTarget) -> u64 {
        let serving = self.endpoints.values().filter(|entry| entry.serves(target));
        serving.fold(0_u64, |sum, entry| sum.saturating_add(entry.prefill_rate))
    }

    /// Returns the waiting work of a target, in milliseconds of work of its endpoints together.
    pub(crate) fn queue_ms(&self, target: &WorkTarget) -> u64 {
        self.waiting.queued(target).saturating_mul(1_000) / self.rate_for(target).max(1)
    }

    fn enqueue(&mut self, now: MonotonicTime, request: GrantRequest) {
        let class = LengthClass::of(request.prompt);
        let work = self.work_of(&request);
        let position = (Reverse(request.priority), self.next_sequence);
        self.next_sequence += 1;
        let key = (request.target.clone(), class);
        let account = request.account.clone();
        let waits = self.lanes.get(&key).is_some_and(|lane| lane.contains(&account));
        let virtual_time = match waits {
            true => self.accounts.meter(&account).virtual_time,
            false => self.accounts.activate(&account),
        };
        self.accounts.meter(&account).queued += work;
        *self.waiting.queued.entry(request.target.clone()).or_default() += work;
        let index = (request.target.clone(), class, account, position);
        self.waiting.positions.insert(request.attempt.clone(), index);
        let expires_at = now + request.patience;
        let prompt = WaitingPrompt { request, enqueued_at: now, expires_at, work };
        self.lanes.entry(key).or_default().push(virtual_time, position, prompt);
    }

    /// Removes a request from the queue; returns whether it was waiting.
    pub(crate) fn withdraw(&mut self, attempt: &AttemptId) -> bool {
        let Some((target, class, account, position)) = self.waiting.positions.remove(attempt)
        else {
            return false;
        };
        let key = (target, class);
        let lane = self.lanes.get_mut(&key).expect("an indexed request's lane");
        let prompt = lane.remove(&account, position).expect("an indexed request waits");
        if lane.is_empty() {
            self.lanes.remove(&key);
        }
        let meter = self.accounts.meter(&account);
        meter.queued -= prompt.work;
        let queued =
            self.waiting.queued.get_mut(&key.0).expect("the queued work of a waiting target");
        *queued -= prompt.work;
        if *queued == 0 {
            self.waiting.queued.remove(&key.0);
        }
        if self.reservation.as_ref().is_some_and(|r| r.attempt == *attempt) {
            self.reservation = None;
        }
        true
    }

    /// Refuses requests whose entry no longer waits. The entry normally withdraws a request itself;
    /// this covers a lost withdrawal.
    pub(crate) fn expire_waiting(&mut self, now: MonotonicTime) {
        let expired: Vec<AttemptId> = self
            .lanes
            .values()
            .flat_map(|lane| lane.accounts_in_order().filter_map(|account| lane.head_of(account)))
            .filter(|(_, prompt)| now >= prompt.expires_at)
            .map(|(_, prompt)| prompt.request.attempt.clone())
            .collect();
        for attempt in expired {
            self.withdraw(&attempt);
            self.counters.refused += 1;
            let refusal = GrantRefusal::Busy { retry_after: RETRY_AFTER_BOUNDS.0 };
            self.commands.push(HomeCommand::Refuse { attempt, refusal });
        }
    }

    pub(crate) fn dispatch_all(&mut self, now: MonotonicTime) {
        self.now = now;
        let mut targets: Vec<WorkTarget> = self.lanes.keys().map(|(t, _)| t.clone()).collect();
        targets.dedup();
        targets.iter().for_each(|target| self.dispatch(now, target));
    }

    /// Grants the requests that fit, the lane of the shortest class first.
    fn dispatch(&mut self, now: MonotonicTime, target: &WorkTarget) {
        self.grant_reserved(now);
        for class in LengthClass::ALL {
            while self.grant_next(now, target, class) {}
        }
        self.reserve_for_most_due(now);
    }

    /// Grants the next request of a lane if it fits; returns whether a request was granted.
    fn grant_next(&mut self, now: MonotonicTime, target: &WorkTarget, class: LengthClass) -> bool {
        let Some(lane) = self.lanes.get(&(target.clone(), class)) else { return false };
        let fitting = lane
            .accounts_in_order()
            .take(MAX_ACCOUNTS_EXAMINED)
            .filter_map(|account| lane.head_of(account))
            .filter(|(_, prompt)| !self.at_memory_limit(&prompt.request))
            // Only the first account that is below its memory limit is tried. Giving its room to a
            // smaller prompt of the next account would let small prompts overtake indefinitely.
            .take(1)
            .find_map(|(_, prompt)| {
                self.place(&prompt.request)
                    .map(|placement| (prompt.request.attempt.clone(), placement))
            });
        match fitting {
            Some((attempt, placement)) => {
                self.grant(now, &attempt, placement);
                true
            }
            None => false,
        }
    }

    /// Returns whether a grant would exceed the memory limit of an account that already holds
    /// memory.
    fn at_memory_limit(&self, request: &GrantRequest) -> bool {
        let meter = self.accounts.get(&request.account);
        meter.is_some_and(|m| {
            m.max_held
                .is_some_and(|limit| m.held > TokenCount::ZERO && m.held + request.need() > limit)
        })
    }

    /// Grants the request of the engine reservation once it fits.
    fn grant_reserved(&mut self, now: MonotonicTime) {
        let Some(reservation) = &self.reservation else { return };
        let attempt = reservation.attempt.clone();
        let Some((target, class, account, position)) = self.waiting.positions.get(&attempt) else {
            self.reservation = None;
            return;
        };
        let lane = &self.lanes[&(target.clone(), *class)];
        let head = lane.head_of(account).filter(|(head, _)| head == position);
        if let Some(placement) = head.and_then(|(_, prompt)| self.place(&prompt.request)) {
            self.grant(now, &attempt, placement);
        }
    }

    /// Reserves engines for the most due request that has waited for the reservation delay.
    ///
    /// There is one reservation at a time, so two prompts can never each hold a part of the memory
    /// that the other needs. The reserved prompt eventually fits, because every grant in its way
    /// has a deadline. Lanes compete for the reservation by the virtual time of their accounts.
    /// With an order by lane or by age alone, a flood of medium prompts would always come first,
    /// and no group of engines would ever become free together.
    fn reserve_for_most_due(&mut self, now: MonotonicTime) {
        if self.reservation.is_some() {
            return;
        }
        let waited =
            |prompt: &WaitingPrompt| now.since(prompt.enqueued_at) >= self.config.reservation_delay;
        let most_due = self
            .lanes
            .iter()
            .filter(|((_, class), _)| *class != LengthClass::Short)
            .filter_map(|(_, lane)| lane.first_head())
            .filter(|(_, prompt)| waited(prompt) && !self.at_memory_limit(&prompt.request))
            .min_by_key(|(virtual_time, prompt)| (*virtual_time, prompt.enqueued_at));
        let Some((_, prompt)) = most_due else { return };
        if let Some(members) = self.choose_reservation(&prompt.request) {
            let attempt = prompt.request.attempt.clone();
            self.reservation = Some(EngineReservation { attempt, members });
            self.counters.reservations += 1;
        }
    }

    fn grant(&mut self, now: MonotonicTime, attempt: &AttemptId, placement: Placement) {
        let (target, class, account, position) = self.waiting.positions[attempt].clone();
        let lane = &self.lanes[&(target.clone(), class)];
        let (_, prompt) = lane.head_of(&account).expect("a granted request heads its account");
        let request = prompt.request.clone();
        let work = prompt.work;
        debug_assert_eq!(lane.head_of(&account).map(|(head, _)| head), Some(position));
        self.withdraw(attempt);
        for (endpoint, part) in &placement {
            self.hold(endpoint, attempt, *part);
        }
        let meter = self.accounts.meter(&account);
        meter.held += request.need();
        let after = self.accounts.charge(&account, work);
        // The account may wait in several lanes, which all order it by the same virtual time.
        for lane_class in LengthClass::ALL {
            if let Some(lane) = self.lanes.get_mut(&(target.clone(), lane_class)) {
                lane.set_virtual_time(&account, after);
            }
        }
        let backlog = self.record_running(&request, class, &placement);
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
            entry: request.entry,
            account,
            members: placement,
            class,
            prompt: request.prompt,
            answer: request.answer,
            backlog,
            expires_at: now + self.config.grant_lease,
        };
        let previous = self.grants.insert(attempt.clone(), record);
        assert!(previous.is_none(), "attempt {attempt} was granted twice");
        self.counters.granted += 1;
        self.commands.push(HomeCommand::Grant(grant));
    }

    /// Records a granted prompt as running, and adds its uncached tokens to the backlog of its
    /// leading endpoint; returns the tokens added.
    fn record_running(
        &mut self,
        request: &GrantRequest,
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
        let backlog = request.prompt.0 - lead.cached_tokens(&request.prefix).min(request.prompt.0);
        lead.backlog[usize::from(class.priority())] += backlog;
        backlog
    }
}
