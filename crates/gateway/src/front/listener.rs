//! Callers' connections: accepted, watched for slow and idle callers, ended with the process.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::body::FrontBody;
use super::caller;
use crate::gateway::Gateway;
use crate::lifecycle::Lifecycle;
use crate::net;

/// Descriptors left for the log, other daemons and endpoints.
const RESERVED_DESCRIPTORS: u64 = 600;

/// Each request under way needs a connection to an endpoint beside the caller's.
const DESCRIPTORS_PER_CALLER: u64 = 2;

/// The pause after a connection could not be accepted.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Limits before any document is known; those of the document are checked on top.
const FIRST_HEAD_PATIENCE: Duration = Duration::from_secs(10);
const FIRST_IDLE_PATIENCE: Duration = Duration::from_secs(60);

/// The library's buffer for a head; longer heads are refused by it.
const HEAD_BUFFER: usize = 64 * 1024;

/// The answer to a caller whose head did not arrive in time.
const SLOW_HEAD: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\
    Content-Type: application/json\r\nContent-Length: 73\r\n\r\n\
    {\"error\":\"the request's head did not arrive in time; send it faster...\"}\n";

/// What is seen of a connection beside its requests.
#[derive(Debug)]
pub(super) struct ConnectionWatch {
    /// Requests whose answer is not complete.
    pub(super) under_way: Cell<u32>,
    /// When the first byte of a head came, while the head is not complete.
    head_began: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
}

impl ConnectionWatch {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            under_way: Cell::new(0),
            head_began: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
        })
    }

    pub(super) fn begin_request(&self) {
        self.under_way.set(self.under_way.get() + 1);
        self.head_began.set(None);
    }

    pub(super) fn end_request(&self) {
        self.under_way.set(self.under_way.get().saturating_sub(1));
        self.idle_since.set(Instant::now());
    }
}

/// Serves callers until the process stops.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_u64));
    loop {
        let limit = gateway.settings().descriptors.saturating_sub(RESERVED_DESCRIPTORS)
            / DESCRIPTORS_PER_CALLER;
        if open.get() >= limit {
            sleep(ACCEPT_AGAIN).await;
            continue;
        }
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_AGAIN).await;
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
    net::set_stream_options(&stream);
    let watch = ConnectionWatch::new();
    let io = TokioIo::new(WatchedStream { stream, watch: Rc::clone(&watch) });
    let (served, watched) = (Rc::clone(&gateway), Rc::clone(&watch));
    let service = service_fn(move |request: Request<Incoming>| {
        let (gateway, watch) = (Rc::clone(&served), Rc::clone(&watched));
        watch.begin_request();
        let served = caller::serve(gateway, request, watch);
        Box::pin(async move { Ok::<Response<FrontBody>, Infallible>(served.await) })
            as Pin<Box<dyn Future<Output = Result<Response<FrontBody>, Infallible>>>>
    });
    let mut connection = http1::Builder::new()
        .half_close(false)
        .max_buf_size(HEAD_BUFFER)
        .serve_connection(io, service);
    let mut lifecycle = gateway.lifecycle.subscribe();
    loop {
        let check_at = next_check(&gateway, &watch);
        tokio::select! {
            // A caller that breaks off has nothing to be told.
            _ = poll_fn(|cx| Pin::new(&mut connection).poll(cx)) => return,
            _ = lifecycle.wait_for(|phase| *phase == Lifecycle::Stopped) => return,
            () = sleep_until(check_at) => {}
        }
        match overdue(&gateway, &watch) {
            Overdue::Nothing => {}
            Overdue::Idle => Pin::new(&mut connection).graceful_shutdown(),
            Overdue::Head => {
                let mut stream = connection.into_parts().io.into_inner().stream;
                // A caller that has gone meanwhile has nothing to be told.
                let _ = stream.write_all(SLOW_HEAD).await;
                let _ = stream.shutdown().await;
                return;
            }
        }
    }
}

enum Overdue {
    Nothing,
    Idle,
    Head,
}

fn patience(gateway: &Gateway) -> (Duration, Duration) {
    gateway.active_document().map_or((FIRST_HEAD_PATIENCE, FIRST_IDLE_PATIENCE), |document| {
        let limits = document.table.limits();
        (limits.head_timeout, limits.idle_timeout)
    })
}

/// Heads are short: looking this often finds a slow one soon enough.
const LOOK_AT_MOST: Duration = Duration::from_millis(1_000);

fn next_check(gateway: &Gateway, watch: &ConnectionWatch) -> Instant {
    let (head, _) = patience(gateway);
    let soon = Instant::now() + LOOK_AT_MOST;
    watch.head_began.get().map_or(soon, |began| soon.min(began + head))
}

fn overdue(gateway: &Gateway, watch: &ConnectionWatch) -> Overdue {
    let (head, idle) = patience(gateway);
    if watch.under_way.get() > 0 {
        return Overdue::Nothing;
    }
    match watch.head_began.get() {
        Some(began) if began.elapsed() >= head => Overdue::Head,
        Some(_) => Overdue::Nothing,
        None if watch.idle_since.get().elapsed() >= idle => Overdue::Idle,
        None => Overdue::Nothing,
    }
}

/// A connection that notes when a head begins to arrive.
struct WatchedStream {
    stream: TcpStream,
    watch: Rc<ConnectionWatch>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let has_read = polled.is_ready() && buf.filled().len() > before;
        if has_read && this.watch.under_way.get() == 0 && this.watch.head_began.get().is_none() {
            this.watch.head_began.set(Some(Instant::now()));
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
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
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
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
