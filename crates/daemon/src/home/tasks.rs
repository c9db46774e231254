//! Background tasks of the home: calls to endpoints and other daemons, which run outside the
//! home's thread so that they do not block it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_scheduler::HomeDigest;
use oriolepass_units::{AttemptId, EndpointId};
use tokio::sync::mpsc;

use crate::peers::PeerQuestion;
use crate::shared::DaemonShared;

/// Timeout of a call to an endpoint.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the delivery of a digest to another daemon.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(500);

/// A background task of the home.
pub(crate) enum HomeTask {
    /// Cancels an attempt on an endpoint.
    Cancel { address: SocketAddr, attempt: AttemptId },
    /// Queries the streams that hold memory on an endpoint.
    Inspect { endpoint: EndpointId, address: SocketAddr },
    /// Sends a digest to all members.
    Publish(HomeDigest),
}

/// Runs tasks until the sending end of the ring is dropped.
pub(crate) async fn run_home_tasks(shared: Arc<DaemonShared>, mut tasks: mpsc::Receiver<HomeTask>) {
    while let Some(task) = tasks.recv().await {
        let shared = Arc::clone(&shared);
        match task {
            HomeTask::Cancel { address, attempt } => {
                tokio::spawn(async move {
                    shared.endpoints.cancel(address, &attempt, ENDPOINT_TIMEOUT).await;
                });
            }
            HomeTask::Inspect { endpoint, address } => {
                tokio::spawn(async move {
                    let queried_at = shared.now();
                    let held = shared.endpoints.held(address, ENDPOINT_TIMEOUT).await;
                    if let Some(streams) = held {
                        shared.home.held(queried_at, endpoint, streams);
                    }
                });
            }
            HomeTask::Publish(digest) => publish(&shared, digest),
        }
    }
}

/// Sends the digest of what this home serves to every member.
fn publish(shared: &Arc<DaemonShared>, digest: HomeDigest) {
    let question = PeerQuestion::Digest(digest.clone()).encode();
    shared.digests.put(shared.now(), digest);
    let peers: Vec<SocketAddr> = shared
        .view
        .read()
        .members()
        .iter()
        .filter(|member| member.instance != *shared.id())
        .map(|member| member.addresses.peers)
        .collect();
    for address in peers {
        let (shared, question) = (Arc::clone(shared), question.clone());
        tokio::spawn(async move {
            let _ = shared.peers.ask_encoded(address, question, DIGEST_TIMEOUT).await;
        });
    }
}
