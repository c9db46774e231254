//! Keeps the turns of prompts that were refused because of load.
//!
//! A refused prompt is told to return when the work ahead of it is done. Without a turn, prompts
//! that arrive in the meantime take the engines, and the prompt is refused again. With one, it is
//! placed on its return, and a newcomer of the same or a lower rank that would delay it has to come
//! later.

use std::time::Duration;

use oriolepass_limits::RequestRank;

use crate::appointment::AppointmentId;
use crate::cost::millis;
use crate::overload::WorkLine;

/// Time after its turn within which a prompt has to return. It covers a new connection to another
/// instance. A turn that lapses holds back others for no longer.
pub(crate) const RETURN_TOLERANCE: Duration = Duration::from_millis(500);

/// Time by which a prompt may return before its turn: callers round the delay.
const EARLY_TOLERANCE_MS: f64 = 20.0;

/// Delay after which a prompt that cannot be served in its time asks again while it has its turn.
const TURN_ASK_INTERVAL_MS: f64 = 50.0;

/// Maximum number of turns of a service, which bounds memory and the time of a decision.
const MAX_TURNS: usize = 1_024;

/// Share of a line, as long as callers wait, that one client account may hold. Four busy accounts
/// fill the line, and an account with few prompts always finds a place.
const MAX_ACCOUNT_SHARE: f64 = 0.25;

/// Share of its objective that a returning prompt may spend until the work ahead of it is done. The
/// rest is for reading the prompt itself.
const WAIT_SHARE: f64 = 0.5;

/// A refused prompt that is to return, or one that asks for engines.
#[derive(Debug, Clone)]
pub(crate) struct TurnHolder {
    pub(crate) id: Option<AppointmentId>,
    pub(crate) rank: RequestRank,
    pub(crate) is_short: bool,
    /// The engines' work, in the unit of its [`WorkLine`].
    pub(crate) work: f64,
    pub(crate) objective_ms: f64,
}

#[derive(Debug, Clone)]
struct BookedTurn {
    holder: TurnHolder,
    due_ms: f64,
}

impl BookedTurn {
    fn lapses_ms(&self) -> f64 {
        self.due_ms + millis(RETURN_TOLERANCE)
    }

    fn is_open(&self, now_ms: f64) -> bool {
        (self.due_ms - EARLY_TOLERANCE_MS..self.lapses_ms()).contains(&now_ms)
    }

    /// Returns whether `other` is of the same kind and may not go first. Prompts with a shorter
    /// objective do not wait for those with a longer one, which usually need more engines.
    fn precedes(&self, other: &TurnHolder) -> bool {
        self.holder.is_short == other.is_short
            && self.holder.objective_ms <= other.objective_ms
            && self.holder.rank.priority <= other.rank.priority
            && self.holder.id != other.id
    }
}

/// How many appointments had each outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AppointmentCounts {
    /// Refused prompts that got an appointment.
    pub given: u64,
    /// Refused prompts that got none: the line was too long, or their account had its share of it.
    pub declined: u64,
    /// Prompts that were placed in their turn.
    pub kept: u64,
    /// Appointments that were not used in time.
    pub lapsed: u64,
    /// Appointments that another home gave.
    pub adopted: u64,
}

/// The turns of the prompts of one service.
#[derive(Debug, Default)]
pub(crate) struct AppointmentBook {
    /// In the order of their times.
    turns: Vec<BookedTurn>,
    pub(crate) counts: AppointmentCounts,
}

impl AppointmentBook {
    /// Removes the turns that were not used in time.
    pub(crate) fn expire(&mut self, now_ms: f64) {
        let before = self.turns.len();
        self.turns.retain(|turn| now_ms < turn.lapses_ms());
        self.counts.lapsed += (before - self.turns.len()) as u64;
    }

    /// Returns whether it is the turn of a prompt.
    pub(crate) fn has_turn(&self, now_ms: f64, id: AppointmentId) -> bool {
        self.turn(id).is_some_and(|turn| turn.is_open(now_ms))
    }

    /// Records that a prompt was placed, in its turn or before it.
    pub(crate) fn placed(&mut self, now_ms: f64, id: AppointmentId) {
        self.counts.kept += u64::from(self.has_turn(now_ms, id));
        self.turns.retain(|turn| turn.holder.id != Some(id));
    }

