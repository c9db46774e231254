//! The member's duty: signs of life to the leader, following the configuration, renewing grants.

mod leader;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oriolepass_config::{ConfigView, MemberRecord};
use oriolepass_units::{AttemptId, InstanceId, LeaseEpoch, MonotonicTime, ShardId};
use spdlog::{info, warn};

use crate::peers::{MemberBeat, MemberLease, PeerAnswer, PeerQuestion};
use crate::shared::{DaemonShared, DrainPhase};

pub(crate) use leader::{LeaderClient, LeaderError};

/// Beats sent within one lease.
const BEATS_PER_LEASE: u32 = 6;

/// The pause after a failed beat.
const BEAT_RETRY: Duration = Duration::from_millis(100);

/// How long a question to a source of the view may take.
const FOLLOW_PATIENCE: Duration = Duration::from_millis(1_500);

/// Runs the duty until it is dropped, which the daemon's end does.
pub(crate) async fn run(shared: Arc<DaemonShared>) {
    tokio::join!(beat(&shared), follow(&shared), renew(&shared));
}

/// Sends signs of life; one at once after each change of the configuration, so that "in force
/// everywhere" is known soon.
async fn beat(shared: &DaemonShared) {
    let mut client = LeaderClient::default();
    let mut mark = shared.view.watch();
    let period = shared.settings.timing.member_lease / BEATS_PER_LEASE;
    loop {
        let beat = MemberBeat {
            record: shared.member_record(),
            applied: mark.borrow_and_update().config_revision,
            // One that has left must not come back by its last beats: callers would be told to
            // use it, and find nobody.
            join: shared.freshness.is_current(shared.now())
                && shared.drain_phase() == DrainPhase::Serving,
        };
        let sent = shared.now();
        let question = PeerQuestion::Beat(beat);
        match client.ask_once(shared, &question, period.max(BEAT_RETRY)).await {
            Ok(PeerAnswer::Lease(Ok(lease))) => {
                take_lease(shared, sent, &lease).await;
                // One that is no member yet joins at once.
                let pause = if lease.epoch == LeaseEpoch::ZERO { BEAT_RETRY / 4 } else { period };
                let _ = tokio::time::timeout(pause, mark.changed()).await;
            }
            Ok(_) => tokio::time::sleep(BEAT_RETRY / 2).await,
            Err(_) => {
                // If most voters can be asked and none knows a leader, nobody can accept a
                // change either, so the configuration held here is still the one in force.
                // One that never was current has nothing that could still be in force.
                let held = shared.freshness.was_current();
                if held && client.majority_without_leader(shared).await {
                    shared.freshness.confirm(sent);
                }
                tokio::time::sleep(BEAT_RETRY).await;
            }
        }
    }
}

/// Takes a lease over once the view has come as far as the leader's.
async fn take_lease(shared: &DaemonShared, sent: MonotonicTime, lease: &MemberLease) {
    let before = shared.epoch.swap(lease.epoch.0, Ordering::SeqCst);
    if before != lease.epoch.0 && lease.epoch != LeaseEpoch::ZERO {
        info!("member", kv: { epoch = lease.epoch.0 });
    }
    let mut mark = shared.view.watch();
    let caught_up = mark.wait_for(|mark| mark.index >= lease.view_index);
    let patience = shared.settings.timing.member_lease / BEATS_PER_LEASE;
    if tokio::time::timeout(patience, caught_up).await.is_ok_and(|reached| reached.is_ok()) {
        let first = !shared.freshness.was_current();
        shared.freshness.confirm(sent);
        if first {
            info!("ready", kv: { config_revision = shared.view.mark().config_revision.0 });
        }
    }
}

/// Follows the configuration, on daemons that hold no replica of the log.
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
            Some(address) => shared.peers.ask(address, &question, FOLLOW_PATIENCE).await.ok(),
            None => None,
        };
        match answer {
            Some(PeerAnswer::View(update)) => {
                failures = 0;
                shared.view.update(update);
                shared.book.learn(&shared.view.read());
            }
            _ => {
                failures += 1;
                if failures == 10 {
                    warn!("configuration source lost", kv: { have = have.0 });
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Chooses whom to follow: a voter of the own data centre, or its relay, or any voter. After
/// failures the choice moves on.
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
    let others: Vec<_> = voters.iter().map(|(_, address)| *address).collect();
    others.get(failures % others.len().max(1)).copied()
}

/// Returns the member of the own data centre that passes the configuration on to the others.
fn relay_of<'a>(view: &'a ConfigView, shared: &DaemonShared) -> Option<&'a MemberRecord> {
    let shard: ShardId = "relay".parse().expect("a valid name");
    let relay = view.members().home(shared.data_centre(), &shard)?;
    (relay.data_centre == *shared.data_centre()).then_some(relay)
}

/// Renews the grants that requests here use.
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
