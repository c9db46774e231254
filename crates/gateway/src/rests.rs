//! Rests that endpoints ask this instance for, and endpoints that say in their answers that they leave.
//!
//! A rest is a matter between one start of an endpoint and one instance, so each instance keeps the rests
//! that it was asked for and sends nothing to these endpoints, on any way. With each prompt, it tells the
//! daemon that places it which engines are excluded. An endpoint that rests is neither faulty nor slow:
//! nothing is reported to the others, and it gets its share again as soon as the rest is over.
//!
//! An endpoint that leaves gets nothing new from any instance, whatever its heartbeats say.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use oriolepass_limits::{PermitWaiter, QueueVerdict, RestChange, RestTable, ReturnQueue};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime, ServiceName};
use tokio::task::spawn_local;

use crate::dialect::{AnswerFacts, RestStatement};
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::tunnel::report_rest_to_relay;
use crate::upstream::EndpointTarget;

/// The length of a rest whose length cannot be read.
const DEFAULT_REST: Duration = Duration::from_secs(1);

/// The rests that endpoints asked this daemon for.
#[derive(Debug, Default)]
pub(crate) struct RestState {
    table: RestTable,
    /// Requests that find all endpoints of their service at rest.
    returns: BTreeMap<ServiceName, ReturnQueue>,
}

/// What an endpoint wants of this daemon, according to its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EndpointWish {
    /// Whether the endpoint rests. What it turns away then is no fault.
    pub(crate) is_resting: bool,
    /// Whether the endpoint leaves.
    pub(crate) is_leaving: bool,
}

impl EndpointWish {
    /// Returns whether the endpoint wants nothing new from this daemon.
    pub(crate) fn wants_nothing(self) -> bool {
        self.is_resting || self.is_leaving
    }
}

impl Gateway {
    /// Records what an answer states about a rest of its endpoint, and whether the endpoint leaves.
    /// Returns what the endpoint wants, also according to earlier answers.
    pub(crate) fn record_wish(
        &self,
        request: Option<&str>,
        endpoint: &EndpointStart,
        status: StatusCode,
        facts: &AnswerFacts,
    ) -> EndpointWish {
        // Another endpoint at this address has answered.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return EndpointWish::default();
        }
        let turns_away = status == StatusCode::SERVICE_UNAVAILABLE
            || (status == StatusCode::TOO_MANY_REQUESTS && facts.was_not_run);
        if turns_away {
            self.record_rest(request, endpoint, facts.rest);
        }
        if facts.is_leaving {
            self.endpoint_leaving(endpoint);
        }
        EndpointWish { is_resting: self.is_resting(endpoint), is_leaving: facts.is_leaving }
    }

    fn record_rest(
        &self,
        request: Option<&str>,
        endpoint: &EndpointStart,
        statement: RestStatement,
    ) {
        let span = match statement {
            RestStatement::None => return,
            RestStatement::For(span) => span,
            RestStatement::Unreadable => DEFAULT_REST,
        };
        let now = self.now();
        let change = self.rests.borrow_mut().table.record(now, endpoint, span);
        let outcome = match change {
            RestChange::Began => "began",
            RestChange::Extended => "extended",
            RestChange::Unchanged => "unchanged",
        };
        self.metrics.rests.with_label_values(&[outcome]).inc();
        let until = self.rest_until(endpoint).unwrap_or(now);
        self.line(EventKind::Rest)
            .maybe("request", request)
            .text("endpoint", endpoint)
            .millis("rest_ms", until.since(now))
            .number("is_readable", statement != RestStatement::Unreadable)
            .text("outcome", outcome);
        self.count_rests();
    }

    /// Records a rest of which this daemon learns from another one: either passed on requests to the
    /// endpoint for the other.
    pub(crate) fn record_relayed_rest(&self, endpoint: &EndpointStart, span: Duration) {
        self.record_rest(None, endpoint, RestStatement::For(span));
    }

    /// Returns whether an endpoint rests, as far as this daemon is concerned.
    pub(crate) fn is_resting(&self, endpoint: &EndpointStart) -> bool {
        self.rests.borrow().table.is_resting(self.now(), endpoint)
    }

    /// Returns the end of an endpoint's rest, or `None` if the endpoint does not rest.
    pub(crate) fn rest_until(&self, endpoint: &EndpointStart) -> Option<MonotonicTime> {
        self.rests.borrow().table.until(self.now(), endpoint)
    }

    /// Returns the endpoints of a service that rest.
    pub(crate) fn resting_endpoints(&self, service: &ServiceName) -> Vec<EndpointStart> {
        let registry = self.endpoints.borrow();
        let rests = self.rests.borrow();
        let of_service = |endpoint: &&EndpointStart| {
            registry.takes_work(endpoint).is_some_and(|beat| beat.service == *service)
        };
        rests.table.resting(self.now()).filter(of_service).cloned().collect()
    }

    /// Returns whether a request may be sent to an endpoint now: it neither rests nor leaves.
    pub(crate) fn may_send_to(&self, endpoint: &EndpointStart) -> bool {
        !self.is_resting(endpoint) && self.endpoints.borrow().takes_work(endpoint).is_some()
    }

    /// Returns whether the interface of an endpoint may be called now, and counts the call.
    pub(crate) fn try_begin_endpoint_call(&self, endpoint: &EndpointStart) -> bool {
        self.rests.borrow_mut().table.try_begin_call(self.now(), endpoint)
    }

    /// Decides about a request to a service: whether to look for an endpoint now, to wait for the end
    /// of the first rest, or to refuse the request.
    pub(crate) fn ask_to_return(
        &self,
        service: &ServiceName,
        waiter: &PermitWaiter,
    ) -> QueueVerdict {
        let now = self.now();
        let mut rests = self.rests.borrow_mut();
        let RestState { table, returns } = &mut *rests;
        let registry = self.endpoints.borrow();
        let is_ordered = returns.contains_key(service);
        if !is_ordered
            && registry.serving(service).any(|beat| !table.is_resting(now, &beat.endpoint))
        {
            return QueueVerdict::Take;
        }
        let ends: Vec<(EndpointStart, Option<MonotonicTime>)> = registry
            .serving(service)
            .map(|beat| (beat.endpoint.clone(), table.until(now, &beat.endpoint)))
            .collect();
        if ends.is_empty() {
            return QueueVerdict::Take;
        }
        let queue = returns.entry(service.clone()).or_default();
        let verdict = queue.ask(now, waiter, &ends, rand::random());
        if !queue.is_ordering() {
            returns.remove(service);
        }
        verdict
    }

    /// Forgets the rests that have ended.
    pub(crate) fn expire_rests(&self) {
        self.rests.borrow_mut().table.expire(self.now());
        self.count_rests();
    }

    fn count_rests(&self) {
        let count = self.rests.borrow().table.resting(self.now()).count();
        self.metrics.resting_endpoints.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Tells the instance that passed on a request's bytes that the endpoint asked for rest: the
    /// endpoint means the instance that its connection came from.
    pub(crate) fn report_rest(self: &Rc<Self>, relay: InstanceId, target: EndpointTarget) {
        let Some(until) = self.rest_until(&target.endpoint) else { return };
        let (gateway, span) = (Rc::clone(self), until.since(self.now()));
        spawn_local(async move { report_rest_to_relay(&gateway, &relay, &target, span).await });
    }
}
