//! The limit on second sends of slow requests, and the answer times by which requests count as
//! slow.
//!
//! The limit is a ratio of first sends, which each of them adds to an allowance. For services
//! without engines the instance that receives a request keeps the allowance. If what it has saved
//! up is less than one second send, it deposits that with the home and asks the home to grant the
//! send from all deposits. For engines the home keeps the allowance, since it places all prompts:
//! one in sends and one in the work of reading.
//!
//! Each first send is counted by one instance, and its part is taken or deposited once. The limit
//! therefore holds for all instances together, also while some are frozen or cut off, or while two
//! daemons count as the home. A lost message loses what it deposits.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use oriolepass_placement::{
    PlacementRefusal, PromptAsk, PromptPlan, ReadCost, RefusalReason, ReturnTurn, SecondSend,
};
use oriolepass_second_sends::{AnswerTimes, SkipReason, WorkAllowance};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime, ServiceName};

use crate::gateway::{Gateway, PeerReply};
use crate::home::HOME_ANSWER_TIMEOUT;
use crate::peers::{PeerMessage, PlaceVerdict, ProgressNote, ProtocolLevel};

/// A kind of requests whose answer times are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RequestKind {
    service: ServiceName,
    route: String,
    /// Logarithm of the tokens of the prompt to the base 4; `None` for all sizes together.
    size_class: Option<u32>,
}

impl RequestKind {
    pub(crate) fn new(service: &ServiceName, route: &str, prompt_tokens: Option<u64>) -> Self {
        let size_class = prompt_tokens.map(|tokens| tokens.max(1).ilog2() / 2);
        Self { service: service.clone(), route: route.to_owned(), size_class }
    }

    fn of_all_sizes(&self) -> Self {
        Self { size_class: None, ..self.clone() }
    }
}

/// The allowances of a service with engines.
#[derive(Debug, Default)]
struct EngineAllowance {
    sends: WorkAllowance,
    /// In milliseconds of reading.
    work: WorkAllowance,
}

/// The state of second sends at one instance.
#[derive(Debug, Default)]
pub(crate) struct SecondSendState {
    times: HashMap<RequestKind, AnswerTimes>,
    /// The number of slow requests that wait for each endpoint at present.
    slow_requests: BTreeMap<EndpointStart, u32>,
    /// The allowance from the requests of this daemon's own callers.
    own: HashMap<ServiceName, WorkAllowance>,
    /// The deposits of all daemons, if this one is the home.
    deposits: HashMap<ServiceName, WorkAllowance>,
    /// The allowance from the prompts that this daemon placed as the home.
    engines: HashMap<ServiceName, EngineAllowance>,
}

impl SecondSendState {
    /// Records the time of a send.
    pub(crate) fn record_time(
        &mut self,
        now: MonotonicTime,
        kind: &RequestKind,
        time: Duration,
        scale: Duration,
    ) {
        self.times.entry(kind.clone()).or_default().record(now, time, scale);
        if kind.size_class.is_some() {
            self.times.entry(kind.of_all_sizes()).or_default().record(now, time, scale);
        }
    }

    /// Returns the times of a kind. Where prompts of a size are few, the times of all sizes of the
    /// route are used: they are multiples of predictions, which take the size into account.
    pub(crate) fn times(&self, now: MonotonicTime, kind: &RequestKind) -> Option<&AnswerTimes> {
        let of_size = self.times.get(kind).filter(|times| times.has_enough(now));
        of_size.or_else(|| self.times.get(&kind.of_all_sizes()))
    }

    /// Returns the number of endpoints that a slow request waits for at present.
    pub(crate) fn slow_endpoints(&self, is_counted: impl Fn(&EndpointStart) -> bool) -> usize {
        self.slow_requests.keys().filter(|endpoint| is_counted(endpoint)).count()
    }

    pub(crate) fn begin_slow(&mut self, endpoint: &EndpointStart) {
        *self.slow_requests.entry(endpoint.clone()).or_default() += 1;
    }

    pub(crate) fn end_slow(&mut self, endpoint: &EndpointStart) {
        if let Some(count) = self.slow_requests.get_mut(endpoint) {
            *count -= 1;
            if *count == 0 {
                self.slow_requests.remove(endpoint);
            }
        }
    }
}

impl Gateway {
    /// Adds the part of a caller's request to the allowance of its service.
    pub(crate) fn earn_second_send(&self, service: &ServiceName) {
        let ratio = self.settings().scheduling.second_send_ratio;
        if ratio > 0.0 {
            let mut state = self.second_sends.borrow_mut();
            state.own.entry(service.clone()).or_default().earn(self.now(), ratio);
        }
    }

    /// Takes one second send to a service without engines from the allowance.
    pub(crate) async fn take_second_send(&self, service: &ServiceName) -> Result<(), SkipReason> {
        if self.with_own_allowance(service, |own| own.take(self.now(), 1.0)) {
            return Ok(());
        }
        let home = if self.is_leader() { None } else { Some(self.second_send_home()?) };
        let deposit = self.with_own_allowance(service, |own| own.take_all(self.now()));
        let Some(home) = home else {
            return self.grant_second_send(service, deposit).then_some(()).ok_or(LIMIT_REACHED);
        };
        let request =
            |token| PeerMessage::SecondSendAsk { token, service: service.clone(), deposit };
        match self.call(&home, HOME_ANSWER_TIMEOUT, request).await {
            Some(PeerReply::SecondSend(true)) => Ok(()),
            Some(_) => Err(LIMIT_REACHED),
            None => Err(SkipReason::NoHome),
        }
    }

