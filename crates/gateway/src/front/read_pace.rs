//! Decides when a caller that does not read its answer is given up.
//!
//! An answer that stays unread holds memory, and a stream also holds its endpoint. The operating
//! system gives up a caller whose machine is lost, but not one that reads a byte at a time.

use std::time::Duration;

use tokio::time::Instant;

/// The time within which a caller has to read [`MIN_READ_BYTES`] while more is due to it. Servers
/// usually cut off a response that remains unread for some seconds.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum that a caller reads within [`READ_TIMEOUT`]: well below the rate of the slowest
/// connections in use.
const MIN_READ_BYTES: usize = 4 * 1024;

/// How fast a caller reads, seen from the writes to its connection.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReadPace {
    /// Since when the caller reads more slowly than bytes are due to it, and how many it has read
    /// since.
    slow_since: Option<(Instant, usize)>,
}

impl ReadPace {
    /// Records that `written` of `offered` bytes fitted into the connection's buffers.
    pub(super) fn record_write(&mut self, now: Instant, written: usize, offered: usize) {
        self.slow_since = match self.slow_since {
            _ if written == offered => None,
            Some((since, read)) if read + written < MIN_READ_BYTES => Some((since, read + written)),
            _ => Some((now, 0)),
        };
    }

    /// Returns whether the caller counts as not reading its answer.
    pub(super) fn has_stalled(&self, now: Instant) -> bool {
        self.slow_since.is_some_and(|(since, _)| now - since >= READ_TIMEOUT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns after how many seconds a caller is given up that reads `bytes` each second.
    fn given_up_after(bytes: usize) -> Option<u64> {
        let began = Instant::now();
        let mut pace = ReadPace::default();
        pace.record_write(began, 0, 65_536);
        (1..60).find(|second| {
            let now = began + Duration::from_secs(*second);
            pace.record_write(now, bytes, 65_536);
            pace.has_stalled(now)
        })
    }

    /// Guards against callers that read a byte a second and hold their answers and endpoints as long.
    #[test]
    fn callers_that_hardly_read_are_given_up() {
        assert_eq!(given_up_after(0), Some(5));
        assert_eq!(given_up_after(1), Some(5));
    }

    /// Guards against long answers that are cut because their callers have slow links.
    #[test]
    fn callers_on_slow_links_are_not_given_up() {
        assert_eq!(given_up_after(1_024), None);
        assert_eq!(given_up_after(50_000), None);
    }

    #[test]
    fn a_caller_that_has_read_everything_has_not_stalled() {
        let began = Instant::now();
        let mut pace = ReadPace::default();
        assert!(!pace.has_stalled(began + READ_TIMEOUT));
        pace.record_write(began, 10, 20);
        pace.record_write(began, 10, 10);
        assert!(!pace.has_stalled(began + READ_TIMEOUT * 2));
    }
}
