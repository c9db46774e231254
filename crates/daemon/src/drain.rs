//! Leaving gracefully.
//!
//! The order matters. First the daemon drops out of the address answers everywhere. Then it
//! serves on until every answer that names it has expired, because callers may still connect.
//! Then it takes nothing new and ends what it has. Only then does it give up its part in the
//! log and stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oriolepass_config::{MemberCommand, ReplicatedCommand};
use spdlog::info;

use crate::member::LeaderClient;
use crate::peers::PeerQuestion;
use crate::shared::{DaemonShared, DrainPhase};

/// How long the other daemons may take to learn that this one leaves.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Between two looks at what still runs.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How long telling the leader may take.
const TELL_PATIENCE: Duration = Duration::from_secs(3);

/// How long a request that is given up may take to tell its caller so.
const ABANDON_TIME: Duration = Duration::from_millis(500);

/// Leaves; returns the number of requests that had to be given up.
pub(crate) async fn leave(shared: &Arc<DaemonShared>) -> u64 {
    info!("draining", kv: { running = shared.running.load(Ordering::SeqCst) });
    let until = shared.now() + shared.settings.timing.drain;
    shared.set_drain_phase(DrainPhase::Leaving);
    tell(shared, MemberCommand::Drain(shared.id().clone())).await;
    let spread = SPREAD_TIME.min(shared.settings.timing.address_keep);
    let serve_on = shared.settings.timing.address_keep + spread;
    let left = until.since(shared.now());
    let mut hurry = shared.hurry.subscribe();
    tokio::select! {
        () = tokio::time::sleep(serve_on.min(left)) => {}
        _ = hurry.wait_for(|hurry| *hurry) => {}
    }
    shared.set_drain_phase(DrainPhase::Closed);
    let busy = || shared.running.load(Ordering::SeqCst) > 0;
    while busy() && shared.now() < until && !*hurry.borrow() {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    let given_up = abandon(shared).await;
    let epoch = shared.lease_epoch();
    tell(shared, MemberCommand::Remove { instance: shared.id().clone(), epoch }).await;
    if let Some(log) = &shared.log {
        log.hand_over().await;
    }
    info!("drained", kv: { given_up });
    given_up
}

/// Ends what still runs, with the truth to each caller; returns how many there were.
pub(crate) async fn abandon(shared: &DaemonShared) -> u64 {
    let given_up = shared.running.load(Ordering::SeqCst);
    if given_up > 0 {
        shared.abandon.send_replace(true);
        let until = shared.now() + ABANDON_TIME;
        while shared.running.load(Ordering::SeqCst) > 0 && shared.now() < until {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
    given_up
}

async fn tell(shared: &DaemonShared, command: MemberCommand) {
    let question = PeerQuestion::Propose(ReplicatedCommand::Member(command));
    let _ = LeaderClient::default().ask(shared, &question, TELL_PATIENCE).await;
}
