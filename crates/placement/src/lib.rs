//! Places prompts on engines by predicting the behaviour of each engine.
//!
//! An engine reads a prompt (prefill) and then writes its answer (decoding). The behaviour of an
//! engine is published as an `EngineProfile`: the duration of a step, the rate of reading prompts,
//! and how reading and writing share a pass. [`EnginePasses`] simulates one engine in logical time,
//! [`EngineFarm`] several engines that read prompts in parts. [`EngineFleet`] keeps a farm in step
//! with the real engines. It predicts when a prompt's first event would come and which answers in
//! progress would pause for too long. A prompt is placed where the expected loss over all affected
//! requests is least. A long prompt is read in parts by a group of engines: the main engine, which
//! receives the request and writes the answer, and helpers, which each read a part.
//!
//! A prompt whose first event is overdue may be placed on a second engine, if that would begin
//! clearly earlier and disturbs no other prompt ([`EngineFleet::place_second`]).
//!
//! The predictions are corrected by the observations of the entries, the instances that receive the
//! callers' requests: first events, ends and failures. The home, the daemon that places prompts for
//! all engines, holds the fleet. While it does not answer in time, deputies place prompts, each on
//! a cell of the engines.
//!
//! Where engines are scarce, the value of a prompt is multiplied by its weight: less urgent prompts
//! weigh less than those of more urgent priorities that compete with them, and, if the settings say
//! so, prompts of accounts that used more than their share weigh less than those of others.
//!
//! The crate does no I/O: every call takes the present time, and no call blocks.

mod appointment;
mod appointment_book;
mod candidates;
mod choice;
mod contention;
mod cost;
mod crowd;
mod demand;
mod engine;
mod farm;
mod features;
mod fleet;
mod observing;
mod overload;
mod passes;
mod plan;
mod returns;
mod scope;
mod second_sends;
mod shares;
mod speed;
mod tracking;
mod urgency;

pub use appointment::{
    Appointment, AppointmentId, AppointmentIdError, EntryAppointments, ReturnTurn,
};
pub use appointment_book::AppointmentCounts;
pub use cost::ReadCost;
pub use engine::EngineFacts;
pub use farm::{EngineFarm, FarmEvent};
pub use features::PlacementFeatures;
pub use fleet::EngineFleet;
pub use passes::{AnswerEnd, EnginePasses, PassEvent, PassPrompt};
pub use plan::{HelperPart, PlacementRefusal, PromptAsk, PromptKey, PromptPlan, RefusalReason};
pub use scope::{EngineCell, EngineScope};
pub use second_sends::SecondSend;
pub use speed::{PaceNote, SpeedChange};
