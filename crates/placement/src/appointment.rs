//! Identifies prompts across their callers' attempts, and describes the turns of those that were
//! refused because of load.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use oriolepass_limits::RequestRank;
use oriolepass_units::{MonotonicTime, ServiceName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::appointment_book::RETURN_TOLERANCE;
use crate::plan::{PlacementRefusal, PromptAsk};

/// Identifies a prompt across the attempts of its caller: a digest of the account, the route and
/// the content of the request. Other accounts cannot produce it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AppointmentId(pub u64);

/// The text is not an appointment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not an appointment; give up to 16 hexadecimal digits")]
pub struct AppointmentIdError(String);

impl fmt::Display for AppointmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for AppointmentId {
    type Err = AppointmentIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| AppointmentIdError(text.to_owned()))
    }
}

/// What the refusal of a prompt says about its return.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnTurn {
    /// The engines may have room at any time, and the delay is an estimate.
    #[default]
    Unknown,
    /// The delay follows from the engines' work. No turn is kept for the prompt.
    Timed,
    /// The delay follows from the engines' work, and the prompt has its turn at its end.
    Appointed,
}

/// The turn of a refused prompt, as daemons tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appointment {
    /// Identifies the prompt.
    pub id: AppointmentId,
    /// The service whose engines may serve the prompt.
    pub service: ServiceName,
    /// The rank of the prompt.
    pub rank: RequestRank,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Time from the prompt's return until its first event is late.
    pub objective: Duration,
    /// Time until the turn; zero once it has come.
    pub due_in: Duration,
}

/// Maximum number of appointments that an entry keeps: those of a few seconds in which it refuses
/// some hundred prompts a second. One that is not kept is lost with the home.
const MAX_KEPT: usize = 1_024;

#[derive(Debug, Clone)]
struct KeptAppointment {
    due: MonotonicTime,
    appointment: Appointment,
}

/// The appointments that an entry passed on to its callers. It hands them to a home that replaces
/// the one that gave them.
#[derive(Debug, Default)]
pub struct EntryAppointments {
    kept: BTreeMap<AppointmentId, KeptAppointment>,
}

impl EntryAppointments {
    /// Records the appointment that a refusal gives, if it does.
    pub fn record(&mut self, now: MonotonicTime, ask: &PromptAsk, refusal: &PlacementRefusal) {
        let Some(id) = ask.appointment.filter(|_| refusal.turn == ReturnTurn::Appointed) else {
            return;
        };
        self.kept.retain(|_, kept| now < kept.due + RETURN_TOLERANCE);
        if self.kept.len() >= MAX_KEPT && !self.kept.contains_key(&id) {
            return;
        }
        let appointment = Appointment {
            id,
            service: ask.service.clone(),
            rank: ask.rank().unwrap_or_default(),
            prompt_tokens: ask.prompt_tokens,
            objective: ask.whole_objective,
            due_in: refusal.retry_after,
        };
        self.kept.insert(id, KeptAppointment { due: now + refusal.retry_after, appointment });
    }

    /// Forgets the appointment of a prompt that has been placed.
    pub fn forget(&mut self, id: AppointmentId) {
        self.kept.remove(&id);
    }

    /// Returns the appointments that have not lapsed.
    pub fn open(&self, now: MonotonicTime) -> Vec<Appointment> {
        let open = self.kept.values().filter(|kept| now < kept.due + RETURN_TOLERANCE);
        open.map(|kept| Appointment { due_in: kept.due.since(now), ..kept.appointment.clone() })
            .collect()
    }
}
