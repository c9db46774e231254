//! How the end of an answer's body is recognised.

use hyper::Response;
use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;

/// What marks the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The length is known from the head.
    Length,
    /// The body comes in chunks, of which the last one is empty.
    Chunks,
    /// Nothing marks the end: the body ends with its connection. A crash of the sender may look the
    /// same as the end of a complete body.
    Connection,
}

impl BodyFraming {
    /// Returns how the body of an answer ends.
    pub(crate) fn of<B: Body>(answer: &Response<B>) -> Self {
        if answer.body().size_hint().exact().is_some() || answer.body().is_end_stream() {
            return Self::Length;
        }
        let codings = answer.headers().get_all(TRANSFER_ENCODING).iter().next_back();
        let last = codings.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
        if last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }

    /// Returns the name used in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
