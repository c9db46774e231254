//! Runs one request: executes the commands of its state machine and feeds it the resulting
//! events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::BoxFuture;
use oriolepass_config::{ClaimAnswer, KeptAnswer, SettleCommand};
use oriolepass_request::{
    AttemptRefusal, RequestCommand, RequestLifecycle, RequestOutcome, RequestPlan, SendFailure,
};
use oriolepass_scheduler::{
    GrantRequest, LengthClass, PromptGrant, ReleaseReason, WorkTarget, prefix_hashes,
};
use oriolepass_schema::caller::{PromptBody, RequestPriority};
use oriolepass_schema::endpoint::StreamLine;
use oriolepass_units::{
    AccountId, AttemptId, CallerKey, EndpointId, InstanceId, MonotonicTime, TokenCount,
};
use tokio::sync::{mpsc, oneshot, watch};

use super::client::ServiceCall;
use super::homes::{ask_homes, jittered};
use super::lines::LineStream;
use super::outcomes;
use super::sending::{claim_request, send_prompt};
use crate::shared::DaemonShared;

/// Capacity of the channel that buffers pieces of an answer for a slow caller.
const MAX_BUFFERED_PIECES: usize = 32;

/// Timeout for the commit of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for an endpoint's answer to the cancellation of an attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The payload of a request.
pub(crate) enum WorkBody {
    /// A prompt for a model.
    Prompt(Arc<PromptBody>),
    /// A call to a plain service.
    Service(ServiceCall),
}

/// The caller key and body digest of a request that must run at most once.
pub(crate) struct ClaimSpec {
    pub(crate) key: CallerKey,
    pub(crate) body_digest: String,
}

/// An admitted request.
pub(crate) struct EntryRequest {
    pub(crate) account: AccountId,
    pub(crate) target: WorkTarget,
    pub(crate) body: WorkBody,
    pub(crate) prompt_tokens: TokenCount,
    pub(crate) answer_tokens: TokenCount,
    pub(crate) priority: RequestPriority,
    pub(crate) arrived: MonotonicTime,
    pub(crate) deadline: MonotonicTime,
    /// Present where the request must not be repeated.
    pub(crate) claim: Option<ClaimSpec>,
}

/// An event for the caller's HTTP handler.
///
/// Every open stream allocates a channel of events, so the rare large variants are boxed.
pub(crate) enum CallerEvent {
    /// The next piece of the answer.
    Piece(String),
    /// A plain service's answer, sent before its only piece.
    ServiceHead(Box<KeptAnswer>),
    /// The outcome of the request; the last event.
    Finished(Box<RequestOutcome>),
}

/// The result of an asynchronous operation that the request waited for.
enum DriverEvent {
    Claimed(Option<ClaimAnswer>),
    Granted(Result<(InstanceId, PromptGrant), (AttemptId, AttemptRefusal)>),
    Sent(Result<LineStream, SendFailure>),
    Answered(Result<(AttemptId, KeptAnswer, String), SendFailure>),
}

/// Starts a request and returns the receiver of its events, of which `Finished` is the last.
pub(crate) fn start_request(
    shared: &Arc<DaemonShared>,
    request: EntryRequest,
) -> mpsc::Receiver<CallerEvent> {
    let (events, receiver) = mpsc::channel(MAX_BUFFERED_PIECES);
    let running = RunningGuard::enter(shared);
    let driver = RequestDriver::new(Arc::clone(shared), request, events);
    tokio::spawn(async move {
        driver.run().await;
        drop(running);
    });
    receiver
}

/// Counts a request while it runs. The count is decremented on drop, so a panic of the task
/// does not leave it too high.
struct RunningGuard(Arc<DaemonShared>);

impl RunningGuard {
    fn enter(shared: &Arc<DaemonShared>) -> Self {
        shared.running.fetch_add(1, Ordering::SeqCst);
        shared.metrics.running.inc();
        Self(Arc::clone(shared))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.running.dec();
    }
}

struct RequestDriver {
    shared: Arc<DaemonShared>,
    request: Arc<EntryRequest>,
    life: RequestLifecycle,
    events: mpsc::Sender<CallerEvent>,
    pending: Option<BoxFuture<'static, DriverEvent>>,
    lines: Option<LineStream>,
    /// The home that granted the current attempt.
    home: Option<InstanceId>,
    claim_nonce: AttemptId,
    seen_token: bool,
}

impl RequestDriver {
    fn new(
        shared: Arc<DaemonShared>,
        request: EntryRequest,
        events: mpsc::Sender<CallerEvent>,
    ) -> Self {
        let plan = RequestPlan { repeatable: request.claim.is_none(), deadline: request.deadline };
        let life = RequestLifecycle::new(plan, shared.next_attempt_id());
        Self {
            claim_nonce: shared.next_attempt_id(),
            shared,
            request: Arc::new(request),
            life,
            events,
            pending: None,
            lines: None,
            home: None,
            seen_token: false,
        }
    }

