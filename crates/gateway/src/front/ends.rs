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

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_quarantine::RequestDigest;
use oriolepass_units::{EndpointStart, MonotonicTime};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::caller::CallerRequest;
use super::placement::Placement;
use crate::dial::{SHORT_LIFE, dial};
use crate::endpoints::EndpointFate;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::hubs::{MISSED_HEARTBEATS, Tier};
use crate::net;
use crate::upstream::EndpointTarget;

/// The time-out of the probe connection, which may go by way of another instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request waits for the probe connection. A reachable machine accepts or refuses within a
/// few network hops, and the request could continue at another endpoint meanwhile.
const PROBE_WAIT: Duration = Duration::from_millis(60);

/// How long a request waits for an accepted connection to close. A process that ends closes its
/// listener and its streams within milliseconds of each other.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(10);

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
    Connecting,
    /// A connection was accepted, so the end is pending.
    Accepted,
    Resolved,
}

/// A request whose connection to an endpoint broke.
#[derive(Debug)]
struct BrokenRun {
    request: String,
    digest: RequestDigest,
    broke_at: MonotonicTime,
    /// The time from sending the request to the broken connection.
    duration: Duration,
}

/// An endpoint whose connections broke and that is being probed.
#[derive(Debug)]
struct PendingEnd {
    runs: Vec<BrokenRun>,
    progress: watch::Sender<ProbeProgress>,
}

/// The endpoints that are being probed, each by one task.
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
    let (endpoint, broke_at) = (&placement.endpoint, gateway.now());
    let run = BrokenRun {
        request: request.id.clone(),
        digest: request.digest(),
        broke_at,
        duration: placement.run_time(),
    };
    let mut progress = join_probe(gateway, run, placement.target());
    let wait_for = async |progress: &mut watch::Receiver<_>, limit, is_awaited: fn(&_) -> bool| {
        // The sender is dropped only after the result has been recorded.
        let _ = timeout(limit, progress.wait_for(is_awaited)).await;
    };
    wait_for(&mut progress, PROBE_WAIT, |state| *state != ProbeProgress::Connecting).await;
    wait_for(&mut progress, CLOSE_TIMEOUT, |state| *state == ProbeProgress::Resolved).await;
    if *progress.borrow() != ProbeProgress::Resolved {
        gateway.record_broken_run(request.digest(), endpoint, broke_at);
    }
}

/// Adds a run to the probe of its endpoint, and starts the probe if there is none.
fn join_probe(
    gateway: &Rc<Gateway>,
    run: BrokenRun,
    target: EndpointTarget,
) -> watch::Receiver<ProbeProgress> {
    let mut pending = gateway.pending_ends.borrow_mut();
    if let Some(end) = pending.0.get_mut(&target.endpoint) {
        end.runs.push(run);
        return end.progress.subscribe();
    }
    let (progress, watched) = watch::channel(ProbeProgress::Connecting);
    let end = PendingEnd { runs: vec![run], progress };
    pending.0.insert(target.endpoint.clone(), end);
    spawn_local(run_probe(Rc::clone(gateway), target));
    watched
}

async fn run_probe(gateway: Rc<Gateway>, target: EndpointTarget) {
    let endpoint = &target.endpoint;
    let result = if gateway.endpoints.borrow().is_serving(endpoint) {
        tokio::select! {
            result = watch_listener(&gateway, &target) => result,
            result = watch_fate(&gateway, endpoint, target.address) => result,
        }
    } else {
        ProbeResult::Left
    };
    record_result(&gateway, endpoint, result);
}

/// Probes an endpoint's listener until a connection is refused. Never returns if its connections
/// stay open.
async fn watch_listener(gateway: &Rc<Gateway>, target: &EndpointTarget) -> ProbeResult {
    let endpoint = &target.endpoint;
    let watched_until = Instant::now() + LISTENER_WATCH_TIME;
    while Instant::now() < watched_until {
        let plan = gateway.dial_plan(endpoint, SHORT_LIFE, false);
        let stream = match timeout(PROBE_TIMEOUT, dial(gateway, target, plan)).await {
            Ok(Ok(connection)) => connection.stream,
            Ok(Err(failure)) if failure.is_refusal => return ProbeResult::Ended,
            Ok(Err(_)) | Err(_) => return ProbeResult::Unknown,
        };
        gateway.set_probe_progress(endpoint, ProbeProgress::Accepted);
        if timeout_at(watched_until, net::wait_until_closed(&stream)).await.is_err() {
            break;
        }
        sleep(PROBE_INTERVAL).await;
    }
    std::future::pending().await
}

/// Waits until the registry shows whether an endpoint was alive after its connections broke.
async fn watch_fate(
    gateway: &Gateway,
    endpoint: &EndpointStart,
    address: SocketAddr,
) -> ProbeResult {
    loop {
        sleep(FATE_CHECK_INTERVAL).await;
        let fate = gateway.endpoints.borrow().fate(endpoint, address);
        match fate {
            EndpointFate::Heard(at) if gateway.is_heard_after_breaks(endpoint, at) => {
                return ProbeResult::Alive;
            }
            EndpointFate::Heard(_) => {}
            EndpointFate::Replaced => return ProbeResult::Ended,
            EndpointFate::Left => return ProbeResult::Left,
            EndpointFate::Expired => return ProbeResult::Unknown,
        }
    }
}

/// Ends the probe of an endpoint and records its result for each run.
fn record_result(gateway: &Gateway, endpoint: &EndpointStart, result: ProbeResult) {
    let end = gateway.pending_ends.borrow_mut().0.remove(endpoint);
    let Some(PendingEnd { runs, progress }) = end else { return };
    gateway.broken_runs.borrow_mut().resolve(endpoint);
    for run in runs {
        if result == ProbeResult::Ended {
            gateway.record_endpoint_end(run.digest, endpoint, run.broke_at, run.duration);
        }
        gateway.metrics.end_probes.with_label_values(&[result.name()]).inc();
        gateway
            .line(EventKind::EndpointEnd)
            .text("request", &run.request)
            .text("digest", run.digest)
            .text("endpoint", endpoint)
            .millis("run_ms", run.duration)
            .millis("broken_ms", gateway.now().since(run.broke_at))
            .maybe("log_odds", gateway.cause_log_odds(run.digest))
            .text("outcome", result.name());
    }
    progress.send_replace(ProbeProgress::Resolved);
}

impl Gateway {
    fn set_probe_progress(&self, endpoint: &EndpointStart, progress: ProbeProgress) {
        if let Some(end) = self.pending_ends.borrow().0.get(endpoint) {
            end.progress.send_replace(progress);
        }
    }

    /// Returns whether a heartbeat heard at `heard` was sent after the last broken connection of an
    /// endpoint.
    fn is_heard_after_breaks(&self, endpoint: &EndpointStart, heard: MonotonicTime) -> bool {
        // A leaf learns only which endpoints have been silent for longer than a threshold.
        let margin = match self.tier() {
            Tier::Mesh | Tier::Hub => HEARTBEAT_TRANSIT_TIME,
            Tier::Leaf => self.settings().bounds.endpoint_heartbeat * MISSED_HEARTBEATS,
        };
        let pending = self.pending_ends.borrow();
        let last_break = pending.0.get(endpoint).and_then(|end| end.runs.last());
        last_break.is_some_and(|run| heard >= run.broke_at + margin)
    }
}
