//! Prompts that return after a refusal.
//!
//! Guards against surges in which prompts are refused again on their return, because later arrivals
//! took the engines. The engines, the entries and the callers run in logical time: an entry asks
//! again while it may wait, and a caller returns once, after the delay that it was told.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use oriolepass_limits::{PermitWaiter, RequestRank, WaiterId};
use oriolepass_placement::{
    AnswerEnd, AppointmentId, EngineFarm, EngineFleet, EngineScope, EntryAppointments, PassPrompt,
    PlacementFeatures, PlacementRefusal, PromptAsk, PromptKey, ReturnTurn,
};
use oriolepass_units::MonotonicTime;

/// Share of the objective for which an entry waits for an engine.
const ENTRY_WAIT_SHARE: f64 = 0.22;

/// Interval at which an entry asks again.
const ENTRY_ASK_MS: u64 = 25;

/// Longest delay that a caller honours, as a share of the time that it has left.
const CALLER_WAIT_SHARE: f64 = 1.0 / 3.0;

const DEADLINE_MS: u64 = 15_000;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn rank(priority: u8, account: usize) -> RequestRank {
    RequestRank { priority, account: Some(format!("account{account}").parse().unwrap()) }
}

fn fleet(engines: usize, keeps_appointments: bool) -> EngineFleet {
    let mut fleet = common::fleet(engines, &common::profile(12, 52));
    fleet.set_features(PlacementFeatures { keeps_appointments, ..PlacementFeatures::default() });
    fleet
}

/// A caller's prompt, which arrives at `arrives_ms`.
#[derive(Debug, Clone)]
struct Caller {
    arrives_ms: u64,
    tokens: u64,
    objective_ms: u64,
    rank: RequestRank,
}

impl Caller {
    fn ask(&self, number: usize, attempt: u64, attempt_ms: u64, now_ms: u64) -> PromptAsk {
        let key = PromptKey { entry: attempt, number: number as u64 };
        let prompt = common::prompt(key, self.tokens, self.objective_ms, 800);
        let waited = Duration::from_millis(now_ms - attempt_ms);
        let patience = prompt.objective.mul_f64(ENTRY_WAIT_SHARE).saturating_sub(waited);
        let waiter = PermitWaiter {
            id: WaiterId { entry: attempt, number: number as u64 },
            rank: self.rank.clone(),
            patience,
        };
        PromptAsk {
            answer_tokens: 800,
            max_answer_tokens: 1_600,
            objective: prompt.objective.saturating_sub(waited),
            deadline: Duration::from_millis(self.arrives_ms + DEADLINE_MS - now_ms),
            patience,
            waiter: Some(waiter),
            appointment: Some(AppointmentId(number as u64)),
            ..prompt
        }
    }
}

/// What became of a caller's prompt.
#[derive(Debug, Clone, Default)]
struct CallerOutcome {
    /// Times of its attempts.
    attempts_ms: Vec<u64>,
    refusals: usize,
    /// Time from the last attempt to the first event.
    first_ms: Option<u64>,
}

/// Plays callers against engines, with or without appointments.
struct ReturnPlay {
    fleet: EngineFleet,
    engines: EngineFarm,
    callers: Vec<Caller>,
    outcomes: Vec<CallerOutcome>,
    /// Whether the caller returns after a refusal.
    returns: fn(usize) -> bool,
    /// Times at which prompts ask for engines: time, caller, and the number and time of the attempt.
    asks: BinaryHeap<Reverse<(u64, usize, u64, u64)>>,
    attempts: BTreeMap<PromptKey, (usize, u64)>,
}

impl ReturnPlay {
    fn new(engines: usize, keeps_appointments: bool, callers: Vec<Caller>) -> Self {
        let mut farm = EngineFarm::new(AnswerEnd::ByCount);
        let profile = common::profile(12, 52);
        (0..engines).for_each(|number| farm.add(&common::endpoint(number), &profile));
        let first_asks = callers.iter().enumerate();
        let asks =
            first_asks.map(|(at, caller)| Reverse((caller.arrives_ms, at, 0, caller.arrives_ms)));
        Self {
            fleet: fleet(engines, keeps_appointments),
            engines: farm,
            outcomes: vec![CallerOutcome::default(); callers.len()],
            returns: |_| true,
            asks: asks.collect(),
            callers,
            attempts: BTreeMap::new(),
        }
    }

