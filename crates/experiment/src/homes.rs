//! The product's policy: one real home for each data centre.

use std::collections::HashMap;
use std::time::Duration;

use oriolepass_scheduler::{
    GrantRefusal, GrantRequest, HomeCommand, HomeDigest, HomeScheduler, LengthClass, ReleaseReason,
    SchedulerConfig, WorkTarget, rank_homes,
};
use oriolepass_schema::caller::RequestPriority;
use oriolepass_schema::endpoint::{EndpointAnnouncement, EndpointHeartbeat, EndpointKind};
use oriolepass_schema::operator::PoolRole;
use oriolepass_units::{
    AccountId, AttemptId, DataCentreId, Incarnation, InstanceId, MonotonicTime, TokenCount,
};

use crate::farm::{EngineFarm, PlacedPrompt, engine_config};
use crate::mix::{Arrival, LoadMix};

/// How old a digest is when an entry uses it, at most.
const DIGEST_EVERY: Duration = Duration::from_millis(200);

/// Homes with their engines.
pub struct HomesPolicy {
    homes: Vec<HomeScheduler>,
    digests: Vec<HomeDigest>,
    digests_due: MonotonicTime,
    home_of: HashMap<usize, usize>,
    data_centres: usize,
    next_attempt: u64,
    attempts: HashMap<usize, AttemptId>,
    requests: HashMap<AttemptId, usize>,
    seed_entry: usize,
    /// Requests that a home refused, and whether another try may help.
    refused: Vec<(usize, bool)>,
}

fn data_centre(number: usize) -> DataCentreId {
    format!("dc-{number}").parse().expect("a valid name")
}

fn instance(number: usize) -> InstanceId {
    format!("home-{number}").parse().expect("a valid name")
}

fn account(number: usize) -> AccountId {
    format!("account-{number}").parse().expect("a valid name")
}

fn model() -> WorkTarget {
    WorkTarget::Model("oriole-large".parse().expect("a valid name"))
}

impl HomesPolicy {
    /// Creates the homes and takes the engines in.
    pub fn new(mix: &LoadMix, config: &SchedulerConfig) -> Self {
        let mut homes: Vec<HomeScheduler> =
            (0..mix.data_centres).map(|_| HomeScheduler::new(config.clone())).collect();
        for home in &mut homes {
            for (number, entry) in mix.accounts.iter().enumerate() {
                home.set_share(&account(number), entry.share, None);
            }
        }
        let mut policy = Self {
            homes,
            digests: Vec::new(),
            digests_due: MonotonicTime::ZERO,
            home_of: HashMap::new(),
            data_centres: mix.data_centres,
            next_attempt: 0,
            attempts: HashMap::new(),
            requests: HashMap::new(),
            seed_entry: 0,
            refused: Vec::new(),
        };
        for engine in 0..mix.engines {
            policy.take_in(engine);
        }
        policy
    }

    fn take_in(&mut self, engine: usize) {
        let config = engine_config();
        let announcement = EndpointAnnouncement {
            endpoint: format!("{engine}").parse().expect("a valid name"),
            incarnation: Incarnation(1),
            data_centre: data_centre(engine % self.data_centres),
            address: "127.0.0.1:1".parse().expect("an address"),
            fenced: true,
            other_home_ms: None,
            kind: EndpointKind::Engine {
                models: config.models,
                memory: config.memory,
                prefill_rate: config.prefill_rate,
            },
        };
        let home = &mut self.homes[engine % self.data_centres];
        let now = MonotonicTime::ZERO;
        home.announce(now, &announcement, PoolRole::General);
        home.held_streams(now, now, &announcement.endpoint, &[]);
        let _ = home.take_commands();
    }

