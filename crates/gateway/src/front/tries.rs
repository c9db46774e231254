//! Sends of one request: what each brought, and what follows from it.
//!
//! The rules are few. An endpoint's own word that a request was not run, or a connection that
//! never came about, leaves a request as it was: it may go elsewhere, or be refused truthfully.
//! After anything else it may have run: then only an idempotent one, or a stream that can go on
//! after its last event, is sent again; any other gets its failure at once.

use std::rc::Rc;
use std::time::Duration;

use oriolepass_quarantine::Standing;
use oriolepass_routing::RepeatRule;
use oriolepass_units::EndpointStart;
use tokio::time::{Instant, sleep, timeout};

use super::attempts::AttemptCount;
use super::caller::{AFTER_ELECTION, CallerRequest};
use super::placement::{NoPlace, Placement, endpoint_failed};
use super::refusal::Refusal;
use super::sends::{TryEnd, WholeAnswer, send_once};
use super::stream::OpenStream;
use super::try_lines::no_place;
use crate::balancer::FaultKind;
use crate::gateway::Gateway;

/// Sends of one request at most, those included that no endpoint ran.
const MAX_SENDS: u32 = 4;

/// The part of the objective for which a request waits for an endpoint before it is refused: a longer wait
/// holds more requests in vain than it serves.
const WAIT_SHARE: f64 = 0.22;

/// The pause before a place is looked for again.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// How long another place is looked for after an endpoint was lost with the request.
const LOOK_AFTER_LOSS: Duration = Duration::from_millis(500);

/// The part of the objective after which an idempotent call that has no answer is sent to
/// another endpoint: far above the usual time of a call, and early enough for the second answer
/// to be on time.
const CALL_SILENCE_SHARE: f64 = 0.65;

/// A stream's first event is overdue at this many times its predicted time...
const FIRST_EVENT_STRETCH: f64 = 2.5;

/// ...and this much later...
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(500);

/// ...and not before this many times the objective.
const FIRST_EVENT_OBJECTIVES: f64 = 1.2;

/// With less time left than this a second endpoint would not answer either.
const WORTH_SENDING: Duration = Duration::from_millis(150);

/// Longer than any request.
const FOREVER: Duration = Duration::from_secs(24 * 3_600);

/// Where a service answers that it is full, callers come back after this long.
const FULL_AGAIN: Duration = Duration::from_millis(250);

/// What a request is judged by is waited for this long after an endpoint has ended under it: the other
/// requests that ran there may be those of other instances, which say so within some hops.
const NEWS_OF_END: Duration = Duration::from_millis(40);

/// Why a request that ends its endpoints is not sent.
const QUARANTINED: &str = "the request ends its endpoints";

/// What came of a request.
pub(super) enum Verdict {
    /// An endpoint's answer, to be passed on as it is.
    Answer(WholeAnswer),
    /// An endpoint's stream, whose first event has come.
    Stream(Box<OpenStream>),
    /// An answer of the gateway's own.
    Refusal(Refusal),
}

/// The sends of one request so far.
pub(super) struct History {
    attempts: AttemptCount,
    /// Endpoints that failed this request.
    avoid: Vec<EndpointStart>,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// A failure that an endpoint answered, for want of anything better.
    failure: Option<WholeAnswer>,
    /// Until when an endpoint is looked for.
    wait_until: Instant,
    /// Whether its next send is one that a quarantined request is granted after a long time.
    is_trial: bool,
}

impl History {
    /// Starts a request's history; `start_wait` is how long it may wait for this daemon to start.
    pub(super) fn new(request: &CallerRequest, start_wait: Duration) -> Self {
        let wait = request.route.objective.mul_f64(WAIT_SHARE).max(start_wait);
        Self {
            attempts: AttemptCount::default(),
            avoid: Vec::new(),
            last_event: request.facts.resume_after,
            failure: None,
            wait_until: Instant::now() + wait,
            is_trial: false,
        }
    }

    pub(super) fn sends(&self) -> u32 {
        self.attempts.sends()
    }

    /// Returns on how many endpoints the request may have run.
    pub(super) fn runs(&self) -> u32 {
        self.attempts.runs()
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.runs() > 0
    }

    /// Notes that a stream broke off after its first event, so that it can go on elsewhere.
    pub(super) fn stream_broke(&mut self, endpoint: EndpointStart, last_event: Option<u64>) {
        self.avoid.push(endpoint);
        self.last_event = last_event;
        self.wait_until = Instant::now() + LOOK_AFTER_LOSS;
    }

    /// Returns whether the request may be sent once more after it may have run.
    pub(super) fn may_run_again(&self, request: &CallerRequest) -> bool {
        request.route.repeat.may_repeat() && self.attempts.runs() < request.route.max_attempts
    }

