//! Handles one request of a caller: reads it, looks up its route and key, sends it to an endpoint
//! and returns the answer.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use oriolepass_limits::{PermitWaiter, RequestRank, WaiterId};
use oriolepass_placement::AppointmentId;
use oriolepass_quarantine::{PartDigest, PartIdentity, RequestDigest, RequestIdentity};
use oriolepass_routing::{KeyHolder, RouteSpec, RoutingTable, ServiceSpec};
use oriolepass_units::MonotonicTime;
use sha2::{Digest, Sha256};
use tokio::time::{Instant, timeout, timeout_at};

use super::body::ResponseBody;
use super::headers;
use super::listener::ConnectionWatch;
use super::refusal::Refusal;
use super::starting;
use super::stream;
use super::tries::{RequestOutcome, SendHistory};
use crate::dialect::RequestFacts;
use crate::documents::ActiveDocument;
use crate::events::EventKind;
use crate::framing::BodyFraming;
use crate::gateway::Gateway;
use crate::held_bytes::{ByteHold, HeldKind};
use crate::quarantine::RequestSuspects;
use crate::request_body::{RequestBody, RequestBodyCollector};

/// The `Retry-After` of refusals whose cause is short-lived.
pub(super) const SHORT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The `Retry-After` of refusals for lack of a leader or a current document. An election and the
/// first proof take about this long.
pub(super) const ELECTION_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The `Retry-After` of refusals after which the caller should use another instance.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The maximum time for a request's body to arrive. A shorter deadline of the request and a shorter
/// time-out of its route take precedence.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of bytes of a rejected body that are read and discarded, so that the
/// connection stays usable.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// The time-out of reading and discarding a rejected body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The upper bound of deadlines. It keeps arithmetic on times in range.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// An admitted request.
pub(super) struct CallerRequest {
    pub(super) id: String,
    pub(super) method: Method,
    pub(super) path: String,
    /// The headers that are forwarded to endpoints.
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    pub(super) facts: RequestFacts,
    pub(super) arrived: Instant,
    /// The end of the request's time on the clock of the timers, which stops during a suspension of
    /// the machine.
    pub(super) timer_deadline: Instant,
    /// The end of the request's time on a clock that includes suspensions.
    clock_deadline: MonotonicTime,
    pub(super) route: Arc<RouteSpec>,
    pub(super) service: Arc<ServiceSpec>,
    pub(super) holder: Option<Arc<KeyHolder>>,
    /// Whether the routing document must be proved current before the request is sent.
    pub(super) needs_proof: bool,
    digest: OnceCell<RequestDigest>,
    parts: OnceCell<Rc<[PartDigest]>>,
    buffered: ByteHold,
}

impl CallerRequest {
    /// Returns the remaining time of the request. Suspensions count, so that a machine that resumes
    /// from one does not send requests whose callers have given up.
    pub(super) fn time_left(&self) -> Duration {
        self.clock_deadline.since(self.buffered.gateway().now())
    }

    /// Returns the priority of the request. That of the client account takes precedence over that
    /// of the route.
    pub(super) fn priority(&self) -> u8 {
        let of_account = self.holder.as_ref().and_then(|holder| holder.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Returns the place of the request among others that wait for the same endpoints.
    pub(super) fn waiter(&self, id: WaiterId, patience: Duration) -> PermitWaiter {
        let rank = RequestRank {
            priority: self.priority(),
            account: self.holder.as_ref().map(|holder| holder.account.clone()),
        };
        PermitWaiter { id, rank, patience }
    }

    /// Returns the digest that identifies the request across its attempts. The digest is computed
    /// on first use, since most requests are never suspect.
    pub(super) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
            let identity = RequestIdentity {
                account: self.holder.as_ref().map(|holder| &holder.account),
                method: self.method.as_str(),
                host: host.unwrap_or_default(),
                path: &self.path,
                body: b"",
            };
            identity.digest_with_body(self.body.pieces())
        })
    }

    /// Returns what is suspect if an endpoint ends under the request.
    pub(super) fn suspects(&self) -> RequestSuspects {
        RequestSuspects { request: self.digest(), parts: self.parts() }
    }

    /// Returns the id of the prompt across its attempts. It depends on the account that the caller's
    /// key belongs to, so that no account can use the turn of another one.
    pub(super) fn appointment(&self) -> AppointmentId {
        let mut hasher = Sha256::new();
        let mut add_field = |field: &str| {
            // Length prefixes prevent collisions by moving bytes between adjacent fields.
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        };
        add_field(&self.digest().to_string());
        add_field(self.service.name.as_str());
        add_field(&self.facts.prompt_tokens.unwrap_or(0).to_string());
        let parts = self.facts.shared_parts.iter().chain(&self.facts.own_part);
        parts.for_each(|part| add_field(part.as_str()));
        let bytes = hasher.finalize();
        AppointmentId(bytes.iter().take(8).fold(0, |id, byte| id << 8 | u64::from(*byte)))
    }

    /// Returns the digests of the parts of the prompt that other prompts may share.
    pub(super) fn parts(&self) -> Rc<[PartDigest]> {
        let digest = |part| {
            let account = self.holder.as_ref().map(|holder| &holder.account);
            PartIdentity { account, service: &self.service.name, part }.digest()
        };
        let parts = || self.facts.shared_parts.iter().map(digest).collect();
        Rc::clone(self.parts.get_or_init(parts))
    }
}

