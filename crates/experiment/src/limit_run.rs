//! Simulates how the limit of one endpoint is kept by many instances, in logical time.

use std::collections::BinaryHeap;
use std::time::Duration;

use oriolepass_limits::{
    IssuerRole, PermitAsk, PermitBucket, PermitIssuer, PermitVerdict, PermitWaiter, RequestRank,
    WaiterId,
};
use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// One way between two instances.
const ONE_WAY: Duration = Duration::from_micros(900);

/// The interval at which instances report their demand where the limit is shared by demand.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum wait before a request asks again.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The simulated time.
const RUN_TIME: Duration = Duration::from_secs(60);

/// The span over which requests are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(4);

/// How the instances keep a limit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDesign {
    /// Each instance has an equal part of the limit.
    EqualShares,
    /// Each instance has a part by the demand that it reported last.
    DemandShares,
    /// One instance issues a permit for each request.
    Permits,
}

impl LimitDesign {
    /// All designs, with the name of each.
    pub const ALL: [(Self, &'static str); 3] = [
        (Self::EqualShares, "equal shares"),
        (Self::DemandShares, "shares by demand"),
        (Self::Permits, "permits"),
    ];
}

/// A run: instances with callers, and an endpoint with a limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitPlan {
    /// The instances.
    pub instances: usize,
    /// The requests per second that the endpoint takes.
    pub limit: f64,
    /// The requests per second of all callers, as a multiple of the limit.
    pub load: f64,
    /// How long a request can wait.
    pub patience: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// The result of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitResult {
    /// The maximum number of requests at the endpoint in four seconds, as a share of the users'
    /// bound.
    pub most_share: f64,
    /// The part of the limit, or of the requests if they are fewer, that was used.
    pub used: f64,
    /// Messages between instances per request.
    pub messages: f64,
}

/// An ask of a request. The latest times are the greatest in a heap, so times are reversed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DueAsk {
    at: std::cmp::Reverse<MonotonicTime>,
    number: u64,
    instance: usize,
    deadline: MonotonicTime,
}

/// Runs a design.
///
/// # Panics
///
/// Panics if the limit of the plan is not a rate.
pub fn run_limit(design: LimitDesign, plan: &LimitPlan) -> LimitResult {
    let mut state = LimitRun::new(plan);
    let mut due = arrivals(plan);
    let arrived = due.len();
    while let Some(ask) = due.pop() {
        let now = ask.at.0;
        state.report_demand(design, now, ask.instance);
        let wait = match design {
            LimitDesign::Permits => state.ask_home(now, &ask),
            _ => state.take_share(now, &ask),
        };
        match wait {
            Some(Duration::ZERO) => state.sent.push(now),
            Some(wait) if now + wait <= ask.deadline => {
                due.push(DueAsk { at: std::cmp::Reverse(now + wait), ..ask });
            }
            _ => {}
        }
    }
    state.result(arrived)
}

/// Draws the arrivals. Some instances have many more callers than others.
fn arrivals(plan: &LimitPlan) -> BinaryHeap<DueAsk> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let per_second = plan.limit * plan.load;
    let count = (per_second * RUN_TIME.as_secs_f64()) as u64;
    let ask = |number| {
        let at = MonotonicTime(random.random_range(0..RUN_TIME.as_micros() as u64));
        let skewed: f64 = random.random::<f64>().powi(3);
        let instance = (skewed * plan.instances as f64) as usize;
        DueAsk { at: std::cmp::Reverse(at), number, instance, deadline: at + plan.patience }
    };
    (0..count).map(ask).collect()
}

struct LimitRun {
    plan: LimitPlan,
    endpoint: EndpointStart,
    issuer: PermitIssuer,
    shares: Vec<PermitBucket>,
    /// The requests of each instance since its last report.
    demand: Vec<u32>,
    next_report: MonotonicTime,
    sent: Vec<MonotonicTime>,
    messages: usize,
}

impl LimitRun {
    fn new(plan: &LimitPlan) -> Self {
        let share = rate(plan.limit / plan.instances as f64);
        Self {
            plan: *plan,
            endpoint: "endpoint@1".parse().expect("a start"),
            issuer: PermitIssuer::default(),
            shares: vec![PermitBucket::empty(MonotonicTime::ZERO, share); plan.instances],
            demand: vec![0; plan.instances],
            next_report: MonotonicTime::ZERO + REPORT_INTERVAL,
            sent: Vec::new(),
            messages: 0,
        }
    }

    /// Divides the limit by what the instances asked for since the last report.
    fn report_demand(&mut self, design: LimitDesign, now: MonotonicTime, instance: usize) {
        self.demand[instance] += 1;
        if design != LimitDesign::DemandShares || now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let total: u32 = self.demand.iter().sum();
        for (share, demand) in self.shares.iter_mut().zip(&mut self.demand) {
            let part = f64::from(std::mem::take(demand)) / f64::from(total.max(1));
            share.set_rate(now, rate(self.plan.limit * part));
        }
        // Each instance reports to the one that divides, and is told its part.
        self.messages += 2 * (self.plan.instances - 1);
    }

    /// Takes a permit from the instance's own share, or returns when to ask again.
    fn take_share(&mut self, now: MonotonicTime, ask: &DueAsk) -> Option<Duration> {
        let share = &mut self.shares[ask.instance];
        let lacking = 1.0 - share.permits(now);
        if lacking <= 1e-6 {
            share.charge(now);
            return Some(Duration::ZERO);
        }
        let wait = Duration::try_from_secs_f64(lacking / share.rate().per_second()).ok()?;
        Some(wait.max(MIN_WAIT))
    }

    /// Asks the home for a permit, and returns when to ask again if there is none yet.
    fn ask_home(&mut self, now: MonotonicTime, ask: &DueAsk) -> Option<Duration> {
        // The first instance is the home.
        let is_remote = ask.instance > 0;
        self.messages += if is_remote { 2 } else { 0 };
        let way = if is_remote { ONE_WAY } else { Duration::ZERO };
        let permit_ask = PermitAsk {
            waiter: PermitWaiter {
                id: WaiterId { entry: ask.instance as u64, number: ask.number },
                rank: RequestRank::default(),
                patience: ask.deadline.since(now + way),
            },
            service: "service".parse().expect("a service"),
            endpoints: vec![self.endpoint.clone()],
            has_alternative: false,
        };
        let limit = IssuerRole::Home.rate(rate(self.plan.limit));
        match self.issuer.ask(now + way, &permit_ask, |_| Some(limit)) {
            PermitVerdict::Granted(_) => Some(Duration::ZERO),
            PermitVerdict::Wait(wait) => Some(wait.max(MIN_WAIT) + way + way),
            PermitVerdict::Refused(_) => None,
        }
    }

    fn result(mut self, arrived: usize) -> LimitResult {
        self.sent.sort_unstable();
        let until = |from: usize| {
            let end = self.sent[from] + COUNTED_SPAN;
            self.sent[from..].partition_point(|at| *at < end)
        };
        let most = (0..self.sent.len()).map(until).max().unwrap_or(0);
        let bound = self.plan.limit * 1.5 * COUNTED_SPAN.as_secs_f64() + 5.0;
        let usable = (self.plan.limit * RUN_TIME.as_secs_f64()).min(arrived as f64);
        LimitResult {
            most_share: most as f64 / bound,
            used: self.sent.len() as f64 / usable,
            messages: self.messages as f64 / arrived as f64,
        }
    }
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}
