//! Parses an engine's answer: server-sent events that each carry one [`StreamLine`].

use std::collections::VecDeque;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oriolepass_schema::endpoint::StreamLine;

/// Maximum size of a line. A stream with a longer line is treated as broken.
const MAX_LINE_BYTES: usize = 1 << 20;

/// The lines of one answer, as they arrive.
pub(crate) struct LineStream {
    body: Incoming,
    buffer: BytesMut,
    ready: VecDeque<StreamLine>,
}

impl LineStream {
    pub(super) fn new(body: Incoming) -> Self {
        Self { body, buffer: BytesMut::new(), ready: VecDeque::new() }
    }

    /// Returns the next line, or `None` when the connection broke or sent invalid data.
    ///
    /// Cancel-safe: no line is lost if the future is dropped before it is ready.
    pub(crate) async fn next(&mut self) -> Option<StreamLine> {
        loop {
            if let Some(line) = self.ready.pop_front() {
                return Some(line);
            }
            let frame = self.body.frame().await?.ok()?;
            let Ok(data) = frame.into_data() else { continue };
            self.buffer.extend_from_slice(&data);
            self.parse()?;
        }
    }

    /// Moves complete events from the buffer to the queue. Returns `None` on invalid data or an
    /// oversized line.
    fn parse(&mut self) -> Option<()> {
        while let Some(end) = find_blank_line(&self.buffer) {
            let event = self.buffer.split_to(end + 2);
            let data = event[..end].strip_prefix(b"data: ")?;
            self.ready.push_back(serde_json::from_slice(data).ok()?);
        }
        (self.buffer.len() <= MAX_LINE_BYTES).then_some(())
    }
}

fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}
