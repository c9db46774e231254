//! Places prompts on engines by predicting what each engine will do.
//!
//! An engine's behaviour is published (`EngineProfile`): how long a step takes, how fast prompts
//! are read, how reading and writing share a pass. [`EnginePasses`] is that behaviour in logical
//! time, [`EngineFarm`] several engines with prompts read in parts. [`EngineFleet`] keeps such a
//! farm in step with the real engines and predicts from it when a prompt's first event would come
//! and which answers under way would pause for too long. A prompt goes where the expected loss
//! over all requests touched is least; a long one is read in parts by several engines at once.
//!
//! The predictions are corrected by what the entries see: first events, ends, failures.
//!
//! Sans-IO: every call takes the present time, nothing here waits.

mod choice;
mod cost;
mod crowd;
mod demand;
mod farm;
mod fleet;
mod passes;
mod plan;
mod scope;

pub use cost::ReadCost;
pub use farm::{EngineFarm, FarmEvent};
pub use fleet::{EngineFacts, EngineFleet};
pub use passes::{AnswerEnd, EnginePasses, PassEvent, PassPrompt};
pub use plan::{HelperPart, LackReason, PlacementRefusal, PromptAsk, PromptKey, PromptPlan};
pub use scope::{EngineCell, EngineScope};
