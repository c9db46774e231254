//! The state machine of a request, [`RequestLifecycle`].

use std::time::Duration;

use oriolepass_config::{ClaimAnswer, ClaimVerdict, KeptAnswer};
use oriolepass_scheduler::{GrantRefusal, GrantedEndpoint, PromptGrant, ReleaseReason};
use oriolepass_schema::caller::KeptCompletion;
use oriolepass_schema::digest::AnswerDigest;
use oriolepass_schema::endpoint::StreamLine;
use oriolepass_schema::error::{ApiError, ErrorCode, RanState};
use oriolepass_units::{AttemptId, EndpointId, MonotonicTime, TokenCount};

use crate::outcome::RequestOutcome;

/// Maximum number of times that a request is sent to endpoints.
const MAX_ATTEMPTS: u32 = 4;

/// Number of grant requests that may fail before the request fails. A grant request fails if the
/// home has moved or cannot be reached, or if every endpoint is excluded.
const MAX_GRANT_FAILURES: u32 = 20;

/// Delay after the first failure. It doubles with each further attempt, and grows linearly while
/// the home cannot be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Retry delay given to callers after failures within the system, such as an unreachable home.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Properties of a request that bound its execution.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time by which the request must have ended.
    pub deadline: MonotonicTime,
}

/// Reason why an attempt got no grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptRefusal {
    /// The home refused the grant.
    Home(GrantRefusal),
    /// No home serves the target.
    NoHome,
    /// The home could not be reached.
    HomeUnreachable,
}

/// How sending an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection was established, so no byte was sent.
    NotConnected,
    /// The endpoint refused the call and reported that it did not act on the call.
    RefusedNotRun,
    /// An engine refused its part of a group, so nothing was sent to the leading engine. The other
    /// parts may hold memory.
    PartRefused,
    /// The connection broke after something may have been sent.
    Broken,
}

/// Command for the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestCommand {
    /// Claim the request.
    Claim,
    /// Ask a home for a grant, after a delay.
    AskGrant {
        /// The delay.
        after: Duration,
        /// Endpoints that have failed this request.
        exclude: Vec<EndpointId>,
    },
    /// Send the request to the granted endpoints.
    Send {
        /// The grant.
        grant: PromptGrant,
        /// Number of tokens already delivered to the caller.
        resume_from: u64,
        /// Text of the delivered tokens, from which another engine resumes.
        resume_text: String,
    },
    /// Forward a piece of the answer to the caller.
    Deliver(String),
    /// Report to the home that the first token has arrived.
    ReportStarted(AttemptId),
    /// Release a grant, or withdraw a pending grant request.
    Release(AttemptId, ReleaseReason),
    /// Cancel the attempt on its endpoints.
    Cancel(AttemptId, Vec<GrantedEndpoint>),
    /// Settle the claim.
    Settle(ClaimVerdict),
    /// Report the outcome to the caller. Always the last command.
    Finish(RequestOutcome),
}

#[derive(Debug)]
enum State {
    Claiming,
    Waiting { attempt: AttemptId },
    Running { grant: PromptGrant, seen_token: bool },
    Ended,
}

/// State machine of one request.
#[derive(Debug)]
pub struct RequestLifecycle {
    plan: RequestPlan,
    state: State,
    attempts: u32,
    grant_failures: u32,
    exclude: Vec<EndpointId>,
    claimed: bool,
    /// Whether an endpoint may have acted on the request.
    may_have_run: bool,
    delivered: u64,
    /// Text delivered so far. Another endpoint may have to resume from it, and it is stored as the
    /// answer to later resends.
    delivered_text: String,
    digest: AnswerDigest,
    commands: Vec<RequestCommand>,
    /// Lines dropped because they were not the next line of the current attempt.
    strays: u64,
}

impl RequestLifecycle {
    /// Creates the state machine of an admitted request. `attempt` is the id of its first attempt.
    pub fn new(plan: RequestPlan, attempt: AttemptId) -> Self {
        let mut lifecycle = Self {
            state: State::Claiming,
            attempts: 0,
            grant_failures: 0,
            exclude: Vec::new(),
            claimed: false,
            may_have_run: false,
            delivered: 0,
            delivered_text: String::new(),
            digest: AnswerDigest::default(),
            commands: Vec::new(),
            strays: 0,
            plan,
        };
        if lifecycle.plan.repeatable {
            lifecycle.request_grant(attempt, Duration::ZERO);
        } else {
            lifecycle.commands.push(RequestCommand::Claim);
        }
        lifecycle
    }

