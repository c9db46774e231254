//! Messages between endpoints and daemons.
//!
//! An endpoint announces itself to its home, the one daemon that grants the use of its memory, and
//! sends heartbeats to it. Every message of an endpoint carries its incarnation, which
//! distinguishes messages of the current start from delayed messages of an earlier start.

use std::net::SocketAddr;
use std::sync::Arc;

use oriolepass_units::{
    AttemptId, DataCentreId, EndpointId, FencingNumber, Incarnation, ModelId, PrefixHash,
    ServiceName, TokenCount, TokenRate,
};
use serde::{Deserialize, Serialize};

use crate::caller::PromptBody;

/// The kind of work that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// The loaded models.
        models: Vec<ModelId>,
        /// The memory for the KV cache, in tokens.
        memory: TokenCount,
        /// The number of prompt tokens per second that an otherwise idle engine processes.
        prefill_rate: TokenRate,
    },
    /// A plain service.
    Service {
        /// The name under which callers address the service.
        service: ServiceName,
        /// The maximum number of concurrent calls.
        concurrency: u32,
    },
}

/// The body of `POST /v1/endpoints/announce`: an endpoint registers with its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's current incarnation.
    pub incarnation: Incarnation,
    /// The endpoint's data centre.
    pub data_centre: DataCentreId,
    /// The address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// The time since the endpoint last sent a heartbeat to another home that has not released it,
    /// in milliseconds; absent if there is no such home. The new home waits until the other home
    /// is certain to have stopped granting the endpoint's memory.
    #[serde(default)]
    pub other_home_ms: Option<u64>,
    /// The kind of work that the endpoint serves.
    #[serde(flatten)]
    pub kind: EndpointKind,
}

/// The answer to a heartbeat, to cache events and to a leave message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Whether this daemon is the endpoint's home and has it registered. Otherwise the endpoint
    /// must announce itself again.
    pub accepted: bool,
    /// Whether this daemon was the endpoint's home and has released it. A daemon grants no memory
    /// of a released endpoint.
    pub released: bool,
    /// The home's address for endpoints, if the home is another daemon.
    pub home: Option<SocketAddr>,
}

/// The answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementAnswer {
    /// Whether this daemon is the endpoint's home and has registered it. Otherwise the endpoint
    /// must announce itself at `home`.
    pub accepted: bool,
    /// The home's address for endpoints; absent if no home is known.
    pub home: Option<SocketAddr>,
    /// The interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

/// The body of `POST /v1/endpoints/heartbeat`: a liveness signal with the endpoint's load, which
/// may be outdated on arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointHeartbeat {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's current incarnation.
    pub incarnation: Incarnation,
    /// The memory in use.
    pub used: TokenCount,
    /// The number of prompt tokens that are accepted but not yet processed.
    pub prefill_backlog: TokenCount,
    /// The number of streams that produce tokens.
    pub streams: u32,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The prefix was added to the cache.
    Stored(PrefixHash),
    /// The prefix was removed from the cache.
    Evicted(PrefixHash),
}

/// The body of `POST /v1/endpoints/cache-events`: changes of the prefix cache, which may arrive
/// late or with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's current incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the first change; a gap to the previous message means that changes
    /// were lost.
    pub first_sequence: u64,
    /// The changes, in order.
    pub changes: Vec<CacheChange>,
}

/// The body of `POST /v1/endpoints/leave`: the endpoint accepts no new work from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLeave {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's current incarnation.
    pub incarnation: Incarnation,
}

/// The body of `POST /v1/attempts` on an engine, which runs a prompt and answers with a stream of
/// [`StreamLine`]s.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCall {
    /// The id of the attempt; every line of the answer repeats it.
    pub attempt: AttemptId,
    /// The model to run.
    pub model: ModelId,
    /// The prompt; shared, because a long prompt must not be copied for every attempt.
    pub prompt: Arc<PromptBody>,
    /// The maximum number of answer tokens.
    pub max_tokens: u64,
    /// The memory reserved on this engine.
    pub reserved: TokenCount,
    /// The priority; prompts with a larger number are processed first.
    pub priority: u8,
    /// The number of answer tokens that the caller already has; the engine continues after them.
    pub resume_from: u64,
    /// The text of these tokens. The digest at the end of the answer covers it as well.
    pub resume_text: String,
    /// The addresses of the other engines that hold a part of the prompt.
    pub helpers: Vec<SocketAddr>,
}

/// The body of `POST /v1/parts` on an engine, which holds memory for a part of a prompt whose
/// attempt runs on another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCall {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The memory reserved on this engine.
    pub reserved: TokenCount,
}

/// One line of an engine's answer, sent as a server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "lowercase")]
pub enum StreamLine {
    /// The next token of the answer.
    Token {
        /// The attempt that the line belongs to.
        attempt: AttemptId,
        /// The position of the token in the answer, counted from 0.
        index: u64,
        /// The text of the token.
        text: String,
    },
    /// The explicit end of the answer.
    End {
        /// The attempt that the line belongs to.
        attempt: AttemptId,
        /// The number of tokens of the complete answer, including those before `resume_from`.
        tokens: u64,
        /// SHA-256 of the complete answer.
        digest: String,
        /// The reason that the answer ended.
        finish_reason: String,
    },
    /// The engine stopped the attempt without completing the answer.
    Failed {
        /// The attempt that the line belongs to.
        attempt: AttemptId,
        /// Whether the engine executed any part of the request.
        ran: bool,
        /// The reason for the failure.
        message: String,
    },
}

impl StreamLine {
    /// Returns the attempt that the line belongs to.
    pub fn attempt(&self) -> &AttemptId {
        match self {
            Self::Token { attempt, .. }
            | Self::End { attempt, .. }
            | Self::Failed { attempt, .. } => attempt,
        }
    }
}

/// One entry of `GET /v1/streams` on an engine: an attempt that holds memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStream {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The memory that the attempt holds.
    pub reserved: TokenCount,
}

/// The answer to `GET /v1/streams`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStreams {
    /// All attempts that hold memory.
    pub streams: Vec<HeldStream>,
}

/// The action that an order requests from an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel {
        /// The id of the model.
        model: ModelId,
    },
    /// Unload a model.
    UnloadModel {
        /// The id of the model.
        model: ModelId,
    },
}

/// The body of `POST /v1/orders` on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOrder {
    /// Identifies the order; repeating an order has no effect.
    pub order_id: String,
    /// The fencing number of the issuer.
    pub fencing: FencingNumber,
    /// The requested action.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The header that carries the attempt id to a plain service and back.
pub const ATTEMPT_HEADER: &str = "x-oriolepass-attempt";

/// The header with which a plain service reports that it rejected a call without acting on it.
pub const NOT_RUN_HEADER: &str = "x-oriolepass-not-run";
