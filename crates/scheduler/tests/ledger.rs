//! Compares the home with a simple model of the engines: memory is never granted twice, every
//! request is answered once, no memory stays held after all work has ended, and small prompts do
//! not starve a large prompt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_scheduler::{
    GrantRequest, HomeCommand, HomeScheduler, ReleaseReason, SchedulerConfig, WorkTarget,
};
use oriolepass_schema::caller::RequestPriority;
use oriolepass_schema::endpoint::{
    EndpointAnnouncement, EndpointHeartbeat, EndpointKind, HeldStream,
};
use oriolepass_schema::operator::PoolRole;
use oriolepass_units::{AttemptId, EndpointId, Incarnation, MonotonicTime, TokenCount, TokenRate};
use proptest::prelude::*;

const ENGINE_MEMORY_TOKENS: u64 = 100_000;

/// One step of a random run.
#[derive(Debug, Clone)]
enum Step {
    Request { account: u8, prompt: u64 },
    End { which: usize },
    Abandon { which: usize },
    Withdraw { which: usize },
    Advance { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let prompt = prop_oneof![
        6 => 10..4_000_u64,
        3 => 4_000..40_000_u64,
        1 => 40_000..230_000_u64,
    ];
    prop_oneof![
        6 => (0..5_u8, prompt).prop_map(|(account, prompt)| Step::Request { account, prompt }),
        4 => (0..64_usize).prop_map(|which| Step::End { which }),
        1 => (0..64_usize).prop_map(|which| Step::Abandon { which }),
        1 => (0..64_usize).prop_map(|which| Step::Withdraw { which }),
        2 => (1..400_u64).prop_map(|millis| Step::Advance { millis }),
    ]
}

/// A home with model engines that execute every command.
struct TestHome {
    home: HomeScheduler,
    now: MonotonicTime,
    engines: Vec<EndpointId>,
    /// Memory held on each engine, as counted by the model.
    held: BTreeMap<EndpointId, BTreeMap<AttemptId, u64>>,
    waiting: BTreeSet<AttemptId>,
    running: Vec<AttemptId>,
    answered: BTreeSet<AttemptId>,
    next_attempt: u64,
}

impl TestHome {
    fn new(engines: usize) -> Self {
        let mut test = Self {
            home: HomeScheduler::new(SchedulerConfig::default()),
            now: MonotonicTime(1),
            engines: (0..engines).map(|n| format!("e{n}").parse().expect("a name")).collect(),
            held: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            answered: BTreeSet::new(),
            next_attempt: 0,
        };
        for endpoint in test.engines.clone() {
            let announcement = EndpointAnnouncement {
                endpoint: endpoint.clone(),
                incarnation: Incarnation(1),
                data_centre: "dc".parse().expect("a name"),
                address: "127.0.0.1:1".parse().expect("an address"),
                fenced: true,
                other_home_ms: None,
                kind: EndpointKind::Engine {
                    models: vec!["m".parse().expect("a name")],
                    memory: TokenCount(ENGINE_MEMORY_TOKENS),
                    prefill_rate: TokenRate(20_000),
                },
            };
            test.home.announce(test.now, &announcement, PoolRole::General);
            test.held.insert(endpoint, BTreeMap::new());
        }
        test.execute_commands();
        test
    }

    fn request(&mut self, account: u8, prompt: u64) -> AttemptId {
        self.next_attempt += 1;
        let attempt: AttemptId = format!("a-{}", self.next_attempt).parse().expect("a valid id");
        self.waiting.insert(attempt.clone());
        self.home.request_grant(
            self.now,
            GrantRequest {
                attempt: attempt.clone(),
                entry: "entry".parse().expect("a name"),
                account: format!("account-{account}").parse().expect("a name"),
                target: WorkTarget::Model("m".parse().expect("a name")),
                prompt: TokenCount(prompt),
                answer: TokenCount(100),
                priority: RequestPriority::Normal,
                patience: Duration::from_secs(10_000),
                prefix: Vec::new(),
                exclude: Vec::new(),
            },
        );
        self.execute_commands();
        attempt
    }

