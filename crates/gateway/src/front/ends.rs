//! Detects whether an endpoint's process ended while it served a request, or only the connection
//! was lost.
//!
//! A connection that breaks in the middle of an answer is ambiguous: the endpoint or a machine on
//! the path may have closed it. The gateway therefore opens a new connection to the same address.
//! A refusal shows that the machine is up and that no process listens, so the endpoint's process has
//! ended. It counts only if another instance is refused as well, since the instance's own links may be
//! at fault. A connection that times out proves nothing, since a network partition looks
//! the same.
//!
//! An accepted connection proves nothing either. The listener may outlive its process, for some
//! milliseconds while the process ends, or for good if a supervisor passes it to the next start. The
//! end is then pending until one of these is observed:
//!
//! * The accepted connection closes, and a further one is refused: the process has ended.
//! * A later start of the endpoint, or another endpoint at its address, announces itself: the
//!   process has ended.
//! * The endpoint sends a heartbeat, or announces that it leaves: it was alive.
//!
//! Requests do not wait for pending ends; `broken_runs` tells what is done meanwhile.
//!
//! An answer that ends with its connection is ambiguous as well, since a crash may look like its
//! end. It counts as complete only if the start that wrote it was alive afterwards: the process at
//! its address says that it is that start, or a heartbeat of the start arrives that was sent later.
//! What another process answers, an open connection and an earlier notice that the endpoint leaves
//! show nothing of that. Only an endpoint whose own calls name nobody is believed as long as it
//! answers them. The endpoint is probed as well. Until an end is proved or refuted, the answer
//! counts neither for nor against its request.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::caller::CallerRequest;
use super::evidence::{self, EndCase, EndEvidence, EvidenceStep};
use super::placement::Placement;
use crate::dial::{SHORT_LIFE, dial};
use crate::endpoints::EndpointFate;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::hubs::{MISSED_HEARTBEATS, Tier};
use crate::net;
use crate::quarantine::RequestSuspects;
use crate::task_guard::TaskGuard;
use crate::upstream::{EndpointTarget, StartAnswer, ask_start};

/// The time-out of the probe connection, which may go by way of another instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request waits for the probe connection. A reachable machine accepts or refuses within a
/// few network hops, and the request could continue at another endpoint meanwhile.
const PROBE_WAIT: Duration = Duration::from_millis(60);

/// How long a request waits for an accepted connection to close. A process that ends closes its
/// listener and its streams within milliseconds of each other.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(10);

/// How long the end of an answer waits for what its endpoint says of itself. An engine answers at
/// once, even if it is busy; other endpoints may need a free slot.
const START_WAIT: Duration = Duration::from_millis(400);

/// How long the end of an answer waits for a heartbeat of its endpoint.
const HEARTBEAT_WAIT: Duration = Duration::from_secs(2);

/// The part of a request's time that is kept to deliver its answer.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// How long an accepted connection is kept open to see whether it closes. It takes up a connection
/// of the endpoint.
const LISTENER_WATCH_TIME: Duration = Duration::from_millis(1_000);

/// The minimum interval between two probe connections to an endpoint that closes them.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// The interval at which the registry is searched for evidence about a pending end.
const FATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum transit time of a heartbeat that an endpoint sent before its connections broke.
const HEARTBEAT_TRANSIT_TIME: Duration = Duration::from_millis(250);

/// The result of probing an endpoint whose connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// The endpoint's process has ended.
    Ended,
    /// The endpoint had announced that it leaves.
    Left,
    /// The endpoint has sent a heartbeat since.
    Alive,
    /// The connection was neither accepted nor refused, or the endpoint was not heard from again.
    Unknown,
}

impl ProbeResult {
    fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Left => "left",
            Self::Alive => "lives",
            Self::Unknown => "unknown",
        }
    }
}

/// The progress of a probe, as seen by the requests that wait for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeProgress {
    /// No connection is open, and none has been refused.
    Connecting,
    /// A connection is open, so the end is pending.
    Accepted,
    Resolved(ProbeResult),
}

/// How a connection to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// In the middle of an answer, or before it.
    Broken,
    /// After a part of an answer whose end nothing else marks, so that the answer may be complete.
    Closed,
}

/// A request whose connection to an endpoint ended.
#[derive(Debug)]
struct EndedRun {
    request: String,
    suspects: RequestSuspects,
    end: ConnectionEnd,
    ended_at: MonotonicTime,
    /// The time from sending the request to the end of the connection.
    duration: Duration,
    /// The time from the head of the answer to the end of the connection, if the head had arrived.
    answer_time: Option<Duration>,
}

