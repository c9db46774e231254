//! The state machine.

use std::time::Duration;

use oriolepass_config::{ClaimAnswer, ClaimVerdict, KeptAnswer};
use oriolepass_scheduler::{GrantRefusal, GrantedEndpoint, PromptGrant, ReleaseReason};
use oriolepass_schema::caller::KeptCompletion;
use oriolepass_schema::digest::AnswerDigest;
use oriolepass_schema::endpoint::StreamLine;
use oriolepass_schema::error::{ApiError, ErrorCode, RanState};
use oriolepass_units::{AttemptId, EndpointId, MonotonicTime, TokenCount};

use crate::outcome::RequestOutcome;

/// How often a request is tried on endpoints at most.
const MAX_ATTEMPTS: u32 = 4;

/// How often a home may answer that it is not the home before the request gives up.
const MAX_MOVED_HOMES: u32 = 20;

/// The pause after a first failure; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// When a caller should come back after the system lost its way.
const SHORT_WAIT: Duration = Duration::from_millis(500);

/// What a request is and may do.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it must have ended.
    pub deadline: MonotonicTime,
}

/// Why an attempt got no grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptRefusal {
    /// The home refused.
    Home(GrantRefusal),
    /// No home serves the target.
    NoHome,
    /// The home could not be reached.
    HomeUnreachable,
}

/// How sending failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection came about, so not one byte left.
    NotConnected,
    /// The endpoint said that it refused the call without acting on it.
    RefusedNotRun,
    /// An engine refused its part of a group, so the leading one was sent nothing; the other
    /// parts may hold memory.
    PartRefused,
    /// The connection broke after something may have been sent.
    Broken,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestCommand {
    /// Claim the request.
    Claim,
    /// Ask a home for a grant, after a pause.
    AskGrant {
        /// The pause.
        after: Duration,
        /// Endpoints that failed already.
        exclude: Vec<EndpointId>,
    },
    /// Send the request to the granted endpoints.
    Send {
        /// The grant.
        grant: PromptGrant,
        /// Tokens that the caller already has.
        resume_from: u64,
        /// Their text, from which another engine goes on.
        resume_text: String,
    },
    /// Pass a piece of the answer on to the caller.
    Deliver(String),
    /// Tell the home that the first token has come.
    ReportStarted(AttemptId),
    /// Give a grant, or the wait for one, back.
    Release(AttemptId, ReleaseReason),
    /// Cancel the attempt on its endpoints.
    Cancel(AttemptId, Vec<GrantedEndpoint>),
    /// Settle the claim.
    Settle(ClaimVerdict),
    /// Tell the caller how it ended; always the last command.
    Finish(RequestOutcome),
}

#[derive(Debug)]
enum LifeState {
    Claiming,
    Waiting { attempt: AttemptId },
    Running { grant: PromptGrant, seen_token: bool },
    Ended,
}

/// One request.
#[derive(Debug)]
pub struct RequestLifecycle {
    plan: RequestPlan,
    state: LifeState,
    attempts: u32,
    moved_homes: u32,
    exclude: Vec<EndpointId>,
    claimed: bool,
    /// Whether an endpoint may have acted on the request.
    maybe_ran: bool,
    delivered: u64,
    /// The text delivered so far, from which another endpoint may have to go on, or which is
    /// kept for resends.
    delivered_text: String,
    digest: AnswerDigest,
    commands: Vec<RequestCommand>,
    /// Pieces dropped because they were not the present attempt's next one.
    strays: u64,
}

impl RequestLifecycle {
    /// Creates an admitted request; `attempt` names its first attempt.
    pub fn new(plan: RequestPlan, attempt: AttemptId) -> Self {
        let mut life = Self {
            state: LifeState::Claiming,
            attempts: 0,
            moved_homes: 0,
            exclude: Vec::new(),
            claimed: false,
            maybe_ran: false,
            delivered: 0,
            delivered_text: String::new(),
            digest: AnswerDigest::default(),
            commands: Vec::new(),
            strays: 0,
            plan,
        };
        if life.plan.repeatable {
            life.ask(attempt, Duration::ZERO);
        } else {
            life.commands.push(RequestCommand::Claim);
        }
        life
    }

