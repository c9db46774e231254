//! Forwards streams event by event, and resumes a broken stream at another endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use oriolepass_units::EndpointStart;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use super::body::{NotQueued, PieceSender, ResponseBody, streamed_body};
use super::caller::{CallerRequest, EndGuard};
use super::ends::{follow_given_up, is_answer_complete, probe_for_end};
use super::events::EventSplitter;
use super::pace::PaceMeter;
use super::placement::{Placement, RunClock, endpoint_failed};
use super::presence::{while_alive, with_silence_watch};
use super::tries::{RequestOutcome, SendHistory, may_resume};
use crate::balancer::FaultKind;
use crate::events::EventKind;
use crate::framing::BodyFraming;
use crate::gateway::Gateway;
use crate::held_bytes::{ByteHold, HeldKind};
use crate::task_guard::TaskGuard;
use crate::upstream::{EndpointTarget, describe};

/// The maximum number of pieces queued for a slow caller. When the queue is full, the gateway stops
/// reading from the endpoint.
const MAX_QUEUED_PIECES: usize = 8;

/// An endpoint counts as silent after this multiple of the pause objective.
const SILENCE_PAUSE_RATIO: u32 = 4;

/// The minimum silence before an endpoint counts as silent. An engine pass with a long prompt takes
/// most of a second.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The reason for giving up a stream whose events do not fit into the memory.
const NO_EVENT_MEMORY: &str = "no memory for events of this length";

/// The pause objective of a stream if its route does not state it.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_millis(500);

/// The result of reading from an endpoint's stream.
pub(super) enum NextEvents {
    /// Complete events.
    Events(Bytes),
    /// The stream has ended properly.
    Ended,
    /// The connection closed after a complete event, or before the first one. Nothing else marks
    /// the end of the stream, so it may be complete.
    Closed,
    /// The stream broke before its end. Holds the reason.
    Broken(String),
    /// The endpoint sends more than an answer has, or more than this process can hold. Holds the
    /// reason. The endpoint was alive until then.
    Overlong(&'static str),
}

/// An endpoint's stream, read as complete events.
pub(super) struct EventSource {
    body: Incoming,
    framing: BodyFraming,
    splitter: EventSplitter,
    /// Counts the bytes that are not returned yet.
    hold: ByteHold,
    clock: RunClock,
    _guard: TaskGuard,
}

impl EventSource {
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        body: Incoming,
        framing: BodyFraming,
        guard: TaskGuard,
        last_event: Option<u64>,
        clock: &RunClock,
    ) -> Self {
        let hold = ByteHold::new(gateway, HeldKind::Stream);
        let (splitter, clock) = (EventSplitter::new(last_event), clock.clone());
        Self { body, framing, splitter, hold, clock, _guard: guard }
    }

    /// Returns the id of the last event returned.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Returns the number of events returned.
    fn returned_events(&self) -> u32 {
        self.splitter.returned_events()
    }

    /// Waits for the next complete events. Bytes that contain no event beyond the last one are waited
    /// out like silence. Cancel-safe: no data is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> NextEvents {
        let next = self.read_events().await;
        match &next {
            NextEvents::Events(_) => self.clock.record_progress(self.hold.gateway().now()),
            _ => self.clock.record_over(),
        }
        next
    }

    async fn read_events(&mut self) -> NextEvents {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let events = self.splitter.push(&data);
                    let is_held = self.hold.resize(self.splitter.held_bytes());
                    if !events.is_empty() {
                        return NextEvents::Events(events);
                    }
                    if let Some(reason) = self.splitter.excess() {
                        return NextEvents::Overlong(reason);
                    }
                    if !is_held {
                        return NextEvents::Overlong(NO_EVENT_MEMORY);
                    }
                }
                Some(Err(error)) => return NextEvents::Broken(describe(&error)),
                None if self.splitter.has_partial() => {
                    return NextEvents::Broken("the stream ended within an event".to_owned());
                }
                None => {
                    let rest = self.splitter.take_unnumbered();
                    return if !rest.is_empty() {
                        NextEvents::Events(rest)
                    } else if self.framing == BodyFraming::Connection {
                        NextEvents::Closed
                    } else {
                        NextEvents::Ended
                    };
                }
            }
        }
    }
}