    async fn run(mut self) {
        let (due, mut deadline) = oneshot::channel::<()>();
        let mut abandon = self.shared.abandon.subscribe();
        let ticket = self.shared.timer.subscribe(self.request.deadline, move || {
            let _ = due.send(());
        });
        loop {
            for command in self.life.take_commands() {
                if let RequestCommand::Finish(outcome) = command {
                    self.shared.timer.cancel(ticket);
                    self.finish(outcome).await;
                    return;
                }
                self.carry_out(command, &mut deadline).await;
            }
            self.wait_for_event(&mut deadline, &mut abandon).await;
        }
    }

    /// Waits for the next event and passes it to the state machine.
    async fn wait_for_event(
        &mut self,
        deadline: &mut oneshot::Receiver<()>,
        abandon: &mut watch::Receiver<bool>,
    ) {
        tokio::select! {
            biased;
            _ = deadline => self.life.deadline_passed(),
            () = self.events.closed(), if !self.outlives_caller() => self.life.caller_gone(),
            _ = abandon.wait_for(|abandon| *abandon) => self.life.abandon(),
            event = next_event(&mut self.pending) => {
                self.pending = None;
                self.handle_event(event);
            }
            line = next_line(&mut self.lines) => self.on_line(line),
        }
    }

    /// Returns whether the request continues after its caller has disconnected. Non-repeatable
    /// requests do: the caller may send the request again with the same key and then gets the
    /// answer.
    fn outlives_caller(&self) -> bool {
        self.request.claim.is_some()
    }

    fn handle_event(&mut self, event: DriverEvent) {
        let shared = Arc::clone(&self.shared);
        let next = || shared.next_attempt_id();
        match event {
            DriverEvent::Claimed(Some(answer)) => self.life.claim_answered(answer, next),
            DriverEvent::Claimed(None) => self.life.claim_failed(),
            DriverEvent::Granted(Ok((home, grant))) => {
                self.home = Some(home);
                self.shared.grants.add(&grant);
                self.life.granted(self.shared.now(), grant);
            }
            DriverEvent::Granted(Err((attempt, refusal))) => {
                self.life.refused(&attempt, &refusal, next);
            }
            DriverEvent::Sent(Ok(lines)) => self.lines = Some(lines),
            DriverEvent::Sent(Err(failure)) | DriverEvent::Answered(Err(failure)) => {
                self.attempt_failed(failure);
            }
            DriverEvent::Answered(Ok((attempt, kept, body))) => {
                let own = self.life.attempt() == Some(&attempt);
                if own {
                    let _ = self.events.try_send(CallerEvent::ServiceHead(Box::new(kept.clone())));
                }
                self.life.service_answered(&attempt, &kept, &body);
                if !own {
                    // The answer belongs to another attempt. This attempt's answer may never
                    // arrive, and its call may have run.
                    self.attempt_failed(SendFailure::Broken);
                }
            }
        }
    }

    fn attempt_failed(&mut self, failure: SendFailure) {
        let shared = &self.shared;
        self.life.send_failed(failure, || shared.spend_retry(), || shared.next_attempt_id());
    }

    fn on_line(&mut self, line: Option<StreamLine>) {
        let Some(line) = line else {
            self.lines = None;
            self.attempt_failed(SendFailure::Broken);
            return;
        };
        let shared = &self.shared;
        let before = self.life.strays();
        self.life.line(line, || shared.spend_retry(), || shared.next_attempt_id());
        self.shared.metrics.stray_pieces.inc_by(self.life.strays() - before);
    }

    async fn carry_out(&mut self, command: RequestCommand, deadline: &mut oneshot::Receiver<()>) {
        match command {
            RequestCommand::Claim => self.pending = Some(self.claim()),
            RequestCommand::AskGrant { after, exclude } => {
                self.lines = None;
                self.pending = Some(self.ask_grant(after, exclude));
            }
            RequestCommand::Send { grant, resume_from, resume_text } => {
                self.pending = Some(self.send(grant, resume_from, resume_text));
            }
            RequestCommand::Deliver(text) => self.deliver(text, deadline).await,
            RequestCommand::ReportStarted(attempt) => {
                if let Some(home) = self.home.clone() {
                    outcomes::note_started(&self.shared, home, attempt);
                }
            }
            RequestCommand::Release(attempt, reason) => self.release(attempt, reason),
            RequestCommand::Cancel(attempt, members) => {
                self.lines = None;
                for member in members {
                    self.cancel(member.address, attempt.clone());
                }
            }
            RequestCommand::Settle(verdict) => {
                let claim = self.request.claim.as_ref().expect("only claims are settled");
                outcomes::settle(
                    &self.shared,
                    SettleCommand {
                        account: self.request.account.clone(),
                        key: claim.key.clone(),
                        nonce: self.claim_nonce.clone(),
                        verdict,
                    },
                );
            }
            RequestCommand::Finish(_) => unreachable!("handled by the loop"),
        }
    }

