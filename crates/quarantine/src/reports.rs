//! Remembers when each end became known, since the facts on one end arrive one after the other.
//!
//! Each instance reports an end under the requests that it had sent to the endpoint. A sound part may
//! have run on the same endpoints as a fatal one, so it is the only explanation of their ends while the
//! facts on the fatal part are on their way.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

/// Time from the first report of an end until all instances in reach have reported it. A fact pauses at
/// three instances for 10 ms each.
const REPORT_TIME: Duration = Duration::from_millis(50);

/// When this instance learnt of each end.
#[derive(Debug, Default)]
pub(crate) struct EndReports(BTreeMap<EndpointStart, MonotonicTime>);

impl EndReports {
    /// Records that an end is known.
    pub(crate) fn record(&mut self, now: MonotonicTime, endpoint: &EndpointStart) {
        if !self.0.contains_key(endpoint) {
            self.0.insert(endpoint.clone(), now);
        }
    }

    /// Returns the ends that instances may still report, and when the first of them is reported by all.
    pub(crate) fn pending(
        &self,
        now: MonotonicTime,
    ) -> (BTreeSet<EndpointStart>, Option<MonotonicTime>) {
        let is_pending =
            |(_, known): &(&EndpointStart, &MonotonicTime)| **known + REPORT_TIME > now;
        let pending: Vec<_> = self.0.iter().filter(is_pending).collect();
        let first = pending.iter().map(|(_, known)| **known + REPORT_TIME).min();
        (pending.into_iter().map(|(endpoint, _)| endpoint.clone()).collect(), first)
    }

    /// Forgets the ends that `is_known` rejects.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EndpointStart) -> bool) {
        self.0.retain(|endpoint, _| is_known(endpoint));
    }
}