/// A stream whose first events have arrived, or that has ended without an event.
pub(super) struct OpenStream {
    pub(super) head: Parts,
    pub(super) first: Option<Bytes>,
    pub(super) source: EventSource,
    pub(super) placement: Placement,
}

/// Starts forwarding a stream, and returns the response to the caller.
pub(super) fn start(
    gateway: &Rc<Gateway>,
    request: CallerRequest,
    history: SendHistory,
    open: Box<OpenStream>,
    guard: EndGuard,
) -> Response<ResponseBody> {
    let hold = ByteHold::new(gateway, HeldKind::Stream);
    let (pieces, body) = streamed_body(MAX_QUEUED_PIECES, Some(hold));
    let head = open.head.clone();
    let forwarder =
        StreamForwarder { gateway: Rc::clone(gateway), request, run: None, history, pieces, guard };
    spawn_local(forwarder.run(open));
    Response::from_parts(head, body)
}

/// The reason for resuming a stream whose connection closed and that is not known to be complete.
const CUT_BY_END: &str = "the connection closed, and the endpoint is not known to be alive";

struct StreamForwarder {
    gateway: Rc<Gateway>,
    request: CallerRequest,
    /// The run whose answer is forwarded.
    run: Option<(EndpointTarget, RunClock)>,
    history: SendHistory,
    pieces: PieceSender,
    guard: EndGuard,
}

/// The way in which forwarding a stream ended.
enum ForwardEnd {
    /// The stream is complete. Holds the time since the last send if its end was marked.
    Complete(Option<Duration>),
    CallerGone,
    TimeOver,
    Broken(String),
}

impl StreamForwarder {
    async fn run(mut self, open: Box<OpenStream>) {
        let end = {
            let caller_left = self.pieces.closed();
            let deadline = self.request.timer_deadline;
            tokio::select! {
                end = self.forward_all(open) => end,
                () = caller_left => ForwardEnd::CallerGone,
                () = sleep_until(deadline) => ForwardEnd::TimeOver,
            }
        };
        self.follow_run(None);
        self.guard.record_answer(self.history.sends());
        let (status, reason) = match &end {
            ForwardEnd::Complete(run_time) => {
                self.pieces.complete();
                if let Some(run_time) = *run_time {
                    let request = &self.request;
                    let digest = || request.digest();
                    self.gateway.record_complete_answer(&request.parts(), digest, run_time);
                }
                ("200", "whole")
            }
            // Dropping the guard records that the caller is gone.
            ForwardEnd::CallerGone => return,
            ForwardEnd::TimeOver => ("cut", "time over"),
            ForwardEnd::Broken(reason) => ("cut", reason.as_str()),
        };
        self.guard.end(status, reason);
    }

    async fn forward_all(&mut self, mut open: Box<OpenStream>) -> ForwardEnd {
        loop {
            if let Some(first) = open.first.take()
                && let Err(end) = self.forward(first).await
            {
                return end;
            }
            open = match self.forward_from(open).await {
                Ok(next) => next,
                Err(end) => return end,
            };
        }
    }

