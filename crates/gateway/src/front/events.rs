//! Splits a server-sent event stream into complete events, so that a caller never receives part of
//! an event twice when the stream is resumed at another endpoint.

use bytes::{Buf, Bytes, BytesMut};

/// The maximum length of an event. A longer event is treated as a fault of the endpoint.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes and returns complete events, each of them once.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The length of the buffer's prefix that has been searched for the end of an event.
    searched_bytes: usize,
    last_id: Option<u64>,
    returned_events: u32,
}

impl EventSplitter {
    /// Creates a splitter for a caller that has all events up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the id of the last event returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events returned.
    pub fn returned_events(&self) -> u32 {
        self.returned_events
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event before the stream is resumed at another endpoint.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }

    /// Returns whether the buffered event exceeds the maximum length.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Appends bytes and returns the complete events that the caller does not have yet. Returns an
    /// empty buffer if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.buffer.copy_to_bytes(end);
            self.searched_bytes = 0;
            let id = event_id(&event);
            let is_repeated = id.is_some() && id <= self.last_id;
            if !is_repeated {
                self.last_id = id.or(self.last_id);
                self.returned_events = self.returned_events.wrapping_add(1);
                whole.extend_from_slice(&event);
            }
        }
        whole.freeze()
    }

    /// Returns the end offset of the first event in the buffer. An empty line ends an event.
    fn event_end(&mut self) -> Option<usize> {
        let from = self.searched_bytes.saturating_sub(3);
        let rest = &self.buffer[from..];
        let lf = find(rest, b"\n\n").map(|at| from + at + 2);
        let crlf = find(rest, b"\r\n\r\n").map(|at| from + at + 4);
        self.searched_bytes = self.buffer.len();
        match (lf, crlf) {
            (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
            (lf, crlf) => lf.or(crlf),
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
