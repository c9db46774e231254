//! Places prompts on engines by predicting what each engine will do.
//!
//! An engine's behaviour is published (`EngineProfile`): how long a step takes, how fast prompts
//! are read, how reading and writing share a pass. [`EngineFleet`] keeps, for each engine, the
//! prompts it still has to read and the answers it writes, and predicts from that when a prompt's
//! first event would come and which answers under way would pause for too long. A prompt goes
//! where the expected loss over all requests touched is least; a long one is read in parts by
//! several engines at once.
//!
//! The predictions are corrected by what the entries see: first events, ends, failures.
//!
//! Sans-IO: every call takes the present time, nothing here waits.

mod cost;
mod engine;
mod fleet;
mod plan;

pub use cost::ReadCost;
pub use engine::EngineFacts;
pub use fleet::EngineFleet;
pub use plan::{HelperPart, PromptAsk, PromptKey, PromptPlan, SpareLack};
