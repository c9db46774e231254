//! Requests whose connections to endpoints broke recently, while it is not known whether the
//! endpoints ended.
//!
//! Such a request is not suspect: the connection may have been lost in the network. If it ends its
//! endpoints, though, it ends several more before the first end is proved. Until then it is placed
//! where the fewest other requests run, and it is sent again with an increasing delay. All daemons
//! do so, since the request may be repeated at any of them.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_quarantine::{CaseUpdate, RequestDigest};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::fact_queue::FactSource;
use crate::gateway::Gateway;

/// How long a broken connection counts. Most endpoints send a heartbeat or have started again
/// within this time.
const BREAK_RETENTION: Duration = Duration::from_secs(5);

/// The maximum number of requests with broken connections. The oldest ones are dropped.
const MAX_BROKEN_REQUESTS: usize = 512;

/// The delay of the next send after two broken connections. It doubles with each further one.
const BASE_RESEND_DELAY: Duration = Duration::from_millis(100);

/// The maximum delay of the next send.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(800);

/// A broken connection, as sent between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BreakNotice {
    pub(crate) digest: RequestDigest,
    pub(crate) endpoint: EndpointStart,
    /// The time since the connection broke.
    pub(crate) age: Duration,
}

/// The recent broken connections of all requests.
#[derive(Debug, Default)]
pub(crate) struct BrokenRuns {
    breaks: BTreeMap<RequestDigest, BTreeMap<EndpointStart, MonotonicTime>>,
}

impl BrokenRuns {
    pub(crate) fn is_empty(&self) -> bool {
        self.breaks.is_empty()
    }

    /// Records a broken connection. Returns whether it was not known.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        endpoint: &EndpointStart,
        broke_at: MonotonicTime,
    ) -> bool {
        self.expire(now);
        let of_request = self.breaks.entry(digest).or_default();
        let is_new = of_request.insert(endpoint.clone(), broke_at).is_none();
        if self.breaks.len() > MAX_BROKEN_REQUESTS {
            let last_break = |(_, breaks): &(&RequestDigest, &BTreeMap<_, MonotonicTime>)| {
                breaks.values().max().copied()
            };
            let oldest = self.breaks.iter().min_by_key(last_break).map(|(digest, _)| *digest);
            oldest.and_then(|digest| self.breaks.remove(&digest));
        }
        is_new
    }

    /// Removes the broken connections to an endpoint whose end has been proved or refuted.
    pub(crate) fn resolve(&mut self, endpoint: &EndpointStart) {
        self.breaks.values_mut().for_each(|breaks| {
            breaks.remove(endpoint);
        });
        self.breaks.retain(|_, breaks| !breaks.is_empty());
    }

    /// Returns whether a connection broke recently under a request.
    pub(crate) fn has_recent(&self, now: MonotonicTime, digest: RequestDigest) -> bool {
        self.recent(now, digest).next().is_some()
    }

    /// Returns how long the next send of a request is to be delayed.
    pub(crate) fn resend_delay(&self, now: MonotonicTime, digest: RequestDigest) -> Duration {
        let doublings = u32::try_from(self.recent(now, digest).count()).unwrap_or(u32::MAX);
        let Some(doublings) = doublings.checked_sub(2) else { return Duration::ZERO };
        let delay = (BASE_RESEND_DELAY * 2_u32.pow(doublings.min(8))).min(MAX_RESEND_DELAY);
        let last = self.recent(now, digest).max();
        last.map_or(Duration::ZERO, |last| (last + delay).since(now))
    }

    fn recent(
        &self,
        now: MonotonicTime,
        digest: RequestDigest,
    ) -> impl Iterator<Item = MonotonicTime> {
        let of_request = self.breaks.get(&digest).into_iter();
        let times = of_request.flat_map(|breaks| breaks.values().copied());
        times.filter(move |broke_at| now.since(*broke_at) < BREAK_RETENTION)
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.breaks.retain(|_, breaks| {
            breaks.retain(|_, broke_at| now.since(*broke_at) < BREAK_RETENTION);
            !breaks.is_empty()
        });
    }
}

impl Gateway {
    /// Records a broken connection of one of this daemon's requests, and tells the other daemons.
    pub(crate) fn record_broken_run(
        &self,
        digest: RequestDigest,
        endpoint: &EndpointStart,
        broke_at: MonotonicTime,
    ) {
        let now = self.now();
        self.broken_runs.borrow_mut().record(now, digest, endpoint, broke_at);
        self.queue_facts(|queue| {
            queue.add_break(FactSource::Own, digest, endpoint.clone(), broke_at);
        });
    }

    /// Records broken connections of another daemon's requests, and forwards the new ones.
    pub(crate) fn on_broken_runs(&self, from: &InstanceId, notices: &[BreakNotice]) {
        let now = self.now();
        let new: Vec<&BreakNotice> = {
            let mut runs = self.broken_runs.borrow_mut();
            let mut is_new = |notice: &&BreakNotice| {
                runs.record(now, notice.digest, &notice.endpoint, now - notice.age)
            };
            notices.iter().filter(|notice| is_new(notice)).collect()
        };
        if !new.is_empty()
            && let Some(source) = self.forwarded_source(from)
        {
            self.queue_facts(|queue| {
                for BreakNotice { digest, endpoint, age } in new {
                    queue.add_break(source.clone(), *digest, endpoint.clone(), now - *age);
                }
            });
        }
    }

    /// Removes the broken connections to the endpoints that ended according to case updates.
    pub(crate) fn resolve_broken_runs(&self, updates: &[CaseUpdate]) {
        let mut runs = self.broken_runs.borrow_mut();
        if runs.is_empty() {
            return;
        }
        let ends = updates.iter().flat_map(|case| &case.ends);
        ends.for_each(|end| runs.resolve(&end.endpoint));
    }

    /// Returns whether a connection broke recently under a request.
    pub(crate) fn has_broken_run(&self, digest: impl FnOnce() -> RequestDigest) -> bool {
        let runs = self.broken_runs.borrow();
        !runs.is_empty() && runs.has_recent(self.now(), digest())
    }

    /// Returns how long the next send of a request is to be delayed because its connections broke.
    pub(crate) fn resend_delay(&self, digest: impl FnOnce() -> RequestDigest) -> Duration {
        let runs = self.broken_runs.borrow();
        if runs.is_empty() { Duration::ZERO } else { runs.resend_delay(self.now(), digest()) }
    }
}
