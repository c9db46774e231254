//! The newest statement of each endpoint about its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate};
use serde::{Deserialize, Serialize};

/// What an answer of an endpoint states about its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The start of the endpoint.
    pub endpoint: EndpointStart,
    /// The maximum request rate from all instances together; `None` if the endpoint named none.
    pub limit: Option<RequestRate>,
    /// The time since the answer arrived.
    pub age: Duration,
}

/// The effect of a notice on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit that applies to the endpoint is the same as before.
    Unchanged,
    /// Another limit, or none, applies to the endpoint.
    Changed,
}

#[derive(Debug, Clone, Copy)]
struct LimitEntry {
    limit: Option<RequestRate>,
    answered_at: MonotonicTime,
    /// Whether the endpoint has ever named a limit.
    has_named: bool,
}

/// The limits of endpoints, and when each endpoint last answered.
///
/// Notices of the same answers may arrive in any order, late and more than once. The newest answer
/// applies, also if it names another limit or none.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: BTreeMap<EndpointStart, LimitEntry>,
    generation: u64,
}

impl LimitTable {
    /// Records a notice.
    pub fn record(&mut self, now: MonotonicTime, notice: &LimitNotice) -> LimitChange {
        let answered_at = now - notice.age;
        let before = self.entries.get(&notice.endpoint);
        if before.is_some_and(|entry| answered_at < entry.answered_at) {
            return LimitChange::Unchanged;
        }
        let limit_before = before.and_then(|entry| entry.limit);
        let has_named = notice.limit.is_some() || before.is_some_and(|entry| entry.has_named);
        let entry = LimitEntry { limit: notice.limit, answered_at, has_named };
        self.entries.insert(notice.endpoint.clone(), entry);
        if limit_before == notice.limit {
            return LimitChange::Unchanged;
        }
        self.generation += 1;
        LimitChange::Changed
    }

    /// Returns a number that grows with each change of a limit.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the limit that applies to an endpoint.
    pub fn limit(&self, endpoint: &EndpointStart) -> Option<RequestRate> {
        self.entries.get(endpoint)?.limit
    }

    /// Returns the number of endpoints with a limit.
    pub fn limited_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.limit.is_some()).count()
    }

    /// Returns what is known of all endpoints that have named a limit, also of those whose limit was
    /// lifted: an older notice of it may still arrive elsewhere.
    pub fn notices(&self, now: MonotonicTime) -> Vec<LimitNotice> {
        let notice = |(endpoint, entry): (&EndpointStart, &LimitEntry)| LimitNotice {
            endpoint: endpoint.clone(),
            limit: entry.limit,
            age: now.since(entry.answered_at),
        };
        self.entries.iter().filter(|(_, entry)| entry.has_named).map(notice).collect()
    }

    /// Removes the endpoints for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointStart) -> bool) {
        self.entries.retain(|endpoint, _| is_known(endpoint));
    }
}
