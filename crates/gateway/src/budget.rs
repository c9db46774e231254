//! Limits repeated sends of requests with a retry budget for each service.
//!
//! All daemons share one allowance for each service: a ratio of the service's requests plus a fixed
//! number in a window. Each daemon uses its part without coordination: the ratio of its own
//! requests, and the fixed number divided by the number of daemons that it currently sees. A safety
//! factor covers periods in which daemons see different numbers of other daemons.
//!
//! With many daemons, the divided fixed number is less than one repeated send per daemon. In a
//! tiered cluster the fixed number is therefore divided among the hubs only, and the hubs grant
//! repeated sends to their leaves.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oriolepass_units::{MonotonicTime, ServiceName};

/// The part of the allowance that is used. The rest covers windows that are not aligned between
/// daemons, requests that another daemon counted, and daemons that are temporarily not seen.
const USED_SHARE: f64 = 0.7;

/// The allowance of one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRule {
    /// Repeated sends per request.
    pub ratio: f64,
    /// Repeated sends in a window in addition to the ratio, over all daemons.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<MonotonicTime>,
    repeats: VecDeque<MonotonicTime>,
    /// Repeated sends that this hub has granted to its leaves and to itself.
    grants: VecDeque<MonotonicTime>,
}

/// Counts requests and repeated sends by service and enforces the allowance.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: HashMap<ServiceName, ServiceWindow>,
}

impl RetryBudget {
    /// Counts a request from a caller.
    pub fn count_request(&mut self, now: MonotonicTime, rule: &BudgetRule, service: &ServiceName) {
        let window = self.window(now, rule, service);
        window.requests.push_back(now);
    }

    /// Takes one repeated send from the budget. Returns whether the budget allowed it.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        daemons: usize,
        service: &ServiceName,
    ) -> bool {
        self.take_with_slack(now, rule, rule.slack / daemons.max(1) as f64, service)
    }

    /// Takes one repeated send from the ratio of this daemon's requests, without the fixed number.
    /// Returns whether the ratio allowed it.
    pub fn take_from_ratio(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        service: &ServiceName,
    ) -> bool {
        self.take_with_slack(now, rule, 0.0, service)
    }

    /// Takes one repeated send from this hub's part of the fixed number. Returns whether that part
    /// allowed it.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        hubs: usize,
        service: &ServiceName,
    ) -> bool {
        let allowance = rule.slack / hubs.max(1) as f64 * USED_SHARE;
        record_if_within(now, &mut self.window(now, rule, service).grants, allowance)
    }

    fn take_with_slack(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        own_slack: f64,
        service: &ServiceName,
    ) -> bool {
        let window = self.window(now, rule, service);
        let allowance = (window.requests.len() as f64 * rule.ratio + own_slack) * USED_SHARE;
        record_if_within(now, &mut window.repeats, allowance)
    }

    fn window(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        service: &ServiceName,
    ) -> &mut ServiceWindow {
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.repeats, &mut window.grants] {
            while times.front().is_some_and(|time| now.since(*time) > rule.window) {
                times.pop_front();
            }
        }
        window
    }
}

/// Records one more send if the total stays within the allowance. Returns whether it was recorded.
fn record_if_within(
    now: MonotonicTime,
    sends: &mut VecDeque<MonotonicTime>,
    allowance: f64,
) -> bool {
    let is_within = (sends.len() + 1) as f64 <= allowance;
    if is_within {
        sends.push_back(now);
    }
    is_within
}
