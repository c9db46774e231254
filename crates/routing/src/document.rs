//! The types of a routing document and its validation.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oriolepass_units::{AccountId, ServiceName};
use thiserror::Error;

use crate::register::RoutingRevision;

/// Whether and how a request may be sent again after it has been sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is an event stream that another endpoint may resume after the last event that
    /// the caller has received.
    ResumableStream,
    /// The response is an event stream, and the request may run at most once.
    Stream,
}

impl RepeatRule {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Returns whether the request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The share, relative to the other weights of the route.
    pub weight: u32,
}

/// A route: the requests that it matches and how they are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSpec {
    /// The name, for logs.
    pub name: String,
    /// The value of the `Host` header that the route matches.
    pub host: String,
    /// The path prefix that the route matches.
    pub path_prefix: String,
    /// Whether and how its requests may be sent again.
    pub repeat: RepeatRule,
    /// The maximum duration of a request.
    pub timeout: Duration,
    /// The latency objective of a response, or of the first event of a stream.
    pub objective: Duration,
    /// The objective for the longest pause between two events of a stream.
    pub pause_objective: Option<Duration>,
    /// The maximum number of endpoints that one request may run on.
    pub max_attempts: u32,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services that serve the route, with their weights.
    pub split: Vec<WeightedService>,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

/// The performance model of an inference engine, as its operators publish it. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub memory_tokens: u64,
    /// Minimum time of one step, which generates one token for each request that is decoding.
    pub step_ms: f64,
    /// Added to a step for each request that is decoding.
    pub step_ms_per_decoding_request: f64,
    /// Added to a step for each 1,000 context tokens of a request that is decoding.
    pub step_ms_per_context_k: f64,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Added to the prefill time for each million pairs of a prompt token and an earlier token.
    pub prefill_ms_per_million_pairs: f64,
    /// Maximum number of prompt tokens that are processed along with one step.
    pub prefill_tokens_per_step: u64,
    /// Steps in a pass during which at least one request is decoding.
    pub steps_per_pass: u32,
    /// Maximum age of an engine's report of its own state.
    pub report_lag_ms: f64,
    /// Added to a step for a request whose prompt was processed by several engines.
    pub group_step_ms: f64,
}

/// A service and the properties of its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// The name.
    pub name: ServiceName,
    /// The path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// The performance model of the endpoints if they are inference engines.
    pub engine: Option<EngineProfile>,
    /// The rate limit of cold endpoints, if any.
    pub cold_start: Option<ColdStart>,
}

/// The rate limit of a cold endpoint, such as one that has just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// The time for which an endpoint is cold.
    pub span: Duration,
    /// Maximum request rate per second from all instances together.
    pub max_requests_per_s: f64,
}

/// Limits on the size and duration of what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// The time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// The time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A client account with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountKeys {
    /// The account.
    pub account: AccountId,
    /// The keys that its callers present.
    pub keys: Vec<String>,
    /// The priority, which overrides that of the route.
    pub priority: Option<u8>,
}

/// A routing document.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingDocument {
    /// The revision, which orders documents.
    pub revision: RoutingRevision,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The limits on callers' requests.
    pub limits: IngressLimits,
    /// The client accounts; `None` if requests need no keys at all.
    pub accounts: Option<Vec<AccountKeys>>,
}

/// The reason why a document was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DocumentProblem {
    /// The document cannot be decoded.
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
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} share a host and a prefix; remove or change one")]
    DuplicateRoute {
        /// The route that comes first in the document.
        first: String,
        /// The other route.
        second: String,
    },
    /// The weights of all services of a route are 0.
    #[error("the weights of route {0} add up to 0; give one of its services a weight")]
    NoWeight(String),
    /// The timeout of a route is 0.
    #[error("the timeout of route {0} is 0; give at least 1 ms")]
    NoTimeout(String),
    /// A path prefix does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash; add what is missing")]
    BadPrefix(String),
    /// Two accounts hold the same key.
    #[error("the accounts {first} and {second} share a key; give each its own")]
    SharedKey {
        /// The account that comes first in the document.
        first: AccountId,
        /// The other account.
        second: AccountId,
    },
}

impl RoutingDocument {
    /// Validates a decoded document.
    ///
    /// # Errors
    ///
    /// Returns the first problem.
    pub fn check(&self) -> Result<(), DocumentProblem> {
        let services: HashSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut routes_by_prefix = HashMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if let Some(first) = routes_by_prefix.insert(prefix, route) {
                let (first, second) = (first.name.clone(), route.name.clone());
                return Err(DocumentProblem::DuplicateRoute { first, second });
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
