//! The limits on their request rates that endpoints name in their answers, and permits to send
//! requests to such endpoints.
//!
//! Each daemon tells the others of limits that are named, changed or lifted. The home places all
//! prompts, so it keeps the limits of engines by itself. Requests to other endpoints are placed by
//! each entry: for an endpoint with a limit, the entry asks the home for a permit. While the home
//! does not answer, the deputies issue permits, each for the endpoints of its cell.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_limits::{
    IssuerRole, LimitChange, LimitNotice, LimitTable, PermitAsk, PermitIssuer, PermitVerdict,
    WaiterId,
};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use tokio::time::{Instant, sleep};

use crate::deputies::deputy_of_endpoint;
use crate::dialect::LimitStatement;
use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::home::{DEPUTY_ANSWER_TIMEOUT, HOME_ANSWER_TIMEOUT};
use crate::peers::{PeerMessage, ProtocolLevel};

/// The minimum interval between two reports of one endpoint. An endpoint may name another limit in
/// each answer.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum time for which an entry that was refused a permit does not ask for the next one, if
/// its requests can be sent elsewhere.
const MAX_SKIP_TIME: Duration = Duration::from_secs(1);

/// The interval at which the first note of a daemon is awaited.
const NOTE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What this daemon knows of limits, and the permits that it issues.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    table: LimitTable,
    issuer: PermitIssuer,
    /// The permits that this daemon issues to itself while neither the home nor a deputy answers.
    own_issuer: PermitIssuer,
    /// When each endpoint was last reported to the other daemons.
    reported: BTreeMap<EndpointStart, MonotonicTime>,
    /// Endpoints that were reported too recently to report their last change.
    unreported: BTreeSet<EndpointStart>,
    /// The times before which no permit of an endpoint is expected.
    skipped_until: BTreeMap<EndpointStart, MonotonicTime>,
}

impl LimitState {
    pub(crate) fn table(&self) -> &LimitTable {
        &self.table
    }

    /// Returns whether this daemon was told recently that an endpoint has no permit left.
    pub(crate) fn is_skipped(&self, now: MonotonicTime, endpoint: &EndpointStart) -> bool {
        self.skipped_until.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Records that no permit of the endpoints is expected for a while.
    pub(crate) fn skip(&mut self, now: MonotonicTime, endpoints: &[EndpointStart], span: Duration) {
        let until = now + span.min(MAX_SKIP_TIME);
        let entries = endpoints.iter().map(|endpoint| (endpoint.clone(), until));
        self.skipped_until.extend(entries);
    }

    /// Removes the endpoints for which `is_known` returns false.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EndpointStart) -> bool) {
        self.table.retain(&is_known);
        self.issuer.retain(&is_known);
        self.own_issuer.retain(&is_known);
        self.reported.retain(|endpoint, _| is_known(endpoint));
        self.unreported.retain(&is_known);
        self.skipped_until.retain(|endpoint, _| is_known(endpoint));
    }
}

impl Gateway {
    /// Records what an answer of an endpoint states about its limit, and reports a change to the
    /// other daemons.
    pub(crate) fn record_limit(&self, endpoint: &EndpointStart, statement: LimitStatement) {
        let limit = match statement {
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => Some(rate),
            // Neither names a limit nor lifts one.
            LimitStatement::Unreadable => return,
        };
        let notice = LimitNotice { endpoint: endpoint.clone(), limit, age: Duration::ZERO };
        if self.apply_limit(&notice, None) {
            self.report_limit(notice);
        }
    }

    /// Records the limit that an answer names which is no answer to a request, or which states that
    /// the request was not run. Such an answer lifts no limit: it may come from a part of the endpoint
    /// that knows of none.
    pub(crate) fn record_named_limit(&self, endpoint: &EndpointStart, statement: LimitStatement) {
        if matches!(statement, LimitStatement::Limited(_)) {
            self.record_limit(endpoint, statement);
        }
    }

