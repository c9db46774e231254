//! Whether an endpoint has ended under a request, or merely lost its answer.
//!
//! A connection that breaks in the middle of an answer says little: the endpoint may have cut it, or a
//! machine in between. Where a new connection to the same address is refused at once, the machine is
//! there and nobody listens: the endpoint's process is gone. One that is not answered at all proves
//! nothing, as that is what a cut looks like; one that is accepted shows that somebody lives there.

use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::EndpointStart;
use tokio::time::timeout;

use super::caller::CallerRequest;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::net;

/// How long a new connection is waited for. A machine that is there accepts or refuses within a hop,
/// and a request that could go on elsewhere waits meanwhile.
const LOOK_PATIENCE: Duration = Duration::from_millis(60);

/// What a look at an endpoint that lost an answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndLook {
    /// Nobody listens at its address any more.
    Ended,
    /// It had said that it would leave.
    Left,
    /// A connection is accepted.
    Lives,
    /// No answer.
    Unknown,
}

impl EndLook {
    fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Left => "left",
            Self::Lives => "lives",
            Self::Unknown => "unknown",
        }
    }
}

/// Looks whether an endpoint that lost a request's answer has ended, and writes down which request
/// that was.
pub(super) async fn look_for_end(
    gateway: &Gateway,
    request: &CallerRequest,
    endpoint: &EndpointStart,
    address: SocketAddr,
) {
    let look = look(gateway, endpoint, address).await;
    if look == EndLook::Ended {
        gateway.record_endpoint_end(request.digest(), endpoint);
    }
    gateway.metrics.end_looks.with_label_values(&[look.name()]).inc();
    gateway
        .line(EventKind::EndpointEnd)
        .text("request", &request.id)
        .text("digest", request.digest())
        .text("endpoint", endpoint)
        .text("outcome", look.name());
}

async fn look(gateway: &Gateway, endpoint: &EndpointStart, address: SocketAddr) -> EndLook {
    if !gateway.endpoints.borrow().is_serving(endpoint) {
        return EndLook::Left;
    }
    match timeout(LOOK_PATIENCE, net::connect(address, None)).await {
        Ok(Ok(_)) => EndLook::Lives,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => EndLook::Ended,
        Ok(Err(_)) | Err(_) => EndLook::Unknown,
    }
}