/// The route and account of a request, for its log line and metrics.
struct RequestTarget {
    route: Arc<RouteSpec>,
    account: Option<String>,
    kind: &'static str,
}

/// Records the end of a request in the log and metrics, also when the caller disconnects and the
/// request's task is dropped.
pub(super) struct EndGuard {
    gateway: Rc<Gateway>,
    watch: Rc<ConnectionWatch>,
    id: String,
    arrived: Instant,
    arrived_at: MonotonicTime,
    /// The route and account, once they are known.
    target: Option<RequestTarget>,
    first_answer: Option<Duration>,
    last_piece: Option<Instant>,
    longest_pause: Duration,
    pieces: u32,
    sends: u32,
    framing: Option<BodyFraming>,
    is_recorded: bool,
}

impl EndGuard {
    fn new(gateway: &Rc<Gateway>, watch: Rc<ConnectionWatch>) -> Self {
        gateway.active_requests.set(gateway.active_requests.get() + 1);
        gateway.metrics.active.inc();
        Self {
            gateway: Rc::clone(gateway),
            watch,
            id: String::new(),
            arrived: Instant::now(),
            arrived_at: gateway.now(),
            target: None,
            first_answer: None,
            last_piece: None,
            longest_pause: Duration::ZERO,
            pieces: 0,
            sends: 0,
            framing: None,
            is_recorded: false,
        }
    }

    /// Records the number of sends and, on the first call, the time until the answer.
    pub(super) fn record_answer(&mut self, sends: u32) {
        self.sends = sends;
        self.first_answer.get_or_insert_with(|| self.arrived.elapsed());
    }

    /// Records how the end of an endpoint's answer is recognised.
    pub(super) fn record_framing(&mut self, framing: BodyFraming) {
        self.framing = Some(framing);
    }

    /// Records that a piece of a stream is sent to the caller.
    pub(super) fn record_piece(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_piece.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        self.pieces += 1;
    }

    /// Records the end with the status that the caller received and the reason.
    pub(super) fn end(mut self, status: &str, reason: &str) {
        self.write(status, reason);
    }

    fn write(&mut self, status: &str, reason: &str) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let total = self.arrived.elapsed();
        let metrics = &self.gateway.metrics;
        metrics.requests.with_label_values(&[status]).inc();
        let mut line = self.gateway.line(EventKind::End).text("request", &self.id);
        if let Some(RequestTarget { route, account, kind }) = &self.target {
            line = line
                .text("route", &route.name)
                .maybe("account", account.as_ref())
                .millis("objective_ms", route.objective);
            if let Some(pause) = route.pause_objective {
                line = line.millis("pause_objective_ms", pause);
            }
            metrics.whole_answer.with_label_values(&[kind]).observe(total.as_secs_f64());
            if let Some(first) = self.first_answer {
                metrics.first_answer.with_label_values(&[kind]).observe(first.as_secs_f64());
            }
        }
        if let Some(first) = self.first_answer {
            line = line.millis("first_ms", first);
        }
        if self.pieces > 0 {
            line =
                line.number("pieces", self.pieces).millis("longest_pause_ms", self.longest_pause);
        }
        if status == "caller gone" {
            line = line.millis("late_ms", self.gateway.recent_loop_delay());
        }
        line.millis("whole_ms", total)
            .number("sends", self.sends)
            .maybe("ends_by", self.framing.map(BodyFraming::name))
            .text("status", status)
            .text("reason", reason);
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        let reason = if self.watch.has_stalled() {
            "the caller did not read its answer"
        } else {
            "the caller closed its connection"
        };
        self.write("caller gone", reason);
        self.gateway.active_requests.set(self.gateway.active_requests.get() - 1);
        self.gateway.metrics.active.dec();
        self.watch.end_request();
    }
}

