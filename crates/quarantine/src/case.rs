//! Stores the ends of endpoints that were observed under one request.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::digest::RequestDigest;

/// Minimum number of ends for a quarantine. Two ends may be chance: when an endpoint ends, the dozen
/// requests that ran there move to other endpoints, and some of those end as well.
pub(crate) const MIN_QUARANTINE_ENDS: usize = 3;

/// Maximum number of ends that are stored for one request. The limit is several times the number of ends
/// that quarantine a request, and leaves room for months of trials.
const MAX_ENDS_PER_REQUEST: usize = 24;

/// Minimum number of ends for the quarantine of a part of prompts. A part may carry the whole
/// traffic of a route, so more is needed than for a request.
pub(crate) const MIN_PART_ENDS: usize = 4;

/// Ends within this interval count as one. Simultaneous ends have a common cause such as a rack's power
/// failure or an operator, and are no evidence against a request.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(50);

/// The interval that replaces [`COINCIDENCE_WINDOW`] if the later run began after the earlier end. A request
/// that terminates its endpoints quickly is sent to the next endpoint as soon as the previous one has ended.
const CONSECUTIVE_WINDOW: Duration = Duration::from_millis(20);

/// Inaccuracy of the times of ends that other instances observed.
const TIME_TOLERANCE: Duration = Duration::from_millis(5);

/// Minimum number of ends for [`DURABLE_RETENTION`]. It applies to cleared requests as well, since an
/// instance that missed a release must not undo it when the request is repeated.
const MIN_DURABLE_ENDS: usize = 2;

/// Retention of a request with at least [`MIN_DURABLE_ENDS`] ends, after its last end: a day, since many
/// clients send the same request once a day.
const DURABLE_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Retention of a request under which one endpoint ended.
const SUSPECT_RETENTION: Duration = Duration::from_secs(10 * 60);

/// Retention of a cleared request under which one endpoint ended. Updates about its end may be delayed by
/// this much.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// Time by which a full table keeps a cleared request longer than a suspect. Most suspects lose their
/// endpoints within this time.
const CLEARED_EVICTION_GRACE: Duration = Duration::from_secs(10);

/// Time by which a full table keeps a request with [`MIN_QUARANTINE_ENDS`] open ends longer than other suspects,
/// so that requests with one end each do not displace a request that may be fatal between its attempts.
const REPEATED_EVICTION_GRACE: Duration = Duration::from_secs(8);

/// The effect of recording an end, or of clearing a request of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndChange {
    /// The end was not known.
    New,
    /// The end was known, but was first observed at least [`COINCIDENCE_WINDOW`] earlier, or interrupted a
    /// longer run.
    Refined,
    /// The end was known, or the case is full.
    Known,
}

/// A run of a request that was interrupted by the end of its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRun {
    /// The endpoint's start that ended.
    pub endpoint: EndpointStart,
    /// The time when the end was observed.
    pub seen: MonotonicTime,
    /// The time from sending the request to the end, if known.
    pub duration: Option<Duration>,
}

/// An endpoint that ended under a request, as sent between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndUpdate {
    /// The endpoint's start that ended.
    pub endpoint: EndpointStart,
    /// The time since the end was first observed.
    pub age: Duration,
    /// The time from sending the request to the end, if known.
    pub run: Option<Duration>,
}

/// An end of which a request has been cleared, as sent between instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClearUpdate {
    /// The endpoint's start that ended.
    pub endpoint: EndpointStart,
    /// The duration of the complete run that cleared the request, if it was cleared by one.
    pub run: Option<Duration>,
}

/// The state of the case of a request or a part of prompts, as sent between instances. Updates may
/// arrive in any order, more than once and late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseUpdate<D = RequestDigest> {
    /// The request or the part.
    pub digest: D,
    /// The endpoints that ended under it.
    pub ends: Vec<EndUpdate>,
    /// The ends that the request has been cleared of.
    pub cleared: Vec<ClearUpdate>,
}

/// An end as recorded in a case.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndRecord {
    /// The time when the end was first observed.
    pub(crate) seen: MonotonicTime,
    /// The longest reported duration of the run that the end interrupted.
    pub(crate) run: Option<Duration>,
}

impl EndRecord {
    /// Returns whether the end probably has the same cause as an earlier one of the same request.
    fn coincides_with(&self, earlier: MonotonicTime) -> bool {
        let gap = self.seen.since(earlier);
        let is_consecutive = self.run.is_some_and(|run| run <= gap + TIME_TOLERANCE);
        gap < if is_consecutive { CONSECUTIVE_WINDOW } else { COINCIDENCE_WINDOW }
    }
}

