//! What callers send and receive.

use oriolepass_units::{CallerKey, DataCentreId, InstanceId, ModelId, TokenCount};
use serde::{Deserialize, Serialize};

use crate::error::RanState;

/// Bytes of text counted as one token where the prompt comes as text.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens of answer where the caller names no number.
pub const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// A prompt: text or token numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PromptBody {
    /// Plain text.
    Text(String),
    /// Token numbers.
    Tokens(Vec<u32>),
}

impl PromptBody {
    /// Returns the prompt's length; text counts one token for each [`BYTES_PER_TOKEN`] bytes.
    pub fn tokens(&self) -> TokenCount {
        let count = match self {
            Self::Text(text) => text.len().div_ceil(BYTES_PER_TOKEN),
            Self::Tokens(tokens) => tokens.len(),
        };
        TokenCount(count.max(1) as u64)
    }
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// How urgent a request is within its account.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RequestPriority {
    /// After everything else of the account.
    Low,
    /// The usual.
    #[default]
    Normal,
    /// Before everything else of the account.
    High,
}

fn repeatable_by_default() -> bool {
    true
}

/// The fields of a completion call that are not the prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionOptions {
    /// The model.
    pub model: ModelId,
    /// The most tokens of answer.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// How urgent it is.
    #[serde(default)]
    pub priority: RequestPriority,
    /// The time it may take, in milliseconds from its arrival.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once.
    #[serde(default = "repeatable_by_default")]
    pub repeatable: bool,
    /// Names the request for resends; needed where it may not be repeated.
    #[serde(default)]
    pub caller_key: Option<CallerKey>,
}

/// The body of `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionCall {
    /// The prompt.
    pub prompt: PromptBody,
    /// Everything else.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCall {
    /// The messages so far.
    pub messages: Vec<ChatMessage>,
    /// Everything else.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

impl From<ChatCall> for CompletionCall {
    /// Joins the messages into one prompt, each under its role.
    fn from(call: ChatCall) -> Self {
        let joined = call.messages.iter().fold(String::new(), |mut text, message| {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content);
            text.push('\n');
            text
        });
        Self { prompt: PromptBody::Text(joined), options: call.options }
    }
}

/// One choice of an answer; oriolepass always gives one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// The text, or the next piece of it.
    pub text: String,
    /// Why the answer ended; absent while it goes on.
    pub finish_reason: Option<String>,
}

/// What an answer used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of answer.
    pub completion_tokens: TokenCount,
}

/// What lets a caller check that an answer is whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerProof {
    /// SHA-256 of the answer's text.
    pub digest: String,
    /// How often it was tried on an endpoint.
    pub attempts: u32,
    /// Whether it ran; always `yes` in a whole answer.
    pub ran: RanState,
    /// Whether this is the kept answer of an earlier request with the same caller key.
    #[serde(default)]
    pub kept: bool,
}

/// An answer, or one piece of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionAnswer {
    /// The request's id.
    pub id: String,
    /// The kind of object, as callers' libraries expect.
    pub object: String,
    /// The model.
    pub model: ModelId,
    /// The text.
    pub choices: Vec<CompletionChoice>,
    /// Present in a whole answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<TokenUsage>,
    /// Present in a whole answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub oriolepass: Option<AnswerProof>,
}

/// The next piece of a chat's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Who speaks; the system always answers as the assistant.
    pub role: String,
    /// The text.
    pub content: String,
}

/// One choice of a chat's answer: a whole message, or the next piece of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The whole message, where the answer is not streamed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub message: Option<ChatMessage>,
    /// The next piece, where it is.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub delta: Option<ChatDelta>,
    /// Why the answer ended; absent while it goes on.
    pub finish_reason: Option<String>,
}

/// A chat's answer, or one piece of a streamed one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// The request's id.
    pub id: String,
    /// The kind of object, as callers' libraries expect.
    pub object: String,
    /// The model.
    pub model: ModelId,
    /// The message or its piece.
    pub choices: Vec<ChatChoice>,
    /// Present in a whole answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<TokenUsage>,
    /// Present in a whole answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub oriolepass: Option<AnswerProof>,
}

/// A completion as it is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptCompletion {
    /// The text.
    pub text: String,
    /// Its tokens.
    pub tokens: TokenCount,
    /// SHA-256 of the text.
    pub digest: String,
    /// Why it ended.
    pub finish_reason: String,
}

impl KeptCompletion {
    /// Writes it as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// One address in the answer of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect, as `IP:PORT`.
    pub address: std::net::SocketAddr,
}

/// The answer of `GET /v1/addresses`: the best address first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// The addresses, best first.
    pub addresses: Vec<EntryAddress>,
    /// How long to keep this answer, in milliseconds.
    pub keep_ms: u64,
}
