//! Delays requests that arrive while a daemon starts, for a bounded time.
//!
//! After a loss of all daemons, callers reconnect within milliseconds, and most of them have used
//! up their only retry, so a refusal at that point fails the request. A daemon that has just
//! started lacks a routing document, the proof that the document is current, and endpoints, and
//! obtains all of them within a second. Waiting therefore serves nearly all requests that arrive in
//! that second, at worst late.

use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::events::EventKind;
use crate::gateway::Gateway;

/// The time after its start during which a daemon delays requests. The first proof takes up to
/// 1.2 s if all daemons start at once on a tenth of a core, and endpoints announce themselves at a
/// similar interval.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// The maximum delay of one request. Callers treat a request that is not read within a second as
/// lost.
const MAX_WAIT: Duration = Duration::from_millis(900);

/// The part of its deadline for which a request may be delayed. The rest remains for serving it.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The minimum `Retry-After` of a refusal by a starting daemon.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Returns how long a request with `deadline` may wait for this daemon to become ready. Returns
/// zero once the startup time has passed.
pub(super) fn startup_wait(gateway: &Gateway, deadline: Option<Duration>) -> Duration {
    startup_wait_at(gateway.clock.uptime(), deadline)
}

/// Returns how long a request with `deadline` may wait in a daemon that started `uptime` ago.
pub(super) fn startup_wait_at(uptime: Duration, deadline: Option<Duration>) -> Duration {
    let wait = STARTUP_TIME.saturating_sub(uptime).min(MAX_WAIT);
    deadline.map_or(wait, |deadline| wait.min(deadline.mul_f64(MAX_WAIT_SHARE)))
}

/// Waits until this daemon has a document that is proved current, or until the request's maximum
/// delay has passed.
pub(super) async fn wait_until_serving(
    gateway: &Gateway,
    request: &str,
    deadline: Option<Duration>,
) {
    let max_wait = startup_wait(gateway, deadline);
    if max_wait.is_zero() || is_serving(gateway) {
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
    // After a time-out, the later checks of the request report what is still missing.
    let outcome = if timeout(max_wait, proved).await.is_ok() { "serving" } else { "not yet" };
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

/// Returns the `Retry-After` of refusals by a daemon that has just started.
pub(super) fn startup_retry_after(gateway: &Gateway) -> Duration {
    STARTUP_TIME.saturating_sub(gateway.clock.uptime()).max(MIN_RETRY_AFTER)
}
