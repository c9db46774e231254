//! Sends to endpoints.
//!
//! Every send has a connection of its own. That costs a handshake, and rules out a whole family
//! of faults: a kept connection that the endpoint closes just as the request is written (did it
//! run?), a late answer to an earlier request, bytes left over from one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::dialect::EndpointCall;
use crate::net;

/// How long a connection may take to come about. A lost first packet is sent again by the
/// system after a second, so a second connection is tried instead.
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);

/// How often a connection is tried.
const CONNECT_TRIES: u32 = 2;

/// How long an endpoint has to answer a call to its own interface.
const CALL_PATIENCE: Duration = Duration::from_millis(800);

/// The reason that a send brought no answer.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte reached the endpoint, so the request has not run.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

/// An answer that arrives; the connection ends when this is dropped.
pub(crate) struct Upstream {
    pub(crate) response: Response<Incoming>,
    pub(crate) guard: ConnectionGuard,
}

/// Ends a connection's task when it is dropped, which tells the endpoint that nobody waits.
pub(crate) struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request and waits for the head of the answer.
pub(crate) async fn send(
    to: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Upstream, SendFailure> {
    let connected = connect(to).await;
    let stream = connected.map_err(|failure| SendFailure::NotSent(failure.reason))?;
    let (mut sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendFailure::NotSent(error.to_string()))?;
    let task = spawn_local(async move {
        // What breaks the connection is told by the answer or by its body.
        let _ = connection.await;
    });
    let guard = ConnectionGuard(task.abort_handle());
    match sender.try_send_request(request).await {
        Ok(response) => Ok(Upstream { response, guard }),
        Err(mut failed) => {
            // The request comes back where it never reached the connection.
            let never_left = failed.take_message().is_some();
            let reason = describe(failed.error());
            Err(if never_left {
                SendFailure::NotSent(reason)
            } else {
                SendFailure::Unknown(reason)
            })
        }
    }
}

/// Why a connection did not come about.
#[derive(Debug)]
pub(crate) struct ConnectFailure {
    /// Whether the machine is there, and nobody listens.
    pub(crate) is_refusal: bool,
    pub(crate) reason: String,
}

/// Connects.
///
/// # Errors
///
/// Returns why no connection came about.
pub(crate) async fn connect(to: SocketAddr) -> Result<TcpStream, ConnectFailure> {
    let mut reason = String::new();
    for _ in 0..CONNECT_TRIES {
        match timeout(CONNECT_PATIENCE, net::connect(to, None)).await {
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

/// Says what went wrong together with its cause.
pub(crate) fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Calls an endpoint's own interface and returns the status.
pub(crate) async fn call(to: SocketAddr, call: EndpointCall) -> Option<u16> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(call.path)
        .header(HOST, to.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(call.body))
        .ok()?;
    let answered = timeout(CALL_PATIENCE, send(to, request)).await.ok()?;
    answered.ok().map(|upstream| upstream.response.status().as_u16())
}
