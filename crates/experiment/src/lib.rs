//! Compares placement policies on simulated engines in logical time. The crate is not shipped.
//!
//! The engines are [`oriolepass_standin::EngineModel`]s with the cost model of
//! [`engine_config`]. The prompts are drawn from the mix files in `mixes/`. The same seed always
//! gives the same result. The product's policy is [`oriolepass_scheduler::HomeScheduler`] itself:
//! one home (the daemon that schedules the endpoints of a data centre) for each data centre, and
//! entries (the daemons that receive requests) that choose a home by delayed digests of its load.
//! The baselines place prompts on engines by common load-balancing rules, on delayed load reports.
//!
//! * [`LoadMix`] and [`Arrival`]: the load, and the requests drawn from it.
//! * [`EngineFarm`]: the engines and the logical clock.
//! * [`HomesPolicy`] and [`BaselinePolicy`]: the placement policies.
//! * [`DayPlan`], [`run_day`] and [`DayResult`]: days of the users' deployments on
//!   [`oriolepass_placement::EngineFarm`], placed by the gateway's [`oriolepass_placement`].
//! * [`run_limit`] and [`LimitDesign`]: how many instances keep the limit of one endpoint.
//! * [`run_rests`] and [`RestDesign`]: how a home learns of the rests that engines ask instances for.
//! * [`run_policy`] and [`PolicyResult`]: one run and its metrics.

mod baseline;
mod farm;
mod fleet_day;
mod fleet_run;
mod homes;
mod limit_run;
mod mix;
mod rest_run;
mod run;

pub use baseline::{BaselinePolicy, BaselineRule};
pub use farm::{EngineFarm, FarmEvent, engine_config};
pub use fleet_day::{DayPlan, DayPrompt, PromptClass, Surge};
pub use fleet_run::{ClassTally, DayResult, FleetPolicy, run_day, run_prompts};
pub use homes::HomesPolicy;
pub use limit_run::{LimitDesign, LimitPlan, LimitResult, run_limit};
pub use mix::{Arrival, LoadMix};
pub use rest_run::{RestDesign, RestRunPlan, RestRunResult, run_rests};
pub use run::{PolicyKind, PolicyResult, RunPlan, empty_first_token, engine_capacity, run_policy};