    fn run(mut self) -> Vec<CallerOutcome> {
        while let Some(Reverse((now_ms, number, attempt, attempt_ms))) = self.asks.pop() {
            self.advance(now_ms);
            let outcome = &mut self.outcomes[number];
            if outcome.attempts_ms.last() != Some(&attempt_ms) {
                outcome.attempts_ms.push(attempt_ms);
            }
            let ask = self.callers[number].ask(number, attempt, attempt_ms, now_ms);
            match self.fleet.place(at(now_ms), &ask) {
                Ok(plan) => {
                    let prompt = PassPrompt {
                        key: ask.key,
                        prompt_tokens: ask.prompt_tokens,
                        parts: plan.helpers.len() as u32 + 1,
                        answer_tokens: ask.answer_tokens,
                        priority: plan.engine_priority,
                        tokens_at_helpers: plan
                            .helpers
                            .iter()
                            .filter_map(|h| h.reserve_tokens)
                            .sum(),
                    };
                    self.attempts.insert(ask.key, (number, attempt_ms));
                    self.engines.take(now_ms as f64, &plan.main, &plan.helpers, &prompt);
                }
                Err(refusal) => self.refused((now_ms, number, attempt, attempt_ms), &ask, refusal),
            }
        }
        self.advance(1_000_000);
        self.outcomes
    }

    /// The entry asks again, or the caller returns.
    fn refused(
        &mut self,
        (now_ms, number, attempt, attempt_ms): (u64, usize, u64, u64),
        ask: &PromptAsk,
        refusal: PlacementRefusal,
    ) {
        let after_ms = refusal.retry_after.as_millis() as u64;
        let asks_in_ms =
            if refusal.turn == ReturnTurn::Unknown { ENTRY_ASK_MS } else { after_ms.max(1) };
        if asks_in_ms <= ask.patience.as_millis() as u64 {
            self.asks.push(Reverse((now_ms + asks_in_ms, number, attempt, attempt_ms)));
            return;
        }
        self.outcomes[number].refusals += 1;
        let longest_ms = (ask.deadline.as_millis() as f64 * CALLER_WAIT_SHARE) as u64;
        if attempt == 0 && (self.returns)(number) {
            let returns_ms = now_ms + after_ms.min(longest_ms);
            self.asks.push(Reverse((returns_ms, number, 1, returns_ms)));
        }
    }

    /// Advances the engines, and reports first events and ends to the home.
    fn advance(&mut self, now_ms: u64) {
        for event in self.engines.advance(now_ms as f64) {
            let time = at(event.at_ms as u64);
            if let Some((number, attempt_ms)) = self.attempts.remove(&event.key) {
                self.outcomes[number].first_ms = Some(event.at_ms as u64 - attempt_ms);
                self.fleet.first_event(time, event.key);
            }
            if event.is_last {
                self.fleet.ended(time, event.key);
            }
        }
    }
}

fn served_share(callers: &[Caller], outcomes: &[CallerOutcome]) -> f64 {
    let served = callers.iter().zip(outcomes).filter(|(caller, outcome)| {
        outcome.first_ms.is_some_and(|first_ms| first_ms <= caller.objective_ms)
    });
    served.count() as f64 / callers.len() as f64
}

/// Number of engines of a deployment with this load.
const ENGINES: usize = 60;

fn giant(arrives_ms: u64, rank: RequestRank) -> Caller {
    Caller { arrives_ms, tokens: 300_000, objective_ms: 4_000, rank }
}

/// A surge of giants, of 5.3 s of an engine's time each, that takes the engines 6.2 s.
fn surge_of_giants() -> Vec<Caller> {
    (0..70).map(|number| giant(number as u64 * 20, rank(1, number % 24))).collect()
}

/// Guards against giants that are refused again on their return: a surge of giants that the engines
/// can serve within the callers' time if they come one after the other.
#[test]
fn giants_that_return_in_their_turn_are_served() {
    let callers = surge_of_giants();
    let without = ReturnPlay::new(ENGINES, false, callers.clone()).run();
    let with = ReturnPlay::new(ENGINES, true, callers.clone()).run();
    let (before, after) = (served_share(&callers, &without), served_share(&callers, &with));
    assert!(after > 0.97, "{after} of the giants are served, {before} without turns");
    let refused_twice = with.iter().filter(|outcome| outcome.refusals > 1).count();
    assert_eq!(refused_twice, 0, "giants that are refused again");
}

