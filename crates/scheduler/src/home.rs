//! State of a home and the events that change it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use oriolepass_schema::endpoint::{CacheEvents, EndpointAnnouncement, EndpointHeartbeat};
use oriolepass_schema::operator::{EndpointState, EndpointView, PoolRole};
use oriolepass_units::{
    AccountId, AttemptId, DataCentreId, EndpointId, Incarnation, InstanceId, MonotonicTime,
    TokenCount,
};

use crate::config::{LengthClass, SchedulerConfig};
use crate::dispatch::WaitingIndex;
use crate::endpoint::{EndpointEntry, HoldState, MemoryHold};
use crate::fairness::AccountTable;
use crate::grant::{GrantRefusal, GrantRequest, HomeCommand, ReleaseReason, WorkTarget};
use crate::lane::PromptLane;
use crate::placement::EngineReservation;
use crate::rate::ArrivalRate;

/// Time after which another home has certainly stopped granting an endpoint's memory, in percent of
/// the suspect timeout: the other home's clock may be slower than this one's.
const SUSPECT_TIMEOUT_DRIFT_PERCENT: u32 = 115;

/// The endpoint is unknown to this home, or known with another incarnation. It has to announce
/// itself again.
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
    /// Prompt tokens that count as backlog on the leading endpoint until the first token arrives.
    pub(crate) backlog: u64,
    pub(crate) expires_at: MonotonicTime,
}

/// Counters of the home's actions.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct HomeCounters {
    /// Grants issued.
    pub granted: u64,
    /// Grant requests refused.
    pub refused: u64,
    /// Grants that expired without renewal.
    pub expired_grants: u64,
    /// Streams cancelled because no grant explains them.
    pub cancelled_unexplained: u64,
    /// Engine reservations made for prompts that did not fit.
    pub reservations: u64,
}

