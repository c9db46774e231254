//! Simulated environment of the randomised run: event queue, network faults and coverage counters.

mod checks;
mod deliver;
mod endpoints;
mod requests;

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_config::{ClaimAnswer, KeptAnswer, ReplicatedState};
use oriolepass_request::RetryBudget;
use oriolepass_scheduler::{
    GrantRefusal, GrantRequest, HomeScheduler, PromptGrant, ReleaseReason, SchedulerConfig,
};
use oriolepass_schema::endpoint::{AttemptCall, HeldStream, PartCall, StreamLine};
use oriolepass_units::{AttemptId, MonotonicTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use endpoints::{TestEngine, TestService};
use requests::TestRequest;

/// Duration of the phase in which faults are injected.
const FAULT_PHASE_DURATION: Duration = Duration::from_secs(20);
/// Maximum time after the fault phase until every request has ended and all memory is released.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

pub const ENGINES: usize = 3;
pub const ENTRIES: usize = 2;

oriolepass_seeds::coverage!(
    seeds,
    admitted,
    done,
    kept,
    failed_not_run,
    failed_ran,
    failed_unknown,
    ended_with_entry,
    resends,
    still_running,
    engine_crashes,
    home_crashes,
    entry_crashes,
    callers_gone,
    deadlines,
    strays,
    broken_streams,
    lost_messages,
    late_lines,
    retried,
    resumed,
    groups,
    claims_refused,
    services_run,
    orphans_cancelled,
    expired_grants,
);

/// A message or timer that becomes due.
#[derive(Debug)]
pub enum Event {
    Ask { home: usize, request: usize, ask: Box<GrantRequest> },
    Answer { request: usize, home: usize, answer: Result<PromptGrant, (AttemptId, GrantRefusal)> },
    HomeUnreachable { request: usize, attempt: AttemptId },
    Claimed { request: usize, answer: Option<ClaimAnswer> },
    Started { home: usize, attempt: AttemptId },
    Release { home: usize, attempt: AttemptId, reason: ReleaseReason },
    Part { engine: usize, call: PartCall },
    Send { request: usize, engine: usize, call: Box<AttemptCall> },
    Line { request: usize, line: StreamLine },
    SendFailed { request: usize, attempt: AttemptId, failure: oriolepass_request::SendFailure },
    ServiceCall { request: usize, attempt: AttemptId, body: String },
    ServiceAnswer { request: usize, attempt: AttemptId, kept: KeptAnswer, body: String },
    Cancel { engine: usize, attempt: AttemptId },
    Held { home: usize, engine: usize, requested_at: MonotonicTime, streams: Vec<HeldStream> },
    Step { engine: usize, incarnation: u64 },
    Deadline { request: usize },
}

pub struct World {
    seed: u64,
    random: StdRng,
    now: MonotonicTime,
    events: BTreeMap<(MonotonicTime, u64), Event>,
    serial: u64,
    state: ReplicatedState,
    homes: [HomeScheduler; 2],
    home: usize,
    quorum: bool,
    engines: Vec<TestEngine>,
    service: TestService,
    requests: Vec<TestRequest>,
    entry_epochs: [u64; ENTRIES],
    budget: RetryBudget,
    attempts: u64,
    recovering: bool,
    trace: bool,
}

fn new_home() -> HomeScheduler {
    HomeScheduler::new(SchedulerConfig {
        grant_lease: Duration::from_secs(2),
        ..SchedulerConfig::default()
    })
}

impl World {
    pub fn new(seed: u64, trace: bool) -> Self {
        let mut world = Self {
            seed,
            random: StdRng::seed_from_u64(seed),
            now: MonotonicTime(1_000_000),
            events: BTreeMap::new(),
            serial: 0,
            state: ReplicatedState::default(),
            homes: [new_home(), new_home()],
            home: 0,
            quorum: true,
            engines: (0..ENGINES).map(TestEngine::new).collect(),
            service: TestService::new(),
            requests: Vec::new(),
            entry_epochs: [0; ENTRIES],
            budget: RetryBudget::default(),
            attempts: 0,
            recovering: false,
            trace,
        };
        (0..ENTRIES).for_each(|entry| world.join_entry(entry));
        world
    }

    fn log(&self, text: impl FnOnce() -> String) {
        if self.trace {
            println!("{:>10} {}", self.now.0, text());
        }
    }

    fn fresh_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        format!("a-{}", self.attempts).parse().expect("valid attempt id")
    }

    /// Sends a message. It arrives after a random delay; during the fault phase it may be lost.
    fn post(&mut self, event: Event, coverage: &mut Coverage) {
        let lost = !self.recovering && self.random.random_bool(0.02);
        let droppable = !matches!(event, Event::Step { .. } | Event::Deadline { .. });
        if lost && droppable {
            coverage.lost_messages += 1;
            self.drop_message(event);
            return;
        }
        let slow = !self.recovering && self.random.random_bool(0.03);
        let micros = if slow {
            self.random.random_range(50_000..3_000_000)
        } else {
            self.random.random_range(200..3_000)
        };
        self.schedule(Duration::from_micros(micros), event);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    pub fn run(mut self, coverage: &mut Coverage) {
        let faults_end = self.now + FAULT_PHASE_DURATION;
        let run_ends = faults_end + RECOVERY_TIMEOUT;
        let mut tick_due = self.now;
        while self.now < run_ends {
            if !self.recovering && self.now >= faults_end {
                self.begin_recovery();
            }
            if self.now >= tick_due {
                tick_due = self.now + Duration::from_millis(50);
                self.tick(coverage);
                if !self.recovering {
                    self.random_action(coverage);
                }
            }
            let next = self.events.first_key_value().map(|((at, _), _)| *at);
            match next.filter(|at| *at <= tick_due) {
                Some(at) => {
                    self.now = self.now.max(at);
                    let (_, event) = self.events.pop_first().expect("the queue is not empty");
                    self.deliver(event, coverage);
                }
                None => self.now = tick_due,
            }
            if self.recovering && self.settled() {
                break;
            }
        }
        self.check(coverage);
        coverage.seeds += 1;
    }

    /// Ends the fault phase and restarts everything that has crashed.
    fn begin_recovery(&mut self) {
        self.recovering = true;
        self.quorum = true;
        for engine in &mut self.engines {
            engine.restart();
        }
        for entry in 0..ENTRIES {
            if self.entry_epochs[entry] == 0 {
                self.join_entry(entry);
            }
        }
    }

    /// Takes a random action: admits or resends a request, or injects or repairs a fault.
    fn random_action(&mut self, coverage: &mut Coverage) {
        match self.random.random_range(0..100) {
            0..=29 => self.admit(coverage),
            30..=36 => self.resend(coverage),
            37..=38 => self.crash_engine(coverage),
            39..=44 => {
                let engine = self.random.random_range(0..ENGINES);
                self.engines[engine].restart();
            }
            45 => self.crash_home(coverage),
            46 => self.crash_entry(coverage),
            47..=49 => self.caller_gone(coverage),
            50..=51 => self.quorum = !self.quorum,
            52..=54 => self.quorum = true,
            _ => {}
        }
    }
}
