//! Defines the bodies of responses to callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

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
    Buffered(Option<Bytes>),
    /// A body whose pieces are forwarded as they arrive.
    Streamed(PieceReceiver),
}

/// The receiving side of a streamed body.
pub(super) struct PieceReceiver {
    pieces: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The sending side of a streamed body. If it is dropped without [`PieceSender::complete`], the body is
/// aborted after the pieces that were sent.
pub(super) struct PieceSender {
    pieces: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The error of a piece that was sent after the caller had left.
#[derive(Debug)]
pub(super) struct CallerLeft;

impl PieceSender {
    /// Sends a piece. Waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has left.
    pub(super) async fn send(&self, piece: Bytes) -> Result<(), CallerLeft> {
        self.pieces.send(piece).await.map_err(|_| CallerLeft)
    }

    /// Returns whether the next piece has to wait for the caller to read.
    pub(super) fn is_full(&self) -> bool {
        self.pieces.capacity() == 0
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

/// Creates a streamed body that queues at most `max_pieces` pieces.
pub(super) fn streamed_body(max_pieces: usize) -> (PieceSender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(max_pieces);
    let is_complete = Rc::new(Cell::new(false));
    let body = PieceReceiver { pieces: receiver, is_complete: Rc::clone(&is_complete) };
    (PieceSender { pieces: sender, is_complete }, ResponseBody::Streamed(body))
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(body) => body.pieces.poll_recv(cx).map(|piece| match piece {
                Some(piece) => Some(Ok(Frame::data(piece))),
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
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
