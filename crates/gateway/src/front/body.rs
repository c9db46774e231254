//! Bodies of answers to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer cannot be finished. The caller's connection is broken off, so that the answer
/// looks as incomplete as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BodyCut;

impl fmt::Display for BodyCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for BodyCut {}

impl From<Infallible> for BodyCut {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer to a caller.
pub(super) enum FrontBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<Result<Bytes, BodyCut>>),
}

impl Body for FrontBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
