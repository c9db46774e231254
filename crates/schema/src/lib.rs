//! Defines the messages that cross a process boundary.
//!
//! * [`caller`]: requests and responses of the callers' API.
//! * [`endpoint`]: messages between endpoints and daemons.
//! * [`operator`]: requests and responses of the operators' API. The file `openapi.json` of this
//!   crate describes the calls of operators, callers and endpoints for clients in other languages.
//! * [`wire_capnp`]: the framing between daemons. The module is generated from `wire.capnp` and
//!   committed, so that the build needs no generator.
//! * [`routes`]: the HTTP routes of all listeners.
//! * [`error`]: the stable error codes, which all APIs share.
//! * [`digest`]: the incremental digest with which a receiver detects a truncated answer.
//!
//! The types have no behaviour beyond validation of their own form. Decisions are made in the
//! crates that use them.

pub mod caller;
pub mod digest;
pub mod endpoint;
pub mod error;
pub mod operator;
pub mod routes;

#[allow(missing_docs, unsafe_code, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
pub mod wire_capnp;

/// The OpenAPI description of all calls of operators, callers and endpoints.
pub const OPENAPI_JSON: &str = include_str!("../openapi.json");
