//! Shuts the daemon down gracefully.
//!
//! The order of the steps matters:
//!
//! 1. All daemons remove this daemon from their address answers.
//! 2. The daemon continues to serve until every answer that names it has expired, because callers
//!    may still connect.
//! 3. It accepts no new requests and completes or abandons the running ones.
//! 4. It leaves the members, hands over leadership of the log and stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oriolepass_config::{MemberCommand, ReplicatedCommand};
use spdlog::info;

use crate::member::LeaderClient;
use crate::peers::PeerQuestion;
use crate::shared::{DaemonShared, DrainPhase};

/// The time allowed for the drain to reach all other daemons.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// The interval between checks for running requests.
const RUNNING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of a proposal to the leader.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The time allowed for abandoned requests to report their outcome to their callers.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(500);

/// Drains the daemon and returns the number of requests that were abandoned.
pub(crate) async fn leave(shared: &Arc<DaemonShared>) -> u64 {
    info!("draining", kv: { running = shared.running.load(Ordering::SeqCst) });
    let deadline = shared.now() + shared.settings.timing.drain;
    shared.set_drain_phase(DrainPhase::Leaving);
    propose_member_command(shared, MemberCommand::Drain(shared.id().clone())).await;
    let propagation = DRAIN_PROPAGATION_TIME.min(shared.settings.timing.address_keep);
    let serve_time = shared.settings.timing.address_keep + propagation;
    let remaining = deadline.since(shared.now());
    let mut force_drain = shared.force_drain.subscribe();
    tokio::select! {
        () = tokio::time::sleep(serve_time.min(remaining)) => {}
        _ = force_drain.wait_for(|force_drain| *force_drain) => {}
    }
    shared.set_drain_phase(DrainPhase::Closed);
    let has_running = || shared.running.load(Ordering::SeqCst) > 0;
    while has_running() && shared.now() < deadline && !*force_drain.borrow() {
        tokio::time::sleep(RUNNING_POLL_INTERVAL).await;
    }
    let given_up = abandon(shared).await;
    let epoch = shared.lease_epoch();
    propose_member_command(shared, MemberCommand::Remove { instance: shared.id().clone(), epoch })
        .await;
    if let Some(log) = &shared.log {
        log.hand_over().await;
    }
    info!("drained", kv: { given_up });
    given_up
}

/// Abandons the running requests and returns their number.
///
/// Each caller receives the true outcome of its request.
pub(crate) async fn abandon(shared: &DaemonShared) -> u64 {
    let given_up = shared.running.load(Ordering::SeqCst);
    if given_up > 0 {
        shared.abandon.send_replace(true);
        let deadline = shared.now() + ABANDON_TIMEOUT;
        while shared.running.load(Ordering::SeqCst) > 0 && shared.now() < deadline {
            tokio::time::sleep(RUNNING_POLL_INTERVAL).await;
        }
    }
    given_up
}

/// Proposes a member command to the leader. A failure does not stop the drain.
async fn propose_member_command(shared: &DaemonShared, command: MemberCommand) {
    let question = PeerQuestion::Propose(ReplicatedCommand::Member(command));
    let _ = LeaderClient::default().ask(shared, &question, LEADER_CALL_TIMEOUT).await;
}
