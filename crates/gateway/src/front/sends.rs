//! Sends a request to one endpoint and classifies the result.

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use oriolepass_units::EndpointStart;
use tokio::time::{sleep, timeout};

use super::body::{BodyCollector, HeldBody};
use super::caller::CallerRequest;
use super::ends::{follow_given_up, is_answer_complete, probe_for_end};
use super::headers::strip_hop_by_hop_headers;
use super::helpers::check_helper;
use super::placement::{NoPlacement, Placement, RunClock, endpoint_failed};
use super::presence::{while_alive, with_silence_watch};
use super::stream::{EventSource, NextEvents, OpenStream};
use crate::balancer::FaultKind;
use crate::dial::EndpointConnection;
use crate::dialect::{AnswerFacts, SendFacts};
use crate::events::EventKind;
use crate::framing::BodyFraming;
use crate::gateway::Gateway;
use crate::held_bytes::{ByteHold, HeldKind};
use crate::paths::EndpointWay;
use crate::request_body::RequestBody;
use crate::upstream::{self, EndpointTarget, SendFailure, Upstream};

/// The maximum length of an answer that is buffered before it is forwarded.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How long an answer waits for memory before it is given up: small answers take a few milliseconds.
const MEMORY_WAIT: Duration = Duration::from_millis(100);

/// The reason for giving up an answer for which there is no memory.
const NO_ANSWER_MEMORY: &str = "no memory for an answer of this length";

/// The interval between attempts to get memory for an answer.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The statuses of answers. The HTTP library also lets others of three digits pass.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// An answer with its complete body.
pub(super) type BufferedAnswer = Response<HeldBody>;

/// The outcome of one send.
pub(super) enum SendOutcome {
    /// The answer, and the endpoint that gave it.
    Answer(BufferedAnswer, EndpointStart),
    Stream(Box<OpenStream>),
    /// The request reached no endpoint.
    NotDelivered {
        reason: String,
        endpoint: Option<EndpointStart>,
    },
    /// The request was not run and never will be.
    NotRun {
        reason: String,
        endpoint: Option<EndpointStart>,
    },
    /// The request may have run.
    MayHaveRun {
        reason: String,
        endpoint: EndpointStart,
    },
    /// The request was not sent, because the selected endpoint has announced in the meantime that
    /// it leaves.
    Leaving(EndpointStart),
    /// No endpoint was selected.
    NoPlacement(NoPlacement),
    /// The request must not be sent now. Holds the reason and the time after which the caller
    /// should retry.
    Blocked(&'static str, Duration),
}

/// Sends a request once. A send of a repeatable request is abandoned as soon as its endpoint is
/// gone.
///
/// The answer to any other request is awaited even then: the request may have run and may still be
/// answered, and it cannot be sent to another endpoint.
pub(super) async fn send_once(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: Placement,
    last_event: Option<u64>,
) -> SendOutcome {
    let (target, clock) = (placement.target(), placement.clock.clone());
    let follower = RunFollower { gateway, request, target: &target, clock: &clock };
    // The home must learn of the failure before the exchange is dropped, which reports its end.
    let mut exchange = std::pin::pin!(exchange(gateway, request, placement, last_event));
    let end = if request.route.repeat.may_repeat() {
        while_alive(gateway, request, &target, &clock, exchange.as_mut()).await
    } else {
        Some(with_silence_watch(gateway, request, &target, &clock, exchange.as_mut()).await)
    };
    match end {
        // The stream's forwarder follows the run from now on.
        Some(SendOutcome::Stream(_)) => follower.release(),
        Some(_) => clock.record_over(),
        None => endpoint_failed(gateway, request, &target.endpoint, FaultKind::Unreachable),
    }
    end.unwrap_or_else(|| {
        let endpoint = target.endpoint.clone();
        SendOutcome::MayHaveRun { reason: "the endpoint is gone".to_owned(), endpoint }
    })
}

/// Follows a run that is given up before its answer has ended, by dropping its send.
struct RunFollower<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a CallerRequest,
    target: &'a EndpointTarget,
    clock: &'a RunClock,
}

