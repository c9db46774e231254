//! The mapping between typed fields of requests and answers and HTTP messages.
//!
//! The gateway decides on typed fields. A dialect defines which header or body field carries each
//! of them: it is a set of functions that a front end of the product passes in at the start.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Method};
use oriolepass_routing::{DocumentProblem, RoutingDocument};
use oriolepass_units::{AccountId, EndpointId, EndpointStart, PromptPartId, RequestRate};

/// The fields that a caller's request carries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestFacts {
    /// The caller's id for this attempt.
    pub id: Option<String>,
    /// The time within which the caller wants the answer.
    pub deadline: Option<Duration>,
    /// The key that the caller presents.
    pub key: Option<String>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// The maximum number of tokens of the answer.
    pub max_answer_tokens: Option<u64>,
    /// The caller's estimate of the number of tokens of the answer.
    pub expected_answer_tokens: Option<u64>,
    /// The number of the last stream event that the caller has received.
    pub resume_after: Option<u64>,
    /// The parts of the prompt that other prompts may share, in order.
    pub shared_parts: Vec<PromptPartId>,
    /// The part of the prompt that belongs to this request or its session.
    pub own_part: Option<PromptPartId>,
}

/// A helper: an engine that reads a part of a prompt, as described to the engine that generates
/// the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelperAddress {
    /// The address at which the helper listens.
    pub address: SocketAddr,
    /// The reservation that the prompt uses on the helper.
    pub reservation: Option<String>,
}

/// The fields that the gateway adds to a request for an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct SendFacts {
    /// The time that is left until the caller's deadline.
    pub deadline: Duration,
    /// The start of the endpoint that the request is addressed to.
    pub endpoint: EndpointStart,
    /// The client account that the caller's key belongs to.
    pub account: Option<AccountId>,
    /// The priority at an engine: 0 is the highest, 9 the lowest.
    pub engine_priority: Option<u8>,
    /// The helpers that read parts of the prompt.
    pub helpers: Vec<HelperAddress>,
    /// The number of the last stream event that the caller has received.
    pub resume_after: Option<u64>,
}

/// What an endpoint's answer states about a limit on its request rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitStatement {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// The answer names the request rate that the endpoint takes from all instances together.
    Limited(RequestRate),
    /// The answer names a limit that cannot be read.
    Unreadable,
}

/// What an endpoint's answer states about a rest: a time in which the endpoint wants no requests from
/// this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RestStatement {
    /// The answer asks for no rest.
    #[default]
    None,
    /// The answer asks for a rest of this length.
    For(Duration),
    /// The answer asks for a rest whose length cannot be read.
    Unreadable,
}

/// The fields that an endpoint's answer carries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerFacts {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the endpoint has signed the answer.
    pub is_signed: bool,
    /// Whether the answer states that the request has not run and will not run.
    pub was_not_run: bool,
    /// The address of the endpoint that caused the failure, if the answer names it.
    pub culprit: Option<SocketAddr>,
    /// What the answer states about the endpoint's limit.
    pub limit: LimitStatement,
    /// What the answer states about a rest, if its status turns the request away.
    pub rest: RestStatement,
    /// Whether the answer states that the endpoint leaves.
    pub is_leaving: bool,
    /// The endpoint that the answer names as its own.
    pub answered_by: Option<EndpointId>,
}

/// An endpoint's answer to a reservation of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// The memory is reserved.
    Held,
    /// The endpoint has not enough memory.
    Lacking,
    /// The endpoint did not understand the call, or another endpoint has the address.
    Refused,
}

/// A call to an endpoint's own interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: Cow<'static, str>,
    /// The body, in JSON; empty if the call has none.
    pub body: Bytes,
}

/// A call that tells whether the process at an endpoint's address is a certain start.
#[derive(Debug, Clone, PartialEq)]
pub struct StartQuestion {
    /// The call.
    pub call: EndpointCall,
    /// The headers that name the start.
    pub headers: HeaderMap,
    /// Whether any other start turns the call away. Otherwise only an answer that names the start
    /// proves it.
    pub is_refused_by_others: bool,
}

/// The functions that read and write the fields.
#[derive(Clone, Copy)]
pub struct WireDialect {
    /// Decodes an operator's routing document.
    pub decode_document: fn(&[u8]) -> Result<RoutingDocument, DocumentProblem>,
    /// Reads the fields of a caller's request.
    pub read_request: fn(&HeaderMap) -> RequestFacts,
    /// Removes the headers that only the gateway may send to an endpoint, and the caller's key.
    pub strip_request: fn(&mut HeaderMap, needs_key: bool),
    /// Writes the fields that the gateway adds for an endpoint.
    pub write_send: fn(&SendFacts, &mut HeaderMap),
    /// Reads the fields of an endpoint's answer.
    pub read_answer: fn(&HeaderMap) -> AnswerFacts,
    /// Returns whether a header is end-to-end even if the caller lists it in the Connection header
    /// as hop-by-hop.
    pub is_essential: fn(&HeaderName) -> bool,
    /// Builds the call that reserves memory, from the reservation's id, its tokens and how long it
    /// is held.
    pub reserve: fn(&str, u64, Duration) -> EndpointCall,
    /// Builds the call that releases a reservation.
    pub release: fn(&str) -> EndpointCall,
    /// Interprets the status of the answer to a reservation.
    pub read_reservation: fn(u16) -> ReservationAnswer,
    /// Builds the call that asks an engine whether it is a certain start. It changes nothing there, and an
    /// engine without a free slot answers it as well.
    pub ask_engine_start: fn(&EndpointStart) -> StartQuestion,
    /// Builds the same call for an endpoint that is no engine, from the path of its health check.
    pub ask_endpoint_start: fn(&EndpointStart, health_path: &str) -> StartQuestion,
}
