//! The home of a shard: what it knows, and the events that change it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use oriolepass_schema::endpoint::{CacheEvents, EndpointAnnouncement, EndpointHeartbeat};
use oriolepass_schema::operator::{EndpointState, EndpointView, PoolRole};
use oriolepass_units::{
    AccountId, AttemptId, DataCentreId, EndpointId, Incarnation, InstanceId, MonotonicTime,
    TokenCount,
};

use crate::ask::{GrantRefusal, GrantRequest, HomeCommand, ReleaseReason, WorkTarget};
use crate::config::{LengthClass, SchedulerConfig};
use crate::dispatch::WaitingIndex;
use crate::endpoint::{EndpointEntry, HoldState, MemoryHold};
use crate::fairness::AccountBook;
use crate::lane::PromptLane;
use crate::placement::EngineReservation;
use crate::rate::ArrivalRate;

/// How long another home may take to stop, in percent of the suspect time: its clock may be
/// slower than this one's.
const SUSPECT_DRIFT_PERCENT: u32 = 115;

/// The endpoint is not known here, or in another life; it has to announce itself again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownEndpoint;

/// A grant in force.
#[derive(Debug)]
pub(crate) struct GrantRecord {
    pub(crate) entry: InstanceId,
    pub(crate) account: AccountId,
    pub(crate) members: Vec<(EndpointId, TokenCount)>,
    pub(crate) class: LengthClass,
    pub(crate) prompt: TokenCount,
    pub(crate) answer: TokenCount,
    /// Prompt tokens that count as backlog on the leading endpoint until it has started.
    pub(crate) backlog: u64,
    pub(crate) until: MonotonicTime,
}

/// Counts of what the home did.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct HomeCounters {
    /// Grants given.
    pub granted: u64,
    /// Asks refused.
    pub refused: u64,
    /// Grants that ended because nobody renewed them.
    pub expired_grants: u64,
    /// Streams cancelled because nothing explained them.
    pub cancelled_unexplained: u64,
    /// Reservations made for prompts that did not fit.
    pub reservations: u64,
}

/// Decides for the endpoints of the shards whose home this daemon is.
#[derive(Debug)]
pub struct HomeScheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointEntry>,
    pub(crate) grants: HashMap<AttemptId, GrantRecord>,
    pub(crate) lanes: BTreeMap<(WorkTarget, LengthClass), PromptLane>,
    pub(crate) waiting: WaitingIndex,
    pub(crate) accounts: AccountBook,
    pub(crate) reservation: Option<EngineReservation>,
    pub(crate) commands: Vec<HomeCommand>,
    pub(crate) counters: HomeCounters,
    pub(crate) next_place: u64,
    /// The time of the latest event.
    pub(crate) now: MonotonicTime,
    /// Short prompts asked for.
    pub(crate) short_rate: ArrivalRate,
}

