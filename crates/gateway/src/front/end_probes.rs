//! Searches for evidence whether the process of an endpoint has ended.
//!
//! `ends` tells what counts as evidence.

use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::EndpointStart;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::ends::{
    ConnectionEnd, EndedRun, FATE_CHECK_INTERVAL, ProbeProgress, ProbeResult, START_WAIT,
    record_presumed_end, record_result,
};
use crate::announce::HEARTBEAT_FORWARD_INTERVAL;
use crate::dial::{FailureKind, SHORT_LIFE, dial};
use crate::endpoints::{EndpointFate, MAX_HEARTBEAT_DELAY};
use crate::gateway::Gateway;
use crate::hubs::{MISSED_HEARTBEATS, Tier};
use crate::upstream::{EndpointTarget, StartAnswer, ask_start};

/// The time-out of the probe connection, which may go by way of another instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an endpoint is probed that accepts connections. An open one takes up a connection of the
/// endpoint.
const LISTENER_WATCH_TIME: Duration = Duration::from_millis(1_000);

/// The minimum interval between two probe connections to an endpoint that closes them.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// The maximum number of attempts to get an answer of an engine that accepts connections.
const MAX_QUESTIONS: u32 = 2;

/// The delay between probes while this instance reaches no endpoint.
const REACH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The longest regular interval between two heartbeats, in nominal intervals.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.1;

/// The usual maximum transit time of a heartbeat that an endpoint sent before its connections broke. A
/// later one makes an end look refuted, which costs evidence only.
const HEARTBEAT_TRANSIT_TIME: Duration = Duration::from_millis(250);

/// What shows that no process serves at an endpoint's address, short of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointAbsence {
    /// Neither this instance nor those that it asked for a tunnel can connect, though this one
    /// connects to another endpoint.
    Unreachable,
    /// Each new connection is closed.
    Closing,
    /// The engine accepts connections and answers no call. A busy engine answers calls.
    Mute,
    /// Connections are refused, and the endpoint had announced that it leaves. It may have ended by
    /// itself.
    Leaving,
}

impl EndpointAbsence {
    /// Returns whether it shows that a run was interrupted. A connection that only fell silent may
    /// do so because of a process that is suspended.
    pub(super) fn explains(self, end: ConnectionEnd) -> bool {
        self == Self::Unreachable || end != ConnectionEnd::Silent
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Closing => "closing",
            Self::Mute => "mute",
            Self::Leaving => "leaving",
        }
    }
}

/// What became of an endpoint's listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListenerState {
    Refused,
    Unreachable,
    /// It closes each connection.
    Closing,
    /// It accepts connections, which stay open, or cannot be probed.
    Open,
}

/// Probes an endpoint's listener, and records the end of the process if it is proved, or that no
/// process serves there.
pub(super) fn watch_listener(
    gateway: &Rc<Gateway>,
    target: EndpointTarget,
    is_engine: bool,
) -> impl Future<Output = ()> + 'static {
    let gateway = Rc::clone(gateway);
    async move {
        let endpoint = &target.endpoint;
        let absence = loop {
            match probe_listener(&gateway, &target).await {
                ListenerState::Refused if gateway.endpoints.borrow().is_serving(endpoint) => {
                    record_result(&gateway, endpoint, ProbeResult::Ended, |_| true);
                    break None;
                }
                ListenerState::Refused => break Some(EndpointAbsence::Leaving),
                ListenerState::Unreachable => {
                    if gateway.reaches_another_endpoint(endpoint).await {
                        break Some(EndpointAbsence::Unreachable);
                    }
                    sleep(REACH_RETRY_DELAY).await;
                }
                ListenerState::Closing => break Some(EndpointAbsence::Closing),
                // Other endpoints may need a free slot for an answer.
                ListenerState::Open => {
                    let is_absent = is_engine && is_mute(&gateway, &target).await;
                    break is_absent.then_some(EndpointAbsence::Mute);
                }
            }
        };
        gateway.pending_ends.borrow_mut().finish_probe(endpoint, absence);
    }
}

/// Probes an endpoint's listener until a connection is refused, stays open or cannot be made.
async fn probe_listener(gateway: &Rc<Gateway>, target: &EndpointTarget) -> ListenerState {
    let endpoint = &target.endpoint;
    let watched_until = Instant::now() + LISTENER_WATCH_TIME;
    while Instant::now() < watched_until {
        let plan = gateway.dial_plan(endpoint, SHORT_LIFE, false);
        let stream = match timeout(PROBE_TIMEOUT, dial(gateway, target, plan)).await {
            Ok(Ok(connection)) => connection.stream,
            Ok(Err(failure)) => match failure.kind {
                FailureKind::Refused => return ListenerState::Refused,
                FailureKind::Unreachable => return ListenerState::Unreachable,
                FailureKind::Resting => return ListenerState::Open,
            },
            Err(_) => return ListenerState::Unreachable,
        };
        set_progress(gateway, endpoint, ProbeProgress::Accepted);
        if timeout_at(watched_until, stream.wait_until_closed()).await.is_err() {
            return ListenerState::Open;
        }
        set_progress(gateway, endpoint, ProbeProgress::Connecting);
        sleep(PROBE_INTERVAL).await;
    }
    ListenerState::Closing
}

