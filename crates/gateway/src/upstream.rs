//! Sends requests to endpoints.
//!
//! Every send opens a connection of its own. That costs a handshake and excludes the faults of
//! reused connections: an endpoint that closes an idle connection while the request is being
//! written, so that the sender cannot know whether the request ran; a late answer to an earlier
//! request; and bytes that remain from an earlier answer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oriolepass_units::EndpointStart;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, timeout};

use crate::dial::{DialPlan, EndpointConnection, FailureKind, SHORT_LIFE, dial};
use crate::dialect::{EndpointCall, StartQuestion};
use crate::endpoint_stream::EndpointStream;
use crate::framing::BodyFraming;
use crate::gateway::Gateway;
use crate::net;
use crate::request_body::RequestBody;
use crate::task_guard::TaskGuard;

/// The time-out of a call to an endpoint's own interface.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The HTTP library's buffer for an endpoint's connection, which is also the maximum length of an
/// answer's head.
const ENDPOINT_BUFFER_BYTES: usize = 32 * 1024;

/// The maximum number of bytes that an endpoint sends before the head of its answer is complete: a few
/// interim answers, the head, and what the HTTP library reads ahead.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// How long the end of an answer waits for a reset of its connection, which shows that the endpoint has
/// not read the request. A process that ends its answer closes the connection within milliseconds.
const RESET_WAIT: Duration = Duration::from_millis(100);

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
    /// Whether the endpoint has taken the request.
    pub(crate) upload: UploadWatch,
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
    request: Request<RequestBody>,
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
    request: Request<RequestBody>,
) -> Result<Upstream, SendFailure> {
    let head_bytes = Rc::new(Cell::new(Some(0)));
    let limited = Rc::clone(&head_bytes);
    let upload = UploadWatch::new(request.body());
    let stream =
        WatchedStream { stream: Some(connection.stream), head_bytes, upload: upload.clone() };
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(ENDPOINT_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendFailure::NotSent(error.to_string()))?;
    let guard = TaskGuard::spawn(async move {
        // An error of the connection also appears as an error of the answer or of its body.
        let _ = connection.await;
    });
    match sender.try_send_request(request).await {
        Ok(response) => {
            limited.set(None);
            let framing = BodyFraming::of(&response);
            Ok(Upstream { response, framing, upload, guard })
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

/// Tells whether an endpoint has taken a request, as far as the connection shows.
///
/// An endpoint may answer before it has read the request, and close the connection. The bytes that it
/// has not read then remain unsent, or the operating system resets the connection because of them.
#[derive(Debug, Clone)]
pub(crate) struct UploadWatch(Rc<UploadState>);

#[derive(Debug)]
struct UploadState {
    /// Whether the request has no body.
    is_empty: bool,
    /// Whether the whole request has been passed to the HTTP library.
    is_passed_on: Rc<Cell<bool>>,
    /// Whether the whole request has been written to the connection.
    is_written: Cell<bool>,
    /// The connection, once the HTTP library has read its end.
    ended: RefCell<Option<EndpointStream>>,
}

impl UploadWatch {
    fn new(body: &RequestBody) -> Self {
        Self(Rc::new(UploadState {
            is_empty: body.is_end_stream(),
            is_passed_on: body.passed_on_flag(),
            is_written: Cell::new(false),
            ended: RefCell::new(None),
        }))
    }

    /// Returns whether the endpoint has taken the request, after an answer that ended with its
    /// connection. Waits for a reset if the request has a body.
    pub(crate) async fn is_taken(&self) -> bool {
        let UploadState { is_written, is_empty, ended, .. } = &*self.0;
        if *is_empty {
            return true;
        }
        if !is_written.get() {
            return false;
        }
        let was_reset = async {
            while !ended.borrow().as_ref().is_some_and(EndpointStream::is_reset) {
                sleep(net::RESET_CHECK_INTERVAL).await;
            }
        };
        timeout(RESET_WAIT, was_reset).await.is_err()
    }
}

/// A connection that breaks if the head of the answer takes too many bytes, and tells whether the
/// request has been written. The HTTP library bounds the length of a head, but not the number of interim
/// answers before it.
struct WatchedStream {
    /// The connection, until it is dropped.
    stream: Option<EndpointStream>,
    /// The number of bytes received, until the head is complete.
    head_bytes: Rc<Cell<Option<usize>>>,
    upload: UploadWatch,
}

impl WatchedStream {
    fn stream(&mut self) -> Pin<&mut EndpointStream> {
        Pin::new(self.stream.as_mut().expect("the connection is there until it is dropped"))
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        *self.upload.0.ended.borrow_mut() = self.stream.take();
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = this.stream().poll_read(cx, buf);
        if let Some(received) = this.head_bytes.get() {
            let received = received + buf.filled().len() - before;
            this.head_bytes.set(Some(received));
            if received > MAX_HEAD_BYTES {
                let reason = "the head of the answer exceeds the maximum length";
                return Poll::Ready(Err(std::io::Error::other(reason)));
            }
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.get_mut().stream().poll_write(cx, buf)
    }

    /// Flushes the connection. The HTTP library does so once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let UploadState { is_passed_on, is_written, .. } = &*this.upload.0;
        is_written.set(is_written.get() || is_passed_on.get());
        this.stream().poll_flush(cx)
    }

    /// Leaves the connection open. After an orderly end of both directions, the operating system would
    /// not report a reset any more.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.get_mut().stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
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
    let request = call_request(to, call, HeaderMap::new())?;
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

fn call_request(
    to: &EndpointTarget,
    call: EndpointCall,
    headers: HeaderMap,
) -> Option<Request<RequestBody>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path.as_ref())
        .header(HOST, to.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(RequestBody::from(call.body))
        .ok()?;
    request.headers_mut().extend(headers);
    Some(request)
}

/// What is known of the process at an endpoint's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartAnswer {
    /// It is the start.
    Same,
    /// It is another start, so the start has ended.
    Other,
    /// No process listens there.
    Refused,
    /// It has answered successfully without a name.
    Unnamed,
    /// There was no answer, or one that tells nothing of the start.
    Unclear,
}

/// Asks the process at an endpoint's address whether it is the endpoint's start.
pub(crate) async fn ask_start(
    gateway: &Rc<Gateway>,
    to: &EndpointTarget,
    question: StartQuestion,
) -> StartAnswer {
    let StartQuestion { call, headers, is_refused_by_others } = question;
    let Some(request) = call_request(to, call, headers) else { return StartAnswer::Unclear };
    if !gateway.try_begin_endpoint_call(&to.endpoint) {
        return StartAnswer::Unclear;
    }
    let plan = gateway.dial_plan(&to.endpoint, SHORT_LIFE, false);
    let connection = match dial(gateway, to, plan).await {
        Ok(connection) => connection,
        Err(failure) if failure.is_refusal() => return StartAnswer::Refused,
        Err(_) => return StartAnswer::Unclear,
    };
    let Ok(Upstream { response, .. }) = send_on(connection, request).await else {
        return StartAnswer::Unclear;
    };
    let facts = (gateway.dialect.read_answer)(response.headers());
    let status = response.status();
    match facts.answered_by {
        _ if status == StatusCode::MISDIRECTED_REQUEST => StartAnswer::Other,
        Some(id) if id == *to.endpoint.id() => StartAnswer::Same,
        Some(_) => StartAnswer::Other,
        // A server error may come from something in between.
        None if is_refused_by_others && !status.is_server_error() => StartAnswer::Same,
        None if status.is_success() => StartAnswer::Unnamed,
        None => StartAnswer::Unclear,
    }
}
