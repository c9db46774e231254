//! The endpoint that a try goes to, held while the try lasts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_placement::{PromptAsk, PromptKey, PromptPlan};
use oriolepass_quarantine::Standing;
use oriolepass_units::EndpointStart;
use tokio::time::Instant;

use super::caller::{CallerRequest, SOON};
use super::reserve::Reservations;
use crate::balancer::FaultKind;
use crate::dialect::HelperAddress;
use crate::endpoints::EndpointBeat;
use crate::gateway::Gateway;
use crate::peers::ProgressNote;

/// Tokens of an answer where the request does not say.
const UNKNOWN_ANSWER_TOKENS: u64 = 1_024;

/// The longest pause of a stream whose route does not say.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(500);

/// Why a plain service's request goes nowhere.
const NO_ENDPOINT: &str = "no endpoint takes work";

/// The reason that a try found no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoPlace {
    /// No endpoint of the service takes work, or none is worth sending this request to; why, and
    /// when to come back.
    NoEndpoint(&'static str, Duration),
    /// It is not sent now, and waiting here would change nothing; why, and when to come back.
    Refused(&'static str, Duration),
    /// Engines' memory could not be reserved.
    NoMemory,
}

impl NoPlace {
    /// Returns why, and when it is worth coming back.
    pub(super) fn told(self) -> (&'static str, Duration) {
        match self {
            Self::NoEndpoint(reason, after) | Self::Refused(reason, after) => (reason, after),
            Self::NoMemory => ("no engine memory", SOON),
        }
    }
}

/// An endpoint that a try goes to. Dropping it tells the home, and releases what is reserved.
pub(super) struct Placement {
    gateway: Rc<Gateway>,
    pub(super) endpoint: EndpointStart,
    pub(super) address: SocketAddr,
    pub(super) plan: Option<PromptPlan>,
    pub(super) helpers: Vec<HelperAddress>,
    pub(super) placed_by: &'static str,
    key: Option<PromptKey>,
    has_begun: Cell<bool>,
    _reservations: Option<Reservations>,
}

impl Placement {
    /// Finds an endpoint for a request.
    pub(super) async fn find(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        avoid: &[EndpointStart],
        patience: Duration,
    ) -> Result<Self, NoPlace> {
        let began = Instant::now();
        let found = if request.service.engine.is_some() {
            Self::find_engine(gateway, request, avoid, patience).await
        } else {
            Self::find_plain(gateway, request, avoid)
        };
        if let Ok(placement) = &found {
            let took = began.elapsed().as_secs_f64();
            let by = [placement.placed_by];
            gateway.metrics.placement.with_label_values(&by).observe(took);
        }
        found
    }

    fn find_plain(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        avoid: &[EndpointStart],
    ) -> Result<Self, NoPlace> {
        let chosen = {
            let registry = gateway.endpoints.borrow();
            let all: Vec<_> = registry.serving(&request.service.name).collect();
            let (now, cold_start) = (gateway.now(), request.service.cold_start);
            let is_cold = |beat: &EndpointBeat| {
                cold_start.is_some_and(|cold| registry.is_cold(now, &beat.endpoint, cold.span))
            };
            let warm = preferred_or_all(all, |beat| !is_cold(beat));
            let candidates = preferred_or_all(warm, |beat| !avoid.contains(&beat.endpoint));
            let settings = gateway.settings();
            let balancer = gateway.balancer.borrow();
            balancer.choose(now, &settings.data_centre, &candidates, rand::random()).cloned()
        };
        let beat = chosen.ok_or_else(|| no_endpoint(gateway, request, NO_ENDPOINT, SOON))?;
        gateway.balancer.borrow_mut().begin(&beat.endpoint);
        Ok(Self {
            gateway: Rc::clone(gateway),
            endpoint: beat.endpoint,
            address: beat.address,
            plan: None,
            helpers: Vec::new(),
            placed_by: "balancer",
            key: None,
            has_begun: Cell::new(false),
            _reservations: None,
        })
    }

    async fn find_engine(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        avoid: &[EndpointStart],
        patience: Duration,
    ) -> Result<Self, NoPlace> {
        let ask = ask(gateway, request, avoid, patience);
        let (placed, by) = gateway.place_prompt(&request.id, &ask).await;
        let plan = placed.map_err(|lack| {
            let (reason, after) = (lack.reason.name(), lack.retry_after);
            if lack.reason.is_transient() {
                no_endpoint(gateway, request, reason, after)
            } else {
                NoPlace::Refused(reason, after)
            }
        })?;
        let mut placement = Self {
            gateway: Rc::clone(gateway),
            endpoint: plan.main.clone(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            helpers: Vec::new(),
            placed_by: by.name(),
            key: Some(ask.key),
            has_begun: Cell::new(false),
            _reservations: None,
            plan: Some(plan.clone()),
        };
        let registry_address = |endpoint: &EndpointStart| {
            gateway.endpoints.borrow().takes_work(endpoint).map(|beat| beat.address)
        };
        placement.address =
            registry_address(&plan.main).ok_or(NoPlace::NoEndpoint(NO_ENDPOINT, SOON))?;
        let mut to_reserve = Vec::new();
        for helper in &plan.helpers {
            // One that has left meanwhile reads no part; the others read more.
            let Some(address) = registry_address(&helper.endpoint) else { continue };
            placement.helpers.push(HelperAddress { address, reservation: None });
            if let Some(tokens) = helper.reserve_tokens {
                to_reserve.push((placement.helpers.len() - 1, address, tokens));
            }
        }
        if !to_reserve.is_empty() {
            let held = Reservations::make(gateway, &request.id, &to_reserve).await;
            let reservations = held.ok_or(NoPlace::NoMemory)?;
            for (at, id) in reservations.ids() {
                placement.helpers[at].reservation = Some(id.to_owned());
            }
            placement._reservations = Some(reservations);
        }
        Ok(placement)
    }

    /// Notes that the first event, or the answer, has come.
    pub(super) fn begun(&self) {
        if let Some(key) = self.key.filter(|_| !self.has_begun.replace(true)) {
            self.gateway.report_progress(ProgressNote::Begun(key));
        }
    }
}

/// Notes that an endpoint failed a request.
pub(super) fn endpoint_failed(
    gateway: &Gateway,
    request: &CallerRequest,
    endpoint: &EndpointStart,
    fault: FaultKind,
) {
    gateway.endpoint_fault(&request.id, endpoint, fault);
    // An engine that is full, or lacks memory for one prompt, may have room for the next.
    if request.service.engine.is_some() && fault != FaultKind::Full {
        gateway.report_progress(ProgressNote::Failed(endpoint.clone()));
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        match self.key {
            Some(key) => self.gateway.report_progress(ProgressNote::Ended(key)),
            None => self.gateway.balancer.borrow_mut().end(&self.endpoint),
        }
    }
}

/// Returns the endpoints for which `is_preferred` holds, or all of them where it holds for none.
fn preferred_or_all(
    all: Vec<&EndpointBeat>,
    is_preferred: impl Fn(&EndpointBeat) -> bool,
) -> Vec<&EndpointBeat> {
    let matching: Vec<_> = all.iter().filter(|beat| is_preferred(beat)).copied().collect();
    if matching.is_empty() { all } else { matching }
}

/// Says when to come back where a service has no endpoint. One that is not known at all is met
/// with its next heartbeat, as after a start of all daemons.
fn no_endpoint(
    gateway: &Gateway,
    request: &CallerRequest,
    reason: &'static str,
    otherwise: Duration,
) -> NoPlace {
    let is_known = gateway.endpoints.borrow().serving(&request.service.name).next().is_some();
    let heartbeat = gateway.settings().bounds.endpoint_heartbeat;
    NoPlace::NoEndpoint(reason, if is_known { otherwise } else { heartbeat })
}

fn ask(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    avoid: &[EndpointStart],
    patience: Duration,
) -> PromptAsk {
    let facts = &request.facts;
    let max_answer = facts.max_answer_tokens.unwrap_or(UNKNOWN_ANSWER_TOKENS);
    let spent = request.arrived.elapsed();
    PromptAsk {
        key: gateway.prompt_key(),
        service: request.service.name.clone(),
        prompt_tokens: facts.prompt_tokens.unwrap_or(0),
        answer_tokens: facts.expected_answer_tokens.unwrap_or(max_answer).min(max_answer).max(1),
        max_answer_tokens: max_answer,
        objective: request.route.objective.saturating_sub(spent),
        whole_objective: request.route.objective,
        pause: request.route.pause_objective.unwrap_or(UNKNOWN_PAUSE),
        deadline: request.left(),
        patience,
        avoid: avoid.to_vec(),
        is_suspect: gateway.standing(|| request.digest()) != Standing::Clear,
    }
}