/// Schedules the endpoints of the shards whose home this daemon is.
#[derive(Debug)]
pub struct HomeScheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointEntry>,
    pub(crate) grants: HashMap<AttemptId, GrantRecord>,
    pub(crate) lanes: BTreeMap<(WorkTarget, LengthClass), PromptLane>,
    pub(crate) waiting: WaitingIndex,
    pub(crate) accounts: AccountTable,
    pub(crate) reservation: Option<EngineReservation>,
    pub(crate) commands: Vec<HomeCommand>,
    pub(crate) counters: HomeCounters,
    pub(crate) next_sequence: u64,
    /// The time of the latest event.
    pub(crate) now: MonotonicTime,
    /// Arrival rate of short prompts.
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
            accounts: AccountTable::default(),
            reservation: None,
            commands: Vec::new(),
            counters: HomeCounters::default(),
            next_sequence: 0,
            now: MonotonicTime::ZERO,
            short_rate: ArrivalRate::default(),
        }
    }

    /// Returns the commands produced since the last call.
    pub fn take_commands(&mut self) -> Vec<HomeCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Sets an account's share and its memory limit.
    pub fn set_share(&mut self, account: &AccountId, share: u32, max_held: Option<TokenCount>) {
        self.accounts.set_share(account, share, max_held);
    }

    /// Adds an endpoint, or records the announcement of a known endpoint as a heartbeat.
    ///
    /// An endpoint belongs to the home that it sends its heartbeats to. A home that receives no
    /// heartbeats grants nothing on the endpoint after the suspect timeout. An endpoint that comes
    /// from another home without having been released there is used only after that timeout has
    /// certainly passed at the other home, so that two homes never grant the same memory.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: &EndpointAnnouncement,
        role: PoolRole,
    ) {
        let usable_from = match announcement.other_home_ms {
            None => now,
            Some(silent_ms) => {
                let other_home_timeout =
                    self.config.endpoint_suspect * SUSPECT_TIMEOUT_DRIFT_PERCENT / 100;
                now + other_home_timeout.saturating_sub(Duration::from_millis(silent_ms))
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
                // The endpoint is new or has restarted, and a restart frees all memory that the
                // earlier incarnation held. The new incarnation may serve waiting requests.
                let entry = EndpointEntry::new(announcement, role, now, usable_from);
                self.endpoints.insert(id.clone(), entry);
                self.drop_reservation_on(&announcement.endpoint);
                self.inspect_due_endpoints(now);
            }
        }
    }

    /// Records a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error when the endpoint has to announce itself again.
    pub fn heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &EndpointHeartbeat,
    ) -> Result<(), UnknownEndpoint> {
        let entry = self.known_endpoint(&heartbeat.endpoint, heartbeat.incarnation)?;
        entry.last_heartbeat = now;
        if entry.state == EndpointState::Suspect {
            entry.state = EndpointState::Live;
            self.dispatch_all(now);
        }
        Ok(())
    }

    /// Applies cache events of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error when the endpoint has to announce itself again.
    pub fn cache_events(&mut self, events: &CacheEvents) -> Result<(), UnknownEndpoint> {
        let entry = self.known_endpoint(&events.endpoint, events.incarnation)?;
        entry.cache_events(events.first_sequence, &events.changes);
        Ok(())
    }

    /// Marks an endpoint as leaving. It gets no new work.
    ///
    /// # Errors
    ///
    /// Returns an error when the endpoint is unknown to this home.
    pub fn leave(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Result<(), UnknownEndpoint> {
        self.known_endpoint(endpoint, incarnation)?.state = EndpointState::Leaving;
        self.drop_reservation_on(endpoint);
        self.refuse_unservable();
        Ok(())
    }

    fn known_endpoint(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Result<&mut EndpointEntry, UnknownEndpoint> {
        let entry = self.endpoints.get_mut(endpoint);
        entry.filter(|entry| entry.incarnation == incarnation).ok_or(UnknownEndpoint)
    }

    /// Records that an attempt's first token has arrived: removes its prompt from the backlog and
    /// renews its grant.
    pub fn started(&mut self, now: MonotonicTime, attempt: &AttemptId) {
        let Some(grant) = self.grants.get_mut(attempt) else { return };
        let backlog = std::mem::take(&mut grant.backlog);
        let (class, lead) = (grant.class, grant.members[0].0.clone());
        grant.expires_at = now + self.config.grant_lease;
        self.reduce_backlog(&lead, class, backlog);
    }

    /// Renews grants of an entry; returns the attempts that are unknown to this home.
    pub fn renew(
        &mut self,
        now: MonotonicTime,
        entry: &InstanceId,
        attempts: &[AttemptId],
    ) -> Vec<AttemptId> {
        let expires_at = now + self.config.grant_lease;
        let mut unknown = Vec::new();
        for attempt in attempts {
            let grant = self.grants.get_mut(attempt).filter(|grant| grant.entry == *entry);
            if let Some(grant) = grant {
                grant.expires_at = expires_at;
            } else if !self.renew_adopted(attempt, expires_at) {
                unknown.push(attempt.clone());
            }
        }
        unknown
    }

    /// Renews a stream that an earlier home granted; returns whether the stream is known. The
    /// stream was found on the endpoint when this home took over, or it reached the endpoint
    /// shortly afterwards and is adopted now.
    fn renew_adopted(&mut self, attempt: &AttemptId, expires_at: MonotonicTime) -> bool {
        let mut found = false;
        for entry in self.endpoints.values_mut() {
            if let Some((reserved, _)) = entry.unexplained.remove(attempt) {
                let state = HoldState::Adopted(expires_at);
                entry.holds.insert(attempt.clone(), MemoryHold { reserved, state });
                entry.held += reserved;
                found = true;
            } else if let Some(hold) = entry.holds.get_mut(attempt)
                && let HoldState::Adopted(due) = &mut hold.state
            {
                *due = expires_at;
                found = true;
            }
        }
        found
    }

    /// Ends a grant, or withdraws a request that still waits.
    pub fn release(&mut self, now: MonotonicTime, attempt: &AttemptId, reason: ReleaseReason) {
        if self.withdraw(attempt) {
            return;
        }
        match self.grants.remove(attempt) {
            Some(grant) => self.settle_grant(now, attempt, &grant, reason),
            None => self.release_adopted(now, attempt, reason),
        }
        self.dispatch_all(now);
    }

    /// Frees the memory of a grant that has ended, or cancels it on engines that may still hold it,
    /// and refunds the unused work.
    fn settle_grant(
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
            // The end of the answer proves that the leading engine has freed its memory. The other
            // engines of a group are notified by separate messages, which may get lost.
            let is_freed = match reason {
                ReleaseReason::NeverSent => true,
                ReleaseReason::Ended { .. } => position == 0,
                ReleaseReason::Abandoned => false,
            };
            if is_freed {
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

    /// Advances the time: expires leases and waiting requests, and marks endpoints as suspect or
    /// removes them.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.short_rate.tick(now);
        self.expire_grants(now);
        self.expire_holds(now);
        self.expire_waiting(now);
        self.age_endpoints(now);
        self.inspect_due_endpoints(now);
        self.dispatch_all(now);
    }

    fn expire_grants(&mut self, now: MonotonicTime) {
        let expired: Vec<AttemptId> = self
            .grants
            .iter()
            .filter(|(_, grant)| now >= grant.expires_at)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in expired {
            self.counters.expired_grants += 1;
            let grant = self.grants.remove(&attempt).expect("listed above");
            self.settle_grant(now, &attempt, &grant, ReleaseReason::Abandoned);
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
            self.drop_endpoint(&id);
        }
    }

    /// Removes an endpoint with its held memory. Entries detect the loss by their broken
    /// connections.
    fn drop_endpoint(&mut self, id: &EndpointId) {
        if self.endpoints.remove(id).is_some() {
            self.drop_reservation_on(id);
            self.refuse_unservable();
        }
    }

    fn drop_reservation_on(&mut self, endpoint: &EndpointId) {
        let touches = |r: &EngineReservation| r.members.iter().any(|(id, _)| id == endpoint);
        if self.reservation.as_ref().is_some_and(touches) {
            self.reservation = None;
        }
    }

    fn inspect_due_endpoints(&mut self, now: MonotonicTime) {
        for (id, entry) in &mut self.endpoints {
            if now >= entry.inspect_due {
                entry.inspect_due = now + self.config.inspect_interval;
                let (endpoint, address) = (id.clone(), entry.address);
                self.commands.push(HomeCommand::Inspect { endpoint, address });
            }
        }
    }

    /// Refuses all waiting requests and clears the endpoints and grants, because this daemon is no
    /// longer the home.
    pub fn step_down(&mut self) {
        for attempt in self.waiting.attempts() {
            self.withdraw(&attempt);
            let refusal = GrantRefusal::NotHome;
            self.commands.push(HomeCommand::Refuse { attempt, refusal });
        }
        self.endpoints.clear();
        self.grants.clear();
        self.reservation = None;
    }

    /// Removes an endpoint that another home serves now; returns whether it was known here.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) -> bool {
        let known = self.endpoints.contains_key(endpoint);
        self.drop_endpoint(endpoint);
        known
    }

    /// Removes the endpoints that `keep` rejects, because another home serves them now.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&EndpointId, &DataCentreId) -> bool) {
        let lost: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(id, entry)| !keep(id, &entry.data_centre))
            .map(|(id, _)| id.clone())
            .collect();
        lost.iter().for_each(|id| self.drop_endpoint(id));
    }

    /// Returns the operators' views of the endpoints.
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

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of grants in force.
    pub fn grant_count(&self) -> usize {
        self.grants.len()
    }

    /// Returns the counters of the home's actions so far.
    pub fn counters(&self) -> HomeCounters {
        self.counters
    }

    /// Returns the work charged to each account so far, in prompt tokens.
    pub fn served(&self) -> Vec<(AccountId, u64)> {
        self.accounts.iter().map(|(account, meter)| (account.clone(), meter.served)).collect()
    }

    /// Returns the work that a request is charged, in prompt tokens.
    pub(crate) fn work_of(&self, request: &GrantRequest) -> u64 {
        request.prompt.0 + request.answer.0 * self.config.answer_weight
    }
}
