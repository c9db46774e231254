//! The messages that cross a process boundary, and nothing else.
//!
//! * [`caller`]: what callers send and receive.
//! * [`endpoint`]: what endpoints announce, and what the system asks of them.
//! * [`operator`]: the operators' calls, described for other languages in `openapi.json` beside
//!   this package.
//! * [`wire_capnp`]: the framing between daemons, generated from
//!   `wire.capnp` and committed, so that the build needs no generator.
//! * [`routes`]: every call of every listener.
//! * [`error`]: the stable error codes that all of them share.
//! * [`digest`]: the running digest that lets a receiver tell a whole answer from a cut one.
//!
//! Types here carry no behaviour beyond checks of their own form. Decisions live in the packages
//! that use them.

pub mod caller;
pub mod digest;
pub mod endpoint;
pub mod error;
pub mod operator;
pub mod routes;

#[allow(missing_docs, unsafe_code, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
pub mod wire_capnp;

/// The OpenAPI description of every call that operators, callers and endpoints can make.
pub const OPENAPI_JSON: &str = include_str!("../openapi.json");
