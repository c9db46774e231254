//! Selects the endpoint for a send and keeps its load accounted for while the send lasts.

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_limits::{PermitAsk, PermitVerdict, QueueVerdict, WaiterId};
use oriolepass_placement::{
    AppointmentId, PaceNote, PromptAsk, PromptKey, PromptPlan, RefusalReason, ReturnTurn,
    SecondSend,
};
use oriolepass_quarantine::Standing;
use oriolepass_second_sends::SkipReason;
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use tokio::time::Instant;

use super::caller::{CallerRequest, SHORT_RETRY_AFTER};
use super::pace::{MeasuredPauses, PaceMeter};
use super::reserve::Reservations;
use crate::balancer::FaultKind;
use crate::dial::EndpointConnection;
use crate::dialect::HelperAddress;
use crate::endpoints::EndpointBeat;
use crate::gateway::Gateway;
use crate::paths::EndpointWay;
use crate::peers::ProgressNote;
use crate::upstream::EndpointTarget;

/// The maximum length of an answer if the request does not state it.
const DEFAULT_MAX_ANSWER_TOKENS: u64 = 1_024;

/// The pause objective of a stream if its route does not state it.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_millis(500);

/// The reason for refusing a request if no endpoint of its service accepts requests.
const NO_ENDPOINT: &str = "no endpoint takes work";

/// The reason for refusing a request if all endpoints of its service asked this daemon for rest.
const ALL_REST: &str = "all endpoints rest";

/// The part of the objective within which a rest has to end for a request to wait for it. The remaining
/// time is for the request itself.
const REST_WAIT_SHARE: f64 = 0.5;

