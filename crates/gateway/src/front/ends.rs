//! Detects whether an endpoint's process ended while it served a request, or only the connection
//! was lost.
//!
//! A connection that breaks in the middle of an answer is ambiguous: the endpoint or a machine on
//! the path may have closed it. The gateway therefore opens a new connection to the same address.
//! An immediate refusal shows that the machine is up and that no process listens, so the endpoint's
//! process has ended. A connection that times out proves nothing, since a network partition looks
//! the same. An accepted connection shows that a process listens at the address.

use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::EndpointStart;
use tokio::time::timeout;

use super::caller::CallerRequest;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::net;

/// The time-out of the probe connection. A reachable machine accepts or refuses within a network
/// hop, and a request that could continue at another endpoint waits meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// The result of probing an endpoint whose connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// No process listens at the endpoint's address.
    Ended,
    /// The endpoint had announced that it leaves.
    Left,
    /// The endpoint accepted the connection.
    Alive,
    /// The connection was neither accepted nor refused.
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

/// Probes an endpoint whose connection broke during a request. Logs the result with the request,
/// and records the end for the quarantine if the endpoint's process has ended.
pub(super) async fn probe_for_end(
    gateway: &Gateway,
    request: &CallerRequest,
    endpoint: &EndpointStart,
    address: SocketAddr,
) {
    let result = probe(gateway, endpoint, address).await;
    if result == ProbeResult::Ended {
        gateway.record_endpoint_end(request.digest(), endpoint);
    }
    gateway.metrics.end_probes.with_label_values(&[result.name()]).inc();
    gateway
        .line(EventKind::EndpointEnd)
        .text("request", &request.id)
        .text("digest", request.digest())
        .text("endpoint", endpoint)
        .text("outcome", result.name());
}

async fn probe(gateway: &Gateway, endpoint: &EndpointStart, address: SocketAddr) -> ProbeResult {
    if !gateway.endpoints.borrow().is_serving(endpoint) {
        return ProbeResult::Left;
    }
    match timeout(PROBE_TIMEOUT, net::connect(address, None)).await {
        Ok(Ok(_)) => ProbeResult::Alive,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            ProbeResult::Ended
        }
        Ok(Err(_)) | Err(_) => ProbeResult::Unknown,
    }
}