/// Guards against turns that hold up prompts of a higher rank: such prompts amid a surge of giants.
#[test]
fn newcomers_of_a_higher_rank_go_first() {
    let urgent = |number: u64| Caller {
        tokens: 45_000,
        objective_ms: 1_500,
        ..giant(number * 100, rank(0, 30))
    };
    let callers: Vec<Caller> = surge_of_giants().into_iter().chain((0..40).map(urgent)).collect();
    let served = |keeps_appointments| {
        let outcomes = ReturnPlay::new(ENGINES, keeps_appointments, callers.clone()).run();
        let urgent = callers.len() - 40;
        outcomes[urgent..]
            .iter()
            .filter(|outcome| {
                outcome.refusals == 0 && outcome.first_ms.is_some_and(|ms| ms <= 1_500)
            })
            .count()
    };
    let (without, with) = (served(false), served(true));
    assert!(with >= without, "{with} are served at once, {without} without turns");
}

/// Number of engines in the tests of single decisions.
const FEW_ENGINES: usize = 16;

/// Returns a fleet that refuses giants, of which it has read none, and the first refusal.
fn busy_fleet(number: usize) -> (EngineFleet, PlacementRefusal) {
    let mut fleet = fleet(FEW_ENGINES, true);
    for other in 0..FEW_ENGINES {
        let caller = giant(0, rank(1, 40 + other));
        let ask = caller.ask(5_000 + other, 0, 0, 0);
        let ask = PromptAsk { appointment: None, patience: Duration::ZERO, ..ask };
        if fleet.place(at(0), &ask).is_err() {
            break;
        }
    }
    let refusal = fleet.place(at(0), &giant(0, rank(1, 1)).ask(number, 0, 0, 0)).unwrap_err();
    assert_eq!(refusal.turn, ReturnTurn::Appointed);
    (fleet, refusal)
}

/// The last moment that a turn is kept for after its time.
const TOLERANCE_MS: u64 = 500;

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns the ask of a prompt that returns at `now_ms`, at another instance.
fn return_ask(number: usize, now_ms: u64) -> PromptAsk {
    giant(0, rank(1, 1)).ask(number, 1, now_ms, now_ms)
}

/// Lets giants of another account ask for engines, and returns how many are placed.
fn newcomers_placed(fleet: &mut EngineFleet, now_ms: u64, count: usize) -> usize {
    let newcomers =
        (0..count).map(|other| giant(now_ms, rank(1, 2)).ask(500 + other, 0, now_ms, now_ms));
    newcomers.filter(|ask| fleet.place(at(now_ms), ask).is_ok()).count()
}

/// Guards against a turn that ends with its home or its instance: a home that is lost between a
/// refusal and the caller's return to another instance, in a surge of giants.
#[test]
fn the_next_home_keeps_the_turns_of_the_lost_one() {
    let (_lost, refusal) = busy_fleet(1);
    let ask = giant(0, rank(1, 1)).ask(1, 0, 0, 0);
    let mut entry = EntryAppointments::default();
    entry.record(at(0), &ask, &refusal);
    let due_ms = millis(refusal.retry_after);
    let mut next = fleet(FEW_ENGINES, true);
    next.adopt_appointments(at(due_ms / 2), &entry.open(at(due_ms / 2)));
    // A second report does not give a second turn.
    next.adopt_appointments(at(due_ms / 2), &entry.open(at(due_ms / 2)));
    assert_eq!(next.take_appointment_counts().adopted, 1);
    newcomers_placed(&mut next, due_ms - 1, 30);
    assert!(next.place(at(due_ms), &return_ask(1, due_ms)).is_ok(), "the turn is not kept");
    assert_eq!(next.take_appointment_counts().kept, 1);
    entry.forget(AppointmentId(1));
    assert_eq!(entry.open(at(due_ms)), Vec::new());
}

