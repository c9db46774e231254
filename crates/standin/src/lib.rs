//! Stand-ins for the engines, services and callers around oriolepass, for tests, benchmarks and the
//! demo. The crate is not shipped.
//!
//! * [`EngineModel`] is a model engine as a state machine: continuous batching step by step,
//!   chunked prefill by priority, a prefix cache of limited capacity, resume, cancel, KV export
//!   and import, orders with or without fencing. It has no clock and no sockets.
//! * [`EngineServer`] serves an [`EngineModel`] over the endpoints' HTTP protocol and injects the
//!   faults of a [`FaultPlan`].
//! * [`ServiceServer`] is a plain service with a ledger, a record of the calls that it ran.
//! * [`TestCaller`] is a caller that compares every answer with the text that a stand-in engine
//!   computes for the same prompt.
//!
//! The ledgers are the oracle of the failure tests, which compare what the system reports about a
//! request with what the stand-ins ran.

mod announcer;
mod answer;
mod caller;
mod engine_model;
mod engine_server;
mod faults;
mod http;
mod prefix_cache;
mod service_server;

pub use announcer::AnnouncePlan;
pub use answer::{answer_text, answer_token};
pub use caller::{CallerError, CallerReply, CompletionRequest, ServiceReply, TestCaller};
pub use engine_model::{EngineConfig, EngineModel, EngineStep, StepEvent};
pub use engine_server::EngineServer;
pub use faults::FaultPlan;
pub use http::{HttpAnswer, call_json, get_text};
pub use service_server::{ServiceRun, ServiceServer};
