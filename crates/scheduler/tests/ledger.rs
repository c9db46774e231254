//! The home against a simple oracle: memory is never granted twice, every ask is answered once,
//! nothing is lost when all has ended, and a large prompt is not starved by small ones.

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

const MEMORY: u64 = 100_000;

/// One step.
#[derive(Debug, Clone)]
enum Step {
    Ask { account: u8, prompt: u64 },
    End { which: usize },
    Abandon { which: usize },
    Withdraw { which: usize },
    Pass { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let prompt = prop_oneof![
        6 => 10..4_000_u64,
        3 => 4_000..40_000_u64,
        1 => 40_000..230_000_u64,
    ];
    prop_oneof![
        6 => (0..5_u8, prompt).prop_map(|(account, prompt)| Step::Ask { account, prompt }),
        4 => (0..64_usize).prop_map(|which| Step::End { which }),
        1 => (0..64_usize).prop_map(|which| Step::Abandon { which }),
        1 => (0..64_usize).prop_map(|which| Step::Withdraw { which }),
        2 => (1..400_u64).prop_map(|millis| Step::Pass { millis }),
    ]
}

/// The home with engines that do what they are told.
struct TestHome {
    home: HomeScheduler,
    now: MonotonicTime,
    engines: Vec<EndpointId>,
    /// What each engine holds, by the oracle's own count.
    held: BTreeMap<EndpointId, BTreeMap<AttemptId, u64>>,
    waiting: BTreeSet<AttemptId>,
    running: Vec<AttemptId>,
    answered: BTreeSet<AttemptId>,
    next: u64,
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
            next: 0,
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
                    memory: TokenCount(MEMORY),
                    prefill_rate: TokenRate(20_000),
                },
            };
            test.home.announce(test.now, &announcement, PoolRole::General);
            test.held.insert(endpoint, BTreeMap::new());
        }
        test.carry_out();
        test
    }

    fn ask(&mut self, account: u8, prompt: u64) -> AttemptId {
        self.next += 1;
        let attempt: AttemptId = format!("a-{}", self.next).parse().expect("a valid id");
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
        self.carry_out();
        attempt
    }

    fn carry_out(&mut self) {
        loop {
            let commands = self.home.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out_one(command);
            }
        }
    }

    fn carry_out_one(&mut self, command: HomeCommand) {
        match command {
            HomeCommand::Grant(grant) => {
                assert!(self.waiting.remove(&grant.attempt), "a grant that nobody waits for");
                assert!(self.answered.insert(grant.attempt.clone()), "answered twice");
                for member in &grant.members {
                    let held = self.held.get_mut(&member.endpoint).expect("a known engine");
                    held.insert(grant.attempt.clone(), member.reserved.0);
                    let sum: u64 = held.values().sum();
                    assert!(sum <= MEMORY, "{} holds {sum}", member.endpoint);
                }
                self.running.push(grant.attempt);
            }
            HomeCommand::Refuse { attempt, .. } => {
                assert!(self.waiting.remove(&attempt), "a refusal that nobody waits for");
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
            // The leading engine is done with it by itself; the home cancels the other parts.
            for held in self.held.values_mut() {
                held.remove(&attempt);
            }
        }
        self.home.release(self.now, &attempt, reason);
        self.carry_out();
    }

    fn pass(&mut self, millis: u64) {
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
        assert!(unknown.is_empty(), "the home forgot {unknown:?}");
        self.home.tick(self.now);
        self.carry_out();
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Ask { account, prompt } => {
                self.ask(account, prompt);
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
                    self.carry_out();
                }
            }
            Step::Pass { millis } => self.pass(millis),
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

    #[test]
    fn memory_is_granted_once_and_comes_back(steps in prop::collection::vec(step(), 1..200)) {
        let mut test = TestHome::new(4);
        steps.iter().for_each(|step| test.step(step));
        // Everything that runs ends, and everything that waits gets its turn.
        let mut rounds = 0;
        while !(test.running.is_empty() && test.waiting.is_empty()) {
            rounds += 1;
            prop_assert!(rounds < 10_000, "{} never got their turn", test.waiting.len());
            test.release(0, ReleaseReason::Ended { tokens: TokenCount(100) });
            test.pass(100);
        }
        (0..100).for_each(|_| test.pass(100));
        for view in test.home.endpoint_views() {
            prop_assert_eq!(view.held, TokenCount::ZERO);
            prop_assert_eq!(view.unexplained, TokenCount::ZERO);
        }
        prop_assert_eq!(test.home.grant_count(), 0);
        prop_assert_eq!(test.home.waiting_count(), 0);
    }
}

#[test]
fn a_group_is_not_starved_by_a_stream_of_small_prompts() {
    let mut test = TestHome::new(4);
    // The engines are full of prompts that leave no room for three parts.
    for number in 0..200 {
        test.ask(number % 5, 30_000);
    }
    let large = test.ask(9, 200_000);
    let mut rounds = 0;
    while test.waiting.contains(&large) {
        rounds += 1;
        assert!(rounds < 400, "starved for {rounds} rounds");
        // One ends, another one comes: the queue never gets shorter.
        test.release(rounds, ReleaseReason::Ended { tokens: TokenCount(100) });
        test.ask(u8::try_from(rounds % 5).expect("below 5"), 30_000);
        test.pass(50);
    }
}

#[test]
fn a_small_account_is_served_beside_a_flood() {
    let mut test = TestHome::new(2);
    for _ in 0..300 {
        test.ask(0, 3_900);
    }
    let small = test.ask(1, 3_900);
    let mut ends = 0;
    while test.waiting.contains(&small) {
        ends += 1;
        assert!(ends < 10, "the small account waited for {ends} others");
        test.release(0, ReleaseReason::Ended { tokens: TokenCount(100) });
    }
}

#[test]
fn a_home_that_was_frozen_grants_nothing_on_old_heartbeats() {
    let mut test = TestHome::new(1);
    test.pass(10);
    // The home stands still while the endpoint finds another one.
    test.now = test.now + Duration::from_secs(3);
    test.ask(0, 100);
    assert!(test.running.is_empty(), "a frozen home granted memory that is not its own any more");
}

#[test]
fn abandoned_memory_counts_as_held_until_the_engine_confirms() {
    let mut test = TestHome::new(1);
    test.ask(0, MEMORY * 7 / 10);
    let attempt = test.running.pop().expect("an empty engine takes it");
    // The connection broke: the engine may still hold everything.
    test.home.release(test.now, &attempt, ReleaseReason::Abandoned);
    let commands = test.home.take_commands();
    assert!(matches!(commands.as_slice(), [HomeCommand::Cancel { .. }]), "{commands:?}");
    let next = test.ask(0, MEMORY * 7 / 10);
    assert!(test.waiting.contains(&next), "memory was granted that the engine may still hold");
    // A list asked for before the cancellation proves nothing; one asked for after it does.
    let endpoint = test.engines[0].clone();
    let earlier = test.now - Duration::from_millis(1);
    test.home.held_streams(test.now, earlier, &endpoint, &[]);
    test.held.get_mut(&endpoint).expect("known").clear();
    test.carry_out();
    assert!(test.waiting.contains(&next), "an old list freed memory");
    test.home.held_streams(test.now, test.now, &endpoint, &[]);
    test.carry_out();
    assert!(!test.waiting.contains(&next), "confirmed memory was not given out");
}
