//! The budget for repeated sends.
//!
//! All daemons share one allowance for each service: a part of the requests for it plus a fixed
//! number in a window. Each daemon uses its own part without asking: the ratio of its own
//! requests, and the fixed number divided by the daemons heard. A safety factor covers daemons
//! that see different numbers of others for a while.

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
        let window = self.window(now, rule, service);
        let own_slack = rule.slack / daemons.max(1) as f64;
        let allowance = (window.requests.len() as f64 * rule.ratio + own_slack) * USED_SHARE;
        let fits = (window.repeats.len() + 1) as f64 <= allowance;
        if fits {
            window.repeats.push_back(now);
        }
        fits
    }

    fn window(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        service: &ServiceName,
    ) -> &mut ServiceWindow {
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > rule.window) {
                times.pop_front();
            }
        }
        window
    }
}