/// The reason why no endpoint was selected for a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoPlacement {
    /// No endpoint of the service accepts requests, or none is suitable for this request at
    /// present. Holds the reason and the time after which the caller should retry.
    NoEndpoint(&'static str, Duration),
    /// The request is not sent, and waiting in this daemon would not help. Holds the reason and the
    /// time after which the caller should retry.
    Refused(&'static str, Duration),
    /// Engine memory could not be reserved.
    NoMemory,
    /// All endpoints that accept requests rest, or their rests have just ended, and the request asks
    /// again after this time.
    Resting(Duration),
    /// All endpoints that accept requests are at the limits that they name. Holds the reason and the
    /// time after which the request may ask again.
    AtLimit(&'static str, Duration),
    /// The engines have too much work. Holds the reason and the time after which the request may
    /// ask again, which follows from that work.
    Busy(&'static str, Duration),
}

impl NoPlacement {
    /// Returns the reason and the time after which the caller should retry.
    pub(super) fn reason_and_retry_after(self) -> (&'static str, Duration) {
        match self {
            Self::NoEndpoint(reason, after)
            | Self::Refused(reason, after)
            | Self::AtLimit(reason, after)
            | Self::Busy(reason, after) => (reason, after),
            Self::Resting(after) => (ALL_REST, after),
            Self::NoMemory => ("no engine memory", SHORT_RETRY_AFTER),
        }
    }
}

/// How a request is connected to its endpoint.
#[derive(Debug)]
struct OpenConnection {
    way: EndpointWay,
    /// The instance that passes the bytes on, if the connection is a tunnel.
    relay: Option<InstanceId>,
    opened: MonotonicTime,
}

/// The connection of a send, once it is open.
#[derive(Debug, Clone, Default)]
pub(super) struct SendConnection(Rc<OnceCell<OpenConnection>>);

impl SendConnection {
    pub(super) fn record(&self, connection: &EndpointConnection) {
        let EndpointConnection { way, relay, opened, .. } = connection;
        // A send opens one connection.
        let _ = self.0.set(OpenConnection { way: *way, relay: relay.clone(), opened: *opened });
    }

    /// Returns the way, and when the connection was opened.
    fn get(&self) -> Option<(EndpointWay, MonotonicTime)> {
        self.0.get().map(|connection| (connection.way, connection.opened))
    }

    /// Returns the instance that passes the bytes on, if the connection is a tunnel.
    pub(super) fn relay(&self) -> Option<&InstanceId> {
        self.0.get()?.relay.as_ref()
    }

    /// Records that the connection broke.
    pub(super) fn record_break(&self, gateway: &Gateway, endpoint: &EndpointStart) {
        if let Some((way, _)) = self.get() {
            gateway.record_no_answer(endpoint, way, gateway.now());
        }
    }

    /// Records that the endpoint is silent, since `last_event` or since the connection was opened.
    /// Returns whether that is surely no fault of this daemon's own links: answers came on direct
    /// connections that were opened later, or the silent one goes by way of another daemon.
    pub(super) fn record_silence(
        &self,
        gateway: &Gateway,
        endpoint: &EndpointStart,
        last_event: Option<MonotonicTime>,
    ) -> bool {
        let Some((way, opened)) = self.get() else { return true };
        let since = last_event.unwrap_or(opened);
        gateway.record_no_answer(endpoint, way, since);
        way == EndpointWay::Tunnel || gateway.paths.borrow().has_answer_since(since)
    }
}

/// The times of a run of a request at its endpoint.
#[derive(Debug, Clone)]
pub(super) struct RunClock {
    /// When the send began.
    sent_at: MonotonicTime,
    connection: SendConnection,
    /// When the head of the answer arrived.
    answer_began: Rc<Cell<Option<MonotonicTime>>>,
    /// When the request was sent, or a part of its answer arrived last.
    last_progress: Rc<Cell<MonotonicTime>>,
    /// Whether the answer has ended, or its connection has broken.
    is_over: Rc<Cell<bool>>,
}

impl RunClock {
    fn new(gateway: &Gateway, connection: &SendConnection) -> Self {
        let now = gateway.now();
        Self {
            sent_at: now,
            connection: connection.clone(),
            answer_began: Rc::default(),
            last_progress: Rc::new(Cell::new(now)),
            is_over: Rc::default(),
        }
    }

    /// Returns whether the answer has ended, or its connection has broken.
    pub(super) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Records that the answer has ended, or that its connection has broken.
    pub(super) fn record_over(&self) {
        self.is_over.set(true);
    }

    /// Returns whether the request may have reached its endpoint: its connection was opened.
    pub(super) fn is_delivered(&self) -> bool {
        self.connection.get().is_some()
    }

    /// Returns the time from sending the request until `until`.
    pub(super) fn run_time(&self, until: MonotonicTime) -> Duration {
        until.since(self.sent_at)
    }

    /// Returns the time from the head of the answer until `until`, if the head has arrived.
    pub(super) fn answer_time(&self, until: MonotonicTime) -> Option<Duration> {
        self.answer_began.get().map(|began| until.since(began))
    }

    /// Returns whether the head of the answer has arrived.
    pub(super) fn has_answer_begun(&self) -> bool {
        self.answer_began.get().is_some()
    }

    /// Records that the head of the answer has arrived.
    fn record_answer_began(&self, now: MonotonicTime) {
        self.answer_began.set(Some(now));
        self.record_progress(now);
    }

    /// Records that a part of the answer has arrived.
    pub(super) fn record_progress(&self, now: MonotonicTime) {
        self.last_progress.set(now);
    }

    /// Returns when the request was sent, or a part of its answer arrived last.
    pub(super) fn last_progress(&self) -> MonotonicTime {
        self.last_progress.get()
    }
}

/// The endpoint selected for a send. Dropping it reports the end of the send to the prompt's home
/// or to the balancer, and releases reserved engine memory.
pub(super) struct Placement {
    gateway: Rc<Gateway>,
    pub(super) endpoint: EndpointStart,
    pub(super) address: SocketAddr,
    pub(super) plan: Option<PromptPlan>,
    pub(super) helpers: Vec<HelperAddress>,
    pub(super) placed_by: &'static str,
    /// Whether the request is sent for the first time and may be sent again.
    pub(super) may_fail: bool,
    /// Identifies the prompt across its caller's attempts, if appointments are kept.
    pub(super) appointment: Option<AppointmentId>,
    pub(super) connection: SendConnection,
    pub(super) clock: RunClock,
    key: Option<PromptKey>,
    /// The expected pause between events, if the speeds of engines are learned.
    expected_pause: Option<Duration>,
    has_begun: Cell<bool>,
    _reservations: Option<Reservations>,
}

impl Placement {
    /// Selects an endpoint for a request. `max_wait` is how long the request can still wait for an
    /// endpoint.
    ///
    /// `waiter` identifies the search: a search that is repeated because it found no endpoint keeps its
    /// place among requests that wait for endpoints with limits.
    pub(super) async fn find(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        waiter: WaiterId,
        avoid: &[EndpointStart],
        max_wait: Duration,
    ) -> Result<Self, NoPlacement> {
        let began = Instant::now();
        check_rests(gateway, request, waiter, max_wait)?;
        let found = if request.service.engine.is_some() {
            Self::find_engine(gateway, request, waiter, avoid, max_wait).await
        } else {
            Self::find_plain(gateway, request, waiter, avoid, max_wait).await
        };
        if let Ok(placement) = &found {
            let took = began.elapsed().as_secs_f64();
            let by = [placement.placed_by];
            gateway.metrics.placement.with_label_values(&by).observe(took);
        }
        found
    }

    async fn find_plain(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        waiter: WaiterId,
        avoid: &[EndpointStart],
        max_wait: Duration,
    ) -> Result<Self, NoPlacement> {
        let candidates = PlainCandidates::of(gateway, request, avoid);
        let beat = match candidates.choose(gateway, |_| true) {
            Some(beat) if gateway.names_limit(&beat.endpoint) => {
                candidates.choose_with_permit(gateway, request, waiter, beat, max_wait).await?
            }
            Some(beat) => beat.clone(),
            None => return Err(no_endpoint(gateway, request, NO_ENDPOINT, SHORT_RETRY_AFTER)),
        };
        Ok(Self::at_plain(gateway, beat))
    }

    /// Creates the placement of a request at an endpoint that is not an engine.
    fn at_plain(gateway: &Rc<Gateway>, beat: EndpointBeat) -> Self {
        gateway.balancer.borrow_mut().begin(&beat.endpoint);
        let connection = SendConnection::default();
        Self {
            gateway: Rc::clone(gateway),
            endpoint: beat.endpoint,
            address: beat.address,
            plan: None,
            helpers: Vec::new(),
            placed_by: "balancer",
            may_fail: false,
            appointment: None,
            clock: RunClock::new(gateway, &connection),
            connection,
            key: None,
            expected_pause: None,
            has_begun: Cell::new(false),
            _reservations: None,
        }
    }

    async fn find_engine(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        waiter: WaiterId,
        avoid: &[EndpointStart],
        max_wait: Duration,
    ) -> Result<Self, NoPlacement> {
        let ask = prompt_ask(gateway, request, waiter, avoid, max_wait);
        let (placed, by) = gateway.place_prompt(&request.id, &ask).await;
        let plan = placed.map_err(|error| {
            let (reason, after) = (error.reason.name(), error.retry_after);
            if error.reason == RefusalReason::AtLimit {
                NoPlacement::AtLimit(reason, after)
            } else if error.turn != ReturnTurn::Unknown {
                NoPlacement::Busy(reason, after)
            } else if error.reason.is_transient() {
                no_endpoint(gateway, request, reason, after)
            } else {
                NoPlacement::Refused(reason, after)
            }
        })?;
        let mut placement = Self::at_engine(gateway, request, &ask, &plan, by.name());
        let registry_address = |endpoint: &EndpointStart| {
            gateway.endpoints.borrow().takes_work(endpoint).map(|beat| beat.address)
        };
        placement.address = registry_address(&plan.main)
            .ok_or(NoPlacement::NoEndpoint(NO_ENDPOINT, SHORT_RETRY_AFTER))?;
        let mut to_reserve = Vec::new();
        for helper in &plan.helpers {
            // A helper that has left in the meantime reads no part, and the other engines read
            // more.
            let Some(address) = registry_address(&helper.endpoint) else { continue };
            placement.helpers.push(HelperAddress { address, reservation: None });
            if let Some(tokens) = helper.reserve_tokens {
                let engine = EndpointTarget { endpoint: helper.endpoint.clone(), address };
                to_reserve.push((placement.helpers.len() - 1, engine, tokens));
            }
        }
        if !to_reserve.is_empty() {
            let held = Reservations::acquire(gateway, &request.id, &to_reserve).await;
            let reservations = held.ok_or(NoPlacement::NoMemory)?;
            for (at, id) in reservations.ids() {
                placement.helpers[at].reservation = Some(id.to_owned());
            }
            placement._reservations = Some(reservations);
        }
        Ok(placement)
    }

    /// Returns a meter of the stream's pace, if the speeds of engines are learned.
    pub(super) fn pace_meter(&self) -> Option<PaceMeter> {
        self.expected_pause.map(PaceMeter::new)
    }

    /// Reports an answer that is written more slowly than expected.
    pub(super) fn report_pace(&self, measured: MeasuredPauses) {
        if let Some(key) = self.key {
            let MeasuredPauses { pauses, total } = measured;
            self.gateway.report_pace(PaceNote { key, pauses, total });
        }
    }

    /// Creates the placement of a prompt according to a plan, without its address and its helpers.
    fn at_engine(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        ask: &PromptAsk,
        plan: &PromptPlan,
        placed_by: &'static str,
    ) -> Self {
        let connection = SendConnection::default();
        Self {
            gateway: Rc::clone(gateway),
            endpoint: plan.main.clone(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            plan: Some(plan.clone()),
            helpers: Vec::new(),
            placed_by,
            may_fail: false,
            clock: RunClock::new(gateway, &connection),
            connection,
            key: Some(ask.key),
            appointment: ask.appointment,
            expected_pause: expected_pause(gateway, request, ask, plan),
            has_begun: Cell::new(false),
            _reservations: None,
        }
    }

    /// Selects an endpoint for a second send of a request that is slow at its first one. The limit
    /// on second sends is charged.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no endpoint or the limit is used up.
    pub(super) async fn find_second(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        first: Option<PromptKey>,
        first_remaining: Duration,
        avoid: &[EndpointStart],
    ) -> Result<Self, SkipReason> {
        let Some(first) = first else {
            gateway.take_second_send(&request.service.name).await?;
            let candidates = PlainCandidates::of_second(gateway, request, avoid);
            let beat = candidates.choose(gateway, |_| true).ok_or(SkipReason::NoOtherEndpoint)?;
            return Ok(Self::at_plain(gateway, beat.clone()));
        };
        let waiter = gateway.waiter_id();
        let mut ask = prompt_ask(gateway, request, waiter, avoid, Duration::ZERO);
        ask.second = Some(Box::new(SecondSend { first, first_remaining }));
        ask.appointment = None;
        let plan = gateway.place_second(&ask).await?;
        let mut placement = Self::at_engine(gateway, request, &ask, &plan, "home, second send");
        let address = gateway.endpoints.borrow().takes_work(&plan.main).map(|beat| beat.address);
        placement.address = address.ok_or(SkipReason::NoOtherEndpoint)?;
        Ok(placement)
    }

    /// Returns the key of the prompt, if the endpoint is an engine.
    pub(super) fn prompt_key(&self) -> Option<PromptKey> {
        self.key
    }

    /// Returns the endpoint with its address.
    pub(super) fn target(&self) -> EndpointTarget {
        EndpointTarget { endpoint: self.endpoint.clone(), address: self.address }
    }

    /// Records that the request is sent now.
    pub(super) fn record_sent(&mut self) {
        self.clock = RunClock::new(&self.gateway, &self.connection);
    }

    /// Returns the time since the request was sent.
    pub(super) fn run_time(&self) -> Duration {
        self.clock.run_time(self.gateway.now())
    }

    /// Records that the head of the answer has arrived.
    pub(super) fn record_answer_began(&self) {
        self.clock.record_answer_began(self.gateway.now());
    }

    /// Records that the first event or the answer has arrived.
    pub(super) fn record_begun(&self) {
        if let Some(key) = self.key.filter(|_| !self.has_begun.replace(true)) {
            self.gateway.report_progress(ProgressNote::Begun(key));
        }
    }
}

/// Returns the expected pause between two events of a prompt's answer, if the speeds of engines are
/// learned.
fn expected_pause(
    gateway: &Gateway,
    request: &CallerRequest,
    ask: &PromptAsk,
    plan: &PromptPlan,
) -> Option<Duration> {
    let profile = request.service.engine.as_ref()?;
    let is_learned = gateway.settings().scheduling.engine_speeds;
    is_learned.then(|| plan.pause(ask.answer_tokens, profile.steps_per_pass))
}

/// Records that an endpoint failed a request.
pub(super) fn endpoint_failed(
    gateway: &Gateway,
    request: &CallerRequest,
    endpoint: &EndpointStart,
    fault: FaultKind,
) {
    gateway.endpoint_fault(&request.id, endpoint, fault);
    // An engine that is full or lacks memory for one prompt may have capacity for the next prompt.
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

/// The reason for refusing a request if all endpoints of its service are at their limits.
const AT_LIMIT: &str = "endpoints are at the limits that they name";

/// The endpoints of a service without engines that a request may be sent to.
struct PlainCandidates(Vec<EndpointBeat>);

impl PlainCandidates {
    /// Returns the candidates, which do not rest: warm endpoints are preferred to cold ones, and both
    /// to those that `avoid` lists.
    fn of(gateway: &Gateway, request: &CallerRequest, avoid: &[EndpointStart]) -> Self {
        let registry = gateway.endpoints.borrow();
        let is_awake = |beat: &&EndpointBeat| !gateway.is_resting(&beat.endpoint);
        let all: Vec<_> = registry.serving(&request.service.name).filter(is_awake).collect();
        let (now, cold_start) = (gateway.now(), request.service.cold_start);
        let is_cold = |beat: &EndpointBeat| {
            cold_start.is_some_and(|cold| registry.is_cold(now, &beat.endpoint, cold.span))
        };
        let warm = preferred_or_all(all, |beat| !is_cold(beat));
        let candidates = preferred_or_all(warm, |beat| !avoid.contains(&beat.endpoint));
        Self(candidates.into_iter().cloned().collect())
    }

    /// Returns the candidates for a second send: endpoints that have not served the request, are
    /// warm, neither rest nor name a limit, and have not failed a request recently.
    fn of_second(gateway: &Gateway, request: &CallerRequest, avoid: &[EndpointStart]) -> Self {
        let registry = gateway.endpoints.borrow();
        let balancer = gateway.balancer.borrow();
        let (now, cold_start) = (gateway.now(), request.service.cold_start);
        let is_free = |beat: &&EndpointBeat| {
            let endpoint = &beat.endpoint;
            !avoid.contains(endpoint)
                && !gateway.is_resting(endpoint)
                && !gateway.names_limit(endpoint)
                && !cold_start.is_some_and(|cold| registry.is_cold(now, endpoint, cold.span))
                && !balancer.has_recent_fault(now, endpoint)
        };
        Self(registry.serving(&request.service.name).filter(is_free).cloned().collect())
    }

    /// Returns the best of the candidates for which `is_allowed` holds.
    fn choose(
        &self,
        gateway: &Gateway,
        is_allowed: impl Fn(&EndpointBeat) -> bool,
    ) -> Option<&EndpointBeat> {
        let allowed: Vec<&EndpointBeat> = self.0.iter().filter(|beat| is_allowed(beat)).collect();
        let data_centre = &gateway.settings().data_centre;
        let balancer = gateway.balancer.borrow();
        balancer.choose(gateway.now(), data_centre, &allowed, rand::random())
    }

    /// Returns the best candidate, which names a limit, if there is a permit for it, or another one.
    async fn choose_with_permit(
        &self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        waiter: WaiterId,
        best: &EndpointBeat,
        max_wait: Duration,
    ) -> Result<EndpointBeat, NoPlacement> {
        let is_open = |beat: &EndpointBeat| !gateway.names_limit(&beat.endpoint);
        let open = self.choose(gateway, is_open);
        let now = gateway.now();
        let is_asked = |beat: &&EndpointBeat| {
            let is_skipped = gateway.limits.borrow().is_skipped(now, &beat.endpoint);
            gateway.names_limit(&beat.endpoint) && (open.is_none() || !is_skipped)
        };
        let others = self.0.iter().filter(|beat| beat.endpoint != best.endpoint);
        let asked = std::iter::once(best).chain(others).filter(is_asked);
        let endpoints: Vec<EndpointStart> = asked.map(|beat| beat.endpoint.clone()).collect();
        if let Some(open) = open
            && endpoints.is_empty()
        {
            return Ok(open.clone());
        }
        let ask = PermitAsk {
            waiter: request.waiter(waiter, max_wait),
            service: request.service.name.clone(),
            endpoints,
            has_alternative: open.is_some(),
        };
        let after = match gateway.ask_permit(&ask).await {
            PermitVerdict::Granted(endpoint) => {
                let granted = self.0.iter().find(|beat| beat.endpoint == endpoint);
                return granted.cloned().ok_or(NoPlacement::AtLimit(AT_LIMIT, SHORT_RETRY_AFTER));
            }
            PermitVerdict::Wait(after) | PermitVerdict::Refused(after) => after,
        };
        let Some(open) = open else { return Err(NoPlacement::AtLimit(AT_LIMIT, after)) };
        gateway.limits.borrow_mut().skip(gateway.now(), &ask.endpoints, after);
        Ok(open.clone())
    }
}

/// Returns the number of endpoints without engines that may get a second send of a request.
pub(super) fn count_second_endpoints(
    gateway: &Gateway,
    request: &CallerRequest,
    avoid: &[EndpointStart],
) -> usize {
    PlainCandidates::of_second(gateway, request, avoid).0.len()
}

/// Checks that an endpoint of the request's service does not rest, and that it is the request's turn if all
/// of them rested until now.
fn check_rests(
    gateway: &Gateway,
    request: &CallerRequest,
    waiter: WaiterId,
    max_wait: Duration,
) -> Result<(), NoPlacement> {
    let in_time = request.route.objective.mul_f64(REST_WAIT_SHARE);
    let patience = in_time.saturating_sub(request.arrived.elapsed()).max(max_wait);
    let waiter = request.waiter(waiter, patience.min(request.time_left()));
    match gateway.ask_to_return(&request.service.name, &waiter) {
        QueueVerdict::Take => Ok(()),
        QueueVerdict::Wait(after) => Err(NoPlacement::Resting(after)),
        QueueVerdict::Refuse(after) => Err(NoPlacement::Refused(ALL_REST, after)),
    }
}

/// Returns the endpoints for which `is_preferred` holds, or all endpoints if it holds for none.
fn preferred_or_all(
    all: Vec<&EndpointBeat>,
    is_preferred: impl Fn(&EndpointBeat) -> bool,
) -> Vec<&EndpointBeat> {
    let matching: Vec<_> = all.iter().filter(|beat| is_preferred(beat)).copied().collect();
    if matching.is_empty() { all } else { matching }
}

/// Returns the error for a service without a usable endpoint. If no endpoint of the service is
/// known, as after a start of all daemons, the caller retries after a heartbeat interval, since
/// endpoints become known with their next heartbeat.
fn no_endpoint(
    gateway: &Gateway,
    request: &CallerRequest,
    reason: &'static str,
    retry_after: Duration,
) -> NoPlacement {
    let is_known = gateway.endpoints.borrow().serving(&request.service.name).next().is_some();
    let heartbeat = gateway.settings().bounds.endpoint_heartbeat;
    NoPlacement::NoEndpoint(reason, if is_known { retry_after } else { heartbeat })
}

/// Builds the query that asks for the placement of a request's prompt.
fn prompt_ask(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    waiter: WaiterId,
    avoid: &[EndpointStart],
    max_wait: Duration,
) -> PromptAsk {
    let facts = &request.facts;
    let max_answer = facts.max_answer_tokens.unwrap_or(DEFAULT_MAX_ANSWER_TOKENS);
    let spent = request.arrived.elapsed();
    PromptAsk {
        key: gateway.prompt_key(),
        service: request.service.name.clone(),
        prompt_tokens: facts.prompt_tokens.unwrap_or(0),
        answer_tokens: facts.expected_answer_tokens.unwrap_or(max_answer).min(max_answer).max(1),
        max_answer_tokens: max_answer,
        objective: request.route.objective.saturating_sub(spent),
        whole_objective: request.route.objective,
        pause: request.route.pause_objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE),
        deadline: request.time_left(),
        patience: max_wait,
        avoid: avoid.to_vec(),
        resting: gateway.resting_endpoints(&request.service.name),
        is_suspect: gateway.standing(|| request.digest()) != Standing::Clear
            || gateway.prompt_standing(|| request.parts()).0 != Standing::Clear
            || gateway.has_broken_run(|| request.digest()),
        waiter: Some(request.waiter(waiter, max_wait)),
        // A prompt that was sent before may be running, and its caller is not told to return.
        appointment: (gateway.settings().scheduling.return_appointments && avoid.is_empty())
            .then(|| request.appointment()),
        second: None,
    }
}
