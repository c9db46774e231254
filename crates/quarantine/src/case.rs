//! What is known of one request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::digest::RequestDigest;

/// Ends that are kept of one request: several times as many as quarantine it, and the trials of months.
const MAX_ENDS: usize = 24;

/// Ends closer than this count as one. A request ends its endpoints one after the other, since it is sent
/// to the next one when the last one is gone; what takes several at the same moment is a rack's power or
/// an operator, and says nothing about requests.
pub(crate) const SAME_MOMENT: Duration = Duration::from_millis(50);

/// Ends from which on a request is kept for long, also where it has been cleared since: it may come again,
/// and whoever missed that it was released must not bring it back.
const LASTING_ENDS: usize = 2;

/// How long that is, after its last end: a day, as many clients send the same once a day.
const LASTING_KEPT: Duration = Duration::from_secs(24 * 3_600);

/// How long a request under which one endpoint ended is suspected.
const SUSPECT_KEPT: Duration = Duration::from_secs(10 * 60);

/// How long it is remembered that such a one was cleared: news of its end may come this late.
const CLEARED_KEPT: Duration = Duration::from_secs(60);

/// How much longer than a suspect a request is kept that was answered, where a table is full: the time in
/// which most suspects lose their endpoints.
const EVIDENCE_KEPT: Duration = Duration::from_secs(4);

/// What an end changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndChange {
    /// It was not known.
    New,
    /// It was seen a good while earlier than was known.
    Earlier,
    /// Nothing that counts.
    Known,
}

/// An endpoint that ended under a request, as one instance tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndUpdate {
    /// The start that ended.
    pub endpoint: EndpointStart,
    /// How long ago that was seen first.
    pub age: Duration,
}

/// What one instance tells another of a request. May come in any order, twice, and late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseUpdate {
    /// The request.
    pub digest: RequestDigest,
    /// The endpoints that ended under it.
    pub ends: Vec<EndUpdate>,
    /// Those of them that were not its doing.
    pub cleared: Vec<EndpointStart>,
}

/// What is known of one request: two sets that only grow, so that they can be merged.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestCase {
    /// The endpoints that ended under it, and when that was seen first.
    ends: BTreeMap<EndpointStart, MonotonicTime>,
    /// Those that were not its doing, since it was answered whole afterwards or an operator says so.
    cleared: BTreeSet<EndpointStart>,
    /// When it was last sent although quarantined.
    pub(crate) tried: Option<MonotonicTime>,
}

impl RequestCase {
    /// Notes an end.
    pub(crate) fn end(&mut self, endpoint: &EndpointStart, seen: MonotonicTime) -> EndChange {
        if let Some(first) = self.ends.get_mut(endpoint) {
            // What is told by others is some milliseconds off.
            let is_earlier = first.since(seen) >= SAME_MOMENT;
            *first = seen.min(*first);
            return if is_earlier { EndChange::Earlier } else { EndChange::Known };
        }
        if self.ends.len() >= MAX_ENDS {
            return EndChange::Known;
        }
        self.ends.insert(endpoint.clone(), seen);
        EndChange::New
    }

    /// Notes that an end was not its doing; returns whether it is news.
    pub(crate) fn clear(&mut self, endpoint: &EndpointStart) -> bool {
        self.cleared.len() < MAX_ENDS && self.cleared.insert(endpoint.clone())
    }

    /// Clears the request of all its ends; returns whether there were any.
    pub(crate) fn clear_all(&mut self) -> bool {
        let open: Vec<EndpointStart> = self.open().map(|(endpoint, _)| endpoint.clone()).collect();
        open.iter().filter(|endpoint| self.clear(endpoint)).count() > 0
    }

    /// Returns the ends that may be its doing.
    pub(crate) fn open(&self) -> impl Iterator<Item = (&EndpointStart, MonotonicTime)> {
        let is_open = |endpoint: &EndpointStart| !self.cleared.contains(endpoint);
        self.ends.iter().filter(move |(e, _)| is_open(e)).map(|(e, seen)| (e, *seen))
    }

    /// Returns all ends, also those that were not its doing.
    pub(crate) fn ends(&self) -> impl Iterator<Item = (&EndpointStart, MonotonicTime)> {
        self.ends.iter().map(|(endpoint, seen)| (endpoint, *seen))
    }

    /// Returns when the last end was seen that may be its doing.
    pub(crate) fn last_end(&self) -> Option<MonotonicTime> {
        self.open().map(|(_, seen)| seen).max()
    }

    /// Returns when the last end was seen, whoever's doing it was.
    pub(crate) fn last_seen(&self) -> Option<MonotonicTime> {
        self.ends.values().copied().max()
    }

    /// Returns until when the judgement draws on it: a suspect until its last end, and one that was answered
    /// for as long as those need it that were suspects by then.
    pub(crate) fn matters_until(&self) -> Option<MonotonicTime> {
        let is_open = self.open().next().is_some();
        let kept = if is_open { Duration::ZERO } else { EVIDENCE_KEPT };
        self.last_seen().map(|seen| seen + kept)
    }

    /// Returns whether it is too old to matter. This follows from the facts alone: a table that still has
    /// the case must not bring it back into one that has forgotten it.
    pub(crate) fn is_over(&self, now: MonotonicTime) -> bool {
        let is_open = self.open().next().is_some();
        let kept = match (self.ends.len(), is_open) {
            (LASTING_ENDS.., _) => LASTING_KEPT,
            (_, true) => SUSPECT_KEPT,
            (_, false) => CLEARED_KEPT,
        };
        self.last_seen().is_none_or(|last| now.since(last) >= kept)
    }

    /// Returns whether the judgement on other requests draws on it when the process has ended: it lost
    /// several endpoints, or was answered and shows that endpoints end by chance.
    pub(crate) fn is_lasting(&self) -> bool {
        self.ends.len() >= LASTING_ENDS || self.open().next().is_none()
    }

    /// Returns everything, for another instance.
    pub(crate) fn news(&self, now: MonotonicTime, digest: RequestDigest) -> CaseUpdate {
        let end = |(endpoint, seen): (&EndpointStart, &MonotonicTime)| EndUpdate {
            endpoint: endpoint.clone(),
            age: now.since(*seen),
        };
        CaseUpdate {
            digest,
            ends: self.ends.iter().map(end).collect(),
            cleared: self.cleared.iter().cloned().collect(),
        }
    }
}

/// Counts ends by the moments at which they were seen.
pub(crate) fn count_moments(seen: impl Iterator<Item = MonotonicTime>) -> usize {
    let mut moments: Vec<MonotonicTime> = seen.collect();
    moments.sort_unstable();
    let mut last: Option<MonotonicTime> = None;
    moments.retain(|moment| {
        let is_new = last.is_none_or(|last| moment.since(last) >= SAME_MOMENT);
        if is_new {
            last = Some(*moment);
        }
        is_new
    });
    moments.len()
}
