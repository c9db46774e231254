//! Sends a slow request to a second endpoint and uses the first answer.
//!
//! A request that may run twice and takes far longer than its kind usually takes is sent to another
//! endpoint, within the limit that the operators set. The loser is cancelled: its connection
//! closes, and its placement ends. Nothing is reported against its endpoint.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_placement::{PromptKey, ReadCost};
use oriolepass_quarantine::Standing;
use oriolepass_second_sends::{SecondSendVerdict, SkipReason, SlowRequest, judge, next_judgement};
use oriolepass_units::EndpointStart;
use tokio::time::{Instant, timeout};

use super::caller::CallerRequest;
use super::placement::{Placement, SendConnection, count_second_endpoints, endpoint_failed};
use super::sends::{SendOutcome, send_once};
use super::tries::{SendHistory, take_from_budget};
use crate::balancer::FaultKind;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::second_sends::RequestKind;

/// The minimum scale of an engine's answer times. Shorter predictions are dominated by the time
/// between instances and endpoints.
const MIN_PREDICTION: Duration = Duration::from_millis(20);

/// A first send that is observed, so that a second one can follow if it is slow.
pub(super) struct FirstSend {
    gateway: Rc<Gateway>,
    kind: RequestKind,
    /// The scale of its time: the prediction, or the objective where there is none.
    scale: Duration,
    endpoint: EndpointStart,
    prompt: Option<PromptKey>,
    connection: SendConnection,
    began: Instant,
    /// Whether the request counts as slow at its endpoint.
    is_slow: bool,
    /// The last reason that was logged.
    skipped: Option<SkipReason>,
}

