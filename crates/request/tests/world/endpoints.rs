//! Engines and a plain service with ledgers of what they ran.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_schema::endpoint::{EndpointAnnouncement, EndpointHeartbeat, EndpointKind};
use oriolepass_standin::{EngineConfig, EngineModel};
use oriolepass_units::{AttemptId, Incarnation, MonotonicTime, TokenCount, TokenRate};

pub const MODEL: &str = "m";
pub const SERVICE: &str = "s";

/// An engine that can die.
pub struct TestEngine {
    pub number: usize,
    pub model: EngineModel,
    pub incarnation: u64,
    pub alive: bool,
    /// The home that it heartbeats to.
    pub home: Option<usize>,
    pub last_heartbeat: Option<MonotonicTime>,
    pub stepping: bool,
    /// Who reads each attempt's answer.
    pub readers: BTreeMap<AttemptId, usize>,
    /// Attempts that began here, in any life.
    pub began: BTreeMap<AttemptId, u64>,
}

fn config() -> EngineConfig {
    EngineConfig {
        models: vec![MODEL.parse().expect("a name")],
        memory: TokenCount(20_000),
        prefill_rate: TokenRate(50_000),
        step_base: Duration::from_millis(5),
        step_tokens: 1_000,
        ..EngineConfig::default()
    }
}

impl TestEngine {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            model: EngineModel::new(config()),
            incarnation: 1,
            alive: true,
            home: None,
            last_heartbeat: None,
            stepping: false,
            readers: BTreeMap::new(),
            began: BTreeMap::new(),
        }
    }

    pub fn announcement(&self, now: MonotonicTime) -> EndpointAnnouncement {
        EndpointAnnouncement {
            endpoint: format!("e-{}", self.number).parse().expect("a name"),
            incarnation: Incarnation(self.incarnation),
            data_centre: "dc".parse().expect("a name"),
            address: format!("127.0.0.1:{}", self.number + 1).parse().expect("an address"),
            fenced: true,
            other_home_ms: self
                .last_heartbeat
                .map(|at| u64::try_from(now.since(at).as_millis()).expect("short")),
            kind: EndpointKind::Engine {
                models: self.model.config().models.clone(),
                memory: self.model.config().memory,
                prefill_rate: self.model.config().prefill_rate,
            },
        }
    }

    pub fn heartbeat(&self) -> EndpointHeartbeat {
        EndpointHeartbeat {
            endpoint: format!("e-{}", self.number).parse().expect("a name"),
            incarnation: Incarnation(self.incarnation),
            used: self.model.used(),
            prefill_backlog: TokenCount::ZERO,
            streams: 0,
        }
    }

    pub fn die(&mut self) {
        self.alive = false;
        self.model = EngineModel::new(config());
        self.readers.clear();
        self.stepping = false;
    }

    pub fn revive(&mut self) {
        if !self.alive {
            self.alive = true;
            self.incarnation += 1;
            self.home = None;
            self.last_heartbeat = None;
        }
    }
}

/// A plain service that never dies, whose answers may get lost.
pub struct TestService {
    /// How often each body was run.
    pub runs: BTreeMap<String, u32>,
    /// The attempts that were run.
    pub began: BTreeMap<AttemptId, String>,
}

impl TestService {
    pub fn new() -> Self {
        Self { runs: BTreeMap::new(), began: BTreeMap::new() }
    }

    pub fn announcement() -> EndpointAnnouncement {
        EndpointAnnouncement {
            endpoint: "service".parse().expect("a name"),
            incarnation: Incarnation(1),
            data_centre: "dc".parse().expect("a name"),
            address: "127.0.0.1:99".parse().expect("an address"),
            fenced: false,
            other_home_ms: None,
            kind: EndpointKind::Service {
                service: SERVICE.parse().expect("a name"),
                concurrency: 8,
            },
        }
    }

    pub fn run(&mut self, attempt: &AttemptId, body: &str) {
        *self.runs.entry(body.to_owned()).or_default() += 1;
        self.began.insert(attempt.clone(), body.to_owned());
    }
}
