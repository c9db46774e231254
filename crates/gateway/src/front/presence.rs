//! Whether an endpoint that answers nothing is still there.
//!
//! Silence alone says little: a long prompt is read for seconds. An endpoint whose heartbeats have
//! stopped as well, and that takes no new connection, is gone, however long its answer was
//! predicted to take. Until that is noticed a request waits in vain, and holds memory on engines
//! that others need.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::EndpointStart;
use tokio::time::sleep;

use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::upstream;

/// Heartbeats that must be missing before an endpoint is looked for: one may be lost, and one late.
/// With the time for two connections, one that is gone is noticed within four heartbeats.
const MISSING_HEARTBEATS: f64 = 2.5;

/// The least time between two looks at the heartbeats.
const LOOK_AT_LEAST: Duration = Duration::from_millis(250);

/// Between two connections to an endpoint whose heartbeats are missing and that takes connections.
const CONNECT_AGAIN: Duration = Duration::from_millis(1_000);

/// Waits for an answer for as long as its endpoint is there; none once it is gone.
pub(super) async fn while_present<T>(
    gateway: &Gateway,
    request: &str,
    endpoint: &EndpointStart,
    address: SocketAddr,
    answer: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        answer = answer => Some(answer),
        reason = until_gone(gateway, endpoint, address) => {
            gateway
                .line(EventKind::Endpoint)
                .text("endpoint", endpoint)
                .text("request", request)
                .text("reason", reason)
                .text("outcome", "gone");
            None
        }
    }
}

/// Waits until an endpoint is gone; returns how that showed.
async fn until_gone(gateway: &Gateway, endpoint: &EndpointStart, address: SocketAddr) -> String {
    let mut look_in = LOOK_AT_LEAST;
    loop {
        sleep(look_in).await;
        let missing = gateway.settings().bounds.endpoint_heartbeat.mul_f64(MISSING_HEARTBEATS);
        let (silence, present) = {
            let registry = gateway.endpoints.borrow();
            (registry.silence(gateway.now(), endpoint), registry.at(address))
        };
        if let Some(silence) = silence.filter(|silence| *silence < missing) {
            look_in = (missing - silence).max(LOOK_AT_LEAST);
            continue;
        }
        if let Some(other) = present.filter(|other| other != endpoint) {
            return format!("no heartbeats, and {other} is at its address");
        }
        // One that has left may take no new connections and still finish what it has.
        let has_left = silence.is_none();
        match upstream::connect(address).await {
            Err(failure) if !(failure.is_refusal && has_left) => {
                return format!("no heartbeats, and no connection: {}", failure.reason);
            }
            Ok(_) | Err(_) => look_in = CONNECT_AGAIN,
        }
    }
}