/// The case of one request: two grow-only sets, which can be merged in any order.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestCase {
    /// The endpoints that ended under the request.
    ends: BTreeMap<EndpointStart, EndRecord>,
    /// Endpoints whose end the request has been cleared of, by a complete response or by an operator. Holds
    /// the duration of the run with the complete response.
    cleared: BTreeMap<EndpointStart, Option<Duration>>,
    /// The time of the last trial while quarantined.
    pub(crate) last_trial: Option<MonotonicTime>,
    /// When this instance learnt of the last end that it learnt of.
    pub(crate) last_report: Option<MonotonicTime>,
}

impl RequestCase {
    /// Records an end.
    pub(crate) fn record_end(&mut self, run: &InterruptedRun) -> EndChange {
        if let Some(known) = self.ends.get_mut(&run.endpoint) {
            // Times from other instances are inaccurate by some milliseconds.
            let is_refined =
                known.seen.since(run.seen) >= COINCIDENCE_WINDOW || run.duration > known.run;
            known.seen = run.seen.min(known.seen);
            known.run = run.duration.max(known.run);
            return if is_refined { EndChange::Refined } else { EndChange::Known };
        }
        if self.ends.len() >= MAX_ENDS_PER_REQUEST {
            return EndChange::Known;
        }
        let record = EndRecord { seen: run.seen, run: run.duration };
        self.ends.insert(run.endpoint.clone(), record);
        EndChange::New
    }

    /// Clears the request of one end.
    pub(crate) fn clear_end(
        &mut self,
        endpoint: &EndpointStart,
        run: Option<Duration>,
    ) -> EndChange {
        if let Some(known) = self.cleared.get_mut(endpoint) {
            let is_refined = run > *known;
            *known = run.max(*known);
            return if is_refined { EndChange::Refined } else { EndChange::Known };
        }
        if self.cleared.len() >= MAX_ENDS_PER_REQUEST {
            return EndChange::Known;
        }
        self.cleared.insert(endpoint.clone(), run);
        EndChange::New
    }

    /// Clears the request of all open ends, after a complete run of the given duration. Returns whether the
    /// case changed.
    pub(crate) fn clear_all(&mut self, run: Option<Duration>) -> bool {
        self.clear_open(run, |_| true)
    }

    /// Clears the request of the open ends that were observed before a time at which a complete run ended.
    /// Returns whether the case changed.
    pub(crate) fn clear_before(&mut self, ended: MonotonicTime, run: Duration) -> bool {
        self.clear_open(Some(run), |seen| seen < ended)
    }

    /// Clears the request of the open ends that were observed at times which `is_cleared` accepts.
    fn clear_open(
        &mut self,
        run: Option<Duration>,
        is_cleared: impl Fn(MonotonicTime) -> bool,
    ) -> bool {
        let open = self.open_ends().filter(|(_, seen)| is_cleared(*seen));
        let open: Vec<EndpointStart> = open.map(|(endpoint, _)| endpoint.clone()).collect();
        let cleared = open.iter().filter(|end| self.clear_end(end, run) == EndChange::New);
        cleared.count() > 0
    }

    /// Returns the open ends: those that the request has not been cleared of.
    pub(crate) fn open_ends(&self) -> impl Iterator<Item = (&EndpointStart, MonotonicTime)> {
        let is_open = |endpoint: &EndpointStart| !self.cleared.contains_key(endpoint);
        self.ends().filter(move |(endpoint, _)| is_open(endpoint))
    }

    /// Returns all ends, including cleared ones.
    pub(crate) fn ends(&self) -> impl Iterator<Item = (&EndpointStart, MonotonicTime)> {
        self.ends.iter().map(|(endpoint, end)| (endpoint, end.seen))
    }

    /// Returns when the end of an endpoint was first observed, if the request has not been cleared of it.
    pub(crate) fn open_end(&self, endpoint: &EndpointStart) -> Option<MonotonicTime> {
        let is_open = !self.cleared.contains_key(endpoint);
        self.ends.get(endpoint).filter(|_| is_open).map(|end| end.seen)
    }

    /// Returns whether the end of an endpoint is recorded.
    pub(crate) fn has_end(&self, endpoint: &EndpointStart) -> bool {
        self.ends.contains_key(endpoint)
    }

    /// Returns the endpoints of all interrupted runs, with the durations that are known.
    pub(crate) fn interrupted_runs(
        &self,
    ) -> impl Iterator<Item = (&EndpointStart, Option<Duration>)> {
        self.ends.iter().map(|(endpoint, end)| (endpoint, end.run))
    }

