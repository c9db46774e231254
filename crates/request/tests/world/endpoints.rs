//! Stand-in engines and a plain service that record the attempts that they ran.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_schema::endpoint::{EndpointAnnouncement, EndpointHeartbeat, EndpointKind};
use oriolepass_standin::{EngineConfig, EngineModel};
use oriolepass_units::{AttemptId, Incarnation, MonotonicTime, TokenCount, TokenRate};

pub const MODEL: &str = "m";
pub const SERVICE: &str = "s";

/// An engine that can crash and restart.
pub struct TestEngine {
    pub number: usize,
    pub model: EngineModel,
    pub incarnation: u64,
    pub alive: bool,
    /// Home that receives the engine's heartbeats.
    pub home: Option<usize>,
    pub last_heartbeat: Option<MonotonicTime>,
    pub stepping: bool,
    /// Request that reads the answer of each attempt.
    pub readers: BTreeMap<AttemptId, usize>,
    /// Number of times that each attempt began here, over all incarnations.
    pub began: BTreeMap<AttemptId, u64>,
}

fn config() -> EngineConfig {
    EngineConfig {
        models: vec![MODEL.parse().expect("valid name")],
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
            endpoint: format!("e-{}", self.number).parse().expect("valid name"),
            incarnation: Incarnation(self.incarnation),
            data_centre: "dc".parse().expect("valid name"),
            address: format!("127.0.0.1:{}", self.number + 1).parse().expect("valid address"),
            fenced: true,
            other_home_ms: self.last_heartbeat.map(|at| {
                u64::try_from(now.since(at).as_millis()).expect("the interval fits in u64")
            }),
            kind: EndpointKind::Engine {
                models: self.model.config().models.clone(),
                memory: self.model.config().memory,
                prefill_rate: self.model.config().prefill_rate,
            },
        }
    }

    pub fn heartbeat(&self) -> EndpointHeartbeat {
        EndpointHeartbeat {
            endpoint: format!("e-{}", self.number).parse().expect("valid name"),
            incarnation: Incarnation(self.incarnation),
            used: self.model.used(),
            prefill_backlog: TokenCount::ZERO,
            streams: 0,
        }
    }

    pub fn crash(&mut self) {
        self.alive = false;
        self.model = EngineModel::new(config());
        self.readers.clear();
        self.stepping = false;
    }

    pub fn restart(&mut self) {
        if !self.alive {
            self.alive = true;
            self.incarnation += 1;
            self.home = None;
            self.last_heartbeat = None;
        }
    }
}

/// A plain service that never crashes. Its answers may be lost.
pub struct TestService {
    /// Number of times that each body was run.
    pub runs: BTreeMap<String, u32>,
    /// Attempts that were run, with their bodies.
    pub began: BTreeMap<AttemptId, String>,
}

impl TestService {
    pub fn new() -> Self {
        Self { runs: BTreeMap::new(), began: BTreeMap::new() }
    }

    pub fn announcement() -> EndpointAnnouncement {
        EndpointAnnouncement {
            endpoint: "service".parse().expect("valid name"),
            incarnation: Incarnation(1),
            data_centre: "dc".parse().expect("valid name"),
            address: "127.0.0.1:99".parse().expect("valid address"),
            fenced: false,
            other_home_ms: None,
            kind: EndpointKind::Service {
                service: SERVICE.parse().expect("valid name"),
                concurrency: 8,
            },
        }
    }

    pub fn run(&mut self, attempt: &AttemptId, body: &str) {
        *self.runs.entry(body.to_owned()).or_default() += 1;
        self.began.insert(attempt.clone(), body.to_owned());
    }
}
