//! What endpoints announce, and what the system asks of them.
//!
//! Every message of an endpoint carries its incarnation, so that what a restarted endpoint's
//! earlier life had to say is told from the present one.

use std::net::SocketAddr;
use std::sync::Arc;

use oriolepass_units::{
    AttemptId, DataCentreId, EndpointId, FencingNumber, Incarnation, ModelId, PrefixHash,
    ServiceName, TokenCount, TokenRate,
};
use serde::{Deserialize, Serialize};

use crate::caller::PromptBody;

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// The models loaded.
        models: Vec<ModelId>,
        /// Memory for KV cache.
        memory: TokenCount,
        /// Prompt tokens processed a second by an otherwise empty engine.
        prefill_rate: TokenRate,
    },
    /// A plain service.
    Service {
        /// The name that callers use.
        service: ServiceName,
        /// How many calls it takes at a time.
        concurrency: u32,
    },
}

/// `POST /v1/endpoints/announce`: an endpoint makes itself known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it takes work.
    pub address: SocketAddr,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Milliseconds since it last sent a heartbeat to another home that has not released it;
    /// absent where there is none. The new home waits until the other has certainly stopped.
    #[serde(default)]
    pub other_home_ms: Option<u64>,
    /// What it serves.
    #[serde(flatten)]
    pub kind: EndpointKind,
}

/// The answer to a heartbeat, to cache events and to a leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Whether this daemon is the endpoint's home and knows it. Otherwise the endpoint
    /// announces itself again.
    pub accepted: bool,
    /// Whether this daemon was its home and has let it go: it grants nothing there any more.
    pub released: bool,
    /// The home's address for endpoints, if another daemon is it.
    pub home: Option<SocketAddr>,
}

/// The answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementAnswer {
    /// Whether this daemon is the endpoint's home and has taken it in. Otherwise the endpoint
    /// announces itself at `home`.
    pub accepted: bool,
    /// The home's address for endpoints; absent while no home is known.
    pub home: Option<SocketAddr>,
    /// The time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

/// `POST /v1/endpoints/heartbeat`: a sign of life with the load, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointHeartbeat {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Memory in use.
    pub used: TokenCount,
    /// Prompt tokens accepted and not yet processed.
    pub prefill_backlog: TokenCount,
    /// Streams that produce tokens.
    pub streams: u32,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The prefix is cached now.
    Stored(PrefixHash),
    /// The prefix is cached no longer.
    Evicted(PrefixHash),
}

/// `POST /v1/endpoints/cache-events`: changes of the prefix cache, late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// The sequence number of the first change; a jump means that some were lost.
    pub first_sequence: u64,
    /// The changes.
    pub changes: Vec<CacheChange>,
}

/// `POST /v1/endpoints/leave`: the endpoint takes no new work from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLeave {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its present life.
    pub incarnation: Incarnation,
}

/// `POST /v1/attempts` on an engine: run a prompt; answered with [`StreamLine`]s.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCall {
    /// The attempt; every line of the answer echoes it.
    pub attempt: AttemptId,
    /// The model.
    pub model: ModelId,
    /// The prompt; shared, since a long one must not be copied for every attempt.
    pub prompt: Arc<PromptBody>,
    /// The most tokens of answer.
    pub max_tokens: u64,
    /// Memory set aside on this engine.
    pub reserved: TokenCount,
    /// Prompts with a larger number are processed first.
    pub priority: u8,
    /// Tokens of the answer that the caller already has; the engine goes on after them.
    pub resume_from: u64,
    /// Their text. The digest at the end covers it as well.
    pub resume_text: String,
    /// The other engines that hold a part of the prompt, by their addresses.
    pub helpers: Vec<SocketAddr>,
}

/// `POST /v1/parts` on an engine: hold memory for a part of a prompt that another one leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// Memory set aside on this engine.
    pub reserved: TokenCount,
}

/// One line of an engine's answer, as a server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "lowercase")]
pub enum StreamLine {
    /// The next token of the answer.
    Token {
        /// The attempt that it belongs to.
        attempt: AttemptId,
        /// Its position in the answer, counted from 0.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The explicit end.
    End {
        /// The attempt that it belongs to.
        attempt: AttemptId,
        /// Tokens in the whole answer, those before `resume_from` included.
        tokens: u64,
        /// SHA-256 of the whole answer.
        digest: String,
        /// Why it ended.
        finish_reason: String,
    },
    /// The engine gave up.
    Failed {
        /// The attempt that it belongs to.
        attempt: AttemptId,
        /// Whether the engine did any of the work.
        ran: bool,
        /// The reason.
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

/// One entry of `GET /v1/streams` on an engine: something that holds memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStream {
    /// The attempt.
    pub attempt: AttemptId,
    /// Memory it holds.
    pub reserved: TokenCount,
}

/// The answer of `GET /v1/streams`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStreams {
    /// Everything that holds memory.
    pub streams: Vec<HeldStream>,
}

/// What an order asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel {
        /// The model.
        model: ModelId,
    },
    /// Drop a model.
    UnloadModel {
        /// The model.
        model: ModelId,
    },
}

/// `POST /v1/orders` on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOrder {
    /// Names the order; the same one again changes nothing.
    pub order_id: String,
    /// The issuer's fencing number.
    pub fencing: FencingNumber,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The header in which a plain service receives the attempt id and echoes it.
pub const ATTEMPT_HEADER: &str = "x-oriolepass-attempt";

/// The header with which a plain service says that it refused a call without acting on it.
pub const NOT_RUN_HEADER: &str = "x-oriolepass-not-run";
