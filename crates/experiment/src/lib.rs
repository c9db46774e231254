//! Compares placement policies on small engine fakes in manual time. Not shipped.
//!
//! The engines are [`oriolepass_standin::EngineModel`]s with a stated cost model, the prompts
//! come from the mix files in `mixes/`, and one seed gives one result. The product's policy is
//! the real [`oriolepass_scheduler::HomeScheduler`], one home for each data centre, with entries
//! that choose between homes by digests that lag. The baselines place prompts on engines by the
//! usual rules, on load reports that lag as well.
//!
//! * [`LoadMix`] and [`Arrival`]: what is asked.
//! * [`EngineFarm`]: the engines and the passing of time.
//! * [`HomesPolicy`] and [`BaselinePolicy`]: who places what.
//! * [`DayPlan`], [`run_day`] and [`DayResult`]: days of the users' deployments on
//!   [`oriolepass_placement::EngineFarm`], placed by the gateway's [`oriolepass_placement`].
//! * [`run_policy`] and [`PolicyResult`]: one run and its figures.

mod baseline;
mod farm;
mod fleet_day;
mod fleet_run;
mod homes;
mod mix;
mod run;

pub use baseline::{BaselinePolicy, BaselineRule};
pub use farm::{EngineFarm, FarmEvent, engine_config};
pub use fleet_day::{DayPlan, DayPrompt, PromptClass, Surge};
pub use fleet_run::{ClassTally, DayResult, FleetPolicy, run_day, run_prompts};
pub use homes::HomesPolicy;
pub use mix::{Arrival, LoadMix};
pub use run::{PolicyKind, PolicyResult, RunPlan, empty_first_token, engine_capacity, run_policy};
