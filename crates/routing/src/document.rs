//! The parts of a routing document and the checks that it must pass.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oriolepass_units::{AccountId, ServiceName};
use thiserror::Error;

use crate::register::RoutingRevision;

/// What may happen to a request after it has been sent to an endpoint once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// Its answer is a stream of events, which may go on at another endpoint after the last
    /// event that the caller has.
    ResumableStream,
    /// Its answer is a stream of events, and it may run at most once.
    Stream,
}

impl RepeatRule {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Returns whether the request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service with its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other weights of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSpec {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The beginning of the paths that it serves.
    pub path_prefix: String,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub pause_objective: Option<Duration>,
    /// The most endpoints that one request may run on.
    pub max_attempts: u32,
    /// Its rank; 0 is the most important.
    pub priority: u8,
    /// The services that serve it.
    pub split: Vec<WeightedService>,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// How an engine works, as its operators publish it. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// The least time of one step, which makes one token for each request that writes.
    pub step_ms: f64,
    /// Added to a step for each request that writes.
    pub step_ms_per_decoding_request: f64,
    /// Added to a step for each 1,000 tokens of context of a request that writes.
    pub step_ms_per_context_k: f64,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Added to reading for each million pairs of a prompt token and an earlier one.
    pub prefill_ms_per_million_pairs: f64,
    /// The most prompt tokens that are read beside one step.
    pub prefill_tokens_per_step: u64,
    /// Steps in a pass during which some request writes.
    pub steps_per_pass: u32,
    /// How old an engine's report of itself may be.
    pub report_lag_ms: f64,
    /// Added to a step for a request whose prompt was read by several engines.
    pub group_step_ms: f64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// The path of its health check.
    pub health_path: String,
    /// Connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// How its engines work, where its endpoints are engines.
    pub engine: Option<EngineProfile>,
    /// The limit on requests to its cold endpoints, if any.
    pub cold_start: Option<ColdStart>,
}

/// The limit on requests to an endpoint that is cold, as after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long an endpoint stays cold.
    pub span: Duration,
    /// Requests a second that it can take, from all instances together.
    pub max_requests_per_s: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// The longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// The time for a request's head to arrive.
    pub head_timeout: Duration,
    /// The time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// A client account with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountKeys {
    /// The account.
    pub account: AccountId,
    /// The keys that its callers show.
    pub keys: Vec<String>,
    /// Its rank, which goes before that of the route.
    pub priority: Option<u8>,
}

/// A routing document.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingDocument {
    /// Its place in the order of documents.
    pub revision: RoutingRevision,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: IngressLimits,
    /// The client accounts; none where requests need no key at all.
    pub accounts: Option<Vec<AccountKeys>>,
}

/// The reason that a document was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DocumentProblem {
    /// It cannot be read.
    #[error("the document cannot be read: {0}; send it whole and in the published form")]
    Unreadable(String),
    /// A route leads to a service that is not in the document.
    #[error("route {route} names the unknown service {service}; add the service or correct it")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// Two routes serve the same paths of one host.
    #[error("routes {first} and {second} share a host and a prefix; remove or change one")]
    SamePlace {
        /// The route that stands first.
        first: String,
        /// The other.
        second: String,
    },
    /// No service of a route has a weight.
    #[error("the weights of route {0} add up to 0; give one of its services a weight")]
    NoWeight(String),
    /// A route gives its requests no time.
    #[error("the timeout of route {0} is 0; give at least 1 ms")]
    NoTimeout(String),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash; add what is missing")]
    BadPrefix(String),
    /// Two accounts hold the same key.
    #[error("the accounts {first} and {second} share a key; give each its own")]
    SharedKey {
        /// The account that stands first.
        first: AccountId,
        /// The other.
        second: AccountId,
    },
}

impl RoutingDocument {
    /// Checks what can be wrong with a document that could be read.
    ///
    /// # Errors
    ///
    /// Returns the first problem.
    pub fn check(&self) -> Result<(), DocumentProblem> {
        let services: HashSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut places = HashMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let place = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if let Some(first) = places.insert(place, route) {
                let (first, second) = (first.name.clone(), route.name.clone());
                return Err(DocumentProblem::SamePlace { first, second });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), DocumentProblem> {
        let mut holders: HashMap<&str, &AccountId> = HashMap::new();
        for account in self.accounts.iter().flatten() {
            for key in &account.keys {
                let before = holders.insert(key, &account.account);
                if let Some(first) = before.filter(|first| **first != account.account) {
                    let (first, second) = (first.clone(), account.account.clone());
                    return Err(DocumentProblem::SharedKey { first, second });
                }
            }
        }
        Ok(())
    }
}

fn check_route(route: &RouteSpec, services: &HashSet<&ServiceName>) -> Result<(), DocumentProblem> {
    let unknown = route.split.iter().find(|part| !services.contains(&part.service));
    if let Some(part) = unknown {
        let (route, service) = (route.name.clone(), part.service.clone());
        return Err(DocumentProblem::UnknownService { route, service });
    }
    if route.split.iter().all(|part| part.weight == 0) {
        return Err(DocumentProblem::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(DocumentProblem::NoTimeout(route.name.clone()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(DocumentProblem::BadPrefix(route.name.clone()));
    }
    Ok(())
}
