//! Defines, validates, compiles and replicates routing documents.
//!
//! A [`RoutingDocument`] is the routing configuration that operators submit as a whole. It defines the
//! routes, the services that serve them, the keys of the client accounts and the limits on callers'
//! requests. A document is validated as a whole ([`RoutingDocument::check`]) before it is proposed. It
//! is compiled once into a [`RoutingTable`], which serves the lookups of all requests. It is replicated
//! as the text that the operator sent ([`RoutingRegister`]). Documents are ordered by revision: the
//! register holds the document with the highest revision and rejects lower revisions.
//!
//! Operators drain and restore data centres independently of the document ([`DrainRegister`]).
//!
//! The crate does no I/O, reads no clock and starts no threads.

mod document;
mod drains;
mod register;
mod table;

pub use document::{
    AccountKeys, ColdStart, DocumentProblem, EngineProfile, IngressLimits, RepeatRule, RouteSpec,
    RoutingDocument, ServiceSpec, WeightedService,
};
pub use drains::{DrainCommand, DrainOutcome, DrainRegister, DrainRevision};
pub use register::{RegisterOutcome, RoutingRegister, RoutingRevision, RoutingText, TextError};
pub use table::{KeyHolder, RoutingTable};
