//! Accepts callers' connections, closes slow and idle connections, and closes all connections when
//! the process stops.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::body::{BodyAborted, ResponseBody};
use super::caller;
use super::read_pace::ReadPace;
use crate::gateway::Gateway;
use crate::lifecycle::Lifecycle;
use crate::net;
use crate::shared_stream::{self, SharedStream, StreamHandle};

/// File descriptors reserved for the log, for connections to other daemons and endpoints, and for
/// tunnels of other daemons.
const RESERVED_DESCRIPTORS: u64 = 1_112;

/// Each active request needs a connection to an endpoint in addition to the caller's connection.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;

/// The delay before the next accept when accepting failed or the connection limit is reached.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The time-out of a request's head while no routing document is known.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The time-out of an idle connection while no routing document is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The HTTP library's buffer for a head. The library refuses longer heads.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// The maximum number of bytes of one read. The HTTP library enlarges its buffer after a read of
/// 8 KiB, and keeps it while the connection is open.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// The response to a caller whose request head did not arrive in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\
    Content-Type: application/json\r\nContent-Length: 73\r\n\r\n\
    {\"error\":\"the request's head did not arrive in time; send it faster...\"}\n";

/// The activity of a connection, from which its time-outs are computed.
pub(super) struct ConnectionWatch {
    gateway: Rc<Gateway>,
    /// The number of requests whose answer is not complete.
    pub(super) active_requests: Cell<u32>,
    /// Whether the body of the running request has been read.
    is_body_read: Cell<bool>,
    /// The number of answers that the HTTP library has not taken completely.
    open_bodies: Cell<u32>,
    /// Whether the last write to the caller did not fit into the connection's buffers.
    is_behind: Cell<bool>,
    /// Whether the connection counts among those with an unwritten answer.
    is_unwritten: Cell<bool>,
    /// The time of the first byte of a head, while the head is incomplete.
    head_started_at: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
    read_pace: Cell<ReadPace>,
}

impl ConnectionWatch {
    fn new(gateway: &Rc<Gateway>) -> Rc<Self> {
        Rc::new(Self {
            gateway: Rc::clone(gateway),
            active_requests: Cell::new(0),
            is_body_read: Cell::new(false),
            open_bodies: Cell::new(0),
            is_behind: Cell::new(false),
            is_unwritten: Cell::new(false),
            head_started_at: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
            read_pace: Cell::default(),
        })
    }

    /// Records an attempt to write `offered` bytes to the caller.
    fn record_write(&self, polled: &Poll<std::io::Result<usize>>, offered: usize) {
        let written = match polled {
            Poll::Ready(Ok(written)) => *written,
            Poll::Ready(Err(_)) => return,
            Poll::Pending => 0,
        };
        let mut pace = ReadPace::default();
        if written < offered {
            pace = self.read_pace.get();
            pace.record_write(Instant::now(), written, offered);
        }
        self.read_pace.set(pace);
        self.is_behind.set(written < offered);
        self.update_unwritten();
    }

    /// Counts the connection among those with an unwritten answer as long as it has one.
    fn update_unwritten(&self) {
        let is_unwritten = self.open_bodies.get() > 0 || self.is_behind.get();
        if self.is_unwritten.replace(is_unwritten) == is_unwritten {
            return;
        }
        let count = &self.gateway.unwritten_answers;
        if is_unwritten {
            count.set(count.get() + 1);
        } else {
            count.set(count.get() - 1);
            self.idle_since.set(Instant::now());
        }
    }

    fn begin_body(&self) {
        self.open_bodies.set(self.open_bodies.get() + 1);
        self.update_unwritten();
    }

    fn end_body(&self) {
        self.open_bodies.set(self.open_bodies.get() - 1);
        self.update_unwritten();
    }

    /// Returns whether the caller does not read its answer.
    pub(super) fn has_stalled(&self) -> bool {
        self.read_pace.get().has_stalled(Instant::now())
    }

    pub(super) fn begin_request(&self) {
        self.active_requests.set(self.active_requests.get() + 1);
        self.is_body_read.set(false);
        self.head_started_at.set(None);
    }

    /// Records that the body of the running request has been read.
    pub(super) fn end_request_body(&self) {
        self.is_body_read.set(true);
    }

    pub(super) fn is_body_read(&self) -> bool {
        self.is_body_read.get()
    }

    /// Returns whether a request that was read completely has no complete answer.
    fn awaits_answer(&self) -> bool {
        self.active_requests.get() > 0 && self.is_body_read.get()
    }

    pub(super) fn end_request(&self) {
        self.active_requests.set(self.active_requests.get().saturating_sub(1));
        self.idle_since.set(Instant::now());
    }
}

impl Drop for ConnectionWatch {
    fn drop(&mut self) {
        if self.is_unwritten.get() {
            let count = &self.gateway.unwritten_answers;
            count.set(count.get() - 1);
        }
    }
}

/// A response's body, which counts as unwritten until the HTTP library has taken it.
struct WatchedBody {
    body: ResponseBody,
    watch: Rc<ConnectionWatch>,
}

impl WatchedBody {
    fn new(body: ResponseBody, watch: Rc<ConnectionWatch>) -> Self {
        watch.begin_body();
        Self { body, watch }
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.watch.end_body();
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Accepts and serves callers' connections until the process stops.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_u64));
    loop {
        let limit = gateway.settings().descriptors.saturating_sub(RESERVED_DESCRIPTORS)
            / DESCRIPTORS_PER_CONNECTION;
        if open.get() >= limit {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        }
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        open.set(open.get() + 1);
        let (gateway, open) = (Rc::clone(&gateway), Rc::clone(&open));
        spawn_local(async move {
            serve_connection(gateway, stream).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    net::set_caller_options(&stream);
    let (stream, handle) = shared_stream::share(stream);
    let mut lifecycle = gateway.lifecycle.subscribe();
    let end = serve_requests(&gateway, stream, &handle).await;
    if end == ConnectionEnd::Answered {
        tokio::select! {
            () = handle.close_gracefully() => {}
            _ = lifecycle.wait_for(|phase| *phase == Lifecycle::Stopped) => {}
        }
    }
}

/// How the requests of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// All answers are written, and the caller may still have to read them.
    Answered,
    /// The rest of the connection is dropped.
    Dropped,
}

async fn serve_requests(
    gateway: &Rc<Gateway>,
    stream: SharedStream,
    handle: &StreamHandle,
) -> ConnectionEnd {
    let watch = ConnectionWatch::new(gateway);
    let io = TokioIo::new(WatchedStream { stream, watch: Rc::clone(&watch) });
    let (served, watched) = (Rc::clone(gateway), Rc::clone(&watch));
    let service = service_fn(move |request: Request<Incoming>| {
        let (gateway, watch) = (Rc::clone(&served), Rc::clone(&watched));
        watch.begin_request();
        let served = caller::serve(gateway, request, Rc::clone(&watch));
        let watched = async move { Ok(served.await.map(|body| WatchedBody::new(body, watch))) };
        Box::pin(watched)
            as Pin<Box<dyn Future<Output = Result<Response<WatchedBody>, Infallible>>>>
    });
    let mut connection = http1::Builder::new()
        .half_close(false)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(io, service);
    let mut lifecycle = gateway.lifecycle.subscribe();
    let mut has_caller_closed = false;
    loop {
        let check_at = next_check(gateway, &watch, has_caller_closed);
        tokio::select! {
            // After a suspension of the process, the caller's reads count before the time that passed.
            biased;
            _ = poll_fn(|cx| Pin::new(&mut connection).poll(cx)) => return ConnectionEnd::Answered,
            _ = lifecycle.wait_for(|phase| *phase == Lifecycle::Stopped) => {
                return ConnectionEnd::Dropped;
            }
            () = handle.closed_by_peer(), if !has_caller_closed => has_caller_closed = true,
            () = sleep_until(check_at) => {}
        }
        // A caller that closed its connection receives no answer. The HTTP library sees the close
        // as well, unless bytes of a next request are before it.
        if has_caller_closed && watch.awaits_answer() {
            return ConnectionEnd::Dropped;
        }
        match overdue(gateway, &watch) {
            Overdue::Nothing => {}
            Overdue::Idle => Pin::new(&mut connection).graceful_shutdown(),
            Overdue::Read => return ConnectionEnd::Dropped,
            Overdue::Head => {
                let mut stream = connection.into_parts().io.into_inner().stream;
                // Errors are ignored: the caller may have disconnected.
                let _ = stream.write_all(HEAD_TIMEOUT_RESPONSE).await;
                return ConnectionEnd::Answered;
            }
        }
    }
}

/// The time-out that a connection has exceeded.
enum Overdue {
    Nothing,
    Idle,
    Head,
    Read,
}

/// Returns the time-outs of a request's head and of an idle connection.
fn connection_timeouts(gateway: &Gateway) -> (Duration, Duration) {
    gateway.active_document().map_or((DEFAULT_HEAD_TIMEOUT, DEFAULT_IDLE_TIMEOUT), |document| {
        let limits = document.table.limits();
        (limits.head_timeout, limits.idle_timeout)
    })
}

/// The maximum interval between time-out checks of a connection.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The interval between checks of whether a caller that has closed its connection awaits an answer.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

fn next_check(gateway: &Gateway, watch: &ConnectionWatch, has_caller_closed: bool) -> Instant {
    let (head, _) = connection_timeouts(gateway);
    let interval = if has_caller_closed { CLOSED_CHECK_INTERVAL } else { MAX_CHECK_INTERVAL };
    let latest = Instant::now() + interval;
    watch.head_started_at.get().map_or(latest, |started_at| latest.min(started_at + head))
}

fn overdue(gateway: &Gateway, watch: &ConnectionWatch) -> Overdue {
    let (head, idle) = connection_timeouts(gateway);
    if watch.has_stalled() {
        return Overdue::Read;
    }
    if watch.active_requests.get() > 0 || watch.is_unwritten.get() {
        return Overdue::Nothing;
    }
    match watch.head_started_at.get() {
        Some(started_at) if started_at.elapsed() >= head => Overdue::Head,
        Some(_) => Overdue::Nothing,
        None if watch.idle_since.get().elapsed() >= idle => Overdue::Idle,
        None => Overdue::Nothing,
    }
}

/// A connection that records when a request's head begins to arrive, and whether the caller reads.
struct WatchedStream {
    stream: SharedStream,
    watch: Rc<ConnectionWatch>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let wanted = buf.remaining().min(MAX_READ_BYTES);
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(wanted));
        let polled = Pin::new(&mut this.stream).poll_read(cx, &mut limited);
        let read = limited.filled().len();
        buf.advance(read);
        let has_read = polled.is_ready() && read > 0;
        if has_read
            && this.watch.active_requests.get() == 0
            && this.watch.head_started_at.get().is_none()
        {
            this.watch.head_started_at.set(Some(Instant::now()));
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
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.watch.record_write(&polled, buf.len());
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.watch.record_write(&polled, bufs.iter().map(|buf| buf.len()).sum());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
