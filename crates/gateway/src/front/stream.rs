//! Streams: whole events are passed on as they come; one that breaks off goes on elsewhere.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use super::body::{BodyCut, FrontBody};
use super::caller::{CallerRequest, EndGuard};
use super::events::EventSplitter;
use super::placement::Placement;
use super::tries::{History, Verdict, may_resume};
use crate::balancer::FaultKind;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::upstream::{ConnectionGuard, describe};

/// Pieces that wait for a caller that reads slowly; more are left with the endpoint.
const PIECE_QUEUE: usize = 8;

/// An endpoint is silent after this many times the longest pause that is on time...
const SILENT_PAUSES: u32 = 4;

/// ...and not before this: a pass with a long prompt in it takes most of a second.
const SILENT_AT_LEAST: Duration = Duration::from_millis(1_200);

/// The longest pause of a stream whose route does not say.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(500);

/// What an endpoint's stream brings next.
pub(super) enum PieceEnd {
    /// Whole events.
    Piece(Bytes),
    /// The stream has ended as it should.
    Whole,
    /// The stream broke off.
    Broken(String),
}

/// An endpoint's stream as whole events.
pub(super) struct EventSource {
    body: Incoming,
    splitter: EventSplitter,
    _guard: ConnectionGuard,
}

impl EventSource {
    pub(super) fn new(body: Incoming, guard: ConnectionGuard, last_event: Option<u64>) -> Self {
        Self { body, splitter: EventSplitter::new(last_event), _guard: guard }
    }

    /// Waits for the next whole events.
    pub(super) async fn next(&mut self) -> PieceEnd {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.splitter.push(&data);
                    if !whole.is_empty() {
                        return PieceEnd::Piece(whole);
                    }
                    if self.splitter.is_overlong() {
                        return PieceEnd::Broken("an event without an end".to_owned());
                    }
                }
                Some(Err(error)) => return PieceEnd::Broken(describe(&error)),
                None if self.splitter.has_partial() => {
                    return PieceEnd::Broken("the stream ended within an event".to_owned());
                }
                None => return PieceEnd::Whole,
            }
        }
    }
}

/// A stream whose first event has come, or which has ended without one.
pub(super) struct OpenStream {
    pub(super) head: Parts,
    pub(super) first: Option<Bytes>,
    pub(super) source: EventSource,
    pub(super) placement: Placement,
}

/// Starts passing a stream on, and returns the answer's head.
pub(super) fn answer(
    gateway: &Rc<Gateway>,
    request: CallerRequest,
    history: History,
    open: OpenStream,
    guard: EndGuard,
) -> Response<FrontBody> {
    let (pieces, body) = mpsc::channel(PIECE_QUEUE);
    let head = open.head.clone();
    let pump = StreamPump { gateway: Rc::clone(gateway), request, history, pieces };
    spawn_local(pump.run(open, guard));
    Response::from_parts(head, FrontBody::Pieces(body))
}

struct StreamPump {
    gateway: Rc<Gateway>,
    request: CallerRequest,
    history: History,
    pieces: mpsc::Sender<Result<Bytes, BodyCut>>,
}

/// How passing a stream on came to its end.
enum PumpEnd {
    Whole,
    CallerGone,
    TimeOver,
    Broken(String),
}

impl StreamPump {
    async fn run(mut self, open: OpenStream, mut guard: EndGuard) {
        let end = {
            let pieces = self.pieces.clone();
            let give_up = self.request.give_up;
            tokio::select! {
                end = self.pass_on(open) => end,
                () = pieces.closed() => PumpEnd::CallerGone,
                () = sleep_until(give_up) => PumpEnd::TimeOver,
            }
        };
        guard.answered(self.history.sends());
        let (status, reason) = match &end {
            PumpEnd::Whole => ("200", "whole"),
            // The guard says so by itself.
            PumpEnd::CallerGone => return,
            PumpEnd::TimeOver => ("cut", "time over"),
            PumpEnd::Broken(reason) => ("cut", reason.as_str()),
        };
        if !matches!(end, PumpEnd::Whole) {
            // A queue that is full is dropped with the rest: the connection ends all the same.
            let _ = self.pieces.try_send(Err(BodyCut));
        }
        guard.end(status, reason);
    }

    async fn pass_on(&mut self, mut open: OpenStream) -> PumpEnd {
        loop {
            if let Some(first) = open.first.take()
                && self.pieces.send(Ok(first)).await.is_err()
            {
                return PumpEnd::CallerGone;
            }
            let broken = match self.pass_on_one(&mut open).await {
                Ok(end) => return end,
                Err(reason) => reason,
            };
            let last_event = open.source.splitter.last_id();
            let endpoint = open.placement.endpoint.clone();
            drop(open);
            if !may_resume(&self.request) || !self.history.may_run_again(&self.request) {
                return PumpEnd::Broken(broken);
            }
            self.history.stream_broke(endpoint.clone(), last_event);
            self.gateway
                .line(EventKind::Resume)
                .text("request", &self.request.id)
                .text("from", endpoint)
                .maybe("after_event", last_event)
                .millis("left_ms", self.request.left())
                .text("reason", &broken);
            self.gateway.metrics.resumes.inc();
            match self.history.try_until_answered(&self.gateway, &self.request).await {
                Verdict::Stream(next) => open = next,
                Verdict::Answer(answer) => {
                    return PumpEnd::Broken(format!("{broken}; then status {}", answer.status()));
                }
                Verdict::Refusal(refusal) => {
                    return PumpEnd::Broken(format!("{broken}; then {}", refusal.reason));
                }
            }
        }
    }

    /// Passes one endpoint's events on; an error says why they broke off.
    async fn pass_on_one(&mut self, open: &mut OpenStream) -> Result<PumpEnd, String> {
        let pause = self.request.route.pause_objective.unwrap_or(UNKNOWN_PAUSE);
        let silence = (pause * SILENT_PAUSES).max(SILENT_AT_LEAST);
        let can_move = may_resume(&self.request) && self.history.may_run_again(&self.request);
        loop {
            // Silence is a reason to move on only where the stream can go on elsewhere.
            let patience = if can_move { silence } else { self.request.left() };
            let (fault, reason) = match timeout(patience, open.source.next()).await {
                Ok(PieceEnd::Piece(piece)) => {
                    if self.pieces.send(Ok(piece)).await.is_err() {
                        return Ok(PumpEnd::CallerGone);
                    }
                    continue;
                }
                Ok(PieceEnd::Whole) => return Ok(PumpEnd::Whole),
                Ok(PieceEnd::Broken(reason)) => (FaultKind::Broken, reason),
                Err(_) => (FaultKind::Silent, format!("no event in {} ms", patience.as_millis())),
            };
            open.placement.failed(&self.request.id, &open.placement.endpoint, fault);
            return Err(reason);
        }
    }
}
