//! Memory of engines, reserved for a prompt that no single engine can hold.
//!
//! Reservations are short and renewed while the prompt is under way, so that one whose holder
//! dies is soon free again. All parts are reserved or none: the engines answer at once, nothing
//! waits while it holds another part, so two prompts cannot block each other.
//!
//! An order that got no answer may be carried out seconds later, also after a newer one. So once
//! one went unanswered, a single release is not the last word: it is said again until no order
//! can be on its way any more.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::dialect::{ReservationAnswer, WireDialect};
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::upstream;

/// How long a reservation lasts: two renewals may fail before it ends, and memory of a holder
/// that died is free again within the time that engines' memory may lie idle.
const HOLD: Duration = Duration::from_millis(3_600);

/// Between two renewals.
const RENEW_EVERY: Duration = Duration::from_millis(1_200);

/// How long an order without an answer may still be carried out; the platform names 12 s.
const ORDERS_LINGER: Duration = Duration::from_millis(13_000);

/// Between two releases of what an order may set aside again: well below the 4 s for which memory
/// may stay set aside after its last use.
const RELEASE_AGAIN: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
struct HeldPart {
    /// Which of the plan's helpers holds it.
    helper: usize,
    address: SocketAddr,
    id: String,
    tokens: u64,
}

/// Memory held on several engines. Dropping it releases all of it.
pub(super) struct Reservations {
    gateway: Rc<Gateway>,
    request: String,
    parts: Vec<HeldPart>,
    renewing: Option<AbortHandle>,
    /// When an order last went unanswered.
    unanswered: Rc<Cell<Option<Instant>>>,
}

impl Reservations {
    /// Reserves all parts, given as (helper, address, tokens), or none.
    pub(super) async fn make(
        gateway: &Rc<Gateway>,
        request: &str,
        wanted: &[(usize, SocketAddr, u64)],
    ) -> Option<Self> {
        let parts: Vec<HeldPart> = wanted
            .iter()
            .map(|(helper, address, tokens)| HeldPart {
                helper: *helper,
                address: *address,
                id: format!("op-{:x}-{}", gateway.boot, gateway.next_number()),
                tokens: *tokens,
            })
            .collect();
        // From here on, whatever was reserved is released when this is dropped.
        let mut held = Self {
            gateway: Rc::clone(gateway),
            request: request.to_owned(),
            parts,
            renewing: None,
            unanswered: Rc::default(),
        };
        let hold = HOLD.min(gateway.settings().bounds.reservation_max);
        let all = reserve_all(gateway.dialect, &held.parts, hold, &held.unanswered).await;
        let tokens: u64 = held.parts.iter().map(|part| part.tokens).sum();
        let outcome = if all { "held" } else { "refused" };
        gateway.metrics.reservations.with_label_values(&[outcome]).inc();
        gateway
            .line(EventKind::Reservation)
            .text("request", request)
            .number("engines", held.parts.len())
            .number("tokens", tokens)
            .text("outcome", outcome);
        if !all {
            return None;
        }
        let (dialect, parts) = (gateway.dialect, held.parts.clone());
        let unanswered = Rc::clone(&held.unanswered);
        let renewal = spawn_local(async move {
            loop {
                sleep(RENEW_EVERY).await;
                // One that cannot be renewed ends the request at its engine, which says so.
                reserve_all(dialect, &parts, hold, &unanswered).await;
            }
        });
        held.renewing = Some(renewal.abort_handle());
        Some(held)
    }

    /// Returns the reservations' ids with the helpers that hold them.
    pub(super) fn ids(&self) -> impl Iterator<Item = (usize, &str)> {
        self.parts.iter().map(|part| (part.helper, part.id.as_str()))
    }
}

async fn reserve_all(
    dialect: WireDialect,
    parts: &[HeldPart],
    hold: Duration,
    unanswered: &Cell<Option<Instant>>,
) -> bool {
    // Until the answers are there, the orders count as unanswered: this may be dropped meanwhile.
    let before = unanswered.replace(Some(Instant::now()));
    let mut calls = JoinSet::new();
    for part in parts {
        let call = (dialect.reserve)(&part.id, part.tokens, hold);
        calls.spawn_local(upstream::call(part.address, call));
    }
    let answers = calls.join_all().await;
    if answers.iter().all(Option::is_some) {
        unanswered.set(before);
    }
    let is_held = |status: &Option<u16>| {
        status.is_some_and(|s| (dialect.read_reservation)(s) == ReservationAnswer::Held)
    };
    answers.iter().all(is_held)
}

/// Releases all parts; returns how many engines did not answer.
async fn release_all(dialect: WireDialect, parts: &[HeldPart]) -> usize {
    let mut calls = JoinSet::new();
    for part in parts {
        let call = (dialect.release)(&part.id);
        calls.spawn_local(upstream::call(part.address, call));
    }
    calls.join_all().await.iter().filter(|status| status.is_none()).count()
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewing) = self.renewing.take() {
            renewing.abort();
        }
        let (gateway, request) = (Rc::clone(&self.gateway), std::mem::take(&mut self.request));
        let (parts, unanswered) = (std::mem::take(&mut self.parts), self.unanswered.get());
        spawn_local(async move {
            let missed = release_all(gateway.dialect, &parts).await;
            gateway
                .line(EventKind::Reservation)
                .text("request", request)
                .number("engines", parts.len())
                .number("unanswered", missed)
                .number("said_again", unanswered.is_some())
                .text("outcome", "released");
            while unanswered.is_some_and(|at| at.elapsed() < ORDERS_LINGER) {
                sleep(RELEASE_AGAIN).await;
                // Each one that is lost is followed by another.
                release_all(gateway.dialect, &parts).await;
            }
        });
    }
}
