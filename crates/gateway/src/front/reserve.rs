//! Reserves memory on several engines for a prompt that no single engine can hold.
//!
//! Reservations are short-lived and renewed while the prompt is active, so that memory is soon
//! released when the holder of a reservation crashes. Either all parts are reserved or none.
//! Engines answer immediately and no request waits while it holds another part, so two prompts
//! cannot deadlock.
//!
//! An order (a reserve or release call) without an answer may take effect seconds later, even after
//! a newer order. A single release is therefore not sufficient once an order went unanswered: the
//! release is repeated until no earlier order can take effect any more.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::MonotonicTime;
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::dialect::{EndpointCall, ReservationAnswer};
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::upstream::{self, EndpointTarget};

/// The lifetime of a reservation. Two renewals may fail before it expires, and the memory of a
/// crashed holder is released within the time for which engine memory may be reserved unused.
const RESERVATION_TTL: Duration = Duration::from_millis(3_600);

/// The interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// The time after which an unanswered order can no longer take effect. The platform specifies 12 s.
const ORDER_EFFECT_TIMEOUT: Duration = Duration::from_millis(13_000);

/// The interval between repeated releases. It is well below the 4 s for which memory may stay
/// reserved after its last use.
const RELEASE_RESEND_INTERVAL: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
struct HeldPart {
    /// The index of the helper in the placement.
    helper: usize,
    engine: EndpointTarget,
    id: String,
    tokens: u64,
    /// The end of the reservation, unless it is renewed.
    held_until: Rc<Cell<MonotonicTime>>,
}

impl HeldPart {
    /// Returns whether the engine rests and the reservation outlasts the rest.
    fn outlasts_rest(&self, gateway: &Gateway) -> bool {
        let rest_end = gateway.rest_until(&self.engine.endpoint);
        rest_end.is_some_and(|rest_end| rest_end <= self.held_until.get())
    }

    /// Returns how long the memory is to be held: for `ttl`, counted from the end of the engine's rest.
    fn hold_time(&self, gateway: &Gateway, ttl: Duration) -> Duration {
        let now = gateway.now();
        let rest_end = gateway.rest_until(&self.engine.endpoint).unwrap_or(now);
        (ttl + rest_end.since(now)).min(gateway.settings().bounds.reservation_max)
    }
}

/// Memory reserved on several engines. All of it is released on drop.
pub(super) struct Reservations {
    gateway: Rc<Gateway>,
    request: String,
    parts: Vec<HeldPart>,
    renewal_task: Option<AbortHandle>,
    /// The time of the last unanswered order.
    unanswered: Rc<Cell<Option<Instant>>>,
}

impl Reservations {
    /// Reserves all parts, given as (helper, engine, tokens). Returns `None` if any of them is not
    /// reserved.
    pub(super) async fn acquire(
        gateway: &Rc<Gateway>,
        request: &str,
        wanted: &[(usize, EndpointTarget, u64)],
    ) -> Option<Self> {
        let parts: Vec<HeldPart> = wanted
            .iter()
            .map(|(helper, engine, tokens)| HeldPart {
                helper: *helper,
                engine: engine.clone(),
                id: format!("op-{:x}-{}", gateway.boot, gateway.next_number()),
                tokens: *tokens,
                held_until: Rc::default(),
            })
            .collect();
        // From here on, dropping `held` releases every part that was reserved.
        let mut held = Self {
            gateway: Rc::clone(gateway),
            request: request.to_owned(),
            parts,
            renewal_task: None,
            unanswered: Rc::default(),
        };
        let ttl = RESERVATION_TTL.min(gateway.settings().bounds.reservation_max);
        let all_held = reserve_all(gateway, &held.parts, ttl, &held.unanswered).await;
        let tokens: u64 = held.parts.iter().map(|part| part.tokens).sum();
        let outcome = if all_held { "held" } else { "refused" };
        gateway.metrics.reservations.with_label_values(&[outcome]).inc();
        gateway
            .line(EventKind::Reservation)
            .text("request", request)
            .number("engines", held.parts.len())
            .number("tokens", tokens)
            .text("outcome", outcome);
        if !all_held {
            return None;
        }
        let (gateway, parts) = (Rc::clone(gateway), held.parts.clone());
        let unanswered = Rc::clone(&held.unanswered);
        let renewal = spawn_local(async move {
            loop {
                sleep(RENEWAL_INTERVAL).await;
                // The result is ignored: if a reservation expires, its engine ends the request and
                // reports that in its answer.
                reserve_all(&gateway, &parts, ttl, &unanswered).await;
            }
        });
        held.renewal_task = Some(renewal.abort_handle());
        Some(held)
    }

