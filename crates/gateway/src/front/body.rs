//! Defines the bodies of responses to callers.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{Notify, mpsc};

use crate::held_bytes::ByteHold;

/// The size of the pieces in which a buffered body is passed on. The rest is held until the caller has
/// read most of the pieces before it.
const BUFFERED_PIECE_BYTES: usize = 64 * 1024;

/// The maximum number of bytes queued for a slow caller of a stream, unless a single piece has more.
/// Engines write a few hundred bytes at a time.
const MAX_QUEUED_BYTES: usize = 16 * 1024;

/// The error of a body that cannot be completed. It aborts the caller's connection, so that the
/// caller recognises the response as incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body aborted before its end")
    }
}

impl std::error::Error for BodyAborted {}

impl From<Infallible> for BodyAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a response to a caller.
pub(super) enum ResponseBody {
    /// A body that is completely in memory.
    Buffered(Option<HeldBody>),
    /// A body whose pieces are forwarded as they arrive.
    Streamed(PieceReceiver),
}

/// A buffered body, and the memory that is held for it.
pub(super) struct HeldBody {
    pieces: VecDeque<Bytes>,
    /// `None` for a short body of this process itself.
    _hold: Option<ByteHold>,
}

impl HeldBody {
    fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }
}

/// Collects a body in pieces. A buffer that grows as a whole would be in memory twice while it is
/// moved.
pub(super) struct BodyCollector {
    full: VecDeque<Bytes>,
    last: BytesMut,
    hold: Option<ByteHold>,
}

impl BodyCollector {
    pub(super) fn new(hold: Option<ByteHold>) -> Self {
        Self { full: VecDeque::new(), last: BytesMut::new(), hold }
    }

    pub(super) fn len(&self) -> usize {
        self.full.len() * BUFFERED_PIECE_BYTES + self.last.len()
    }

    /// Returns the memory that the collected pieces take up, in bytes.
    #[cfg(test)]
    pub(super) fn held_bytes(&self) -> usize {
        self.full.len() * BUFFERED_PIECE_BYTES + self.last.capacity()
    }

    /// Returns whether there is no room for further bytes.
    pub(super) fn is_full(&self) -> bool {
        self.last.len() == self.last.capacity()
    }

    /// Makes room for up to `added` bytes, at most a piece. Returns false if there is no memory for
    /// them.
    pub(super) fn make_room(&mut self, added: usize) -> bool {
        let is_whole = self.last.len() == BUFFERED_PIECE_BYTES;
        let kept = if is_whole { 0 } else { self.last.len() };
        let capacity = (2 * kept).max(kept + added).min(BUFFERED_PIECE_BYTES);
        let next_bytes = self.len() - kept + capacity;
        if self.hold.as_ref().is_some_and(|hold| !hold.resize(next_bytes)) {
            return false;
        }
        let mut next = BytesMut::with_capacity(capacity);
        if is_whole {
            self.full.push_back(std::mem::take(&mut self.last).freeze());
        } else {
            next.extend_from_slice(&self.last);
        }
        self.last = next;
        true
    }

    /// Takes as many bytes as there is room for.
    pub(super) fn take(&mut self, data: &mut Bytes) {
        let room = self.last.capacity() - self.last.len();
        self.last.extend_from_slice(&data.split_to(room.min(data.len())));
    }

    /// Returns the body.
    pub(super) fn into_body(mut self) -> HeldBody {
        self.full.push_back(self.last.freeze());
        HeldBody { pieces: self.full, _hold: self.hold }
    }
}

/// The bytes that are queued for a caller.
struct QueuedBytes {
    bytes: Cell<usize>,
    hold: Option<ByteHold>,
    shrunk: Notify,
}

impl QueuedBytes {
    /// Changes the number of queued bytes. Returns false if there is no memory for them.
    fn set(&self, bytes: usize) -> bool {
        let is_held = self.hold.as_ref().is_none_or(|hold| hold.resize(bytes));
        if is_held {
            self.bytes.set(bytes);
        }
        is_held
    }

    fn remove(&self, bytes: usize) {
        // There is always memory for fewer bytes.
        self.set(self.bytes.get() - bytes);
        self.shrunk.notify_one();
    }

    /// Waits until there is room for a piece, and adds it. Returns false if there is no memory for it.
    async fn add(&self, bytes: usize) -> bool {
        while self.bytes.get() > 0 && self.bytes.get() + bytes > MAX_QUEUED_BYTES {
            self.shrunk.notified().await;
        }
        self.set(self.bytes.get() + bytes)
    }
}

/// The receiving side of a streamed body.
pub(super) struct PieceReceiver {
    pieces: mpsc::Receiver<Bytes>,
    queued: Rc<QueuedBytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The sending side of a streamed body. If it is dropped without [`PieceSender::complete`], the body is
/// aborted after the pieces that were sent.
pub(super) struct PieceSender {
    pieces: mpsc::Sender<Bytes>,
    queued: Rc<QueuedBytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The reason that a piece was not queued for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotQueued {
    CallerLeft,
    /// There is no memory for the piece.
    NoMemory,
}

impl PieceSender {
    /// Sends a piece. Waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the reason if the caller has left or there is no memory for the piece.
    pub(super) async fn send(&self, piece: Bytes) -> Result<(), NotQueued> {
        if !self.queued.add(piece.len()).await {
            return Err(NotQueued::NoMemory);
        }
        self.pieces.send(piece).await.map_err(|_| NotQueued::CallerLeft)
    }

    /// Returns whether the next piece has to wait for the caller to read.
    pub(super) fn is_full(&self) -> bool {
        self.pieces.capacity() == 0 || self.queued.bytes.get() >= MAX_QUEUED_BYTES
    }

    /// Returns a future that completes when the caller has left.
    pub(super) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let pieces = self.pieces.clone();
        async move { pieces.closed().await }
    }

    /// Ends the body properly after the pieces that were sent.
    pub(super) fn complete(self) {
        self.is_complete.set(true);
    }
}

/// Creates a streamed body that queues at most `max_pieces` pieces, whose bytes `hold` counts.
pub(super) fn streamed_body(
    max_pieces: usize,
    hold: Option<ByteHold>,
) -> (PieceSender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(max_pieces);
    let is_complete = Rc::new(Cell::new(false));
    let queued = Rc::new(QueuedBytes { bytes: Cell::new(0), hold, shrunk: Notify::new() });
    let body = PieceReceiver {
        pieces: receiver,
        queued: Rc::clone(&queued),
        is_complete: Rc::clone(&is_complete),
    };
    (PieceSender { pieces: sender, queued, is_complete }, ResponseBody::Streamed(body))
}

impl ResponseBody {
    /// Returns a short body of this process itself.
    pub(super) fn short(bytes: Bytes) -> Self {
        Self::Buffered(Some(HeldBody { pieces: VecDeque::from([bytes]), _hold: None }))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Self::Buffered(rest) => {
                let Some(mut body) = rest.take() else { return Poll::Ready(None) };
                let piece = body.pieces.pop_front();
                if !body.pieces.is_empty() {
                    *rest = Some(body);
                }
                Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
            }
            Self::Streamed(body) => body.pieces.poll_recv(cx).map(|piece| match piece {
                Some(piece) => {
                    body.queued.remove(piece.len());
                    Some(Ok(Frame::data(piece)))
                }
                None if body.is_complete.get() => None,
                None => Some(Err(BodyAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(rest) => {
                SizeHint::with_exact(rest.as_ref().map_or(0, |body| body.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