/// Serves a request and returns its response.
pub(super) async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    watch: Rc<ConnectionWatch>,
) -> Response<ResponseBody> {
    let mut guard = EndGuard::new(&gateway, watch);
    let (parts, mut body) = request.into_parts();
    let awaits_continue = parts.headers.contains_key(EXPECT);
    let mut response = match admit(&gateway, parts, &mut body, &mut guard).await {
        Ok(request) => run(&gateway, request, guard).await,
        Err(refusal) if guard.watch.is_body_read() => refuse(&gateway, guard, &refusal),
        Err(refusal) => {
            let refusal = read_rest(&mut body, awaits_continue, refusal).await;
            refuse(&gateway, guard, &refusal)
        }
    };
    if gateway.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(gateway: &Gateway, guard: EndGuard, refusal: &Refusal) -> Response<ResponseBody> {
    gateway.metrics.refusals.with_label_values(&[refusal.reason]).inc();
    guard.end(refusal.status.as_str(), refusal.reason);
    refusal.response()
}

/// Reads a request and decides whether it is admitted.
async fn admit(
    gateway: &Rc<Gateway>,
    mut parts: Parts,
    body: &mut Incoming,
    guard: &mut EndGuard,
) -> Result<CallerRequest, Refusal> {
    let arrived = guard.arrived;
    let facts = (gateway.dialect.read_request)(&parts.headers);
    guard.id = facts.id.clone().unwrap_or_default();
    starting::wait_until_serving(gateway, &guard.id, facts.deadline).await;
    let limits = gateway.active_document().map(|document| *document.table.limits());
    let Some(limits) = limits else {
        return Err(Refusal::not_run("no document yet", starting::startup_retry_after(gateway)));
    };
    let host = headers::check_head(&parts, limits.max_head_bytes)?;
    let buffered = ByteHold::new(gateway, HeldKind::RequestBody);
    let body_deadline = arrived + body_timeout(gateway, &host, parts.uri.path(), &facts);
    let collected =
        timeout_at(body_deadline, collect(body, limits.max_body_bytes, &buffered)).await;
    let body = collected.unwrap_or_else(|_| {
        let remedy = "the request's body did not arrive in time; send it faster";
        Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "slow body", remedy).closing())
    })?;
    guard.watch.end_request_body();
    let document =
        gateway.active_document().ok_or(Refusal::not_run("no document yet", SHORT_RETRY_AFTER))?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let (route, holder) = look_up(gateway, &document, &parts, &host, &facts)?;
    let id = match &facts.id {
        Some(id) if !id.is_empty() => id.clone(),
        _ => {
            let remedy = "give the request an id";
            return Err(Refusal::new(StatusCode::BAD_REQUEST, "no request id", remedy));
        }
    };
    let kind = if route.repeat.is_stream() { "stream" } else { "call" };
    let account = holder.as_ref().map(|holder| holder.account.to_string());
    guard.target = Some(RequestTarget { route: Arc::clone(&route), account, kind });
    let needs_proof = document.table.needs_keys() && !route.is_public;
    if needs_proof && gateway.settings().bounds.fail_closed && !gateway.is_fresh() {
        return Err(Refusal::not_run(
            "document not proved current",
            starting::startup_retry_after(gateway).max(ELECTION_RETRY_AFTER),
        ));
    }
    let deadline = facts.deadline.unwrap_or(route.timeout).min(MAX_DEADLINE).min(route.timeout);
    if !gateway.has_time_for(deadline) {
        return Err(Refusal::not_run("this instance ends", OTHER_INSTANCE_RETRY_AFTER).closing());
    }
    let service = RoutingTable::choose_service(&route, rand::random());
    let service = document
        .table
        .service(service)
        .cloned()
        .ok_or_else(|| Refusal::not_run("service without a description", SHORT_RETRY_AFTER))?;
    let dialect = &gateway.dialect;
    headers::strip_hop_by_hop_headers(&mut parts.headers, dialect.is_essential);
    (dialect.strip_request)(&mut parts.headers, needs_proof);
    Ok(CallerRequest {
        id,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        arrived,
        timer_deadline: arrived + deadline,
        clock_deadline: guard.arrived_at + deadline,
        facts,
        route,
        service,
        holder,
        needs_proof,
        digest: OnceCell::new(),
        parts: OnceCell::new(),
        buffered,
    })
}

/// Returns the maximum time from a request's arrival until its body has arrived.
///
/// The document may change until then. It decides about the request afterwards, and a request without
/// a route here may have one by then.
fn body_timeout(gateway: &Gateway, host: &str, path: &str, facts: &RequestFacts) -> Duration {
    let document = gateway.active_document();
    let route = document.as_ref().and_then(|document| document.table.route(host, path));
    let route_timeout = route.map_or(BODY_TIMEOUT, |route| route.timeout);
    facts.deadline.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT).min(route_timeout)
}