    fn may_send_again(&self, request: &CallerRequest) -> bool {
        self.may_run_again(request) && self.sends() < MAX_SENDS
    }

    /// Sends a request until it has an answer or is given up.
    ///
    /// To be dropped when the request's time is over.
    pub(super) async fn try_until_answered(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
    ) -> Verdict {
        loop {
            let end = match self.begin_send(gateway, request).await {
                Ok(placement) => self.send_hedged(gateway, request, placement).await,
                Err(end) => end,
            };
            if let Some(verdict) = self.conclude(gateway, request, end).await {
                return verdict;
            }
        }
    }

    /// Sends a request, and sends it to a second endpoint as well where the first one is silent
    /// for too long and it may run twice. Whichever answers first is taken: an endpoint that is
    /// merely slow is not given up for one that may be no faster.
    async fn send_hedged(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        placement: Placement,
    ) -> TryEnd {
        let patience = self.patience(request, &placement);
        let silent = placement.endpoint.clone();
        let mut first = std::pin::pin!(send_once(gateway, request, placement, self.last_event));
        let began = Instant::now();
        loop {
            if let Ok(end) = timeout(patience, &mut first).await {
                return end;
            }
            let is_engine = request.service.engine.is_some();
            let silence = began.elapsed();
            if !is_engine || !gateway.silence_is_expected(&silent, silence).await {
                break;
            }
        }
        endpoint_failed(gateway, request, &silent, FaultKind::Silent);
        self.log_failure(gateway, request, Some(&silent), "silent", true);
        self.avoid.push(silent);
        if !self.may_send_again(request) || request.left() < WORTH_SENDING {
            return first.await;
        }
        let placement = match self.begin_send(gateway, request).await {
            Ok(placement) => placement,
            Err(end) => {
                let reason = match end {
                    TryEnd::NoPlace(lack) => lack.told().0,
                    TryEnd::Barred(reason, _) => reason,
                    _ => "the endpoint is leaving",
                };
                no_place(gateway, request, reason).text("next", "wait for the silent endpoint");
                return first.await;
            }
        };
        let mut second = std::pin::pin!(send_once(gateway, request, placement, self.last_event));
        let (end, first_ended) = tokio::select! {
            end = &mut first => (end, true),
            end = &mut second => (end, false),
        };
        match end {
            TryEnd::Answer(_) | TryEnd::Stream(_) => return end,
            TryEnd::NotRun { .. } => self.attempts.was_not_run(),
            TryEnd::NotArrived { .. } => self.attempts.did_not_arrive(),
            _ => {}
        }
        if first_ended { second.await } else { first.await }
    }

    /// Returns what the request comes to; none where it is to be sent again.
    async fn conclude(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
        end: TryEnd,
    ) -> Option<Verdict> {
        match end {
            TryEnd::Stream(open) => Some(Verdict::Stream(open)),
            TryEnd::Answer(answer) => self.conclude_answer(request, answer),
            TryEnd::NotRun { reason, endpoint } => {
                self.attempts.was_not_run();
                self.conclude_not_run(gateway, request, &reason, endpoint)
            }
            TryEnd::NotArrived { reason, endpoint } => {
                self.attempts.did_not_arrive();
                self.conclude_not_run(gateway, request, &reason, endpoint)
            }
            TryEnd::Leaving(endpoint) => {
                let reason = "the endpoint is leaving";
                self.log_failure(gateway, request, Some(&endpoint), reason, true);
                self.avoid.push(endpoint);
                None
            }
            TryEnd::MayHaveRun { reason, endpoint } => {
                let again = self.may_send_again(request);
                self.log_failure(gateway, request, Some(&endpoint), &reason, again);
                self.avoid.push(endpoint);
                self.wait_until = self.wait_until.max(Instant::now() + LOOK_AFTER_LOSS);
                (!again).then(|| self.give_up("answer lost", FULL_AGAIN))
            }
            TryEnd::Barred(reason, after) => Some(self.give_up(reason, after)),
            TryEnd::NoPlace(lack) => self.conclude_no_place(gateway, request, lack).await,
        }
    }

    fn conclude_not_run(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
        reason: &str,
        endpoint: Option<EndpointStart>,
    ) -> Option<Verdict> {
        let again = self.sends() < MAX_SENDS;
        self.log_failure(gateway, request, endpoint.as_ref(), reason, again);
        self.avoid.extend(endpoint);
        (!again).then(|| self.give_up("endpoints full or gone", FULL_AGAIN))
    }

