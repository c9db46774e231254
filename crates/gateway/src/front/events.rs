//! Splits a server-sent event stream into complete events, so that a caller never receives part of
//! an event twice when the stream is resumed at another endpoint.
//!
//! Only an event with an id beyond the last one counts as progress. Comments and events without an
//! id are returned together with the next event that makes progress, or at the end of the stream:
//! until then nothing tells them from the bytes of an endpoint that sends no answer.

use bytes::{Bytes, BytesMut};

/// The maximum length of an event. A longer event is treated as a fault of the endpoint.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The maximum number of bytes without progress before an event: a comment a second for the longest
/// deadline.
const MAX_STALLED_BYTES: usize = 128 * 1024;

/// Buffers bytes and returns complete events, each of them once.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Complete comments and events without an id, then an event that is not complete yet.
    buffer: BytesMut,
    /// The start of the incomplete event in the buffer.
    event_start: usize,
    /// The start of its last line, which is not complete either.
    line_start: usize,
    /// The length of the buffer's prefix that has been searched for the end of a line.
    searched_bytes: usize,
    /// The id of the incomplete event.
    buffered_id: Option<u64>,
    last_id: Option<u64>,
    /// The id of the last event received, which the caller may have from another endpoint.
    received_id: Option<u64>,
    /// The number of bytes in complete comments and events since the last event that made progress.
    stalled_bytes: usize,
    /// The number of events returned.
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
        self.event_start < self.buffer.len()
    }

    /// Returns the number of bytes that have not been returned.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns why the stream is no answer, if it has exceeded a bound.
    pub fn excess(&self) -> Option<&'static str> {
        if self.buffer.len() - self.event_start > MAX_EVENT_BYTES {
            Some("an event exceeds the maximum length")
        } else if self.stalled_bytes > MAX_STALLED_BYTES {
            Some("too many bytes without a new event")
        } else {
            None
        }
    }

    /// Appends bytes and returns the complete events that the caller does not have yet. Returns an
    /// empty buffer if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while self.find_event_end() {
            let id = self.buffered_id.take();
            self.stalled_bytes += self.line_start - self.event_start;
            if id > self.received_id {
                self.received_id = id;
                self.stalled_bytes = 0;
            }
            if id.is_none() {
                self.event_start = self.line_start;
            } else if id <= self.last_id {
                // The caller has the event.
                drop(self.take_complete());
            } else {
                whole.extend_from_slice(&self.take_complete());
                self.last_id = id;
                self.returned_events = self.returned_events.wrapping_add(1);
            }
        }
        whole.freeze()
    }

    /// Returns the comments and events without an id that follow the last event, at the end of the
    /// stream.
    pub fn take_unnumbered(&mut self) -> Bytes {
        self.line_start = self.event_start;
        self.take_complete().freeze()
    }

    /// Searches for the end of the incomplete event, which is an empty line. Returns whether the event
    /// is complete.
    fn find_event_end(&mut self) -> bool {
        while let Some(length) = find_line_end(&self.buffer[self.searched_bytes..]) {
            let line_end = self.searched_bytes + length;
            let line = &self.buffer[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let is_empty = line.is_empty();
            self.buffered_id = self.buffered_id.or_else(|| event_id(line));
            (self.searched_bytes, self.line_start) = (line_end + 1, line_end + 1);
            if is_empty {
                return true;
            }
        }
        self.searched_bytes = self.buffer.len();
        false
    }

    /// Removes the buffer's complete lines.
    fn take_complete(&mut self) -> BytesMut {
        let complete = self.buffer.split_to(self.line_start);
        self.searched_bytes = self.searched_bytes.saturating_sub(complete.len());
        (self.event_start, self.line_start) = (0, 0);
        complete
    }
}

fn find_line_end(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Returns the id of an event if a line states it.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