impl RunFollower<'_> {
    /// Leaves the run to another follower.
    fn release(self) {
        std::mem::forget(self);
    }
}

impl Drop for RunFollower<'_> {
    fn drop(&mut self) {
        follow_given_up(self.gateway, self.request, self.target, self.clock);
    }
}

async fn exchange(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: Placement,
    last_event: Option<u64>,
) -> SendOutcome {
    let Some(message) = build_message(gateway, request, &placement, last_event) else {
        let reason = "the request message could not be built".to_owned();
        return SendOutcome::NotDelivered { reason, endpoint: None };
    };
    let target = placement.target();
    let plan = gateway.dial_plan(&target.endpoint, request.time_left(), placement.may_fail);
    let may_send = |connection: &EndpointConnection| {
        if !gateway.may_send_to(&target.endpoint) {
            return false;
        }
        placement.connection.record(connection);
        if connection.way == EndpointWay::Tunnel {
            let line = gateway.line(EventKind::Tunnel).text("request", &request.id);
            line.text("endpoint", &target.endpoint).maybe("relay", connection.relay.as_ref());
        }
        true
    };
    match upstream::send(gateway, &target, plan, message, may_send).await {
        Ok(upstream) => read_answer(gateway, request, placement, upstream, last_event).await,
        Err(SendFailure::NotSent(reason)) => {
            gateway.metrics.sends.with_label_values(&["not sent"]).inc();
            let endpoint = placement.endpoint.clone();
            endpoint_failed(gateway, request, &endpoint, FaultKind::Unreachable);
            SendOutcome::NotDelivered { reason, endpoint: Some(endpoint) }
        }
        Err(SendFailure::Withheld) => {
            gateway.metrics.sends.with_label_values(&["withheld"]).inc();
            let reason = "the endpoint rests or leaves".to_owned();
            SendOutcome::NotDelivered { reason, endpoint: Some(placement.endpoint.clone()) }
        }
        Err(SendFailure::Unknown(reason)) => {
            handle_broken(gateway, request, &placement, reason).await
        }
    }
}

fn build_message(
    gateway: &Gateway,
    request: &CallerRequest,
    placement: &Placement,
    last_event: Option<u64>,
) -> Option<Request<RequestBody>> {
    let mut headers = request.headers.clone();
    let facts = SendFacts {
        deadline: request.time_left(),
        endpoint: placement.endpoint.clone(),
        account: request.holder.as_ref().map(|holder| holder.account.clone()),
        engine_priority: placement.plan.as_ref().map(|plan| plan.engine_priority),
        helpers: placement.helpers.clone(),
        resume_after: last_event,
    };
    (gateway.dialect.write_send)(&facts, &mut headers);
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(request.path.as_str())
        .body(request.body.for_send())
        .ok()?;
    *message.headers_mut() = headers;
    Some(message)
}

