//! Runs the member duty, which sends heartbeats to the leader, follows the configuration and
//! renews grants.

mod leader;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oriolepass_config::{ConfigView, MemberRecord};
use oriolepass_units::{AttemptId, InstanceId, LeaseEpoch, MonotonicTime, ShardId};
use spdlog::{info, warn};

use crate::peers::{MemberHeartbeat, MemberLease, PeerAnswer, PeerQuestion};
use crate::shared::{DaemonShared, DrainPhase};

pub(crate) use leader::{LeaderClient, LeaderError};

/// The number of heartbeats sent within one lease.
const HEARTBEATS_PER_LEASE: u32 = 6;

/// The delay after a failed heartbeat.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The timeout of a query to a source of the view.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Runs the duty until the future is dropped when the daemon stops.
pub(crate) async fn run(shared: Arc<DaemonShared>) {
    tokio::join!(send_heartbeats(&shared), follow(&shared), renew(&shared));
}

/// Sends heartbeats periodically, and at once after each change of the configuration, so that the
/// leader learns soon when a change is in force everywhere.
async fn send_heartbeats(shared: &DaemonShared) {
    let mut client = LeaderClient::default();
    let mut mark = shared.view.watch();
    let period = shared.settings.timing.member_lease / HEARTBEATS_PER_LEASE;
    loop {
        let heartbeat = MemberHeartbeat {
            record: shared.member_record(),
            applied: mark.borrow_and_update().config_revision,
            // A draining daemon must not rejoin through its last heartbeats: address answers would
            // name it to callers although it no longer serves.
            join: shared.freshness.is_current(shared.now())
                && shared.drain_phase() == DrainPhase::Serving,
        };
        let sent = shared.now();
        let question = PeerQuestion::Beat(heartbeat);
        match client.ask_once(shared, &question, period.max(HEARTBEAT_RETRY_DELAY)).await {
            Ok(PeerAnswer::Lease(Ok(lease))) => {
                adopt_lease(shared, sent, &lease).await;
                // A daemon that is not a member yet retries soon, so that it joins without delay.
                let pause = if lease.epoch == LeaseEpoch::ZERO {
                    HEARTBEAT_RETRY_DELAY / 4
                } else {
                    period
                };
                let _ = tokio::time::timeout(pause, mark.changed()).await;
            }
            Ok(_) => tokio::time::sleep(HEARTBEAT_RETRY_DELAY / 2).await,
            Err(_) => {
                // If a majority of the voters knows no leader, no change can be accepted, so the
                // configuration held here is still the one in force. This does not apply to a
                // configuration that was never confirmed as current.
                let was_current = shared.freshness.was_current();
                if was_current && client.majority_without_leader(shared).await {
                    shared.freshness.confirm(sent);
                }
                tokio::time::sleep(HEARTBEAT_RETRY_DELAY).await;
            }
        }
    }
}

/// Stores the lease and confirms the configuration once the view has reached the leader's index.
async fn adopt_lease(shared: &DaemonShared, sent: MonotonicTime, lease: &MemberLease) {
    let before = shared.epoch.swap(lease.epoch.0, Ordering::SeqCst);
    if before != lease.epoch.0 && lease.epoch != LeaseEpoch::ZERO {
        info!("member", kv: { epoch = lease.epoch.0 });
    }
    let mut mark = shared.view.watch();
    let caught_up = mark.wait_for(|mark| mark.index >= lease.view_index);
    let timeout = shared.settings.timing.member_lease / HEARTBEATS_PER_LEASE;
    if tokio::time::timeout(timeout, caught_up).await.is_ok_and(|reached| reached.is_ok()) {
        let first = !shared.freshness.was_current();
        shared.freshness.confirm(sent);
        if first {
            info!("ready", kv: { config_revision = shared.view.mark().config_revision.0 });
        }
    }
}

/// Follows the configuration on daemons that hold no replica of the log.
async fn follow(shared: &DaemonShared) {
    if shared.log.is_some() {
        return;
    }
    let mut failures: usize = 0;
    loop {
        let have = shared.view.mark().index;
        let source = follow_source(shared, failures);
        let question = PeerQuestion::Follow { have };
        let answer = match source {
            Some(address) => shared.peers.ask(address, &question, FOLLOW_TIMEOUT).await.ok(),
            None => None,
        };
        match answer {
            Some(PeerAnswer::View(update)) => {
                failures = 0;
                shared.view.update(update);
                shared.book.update(&shared.view.read());
            }
            _ => {
                failures += 1;
                if failures == 10 {
                    warn!("no configuration source answers", kv: { have = have.0 });
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Selects the source to follow: a voter in the own data centre, else the data centre's relay, else
/// any voter. After failures, it rotates through the voters.
fn follow_source(shared: &DaemonShared, failures: usize) -> Option<std::net::SocketAddr> {
    let voters = shared.book.first_voters();
    let view = shared.view.read();
    let own = shared.data_centre();
    let is_voter = |m: &MemberRecord| voters.iter().any(|(id, _)| *id == m.instance);
    let near = view.members().iter().find(|m| m.data_centre == *own && is_voter(m));
    let relay = relay_of(&view, shared).filter(|m| m.instance != *shared.id());
    let first = near.or(relay).map(|m| m.addresses.peers);
    if let Some(address) = first.filter(|_| failures == 0) {
        return Some(address);
    }
    let addresses: Vec<_> = voters.iter().map(|(_, address)| *address).collect();
    addresses.get(failures % addresses.len().max(1)).copied()
}

/// Returns the member that relays the configuration to the others of the own data centre.
fn relay_of<'a>(view: &'a ConfigView, shared: &DaemonShared) -> Option<&'a MemberRecord> {
    let shard: ShardId = "relay".parse().expect("a valid name");
    let relay = view.members().home(shared.data_centre(), &shard)?;
    (relay.data_centre == *shared.data_centre()).then_some(relay)
}

/// Renews the grants that requests at this daemon use.
async fn renew(shared: &DaemonShared) {
    let period = shared.settings.timing.grant_lease / 4;
    loop {
        tokio::time::sleep(period).await;
        let mut by_home: BTreeMap<InstanceId, Vec<AttemptId>> = BTreeMap::new();
        for (attempt, endpoints) in shared.grants.snapshot() {
            for (data_centre, endpoint) in endpoints {
                if let Some(home) = shared.home_of(&data_centre, &endpoint) {
                    let attempts = by_home.entry(home.instance).or_default();
                    if attempts.last() != Some(&attempt) {
                        attempts.push(attempt.clone());
                    }
                }
            }
        }
        let renewals = by_home.into_iter().map(|(home, attempts)| async move {
            if home == *shared.id() {
                shared.home.renew(home, attempts).await;
                return;
            }
            let question = PeerQuestion::Renew { entry: shared.id().clone(), attempts };
            let _ = shared.peers.ask_instance(&home, &question, period).await;
        });
        futures::future::join_all(renewals).await;
    }
}