    /// Returns what is to be done since the last call.
    pub fn take_commands(&mut self) -> Vec<RequestCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Returns whether it has ended.
    pub fn ended(&self) -> bool {
        matches!(self.state, LifeState::Ended)
    }

    /// Returns the attempt that waits or runs.
    pub fn attempt(&self) -> Option<&AttemptId> {
        match &self.state {
            LifeState::Waiting { attempt } => Some(attempt),
            LifeState::Running { grant, .. } => Some(&grant.attempt),
            LifeState::Claiming | LifeState::Ended => None,
        }
    }

    /// Returns how often it was sent so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns how many pieces were dropped because they were not its own or not the next.
    pub fn strays(&self) -> u64 {
        self.strays
    }

    /// Returns tokens passed on to the caller so far.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    fn ask(&mut self, attempt: AttemptId, after: Duration) {
        self.state = LifeState::Waiting { attempt };
        self.commands.push(RequestCommand::AskGrant { after, exclude: self.exclude.clone() });
    }

    /// Takes in the answer to its claim; `next` names the attempt that may follow.
    pub fn claim_answered(&mut self, answer: ClaimAnswer, next: impl FnOnce() -> AttemptId) {
        if !matches!(self.state, LifeState::Claiming) {
            return;
        }
        let refuse = |code, detail: &str| RequestOutcome::failed(code, RanState::No, detail);
        let outcome = match answer {
            ClaimAnswer::Granted => {
                self.claimed = true;
                self.ask(next(), Duration::ZERO);
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
            ClaimAnswer::Full => RequestOutcome::come_back(
                ErrorCode::Overloaded,
                "too many non-repeatable requests are remembered",
                Duration::from_secs(60),
            ),
            ClaimAnswer::StaleEntry | ClaimAnswer::NoClaim => RequestOutcome::come_back(
                ErrorCode::NotReady,
                "this daemon is joining again",
                SHORT_WAIT,
            ),
        };
        self.finish(outcome);
    }

    /// Notes that the claim could not be made. It may have been committed all the same, so it
    /// is settled as not run: nothing was sent.
    pub fn claim_failed(&mut self) {
        if matches!(self.state, LifeState::Claiming) {
            self.claimed = true;
            self.finish(RequestOutcome::come_back(
                ErrorCode::NoQuorum,
                "the claim of this non-repeatable request could not be committed",
                Duration::from_secs(2),
            ));
        }
    }

    /// Takes in a grant.
    pub fn granted(&mut self, now: MonotonicTime, grant: PromptGrant) {
        let waits =
            matches!(&self.state, LifeState::Waiting { attempt } if *attempt == grant.attempt);
        if !waits {
            // It came after the request had given up waiting.
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
        self.state = LifeState::Running { grant: grant.clone(), seen_token: false };
        self.commands.push(RequestCommand::Send { grant, resume_from, resume_text });
    }

    /// Takes in a refusal of a grant; `next` names the attempt that may follow.
    pub fn refused(
        &mut self,
        attempt: &AttemptId,
        refusal: &AttemptRefusal,
        next: impl FnOnce() -> AttemptId,
    ) {
        if !matches!(&self.state, LifeState::Waiting { attempt: own } if own == attempt) {
            return;
        }
        let outcome = match refusal {
            AttemptRefusal::Home(GrantRefusal::NotHome) | AttemptRefusal::HomeUnreachable => {
                // The ask may still wait at a home that was too slow to answer.
                let release = ReleaseReason::NeverSent;
                self.commands.push(RequestCommand::Release(attempt.clone(), release));
                self.moved_homes += 1;
                if self.moved_homes < MAX_MOVED_HOMES {
                    self.ask(next(), FIRST_BACKOFF * self.moved_homes);
                    return;
                }
                ("no home could be reached".to_owned(), ErrorCode::Overloaded, Some(SHORT_WAIT))
            }
            AttemptRefusal::Home(GrantRefusal::AllExcluded) => {
                // All there are have failed it, each perhaps for a reason that has passed.
                self.exclude.clear();
                self.moved_homes += 1;
                if self.moved_homes < MAX_MOVED_HOMES {
                    self.ask(next(), self.backoff());
                    return;
                }
                let detail = "every endpoint that serves this has failed the request".to_owned();
                (detail, ErrorCode::EndpointFailed, Some(SHORT_WAIT))
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

    /// Takes in a line of the endpoint's answer. `retry` says whether the budget allows another
    /// attempt, which `next` names, should this one have failed. Neither is called for the many
    /// lines that merely carry a token.
    pub fn line(
        &mut self,
        line: StreamLine,
        retry: impl FnOnce() -> bool,
        next: impl FnOnce() -> AttemptId,
    ) {
        let LifeState::Running { grant, seen_token } = &mut self.state else {
            self.strays += 1;
            return;
        };
        if line.attempt() != &grant.attempt {
            self.strays += 1;
            return;
        }
        match line {
            StreamLine::Token { index, text, .. } => {
                // A doubled piece is dropped. One from further ahead means that a piece is
                // missing; the gap shows at the end, whose token count will not match.
                if index != self.delivered {
                    self.strays += 1;
                    return;
                }
                if !std::mem::replace(seen_token, true) {
                    self.commands.push(RequestCommand::ReportStarted(grant.attempt.clone()));
                }
                self.maybe_ran = true;
                self.delivered += 1;
                self.digest.update(text.as_bytes());
                self.delivered_text.push_str(&text);
                self.commands.push(RequestCommand::Deliver(text));
            }
            StreamLine::End { tokens, digest, finish_reason, .. } => {
                self.maybe_ran = true;
                if tokens == self.delivered && digest == self.digest.finish() {
                    self.end_whole(tokens, digest, finish_reason);
                } else {
                    // Something was lost or is not ours. What was delivered cannot be taken
                    // back, so the request fails rather than go on from doubtful text.
                    self.give_back(ReleaseReason::Abandoned);
                    self.fail(ErrorCode::EndpointFailed, "the answer did not match its end", None);
                }
            }
            StreamLine::Failed { ran, message, .. } => {
                self.maybe_ran |= ran;
                let detail = format!("the endpoint gave up: {message}");
                self.give_back(ReleaseReason::Abandoned);
                self.retry_or_fail(retry, next, &detail);
            }
        }
    }

    /// Takes in a plain service's whole answer.
    pub fn service_answered(&mut self, attempt: &AttemptId, answer: &KeptAnswer, body: &str) {
        let own =
            matches!(&self.state, LifeState::Running { grant, .. } if grant.attempt == *attempt);
        if !own {
            self.strays += 1;
            return;
        }
        self.maybe_ran = true;
        self.digest.update(body.as_bytes());
        self.delivered += 1;
        self.commands.push(RequestCommand::Deliver(body.to_owned()));
        self.give_back(ReleaseReason::Ended { tokens: TokenCount::ZERO });
        let digest = self.digest.finish();
        self.settle(ClaimVerdict::Done(answer.clone()));
        self.finish(RequestOutcome::Done {
            tokens: 0,
            digest,
            finish_reason: "stop".to_owned(),
            attempts: self.attempts,
        });
    }

    fn end_whole(&mut self, tokens: u64, digest: String, finish_reason: String) {
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
        self.give_back(ReleaseReason::Ended { tokens: TokenCount(tokens) });
        self.finish(RequestOutcome::Done {
            tokens,
            digest,
            finish_reason,
            attempts: self.attempts,
        });
    }

    /// Notes that sending failed or that the stream broke off before its end.
    pub fn send_failed(
        &mut self,
        failure: SendFailure,
        retry: impl FnOnce() -> bool,
        next: impl FnOnce() -> AttemptId,
    ) {
        let LifeState::Running { grant, .. } = &self.state else { return };
        self.exclude.extend(grant.members.iter().map(|m| m.endpoint.clone()));
        match failure {
            SendFailure::NotConnected | SendFailure::RefusedNotRun => {
                self.give_back(ReleaseReason::NeverSent);
                self.retry_unrun(retry, next);
            }
            SendFailure::PartRefused => {
                self.give_back(ReleaseReason::Abandoned);
                self.retry_unrun(retry, next);
            }
            SendFailure::Broken => {
                self.maybe_ran = true;
                self.give_back(ReleaseReason::Abandoned);
                self.retry_or_fail(retry, next, "the connection to the endpoint broke");
            }
        }
    }

    /// Tries again after nothing was sent, which a non-repeatable request may do as well.
    fn retry_unrun(&mut self, retry: impl FnOnce() -> bool, next: impl FnOnce() -> AttemptId) {
        if self.attempts < MAX_ATTEMPTS && retry() {
            self.ask(next(), self.backoff());
        } else {
            self.fail(ErrorCode::EndpointFailed, "no endpoint could be reached", Some(SHORT_WAIT));
        }
    }

    fn retry_or_fail(
        &mut self,
        retry: impl FnOnce() -> bool,
        next: impl FnOnce() -> AttemptId,
        detail: &str,
    ) {
        let allowed = self.plan.repeatable || !self.maybe_ran;
        if allowed && self.attempts < MAX_ATTEMPTS && retry() {
            self.ask(next(), self.backoff());
        } else {
            self.fail(ErrorCode::EndpointFailed, detail, None);
        }
    }

    fn backoff(&self) -> Duration {
        FIRST_BACKOFF * 2_u32.pow(self.attempts.saturating_sub(1).min(5))
    }

    /// Notes that the request's time is over.
    pub fn deadline_passed(&mut self) {
        self.stop(ErrorCode::DeadlineExceeded, "the request's time is over");
    }

    /// Notes that the caller has gone.
    pub fn caller_gone(&mut self) {
        self.stop(ErrorCode::EndpointFailed, "the caller closed the connection");
    }

    /// Notes that the daemon cannot go on.
    pub fn abandon(&mut self) {
        self.stop(ErrorCode::Draining, "the daemon ended before the request did");
    }

    fn stop(&mut self, code: ErrorCode, detail: &str) {
        match &self.state {
            LifeState::Ended => return,
            // The claim may be committed later than this; settling frees it.
            LifeState::Claiming => self.claimed = true,
            LifeState::Waiting { attempt } => {
                let release = RequestCommand::Release(attempt.clone(), ReleaseReason::NeverSent);
                self.commands.push(release);
            }
            LifeState::Running { .. } => {
                self.maybe_ran = true;
                self.give_back(ReleaseReason::Abandoned);
            }
        }
        self.fail(code, detail, None);
    }

    /// Gives the present grant back, cancelling what may still run.
    fn give_back(&mut self, reason: ReleaseReason) {
        let LifeState::Running { grant, .. } = &self.state else { return };
        let (attempt, members) = (grant.attempt.clone(), grant.members.clone());
        match reason {
            ReleaseReason::Abandoned => {
                self.commands.push(RequestCommand::Cancel(attempt.clone(), members));
            }
            // The leading engine is done; the other parts of a group are not told by it.
            ReleaseReason::Ended { .. } if members.len() > 1 => {
                let parts = members[1..].to_vec();
                self.commands.push(RequestCommand::Cancel(attempt.clone(), parts));
            }
            ReleaseReason::Ended { .. } | ReleaseReason::NeverSent => {}
        }
        self.commands.push(RequestCommand::Release(attempt, reason));
    }

    /// Ends it with an error that says truly whether it ran.
    fn fail(&mut self, code: ErrorCode, detail: &str, retry_after: Option<Duration>) {
        let ran = match (self.maybe_ran, self.delivered > 0) {
            (false, _) => RanState::No,
            (true, true) => RanState::Yes,
            (true, false) => RanState::Unknown,
        };
        // A non-repeatable request whose end is not known gets the code that says so.
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

    /// Ends it.
    ///
    /// # Panics
    ///
    /// Panics when it has ended before: a caller must never get two ends.
    fn finish(&mut self, outcome: RequestOutcome) {
        assert!(!self.ended(), "a request ends once");
        match &outcome {
            RequestOutcome::Failed(error) if error.ran == RanState::No => {
                assert!(!self.maybe_ran, "`not run` is said only if nothing can have run");
                self.settle(ClaimVerdict::NotRun);
            }
            RequestOutcome::Failed(_) => self.settle(ClaimVerdict::Unknown),
            // Whoever ended it with an answer has settled the claim with that answer.
            RequestOutcome::Done { .. } | RequestOutcome::Kept(_) => {
                assert!(!self.claimed, "a claim is settled with its answer");
            }
        }
        self.state = LifeState::Ended;
        self.commands.push(RequestCommand::Finish(outcome));
    }
}