/// Finds the route and the key holder of a request.
fn look_up(
    gateway: &Gateway,
    document: &Rc<ActiveDocument>,
    parts: &Parts,
    host: &str,
    facts: &RequestFacts,
) -> Result<(Arc<RouteSpec>, Option<Arc<KeyHolder>>), Refusal> {
    let table = &document.table;
    let is_certain = gateway.knows_due_documents();
    let Some(route) = table.route(host, parts.uri.path()) else {
        // The denial of a route or a key is final for callers, so an instance that may lack a newer
        // document must not state it.
        if !is_certain {
            return Err(Refusal::not_run("route not known for sure", SHORT_RETRY_AFTER));
        }
        let remedy = "no route serves this host and path";
        return Err(Refusal::new(StatusCode::NOT_FOUND, "no route", remedy));
    };
    let holder = facts.key.as_ref().and_then(|key| table.holder(key));
    if table.needs_keys() && !route.is_public && holder.is_none() {
        if !is_certain {
            return Err(Refusal::not_run("key not known for sure", SHORT_RETRY_AFTER));
        }
        let remedy = "show a key that a client account holds";
        return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key", remedy));
    }
    Ok((Arc::clone(route), holder.cloned()))
}

/// Reads a request's body into memory.
async fn collect(
    body: &mut Incoming,
    max_bytes: usize,
    buffered: &ByteHold,
) -> Result<RequestBody, Refusal> {
    let too_long = || {
        let remedy = format!("the body is longer than {max_bytes} bytes; send less");
        Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "long body", remedy).closing()
    };
    let no_memory = || Refusal::not_run("too many bodies in memory", SHORT_RETRY_AFTER);
    let announced = body.size_hint();
    if announced.lower() > max_bytes as u64 {
        return Err(too_long());
    }
    let length = announced.exact().and_then(|length| usize::try_from(length).ok());
    // A body that does not fit is refused before it takes memory from others.
    if length.is_some_and(|length| !buffered.has_room(length)) {
        return Err(no_memory());
    }
    let mut collector = RequestBodyCollector::new(length.unwrap_or(max_bytes), buffered);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let remedy = "the body was cut short or is not in valid chunks";
            return Err(Refusal::new(StatusCode::BAD_REQUEST, "broken body", remedy).closing());
        };
        let Ok(data) = frame.into_data() else { continue };
        if collector.len() + data.len() > max_bytes {
            return Err(too_long());
        }
        if !collector.append(&data) {
            return Err(no_memory());
        }
    }
    Ok(collector.into_body())
}

/// Reads the rest of a refused request's body, so that the connection can serve the next request.
/// If that is not possible, the refusal announces that the connection closes: the HTTP library
/// closes a connection whose last body was not read.
async fn read_rest(body: &mut Incoming, awaits_continue: bool, refusal: Refusal) -> Refusal {
    // A caller that has to be asked for its body may not send it after the answer.
    if refusal.closes || (awaits_continue && !body.is_end_stream()) || !discard(body).await {
        return refusal.closing();
    }
    refusal
}

/// Reads and discards a body. Returns whether it was read completely.
async fn discard(body: &mut Incoming) -> bool {
    let mut remaining = MAX_DISCARDED_BYTES;
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            remaining = remaining.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if remaining == 0 {
                return false;
            }
        }
        true
    };
    timeout(DISCARD_TIMEOUT, read).await.unwrap_or(false)
}

/// Sends a request until it has an answer or its time is over, and returns the response.
async fn run(
    gateway: &Rc<Gateway>,
    request: CallerRequest,
    mut guard: EndGuard,
) -> Response<ResponseBody> {
    let service = request.service.name.clone();
    gateway.budget.borrow_mut().count_request(gateway.now(), &gateway.budget_rule(), &service);
    gateway.earn_second_send(&service);
    let start_wait = starting::startup_wait(gateway, Some(request.time_left()));
    let mut history = SendHistory::new(&request, start_wait);
    let result =
        timeout_at(request.timer_deadline, history.send_until_answered(gateway, &request)).await;
    let outcome = result.unwrap_or_else(|_| {
        let may_have_run = history.may_have_run();
        let reason = if may_have_run { "time over" } else { "time over before it ran" };
        RequestOutcome::Refusal(Refusal::timed_out(reason))
    });
    guard.record_answer(history.sends());
    match outcome {
        RequestOutcome::Answer(answer) => {
            let (mut parts, body) = answer.into_parts();
            if let Some(framing) = parts.extensions.remove::<BodyFraming>() {
                guard.record_framing(framing);
            }
            guard.end(parts.status.as_str(), "answered");
            Response::from_parts(parts, ResponseBody::Buffered(Some(body)))
        }
        RequestOutcome::Refusal(refusal) => refuse(gateway, guard, &refusal),
        RequestOutcome::Stream(open) => stream::start(gateway, request, history, open, guard),
    }
}

impl std::fmt::Debug for CallerRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerRequest")
            .field("id", &self.id)
            .field("route", &self.route.name)
            .field("buffered", &self.buffered)
            .finish_non_exhaustive()
    }
}