    fn conclude_answer(&mut self, request: &CallerRequest, answer: WholeAnswer) -> Option<Verdict> {
        let is_failure = answer.status().is_server_error();
        if !is_failure || !self.may_send_again(request) {
            return Some(Verdict::Answer(answer));
        }
        self.failure = Some(answer);
        None
    }

    async fn conclude_no_place(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
        lack: NoPlace,
    ) -> Option<Verdict> {
        let may_wait = !matches!(lack, NoPlace::Refused(..));
        if may_wait && Instant::now() < self.wait_until {
            sleep(LOOK_AGAIN).await;
            return None;
        }
        let (reason, after) = lack.told();
        no_place(gateway, request, reason).millis("retry_after_ms", after);
        Some(self.give_up(reason, after))
    }

    /// Ends a request that gets no answer, with the truth about whether it may have run.
    fn give_up(&mut self, reason: &'static str, retry_after: Duration) -> Verdict {
        if let Some(failure) = self.failure.take() {
            return Verdict::Answer(failure);
        }
        if self.may_have_run() {
            return Verdict::Refusal(Refusal::failed(reason));
        }
        Verdict::Refusal(Refusal::not_run(reason, retry_after))
    }

    /// Finds an endpoint and makes the last checks before bytes leave.
    async fn begin_send(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
    ) -> Result<Placement, TryEnd> {
        self.check_quarantine(gateway, request).await?;
        let patience = self.wait_until.saturating_duration_since(Instant::now());
        let found = Placement::find(gateway, request, &self.avoid, patience).await;
        let placement = found.map_err(TryEnd::NoPlace)?;
        // The process may have stood still since the first checks.
        let fails_closed = request.needs_proof && gateway.settings().bounds.fail_closed;
        if fails_closed && !gateway.is_fresh() {
            return Err(TryEnd::Barred("document not proved current", AFTER_ELECTION));
        }
        if gateway.endpoints.borrow().takes_work(&placement.endpoint).is_none() {
            return Err(TryEnd::Leaving(placement.endpoint.clone()));
        }
        if request.left().is_zero() {
            return Err(TryEnd::Barred("time over", FULL_AGAIN));
        }
        // An endpoint may have ended under it elsewhere meanwhile.
        self.check_quarantine(gateway, request).await?;
        // Only what reaches an endpoint once more counts: neither a look for a place that finds none nor a send to one
        // that is gone must use up what other requests need.
        if self.attempts.arrivals() > 0 && !take_from_budget(gateway, request).await {
            return Err(TryEnd::Barred("retry budget used up", FULL_AGAIN));
        }
        self.attempts.send();
        self.is_trial = false;
        self.log_send(gateway, request, &placement);
        Ok(placement)
    }

    /// Refuses a request that ends its endpoints. The limit of sends holds for one attempt in one instance,
    /// so that a request which comes again would end as many endpoints with each attempt.
    async fn check_quarantine(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
    ) -> Result<(), TryEnd> {
        let standing = || gateway.standing(|| request.digest());
        if self.is_trial || !matches!(standing(), Standing::Quarantined { .. }) {
            return Ok(());
        }
        let age = gateway.since_last_end(request.digest()).unwrap_or(Duration::MAX);
        sleep(NEWS_OF_END.saturating_sub(age)).await;
        let Standing::Quarantined { trial_in } = standing() else { return Ok(()) };
        if trial_in.is_zero() && gateway.try_begin_trial(request.digest()) {
            self.is_trial = true;
            return Ok(());
        }
        Err(TryEnd::Barred(QUARANTINED, trial_in.max(FULL_AGAIN)))
    }

    /// Returns how long the head of the answer, or a stream's first event, is waited for.
    fn patience(&self, request: &CallerRequest, placement: &Placement) -> Duration {
        if !request.route.repeat.may_repeat() || self.attempts.runs() >= request.route.max_attempts
        {
            // The request's own time ends first, and with the answer that fits that.
            return FOREVER;
        }
        let objective = request.route.objective;
        match &placement.plan {
            Some(plan) => (plan.first_event.mul_f64(FIRST_EVENT_STRETCH) + FIRST_EVENT_SLACK)
                .max(objective.mul_f64(FIRST_EVENT_OBJECTIVES)),
            None => objective.mul_f64(CALL_SILENCE_SHARE),
        }
    }
}

/// Takes one repeated send out of the budget; returns whether there was one.
async fn take_from_budget(gateway: &Gateway, request: &CallerRequest) -> bool {
    let granted = gateway.take_repeated_send(&request.service.name).await;
    if !granted {
        gateway.metrics.budget_refusals.inc();
    }
    granted
}

/// Returns whether a stream that has begun may go on at another endpoint.
pub(super) fn may_resume(request: &CallerRequest) -> bool {
    request.route.repeat == RepeatRule::ResumableStream
}