    /// Applies a notice; returns whether it changed the limit of its endpoint.
    fn apply_limit(&self, notice: &LimitNotice, from: Option<&InstanceId>) -> bool {
        let now = self.now();
        {
            let mut state = self.limits.borrow_mut();
            if state.table.record(now, notice) == LimitChange::Unchanged {
                return false;
            }
            state.skipped_until.remove(&notice.endpoint);
        }
        self.line(EventKind::Limit)
            .text("endpoint", &notice.endpoint)
            .maybe("limit_per_s", notice.limit)
            .millis("age_ms", notice.age)
            .maybe("told_by", from)
            .text("outcome", if notice.limit.is_some() { "named" } else { "lifted" });
        self.count_limits();
        true
    }

    /// Returns whether an endpoint names a limit.
    pub(crate) fn names_limit(&self, endpoint: &EndpointStart) -> bool {
        self.limits.borrow().table.limit(endpoint).is_some()
    }

    pub(crate) fn count_limits(&self) {
        let count = self.limits.borrow().table.limited_count();
        self.metrics.limited_endpoints.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    fn report_limit(&self, notice: LimitNotice) {
        let now = self.now();
        {
            let mut state = self.limits.borrow_mut();
            let last = state.reported.get(&notice.endpoint);
            if last.is_some_and(|at| now.since(*at) < REPORT_INTERVAL) {
                state.unreported.insert(notice.endpoint);
                return;
            }
            state.reported.insert(notice.endpoint.clone(), now);
        }
        self.send_limits(self.broadcast_targets(), vec![notice]);
    }

    /// Reports the changes that followed an earlier report too closely.
    pub(crate) fn report_delayed_limits(&self) {
        let now = self.now();
        let notices = {
            let mut state = self.limits.borrow_mut();
            let delayed = std::mem::take(&mut state.unreported);
            if delayed.is_empty() {
                return;
            }
            state.reported.extend(delayed.iter().map(|endpoint| (endpoint.clone(), now)));
            let is_delayed = |notice: &LimitNotice| delayed.contains(&notice.endpoint);
            state.table.notices(now).into_iter().filter(is_delayed).collect::<Vec<_>>()
        };
        self.send_limits(self.broadcast_targets(), notices);
    }

    fn send_limits(&self, to: Vec<InstanceId>, notices: Vec<LimitNotice>) {
        let to: Vec<InstanceId> = {
            let roster = self.roster.borrow();
            let understands =
                |instance: &InstanceId| roster.understands(instance, ProtocolLevel::LIMITS);
            to.into_iter().filter(understands).collect()
        };
        if !notices.is_empty() {
            self.mesh.send_all(&to, &PeerMessage::Limits(notices));
        }
    }

    /// Records limits that another daemon reports, and forwards the changes.
    pub(crate) fn on_limits(&self, from: &InstanceId, notices: &[LimitNotice]) {
        let is_change = |notice: &&LimitNotice| self.apply_limit(notice, Some(from));
        let changes: Vec<LimitNotice> = notices.iter().filter(is_change).cloned().collect();
        self.send_limits(self.forward_targets(from), changes);
    }

    /// Returns all known limits for a daemon that has become reachable, or `None` if there are none.
    pub(crate) fn limits_for(&self, to: &InstanceId) -> Option<PeerMessage> {
        let notices = self.limits.borrow().table.notices(self.now());
        let understands = self.roster.borrow().understands(to, ProtocolLevel::LIMITS);
        (understands && !notices.is_empty()).then_some(PeerMessage::Limits(notices))
    }

    /// Returns the id of a new search for an endpoint.
    pub(crate) fn waiter_id(&self) -> WaiterId {
        WaiterId { entry: self.boot, number: self.next_number() }
    }

    /// Asks for a permit to send a request to an endpoint with a limit.
    pub(crate) async fn ask_permit(&self, ask: &PermitAsk) -> PermitVerdict {
        if self.is_leader() {
            return self.issue_permit(ask, IssuerRole::Home);
        }
        if let Some(verdict) = self.ask_home_for_permit(ask).await {
            self.limits.borrow_mut().own_issuer.clear();
            return verdict;
        }
        if let Some(verdict) = self.ask_deputy_for_permit(ask).await {
            self.limits.borrow_mut().own_issuer.clear();
            if let PermitVerdict::Granted(endpoint) = &verdict {
                self.report_permit_to_home(endpoint);
            }
            return verdict;
        }
        self.issue_permit(ask, IssuerRole::Alone(self.daemon_count()))
    }

    async fn ask_home_for_permit(&self, ask: &PermitAsk) -> Option<PermitVerdict> {
        let leader = self.leader_instance()?;
        if self.home.borrow().watch.is_away() || !self.understands_limits(&leader).await {
            return None;
        }
        let verdict = self.send_permit_ask(&leader, HOME_ANSWER_TIMEOUT, ask).await;
        if verdict.is_none() {
            self.on_home_timeout();
        }
        verdict
    }

    async fn ask_deputy_for_permit(&self, ask: &PermitAsk) -> Option<PermitVerdict> {
        let first = ask.endpoints.first()?;
        let (deputy, cell) = deputy_of_endpoint(&self.deputies(), first)?;
        let endpoints: Vec<EndpointStart> =
            ask.endpoints.iter().filter(|endpoint| cell.holds(endpoint)).cloned().collect();
        let ask = PermitAsk { endpoints, ..ask.clone() };
        if deputy == self.own {
            return Some(self.issue_permit(&ask, IssuerRole::Deputy));
        }
        if !self.understands_limits(&deputy).await {
            return None;
        }
        self.send_permit_ask(&deputy, DEPUTY_ANSWER_TIMEOUT, &ask).await
    }

    /// Returns whether a daemon understands messages about limits. A leaf may not have heard from
    /// the home yet, and asks for its note then.
    async fn understands_limits(&self, instance: &InstanceId) -> bool {
        let is_known =
            || self.roster.borrow().get(instance).is_some_and(|entry| entry.note.is_some());
        if !is_known() {
            self.mesh.send(instance, &PeerMessage::GreetingAsk);
            let until = Instant::now() + HOME_ANSWER_TIMEOUT;
            while !is_known() && Instant::now() < until {
                sleep(NOTE_CHECK_INTERVAL).await;
            }
        }
        self.roster.borrow().understands(instance, ProtocolLevel::LIMITS)
    }

    async fn send_permit_ask(
        &self,
        to: &InstanceId,
        max_wait: Duration,
        ask: &PermitAsk,
    ) -> Option<PermitVerdict> {
        let limits = {
            let is_asked = |notice: &LimitNotice| ask.endpoints.contains(&notice.endpoint);
            let notices = self.limits.borrow().table.notices(self.now());
            notices.into_iter().filter(is_asked).collect()
        };
        let request = |token| PeerMessage::PermitAsk { token, ask: ask.clone(), limits };
        match self.call(to, max_wait, request).await {
            Some(PeerReply::Permit(verdict)) => Some(verdict),
            _ => None,
        }
    }

    fn issue_permit(&self, ask: &PermitAsk, role: IssuerRole) -> PermitVerdict {
        let now = self.now();
        let mut state = self.limits.borrow_mut();
        let LimitState { table, issuer, own_issuer, .. } = &mut *state;
        let issuer = if matches!(role, IssuerRole::Alone(_)) { own_issuer } else { issuer };
        issuer.ask(now, ask, |endpoint| table.limit(endpoint).map(|limit| role.rate(limit)))
    }

    /// Reports a permit of a deputy to the home. A home that is alive but slow may issue permits
    /// for the same endpoint meanwhile.
    fn report_permit_to_home(&self, endpoint: &EndpointStart) {
        if let Some(leader) = self.leader_instance()
            && self.roster.borrow().understands(&leader, ProtocolLevel::LIMITS)
        {
            self.mesh.send(&leader, &PeerMessage::PermitUsed(endpoint.clone()));
        }
    }

    pub(crate) fn on_permit_used(&self, endpoint: &EndpointStart) {
        let now = self.now();
        self.limits.borrow_mut().issuer.charge(now, endpoint);
    }

    pub(crate) fn on_permit_ask(
        &self,
        from: &InstanceId,
        token: u64,
        ask: &PermitAsk,
        limits: &[LimitNotice],
    ) {
        self.on_limits(from, limits);
        if !self.knows_engines() {
            return;
        }
        let role = if self.is_leader() { IssuerRole::Home } else { IssuerRole::Deputy };
        let verdict = self.issue_permit(ask, role);
        self.mesh.send(from, &PeerMessage::PermitAnswer { token, verdict });
    }
}
