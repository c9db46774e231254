//! Streams: whole events are passed on as they come; one that breaks off goes on elsewhere.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use oriolepass_units::EndpointStart;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use super::body::{BodyCut, FrontBody};
use super::caller::{CallerRequest, EndGuard};
use super::ends::look_for_end;
use super::events::EventSplitter;
use super::placement::{Placement, endpoint_failed};
use super::presence::while_present;
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

    /// Returns the last event handed out.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Waits for the next whole events. Nothing is lost when the wait is dropped.
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
    open: Box<OpenStream>,
    guard: EndGuard,
) -> Response<FrontBody> {
    let (pieces, body) = mpsc::channel(PIECE_QUEUE);
    let head = open.head.clone();
    let pump = StreamPump { gateway: Rc::clone(gateway), request, history, pieces, guard };
    spawn_local(pump.run(open));
    Response::from_parts(head, FrontBody::Pieces(body))
}

struct StreamPump {
    gateway: Rc<Gateway>,
    request: CallerRequest,
    history: History,
    pieces: mpsc::Sender<Result<Bytes, BodyCut>>,
    guard: EndGuard,
}

/// How passing a stream on came to its end.
enum PumpEnd {
    Whole,
    CallerGone,
    TimeOver,
    Broken(String),
}

impl StreamPump {
    async fn run(mut self, open: Box<OpenStream>) {
        let end = {
            let pieces = self.pieces.clone();
            let give_up = self.request.give_up;
            tokio::select! {
                end = self.pass_on(open) => end,
                () = pieces.closed() => PumpEnd::CallerGone,
                () = sleep_until(give_up) => PumpEnd::TimeOver,
            }
        };
        self.guard.answered(self.history.sends());
        let (status, reason) = match &end {
            PumpEnd::Whole => {
                self.gateway.record_complete_answer(|| self.request.digest());
                ("200", "whole")
            }
            // The guard says so by itself.
            PumpEnd::CallerGone => return,
            PumpEnd::TimeOver => ("cut", "time over"),
            PumpEnd::Broken(reason) => ("cut", reason.as_str()),
        };
        if !matches!(end, PumpEnd::Whole) {
            // A queue that is full is dropped with the rest: the connection ends all the same.
            let _ = self.pieces.try_send(Err(BodyCut));
        }
        self.guard.end(status, reason);
    }

    async fn pass_on(&mut self, mut open: Box<OpenStream>) -> PumpEnd {
        loop {
            if let Some(first) = open.first.take()
                && let Err(end) = self.pass(first).await
            {
                return end;
            }
            open = match self.pass_on_one(open).await {
                Ok(next) => next,
                Err(end) => return end,
            };
        }
    }

    /// Passes one endpoint's events on until they end, or until the stream goes on at another
    /// endpoint, which is returned.
    async fn pass_on_one(&mut self, mut open: Box<OpenStream>) -> Result<Box<OpenStream>, PumpEnd> {
        let pause = self.request.route.pause_objective.unwrap_or(UNKNOWN_PAUSE);
        let mut silence = (pause * SILENT_PAUSES).max(SILENT_AT_LEAST);
        loop {
            match timeout(silence, self.next_piece(&mut open)).await {
                Ok(PieceEnd::Piece(piece)) => self.pass(piece).await?,
                Ok(PieceEnd::Whole) => return Err(PumpEnd::Whole),
                Ok(PieceEnd::Broken(reason)) => {
                    let (endpoint, last) = (open.placement.endpoint.clone(), open.source.last_id());
                    self.broke(&open).await;
                    drop(open);
                    return self.move_on(endpoint, last, &reason).await;
                }
                Err(_) => {
                    if let Some(next) = self.look_elsewhere(&mut open, silence).await? {
                        return Ok(next);
                    }
                    // It is worth another look only after a good while longer.
                    silence += SILENT_AT_LEAST / 2;
                }
            }
        }
    }