    fn execute_commands(&mut self) {
        loop {
            let commands = self.home.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.execute(command);
            }
        }
    }

    fn execute(&mut self, command: HomeCommand) {
        match command {
            HomeCommand::Grant(grant) => {
                assert!(
                    self.waiting.remove(&grant.attempt),
                    "a grant for a request that does not wait"
                );
                assert!(self.answered.insert(grant.attempt.clone()), "answered twice");
                for member in &grant.members {
                    let held = self.held.get_mut(&member.endpoint).expect("a known engine");
                    held.insert(grant.attempt.clone(), member.reserved.0);
                    let sum: u64 = held.values().sum();
                    assert!(sum <= ENGINE_MEMORY_TOKENS, "{} holds {sum} tokens", member.endpoint);
                }
                self.running.push(grant.attempt);
            }
            HomeCommand::Refuse { attempt, .. } => {
                assert!(
                    self.waiting.remove(&attempt),
                    "a refusal for a request that does not wait"
                );
                assert!(self.answered.insert(attempt), "answered twice");
            }
            HomeCommand::Cancel { endpoint, attempt, .. } => {
                self.held.get_mut(&endpoint).expect("a known engine").remove(&attempt);
            }
            HomeCommand::Inspect { endpoint, .. } => {
                let held = &self.held[&endpoint];
                let streams: Vec<HeldStream> = held
                    .iter()
                    .map(|(attempt, size)| HeldStream {
                        attempt: attempt.clone(),
                        reserved: TokenCount(*size),
                    })
                    .collect();
                self.home.held_streams(self.now, self.now, &endpoint, &streams);
            }
        }
    }

