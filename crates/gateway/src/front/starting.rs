//! Requests that come while a daemon starts: they wait for what it lacks yet, for a bounded while.
//!
//! After a loss of all daemons, callers are back within milliseconds, and most of them have used up
//! their only retry: whoever is refused then is lost. A daemon that has just started lacks a document,
//! the proof that it is current, and endpoints, and gets all of them within a second. So nearly all that
//! come in that second are served, late at worst.

use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::events::EventKind;
use crate::gateway::Gateway;

/// A daemon starts for this long at most: the first proof takes up to 1.2 s where all start at once on
/// a tenth of a core, and endpoints announce themselves about as often.
const STARTS_FOR: Duration = Duration::from_millis(1_500);

/// The longest wait of one request. Callers take a request that nobody reads for a second for lost.
const WAIT_AT_MOST: Duration = Duration::from_millis(900);

/// The part of its deadline that a request may wait; the rest is left to serve it.
const WAIT_SHARE: f64 = 0.5;

/// The least time after which a refused caller is asked to come back.
const COME_BACK_AT_LEAST: Duration = Duration::from_millis(400);

/// Returns how long a request with `deadline` may wait for what this daemon still lacks; zero once it
/// has started.
pub(super) fn patience(gateway: &Gateway, deadline: Option<Duration>) -> Duration {
    patience_after(gateway.clock.uptime(), deadline)
}

/// Returns the same for a daemon that started `uptime` ago.
pub(super) fn patience_after(uptime: Duration, deadline: Option<Duration>) -> Duration {
    let left = STARTS_FOR.saturating_sub(uptime).min(WAIT_AT_MOST);
    deadline.map_or(left, |deadline| left.min(deadline.mul_f64(WAIT_SHARE)))
}

/// Waits until this daemon has a document that is proved current, or for as long as it may.
pub(super) async fn until_serving(gateway: &Gateway, request: &str, deadline: Option<Duration>) {
    let patience = patience(gateway, deadline);
    if patience.is_zero() || is_serving(gateway) {
        return;
    }
    let began = Instant::now();
    let proved = async {
        loop {
            let changed = gateway.document_changed.notified();
            if is_serving(gateway) {
                return;
            }
            changed.await;
        }
    };
    // What is still lacking then is told by whoever needs it.
    let outcome = if timeout(patience, proved).await.is_ok() { "serving" } else { "not yet" };
    let waited = began.elapsed();
    gateway.metrics.start_waits.with_label_values(&[outcome]).observe(waited.as_secs_f64());
    gateway
        .line(EventKind::StartWait)
        .text("request", request)
        .millis("waited_ms", waited)
        .millis("uptime_ms", gateway.clock.uptime())
        .text("outcome", outcome);
}

fn is_serving(gateway: &Gateway) -> bool {
    gateway.active_document().is_some() && gateway.is_fresh()
}

/// Says when to come back to a daemon that has just started.
pub(super) fn until_settled(gateway: &Gateway) -> Duration {
    STARTS_FOR.saturating_sub(gateway.clock.uptime()).max(COME_BACK_AT_LEAST)
}