    /// Forwards one endpoint's events until the stream ends or is resumed at another endpoint.
    /// Returns the stream of the other endpoint.
    async fn forward_from(
        &mut self,
        mut open: Box<OpenStream>,
    ) -> Result<Box<OpenStream>, ForwardEnd> {
        self.guard.record_framing(open.source.framing);
        self.follow_run(Some(&open.placement));
        let pause = self.request.route.pause_objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE);
        let mut silence_timeout = (pause * SILENCE_PAUSE_RATIO).max(MIN_SILENCE_TIMEOUT);
        let mut meter = open.placement.pace_meter();
        loop {
            let events_before = open.source.returned_events();
            match timeout(silence_timeout, self.next_piece(&mut open)).await {
                Ok(NextEvents::Events(piece)) => {
                    if let Some(meter) = &mut meter {
                        let events = open.source.returned_events().wrapping_sub(events_before);
                        self.measure_pace(meter, &open.placement, events);
                    }
                    self.forward(piece).await?;
                }
                Ok(NextEvents::Ended) => {
                    return Err(ForwardEnd::Complete(Some(open.placement.run_time())));
                }
                Ok(NextEvents::Closed) => {
                    if is_answer_complete(&self.gateway, &self.request, &open.placement).await {
                        return Err(ForwardEnd::Complete(None));
                    }
                    self.record_failure(&open);
                    return self.resume_broken(open, CUT_BY_END).await;
                }
                Ok(NextEvents::Broken(reason)) => {
                    self.record_failure(&open);
                    probe_for_end(&self.gateway, &self.request, &open.placement).await;
                    return self.resume_broken(open, &reason).await;
                }
                Ok(NextEvents::Overlong(reason)) => {
                    self.record_overlong(&open);
                    return self.resume_broken(open, reason).await;
                }
                Err(_) => {
                    if let Some(next) =
                        self.resume_silent_stream(&mut open, silence_timeout).await?
                    {
                        return Ok(next);
                    }
                    if let Some(meter) = &mut meter {
                        meter.skip_pause();
                    }
                    // The next attempt to resume elsewhere follows only after a longer silence.
                    silence_timeout += MIN_SILENCE_TIMEOUT / 2;
                }
            }
        }
    }

    /// Begins to forward the answer of the next run. The run before may have been given up.
    fn follow_run(&mut self, next: Option<&Placement>) {
        let next = next.map(|placement| (placement.target(), placement.clock.clone()));
        if let Some((target, clock)) = std::mem::replace(&mut self.run, next) {
            follow_given_up(&self.gateway, &self.request, &target, &clock);
        }
    }

    /// Waits for an endpoint's next events. A stream that can be resumed elsewhere counts as broken
    /// once its endpoint is gone.
    async fn next_piece(&self, open: &mut OpenStream) -> NextEvents {
        let (target, clock) = (open.placement.target(), &open.placement.clock);
        let next = open.source.next();
        if !self.can_resume() {
            return with_silence_watch(&self.gateway, &self.request, &target, clock, next).await;
        }
        let piece = while_alive(&self.gateway, &self.request, &target, clock, next).await;
        piece.unwrap_or_else(|| NextEvents::Broken("the endpoint is gone".to_owned()))
    }

    /// Records that an endpoint's stream broke.
    fn record_failure(&self, open: &OpenStream) {
        let endpoint = &open.placement.endpoint;
        open.placement.connection.record_break(&self.gateway, endpoint);
        endpoint_failed(&self.gateway, &self.request, endpoint, FaultKind::Broken);
    }

    /// Records that an endpoint sent more than an answer has. Neither its path nor its process is in
    /// doubt.
    fn record_overlong(&self, open: &OpenStream) {
        let endpoint = &open.placement.endpoint;
        endpoint_failed(&self.gateway, &self.request, endpoint, FaultKind::Broken);
    }

    async fn resume_broken(
        &mut self,
        open: Box<OpenStream>,
        reason: &str,
    ) -> Result<Box<OpenStream>, ForwardEnd> {
        let (endpoint, last) = (open.placement.endpoint.clone(), open.source.last_id());
        drop(open);
        self.resume_elsewhere(endpoint, last, reason).await
    }

    /// Measures the pause before events that have just arrived, and reports a slow pace. While the
    /// caller does not read, the gateway does not read from the endpoint either.
    fn measure_pace(&self, meter: &mut PaceMeter, placement: &Placement, events: u32) {
        if let Some(measured) = meter.record_events(self.gateway.now(), events) {
            placement.report_pace(measured);
        }
        if self.pieces.is_full() {
            meter.skip_pause();
        }
    }

    async fn forward(&mut self, piece: Bytes) -> Result<(), ForwardEnd> {
        self.guard.record_piece();
        self.pieces.send(piece).await.map_err(|error| match error {
            NotQueued::CallerLeft => ForwardEnd::CallerGone,
            NotQueued::NoMemory => ForwardEnd::Broken(NO_EVENT_MEMORY.to_owned()),
        })
    }

    /// Returns whether the stream may be resumed at another endpoint.
    fn can_resume(&self) -> bool {
        may_resume(&self.request) && self.history.may_run_again(&self.request)
    }

    /// Logs a resume and records the failed endpoint and the last event in the request's history.
    fn begin_resume(&mut self, endpoint: EndpointStart, last_event: Option<u64>, reason: &str) {
        self.gateway
            .line(EventKind::Resume)
            .text("request", &self.request.id)
            .text("from", &endpoint)
            .maybe("after_event", last_event)
            .millis("left_ms", self.request.time_left())
            .text("reason", reason);
        self.gateway.metrics.resumes.inc();
        self.history.record_broken_stream(endpoint, last_event);
    }

    /// Resumes a broken stream at another endpoint.
    async fn resume_elsewhere(
        &mut self,
        endpoint: EndpointStart,
        last_event: Option<u64>,
        reason: &str,
    ) -> Result<Box<OpenStream>, ForwardEnd> {
        if !self.can_resume() {
            return Err(ForwardEnd::Broken(reason.to_owned()));
        }
        self.begin_resume(endpoint, last_event, reason);
        let next = match self.history.send_until_answered(&self.gateway, &self.request).await {
            RequestOutcome::Stream(next) => return Ok(next),
            RequestOutcome::Answer(answer) => format!("status {}", answer.status()),
            RequestOutcome::Refusal(refusal) => refusal.reason.to_owned(),
        };
        Err(ForwardEnd::Broken(format!("{reason}; then {next}")))
    }

    /// Tries to resume a silent stream at another endpoint without closing the current stream.
    /// Silence does not prove a failure, and the current endpoint may still send events. Returns
    /// the stream of the other endpoint if its first event arrives before the silence ends.
    async fn resume_silent_stream(
        &mut self,
        open: &mut OpenStream,
        silence: Duration,
    ) -> Result<Option<Box<OpenStream>>, ForwardEnd> {
        let endpoint = open.placement.endpoint.clone();
        if !self.can_resume() || self.gateway.silence_is_expected(&endpoint, silence).await {
            return Ok(None);
        }
        let last_event = self.gateway.now() - silence;
        if open.placement.connection.record_silence(&self.gateway, &endpoint, Some(last_event)) {
            endpoint_failed(&self.gateway, &self.request, &endpoint, FaultKind::Silent);
        }
        let reason = format!("no event in {} ms", silence.as_millis());
        self.begin_resume(endpoint.clone(), open.source.last_id(), &reason);
        let mut resumed = Box::pin(self.history.send_until_answered(&self.gateway, &self.request));
        tokio::select! {
            piece = open.source.next() => match piece {
                NextEvents::Events(piece) => {
                    drop(resumed);
                    self.forward(piece).await?;
                    Ok(None)
                }
                NextEvents::Ended => Err(ForwardEnd::Complete(Some(open.placement.run_time()))),
                NextEvents::Closed => {
                    if is_answer_complete(&self.gateway, &self.request, &open.placement).await {
                        return Err(ForwardEnd::Complete(None));
                    }
                    resumed_stream(resumed.await, CUT_BY_END)
                }
                NextEvents::Broken(reason) => {
                    probe_for_end(&self.gateway, &self.request, &open.placement).await;
                    resumed_stream(resumed.await, &reason)
                }
                NextEvents::Overlong(reason) => {
                    endpoint_failed(&self.gateway, &self.request, &endpoint, FaultKind::Broken);
                    resumed_stream(resumed.await, reason)
                }
            },
            outcome = &mut resumed => match outcome {
                RequestOutcome::Stream(next) => Ok(Some(next)),
                RequestOutcome::Answer(_) | RequestOutcome::Refusal(_) => Ok(None),
            },
        }
    }
}

/// Returns the stream that was resumed after the previous one had broken for the given reason.
fn resumed_stream(
    outcome: RequestOutcome,
    reason: &str,
) -> Result<Option<Box<OpenStream>>, ForwardEnd> {
    match outcome {
        RequestOutcome::Stream(next) => Ok(Some(next)),
        _ => Err(ForwardEnd::Broken(reason.to_owned())),
    }
}
