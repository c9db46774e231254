//! One send of a request to one endpoint, and what its answer says.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use oriolepass_units::EndpointStart;

use super::caller::CallerRequest;
use super::ends::look_for_end;
use super::headers::strip_hop_headers;
use super::placement::{NoPlace, Placement, endpoint_failed};
use super::presence::while_present;
use super::stream::{EventSource, OpenStream, PieceEnd};
use crate::balancer::FaultKind;
use crate::dialect::{AnswerFacts, SendFacts};
use crate::gateway::Gateway;
use crate::upstream::{self, SendFailure, Upstream};

/// The longest answer that is kept in memory before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// An answer with its whole body.
pub(super) type WholeAnswer = Response<Bytes>;

/// What came of one send.
pub(super) enum TryEnd {
    Answer(WholeAnswer),
    Stream(Box<OpenStream>),
    /// It reached no endpoint.
    NotArrived {
        reason: String,
        endpoint: Option<EndpointStart>,
    },
    /// It was not run, and never will be.
    NotRun {
        reason: String,
        endpoint: Option<EndpointStart>,
    },
    /// It may have run.
    MayHaveRun {
        reason: String,
        endpoint: EndpointStart,
    },
    /// It was not sent: the endpoint found for it has said meanwhile that it leaves.
    Leaving(EndpointStart),
    /// There is no endpoint to send it to.
    NoPlace(NoPlace),
    /// It must not be sent now; why, and when it is worth coming back.
    Barred(&'static str, Duration),
}

/// Sends a request once; one that may be sent again is given up as soon as its endpoint is gone.
///
/// Any other is waited for in any case: what has run may still answer, and nothing else can be done
/// for it.
pub(super) async fn send_once(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: Placement,
    last_event: Option<u64>,
) -> TryEnd {
    if !request.route.repeat.may_repeat() {
        return exchange(gateway, request, placement, last_event).await;
    }
    let (endpoint, address) = (placement.endpoint.clone(), placement.address);
    let exchange = exchange(gateway, request, placement, last_event);
    let end = while_present(gateway, &request.id, &endpoint, address, exchange).await;
    end.unwrap_or_else(|| {
        endpoint_failed(gateway, request, &endpoint, FaultKind::Unreachable);
        TryEnd::MayHaveRun { reason: "the endpoint is gone".to_owned(), endpoint }
    })
}

async fn exchange(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: Placement,
    last_event: Option<u64>,
) -> TryEnd {
    let Some(message) = message(gateway, request, &placement, last_event) else {
        let reason = "the request cannot be written".to_owned();
        return TryEnd::NotArrived { reason, endpoint: None };
    };
    match upstream::send(placement.address, message).await {
        Ok(upstream) => read_answer(gateway, request, placement, upstream, last_event).await,
        Err(SendFailure::NotSent(reason)) => {
            gateway.metrics.sends.with_label_values(&["not sent"]).inc();
            let endpoint = placement.endpoint.clone();
            endpoint_failed(gateway, request, &endpoint, FaultKind::Unreachable);
            TryEnd::NotArrived { reason, endpoint: Some(endpoint) }
        }
        Err(SendFailure::Unknown(reason)) => broken(gateway, request, &placement, reason).await,
    }
}

fn message(
    gateway: &Gateway,
    request: &CallerRequest,
    placement: &Placement,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = request.headers.clone();
    let facts = SendFacts {
        deadline: request.left(),
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
        .body(Full::new(request.body.clone()))
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
) -> TryEnd {
    let status = upstream.response.status();
    let facts = (gateway.dialect.read_answer)(upstream.response.headers());
    if facts.was_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(gateway, request, &placement, status, &facts);
    }
    let is_own = facts.request_id.as_deref() == Some(request.id.as_str());
    if !is_own || !facts.is_signed {
        let reason = format!("status {status} without proof that it answers this request");
        return lost(gateway, request, &placement, reason);
    }
    if request.route.repeat.is_stream() && status.is_success() {
        return open_stream(gateway, request, placement, upstream, last_event).await;
    }
    let (parts, body) = upstream.response.into_parts();
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => {
            gateway.metrics.sends.with_label_values(&["answered"]).inc();
            if status.is_server_error() {
                let endpoint = &placement.endpoint;
                gateway.endpoint_fault(&request.id, endpoint, FaultKind::Failure);
            }
            placement.begun();
            gateway.record_complete_answer(|| request.digest());
            TryEnd::Answer(Response::from_parts(passed_on(gateway, parts), body.to_bytes()))
        }
        Err(error) => broken(gateway, request, &placement, error.to_string()).await,
    }
}

/// Waits for a stream's first event: until then it can still go elsewhere unnoticed.
async fn open_stream(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: Placement,
    upstream: Upstream,
    last_event: Option<u64>,
) -> TryEnd {
    let (parts, body) = upstream.response.into_parts();
    let mut source = EventSource::new(body, upstream.guard, last_event);
    let first = match source.next().await {
        PieceEnd::Piece(first) => Some(first),
        PieceEnd::Whole => None,
        PieceEnd::Broken(reason) => return broken(gateway, request, &placement, reason).await,
    };
    gateway.metrics.sends.with_label_values(&["answered"]).inc();
    placement.begun();
    let head = passed_on(gateway, parts);
    TryEnd::Stream(Box::new(OpenStream { head, first, source, placement }))
}

/// Returns the head of an endpoint's answer as its caller gets it.
fn passed_on(gateway: &Gateway, mut parts: Parts) -> Parts {
    strip_hop_headers(&mut parts.headers, gateway.dialect.is_essential);
    parts.version = hyper::Version::HTTP_11;
    parts.extensions.clear();
    parts
}

/// Ends a send whose connection broke: the endpoint may have ended under it.
async fn broken(
    gateway: &Gateway,
    request: &CallerRequest,
    placement: &Placement,
    reason: String,
) -> TryEnd {
    look_for_end(gateway, request, &placement.endpoint, placement.address).await;
    lost(gateway, request, placement, reason)
}

fn lost(
    gateway: &Gateway,
    request: &CallerRequest,
    placement: &Placement,
    reason: String,
) -> TryEnd {
    gateway.metrics.sends.with_label_values(&[FaultKind::Broken.name()]).inc();
    let endpoint = placement.endpoint.clone();
    endpoint_failed(gateway, request, &endpoint, FaultKind::Broken);
    TryEnd::MayHaveRun { reason, endpoint }
}

fn not_run(
    gateway: &Gateway,
    request: &CallerRequest,
    placement: &Placement,
    status: StatusCode,
    facts: &AnswerFacts,
) -> TryEnd {
    gateway.metrics.sends.with_label_values(&["not run"]).inc();
    let culprit = facts.culprit.and_then(|address| gateway.endpoints.borrow().at(address));
    let endpoint = culprit.unwrap_or_else(|| placement.endpoint.clone());
    if status == StatusCode::MISDIRECTED_REQUEST && endpoint == placement.endpoint {
        gateway.endpoint_displaced(&endpoint);
    } else {
        endpoint_failed(gateway, request, &endpoint, FaultKind::Full);
    }
    TryEnd::NotRun { reason: format!("status {status}: not run"), endpoint: Some(endpoint) }
}
