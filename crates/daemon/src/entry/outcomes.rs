//! Things that must get through although a ring is full or a daemon is away: releases and
//! settled claims. Each is tried until it is done or its lease makes it pointless.

use std::sync::Arc;
use std::time::Duration;

use oriolepass_config::{ApplyOutcome, ReplicatedCommand, SettleCommand};
use oriolepass_scheduler::ReleaseReason;
use oriolepass_units::{AttemptId, InstanceId};

use crate::member::LeaderClient;
use crate::peers::{PeerAnswer, PeerQuestion};
use crate::shared::DaemonShared;

/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long one try may take.
const TRY_PATIENCE: Duration = Duration::from_secs(1);

/// How long a claim is tried to be settled. After that the leader has long marked it unknown.
const SETTLE_PATIENCE: Duration = Duration::from_secs(600);

/// Gives a grant back to a home. The grant's lease frees the memory if this fails.
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
        let until = shared.now() + shared.settings.timing.grant_lease;
        while shared.now() < until {
            let done = if home == *shared.id() {
                shared.home.release(attempt.clone(), reason)
            } else {
                let question = PeerQuestion::Release { attempt: attempt.clone(), reason };
                let answer = shared.peers.ask_instance(&home, &question, TRY_PATIENCE).await;
                matches!(answer, Ok(PeerAnswer::Noted))
            };
            if done {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    });
}

/// Tells a home that an attempt's first token has come.
pub(super) fn note_started(shared: &Arc<DaemonShared>, home: InstanceId, attempt: AttemptId) {
    if home == *shared.id() {
        shared.home.started(attempt);
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let question = PeerQuestion::Started(attempt);
        let _ = shared.peers.ask_instance(&home, &question, TRY_PATIENCE).await;
    });
}

/// Settles a claim.
pub(super) fn settle(shared: &Arc<DaemonShared>, command: SettleCommand) {
    let shared = Arc::clone(shared);
    shared.metrics.unsettled_claims.inc();
    tokio::spawn(async move {
        let question = PeerQuestion::Propose(ReplicatedCommand::Settle(command));
        let mut leader = LeaderClient::default();
        let answer = leader.ask(&shared, &question, SETTLE_PATIENCE).await;
        debug_assert!(
            !matches!(answer, Ok(PeerAnswer::Proposed(Ok(ApplyOutcome::Refused(_))))),
            "a settlement is never refused"
        );
        shared.metrics.unsettled_claims.dec();
    });
}