impl HomeScheduler {
    /// Creates a home without endpoints.
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            config,
            endpoints: BTreeMap::new(),
            grants: HashMap::new(),
            lanes: BTreeMap::new(),
            waiting: WaitingIndex::default(),
            accounts: AccountBook::default(),
            reservation: None,
            commands: Vec::new(),
            counters: HomeCounters::default(),
            next_place: 0,
            now: MonotonicTime::ZERO,
            short_rate: ArrivalRate::default(),
        }
    }

    /// Returns what is to be done since the last call.
    pub fn take_commands(&mut self) -> Vec<HomeCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Sets an account's share and its limit of memory.
    pub fn set_share(&mut self, account: &AccountId, share: u32, max_held: Option<TokenCount>) {
        self.accounts.set_share(account, share, max_held);
    }

    /// Takes an endpoint in, or notes that it is alive.
    ///
    /// An endpoint belongs to the home that it sends its heartbeats to: a home without them
    /// grants nothing after the suspect time. One that comes from another home, which has not
    /// released it, is used only once that time has passed there for certain, so that two
    /// homes never grant the same memory.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: &EndpointAnnouncement,
        role: PoolRole,
    ) {
        let usable_from = match announcement.other_home_ms {
            None => now,
            Some(silent) => {
                let other_stops = self.config.endpoint_suspect * SUSPECT_DRIFT_PERCENT / 100;
                now + other_stops.saturating_sub(Duration::from_millis(silent))
            }
        };
        let id = &announcement.endpoint;
        let known = self.endpoints.get(id).map(|entry| entry.incarnation);
        match known {
            Some(incarnation) if incarnation > announcement.incarnation => {}
            Some(incarnation) if incarnation == announcement.incarnation => {
                let entry = self.endpoints.get_mut(id).expect("known");
                entry.last_heartbeat = now;
            }
            _ => {
                // Another life: whatever the earlier one held is gone with it. What waits may
                // still be served by the new one.
                let entry = EndpointEntry::new(announcement, role, now, usable_from);
                self.endpoints.insert(id.clone(), entry);
                self.drop_reservation_on(&announcement.endpoint);
                self.inspect_due(now);
            }
        }
    }

    /// Takes in a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error when the endpoint has to announce itself again.
    pub fn heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &EndpointHeartbeat,
    ) -> Result<(), UnknownEndpoint> {
        let entry = self.known(&heartbeat.endpoint, heartbeat.incarnation)?;
        entry.last_heartbeat = now;
        if entry.state == EndpointState::Suspect {
            entry.state = EndpointState::Live;
            self.dispatch_all(now);
        }
        Ok(())
    }

    /// Takes in cache events.
    ///
    /// # Errors
    ///
    /// Returns an error when the endpoint has to announce itself again.
    pub fn cache_events(&mut self, events: &CacheEvents) -> Result<(), UnknownEndpoint> {
        let entry = self.known(&events.endpoint, events.incarnation)?;
        entry.cache_events(events.first_sequence, &events.changes);
        Ok(())
    }

    /// Notes that an endpoint leaves: it gets nothing new from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when the endpoint is not known here.
    pub fn leave(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Result<(), UnknownEndpoint> {
        self.known(endpoint, incarnation)?.state = EndpointState::Leaving;
        self.drop_reservation_on(endpoint);
        self.refuse_hopeless();
        Ok(())
    }

    fn known(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Result<&mut EndpointEntry, UnknownEndpoint> {
        let entry = self.endpoints.get_mut(endpoint);
        entry.filter(|entry| entry.incarnation == incarnation).ok_or(UnknownEndpoint)
    }

    /// Notes that an attempt's first token has come, so that its prompt is no backlog any more.
    pub fn started(&mut self, now: MonotonicTime, attempt: &AttemptId) {
        let Some(grant) = self.grants.get_mut(attempt) else { return };
        let backlog = std::mem::take(&mut grant.backlog);
        let (class, lead) = (grant.class, grant.members[0].0.clone());
        grant.until = now + self.config.grant_lease;
        self.reduce_backlog(&lead, class, backlog);
    }

    /// Renews grants. Returns those that are not known here, which their entry should know.
    pub fn renew(
        &mut self,
        now: MonotonicTime,
        entry: &InstanceId,
        attempts: &[AttemptId],
    ) -> Vec<AttemptId> {
        let until = now + self.config.grant_lease;
        let mut unknown = Vec::new();
        for attempt in attempts {
            let grant = self.grants.get_mut(attempt).filter(|grant| grant.entry == *entry);
            if let Some(grant) = grant {
                grant.until = until;
            } else if !self.renew_adopted(attempt, until) {
                unknown.push(attempt.clone());
            }
        }
        unknown
    }

    /// Renews a stream that an earlier home granted. It was found on the endpoint when this
    /// home took over, or it arrived there a moment later, in which case it is adopted now.
    fn renew_adopted(&mut self, attempt: &AttemptId, until: MonotonicTime) -> bool {
        let mut found = false;
        for entry in self.endpoints.values_mut() {
            if let Some((reserved, _)) = entry.unexplained.remove(attempt) {
                let state = HoldState::Adopted(until);
                entry.holds.insert(attempt.clone(), MemoryHold { reserved, state });
                entry.held += reserved;
                found = true;
            } else if let Some(hold) = entry.holds.get_mut(attempt)
                && let HoldState::Adopted(due) = &mut hold.state
            {
                *due = until;
                found = true;
            }
        }
        found
    }

    /// Ends a grant, or an ask that still waits.
    pub fn release(&mut self, now: MonotonicTime, attempt: &AttemptId, reason: ReleaseReason) {
        if self.withdraw(attempt) {
            return;
        }
        match self.grants.remove(attempt) {
            Some(grant) => self.settle(now, attempt, &grant, reason),
            None => self.release_adopted(now, attempt, reason),
        }
        self.dispatch_all(now);
    }

    fn settle(
        &mut self,
        now: MonotonicTime,
        attempt: &AttemptId,
        grant: &GrantRecord,
        reason: ReleaseReason,
    ) {
        self.reduce_backlog(&grant.members[0].0, grant.class, grant.backlog);
        if grant.class != LengthClass::Short {
            for (member, _) in &grant.members {
                if let Some(entry) = self.endpoints.get_mut(member) {
                    entry.long_running = entry.long_running.saturating_sub(1);
                }
            }
        }
        let need: TokenCount = grant.members.iter().map(|(_, part)| *part).sum();
        self.accounts.meter(&grant.account).held -= need;
        let unused = match reason {
            ReleaseReason::Ended { tokens } => {
                let left = grant.answer.0.saturating_sub(tokens.0);
                left * self.config.answer_weight
            }
            ReleaseReason::NeverSent => grant.prompt.0 + grant.answer.0 * self.config.answer_weight,
            ReleaseReason::Abandoned => 0,
        };
        self.accounts.refund(&grant.account, unused);
        for (position, (member, _)) in grant.members.iter().enumerate() {
            // The end of the answer proves that the leading engine is done with it. The others
            // of a group are told separately, which may get lost.
            let certain = match reason {
                ReleaseReason::NeverSent => true,
                ReleaseReason::Ended { .. } => position == 0,
                ReleaseReason::Abandoned => false,
            };
            if certain {
                self.free(member, attempt);
            } else {
                self.cancel_hold(now, member, attempt);
            }
        }
    }

    fn release_adopted(&mut self, now: MonotonicTime, attempt: &AttemptId, reason: ReleaseReason) {
        let holders: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, entry)| entry.holds.contains_key(attempt))
            .map(|(id, _)| id.clone())
            .collect();
        let ended = matches!(reason, ReleaseReason::Ended { .. }) && holders.len() == 1;
        for endpoint in holders {
            if ended {
                self.free(&endpoint, attempt);
            } else {
                self.cancel_hold(now, &endpoint, attempt);
            }
        }
    }

    fn reduce_backlog(&mut self, endpoint: &EndpointId, class: LengthClass, tokens: u64) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            let backlog = &mut entry.backlog[usize::from(class.priority())];
            *backlog = backlog.saturating_sub(tokens);
        }
    }

    /// Lets time pass: leases end, endpoints become suspect or are forgotten, asks expire.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.short_rate.tick(now);
        self.expire_grants(now);
        self.expire_holds(now);
        self.expire_waiting(now);
        self.age_endpoints(now);
        self.inspect_due(now);
        self.dispatch_all(now);
    }

    fn expire_grants(&mut self, now: MonotonicTime) {
        let expired: Vec<AttemptId> = self
            .grants
            .iter()
            .filter(|(_, grant)| now >= grant.until)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in expired {
            self.counters.expired_grants += 1;
            let grant = self.grants.remove(&attempt).expect("listed above");
            self.settle(now, &attempt, &grant, ReleaseReason::Abandoned);
        }
    }

    fn age_endpoints(&mut self, now: MonotonicTime) {
        let (suspect, gone) = (self.config.endpoint_suspect, self.config.endpoint_gone);
        let mut lost = Vec::new();
        for (id, entry) in &mut self.endpoints {
            entry.finish_joining(now);
            let silent = now.since(entry.last_heartbeat);
            if silent >= gone {
                lost.push(id.clone());
            } else if silent >= suspect && entry.state == EndpointState::Live {
                entry.state = EndpointState::Suspect;
            }
        }
        for id in lost {
            self.forget_endpoint(&id);
        }
    }

    /// Forgets an endpoint with all that it holds. Entries notice by their broken connections.
    fn forget_endpoint(&mut self, id: &EndpointId) {
        if self.endpoints.remove(id).is_some() {
            self.drop_reservation_on(id);
            self.refuse_hopeless();
        }
    }

    fn drop_reservation_on(&mut self, endpoint: &EndpointId) {
        let touches = |r: &EngineReservation| r.members.iter().any(|(id, _)| id == endpoint);
        if self.reservation.as_ref().is_some_and(touches) {
            self.reservation = None;
        }
    }

    fn inspect_due(&mut self, now: MonotonicTime) {
        for (id, entry) in &mut self.endpoints {
            if now >= entry.inspect_due {
                entry.inspect_due = now + self.config.inspect_every;
                let (endpoint, address) = (id.clone(), entry.address);
                self.commands.push(HomeCommand::Inspect { endpoint, address });
            }
        }
    }

    /// Refuses everything that waits, because this daemon is the home no longer.
    pub fn give_up(&mut self) {
        for attempt in self.waiting.attempts() {
            self.withdraw(&attempt);
            let refusal = GrantRefusal::NotHome;
            self.commands.push(HomeCommand::Refuse { attempt, refusal });
        }
        self.endpoints.clear();
        self.grants.clear();
        self.reservation = None;
    }

    /// Lets an endpoint go that has another home now; returns whether it was here.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) -> bool {
        let known = self.endpoints.contains_key(endpoint);
        self.forget_endpoint(endpoint);
        known
    }

    /// Drops the endpoints that `keep` does not accept, because their home is elsewhere now.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&EndpointId, &DataCentreId) -> bool) {
        let lost: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(id, entry)| !keep(id, &entry.data_centre))
            .map(|(id, _)| id.clone())
            .collect();
        lost.iter().for_each(|id| self.forget_endpoint(id));
    }

    /// Lists the endpoints.
    pub fn endpoint_views(&self) -> Vec<EndpointView> {
        let view = |(id, entry): (&EndpointId, &EndpointEntry)| EndpointView {
            endpoint: id.clone(),
            state: entry.state,
            held: entry.held,
            memory: entry.memory,
            unexplained: entry.unexplained.values().map(|(size, _)| *size).sum(),
        };
        self.endpoints.iter().map(view).collect()
    }

    /// Returns the number of asks that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of grants in force.
    pub fn grant_count(&self) -> usize {
        self.grants.len()
    }

    /// Returns what the home did so far.
    pub fn counters(&self) -> HomeCounters {
        self.counters
    }

    /// Returns the work charged to each account so far, in tokens of prompt.
    pub fn served(&self) -> Vec<(AccountId, u64)> {
        self.accounts.iter().map(|(account, meter)| (account.clone(), meter.served)).collect()
    }

    /// Returns the work that an ask will be charged.
    pub(crate) fn work_of(&self, ask: &GrantRequest) -> u64 {
        ask.prompt.0 + ask.answer.0 * self.config.answer_weight
    }
}