impl FirstSend {
    /// Begins to observe a send. Returns `None` if the settings allow no second send to its
    /// service, or the request must not run twice. A stream that has begun is resumed instead.
    pub(super) fn observe(
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        placement: &Placement,
        last_event: Option<u64>,
    ) -> Option<Self> {
        let scheduling = gateway.settings().scheduling;
        let is_engine = request.service.engine.is_some();
        let is_allowed = scheduling.second_send_ratio > 0.0
            && (!is_engine || scheduling.second_send_work_ratio > 0.0);
        if !is_allowed || !request.route.repeat.may_repeat() || last_event.is_some() {
            return None;
        }
        let tokens = request.facts.prompt_tokens.filter(|_| is_engine);
        let prediction = placement.plan.as_ref().map(|plan| plan.first_event.max(MIN_PREDICTION));
        Some(Self {
            gateway: Rc::clone(gateway),
            kind: RequestKind::new(&request.service.name, &request.route.name, tokens),
            scale: prediction.unwrap_or(request.route.objective),
            endpoint: placement.endpoint.clone(),
            prompt: placement.prompt_key(),
            connection: placement.connection.clone(),
            began: Instant::now(),
            is_slow: false,
            skipped: None,
        })
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Records the time of a send of this kind: until its answer, or a lower bound.
    fn record_time(&self, time: Duration) {
        let mut state = self.gateway.second_sends.borrow_mut();
        state.record_time(self.gateway.now(), &self.kind, time, self.scale);
    }

    /// Records the time of the send, if it ended with an answer.
    fn record_end(&self, end: SendOutcome) -> SendOutcome {
        if is_good(&end) {
            self.record_time(self.elapsed());
        }
        end
    }

    fn verdict(&self, request: &CallerRequest, history: &SendHistory) -> SecondSendVerdict {
        let gateway = &self.gateway;
        let avoid = history.avoid_with(&self.endpoint);
        let registry = gateway.endpoints.borrow();
        let service = &request.service.name;
        let endpoints = registry.serving(service).count();
        let is_serving = |endpoint: &EndpointStart| {
            registry.takes_work(endpoint).is_some_and(|beat| beat.service == *service)
        };
        // The home selects among the engines.
        let other_endpoints = match self.prompt {
            Some(_) => endpoints.saturating_sub(1),
            None => count_second_endpoints(gateway, request, &avoid),
        };
        let state = gateway.second_sends.borrow();
        let slow = SlowRequest {
            elapsed: self.elapsed(),
            scale: self.scale,
            time_left: request.time_left(),
            has_attempts: history.may_send_again(request),
            is_suspect: is_suspect(gateway, request),
            endpoints,
            slow_endpoints: state.slow_endpoints(is_serving),
            other_endpoints,
        };
        let Some(times) = state.times(gateway.now(), &self.kind) else {
            return SecondSendVerdict::Never(SkipReason::FewSamples);
        };
        judge(gateway.now(), &slow, times)
    }

    /// Records that the request is slow at its endpoint.
    fn record_slow(&mut self) {
        if !std::mem::replace(&mut self.is_slow, true) {
            self.gateway.second_sends.borrow_mut().begin_slow(&self.endpoint);
        }
    }

    /// Logs and counts why a slow request is not sent again, once for each reason.
    fn record_skip(&mut self, request: &CallerRequest, reason: SkipReason) {
        if self.skipped.replace(reason) == Some(reason) {
            return;
        }
        let metrics = &self.gateway.metrics;
        metrics.second_sends_skipped.with_label_values(&[reason.name()]).inc();
        let line = self.gateway.line(EventKind::SecondSend).text("request", &request.id);
        line.text("endpoint", &self.endpoint)
            .millis("elapsed_ms", self.elapsed())
            .text("outcome", "not sent")
            .text("reason", reason.name());
    }
}

impl Drop for FirstSend {
    fn drop(&mut self) {
        if self.is_slow {
            self.gateway.second_sends.borrow_mut().end_slow(&self.endpoint);
        }
    }
}

impl SendHistory {
    /// Waits for the end of a first send until it counts as silent, at `silence_timeout`. If it is
    /// slow before, sends the request to a second endpoint and waits for the first answer.
    ///
    /// Returns `None` if the first send is silent and there is no second one.
    pub(super) async fn await_or_send_second(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        first: &mut FirstSend,
        mut answer: Pin<&mut impl Future<Output = SendOutcome>>,
        silence_timeout: Duration,
    ) -> Option<SendOutcome> {
        loop {
            let wait = match first.verdict(request, self) {
                SecondSendVerdict::Wait(wait) => wait,
                SecondSendVerdict::Never(SkipReason::FewSamples) => silence_timeout,
                SecondSendVerdict::Never(reason) => {
                    first.record_skip(request, reason);
                    silence_timeout
                }
                SecondSendVerdict::Skip(reason, again) => {
                    first.record_slow();
                    first.record_skip(request, reason);
                    again
                }
                SecondSendVerdict::Send { remaining } => {
                    first.record_slow();
                    let begun = tokio::select! {
                        biased;
                        end = answer.as_mut() => return Some(first.record_end(end)),
                        begun = self.begin_second(gateway, request, first, remaining) => begun,
                    };
                    match begun {
                        Ok(second) => {
                            let silent_in = silence_timeout.saturating_sub(first.elapsed());
                            let end = self.race(gateway, request, first, answer, second, silent_in);
                            return Some(end.await);
                        }
                        Err(reason) => {
                            first.record_skip(request, reason);
                            if reason.is_transient() {
                                next_judgement(first.elapsed())
                            } else {
                                silence_timeout
                            }
                        }
                    }
                }
            };
            let wait = wait.min(silence_timeout.saturating_sub(first.elapsed()));
            if let Ok(end) = timeout(wait, answer.as_mut()).await {
                return Some(first.record_end(end));
            }
            if first.elapsed() >= silence_timeout {
                first.record_time(first.elapsed());
                return None;
            }
        }
    }

    /// Selects a second endpoint and performs the last checks before bytes are sent.
    async fn begin_second(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        first: &FirstSend,
        remaining: Duration,
    ) -> Result<Placement, SkipReason> {
        let avoid = self.avoid_with(&first.endpoint);
        let found = Placement::find_second(gateway, request, first.prompt, remaining, &avoid);
        let mut placement = found.await?;
        if !take_from_budget(gateway, request).await {
            return Err(SkipReason::BudgetReached);
        }
        // The state may have changed while the home and the budget were asked.
        if request.needs_proof && gateway.settings().bounds.fail_closed && !gateway.is_fresh() {
            return Err(SkipReason::NotCurrent);
        }
        if is_suspect(gateway, request) {
            return Err(SkipReason::Suspect);
        }
        if !gateway.may_send_to(&placement.endpoint) {
            return Err(SkipReason::NoOtherEndpoint);
        }
        if request.time_left().is_zero() {
            return Err(SkipReason::TooLittleTime);
        }
        self.attempts.record_send();
        placement.record_sent();
        self.log_send(gateway, request, &placement);
        let work_ms = match &request.service.engine {
            Some(profile) => {
                ReadCost::new(profile, request.facts.prompt_tokens.unwrap_or(0)).whole_ms
            }
            None => 0.0,
        };
        gateway.metrics.second_send_work.inc_by(work_ms as u64);
        gateway
            .line(EventKind::SecondSend)
            .text("request", &request.id)
            .text("endpoint", &placement.endpoint)
            .text("first", &first.endpoint)
            .millis("elapsed_ms", first.elapsed())
            .millis("remaining_ms", remaining)
            .text("outcome", "sent")
            .text("reason", "first endpoint slow");
        Ok(placement)
    }