async fn read_answer(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: Placement,
    upstream: Upstream,
    last_event: Option<u64>,
) -> SendOutcome {
    let status = upstream.response.status();
    let facts = (gateway.dialect.read_answer)(upstream.response.headers());
    let wish = gateway.record_wish(Some(&request.id), &placement.endpoint, status, &facts);
    if let Some(relay) = placement.connection.relay().filter(|_| wish.is_resting) {
        gateway.report_rest(relay.clone(), placement.target());
    }
    if facts.was_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return handle_not_run(gateway, request, &placement, status, &facts);
    }
    if !STATUSES.contains(&status.as_u16()) {
        let reason = format!("status {status}, which no answer has");
        return answer_lost(gateway, request, &placement, reason);
    }
    let is_for_request = facts.request_id.as_deref() == Some(request.id.as_str());
    if !is_for_request || !facts.is_signed {
        if status == StatusCode::SERVICE_UNAVAILABLE && wish.wants_nothing() {
            gateway.metrics.sends.with_label_values(&["turned away"]).inc();
            let reason = format!("status {status} without proof that the request was not run");
            return SendOutcome::MayHaveRun { reason, endpoint: placement.endpoint.clone() };
        }
        let reason = format!("status {status} without proof that it answers this request");
        return answer_lost(gateway, request, &placement, reason);
    }
    gateway.record_limit(&placement.endpoint, facts.limit);
    placement.record_answer_began();
    if request.route.repeat.is_stream() && status.is_success() {
        return open_stream(gateway, request, placement, upstream, last_event).await;
    }
    let framing = upstream.framing;
    let (parts, body) = upstream.response.into_parts();
    match collect_answer(gateway, body).await {
        Ok(body) => {
            if framing != BodyFraming::Connection {
                let run_time = placement.run_time();
                gateway.record_complete_answer(&request.parts(), || request.digest(), run_time);
            } else if !upstream.upload.is_taken().await
                || !is_answer_complete(gateway, request, &placement).await
            {
                placement.connection.record_break(gateway, &placement.endpoint);
                let reason = "the connection closed, and the answer may be incomplete".to_owned();
                return answer_lost(gateway, request, &placement, reason);
            }
            gateway.metrics.sends.with_label_values(&["answered"]).inc();
            record_status(gateway, request, &placement, status, wish.wants_nothing());
            let mut head = forwarded_head(gateway, parts);
            head.extensions.insert(framing);
            let answer = Response::from_parts(head, body);
            SendOutcome::Answer(answer, placement.endpoint.clone())
        }
        Err(AnswerFault::Broken(reason)) => {
            handle_broken(gateway, request, &placement, reason).await
        }
        Err(AnswerFault::Overlong(reason)) => {
            answer_lost(gateway, request, &placement, reason.to_owned())
        }
    }
}

/// The reason that an answer's body was not read to its end.
enum AnswerFault {
    /// The connection broke.
    Broken(String),
    /// The body exceeds a bound. Its endpoint was alive until the end.
    Overlong(&'static str),
}

/// Reads the body of an answer into memory.
async fn collect_answer(
    gateway: &Rc<Gateway>,
    mut body: Incoming,
) -> Result<HeldBody, AnswerFault> {
    let too_long = Err(AnswerFault::Overlong("the answer exceeds the maximum length"));
    if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return too_long;
    }
    let hold = ByteHold::new(gateway, HeldKind::Answer);
    let mut collector = BodyCollector::new(Some(hold));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| AnswerFault::Broken(upstream::describe(&error)))?;
        let Ok(mut data) = frame.into_data() else { continue };
        if collector.len() + data.len() > MAX_ANSWER_BYTES {
            return too_long;
        }
        while !data.is_empty() {
            if collector.is_full() {
                let wait = wait_for_memory(&mut collector, data.len());
                let is_in_time = timeout(MEMORY_WAIT, wait).await;
                is_in_time.map_err(|_| AnswerFault::Overlong(NO_ANSWER_MEMORY))?;
            }
            collector.take(&mut data);
        }
    }
    Ok(collector.into_body())
}

async fn wait_for_memory(collector: &mut BodyCollector, added: usize) {
    while !collector.make_room(added) {
        sleep(MEMORY_RETRY_DELAY).await;
    }
}

/// Records what the status of a complete answer says about its endpoint.
///
/// An engine that answers with errors at once looks idle and fast. The home therefore has to learn
/// of a failure instead of a first event.
fn record_status(
    gateway: &Gateway,
    request: &CallerRequest,
    placement: &Placement,
    status: StatusCode,
    wants_nothing: bool,
) {
    let is_failure = status.is_server_error() && !wants_nothing;
    // An answer at the deadline shows that the endpoint is late, not that it fails its requests.
    if is_failure && status != StatusCode::GATEWAY_TIMEOUT {
        endpoint_failed(gateway, request, &placement.endpoint, FaultKind::Failure);
        return;
    }
    if is_failure {
        gateway.endpoint_fault(&request.id, &placement.endpoint, FaultKind::Failure);
    }
    placement.record_begun();
}