/// An endpoint whose connections ended and that is being probed.
#[derive(Debug)]
struct PendingEnd {
    /// In the order in which the connections ended.
    runs: Vec<EndedRun>,
    progress: watch::Sender<ProbeProgress>,
    /// Searches the registry for the endpoint's fate.
    _fate_watch: TaskGuard,
    /// Watches the endpoint's listener, until its connections stay open.
    listener_watch: Option<TaskGuard>,
}

/// The endpoints that are being probed.
#[derive(Debug, Default)]
pub(crate) struct PendingEnds(BTreeMap<EndpointStart, PendingEnd>);

/// Probes an endpoint whose connection broke during a request. Once it is known whether the
/// endpoint's process ended, logs the result with the request, and records an end for the
/// quarantine.
///
/// Returns when the result is known or pending.
pub(super) async fn probe_for_end(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: &Placement,
) {
    let run = EndedRun::new(gateway, request, placement, ConnectionEnd::Broken);
    let broke_at = run.ended_at;
    let mut progress = join_probe(gateway, run, placement.target());
    if !is_resolved(&wait_for_result(&mut progress).await) {
        gateway.record_broken_run(request.digest(), &placement.endpoint, broke_at);
    }
}

/// Determines whether an answer is complete that ended with its connection: whether the start that
/// wrote it was alive afterwards.
///
/// Clears the request of earlier ends, or records an end, once either is proved.
pub(super) async fn is_answer_complete(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: &Placement,
) -> bool {
    let target = placement.target();
    let run = EndedRun::new(gateway, request, placement, ConnectionEnd::Closed);
    let evidence = if placement.connection.is_relay_alive(gateway, &target).await {
        find_evidence(gateway, request, &target, run.ended_at).await
    } else {
        EndEvidence::RelayLost
    };
    gateway.metrics.unframed_ends.with_label_values(&[evidence.name()]).inc();
    if evidence == EndEvidence::Answered {
        gateway.record_complete_answer(|| run.suspects, run.duration);
        return true;
    }
    if evidence != EndEvidence::RelayLost {
        join_probe(gateway, run, target);
    }
    evidence.proves_complete()
}

/// Asks the endpoint, and waits for one of its heartbeats where the answer is better delivered late
/// than not at all.
async fn find_evidence(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    ended_at: MonotonicTime,
) -> EndEvidence {
    let is_engine = request.service.engine.is_some();
    let question = if is_engine {
        (gateway.dialect.ask_engine_start)(&target.endpoint)
    } else {
        (gateway.dialect.ask_endpoint_start)(&target.endpoint, &request.service.health_path)
    };
    let asked = timeout(START_WAIT, ask_start(gateway, target, question)).await;
    let case = EndCase {
        is_known: gateway.endpoints.borrow().is_known(&target.endpoint),
        may_go_on_elsewhere: is_engine && request.route.repeat.may_repeat(),
    };
    match case.judge_answer(asked.unwrap_or(StartAnswer::Unclear)) {
        EvidenceStep::Found(evidence) => evidence,
        EvidenceStep::AwaitHeartbeat => {
            let time_left = request.time_left().saturating_sub(DELIVERY_TIME);
            let heartbeat = wait_for_heartbeat(gateway, target, ended_at);
            let found = timeout(time_left.min(HEARTBEAT_WAIT), heartbeat).await;
            found.unwrap_or(EndEvidence::None)
        }
    }
}

async fn wait_for_heartbeat(
    gateway: &Gateway,
    target: &EndpointTarget,
    ended_at: MonotonicTime,
) -> EndEvidence {
    loop {
        let fate = gateway.endpoints.borrow().fate(&target.endpoint, target.address);
        match evidence::judge_fate(fate, ended_at, gateway.heard_margin()) {
            EvidenceStep::Found(evidence) => return evidence,
            EvidenceStep::AwaitHeartbeat => sleep(FATE_CHECK_INTERVAL).await,
        }
    }
}

fn is_resolved(progress: &ProbeProgress) -> bool {
    matches!(progress, ProbeProgress::Resolved(_))
}