    /// Returns the open ends in chronological order, each with whether it is distinct: whether it does not
    /// coincide with an earlier one.
    pub(crate) fn ordered_open_ends(&self) -> Vec<(&EndpointStart, EndRecord, bool)> {
        let open = self.ends.iter().filter(|(endpoint, _)| !self.cleared.contains_key(*endpoint));
        let mut ends: Vec<(&EndpointStart, EndRecord, bool)> =
            open.map(|(endpoint, end)| (endpoint, *end, false)).collect();
        ends.sort_unstable_by_key(|(endpoint, end, _)| (end.seen, *endpoint));
        let mut last: Option<MonotonicTime> = None;
        for (_, end, is_distinct) in &mut ends {
            *is_distinct = last.is_none_or(|last| !end.coincides_with(last));
            if *is_distinct {
                last = Some(end.seen);
            }
        }
        ends
    }

    /// Returns the number of open ends that do not coincide with an earlier one.
    pub(crate) fn distinct_open_ends(&self) -> usize {
        self.ordered_open_ends().iter().filter(|(_, _, is_distinct)| *is_distinct).count()
    }

    /// Returns the number of open ends that came long after the previous one, as after a trial.
    pub(crate) fn late_ends(&self, min_gap: Duration) -> usize {
        let mut seen: Vec<MonotonicTime> = self.open_ends().map(|(_, seen)| seen).collect();
        seen.sort_unstable();
        seen.windows(2).filter(|pair| pair[1].since(pair[0]) >= min_gap).count()
    }

    /// Returns whether no further end can be recorded.
    pub(crate) fn is_full(&self) -> bool {
        self.ends.len() >= MAX_ENDS_PER_REQUEST
    }

    /// Returns the durations of the complete runs that cleared the request, one for each end.
    pub(crate) fn complete_runs(&self) -> impl Iterator<Item = Duration> {
        self.cleared.values().filter_map(|run| *run)
    }

    /// Returns the time of the last open end.
    pub(crate) fn last_open_end(&self) -> Option<MonotonicTime> {
        self.open_ends().map(|(_, seen)| seen).max()
    }

    /// Returns the time of the last end, open or cleared.
    pub(crate) fn last_observed_end(&self) -> Option<MonotonicTime> {
        self.ends.values().map(|end| end.seen).max()
    }

    /// Returns the time until which the attribution uses the case: for a suspect the time of its last end, for a
    /// cleared request [`CLEARED_EVICTION_GRACE`] later, since the requests that were suspects by then
    /// still need it, and for a request with several open ends [`REPEATED_EVICTION_GRACE`] later.
    pub(crate) fn relevant_until(&self) -> Option<MonotonicTime> {
        let retention = match self.open_ends().count() {
            0 => CLEARED_EVICTION_GRACE,
            MIN_QUARANTINE_ENDS.. => REPEATED_EVICTION_GRACE,
            _ => Duration::ZERO,
        };
        self.last_observed_end().map(|seen| seen + retention)
    }

    /// Returns whether the retention of the case has passed. The result depends only on the recorded facts, so
    /// that a table that still holds the case cannot restore it in a table that has dropped it.
    pub(crate) fn is_expired(&self, now: MonotonicTime) -> bool {
        let is_open = self.open_ends().next().is_some();
        let retention = match (self.ends.len(), is_open) {
            (MIN_DURABLE_ENDS.., _) => DURABLE_RETENTION,
            (_, true) => SUSPECT_RETENTION,
            (_, false) => CLEARED_RETENTION,
        };
        self.last_observed_end().is_none_or(|last| now.since(last) >= retention)
    }

    /// Returns whether the attribution needs the case after a restart of the process: the request lost several
    /// endpoints, or was cleared and shows that endpoints end by chance.
    pub(crate) fn is_durable(&self) -> bool {
        self.ends.len() >= MIN_DURABLE_ENDS || self.open_ends().next().is_none()
    }

    /// Returns the full state of the case, to be sent to another instance.
    pub(crate) fn update<D>(&self, now: MonotonicTime, digest: D) -> CaseUpdate<D> {
        let end = |(endpoint, end): (&EndpointStart, &EndRecord)| EndUpdate {
            endpoint: endpoint.clone(),
            age: now.since(end.seen),
            run: end.run,
        };
        let clear = |(endpoint, run): (&EndpointStart, &Option<Duration>)| ClearUpdate {
            endpoint: endpoint.clone(),
            run: *run,
        };
        CaseUpdate {
            digest,
            ends: self.ends.iter().map(end).collect(),
            cleared: self.cleared.iter().map(clear).collect(),
        }
    }
}
