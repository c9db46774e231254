//! Connections to endpoints.
//!
//! Every send opens a connection of its own. That costs a handshake and excludes the faults of
//! reused connections: an endpoint that closes an idle connection while the request is being
//! written, so that the sender cannot know whether the request ran; a late answer to an earlier
//! request; and bytes that remain from an earlier answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oriolepass_units::EndpointStart;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::dialect::EndpointCall;
use crate::gateway::Gateway;
use crate::net;

/// The time-out of a connection attempt. The operating system retransmits a lost first packet only
/// after a second, so a second attempt is made earlier instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum number of connection attempts.
const MAX_CONNECT_ATTEMPTS: u32 = 2;

/// The time-out of a call to an endpoint's own interface.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The reason that a send got no answer.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte reached the endpoint, so the request has not run.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

/// An answer whose body is still arriving. Dropping it closes the connection.
pub(crate) struct Upstream {
    pub(crate) response: Response<Incoming>,
    pub(crate) guard: ConnectionGuard,
}

/// Aborts the connection's task when it is dropped. This closes the connection, so that the
/// endpoint notices that the answer is not needed.
pub(crate) struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn send(
    gateway: &Gateway,
    to: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Upstream, SendFailure> {
    let connected = connect(gateway, to).await;
    let stream = connected.map_err(|failure| SendFailure::NotSent(failure.reason))?;
    let (mut sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendFailure::NotSent(error.to_string()))?;
    let task = spawn_local(async move {
        // An error of the connection also appears as an error of the answer or of its body.
        let _ = connection.await;
    });
    let guard = ConnectionGuard(task.abort_handle());
    match sender.try_send_request(request).await {
        Ok(response) => Ok(Upstream { response, guard }),
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

/// The reason that no connection was made.
#[derive(Debug)]
pub(crate) struct ConnectFailure {
    /// Whether the connection was refused: the machine answers, but no process listens on the port.
    pub(crate) is_refusal: bool,
    pub(crate) reason: String,
}

/// Connects to an endpoint.
///
/// # Errors
///
/// Returns the reason of the last failed attempt.
pub(crate) async fn connect(
    gateway: &Gateway,
    to: SocketAddr,
) -> Result<TcpStream, ConnectFailure> {
    let from = gateway.settings().listen.endpoints_from;
    let mut reason = String::new();
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        match timeout(CONNECT_TIMEOUT, net::connect(to, from)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(ConnectFailure { is_refusal: true, reason: error.to_string() });
            }
            Ok(Err(error)) => reason = error.to_string(),
            Err(_) => "no connection in time".clone_into(&mut reason),
        }
    }
    Err(ConnectFailure { is_refusal: false, reason })
}

/// Returns the message of an error together with its source's.
pub(crate) fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// A start of an endpoint and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointTarget {
    pub(crate) endpoint: EndpointStart,
    pub(crate) address: SocketAddr,
}

/// Calls an endpoint's own interface and returns the status, or `None` if there was no answer.
pub(crate) async fn call(
    gateway: &Gateway,
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
    let answered = timeout(CALL_TIMEOUT, send(gateway, to.address, request)).await.ok()?;
    let response = answered.ok()?.response;
    let limit = (gateway.dialect.read_answer)(response.headers()).limit;
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        gateway.record_named_limit(&to.endpoint, limit);
    }
    Some(response.status().as_u16())
}
