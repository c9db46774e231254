//! Limits repeated sends of requests with a retry budget for each service.
//!
//! All daemons share one allowance for each service: a ratio of the service's requests plus a fixed
//! number in a window. Each daemon uses its part without coordination: the ratio of its own
//! requests, and the fixed number divided by the number of daemons that it knows. Silent daemons
//! count as well: they may be alive on the other side of a partition and use their part.
//!
//! A daemon that has just started knows neither what it spent before nor all other daemons. Until a
//! whole window has passed it uses a small part of its share, which grows with its uptime, so that
//! restarts in series together use no more than one daemon's whole share. The same holds after a
//! change of its role. A daemon that started during a partition, on a side without a majority of the
//! voters, may know few others however long it runs. It uses nothing of the fixed number until it has
//! been in touch with a majority, which only one side has.
//!
//! With many daemons, the divided fixed number is less than one repeated send per daemon. In a
//! tiered cluster the fixed number is therefore divided among the hubs only, and the hubs grant
//! repeated sends to their leaves.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oriolepass_units::{MonotonicTime, ServiceName};

/// The part of the allowance that is used. The rest covers restarts, windows that are not aligned
/// between daemons, requests that another daemon counted, and daemons that are not known yet.
const USED_SHARE: f64 = 0.7;

/// The part of the fixed number that is used at the end of the first window. What a daemon spent
/// before a restart, and all that it spends in the lives of one window, stay within the sum of this
/// and [`USED_SHARE`].
const STARTING_SHARE: f64 = 0.2;

/// The share of a window after a restart in which nothing of the fixed number is used, because a
/// daemon may not have met most of the others yet and its share is not known. A system that starts
/// for the first time has met before it is ready.
const MEETING_SHARE: f64 = 0.1;

/// The minimum interval between two reports of refused sends.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

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

/// Whether a process may have used the budget before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessStart {
    /// The whole system starts for the first time, so no process has used anything.
    First,
    /// An earlier process of this daemon may have used its whole share.
    Later,
}

/// What a daemon has used of a service's allowance in the present window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetUse {
    /// Requests from callers.
    pub requests: usize,
    /// Repeated sends of this daemon.
    pub repeats: usize,
    /// Repeated sends that this hub granted.
    pub grants: usize,
    /// The part of this daemon's share of the fixed number that it may use at present.
    pub fixed_share: f64,
}

/// Counts requests and repeated sends by service and enforces the allowance.
#[derive(Debug)]
pub struct RetryBudget {
    services: HashMap<ServiceName, ServiceWindow>,
    start: ProcessStart,
    started: MonotonicTime,
    /// Whether this daemon has been in touch with a majority of the voters since its start.
    has_met_majority: bool,
    /// The time since which this daemon holds back its share of the fixed number: its start, or the
    /// last change of its role.
    held_back_since: Option<MonotonicTime>,
    /// When refused sends were last reported.
    reported: Option<MonotonicTime>,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started`.
    pub fn new(started: MonotonicTime, start: ProcessStart) -> Self {
        let held_back_since = (start == ProcessStart::Later).then_some(started);
        let has_met_majority = start == ProcessStart::First;
        Self {
            services: HashMap::new(),
            start,
            started,
            has_met_majority,
            held_back_since,
            reported: None,
        }
    }

    /// Records that the whole system starts for the first time, so that nothing of the budget was used
    /// before this process started.
    pub fn confirm_first_start(&mut self) {
        self.start = ProcessStart::First;
        self.has_met_majority = true;
        self.held_back_since = None;
    }

    /// Records that a majority of the voters was reached at `at`, by this daemon or by a hub that it
    /// asked. A hub without links may report a time before this daemon's start.
    pub fn record_majority(&mut self, at: MonotonicTime) {
        self.has_met_majority |= at >= self.started;
    }

    /// Records that this daemon takes its share in another role from now on, as a part of a mesh, a
    /// hub or a leaf. It and others may have used their shares in the roles before.
    pub fn change_role(&mut self, now: MonotonicTime, rule: &BudgetRule) {
        let is_first_meeting =
            self.start == ProcessStart::First && now.since(self.started) < rule.window;
        if !is_first_meeting {
            self.held_back_since = Some(now);
        }
    }

    /// Returns what was used of a service's allowance, if a report of refused sends is due.
    pub fn refusal_report(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        service: &ServiceName,
    ) -> Option<BudgetUse> {
        if self.reported.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return None;
        }
        self.reported = Some(now);
        let fixed_share = self.fixed_share(now, rule.window);
        let window = self.window(now, rule, service);
        Some(BudgetUse {
            requests: window.requests.len(),
            repeats: window.repeats.len(),
            grants: window.grants.len(),
            fixed_share,
        })
    }

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
        let share = self.fixed_share(now, rule.window);
        self.take_with_fixed(now, rule, rule.slack / daemons.max(1) as f64 * share, service)
    }

    /// Takes one repeated send from the ratio of this daemon's requests, without the fixed number.
    /// Returns whether the ratio allowed it.
    pub fn take_from_ratio(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        service: &ServiceName,
    ) -> bool {
        self.take_with_fixed(now, rule, 0.0, service)
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
        let share = self.fixed_share(now, rule.window);
        let allowance = rule.slack / hubs.max(1) as f64 * share;
        record_if_within(now, &mut self.window(now, rule, service).grants, allowance)
    }

    fn take_with_fixed(
        &mut self,
        now: MonotonicTime,
        rule: &BudgetRule,
        fixed: f64,
        service: &ServiceName,
    ) -> bool {
        let window = self.window(now, rule, service);
        let allowance = window.requests.len() as f64 * rule.ratio * USED_SHARE + fixed;
        record_if_within(now, &mut window.repeats, allowance)
    }

    /// Returns the part of this daemon's share of the fixed number that it may use at present.
    fn fixed_share(&self, now: MonotonicTime, window: Duration) -> f64 {
        if !self.has_met_majority {
            return 0.0;
        }
        let Some(since) = self.held_back_since else { return USED_SHARE };
        let windows = now.since(since).as_secs_f64() / window.as_secs_f64();
        if windows < MEETING_SHARE {
            0.0
        } else if windows < 1.0 {
            STARTING_SHARE * windows
        } else {
            USED_SHARE
        }
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