    fn release(&mut self, which: usize, reason: ReleaseReason) {
        if self.running.is_empty() {
            return;
        }
        let attempt = self.running.swap_remove(which % self.running.len());
        if matches!(reason, ReleaseReason::Ended { .. }) {
            // The leading engine has ended the attempt itself; the home cancels the other parts.
            for held in self.held.values_mut() {
                held.remove(&attempt);
            }
        }
        self.home.release(self.now, &attempt, reason);
        self.execute_commands();
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for endpoint in &self.engines {
            let heartbeat = EndpointHeartbeat {
                endpoint: endpoint.clone(),
                incarnation: Incarnation(1),
                used: TokenCount::ZERO,
                prefill_backlog: TokenCount::ZERO,
                streams: 0,
            };
            self.home.heartbeat(self.now, &heartbeat).expect("known");
        }
        let running = self.running.clone();
        let unknown = self.home.renew(self.now, &"entry".parse().expect("a name"), &running);
        assert!(unknown.is_empty(), "the home does not know the grants {unknown:?}");
        self.home.tick(self.now);
        self.execute_commands();
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request { account, prompt } => {
                self.request(account, prompt);
            }
            Step::End { which } => {
                self.release(which, ReleaseReason::Ended { tokens: TokenCount(100) });
            }
            Step::Abandon { which } => self.release(which, ReleaseReason::Abandoned),
            Step::Withdraw { which } => {
                let attempt = self.waiting.iter().nth(which % self.waiting.len().max(1)).cloned();
                if let Some(attempt) = attempt {
                    self.waiting.remove(&attempt);
                    self.answered.insert(attempt.clone());
                    self.home.release(self.now, &attempt, ReleaseReason::NeverSent);
                    self.execute_commands();
                }
            }
            Step::Advance { millis } => self.advance(millis),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against memory that is granted twice, and against memory, grants or requests that
    // remain after all work has ended.
    #[test]
    fn memory_is_granted_once_and_freed_at_the_end(steps in prop::collection::vec(step(), 1..200)) {
        let mut test = TestHome::new(4);
        steps.iter().for_each(|step| test.step(step));
        // All running prompts end, and all waiting requests are eventually granted.
        let mut rounds = 0;
        while !(test.running.is_empty() && test.waiting.is_empty()) {
            rounds += 1;
            prop_assert!(rounds < 10_000, "{} requests were never granted", test.waiting.len());
            test.release(0, ReleaseReason::Ended { tokens: TokenCount(100) });
            test.advance(100);
        }
        (0..100).for_each(|_| test.advance(100));
        for view in test.home.endpoint_views() {
            prop_assert_eq!(view.held, TokenCount::ZERO);
            prop_assert_eq!(view.unexplained, TokenCount::ZERO);
        }
        prop_assert_eq!(test.home.grant_count(), 0);
        prop_assert_eq!(test.home.waiting_count(), 0);
    }
}

// Guards against a prompt that needs a group of engines and never finds room, because small
// prompts take all memory that becomes free.
#[test]
fn a_group_is_not_starved_by_a_stream_of_small_prompts() {
    let mut test = TestHome::new(4);
    // The engines are full, so that the three parts of the large prompt do not fit.
    for number in 0..200 {
        test.request(number % 5, 30_000);
    }
    let large = test.request(9, 200_000);
    let mut rounds = 0;
    while test.waiting.contains(&large) {
        rounds += 1;
        assert!(rounds < 400, "starved for {rounds} rounds");
        // A new request follows each end, so that the queue never becomes shorter.
        test.release(rounds, ReleaseReason::Ended { tokens: TokenCount(100) });
        test.request(u8::try_from(rounds % 5).expect("below 5"), 30_000);
        test.advance(50);
    }
}

// Guards against an order by arrival, in which one account's flood of requests delays all others.
#[test]
fn an_account_with_one_request_is_served_beside_a_flood_of_another() {
    let mut test = TestHome::new(2);
    for _ in 0..300 {
        test.request(0, 3_900);
    }
    let small = test.request(1, 3_900);
    let mut ends = 0;
    while test.waiting.contains(&small) {
        ends += 1;
        assert!(ends < 10, "the account with one request waited for {ends} other requests");
        test.release(0, ReleaseReason::Ended { tokens: TokenCount(100) });
    }
}

// Guards against a home that resumes after a suspension of its process and grants memory that
// another home may have granted meanwhile.
#[test]
fn a_suspended_home_grants_nothing_on_old_heartbeats() {
    let mut test = TestHome::new(1);
    test.advance(10);
    // The home is suspended while the endpoint moves to another home.
    test.now = test.now + Duration::from_secs(3);
    test.request(0, 100);
    assert!(
        test.running.is_empty(),
        "a suspended home granted memory that another home may have granted"
    );
}

// Guards against memory that is granted again while an engine may still hold it for an attempt
// whose connection broke.
#[test]
fn abandoned_memory_counts_as_held_until_the_engine_confirms() {
    let mut test = TestHome::new(1);
    test.request(0, ENGINE_MEMORY_TOKENS * 7 / 10);
    let attempt = test.running.pop().expect("an empty engine accepts the prompt");
    // The connection broke, so the engine may still hold the memory.
    test.home.release(test.now, &attempt, ReleaseReason::Abandoned);
    let commands = test.home.take_commands();
    assert!(matches!(commands.as_slice(), [HomeCommand::Cancel { .. }]), "{commands:?}");
    let next = test.request(0, ENGINE_MEMORY_TOKENS * 7 / 10);
    assert!(test.waiting.contains(&next), "memory was granted that the engine may still hold");
    // A list requested before the cancellation proves nothing; a list requested after it does.
    let endpoint = test.engines[0].clone();
    let earlier = test.now - Duration::from_millis(1);
    test.home.held_streams(test.now, earlier, &endpoint, &[]);
    test.held.get_mut(&endpoint).expect("known").clear();
    test.execute_commands();
    assert!(test.waiting.contains(&next), "an old list freed memory");
    test.home.held_streams(test.now, test.now, &endpoint, &[]);
    test.execute_commands();
    assert!(!test.waiting.contains(&next), "memory confirmed as free was not granted");
}