    /// Waits for the first answer of two sends. A send that fails, or whose answer is a server
    /// error, decides nothing while the other one runs.
    async fn race(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &CallerRequest,
        first: &FirstSend,
        mut first_answer: Pin<&mut impl Future<Output = SendOutcome>>,
        second: Placement,
        silent_in: Duration,
    ) -> SendOutcome {
        let second_endpoint = second.endpoint.clone();
        let mut second_answer =
            std::pin::pin!(send_once(gateway, request, second, self.last_event));
        let second_began = Instant::now();
        let silence = tokio::time::sleep(silent_in);
        let mut silence = std::pin::pin!(silence);
        let mut is_silence_judged = false;
        let (end, first_ended) = loop {
            tokio::select! {
                biased;
                end = first_answer.as_mut() => break (end, true),
                end = second_answer.as_mut() => break (end, false),
                () = silence.as_mut(), if !is_silence_judged => {
                    is_silence_judged = true;
                    report_silence(gateway, request, first);
                }
            }
        };
        let log = |outcome: &str| {
            gateway.metrics.second_sends.with_label_values(&[outcome]).inc();
            gateway
                .line(EventKind::SecondSend)
                .text("request", &request.id)
                .text("endpoint", &second_endpoint)
                .millis("elapsed_ms", first.elapsed())
                .text("outcome", outcome);
        };
        if is_good(&end) {
            log(if first_ended { "cancelled" } else { "won" });
            first.record_time(first.elapsed());
            if !first_ended {
                first.record_time(second_began.elapsed());
            }
            return end;
        }
        log(if first_ended { "alone" } else { "failed" });
        self.record_failed_send(gateway, request, end);
        let other = if first_ended { second_answer.await } else { first_answer.await };
        if is_good(&other) {
            let time = if first_ended { second_began.elapsed() } else { first.elapsed() };
            first.record_time(time);
        }
        other
    }

    /// Returns the endpoints that failed the request, and the given one.
    fn avoid_with(&self, endpoint: &EndpointStart) -> Vec<EndpointStart> {
        self.avoid.iter().chain(std::iter::once(endpoint)).cloned().collect()
    }

    /// Records the end of one of two sends that is no answer for the caller, while the other one
    /// runs.
    fn record_failed_send(&mut self, gateway: &Gateway, request: &CallerRequest, end: SendOutcome) {
        let (reason, endpoint) = match end {
            SendOutcome::Answer(answer, endpoint) => {
                self.failure = Some(answer);
                self.avoid.push(endpoint);
                return;
            }
            SendOutcome::NotRun { reason, endpoint } => {
                self.attempts.record_not_run();
                (reason, endpoint)
            }
            SendOutcome::NotDelivered { reason, endpoint } => {
                self.attempts.record_not_delivered();
                (reason, endpoint)
            }
            SendOutcome::MayHaveRun { reason, endpoint } => (reason, Some(endpoint)),
            _ => return,
        };
        self.log_failure(gateway, request, endpoint.as_ref(), &reason, true);
        self.avoid.extend(endpoint);
    }
}

/// Records that a first send is silent while a second one runs.
fn report_silence(gateway: &Rc<Gateway>, request: &CallerRequest, first: &FirstSend) {
    let is_reading = request.service.engine.is_some()
        && gateway.explains_silence(&first.endpoint, first.elapsed());
    if !is_reading && first.connection.record_silence(gateway, &first.endpoint, None) {
        endpoint_failed(gateway, request, &first.endpoint, FaultKind::Silent);
    }
}

fn is_suspect(gateway: &Gateway, request: &CallerRequest) -> bool {
    gateway.standing(|| request.digest()) != Standing::Clear
        || gateway.prompt_standing(|| request.parts()).0 != Standing::Clear
        || gateway.has_broken_run(|| request.digest())
}

/// Returns whether a send has an answer for the caller that is no server error.
fn is_good(end: &SendOutcome) -> bool {
    match end {
        SendOutcome::Answer(answer, _) => !answer.status().is_server_error(),
        SendOutcome::Stream(_) => true,
        _ => false,
    }
}
