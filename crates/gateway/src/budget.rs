//! The budget for repeated sends.
//!
//! All daemons share one allowance for each service: a part of the requests for it plus a fixed
//! number in a window. Each daemon uses its own part without asking: the ratio of its own
//! requests, and the fixed number divided by the daemons heard. A safety factor covers daemons
//! that see different numbers of others for a while.
//!
//! With many daemons, the divided fixed number is less than one repeated send each. In tiers it is
//! therefore divided among the hubs only, which grant repeated sends to their leaves.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oriolepass_units::{MonotonicTime, ServiceName};

/// The part of the allowance that is used. The rest covers windows that lie otherwise, requests
/// that another daemon counted, and daemons that were not heard for a while.
const USED_SHARE: f64 = 0.7;

/// The allowance of one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRule {
    /// Repeated sends as a part of the requests.
    pub ratio: f64,
    /// Repeated sends beside that, over all daemons.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<MonotonicTime>,
    repeats: VecDeque<MonotonicTime>,
    /// Repeated sends that this hub granted to its leaves and to itself.
    grants: VecDeque<MonotonicTime>,
}

/// Counts requests and repeated sends by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: HashMap<ServiceName, ServiceWindow>,
}

impl RetryBudget {
    /// Counts a caller's request.
    pub fn count_request(&mut self, now: MonotonicTime, rule: &BudgetRule, service: &ServiceName) {
        let window = self.window(now, rule, service);
        window.requests.push_back(now);
    }

    /// Takes one repeated send out of the budget; returns whether there was one.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        daemons: usize,
        service: &ServiceName,
    ) -> bool {
        self.take_with_slack(now, rule, rule.slack / daemons.max(1) as f64, service)
    }

    /// Takes one repeated send out of the ratio of this daemon's requests; returns whether there was
    /// one.
    pub fn take_from_ratio(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        service: &ServiceName,
    ) -> bool {
        self.take_with_slack(now, rule, 0.0, service)
    }

    /// Takes one repeated send out of this hub's part of the fixed number; returns whether there
    /// was one.
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
            while times.front().is_some_and(|at| now.since(*at) > rule.window) {
                times.pop_front();
            }
        }
        window
    }
}

/// Records one more send if the total stays within the allowance; returns whether it does.
fn record_if_within(
    now: MonotonicTime,
    sends: &mut VecDeque<MonotonicTime>,
    allowance: f64,
) -> bool {
    let fits = (sends.len() + 1) as f64 <= allowance;
    if fits {
        sends.push_back(now);
    }
    fits
}
