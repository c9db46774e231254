//! Defines the bodies of responses to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
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
    Streamed(mpsc::Receiver<Result<Bytes, BodyAborted>>),
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
            Self::Streamed(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
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