    /// Returns the ids of the reservations, each with the index of its helper.
    pub(super) fn ids(&self) -> impl Iterator<Item = (usize, &str)> {
        self.parts.iter().map(|part| (part.helper, part.id.as_str()))
    }
}

async fn reserve_all(
    gateway: &Rc<Gateway>,
    parts: &[HeldPart],
    ttl: Duration,
    unanswered: &Cell<Option<Instant>>,
) -> bool {
    // The orders count as unanswered until all answers have arrived, since this future may be
    // dropped before that.
    let previous = unanswered.replace(Some(Instant::now()));
    let read = gateway.dialect.read_reservation;
    let is_held =
        |status: &Option<u16>| status.is_some_and(|status| read(status) == ReservationAnswer::Held);
    // An engine that rests gets one renewal for the whole of its rest.
    let due: Vec<&HeldPart> = parts.iter().filter(|part| !part.outlasts_rest(gateway)).collect();
    let asked_at = gateway.now();
    let reserve = |part: &HeldPart| {
        (gateway.dialect.reserve)(&part.id, part.tokens, part.hold_time(gateway, ttl))
    };
    let answers = call_all(gateway, &due, reserve).await;
    if answers.iter().all(Option::is_some) {
        unanswered.set(previous);
    }
    for (part, _) in due.iter().zip(&answers).filter(|(_, status)| is_held(status)) {
        part.held_until.set(asked_at + part.hold_time(gateway, ttl));
    }
    answers.iter().all(is_held)
}

/// Releases all parts. Returns the number of engines that did not answer.
async fn release_all(gateway: &Rc<Gateway>, parts: &[HeldPart]) -> usize {
    let release = |part: &HeldPart| (gateway.dialect.release)(&part.id);
    let parts: Vec<&HeldPart> = parts.iter().collect();
    call_all(gateway, &parts, release).await.iter().filter(|status| status.is_none()).count()
}

/// Calls the engines of all parts at the same time. Returns the status of each answer, in the order of
/// the parts.
async fn call_all(
    gateway: &Rc<Gateway>,
    parts: &[&HeldPart],
    call_for: impl Fn(&HeldPart) -> EndpointCall,
) -> Vec<Option<u16>> {
    let mut calls = JoinSet::new();
    for (number, part) in parts.iter().enumerate() {
        let (gateway, engine, call) = (Rc::clone(gateway), part.engine.clone(), call_for(part));
        calls.spawn_local(async move { (number, upstream::call(&gateway, &engine, call).await) });
    }
    let mut answers = calls.join_all().await;
    answers.sort_by_key(|(number, _)| *number);
    answers.into_iter().map(|(_, status)| status).collect()
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewal_task) = self.renewal_task.take() {
            renewal_task.abort();
        }
        let (gateway, request) = (Rc::clone(&self.gateway), std::mem::take(&mut self.request));
        let (parts, unanswered) = (std::mem::take(&mut self.parts), self.unanswered.get());
        spawn_local(async move {
            let unanswered_releases = release_all(&gateway, &parts).await;
            gateway
                .line(EventKind::Reservation)
                .text("request", request)
                .number("engines", parts.len())
                .number("unanswered", unanswered_releases)
                .number("said_again", unanswered.is_some())
                .text("outcome", "released");
            while unanswered.is_some_and(|at| at.elapsed() < ORDER_EFFECT_TIMEOUT) {
                sleep(RELEASE_RESEND_INTERVAL).await;
                // The result is ignored: a lost release is followed by the next one.
                release_all(&gateway, &parts).await;
            }
        });
    }
}
