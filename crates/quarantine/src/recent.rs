//! Remembers the last complete run of each part of prompts.
//!
//! An end may become known seconds after it happened, for example once the heartbeats of its endpoint are
//! overdue. Runs that completed in the meantime clear their parts of it like those that complete later.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::MonotonicTime;

use crate::digest::PartDigest;

/// Maximum number of parts whose runs are remembered.
const MAX_PARTS: usize = 1_024;

/// The time for which a run is remembered. The next start of an endpoint proves an end, and takes some
/// seconds.
const RETENTION: Duration = Duration::from_secs(20);

/// A run with a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CompleteRun {
    /// When the run ended.
    pub(crate) ended: MonotonicTime,
    pub(crate) duration: Duration,
}

/// The last complete run of each part.
#[derive(Debug, Default)]
pub(crate) struct RecentRuns(BTreeMap<PartDigest, CompleteRun>);

impl RecentRuns {
    /// Records a complete run of a prompt with a part. Runs arrive in chronological order.
    pub(crate) fn record(&mut self, part: PartDigest, run: CompleteRun) {
        self.0.insert(part, run);
        if self.0.len() > MAX_PARTS {
            self.0.retain(|_, known| run.ended.since(known.ended) < RETENTION);
        }
        if self.0.len() > MAX_PARTS {
            let oldest = self.0.iter().min_by_key(|(_, known)| known.ended);
            if let Some(part) = oldest.map(|(part, _)| *part) {
                self.0.remove(&part);
            }
        }
    }

    /// Returns the last complete run of a prompt with a part.
    pub(crate) fn last(&self, part: &PartDigest) -> Option<CompleteRun> {
        self.0.get(part).copied()
    }
}