    fn with_own_allowance<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut WorkAllowance) -> T,
    ) -> T {
        let mut state = self.second_sends.borrow_mut();
        action(state.own.entry(service.clone()).or_default())
    }

    /// Takes one second send from the deposits of all daemons, to which `deposit` is added. Returns
    /// whether they were enough.
    pub(crate) fn grant_second_send(&self, service: &ServiceName, deposit: f64) -> bool {
        let now = self.now();
        let mut state = self.second_sends.borrow_mut();
        let deposits = state.deposits.entry(service.clone()).or_default();
        deposits.earn(now, deposit);
        self.is_leader() && deposits.take(now, 1.0)
    }

    /// Adds the part of a prompt that this daemon has placed as the home to the allowances of its
    /// service.
    pub(crate) fn earn_engine_work(&self, ask: &PromptAsk) {
        let scheduling = self.settings().scheduling;
        if scheduling.second_send_work_ratio <= 0.0 || !self.is_leader() {
            return;
        }
        let Some(document) = self.active_document() else { return };
        let service = document.table.service(&ask.service);
        let Some(profile) = service.and_then(|service| service.engine.as_ref()) else { return };
        let work_ms = ReadCost::new(profile, ask.prompt_tokens).whole_ms;
        let now = self.now();
        let mut state = self.second_sends.borrow_mut();
        let allowance = state.engines.entry(ask.service.clone()).or_default();
        allowance.sends.earn(now, scheduling.second_send_ratio);
        allowance.work.earn(now, work_ms * scheduling.second_send_work_ratio);
    }

    /// Places a second send of a prompt of one of this daemon's callers. Only the home places them:
    /// it alone knows which engines are free and how much of the allowance is left.
    pub(crate) async fn place_second(&self, ask: &PromptAsk) -> Result<PromptPlan, SkipReason> {
        let verdict = if self.is_leader() {
            self.place_and_record_second(ask)
        } else {
            let home = self.second_send_home()?;
            let abandoned = AbandonedAsk { gateway: self, ask, is_answered: false };
            let verdict = self.ask_to_place(&home, HOME_ANSWER_TIMEOUT, ask, None).await;
            abandoned.end(verdict.is_some());
            verdict.ok_or(SkipReason::NoHome)?
        };
        verdict.map_err(|refusal| skip_reason(refusal.reason))
    }

    /// Places a second send of a prompt as the home.
    pub(crate) fn place_second_here(&self, ask: &PromptAsk, second: &SecondSend) -> PlaceVerdict {
        if !self.is_leader() {
            return refuse(RefusalReason::NoEngine);
        }
        let now = self.now();
        let is_allowed = |work_ms| {
            let mut state = self.second_sends.borrow_mut();
            let allowance = state.engines.entry(ask.service.clone()).or_default();
            let is_enough = allowance.sends.balance(now) + ROUNDING_ERROR >= 1.0
                && allowance.work.take(now, work_ms);
            is_enough && allowance.sends.take(now, 1.0)
        };
        self.place_second_in_fleet(now, ask, second, is_allowed)
    }

    /// Returns the home if it can be asked for second sends. Asks a home that is not known yet for
    /// its note, so that it can be asked later.
    fn second_send_home(&self) -> Result<InstanceId, SkipReason> {
        let home = self.leader_instance().ok_or(SkipReason::NoHome)?;
        let roster = self.roster.borrow();
        if roster.understands(&home, ProtocolLevel::SCHEDULING) && !self.is_home_away() {
            return Ok(home);
        }
        if roster.get(&home).is_none_or(|entry| entry.note.is_none()) {
            self.mesh.send(&home, &PeerMessage::GreetingAsk);
        }
        Err(SkipReason::NoHome)
    }
}

/// The error of sums of small amounts.
const ROUNDING_ERROR: f64 = 1e-9;

const LIMIT_REACHED: SkipReason = SkipReason::LimitReached;

fn refuse(reason: RefusalReason) -> PlaceVerdict {
    Err(PlacementRefusal { reason, retry_after: Duration::ZERO, turn: ReturnTurn::default() })
}

fn skip_reason(reason: RefusalReason) -> SkipReason {
    match reason {
        RefusalReason::NoLead => SkipReason::NoLead,
        RefusalReason::AllSlow => SkipReason::AllSlow,
        RefusalReason::SecondLimit => SkipReason::LimitReached,
        RefusalReason::TooLate => SkipReason::TooLittleTime,
        RefusalReason::NoEngine | RefusalReason::AtLimit => SkipReason::NoOtherEndpoint,
        RefusalReason::NoMemory
        | RefusalReason::Backlog
        | RefusalReason::TooDear
        | RefusalReason::Crowded
        | RefusalReason::Outranked
        | RefusalReason::OverShare => SkipReason::EndpointsFull,
    }
}

/// A question to the home for a second send. Unless it was answered, the home is told that the send
/// has ended when it is dropped: the home may have placed it, and would count an engine as busy.
struct AbandonedAsk<'a> {
    gateway: &'a Gateway,
    ask: &'a PromptAsk,
    is_answered: bool,
}

impl AbandonedAsk<'_> {
    fn end(mut self, is_answered: bool) {
        self.is_answered = is_answered;
    }
}

impl Drop for AbandonedAsk<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.gateway.report_progress(ProgressNote::Ended(self.ask.key));
        }
    }
}