/// Returns whether an engine answers no call. One that rests is not asked.
pub(super) async fn is_mute(gateway: &Rc<Gateway>, target: &EndpointTarget) -> bool {
    for _ in 0..MAX_QUESTIONS {
        if gateway.is_resting(&target.endpoint) {
            return false;
        }
        let question = (gateway.dialect.ask_engine_start)(&target.endpoint);
        let asked = timeout(START_WAIT, ask_start(gateway, target, question)).await;
        if asked.is_ok_and(|answer| answer != StartAnswer::Unclear) {
            return false;
        }
    }
    true
}

/// Searches the registry for evidence whether an endpoint was alive after its connections ended,
/// and records it. An endpoint that is not known any more has announced that it leaves, unless it was
/// replaced.
pub(super) fn watch_fate(
    gateway: &Rc<Gateway>,
    target: EndpointTarget,
    has_left: bool,
) -> impl Future<Output = ()> + 'static {
    let gateway = Rc::clone(gateway);
    async move {
        let EndpointTarget { endpoint, address } = target;
        if has_left {
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
                    let is_refuted = |run: &EndedRun| at >= run.noticed_at + margin;
                    record_result(&gateway, &endpoint, ProbeResult::Alive, is_refuted);
                    presume_ends(&gateway, &endpoint);
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

/// Presumes that the process of an endpoint has ended if it is absent, its heartbeats are overdue,
/// and those of other endpoints arrive. Records the ends of its runs.
fn presume_ends(gateway: &Gateway, endpoint: &EndpointStart) {
    let absence = gateway.pending_ends.borrow().absence(endpoint);
    let Some(absence) = absence.filter(|_| gateway.is_lone_silence(endpoint)) else { return };
    let presumed = gateway.pending_ends.borrow_mut().presume(endpoint, absence);
    for run in &presumed {
        record_presumed_end(gateway, endpoint, run, absence);
    }
}

fn set_progress(gateway: &Gateway, endpoint: &EndpointStart, progress: ProbeProgress) {
    gateway.pending_ends.borrow().set_progress(endpoint, progress);
}

impl Gateway {
    /// Returns the silence after which the heartbeats of an endpoint are overdue.
    pub(super) fn overdue_silence(&self) -> Duration {
        let heartbeat = self.settings().bounds.endpoint_heartbeat;
        match self.tier() {
            Tier::Mesh | Tier::Hub => {
                heartbeat.mul_f64(MAX_HEARTBEAT_INTERVALS) + HEARTBEAT_FORWARD_INTERVAL
            }
            // A leaf learns only which endpoints have been silent for longer than a threshold.
            Tier::Leaf => heartbeat * MISSED_HEARTBEATS + HEARTBEAT_TRANSIT_TIME,
        }
    }

    /// Returns whether the heartbeats of an endpoint are overdue while those of another one in its
    /// data centre arrive. If all are overdue, the data centre or this instance may be cut off.
    fn is_lone_silence(&self, endpoint: &EndpointStart) -> bool {
        let overdue = self.overdue_silence();
        self.endpoints.borrow().is_lone_silence(self.now(), endpoint, overdue)
    }

    /// Returns how long after the end of a connection a heartbeat must arrive to prove that it was sent
    /// later, however late it is. On a leaf, it may also have arrived earlier than it is dated.
    pub(crate) fn heard_proof_margin(&self) -> Duration {
        self.heard_margin() + MAX_HEARTBEAT_DELAY
    }

    /// Returns how long the end of an answer waits for evidence: until the next heartbeat arrives that
    /// proves something.
    pub(super) fn evidence_wait(&self) -> Duration {
        let heartbeat = self.settings().bounds.endpoint_heartbeat;
        self.heard_proof_margin() + heartbeat.mul_f64(MAX_HEARTBEAT_INTERVALS)
    }

    /// Returns how long after the end of a connection a heartbeat must arrive to have been sent
    /// later, unless it was late.
    pub(super) fn heard_margin(&self) -> Duration {
        // A leaf learns only which endpoints have been silent for longer than a threshold.
        match self.tier() {
            Tier::Mesh | Tier::Hub => HEARTBEAT_TRANSIT_TIME,
            Tier::Leaf => self.settings().bounds.endpoint_heartbeat * MISSED_HEARTBEATS,
        }
    }
}