    /// Waits for an endpoint's next events; a stream that can go on elsewhere has broken off once
    /// its endpoint is gone.
    async fn next_piece(&self, open: &mut OpenStream) -> PieceEnd {
        if !self.can_move() {
            return open.source.next().await;
        }
        let (endpoint, address) = (&open.placement.endpoint, open.placement.address);
        let next = open.source.next();
        let piece = while_present(&self.gateway, &self.request.id, endpoint, address, next).await;
        piece.unwrap_or_else(|| PieceEnd::Broken("the endpoint is gone".to_owned()))
    }

    /// Notes that an endpoint's stream broke off, and looks whether the endpoint has ended.
    async fn broke(&self, open: &OpenStream) {
        let (endpoint, address) = (&open.placement.endpoint, open.placement.address);
        endpoint_failed(&self.gateway, &self.request, endpoint, FaultKind::Broken);
        look_for_end(&self.gateway, &self.request, endpoint, address).await;
    }

    async fn pass(&mut self, piece: Bytes) -> Result<(), PumpEnd> {
        self.guard.piece();
        self.pieces.send(Ok(piece)).await.map_err(|_| PumpEnd::CallerGone)
    }

    fn can_move(&self) -> bool {
        may_resume(&self.request) && self.history.may_run_again(&self.request)
    }

    fn begin_move(&mut self, endpoint: EndpointStart, last_event: Option<u64>, reason: &str) {
        self.gateway
            .line(EventKind::Resume)
            .text("request", &self.request.id)
            .text("from", &endpoint)
            .maybe("after_event", last_event)
            .millis("left_ms", self.request.left())
            .text("reason", reason);
        self.gateway.metrics.resumes.inc();
        self.history.stream_broke(endpoint, last_event);
    }

    /// Lets a stream that has broken off go on at another endpoint.
    async fn move_on(
        &mut self,
        endpoint: EndpointStart,
        last_event: Option<u64>,
        reason: &str,
    ) -> Result<Box<OpenStream>, PumpEnd> {
        if !self.can_move() {
            return Err(PumpEnd::Broken(reason.to_owned()));
        }
        self.begin_move(endpoint, last_event, reason);
        let next = match self.history.try_until_answered(&self.gateway, &self.request).await {
            Verdict::Stream(next) => return Ok(next),
            Verdict::Answer(answer) => format!("status {}", answer.status()),
            Verdict::Refusal(refusal) => refusal.reason.to_owned(),
        };
        Err(PumpEnd::Broken(format!("{reason}; then {next}")))
    }

    /// Looks for another endpoint for a stream that is silent, without leaving the one that it
    /// has: silence is no proof, and what it has may still come. Returns the other one if its
    /// first event comes before the silence ends.
    async fn look_elsewhere(
        &mut self,
        open: &mut OpenStream,
        silence: Duration,
    ) -> Result<Option<Box<OpenStream>>, PumpEnd> {
        let endpoint = open.placement.endpoint.clone();
        if !self.can_move() || self.gateway.silence_is_expected(&endpoint, silence).await {
            return Ok(None);
        }
        endpoint_failed(&self.gateway, &self.request, &endpoint, FaultKind::Silent);
        let reason = format!("no event in {} ms", silence.as_millis());
        self.begin_move(endpoint.clone(), open.source.last_id(), &reason);
        let mut moved = Box::pin(self.history.try_until_answered(&self.gateway, &self.request));
        tokio::select! {
            piece = open.source.next() => match piece {
                PieceEnd::Piece(piece) => {
                    drop(moved);
                    self.pass(piece).await?;
                    Ok(None)
                }
                PieceEnd::Whole => Err(PumpEnd::Whole),
                PieceEnd::Broken(reason) => {
                    look_for_end(&self.gateway, &self.request, &endpoint, open.placement.address)
                        .await;
                    match moved.await {
                        Verdict::Stream(next) => Ok(Some(next)),
                        _ => Err(PumpEnd::Broken(reason)),
                    }
                }
            },
            verdict = &mut moved => match verdict {
                Verdict::Stream(next) => Ok(Some(next)),
                Verdict::Answer(_) | Verdict::Refusal(_) => Ok(None),
            },
        }
    }
}
