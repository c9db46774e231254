//! Routing documents: what operators write as a whole, ordered by a version.
//!
//! A [`RoutingDocument`] says which routes exist, which services they lead to, which client
//! accounts hold which keys, and how much a caller may send. It is checked as a whole
//! ([`RoutingDocument::check`]) before it is proposed, compiled once into a [`RoutingTable`]
//! that every request is looked up in, and replicated as the text that the operator sent
//! ([`RoutingRegister`]): the highest version wins, and a lower one never comes back.
//!
//! Operators drain and restore data centres independently of the document ([`DrainRegister`]).
//!
//! The package holds no clock, socket or thread.

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
