//! Delivers releases and settled claims, which must arrive even when a ring is full or a daemon
//! is unreachable. Each is retried until it is acknowledged or its lease has made it obsolete.

use std::sync::Arc;
use std::time::Duration;

use oriolepass_config::{ApplyOutcome, ReplicatedCommand, SettleCommand};
use oriolepass_scheduler::ReleaseReason;
use oriolepass_units::{AttemptId, InstanceId};

use crate::member::LeaderClient;
use crate::peers::{PeerAnswer, PeerQuestion};
use crate::shared::DaemonShared;

/// Delay before a release is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a single call to a peer.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for settling a claim. By its end the leader has long marked the claim unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Releases a grant at a home. If no release arrives, the expiry of the grant's lease frees the
/// memory.
pub(super) fn release(
    shared: &Arc<DaemonShared>,
    home: InstanceId,
    attempt: AttemptId,
    reason: ReleaseReason,
) {
    if home == *shared.id() && shared.home.release(attempt.clone(), reason) {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let lease_end = shared.now() + shared.settings.timing.grant_lease;
        while shared.now() < lease_end {
            let done = if home == *shared.id() {
                shared.home.release(attempt.clone(), reason)
            } else {
                let question = PeerQuestion::Release { attempt: attempt.clone(), reason };
                let answer = shared.peers.ask_instance(&home, &question, PEER_CALL_TIMEOUT).await;
                matches!(answer, Ok(PeerAnswer::Noted))
            };
            if done {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
}

/// Notifies a home that an attempt has produced its first token. The notification is sent once.
pub(super) fn note_started(shared: &Arc<DaemonShared>, home: InstanceId, attempt: AttemptId) {
    if home == *shared.id() {
        shared.home.started(attempt);
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let question = PeerQuestion::Started(attempt);
        let _ = shared.peers.ask_instance(&home, &question, PEER_CALL_TIMEOUT).await;
    });
}

/// Settles a claim in the replicated log, in a background task.
pub(super) fn settle(shared: &Arc<DaemonShared>, command: SettleCommand) {
    let shared = Arc::clone(shared);
    shared.metrics.unsettled_claims.inc();
    tokio::spawn(async move {
        let question = PeerQuestion::Propose(ReplicatedCommand::Settle(command));
        let mut leader = LeaderClient::default();
        let answer = leader.ask(&shared, &question, SETTLE_TIMEOUT).await;
        debug_assert!(
            !matches!(answer, Ok(PeerAnswer::Proposed(Ok(ApplyOutcome::Refused(_))))),
            "the log refused to settle a claim"
        );
        shared.metrics.unsettled_claims.dec();
    });
}
