//! Splits a stream into whole events, so that a caller never gets a part of one twice.

use bytes::{Buf, Bytes, BytesMut};

/// The longest event; a longer one is a fault of the endpoint.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes and hands out whole events, each once.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// How far the buffer has been searched for an event's end.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a caller that has everything up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the last event handed out.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether a part of an event waits for its rest.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops a part of an event, before the stream goes on at another endpoint.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns whether an event has grown longer than any should be.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Takes in bytes and returns the events that are whole now and that the caller does not
    /// have yet; empty if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.buffer.copy_to_bytes(end);
            self.searched = 0;
            let id = event_id(&event);
            let is_repeated = id.is_some() && id <= self.last_id;
            if !is_repeated {
                self.last_id = id.or(self.last_id);
                whole.extend_from_slice(&event);
            }
        }
        whole.freeze()
    }

    /// Returns where the first event in the buffer ends: after an empty line.
    fn event_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let rest = &self.buffer[from..];
        let lf = find(rest, b"\n\n").map(|at| from + at + 2);
        let crlf = find(rest, b"\r\n\r\n").map(|at| from + at + 4);
        self.searched = self.buffer.len();
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
