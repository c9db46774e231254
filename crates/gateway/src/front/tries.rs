//! Implements the retry and hedging policy of a request: decides after each send whether the
//! request is sent again, answered or refused.
//!
//! If an endpoint states that it did not run the request, or if no connection was established, the
//! request has not run. It may be sent to another endpoint, or be refused as not run. After any
//! other failure the request may have run. In that case only an idempotent request, or a stream
//! that can be resumed after its last event, is sent again. Any other request fails immediately.

use std::rc::Rc;
use std::time::Duration;

use oriolepass_limits::WaiterId;
use oriolepass_quarantine::Standing;
use oriolepass_routing::RepeatRule;
use oriolepass_units::EndpointStart;
use tokio::time::{Instant, sleep, timeout};

use super::attempts::AttemptCount;
use super::caller::{CallerRequest, ELECTION_RETRY_AFTER};
use super::placement::{NoPlacement, Placement, endpoint_failed};
use super::refusal::Refusal;
use super::second_sends::FirstSend;
use super::sends::{BufferedAnswer, SendOutcome, send_once};
use super::stream::OpenStream;
use super::try_lines::no_place_line;
use crate::balancer::FaultKind;
use crate::gateway::Gateway;

/// The maximum number of sends of one request, including sends that no endpoint ran.
const MAX_SENDS: u32 = 4;

/// The part of the objective for which a request waits for an endpoint before it is refused. With a
/// longer wait, more requests wait in vain than are served additionally.
const ENDPOINT_WAIT_SHARE: f64 = 0.22;

/// The delay between attempts to find an endpoint.
const ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The minimum delay before a request asks again for a permit of an endpoint with a limit.
const MIN_PERMIT_DELAY: Duration = Duration::from_millis(5);

/// The time for which a request waits for another endpoint after its endpoint was lost.
const ENDPOINT_WAIT_AFTER_LOSS: Duration = Duration::from_millis(500);

/// The part of the objective after which an idempotent call without an answer is also sent to a
/// second endpoint. It is far above the usual duration of a call and leaves time for the second
/// answer to meet the objective.
const CALL_HEDGE_SHARE: f64 = 0.65;

/// A stream's first event is overdue after this multiple of its predicted time, plus
/// `FIRST_EVENT_GRACE`, but not before `FIRST_EVENT_OBJECTIVE_RATIO` times the objective.
const FIRST_EVENT_RATIO: f64 = 2.5;

/// The time added to the scaled prediction of a stream's first event.
const FIRST_EVENT_GRACE: Duration = Duration::from_millis(500);

/// The minimum time until a stream's first event is overdue, as a multiple of the objective.
const FIRST_EVENT_OBJECTIVE_RATIO: f64 = 1.2;

/// The minimum remaining time for a hedged send. With less time, a second endpoint would not answer
/// in time either.
const MIN_HEDGE_TIME_LEFT: Duration = Duration::from_millis(150);

/// The `Retry-After` of refusals because a service's endpoints are full. It is also used for
/// refusals without a delay of their own.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The reason for refusing a quarantined request.
const QUARANTINED: &str = "the request ends its endpoints";

/// The reason for refusing a prompt with a quarantined part.
const PART_QUARANTINED: &str = "a part of the prompt ends its endpoints";

/// The outcome of a request.
pub(super) enum RequestOutcome {
    /// An endpoint's answer, which is forwarded unchanged.
    Answer(BufferedAnswer),
    /// An endpoint's stream whose first events have arrived, or that has ended without an event.
    Stream(Box<OpenStream>),
    /// A response of the gateway itself.
    Refusal(Refusal),
}

/// The state of one request across its sends.
pub(super) struct SendHistory {
    pub(super) attempts: AttemptCount,
    /// Endpoints that failed this request.
    pub(super) avoid: Vec<EndpointStart>,
    /// The id of the last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// A server error from an endpoint, which is returned if no other answer arrives.
    pub(super) failure: Option<BufferedAnswer>,
    /// The time until which the request waits for an endpoint.
    endpoint_wait_until: Instant,
    /// Identifies the search for the next send's endpoint, until one is found.
    search: Option<WaiterId>,
    /// Whether the next send is a trial, which a quarantined request is granted after a long time.
    is_trial: bool,
}

impl SendHistory {
    /// Creates a request's history. `start_wait` is how long the request may wait for this daemon
    /// to start.
    pub(super) fn new(request: &CallerRequest, start_wait: Duration) -> Self {
        let wait = request.route.objective.mul_f64(ENDPOINT_WAIT_SHARE).max(start_wait);
        Self {
            attempts: AttemptCount::default(),
            avoid: Vec::new(),
            last_event: request.facts.resume_after,
            failure: None,
            endpoint_wait_until: Instant::now() + wait,
            search: None,
            is_trial: false,
        }
    }

