//! The home's calls to endpoints and other daemons, which its own thread does not wait for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_scheduler::HomeDigest;
use oriolepass_units::{AttemptId, EndpointId};
use tokio::sync::mpsc;

use crate::peers::PeerQuestion;
use crate::shared::DaemonShared;

/// How long an endpoint may take to answer.
const ENDPOINT_PATIENCE: Duration = Duration::from_secs(2);

/// How long another daemon may take to take a digest.
const DIGEST_PATIENCE: Duration = Duration::from_millis(500);

/// Something to do for the home.
pub(crate) enum HomeTask {
    Cancel { address: SocketAddr, attempt: AttemptId },
    Inspect { endpoint: EndpointId, address: SocketAddr },
    Publish(HomeDigest),
}

/// Does chores until the ring's other end is gone.
pub(crate) async fn run_home_tasks(
    shared: Arc<DaemonShared>,
    mut chores: mpsc::Receiver<HomeTask>,
) {
    while let Some(chore) = chores.recv().await {
        let shared = Arc::clone(&shared);
        match chore {
            HomeTask::Cancel { address, attempt } => {
                tokio::spawn(async move {
                    shared.endpoints.cancel(address, &attempt, ENDPOINT_PATIENCE).await;
                });
            }
            HomeTask::Inspect { endpoint, address } => {
                tokio::spawn(async move {
                    let asked = shared.now();
                    let held = shared.endpoints.held(address, ENDPOINT_PATIENCE).await;
                    if let Some(streams) = held {
                        shared.home.held(asked, endpoint, streams);
                    }
                });
            }
            HomeTask::Publish(digest) => publish(&shared, digest),
        }
    }
}

/// Tells every member what this home serves.
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
            let _ = shared.peers.ask_encoded(address, question, DIGEST_PATIENCE).await;
        });
    }
}
