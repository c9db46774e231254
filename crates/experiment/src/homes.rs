//! Places prompts by the product's policy: a [`HomeScheduler`] for each data centre.

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

/// Interval between digests of the homes, and so the maximum age of a digest that an entry uses.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// The homes, the daemons that schedule the engines of a data centre, and their open requests.
pub struct HomesPolicy {
    homes: Vec<HomeScheduler>,
    digests: Vec<HomeDigest>,
    digests_due: MonotonicTime,
    /// The home of each request.
    home_of: HashMap<usize, usize>,
    data_centres: usize,
    next_attempt: u64,
    attempts: HashMap<usize, AttemptId>,
    requests: HashMap<AttemptId, usize>,
    entry_counter: usize,
    /// Refused requests, and whether a retry may succeed.
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
    /// Creates the homes and announces the engines to them.
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
            entry_counter: 0,
            refused: Vec::new(),
        };
        for engine in 0..mix.engines {
            policy.announce_engine(engine);
        }
        policy
    }

    fn announce_engine(&mut self, engine: usize) {
        let config = engine_config();
        let announcement = EndpointAnnouncement {
            endpoint: format!("{engine}").parse().expect("a valid name"),
            incarnation: Incarnation(1),
            data_centre: data_centre(engine % self.data_centres),
            address: "127.0.0.1:1".parse().expect("a valid address"),
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
            self.digests_due = now + DIGEST_INTERVAL;
            let digest = |(number, home): (usize, &HomeScheduler)| {
                home.digest(&instance(number), &data_centre(number))
            };
            self.digests = self.homes.iter().enumerate().map(digest).collect();
        }
        self.next_attempt += 1;
        let attempt: AttemptId = format!("a-{}", self.next_attempt).parse().expect("a valid id");
        self.attempts.insert(request, attempt.clone());
        self.requests.insert(attempt.clone(), request);
        self.entry_counter += 1;
        let entry = self.entry_counter % self.data_centres;
        let grant_request = GrantRequest {
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
        let ranked = rank_homes(&grant_request, &data_centre(entry), self.digests.iter());
        let home = ranked.first().map_or(entry, |home| {
            home.as_str()["home-".len()..].parse().expect("the id ends in the home's number")
        });
        self.home_of.insert(request, home);
        self.homes[home].request_grant(now, grant_request);
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

    /// Releases a request whose engine has stopped. The caller submits the request again.
    pub(crate) fn engine_lost(&mut self, now: MonotonicTime, request: usize) {
        let (home, attempt) = (self.home_of[&request], self.attempts[&request].clone());
        self.homes[home].release(now, &attempt, ReleaseReason::Abandoned);
    }

    /// Sends the engines' heartbeats, renews the grants of open requests and ticks the homes.
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

    /// Processes the homes' commands since the previous call. Returns the granted prompts.
    pub(crate) fn take_starts(&mut self, now: MonotonicTime) -> Vec<PlacedPrompt> {
        let mut starts = Vec::new();
        for home in &mut self.homes {
            for command in home.take_commands() {
                match command {
                    HomeCommand::Grant(grant) => {
                        let number = |m: &oriolepass_scheduler::GrantedEndpoint| {
                            m.endpoint.as_str().parse().expect("the name is the engine's number")
                        };
                        let members =
                            grant.members.iter().map(|m| (number(m), m.reserved.0)).collect();
                        let request = self.requests[&grant.attempt];
                        starts.push(PlacedPrompt { request, members, priority: grant.priority });
                    }
                    // The farm has freed the parts of a group when the main engine ended, so the
                    // engine holds nothing.
                    HomeCommand::Cancel { endpoint, .. } => {
                        home.held_streams(now, now, &endpoint, &[]);
                    }
                    HomeCommand::Refuse { attempt, refusal } => {
                        let is_final = matches!(
                            refusal,
                            GrantRefusal::Busy { .. } | GrantRefusal::AccountBusy { .. }
                        );
                        self.refused.push((self.requests[&attempt], !is_final));
                    }
                    HomeCommand::Inspect { .. } => {}
                }
            }
        }
        starts
    }

    /// Returns the requests refused since the previous call, and whether a retry may succeed.
    pub(crate) fn take_refused(&mut self) -> Vec<(usize, bool)> {
        std::mem::take(&mut self.refused)
    }

    pub(crate) fn remove(&mut self, request: usize) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.requests.remove(&attempt);
        }
        self.home_of.remove(&request);
    }

    /// Returns the length class of a prompt.
    pub fn class(prompt: u64) -> LengthClass {
        LengthClass::of(TokenCount(prompt))
    }
}
