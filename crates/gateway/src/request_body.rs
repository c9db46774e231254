//! Holds the body of a request in pieces of a bounded size.
//!
//! A buffer that grows as a whole is in memory twice while it is moved, and leaves gaps of all sizes
//! behind that longer bodies cannot use.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

use crate::held_bytes::ByteHold;

/// The size of a piece. The last one is shorter if the length of the body is known.
const PIECE_BYTES: usize = 16 * 1024;

/// The complete body of a request, which can be sent several times.
#[derive(Debug, Clone)]
pub(crate) struct RequestBody {
    pieces: Rc<[Bytes]>,
    /// The number of pieces that this copy has passed on.
    passed_on: usize,
    /// Set once the last piece has been passed on.
    is_passed_on: Rc<Cell<bool>>,
}

impl RequestBody {
    /// Creates a body from its pieces.
    fn new(pieces: Rc<[Bytes]>) -> Self {
        let is_passed_on = Rc::new(Cell::new(pieces.is_empty()));
        Self { pieces, passed_on: 0, is_passed_on }
    }

    /// Returns a copy for one send, which passes on all pieces.
    pub(crate) fn for_send(&self) -> Self {
        Self::new(Rc::clone(&self.pieces))
    }

    /// Returns the flag that is set once the last piece has been passed on.
    pub(crate) fn passed_on_flag(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.is_passed_on)
    }

    pub(crate) fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &**piece)
    }

    fn rest(&self) -> &[Bytes] {
        &self.pieces[self.passed_on..]
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        let piece = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self::new(piece.into_iter().collect())
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.rest().first().cloned();
        self.passed_on += usize::from(piece.is_some());
        self.is_passed_on.set(self.rest().is_empty());
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest().is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest().iter().map(|piece| piece.len() as u64).sum())
    }
}

/// Collects the body of a request. The memory of its pieces is held, so that a caller takes up none
/// by announcing a long body.
#[derive(Debug)]
pub(crate) struct RequestBodyCollector<'h> {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
    longest: usize,
    hold: &'h ByteHold,
}

impl<'h> RequestBodyCollector<'h> {
    /// Collects a body of at most `longest` bytes.
    pub(crate) fn new(longest: usize, hold: &'h ByteHold) -> Self {
        Self { full: Vec::new(), last: BytesMut::new(), len: 0, longest, hold }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes. Returns false if there is no memory for them.
    pub(crate) fn append(&mut self, mut data: &[u8]) -> bool {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() && !self.begin_piece(data.len()) {
                return false;
            }
            let room = self.last.capacity() - self.last.len();
            let (taken, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(taken);
            self.len += taken.len();
            data = rest;
        }
        true
    }

    /// Begins a piece with room for some of the next `added` bytes.
    fn begin_piece(&mut self, added: usize) -> bool {
        let capacity = self.longest.saturating_sub(self.len).max(added).min(PIECE_BYTES);
        if !self.hold.resize(self.len + capacity) {
            return false;
        }
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
        true
    }

    /// Returns the body.
    pub(crate) fn into_body(mut self) -> RequestBody {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        RequestBody::new(self.full.into())
    }
}
