//! Stand-ins for everything outside oriolepass, for tests, benches and the demo. Not shipped.
//!
//! * [`EngineModel`] is a model engine as a state machine: continuous batching step by step,
//!   chunked prefill by priority, a prefix cache in limited memory, resume, cancel, KV export
//!   and import, orders with or without fencing. It has no clock and no sockets.
//! * [`EngineServer`] puts one behind the endpoints' HTTP protocol and lets it misbehave on cue
//!   ([`FaultPlan`]).
//! * [`ServiceServer`] is a plain service that keeps a ledger of what it ran.
//! * [`TestCaller`] is a caller that checks every answer against what the stand-in engine must
//!   say to exactly that prompt.
//!
//! The ledgers are the oracle of the failure tests: what the system claims about a request is
//! compared with what the stand-ins really did.

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