/// Waits for a stream's first event. Until it arrives, the request can be sent to another endpoint
/// without the caller noticing.
async fn open_stream(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: Placement,
    upstream: Upstream,
    last_event: Option<u64>,
) -> SendOutcome {
    let framing = upstream.framing;
    let (parts, body) = upstream.response.into_parts();
    let mut source =
        EventSource::new(gateway, body, framing, upstream.guard, last_event, &placement.clock);
    let first = match source.next().await {
        NextEvents::Events(first) => Some(first),
        NextEvents::Ended => None,
        // A resumed stream may have no further event.
        NextEvents::Closed if last_event.is_some() => None,
        NextEvents::Closed => {
            let reason = "the connection closed before the first event".to_owned();
            return handle_broken(gateway, request, &placement, reason).await;
        }
        NextEvents::Broken(reason) => {
            return handle_broken(gateway, request, &placement, reason).await;
        }
        NextEvents::Overlong(reason) => {
            return answer_lost(gateway, request, &placement, reason.to_owned());
        }
    };
    gateway.metrics.sends.with_label_values(&["answered"]).inc();
    placement.record_begun();
    let head = forwarded_head(gateway, parts);
    SendOutcome::Stream(Box::new(OpenStream { head, first, source, placement }))
}

/// Converts the head of an endpoint's answer to the head that is forwarded to the caller.
fn forwarded_head(gateway: &Gateway, mut parts: Parts) -> Parts {
    strip_hop_by_hop_headers(&mut parts.headers, gateway.dialect.is_essential);
    parts.version = hyper::Version::HTTP_11;
    parts.extensions.clear();
    parts
}

/// Handles a send whose connection broke: probes whether the endpoint's process has ended.
async fn handle_broken(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: &Placement,
    reason: String,
) -> SendOutcome {
    placement.connection.record_break(gateway, &placement.endpoint);
    probe_for_end(gateway, request, placement).await;
    answer_lost(gateway, request, placement, reason)
}

/// Records that a send has no valid answer and that the request may have run.
fn answer_lost(
    gateway: &Gateway,
    request: &CallerRequest,
    placement: &Placement,
    reason: String,
) -> SendOutcome {
    gateway.metrics.sends.with_label_values(&[FaultKind::Broken.name()]).inc();
    let endpoint = placement.endpoint.clone();
    endpoint_failed(gateway, request, &endpoint, FaultKind::Broken);
    SendOutcome::MayHaveRun { reason, endpoint }
}

/// Handles an answer that states that the request was not run.
fn handle_not_run(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: &Placement,
    status: StatusCode,
    facts: &AnswerFacts,
) -> SendOutcome {
    gateway.metrics.sends.with_label_values(&["not run"]).inc();
    if status != StatusCode::MISDIRECTED_REQUEST {
        gateway.record_named_limit(&placement.endpoint, facts.limit);
    }
    let other = facts.culprit.filter(|address| *address != placement.target().address);
    let helper = other.and_then(|address| {
        let endpoint = gateway.endpoints.borrow().at(address);
        endpoint.map(|endpoint| EndpointTarget { endpoint, address })
    });
    if let Some(helper) = helper.clone() {
        check_helper(gateway, &request.id, helper);
    }
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let is_unknown_helper = other.is_some() && helper.is_none();
    let endpoint = helper.map_or_else(|| placement.endpoint.clone(), |helper| helper.endpoint);
    if is_misdirected && other.is_none() {
        gateway.endpoint_replaced(&endpoint);
    } else if !(is_misdirected && is_unknown_helper) && gateway.may_send_to(&endpoint) {
        endpoint_failed(gateway, request, &endpoint, FaultKind::Full);
    }
    SendOutcome::NotRun { reason: format!("status {status}: not run"), endpoint: Some(endpoint) }
}