    pub(super) fn sends(&self) -> u32 {
        self.attempts.sends()
    }

    /// Returns on how many endpoints the request may have run or may still run.
    pub(super) fn runs(&self) -> u32 {
        self.attempts.runs()
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.runs() > 0
    }

    /// Records that a stream broke or fell silent after its first event, before it is resumed at
    /// another endpoint.
    pub(super) fn record_broken_stream(
        &mut self,
        endpoint: EndpointStart,
        last_event: Option<u64>,
    ) {
        self.avoid.push(endpoint);
        self.last_event = last_event;
        self.endpoint_wait_until = Instant::now() + ENDPOINT_WAIT_AFTER_LOSS;
    }

    /// Returns whether the request may run once more after it may have run.
    pub(super) fn may_run_again(&self, request: &CallerRequest) -> bool {
        request.route.repeat.may_repeat() && self.attempts.runs() < request.route.max_attempts
    }

    pub(super) fn may_send_again(&self, request: &CallerRequest) -> bool {
        self.may_run_again(request) && self.sends() < MAX_SENDS
    }

    /// Sends a request until it has an answer or no further send is allowed.
    ///
    /// The caller drops the future when the request's time is over.
    pub(super) async fn send_until_answered(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
    ) -> RequestOutcome {
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

    /// Sends a request, and also sends it to a second endpoint if the first endpoint does not
    /// answer in time and the request may run twice. The first answer is used. The first send is
    /// not abandoned, since the second endpoint may be no faster than a slow first endpoint.
    async fn send_hedged(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        placement: Placement,
    ) -> SendOutcome {
        let silence_timeout = silence_timeout(request, &placement);
        let may_hedge = self.may_run_again(request);
        let (first_endpoint, connection) =
            (placement.endpoint.clone(), placement.connection.clone());
        let mut observed = FirstSend::observe(gateway, request, &placement, self.last_event);
        let mut first = std::pin::pin!(send_once(gateway, request, placement, self.last_event));
        let began = Instant::now();
        let mut wait = silence_timeout;
        if let Some(observed) = &mut observed {
            let answer = first.as_mut();
            let end = self
                .await_or_send_second(gateway, request, observed, answer, silence_timeout)
                .await;
            if let Some(end) = end {
                return end;
            }
            wait = Duration::ZERO;
        }
        loop {
            if let Ok(end) = timeout(wait, &mut first).await {
                return end;
            }
            wait = silence_timeout;
            let is_engine = request.service.engine.is_some();
            let silence = began.elapsed();
            if !is_engine || !gateway.silence_is_expected(&first_endpoint, silence).await {
                break;
            }
        }
        let is_reported = connection.record_silence(gateway, &first_endpoint, None);
        if !may_hedge {
            // The request's deadline passes first and determines its response.
            return first.await;
        }
        self.log_failure(gateway, request, Some(&first_endpoint), "silent", true);
        self.avoid.push(first_endpoint.clone());
        if is_reported {
            endpoint_failed(gateway, request, &first_endpoint, FaultKind::Silent);
        }
        if !self.may_send_again(request) || request.time_left() < MIN_HEDGE_TIME_LEFT {
            return first.await;
        }
        let placement = match self.begin_send(gateway, request).await {
            Ok(placement) => placement,
            Err(end) => {
                let reason = match end {
                    SendOutcome::NoPlacement(error) => error.reason_and_retry_after().0,
                    SendOutcome::Blocked(reason, _) => reason,
                    _ => "the endpoint is leaving",
                };
                no_place_line(gateway, request, reason)
                    .text("next", "wait for the silent endpoint");
                return first.await;
            }
        };
        let mut second = std::pin::pin!(send_once(gateway, request, placement, self.last_event));
        let (end, first_ended) = tokio::select! {
            end = &mut first => (end, true),
            end = &mut second => (end, false),
        };
        let is_answered = matches!(end, SendOutcome::Answer(..) | SendOutcome::Stream(_));
        if is_answered
            && !first_ended
            && !is_reported
            && connection.record_silence(gateway, &first_endpoint, None)
        {
            endpoint_failed(gateway, request, &first_endpoint, FaultKind::Silent);
        }
        match end {
            SendOutcome::Answer(..) | SendOutcome::Stream(_) => return end,
            SendOutcome::NotRun { .. } => self.attempts.record_not_run(),
            SendOutcome::NotDelivered { .. } => self.attempts.record_not_delivered(),
            _ => {}
        }
        if first_ended { second.await } else { first.await }
    }

    /// Returns the outcome of the request after a send, or `None` if the request is to be sent
    /// again.
    async fn conclude(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
        end: SendOutcome,
    ) -> Option<RequestOutcome> {
        match end {
            SendOutcome::Stream(open) => Some(RequestOutcome::Stream(open)),
            SendOutcome::Answer(answer, endpoint) => {
                self.conclude_answer(request, answer, endpoint)
            }
            SendOutcome::NotRun { reason, endpoint } => {
                self.attempts.record_not_run();
                self.conclude_not_run(gateway, request, &reason, endpoint)
            }
            SendOutcome::NotDelivered { reason, endpoint } => {
                self.attempts.record_not_delivered();
                self.conclude_not_run(gateway, request, &reason, endpoint)
            }
            SendOutcome::Leaving(endpoint) => {
                let reason = "the endpoint is leaving";
                self.log_failure(gateway, request, Some(&endpoint), reason, true);
                self.avoid.push(endpoint);
                None
            }
            SendOutcome::MayHaveRun { reason, endpoint } => {
                let will_resend = self.may_send_again(request);
                self.log_failure(gateway, request, Some(&endpoint), &reason, will_resend);
                self.avoid.push(endpoint);
                self.endpoint_wait_until =
                    self.endpoint_wait_until.max(Instant::now() + ENDPOINT_WAIT_AFTER_LOSS);
                (!will_resend).then(|| self.give_up("answer lost", FULL_RETRY_AFTER))
            }
            SendOutcome::Blocked(reason, after) => Some(self.give_up(reason, after)),
            SendOutcome::NoPlacement(error) => {
                self.conclude_no_placement(gateway, request, error).await
            }
        }
    }

    fn conclude_not_run(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
        reason: &str,
        endpoint: Option<EndpointStart>,
    ) -> Option<RequestOutcome> {
        let will_resend = self.sends() < MAX_SENDS;
        self.log_failure(gateway, request, endpoint.as_ref(), reason, will_resend);
        self.avoid.extend(endpoint);
        (!will_resend).then(|| self.give_up("endpoints full or gone", FULL_RETRY_AFTER))
    }

    fn conclude_answer(
        &mut self,
        request: &CallerRequest,
        answer: BufferedAnswer,
        endpoint: EndpointStart,
    ) -> Option<RequestOutcome> {
        let is_failure = answer.status().is_server_error();
        if !is_failure || !self.may_send_again(request) {
            return Some(RequestOutcome::Answer(answer));
        }
        self.failure = Some(answer);
        self.avoid.push(endpoint);
        None
    }

    async fn conclude_no_placement(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
        error: NoPlacement,
    ) -> Option<RequestOutcome> {
        let wait_left = self.endpoint_wait_until.saturating_duration_since(Instant::now());
        if let Some(delay) = search_delay(error, wait_left) {
            sleep(delay).await;
            return None;
        }
        let (reason, after) = error.reason_and_retry_after();
        let appointment = matches!(error, NoPlacement::Busy(..)).then(|| request.appointment());
        no_place_line(gateway, request, reason)
            .millis("retry_after_ms", after)
            .maybe("appointment", appointment);
        Some(self.give_up(reason, after))
    }

    /// Returns the outcome of a request without an answer. It states whether the request may have
    /// run.
    fn give_up(&mut self, reason: &'static str, retry_after: Duration) -> RequestOutcome {
        if let Some(failure) = self.failure.take() {
            return RequestOutcome::Answer(failure);
        }
        if self.may_have_run() {
            return RequestOutcome::Refusal(Refusal::failed(reason));
        }
        RequestOutcome::Refusal(Refusal::not_run(reason, retry_after))
    }

    /// Selects an endpoint and performs the last checks before bytes are sent.
    async fn begin_send(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
    ) -> Result<Placement, SendOutcome> {
        self.wait_for_resend(gateway, request).await;
        self.check_quarantine(gateway, request).await?;
        let max_wait = self.endpoint_wait_until.saturating_duration_since(Instant::now());
        let waiter = *self.search.get_or_insert_with(|| gateway.waiter_id());
        let found = Placement::find(gateway, request, waiter, &self.avoid, max_wait).await;
        let mut placement = found.map_err(SendOutcome::NoPlacement)?;
        self.search = None;
        // The process may have been suspended since the first checks.
        let fails_closed = request.needs_proof && gateway.settings().bounds.fail_closed;
        if fails_closed && !gateway.is_fresh() {
            return Err(SendOutcome::Blocked("document not proved current", ELECTION_RETRY_AFTER));
        }
        if let Some(until) = gateway.rest_until(&placement.endpoint) {
            let after = until.since(gateway.now());
            let error = NoPlacement::NoEndpoint("the endpoint rests", after);
            // A home of an earlier version does not know of rests.
            self.avoid.push(placement.endpoint.clone());
            return Err(SendOutcome::NoPlacement(error));
        }
        if gateway.endpoints.borrow().takes_work(&placement.endpoint).is_none() {
            return Err(SendOutcome::Leaving(placement.endpoint.clone()));
        }
        if request.time_left().is_zero() {
            return Err(SendOutcome::Blocked("time over", FULL_RETRY_AFTER));
        }
        // In the meantime, an endpoint may have ended under the same request at another instance.
        self.check_quarantine(gateway, request).await?;
        // Only sends after the request may have reached an endpoint use the retry budget. Searches
        // that find no endpoint and sends to endpoints that are gone must not exhaust the budget of
        // other requests.
        if self.attempts.deliveries() > 0 && !take_from_budget(gateway, request).await {
            return Err(SendOutcome::Blocked("retry budget used up", FULL_RETRY_AFTER));
        }
        placement.may_fail = self.attempts.sends() == 0 && request.route.repeat.may_repeat();
        self.attempts.record_send();
        placement.record_sent();
        self.is_trial = false;
        self.log_send(gateway, request, &placement);
        Ok(placement)
    }

    /// Delays a request whose connections broke repeatedly. It may have ended its endpoints, and
    /// the delay leaves time for the proof.
    async fn wait_for_resend(&mut self, gateway: &Gateway, request: &CallerRequest) {
        let delay = gateway.resend_delay(|| request.digest());
        if !delay.is_zero() {
            sleep(delay).await;
            self.endpoint_wait_until += delay;
        }
    }

    /// Refuses a quarantined request, which ends the processes of its endpoints. The limit of sends
    /// applies to one attempt at one instance, so without the quarantine each repeated attempt of
    /// the caller would end as many endpoints again.
    async fn check_quarantine(
        &mut self,
        gateway: &Gateway,
        request: &CallerRequest,
    ) -> Result<(), SendOutcome> {
        if self.is_trial {
            return Ok(());
        }
        if let (Standing::Quarantined { trial_in }, Some(part)) =
            gateway.reported_prompt_standing(|| request.parts()).await
        {
            if trial_in.is_zero() && gateway.try_begin_trial(part) {
                self.is_trial = true;
                return Ok(());
            }
            gateway.log_refused_part(&request.id, part);
            return Err(SendOutcome::Blocked(PART_QUARANTINED, trial_in.max(FULL_RETRY_AFTER)));
        }
        let standing = || gateway.standing(|| request.digest());
        if !matches!(standing(), Standing::Quarantined { .. }) {
            return Ok(());
        }
        gateway.wait_for_reports(request.digest()).await;
        gateway.judge_facts();
        let Standing::Quarantined { trial_in } = standing() else { return Ok(()) };
        if trial_in.is_zero() && gateway.try_begin_trial(request.digest()) {
            self.is_trial = true;
            return Ok(());
        }
        Err(SendOutcome::Blocked(QUARANTINED, trial_in.max(FULL_RETRY_AFTER)))
    }
}

/// Returns the time after which a request that may wait for `wait_left` searches again, or `None` if
/// the refusal is passed on at once.
pub(super) fn search_delay(error: NoPlacement, wait_left: Duration) -> Option<Duration> {
    match error {
        NoPlacement::Refused(..) => None,
        // The request was told to wait because its turn comes in time.
        NoPlacement::Resting(after) => Some(after.max(MIN_PERMIT_DELAY)),
        // A permit or a turn that is expected too late is not waited for.
        NoPlacement::AtLimit(_, after) | NoPlacement::Busy(_, after) => {
            let is_in_time = !wait_left.is_zero() && after <= wait_left;
            is_in_time.then_some(after.max(MIN_PERMIT_DELAY))
        }
        NoPlacement::NoEndpoint(..) | NoPlacement::NoMemory => {
            (!wait_left.is_zero()).then_some(ENDPOINT_RETRY_DELAY)
        }
    }
}

/// Returns the time without an answer's head, or a stream's first event, after which an endpoint
/// counts as silent and the request is hedged if it may run again.
fn silence_timeout(request: &CallerRequest, placement: &Placement) -> Duration {
    let objective = request.route.objective;
    match &placement.plan {
        Some(plan) => (plan.first_event.mul_f64(FIRST_EVENT_RATIO) + FIRST_EVENT_GRACE)
            .max(objective.mul_f64(FIRST_EVENT_OBJECTIVE_RATIO)),
        None => objective.mul_f64(CALL_HEDGE_SHARE),
    }
}

/// Takes one repeated send from the retry budget. Returns whether the budget allowed it.
pub(super) async fn take_from_budget(gateway: &Gateway, request: &CallerRequest) -> bool {
    gateway.take_repeated_send(&request.service.name).await
}

/// Returns whether a stream that has begun may be resumed at another endpoint.
pub(super) fn may_resume(request: &CallerRequest) -> bool {
    request.route.repeat == RepeatRule::ResumableStream
}
