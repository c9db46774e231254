//! Sends requests to endpoints.
//!
//! Every send opens a connection of its own. That costs a handshake and excludes the faults of
//! reused connections: an endpoint that closes an idle connection while the request is being
//! written, so that the sender cannot know whether the request ran; a late answer to an earlier
//! request; and bytes that remain from an earlier answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oriolepass_units::EndpointStart;
use tokio::time::timeout;

use crate::dial::{DialPlan, EndpointConnection, FailureKind, SHORT_LIFE, dial};
use crate::dialect::EndpointCall;
use crate::framing::BodyFraming;
use crate::gateway::Gateway;
use crate::task_guard::TaskGuard;

/// The time-out of a call to an endpoint's own interface.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A start of an endpoint and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointTarget {
    pub(crate) endpoint: EndpointStart,
    pub(crate) address: SocketAddr,
}

/// The reason that a send got no answer.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte reached the endpoint, so the request has not run.
    NotSent(String),
    /// The request was not sent, because the endpoint wants nothing new from this daemon.
    Withheld,
    /// The request may have run.
    Unknown(String),
}

/// An answer whose body is still arriving. Dropping it closes the connection.
pub(crate) struct Upstream {
    pub(crate) response: Response<Incoming>,
    pub(crate) framing: BodyFraming,
    /// Closes the connection when it is dropped, so that the endpoint notices that the answer is
    /// not needed.
    pub(crate) guard: TaskGuard,
}

/// Sends a request and waits for the head of its answer. `may_send` is called when the connection is
/// open and nothing has been sent yet, and decides whether the request is sent.
pub(crate) async fn send(
    gateway: &Rc<Gateway>,
    target: &EndpointTarget,
    plan: DialPlan,
    request: Request<Full<Bytes>>,
    may_send: impl FnOnce(&EndpointConnection) -> bool,
) -> Result<Upstream, SendFailure> {
    let connection = dial(gateway, target, plan).await.map_err(|failure| match failure.kind {
        FailureKind::Resting => SendFailure::Withheld,
        FailureKind::Refused | FailureKind::Unreachable => SendFailure::NotSent(failure.reason),
    })?;
    if !may_send(&connection) {
        return Err(SendFailure::Withheld);
    }
    let (way, opened) = (connection.way, connection.opened);
    let sent = send_on(connection, request).await;
    match &sent {
        Ok(_) => gateway.record_path_answer(&target.endpoint, way, opened),
        Err(_) => gateway.record_no_answer(&target.endpoint, way, opened),
    }
    sent
}

async fn send_on(
    connection: EndpointConnection,
    request: Request<Full<Bytes>>,
) -> Result<Upstream, SendFailure> {
    let (mut sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(connection.stream))
        .await
        .map_err(|error| SendFailure::NotSent(error.to_string()))?;
    let guard = TaskGuard::spawn(async move {
        // An error of the connection also appears as an error of the answer or of its body.
        let _ = connection.await;
    });
    match sender.try_send_request(request).await {
        Ok(response) => {
            let framing = BodyFraming::of(&response);
            Ok(Upstream { response, framing, guard })
        }
        Err(mut failed) => {
            // hyper returns the request if none of it was written to the connection.
            let was_not_sent = failed.take_message().is_some();
            let reason = describe(failed.error());
            Err(if was_not_sent {
                SendFailure::NotSent(reason)
            } else {
                SendFailure::Unknown(reason)
            })
        }
    }
}

/// Returns the message of an error together with its source's.
pub(crate) fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Calls an endpoint's own interface and returns the status, or `None` if there was no answer or the
/// endpoint rests.
pub(crate) async fn call(
    gateway: &Rc<Gateway>,
    to: &EndpointTarget,
    call: EndpointCall,
) -> Option<u16> {
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, to.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(call.body))
        .ok()?;
    if !gateway.try_begin_endpoint_call(&to.endpoint) {
        return None;
    }
    let plan = gateway.dial_plan(&to.endpoint, SHORT_LIFE, false);
    let answered = timeout(CALL_TIMEOUT, send(gateway, to, plan, request, |_| true)).await.ok()?;
    let response = answered.ok()?.response;
    let facts = (gateway.dialect.read_answer)(response.headers());
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        gateway.record_named_limit(&to.endpoint, facts.limit);
        gateway.record_wish(None, &to.endpoint, response.status(), &facts);
    }
    Some(response.status().as_u16())
}