    /// Returns the time until the turn of a prompt that gets the last place of its rank, in
    /// milliseconds.
    pub(crate) fn wait_ms(&self, holder: &TurnHolder, line: &WorkLine) -> f64 {
        let preceding = self.turns.iter().filter(|turn| turn.precedes(holder));
        line.wait_ms(preceding.map(|turn| turn.holder.work).sum())
    }

    /// Returns the time until a refused prompt's turn, in milliseconds. A prompt that has a place in
    /// the line keeps it for as long as it waits; any other gets the last one of its rank. Returns `None` if the turn would
    /// come after `max_wait_ms`, or if its account has its share of the line.
    pub(crate) fn book(
        &mut self,
        now_ms: f64,
        holder: &TurnHolder,
        line: &WorkLine,
        patience_ms: f64,
        max_wait_ms: f64,
    ) -> Option<f64> {
        let id = holder.id?;
        if let Some(turn) = self.turns.iter_mut().find(|turn| turn.holder.id == Some(id)) {
            let is_early = now_ms < turn.due_ms - EARLY_TOLERANCE_MS;
            if is_early || patience_ms >= TURN_ASK_INTERVAL_MS {
                // A prompt that has returned keeps its turn while it waits.
                turn.due_ms = turn.due_ms.max(now_ms);
                return Some((turn.due_ms - now_ms).max(TURN_ASK_INTERVAL_MS));
            }
            self.turns.retain(|turn| turn.holder.id != Some(id));
        }
        let wait_ms = self.wait_ms(holder, line);
        let is_of_account = |turn: &&BookedTurn| {
            turn.holder.is_short == holder.is_short
                && turn.holder.rank.account == holder.rank.account
        };
        let held: f64 = self.turns.iter().filter(is_of_account).map(|turn| turn.holder.work).sum();
        let has_share =
            held > 0.0 && line.span_ms(held + holder.work) > max_wait_ms * MAX_ACCOUNT_SHARE;
        if wait_ms > max_wait_ms || has_share || self.turns.len() >= MAX_TURNS {
            self.counts.declined += 1;
            return None;
        }
        self.counts.given += 1;
        self.insert(now_ms + wait_ms, holder.clone());
        Some(wait_ms)
    }

    /// Adds a turn that another home gave. Returns without effect if the turn is known.
    pub(crate) fn adopt(&mut self, due_ms: f64, holder: TurnHolder) {
        let is_known = holder.id.is_none_or(|id| self.turn(id).is_some());
        if !is_known && self.turns.len() < MAX_TURNS {
            self.counts.adopted += 1;
            self.insert(due_ms, holder);
        }
    }

    /// Returns whether a newcomer would delay a prompt that has a turn and precedes it.
    pub(crate) fn is_delayed_by(
        &self,
        now_ms: f64,
        newcomer: &TurnHolder,
        line: &WorkLine,
    ) -> bool {
        let mut preceding = self.turns.iter().filter(|turn| turn.precedes(newcomer));
        if newcomer.is_short {
            let expected = preceding.filter(|turn| turn.is_open(now_ms)).count();
            return expected > 0 && expected as f64 >= line.free;
        }
        let mut ahead = newcomer.work;
        preceding.any(|turn| {
            let latest_ms = (turn.due_ms - now_ms).max(0.0) + turn.holder.objective_ms * WAIT_SHARE;
            let is_late = line.done_in_ms(ahead) > latest_ms;
            ahead += turn.holder.work;
            is_late
        })
    }

    /// Returns whether a prompt has a turn, now or later.
    pub(crate) fn knows(&self, id: Option<AppointmentId>) -> bool {
        id.is_some_and(|id| self.turn(id).is_some())
    }

    fn turn(&self, id: AppointmentId) -> Option<&BookedTurn> {
        self.turns.iter().find(|turn| turn.holder.id == Some(id))
    }

    fn insert(&mut self, due_ms: f64, holder: TurnHolder) {
        let at = self.turns.partition_point(|turn| turn.due_ms <= due_ms);
        self.turns.insert(at, BookedTurn { holder, due_ms });
    }
}