    fn release(&mut self, attempt: AttemptId, reason: ReleaseReason) {
        self.pending = None;
        let endpoints = self.shared.grants.remove(&attempt);
        // The endpoint's home may have changed since the grant. The new home then holds the
        // ledger, so the release goes to both.
        let present = endpoints
            .and_then(|endpoints| endpoints.into_iter().next())
            .and_then(|(data_centre, endpoint)| self.shared.home_of(&data_centre, &endpoint))
            .map(|member| member.instance);
        let asked = self.home.take();
        if let Some(home) = present.clone() {
            outcomes::release(&self.shared, home, attempt.clone(), reason);
        }
        if let Some(home) = asked.filter(|home| present.as_ref() != Some(home)) {
            outcomes::release(&self.shared, home, attempt, reason);
        }
    }

    fn cancel(&self, address: SocketAddr, attempt: AttemptId) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            shared.endpoints.cancel(address, &attempt, CANCEL_TIMEOUT).await;
        });
    }

    /// Passes a piece to the caller. A caller that does not read within `reader_timeout` counts
    /// as disconnected.
    async fn deliver(&mut self, text: String, deadline: &mut oneshot::Receiver<()>) {
        if !std::mem::replace(&mut self.seen_token, true) {
            let taken = self.shared.now().since(self.request.arrived).as_secs_f64();
            let class = LengthClass::of(self.request.prompt_tokens);
            self.shared.metrics.observe_first_token(class, &self.request.account, taken);
        }
        let piece = CallerEvent::Piece(text);
        let piece = match self.events.try_send(piece) {
            Ok(()) => return,
            Err(mpsc::error::TrySendError::Closed(_)) if self.outlives_caller() => return,
            Err(mpsc::error::TrySendError::Closed(_)) => return self.life.caller_gone(),
            Err(mpsc::error::TrySendError::Full(piece)) => piece,
        };
        let timeout = self.shared.settings.limits.reader_timeout;
        tokio::select! {
            sent = self.events.send_timeout(piece, timeout) => {
                if sent.is_err() && !self.outlives_caller() {
                    self.life.caller_gone();
                }
            }
            _ = deadline => self.life.deadline_passed(),
        }
    }

    async fn finish(&mut self, outcome: RequestOutcome) {
        self.shared.metrics.requests.with_label_values(&[outcome.label()]).inc();
        let timeout = self.shared.settings.limits.reader_timeout;
        let _ = self.events.send_timeout(CallerEvent::Finished(Box::new(outcome)), timeout).await;
    }

    fn claim(&self) -> BoxFuture<'static, DriverEvent> {
        let (shared, request) = (Arc::clone(&self.shared), Arc::clone(&self.request));
        let nonce = self.claim_nonce.clone();
        Box::pin(async move {
            let claim_deadline = request.deadline.min(shared.now() + CLAIM_TIMEOUT);
            DriverEvent::Claimed(claim_request(&shared, &request, &nonce, claim_deadline).await)
        })
    }

    fn ask_grant(
        &mut self,
        after: Duration,
        exclude: Vec<EndpointId>,
    ) -> BoxFuture<'static, DriverEvent> {
        let request = &self.request;
        if self.life.attempts() == 0 {
            self.shared.earn_retry();
        }
        let ask = GrantRequest {
            attempt: self.life.attempt().expect("it waits for a grant").clone(),
            entry: self.shared.id().clone(),
            account: request.account.clone(),
            target: request.target.clone(),
            prompt: request.prompt_tokens,
            answer: request.answer_tokens,
            priority: request.priority,
            patience: request.deadline.since(self.shared.now()),
            prefix: match &request.body {
                WorkBody::Prompt(prompt) => prefix_hashes(prompt),
                WorkBody::Service(_) => Vec::new(),
            },
            exclude,
        };
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            if !after.is_zero() {
                tokio::time::sleep(jittered(after)).await;
            }
            DriverEvent::Granted(ask_homes(&shared, ask).await)
        })
    }

    fn send(
        &self,
        grant: PromptGrant,
        resume_from: u64,
        resume_text: String,
    ) -> BoxFuture<'static, DriverEvent> {
        let (shared, request) = (Arc::clone(&self.shared), Arc::clone(&self.request));
        Box::pin(async move {
            match &request.body {
                WorkBody::Service(call) => {
                    let address = grant.members[0].address;
                    let sent = shared.endpoints.call_service(address, &grant.attempt, call);
                    DriverEvent::Answered(sent.await)
                }
                WorkBody::Prompt(prompt) => {
                    let prompt = Arc::clone(prompt);
                    let sent =
                        send_prompt(&shared, &request, prompt, &grant, resume_from, resume_text);
                    DriverEvent::Sent(sent.await)
                }
            }
        })
    }
}

async fn next_event(pending: &mut Option<BoxFuture<'static, DriverEvent>>) -> DriverEvent {
    match pending {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}

async fn next_line(lines: &mut Option<LineStream>) -> Option<StreamLine> {
    match lines {
        Some(lines) => lines.next().await,
        None => std::future::pending().await,
    }
}
