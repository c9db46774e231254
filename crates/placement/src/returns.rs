//! Gives turns to prompts that are refused because of load, and places them when they return.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

use crate::appointment::{Appointment, ReturnTurn};
use crate::appointment_book::{AppointmentCounts, TurnHolder};
use crate::choice::Job;
use crate::cost::{ReadCost, millis};
use crate::fleet::{EngineFleet, time_ms};
use crate::overload::{self, WorkLine};
use crate::plan::{PlacementRefusal, PromptAsk, RefusalReason};
use crate::scope::EngineScope;

/// The work of a prompt in the unit of its [`WorkLine`].
fn line_work(cost: ReadCost) -> f64 {
    if cost.is_short() { 1.0 } else { cost.whole_ms }
}

fn holder(ask: &PromptAsk, cost: ReadCost) -> TurnHolder {
    TurnHolder {
        id: ask.appointment,
        rank: ask.rank().unwrap_or_default(),
        is_short: cost.is_short(),
        work: line_work(cost),
        objective_ms: millis(ask.whole_objective),
    }
}

/// Returns the delay of a prompt without a turn, in milliseconds. Such prompts return spread over
/// the second half of the time that their callers wait.
fn spread_wait_ms(ask: &PromptAsk, max_wait_ms: f64) -> f64 {
    let id = ask.appointment.map_or(0, |id| id.0);
    let position = xxhash_rust::xxh3::xxh3_64(&id.to_le_bytes()) as f64 / u64::MAX as f64;
    max_wait_ms * (0.5 + 0.5 * position)
}

impl EngineFleet {
    /// Returns whether turns are kept in a scope. Only the home, which knows all engines and all
    /// prompts, keeps them.
    pub(crate) fn keeps_turns(&self, scope: EngineScope) -> bool {
        self.features.keeps_appointments && scope == EngineScope::All
    }

    /// Returns whether it is the prompt's turn.
    pub(crate) fn has_turn(&mut self, now: MonotonicTime, ask: &PromptAsk) -> bool {
        let Some(book) = self.appointments.get_mut(&ask.service) else { return false };
        book.expire(time_ms(now));
        ask.appointment.is_some_and(|id| book.has_turn(time_ms(now), id))
    }

    /// Returns whether a prompt could wait at its entry until its turn.
    pub(crate) fn can_wait(&self, job: &Job<'_>, line: &WorkLine) -> bool {
        let holder = holder(job.ask, job.cost);
        let book = self.appointments.get(&job.ask.service);
        let wait_ms = book.map_or(line.wait_ms(0.0), |book| book.wait_ms(&holder, line));
        let wait_ms = if holder.is_short { wait_ms } else { wait_ms.min(line.group_free_ms) };
        wait_ms <= millis(job.ask.patience)
    }

    /// Returns whether a prompt without a turn would delay one that has a turn.
    pub(crate) fn delays_turns(&self, now: MonotonicTime, job: &Job<'_>, line: &WorkLine) -> bool {
        let newcomer = || holder(job.ask, job.cost);
        self.appointments
            .get(&job.ask.service)
            .is_some_and(|book| book.is_delayed_by(time_ms(now), &newcomer(), line))
    }

    /// Records that a prompt was placed, in its turn or before it.
    pub(crate) fn record_return(&mut self, now: MonotonicTime, ask: &PromptAsk) {
        if let Some(id) = ask.appointment
            && let Some(book) = self.appointments.get_mut(&ask.service)
        {
            book.placed(time_ms(now), id);
        }
    }

    /// Refuses a prompt because of load. Without a line, no turns are kept.
    pub(crate) fn refuse_for_load(
        &mut self,
        now: MonotonicTime,
        job: &Job<'_>,
        line: Option<&WorkLine>,
        reason: RefusalReason,
    ) -> PlacementRefusal {
        let ask = job.ask;
        let Some(line) = line.filter(|_| ask.appointment.is_some()) else {
            let retry_after = overload::retry_after();
            return PlacementRefusal { reason, retry_after, turn: ReturnTurn::Unknown };
        };
        let max_wait_ms = overload::max_wait_ms(ask);
        let patience_ms = millis(ask.patience);
        let holder = holder(ask, job.cost);
        let book = self.appointments.entry(ask.service.clone()).or_default();
        let wait_ms = book.wait_ms(&holder, line);
        // Other prompts may end first on the engines that it needs.
        let may_find_room = !holder.is_short && line.group_free_ms <= patience_ms;
        let is_first_come = !ask.patience.is_zero() && !book.knows(ask.appointment);
        if may_find_room && is_first_come && wait_ms > patience_ms {
            let retry_after = Duration::from_secs_f64(wait_ms / 1_000.0);
            return PlacementRefusal { reason, retry_after, turn: ReturnTurn::Unknown };
        }
        let wait_ms = book.book(time_ms(now), &holder, line, patience_ms, max_wait_ms);
        let turn = if wait_ms.is_some() { ReturnTurn::Appointed } else { ReturnTurn::Timed };
        let wait_ms = wait_ms.unwrap_or_else(|| spread_wait_ms(ask, max_wait_ms));
        PlacementRefusal { reason, retry_after: Duration::from_secs_f64(wait_ms / 1_000.0), turn }
    }

    /// Adds the appointments that an entry passed on for another home. Those of services without
    /// engines are left out.
    pub fn adopt_appointments(&mut self, now: MonotonicTime, appointments: &[Appointment]) {
        if !self.features.keeps_appointments {
            return;
        }
        for appointment in appointments {
            let mut engines = self.engines.values().map(|engine| &engine.facts);
            let Some(facts) = engines.find(|facts| facts.service == appointment.service) else {
                continue;
            };
            let cost = ReadCost::new(&facts.profile, appointment.prompt_tokens);
            let holder = TurnHolder {
                id: Some(appointment.id),
                rank: appointment.rank.clone(),
                is_short: cost.is_short(),
                work: line_work(cost),
                objective_ms: millis(appointment.objective),
            };
            let book = self.appointments.entry(appointment.service.clone()).or_default();
            book.adopt(time_ms(now) + millis(appointment.due_in), holder);
        }
    }

    /// Returns the outcomes of appointments since the last call.
    pub fn take_appointment_counts(&mut self) -> AppointmentCounts {
        let mut total = AppointmentCounts::default();
        for book in self.appointments.values_mut() {
            let counts = std::mem::take(&mut book.counts);
            total.given += counts.given;
            total.declined += counts.declined;
            total.kept += counts.kept;
            total.lapsed += counts.lapsed;
            total.adopted += counts.adopted;
        }
        total
    }
}
