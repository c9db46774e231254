//! Detects that an endpoint that sends no answer is gone.
//!
//! A missing answer alone is no evidence, since an engine reads a long prompt for seconds. An
//! endpoint is gone if its heartbeats have stopped as well and it accepts no new connection,
//! regardless of the predicted time of its answer. Until this is detected, a request waits in vain
//! and holds engine memory that other requests need.
//!
//! Once the heartbeats are overdue, the request is also followed as one that may have ended its
//! endpoint. This holds for every request, also for one whose answer is awaited in any case.

use std::convert::Infallible;
use std::future::{Future, pending};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::caller::CallerRequest;
use super::ends::watch_silent_run;
use super::placement::RunClock;
use crate::dial::{FailureKind, SHORT_LIFE, dial};
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::upstream::EndpointTarget;

/// The silence before an endpoint is probed, in heartbeat intervals. One heartbeat may be lost and
/// another late. Including the time for two connections, a lost endpoint is detected within four
/// heartbeat intervals.
const MAX_SILENT_HEARTBEATS: f64 = 2.5;

/// The minimum interval between checks of the heartbeats.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between probes of an endpoint that sends no heartbeats but accepts connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Waits for an answer while its endpoint is alive. Returns `None` once the endpoint is gone.
pub(super) async fn while_alive<T>(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    clock: &RunClock,
    answer: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        answer = with_silence_watch(gateway, request, target, clock, answer) => Some(answer),
        reason = wait_until_gone(gateway, target) => {
            gateway
                .line(EventKind::Endpoint)
                .text("endpoint", &target.endpoint)
                .text("request", &request.id)
                .text("reason", reason)
                .text("outcome", "gone");
            None
        }
    }
}

/// Waits for an answer. Follows the request as one that may have ended its endpoint once the
/// heartbeats of the endpoint are overdue.
pub(super) async fn with_silence_watch<T>(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    clock: &RunClock,
    answer: impl Future<Output = T>,
) -> T {
    tokio::select! {
        biased;
        answer = answer => answer,
        never = watch_silence(gateway, request, target, clock) => match never {},
    }
}

/// Waits until the heartbeats of an endpoint are overdue, and follows the request from then on.
async fn watch_silence(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    clock: &RunClock,
) -> Infallible {
    let mut check_delay = MIN_CHECK_INTERVAL;
    loop {
        sleep(check_delay).await;
        let overdue = gateway.overdue_silence();
        let silence = gateway.endpoints.borrow().silence(gateway.now(), &target.endpoint);
        // A request that has not been delivered cannot have ended the endpoint.
        if silence.is_some_and(|silence| silence >= overdue) && clock.is_delivered() {
            watch_silent_run(gateway, request, target, clock);
            return pending().await;
        }
        let rest = silence.map_or(overdue, |silence| overdue.saturating_sub(silence));
        check_delay = rest.max(MIN_CHECK_INTERVAL);
    }
}

/// Waits until an endpoint is gone. Returns the evidence as a text for the log.
async fn wait_until_gone(gateway: &Rc<Gateway>, target: &EndpointTarget) -> String {
    let EndpointTarget { endpoint, address } = target;
    let mut check_delay = MIN_CHECK_INTERVAL;
    loop {
        sleep(check_delay).await;
        let max_silence =
            gateway.settings().bounds.endpoint_heartbeat.mul_f64(MAX_SILENT_HEARTBEATS);
        let (silence, occupant) = {
            let registry = gateway.endpoints.borrow();
            (registry.silence(gateway.now(), endpoint), registry.at(*address))
        };
        if let Some(silence) = silence.filter(|silence| *silence < max_silence) {
            check_delay = (max_silence - silence).max(MIN_CHECK_INTERVAL);
            continue;
        }
        if let Some(other) = occupant.filter(|other| other != endpoint) {
            return format!("no heartbeats, and its address now belongs to {other}");
        }
        // An endpoint that has left may refuse new connections and still finish its requests.
        let has_left = silence.is_none();
        let plan = gateway.dial_plan(endpoint, SHORT_LIFE, false);
        match dial(gateway, target, plan).await {
            Err(failure)
                if failure.kind != FailureKind::Resting && !(failure.is_refusal() && has_left) =>
            {
                return format!(
                    "no heartbeats, and the probe connection failed: {}",
                    failure.reason
                );
            }
            Ok(_) | Err(_) => check_delay = PROBE_INTERVAL,
        }
    }
}