/// Guards against turns that take engines from others for good: callers that never return.
#[test]
fn a_turn_that_is_not_used_lapses() {
    let (mut fleet, refusal) = busy_fleet(1);
    let lapses_ms = millis(refusal.retry_after) + TOLERANCE_MS + 1;
    newcomers_placed(&mut fleet, lapses_ms, 1);
    let counts = fleet.take_appointment_counts();
    assert_eq!((counts.given, counts.kept, counts.lapsed), (1, 0, 1));
    // What returns later is a newcomer.
    let _ = fleet.place(at(lapses_ms), &return_ask(1, lapses_ms));
    assert_eq!(fleet.take_appointment_counts().kept, 0);
}

/// Guards against callers that gain by coming early or twice, in a surge of giants.
#[test]
fn a_turn_is_used_once_and_not_early() {
    let (mut fleet, refusal) = busy_fleet(1);
    let due_ms = millis(refusal.retry_after);
    let early = fleet.place(at(50), &return_ask(1, 50)).unwrap_err();
    let told_ms = 50 + millis(early.retry_after);
    assert!(told_ms.abs_diff(due_ms) <= 1, "told to come at {told_ms}, before at {due_ms}");
    assert!(fleet.place(at(due_ms), &return_ask(1, due_ms)).is_ok());
    let again = PromptAsk { key: PromptKey { entry: 2, number: 1 }, ..return_ask(1, due_ms) };
    let _ = fleet.place(at(due_ms), &again);
    assert_eq!(fleet.take_appointment_counts().kept, 1);
}

/// Guards against an account that hoards turns: 1,000 giants of one account at once, before one of
/// another.
#[test]
fn an_account_has_a_share_of_the_line() {
    let (mut fleet, _) = busy_fleet(1);
    let refused = |fleet: &mut EngineFleet, number: usize, account: usize| {
        fleet.place(at(0), &giant(0, rank(1, account)).ask(number, 0, 0, 0)).unwrap_err()
    };
    let turns = (2..1_002).map(|number| refused(&mut fleet, number, 7).turn);
    let appointed = turns.filter(|turn| *turn == ReturnTurn::Appointed).count();
    assert!((1..=8).contains(&appointed), "{appointed} turns of one account");
    assert_eq!(refused(&mut fleet, 2_000, 8).turn, ReturnTurn::Appointed);
}

/// Guards against turns that no caller uses since deputies and homes without the feature know none.
#[test]
fn only_a_home_that_keeps_turns_gives_them() {
    let (mut fleet, _) = busy_fleet(1);
    let ask = giant(0, rank(1, 3)).ask(3, 0, 0, 0);
    let drawn = fleet.place_among(at(0), &ask, EngineScope::Drawn(1)).unwrap_err();
    assert_eq!(drawn.turn, ReturnTurn::Unknown);
    // An entry of the version before does not identify its prompts.
    let earlier = fleet.place(at(0), &PromptAsk { appointment: None, ..ask.clone() }).unwrap_err();
    assert_eq!(earlier.turn, ReturnTurn::Unknown);
    fleet.set_features(PlacementFeatures::default());
    let without = fleet.place(at(0), &ask).unwrap_err();
    assert_eq!((without.turn, without.retry_after), (ReturnTurn::Unknown, Duration::from_secs(4)));
    assert!(EntryAppointments::default().open(at(0)).is_empty());
}

/// Guards against prompts that all return at one moment: a short surge of short prompts that need
/// more slots than the engines have.
#[test]
fn short_prompts_return_spread() {
    let mut fleet = fleet(2, true);
    let (mut all, mut appointed) = ([0; 60], [0; 60]);
    for number in 0..200 {
        let short = Caller { tokens: 3_000, objective_ms: 300, ..giant(0, rank(1, number % 24)) };
        if let Err(refusal) = fleet.place(at(0), &short.ask(number, 0, 0, 0)) {
            let at_100_ms = millis(refusal.retry_after) as usize / 100;
            all[at_100_ms] += 1;
            appointed[at_100_ms] += usize::from(refusal.turn == ReturnTurn::Appointed);
        }
    }
    assert!(all.iter().sum::<usize>() > 150, "{all:?}");
    // Two engines of 12 slots, each held for 0.7 s or longer, free three or four in 100 ms.
    assert!(appointed.iter().all(|count| *count <= 4), "{appointed:?} have their turns");
    assert!(all.iter().all(|count| *count <= 8), "{all:?} return");
}
