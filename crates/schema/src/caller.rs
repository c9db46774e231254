//! Requests and responses of the callers' API.

use oriolepass_units::{CallerKey, DataCentreId, InstanceId, ModelId, TokenCount};
use serde::{Deserialize, Serialize};

use crate::error::RanState;

/// The number of bytes that count as one token in a prompt given as text.
pub const BYTES_PER_TOKEN: usize = 4;

/// The limit of answer tokens if the call gives no `max_tokens`.
pub const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// A prompt, given as text or as token numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PromptBody {
    /// Plain text.
    Text(String),
    /// Token numbers.
    Tokens(Vec<u32>),
}

impl PromptBody {
    /// Returns the prompt's length; text counts as one token per [`BYTES_PER_TOKEN`] bytes.
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
    /// The role of the message's author.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// The priority of a request within its account.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RequestPriority {
    /// Scheduled after all other requests of the account.
    Low,
    /// The default priority.
    #[default]
    Normal,
    /// Scheduled before all other requests of the account.
    High,
}

fn repeatable_by_default() -> bool {
    true
}

/// The fields of a completion call other than the prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionOptions {
    /// The id of the model.
    pub model: ModelId,
    /// The maximum number of answer tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The priority of the request within its account.
    #[serde(default)]
    pub priority: RequestPriority,
    /// The time limit of the request, in milliseconds from its arrival.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the request may run more than once.
    #[serde(default = "repeatable_by_default")]
    pub repeatable: bool,
    /// Identifies the request when it is sent again; required if it must not run more than once.
    #[serde(default)]
    pub caller_key: Option<CallerKey>,
}

/// The body of `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionCall {
    /// The prompt.
    pub prompt: PromptBody,
    /// All other fields.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCall {
    /// The messages of the conversation so far.
    pub messages: Vec<ChatMessage>,
    /// All other fields.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

impl From<ChatCall> for CompletionCall {
    /// Joins the messages into one prompt, each prefixed by its role.
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

/// One choice of an answer; oriolepass always returns exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// The text, or the next piece of a streamed text.
    pub text: String,
    /// The reason that the answer ended; absent until then.
    pub finish_reason: Option<String>,
}

/// The token usage of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// The number of prompt tokens.
    pub prompt_tokens: TokenCount,
    /// The number of answer tokens.
    pub completion_tokens: TokenCount,
}

/// Data with which a caller verifies that an answer is complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerProof {
    /// SHA-256 of the answer's text.
    pub digest: String,
    /// The number of attempts to run the request on an endpoint.
    pub attempts: u32,
    /// Whether the request ran; always `yes` in a complete answer.
    pub ran: RanState,
    /// Whether this is the stored answer of an earlier request with the same caller key.
    #[serde(default)]
    pub kept: bool,
}

/// An answer, or one piece of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionAnswer {
    /// The id of the request.
    pub id: String,
    /// The object type that client libraries expect.
    pub object: String,
    /// The id of the model.
    pub model: ModelId,
    /// The choices, each with its text.
    pub choices: Vec<CompletionChoice>,
    /// The token usage; present in a complete answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<TokenUsage>,
    /// The proof of completeness; present in a complete answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub oriolepass: Option<AnswerProof>,
}

/// The next piece of a streamed chat answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The role of the author; always `assistant`.
    pub role: String,
    /// The text of the piece.
    pub content: String,
}

/// One choice of a chat answer: a complete message, or the next piece of a streamed message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The complete message; present if the answer is not streamed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub message: Option<ChatMessage>,
    /// The next piece of the message; present if the answer is streamed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub delta: Option<ChatDelta>,
    /// The reason that the answer ended; absent until then.
    pub finish_reason: Option<String>,
}

/// A chat answer, or one piece of a streamed chat answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// The id of the request.
    pub id: String,
    /// The object type that client libraries expect.
    pub object: String,
    /// The id of the model.
    pub model: ModelId,
    /// The choices, each with the message or a piece of it.
    pub choices: Vec<ChatChoice>,
    /// The token usage; present in a complete answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<TokenUsage>,
    /// The proof of completeness; present in a complete answer and in the last piece of a stream.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub oriolepass: Option<AnswerProof>,
}

/// A completion stored to answer requests that are sent again with the same caller key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptCompletion {
    /// The text of the answer.
    pub text: String,
    /// The number of tokens of the text.
    pub tokens: TokenCount,
    /// SHA-256 of the text.
    pub digest: String,
    /// The reason that the answer ended.
    pub finish_reason: String,
}

impl KeptCompletion {
    /// Serialises the completion as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// One address in the answer of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The address for callers, as `IP:PORT`.
    pub address: std::net::SocketAddr,
}

/// The answer to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// The addresses, in order of preference.
    pub addresses: Vec<EntryAddress>,
    /// The time for which a caller may cache this answer, in milliseconds.
    pub keep_ms: u64,
}