    pub(crate) fn submit(&mut self, now: MonotonicTime, request: usize, arrival: &Arrival) {
        if now >= self.digests_due {
            self.digests_due = now + DIGEST_EVERY;
            let digest = |(number, home): (usize, &HomeScheduler)| {
                home.digest(&instance(number), &data_centre(number))
            };
            self.digests = self.homes.iter().enumerate().map(digest).collect();
        }
        self.next_attempt += 1;
        let attempt: AttemptId = format!("a-{}", self.next_attempt).parse().expect("a valid id");
        self.attempts.insert(request, attempt.clone());
        self.requests.insert(attempt.clone(), request);
        self.seed_entry += 1;
        let entry = self.seed_entry % self.data_centres;
        let ask = GrantRequest {
            attempt,
            entry: instance(entry),
            account: account(arrival.account),
            target: model(),
            prompt: TokenCount(arrival.prompt),
            answer: TokenCount(arrival.answer),
            priority: RequestPriority::Normal,
            patience: Duration::from_secs(3_600),
            prefix: Vec::new(),
            exclude: Vec::new(),
        };
        let ranked = rank_homes(&ask, &data_centre(entry), self.digests.iter());
        let home = ranked
            .first()
            .map_or(entry, |home| home.as_str()["home-".len()..].parse().expect("a number"));
        self.home_of.insert(request, home);
        self.homes[home].request_grant(now, ask);
    }

    pub(crate) fn first_token(&mut self, now: MonotonicTime, request: usize) {
        let (home, attempt) = (self.home_of[&request], &self.attempts[&request]);
        self.homes[home].started(now, attempt);
    }

    pub(crate) fn ended(&mut self, now: MonotonicTime, request: usize, answer: u64) {
        let (home, attempt) = (self.home_of[&request], self.attempts[&request].clone());
        let reason = ReleaseReason::Ended { tokens: TokenCount(answer) };
        self.homes[home].release(now, &attempt, reason);
    }

    /// Notes that a request's engine died; it will be submitted again.
    pub(crate) fn lost(&mut self, now: MonotonicTime, request: usize) {
        let (home, attempt) = (self.home_of[&request], self.attempts[&request].clone());
        self.homes[home].release(now, &attempt, ReleaseReason::Abandoned);
    }

    /// What happens regularly: heartbeats, renewals, the homes' ticks.
    pub(crate) fn tick(&mut self, now: MonotonicTime, farm: &EngineFarm, engines: usize) {
        for engine in (0..engines).filter(|engine| farm.is_alive(*engine)) {
            let heartbeat = EndpointHeartbeat {
                endpoint: format!("{engine}").parse().expect("a valid name"),
                incarnation: Incarnation(1),
                used: TokenCount::ZERO,
                prefill_backlog: TokenCount::ZERO,
                streams: 0,
            };
            let _ = self.homes[engine % self.data_centres].heartbeat(now, &heartbeat);
        }
        let attempts: Vec<AttemptId> = self.requests.keys().cloned().collect();
        for home in &mut self.homes {
            (0..self.data_centres).for_each(|entry| {
                home.renew(now, &instance(entry), &attempts);
            });
            home.tick(now);
        }
    }

    /// Returns what the homes decided since the last call.
    pub(crate) fn take_starts(&mut self, now: MonotonicTime) -> Vec<PlacedPrompt> {
        let mut starts = Vec::new();
        for home in &mut self.homes {
            for command in home.take_commands() {
                match command {
                    HomeCommand::Grant(grant) => {
                        let number = |m: &oriolepass_scheduler::GrantedEndpoint| {
                            m.endpoint.as_str().parse().expect("a number")
                        };
                        let members =
                            grant.members.iter().map(|m| (number(m), m.reserved.0)).collect();
                        let request = self.requests[&grant.attempt];
                        starts.push(PlacedPrompt { request, members, priority: grant.priority });
                    }
                    // Parts of a group are free as soon as the leading engine has ended here.
                    HomeCommand::Cancel { endpoint, .. } => {
                        home.held_streams(now, now, &endpoint, &[]);
                    }
                    HomeCommand::Refuse { attempt, refusal } => {
                        let final_answer = matches!(
                            refusal,
                            GrantRefusal::Busy { .. } | GrantRefusal::AccountBusy { .. }
                        );
                        self.refused.push((self.requests[&attempt], !final_answer));
                    }
                    HomeCommand::Inspect { .. } => {}
                }
            }
        }
        starts
    }

    /// Returns the requests refused since the last call, and whether another try may help.
    pub(crate) fn take_refused(&mut self) -> Vec<(usize, bool)> {
        std::mem::take(&mut self.refused)
    }

    pub(crate) fn forget(&mut self, request: usize) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.requests.remove(&attempt);
        }
        self.home_of.remove(&request);
    }

    /// Returns the class of a prompt, for the reports.
    pub fn class(prompt: u64) -> LengthClass {
        LengthClass::of(TokenCount(prompt))
    }
}
