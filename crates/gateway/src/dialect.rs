//! How a request's facts are read from and written into HTTP messages.
//!
//! The gateway decides on typed facts. What header or body field carries each of them is the
//! matter of a dialect: a handful of functions that a face of the product hands in at the start.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use oriolepass_routing::{DocumentProblem, RoutingDocument};
use oriolepass_units::{AccountId, EndpointStart};

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestFacts {
    /// The caller's id for this attempt.
    pub id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key shown.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer.
    pub max_answer_tokens: Option<u64>,
    /// The caller's estimate of the answer's tokens.
    pub expected_answer_tokens: Option<u64>,
    /// The last event of the stream that the caller has already.
    pub resume_after: Option<u64>,
}

/// An engine that reads a part of a prompt, as the engine that writes is told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelperAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// The reservation that the prompt uses there.
    pub reservation: Option<String>,
}

/// What an endpoint is told with a request.
#[derive(Debug, Clone, PartialEq)]
pub struct SendFacts {
    /// What is left of the caller's time.
    pub deadline: Duration,
    /// The start of the endpoint that the request is meant for.
    pub endpoint: EndpointStart,
    /// The client account that the caller's key belongs to.
    pub account: Option<AccountId>,
    /// How urgent an engine should take it; 0 is first, 9 is last.
    pub engine_priority: Option<u8>,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<HelperAddress>,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What an endpoint's answer says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the endpoint vouches for it as its own.
    pub is_signed: bool,
    /// Whether it says that the request was not run and never will be.
    pub was_not_run: bool,
    /// Where the endpoint that is at fault listens, if it is named.
    pub culprit: Option<SocketAddr>,
}

/// What an endpoint says to a reservation of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// The memory is held.
    Held,
    /// There is not enough.
    Lacking,
    /// It did not understand, or is another endpoint.
    Refused,
}

/// A call to an endpoint's own interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointCall {
    /// The path.
    pub path: &'static str,
    /// The body, in JSON.
    pub body: Bytes,
}

/// How facts are read and written.
#[derive(Clone, Copy)]
pub struct WireDialect {
    /// Decodes an operator's routing document.
    pub decode_document: fn(&[u8]) -> Result<RoutingDocument, DocumentProblem>,
    /// Reads what a caller says of its request.
    pub read_request: fn(&HeaderMap) -> RequestFacts,
    /// Removes what only the gateway may say to an endpoint, and the caller's key.
    pub strip_request: fn(&mut HeaderMap, needs_key: bool),
    /// Writes what an endpoint is told.
    pub write_send: fn(&SendFacts, &mut HeaderMap),
    /// Reads what an endpoint's answer says of itself.
    pub read_answer: fn(&HeaderMap) -> AnswerFacts,
    /// Returns whether a header belongs to the request itself even where the caller lists it as
    /// one of the connection only.
    pub is_essential: fn(&HeaderName) -> bool,
    /// Makes the call that reserves memory: the reservation's id, tokens, and how long it holds.
    pub reserve: fn(&str, u64, Duration) -> EndpointCall,
    /// Makes the call that releases a reservation.
    pub release: fn(&str) -> EndpointCall,
    /// Reads the answer to a reservation by its status.
    pub read_reservation: fn(u16) -> ReservationAnswer,
}