    /// Returns the commands emitted since the last call.
    pub fn take_commands(&mut self) -> Vec<RequestCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Returns whether the request has ended.
    pub fn ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    /// Returns the attempt that waits for a grant or runs.
    pub fn attempt(&self) -> Option<&AttemptId> {
        match &self.state {
            State::Waiting { attempt } => Some(attempt),
            State::Running { grant, .. } => Some(&grant.attempt),
            State::Claiming | State::Ended => None,
        }
    }

    /// Returns the number of attempts sent so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the number of lines dropped because they belonged to another attempt or were not the
    /// next line.
    pub fn strays(&self) -> u64 {
        self.strays
    }

    /// Returns the number of tokens delivered to the caller so far.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    fn request_grant(&mut self, attempt: AttemptId, after: Duration) {
        self.state = State::Waiting { attempt };
        self.commands.push(RequestCommand::AskGrant { after, exclude: self.exclude.clone() });
    }

    /// Handles the answer to the claim. `next` supplies the id of an attempt that follows.
    pub fn claim_answered(&mut self, answer: ClaimAnswer, next: impl FnOnce() -> AttemptId) {
        if !matches!(self.state, State::Claiming) {
            return;
        }
        let refuse = |code, detail: &str| RequestOutcome::failed(code, RanState::No, detail);
        let outcome = match answer {
            ClaimAnswer::Granted => {
                self.claimed = true;
                self.request_grant(next(), Duration::ZERO);
                return;
            }
            ClaimAnswer::Done(kept) if kept.body.is_some() => RequestOutcome::Kept(kept),
            ClaimAnswer::Done(_) => RequestOutcome::failed(
                ErrorCode::AnswerNotKept,
                RanState::Yes,
                "the request with this caller key ran, and its answer was too long to keep",
            ),
            ClaimAnswer::StillRunning => RequestOutcome::failed(
                ErrorCode::StillRunning,
                RanState::Unknown,
                "the request with this caller key is still running",
            ),
            ClaimAnswer::Unknown => RequestOutcome::failed(
                ErrorCode::OutcomeUnknown,
                RanState::Unknown,
                "the request with this caller key was sent, and its end is not known",
            ),
            ClaimAnswer::OtherBody => {
                refuse(ErrorCode::CallerKeyReused, "the caller key named another request")
            }
            ClaimAnswer::Full => RequestOutcome::retry_later(
                ErrorCode::Overloaded,
                "too many non-repeatable requests are remembered",
                Duration::from_secs(60),
            ),
            ClaimAnswer::StaleEntry | ClaimAnswer::NoClaim => RequestOutcome::retry_later(
                ErrorCode::NotReady,
                "this daemon is joining again",
                SHORT_RETRY_AFTER,
            ),
        };
        self.finish(outcome);
    }

    /// Handles a claim whose commit was not confirmed. The claim may be committed, so it is
    /// settled as not run, because nothing was sent.
    pub fn claim_failed(&mut self) {
        if matches!(self.state, State::Claiming) {
            self.claimed = true;
            self.finish(RequestOutcome::retry_later(
                ErrorCode::NoQuorum,
                "the claim of this non-repeatable request could not be committed",
                Duration::from_secs(2),
            ));
        }
    }

    /// Handles a grant.
    pub fn granted(&mut self, now: MonotonicTime, grant: PromptGrant) {
        let waits = matches!(&self.state, State::Waiting { attempt } if *attempt == grant.attempt);
        if !waits {
            // The grant arrived after the request stopped waiting for it.
            let release = RequestCommand::Release(grant.attempt, ReleaseReason::NeverSent);
            self.commands.push(release);
            return;
        }
        if now >= self.plan.deadline {
            self.deadline_passed();
            return;
        }
        self.attempts += 1;
        let (resume_from, resume_text) = (self.delivered, self.delivered_text.clone());
        self.state = State::Running { grant: grant.clone(), seen_token: false };
        self.commands.push(RequestCommand::Send { grant, resume_from, resume_text });
    }

    /// Handles a failed grant request. `next` supplies the id of an attempt that follows.
    pub fn refused(
        &mut self,
        attempt: &AttemptId,
        refusal: &AttemptRefusal,
        next: impl FnOnce() -> AttemptId,
    ) {
        if !matches!(&self.state, State::Waiting { attempt: own } if own == attempt) {
            return;
        }
        let outcome = match refusal {
            AttemptRefusal::Home(GrantRefusal::NotHome) | AttemptRefusal::HomeUnreachable => {
                // The grant request may still be queued at a home that was too slow to answer.
                let release = ReleaseReason::NeverSent;
                self.commands.push(RequestCommand::Release(attempt.clone(), release));
                self.grant_failures += 1;
                if self.grant_failures < MAX_GRANT_FAILURES {
                    self.request_grant(next(), INITIAL_BACKOFF * self.grant_failures);
                    return;
                }
                (
                    "no home could be reached".to_owned(),
                    ErrorCode::Overloaded,
                    Some(SHORT_RETRY_AFTER),
                )
            }
            AttemptRefusal::Home(GrantRefusal::AllExcluded) => {
                // Every endpoint has failed this request, possibly for a transient reason.
                self.exclude.clear();
                self.grant_failures += 1;
                if self.grant_failures < MAX_GRANT_FAILURES {
                    self.request_grant(next(), self.backoff());
                    return;
                }
                let detail = "every endpoint that serves this has failed the request".to_owned();
                (detail, ErrorCode::EndpointFailed, Some(SHORT_RETRY_AFTER))
            }
            AttemptRefusal::NoHome | AttemptRefusal::Home(GrantRefusal::NotServed) => {
                let detail = "no endpoint serves this at present".to_owned();
                (detail, ErrorCode::Overloaded, Some(Duration::from_secs(1)))
            }
            AttemptRefusal::Home(GrantRefusal::TooBig { limit }) => (
                format!("prompt and answer need more than the {limit} tokens of memory there are"),
                ErrorCode::Unservable,
                None,
            ),
            AttemptRefusal::Home(GrantRefusal::Busy { retry_after }) => {
                ("the engines are busy".to_owned(), ErrorCode::Overloaded, Some(*retry_after))
            }
            AttemptRefusal::Home(GrantRefusal::AccountBusy { retry_after }) => (
                "the account has too much work waiting".to_owned(),
                ErrorCode::AccountLimited,
                Some(*retry_after),
            ),
        };
        let (detail, code, retry_after) = outcome;
        self.fail(code, &detail, retry_after);
    }

    /// Handles a line of the endpoint's answer. If the attempt has failed, `retry` says whether the
    /// budget allows another attempt and `next` supplies its id. Neither is called for lines that
    /// carry a token, which are by far the most frequent.
    pub fn line(
        &mut self,
        line: StreamLine,
        retry: impl FnOnce() -> bool,
        next: impl FnOnce() -> AttemptId,
    ) {
        let State::Running { grant, seen_token } = &mut self.state else {
            self.strays += 1;
            return;
        };
        if line.attempt() != &grant.attempt {
            self.strays += 1;
            return;
        }
        match line {
            StreamLine::Token { index, text, .. } => {
                // A duplicate piece is dropped. A higher index means that a piece is missing; the
                // gap is detected at the end line, whose token count does not match.
                if index != self.delivered {
                    self.strays += 1;
                    return;
                }
                if !std::mem::replace(seen_token, true) {
                    self.commands.push(RequestCommand::ReportStarted(grant.attempt.clone()));
                }
                self.may_have_run = true;
                self.delivered += 1;
                self.digest.update(text.as_bytes());
                self.delivered_text.push_str(&text);
                self.commands.push(RequestCommand::Deliver(text));
            }
            StreamLine::End { tokens, digest, finish_reason, .. } => {
                self.may_have_run = true;
                if tokens == self.delivered && digest == self.digest.finish() {
                    self.complete(tokens, digest, finish_reason);
                } else {
                    // A piece was lost or belongs to another answer. Delivered text cannot be
                    // withdrawn, so the request fails instead of resuming from corrupt text.
                    self.release_grant(ReleaseReason::Abandoned);
                    self.fail(ErrorCode::EndpointFailed, "the answer did not match its end", None);
                }
            }
            StreamLine::Failed { ran, message, .. } => {
                self.may_have_run |= ran;
                let detail = format!("the endpoint gave up: {message}");
                self.release_grant(ReleaseReason::Abandoned);
                self.retry_or_fail(retry, next, &detail);
            }
        }
    }

    /// Handles the complete answer of a plain service.
    pub fn service_answered(&mut self, attempt: &AttemptId, answer: &KeptAnswer, body: &str) {
        let own = matches!(&self.state, State::Running { grant, .. } if grant.attempt == *attempt);
        if !own {
            self.strays += 1;
            return;
        }
        self.may_have_run = true;
        self.digest.update(body.as_bytes());
        self.delivered += 1;
        self.commands.push(RequestCommand::Deliver(body.to_owned()));
        self.release_grant(ReleaseReason::Ended { tokens: TokenCount::ZERO });
        let digest = self.digest.finish();
        self.settle(ClaimVerdict::Done(answer.clone()));
        self.finish(RequestOutcome::Done {
            tokens: 0,
            digest,
            finish_reason: "stop".to_owned(),
            attempts: self.attempts,
        });
    }

    fn complete(&mut self, tokens: u64, digest: String, finish_reason: String) {
        if self.claimed {
            let completion = KeptCompletion {
                text: std::mem::take(&mut self.delivered_text),
                tokens: TokenCount(tokens),
                digest: digest.clone(),
                finish_reason: finish_reason.clone(),
            };
            let body = completion.to_json();
            let kept = KeptAnswer::new(200, "application/json".to_owned(), body.as_bytes());
            self.settle(ClaimVerdict::Done(kept));
        }
        self.release_grant(ReleaseReason::Ended { tokens: TokenCount(tokens) });
        self.finish(RequestOutcome::Done {
            tokens,
            digest,
            finish_reason,
            attempts: self.attempts,
        });
    }

    /// Handles a failed send, or a stream that broke before its end line. `retry` and `next` are as
    /// for [`Self::line`].
    pub fn send_failed(
        &mut self,
        failure: SendFailure,
        retry: impl FnOnce() -> bool,
        next: impl FnOnce() -> AttemptId,
    ) {
        let State::Running { grant, .. } = &self.state else { return };
        self.exclude.extend(grant.members.iter().map(|m| m.endpoint.clone()));
        match failure {
            SendFailure::NotConnected | SendFailure::RefusedNotRun => {
                self.release_grant(ReleaseReason::NeverSent);
                self.retry_not_run(retry, next);
            }
            SendFailure::PartRefused => {
                self.release_grant(ReleaseReason::Abandoned);
                self.retry_not_run(retry, next);
            }
            SendFailure::Broken => {
                self.may_have_run = true;
                self.release_grant(ReleaseReason::Abandoned);
                self.retry_or_fail(retry, next, "the connection to the endpoint broke");
            }
        }
    }

    /// Retries after an attempt that did not run. Non-repeatable requests may retry here as well.
    fn retry_not_run(&mut self, retry: impl FnOnce() -> bool, next: impl FnOnce() -> AttemptId) {
        if self.attempts < MAX_ATTEMPTS && retry() {
            self.request_grant(next(), self.backoff());
        } else {
            self.fail(
                ErrorCode::EndpointFailed,
                "no endpoint could be reached",
                Some(SHORT_RETRY_AFTER),
            );
        }
    }

    fn retry_or_fail(
        &mut self,
        retry: impl FnOnce() -> bool,
        next: impl FnOnce() -> AttemptId,
        detail: &str,
    ) {
        let allowed = self.plan.repeatable || !self.may_have_run;
        if allowed && self.attempts < MAX_ATTEMPTS && retry() {
            self.request_grant(next(), self.backoff());
        } else {
            self.fail(ErrorCode::EndpointFailed, detail, None);
        }
    }

    fn backoff(&self) -> Duration {
        INITIAL_BACKOFF * 2_u32.pow(self.attempts.saturating_sub(1).min(5))
    }

    /// Handles the expiry of the request's deadline.
    pub fn deadline_passed(&mut self) {
        self.stop(ErrorCode::DeadlineExceeded, "the request's time is over");
    }

    /// Handles the disconnection of the caller.
    pub fn caller_gone(&mut self) {
        self.stop(ErrorCode::EndpointFailed, "the caller closed the connection");
    }

    /// Ends the request because the daemon shuts down.
    pub fn abandon(&mut self) {
        self.stop(ErrorCode::Draining, "the daemon ended before the request did");
    }

    fn stop(&mut self, code: ErrorCode, detail: &str) {
        match &self.state {
            State::Ended => return,
            // The claim may still be committed after this point. Settling frees it.
            State::Claiming => self.claimed = true,
            State::Waiting { attempt } => {
                let release = RequestCommand::Release(attempt.clone(), ReleaseReason::NeverSent);
                self.commands.push(release);
            }
            State::Running { .. } => {
                self.may_have_run = true;
                self.release_grant(ReleaseReason::Abandoned);
            }
        }
        self.fail(code, detail, None);
    }

    /// Releases the current grant and cancels the work that may still run.
    fn release_grant(&mut self, reason: ReleaseReason) {
        let State::Running { grant, .. } = &self.state else { return };
        let (attempt, members) = (grant.attempt.clone(), grant.members.clone());
        match reason {
            ReleaseReason::Abandoned => {
                self.commands.push(RequestCommand::Cancel(attempt.clone(), members));
            }
            // The leading engine has finished, but does not notify the other parts of its group.
            ReleaseReason::Ended { .. } if members.len() > 1 => {
                let parts = members[1..].to_vec();
                self.commands.push(RequestCommand::Cancel(attempt.clone(), parts));
            }
            ReleaseReason::Ended { .. } | ReleaseReason::NeverSent => {}
        }
        self.commands.push(RequestCommand::Release(attempt, reason));
    }

    /// Ends the request with an error that reports whether it ran.
    fn fail(&mut self, code: ErrorCode, detail: &str, retry_after: Option<Duration>) {
        let ran = match (self.may_have_run, self.delivered > 0) {
            (false, _) => RanState::No,
            (true, true) => RanState::Yes,
            (true, false) => RanState::Unknown,
        };
        // A non-repeatable request with an unknown outcome always gets `OutcomeUnknown`.
        let code = match ran {
            RanState::Unknown if !self.plan.repeatable => ErrorCode::OutcomeUnknown,
            _ => code,
        };
        let mut error = ApiError::new(code, ran, detail);
        if let Some(span) = retry_after {
            error = error.retry_after(span);
        }
        self.finish(RequestOutcome::Failed(error));
    }

    fn settle(&mut self, verdict: ClaimVerdict) {
        if std::mem::take(&mut self.claimed) {
            self.commands.push(RequestCommand::Settle(verdict));
        }
    }

    /// Ends the request and settles its claim.
    ///
    /// # Panics
    ///
    /// Panics if the request has already ended, since a caller must never get two outcomes, if
    /// `ran: no` is reported although an endpoint may have run the request, or if a successful
    /// outcome leaves its claim unsettled.
    fn finish(&mut self, outcome: RequestOutcome) {
        assert!(!self.ended(), "a request ends only once");
        match &outcome {
            RequestOutcome::Failed(error) if error.ran == RanState::No => {
                assert!(
                    !self.may_have_run,
                    "`ran: no` requires that no endpoint can have run the request"
                );
                self.settle(ClaimVerdict::NotRun);
            }
            RequestOutcome::Failed(_) => self.settle(ClaimVerdict::Unknown),
            // The caller of this function has settled the claim with the answer.
            RequestOutcome::Done { .. } | RequestOutcome::Kept(_) => {
                assert!(
                    !self.claimed,
                    "the claim must be settled with its answer before the request ends"
                );
            }
        }
        self.state = State::Ended;
        self.commands.push(RequestCommand::Finish(outcome));
    }
}