/// Waits a short time for the result of a probe. Returns the progress that it has made.
async fn wait_for_result(progress: &mut watch::Receiver<ProbeProgress>) -> ProbeProgress {
    let wait_for = async |progress: &mut watch::Receiver<_>, limit, is_awaited: fn(&_) -> bool| {
        // The sender is dropped only after the result has been recorded.
        let _ = timeout(limit, progress.wait_for(is_awaited)).await;
    };
    wait_for(progress, PROBE_WAIT, |state| *state != ProbeProgress::Connecting).await;
    wait_for(progress, CLOSE_TIMEOUT, is_resolved).await;
    *progress.borrow()
}

impl EndedRun {
    fn new(
        gateway: &Gateway,
        request: &CallerRequest,
        placement: &Placement,
        end: ConnectionEnd,
    ) -> Self {
        Self {
            request: request.id.clone(),
            suspects: request.suspects(),
            end,
            ended_at: gateway.now(),
            duration: placement.run_time(),
            answer_time: placement.answer_time(),
        }
    }
}

/// Adds a run to the probe of its endpoint, and starts the probe if there is none.
fn join_probe(
    gateway: &Rc<Gateway>,
    run: EndedRun,
    target: EndpointTarget,
) -> watch::Receiver<ProbeProgress> {
    let mut pending = gateway.pending_ends.borrow_mut();
    if let Some(end) = pending.0.get_mut(&target.endpoint) {
        end.runs.push(run);
        if end.listener_watch.is_none() {
            end.progress.send_replace(ProbeProgress::Connecting);
            end.listener_watch = Some(TaskGuard::spawn(watch_listener(gateway, target)));
        }
        return end.progress.subscribe();
    }
    let (progress, watched) = watch::channel(ProbeProgress::Connecting);
    let is_serving = gateway.endpoints.borrow().is_serving(&target.endpoint);
    let listener_watch =
        is_serving.then(|| TaskGuard::spawn(watch_listener(gateway, target.clone())));
    let fate_watch = TaskGuard::spawn(watch_fate(gateway, target.clone(), is_serving));
    let end = PendingEnd { runs: vec![run], progress, _fate_watch: fate_watch, listener_watch };
    pending.0.insert(target.endpoint, end);
    watched
}

/// Probes an endpoint's listener and records the result, unless the connections stay open.
fn watch_listener(
    gateway: &Rc<Gateway>,
    target: EndpointTarget,
) -> impl Future<Output = ()> + 'static {
    let gateway = Rc::clone(gateway);
    async move {
        let result = probe_listener(&gateway, &target).await;
        if let Some(end) = gateway.pending_ends.borrow_mut().0.get_mut(&target.endpoint) {
            end.listener_watch = None;
        }
        if let Some(result) = result {
            record_result(&gateway, &target.endpoint, result, |_| true);
        }
    }
}

/// Probes an endpoint's listener until a connection is refused. Returns `None` if its connections
/// stay open.
async fn probe_listener(gateway: &Rc<Gateway>, target: &EndpointTarget) -> Option<ProbeResult> {
    let endpoint = &target.endpoint;
    let watched_until = Instant::now() + LISTENER_WATCH_TIME;
    while Instant::now() < watched_until {
        let plan = gateway.dial_plan(endpoint, SHORT_LIFE, false);
        let stream = match timeout(PROBE_TIMEOUT, dial(gateway, target, plan)).await {
            Ok(Ok(connection)) => connection.stream,
            Ok(Err(failure)) if failure.is_refusal() => return Some(ProbeResult::Ended),
            Ok(Err(_)) | Err(_) => return Some(ProbeResult::Unknown),
        };
        gateway.set_probe_progress(endpoint, ProbeProgress::Accepted);
        if timeout_at(watched_until, net::wait_until_closed(&stream)).await.is_err() {
            return None;
        }
        gateway.set_probe_progress(endpoint, ProbeProgress::Connecting);
        sleep(PROBE_INTERVAL).await;
    }
    None
}

/// Searches the registry for evidence whether an endpoint was alive after its connections ended,
/// and records it. An endpoint that was not serving has announced that it leaves, unless it was
/// replaced.
fn watch_fate(
    gateway: &Rc<Gateway>,
    target: EndpointTarget,
    was_serving: bool,
) -> impl Future<Output = ()> + 'static {
    let gateway = Rc::clone(gateway);
    async move {
        let EndpointTarget { endpoint, address } = target;
        if !was_serving {
            let fate = gateway.endpoints.borrow().fate(&endpoint, address);
            let is_replaced = fate == EndpointFate::Replaced;
            // The next start may have run the request behind a listener that was kept open.
            let result = if is_replaced { ProbeResult::Unknown } else { ProbeResult::Left };
            record_result(&gateway, &endpoint, result, |_| true);
            return;
        }
        loop {
            sleep(FATE_CHECK_INTERVAL).await;
            let fate = gateway.endpoints.borrow().fate(&endpoint, address);
            let result = match fate {
                EndpointFate::Heard(at) => {
                    let margin = gateway.heard_margin();
                    let is_refuted = |run: &EndedRun| at >= run.ended_at + margin;
                    record_result(&gateway, &endpoint, ProbeResult::Alive, is_refuted);
                    continue;
                }
                EndpointFate::Replaced => ProbeResult::Ended,
                EndpointFate::Left => ProbeResult::Left,
                EndpointFate::Expired => ProbeResult::Unknown,
            };
            record_result(&gateway, &endpoint, result, |_| true);
        }
    }
}

/// Records the result of an endpoint's probe for the runs that it resolves. The probe ends with its
/// last run.
fn record_result(
    gateway: &Gateway,
    endpoint: &EndpointStart,
    result: ProbeResult,
    is_resolved: impl Fn(&EndedRun) -> bool,
) {
    let mut pending = gateway.pending_ends.borrow_mut();
    let Some(end) = pending.0.get_mut(endpoint) else { return };
    let (resolved, open): (Vec<_>, Vec<_>) = end.runs.drain(..).partition(is_resolved);
    end.runs = open;
    let ended_probe = if end.runs.is_empty() { pending.0.remove(endpoint) } else { None };
    drop(pending);
    if !resolved.is_empty() {
        gateway.broken_runs.borrow_mut().resolve(endpoint);
    }
    for run in &resolved {
        record_run(gateway, endpoint, result, run);
    }
    if let Some(probe) = ended_probe {
        probe.progress.send_replace(ProbeProgress::Resolved(result));
    }
}

fn record_run(gateway: &Gateway, endpoint: &EndpointStart, result: ProbeResult, run: &EndedRun) {
    gateway.metrics.end_probes.with_label_values(&[result.name()]).inc();
    match (result, run.end) {
        (ProbeResult::Ended, _) => {
            let digest = run.suspects.request;
            gateway.record_endpoint_end(digest, endpoint, run.ended_at, run.duration);
            // The engine may have written a head that was lost with its process.
            let duration = run.answer_time.unwrap_or(run.duration);
            gateway.record_end_under_parts(&run.suspects, endpoint, run.ended_at, duration);
        }
        (ProbeResult::Alive, ConnectionEnd::Closed) => {
            // The answer was complete, which is the usual case and needs no line.
            gateway.record_complete_answer(|| run.suspects.clone(), run.duration);
            return;
        }
        _ => {}
    }
    gateway
        .line(EventKind::EndpointEnd)
        .text("request", &run.request)
        .text("digest", run.suspects.request)
        .maybe("parts", part_list(&run.suspects))
        .text("endpoint", endpoint)
        .millis("run_ms", run.duration)
        .maybe_millis("answer_ms", run.answer_time)
        .millis("broken_ms", gateway.now().since(run.ended_at))
        .maybe_millis("silent_ms", gateway.endpoints.borrow().silence(gateway.now(), endpoint))
        .maybe("log_odds", gateway.cause_log_odds(run.suspects.request))
        .text("outcome", result.name());
}

/// Lists the digests of the parts of a prompt. Returns `None` if it shares none.
fn part_list(suspects: &RequestSuspects) -> Option<String> {
    let digests: Vec<String> = suspects.parts.iter().map(ToString::to_string).collect();
    (!digests.is_empty()).then(|| digests.join(","))
}

impl Gateway {
    fn set_probe_progress(&self, endpoint: &EndpointStart, progress: ProbeProgress) {
        if let Some(end) = self.pending_ends.borrow().0.get(endpoint) {
            end.progress.send_replace(progress);
        }
    }

    /// Returns how long after the end of a connection a heartbeat must arrive to have been sent
    /// later.
    fn heard_margin(&self) -> Duration {
        // A leaf learns only which endpoints have been silent for longer than a threshold.
        match self.tier() {
            Tier::Mesh | Tier::Hub => HEARTBEAT_TRANSIT_TIME,
            Tier::Leaf => self.settings().bounds.endpoint_heartbeat * MISSED_HEARTBEATS,
        }
    }
}
