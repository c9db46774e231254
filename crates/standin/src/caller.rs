//! A caller that checks the answers that it receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use oriolepass_schema::caller::{AddressList, CompletionAnswer, PromptBody};
use oriolepass_schema::digest::sha256_hex;
use oriolepass_schema::endpoint::{AttemptCall, StreamLine};
use oriolepass_schema::error::{ApiError, ErrorBody};
use oriolepass_units::{AttemptId, TokenCount};

use crate::answer::answer_text;
use crate::http::{HttpClient, client, request, send};

/// Why a call returned no complete and correct answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerError {
    /// The system returned an error.
    Api(ApiError),
    /// The connection could not be established, or broke.
    Connection(String),
    /// The stream stopped before its end marker.
    Truncated,
    /// The answer does not belong to this prompt or cannot be parsed.
    Wrong(String),
}

/// A complete answer that passed all checks.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// Time from sending the request to the first token.
    pub first_token: Duration,
    /// Time from sending the request to the end of the answer.
    pub total: Duration,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Number of attempts that the system made.
    pub attempts: u32,
}

/// A plain service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// A prompt to send.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: PromptBody,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
    /// The time allowed for the request.
    pub deadline: Duration,
    /// The caller key, which marks the request as one that must not run twice.
    pub caller_key: Option<String>,
}

/// A caller with the API key of an account.
#[derive(Clone)]
pub struct TestCaller {
    client: HttpClient,
    key: String,
}

impl TestCaller {
    /// Creates a caller that sends the given API key.
    pub fn new(key: &str) -> Self {
        Self { client: client(), key: key.to_owned() }
    }

    /// Asks a daemon for the addresses that callers can use.
    ///
    /// # Errors
    ///
    /// Returns the error that the daemon or the connection gave.
    pub async fn addresses(&self, daemon: SocketAddr) -> Result<AddressList, CallerError> {
        let sent =
            send(&self.client, daemon, "GET", "/v1/addresses", Some(&self.key), &[], String::new());
        let answer = sent.await.map_err(CallerError::Connection)?;
        serde_json::from_str(&answer.body).map_err(|_| api_error(&answer.body))
    }

    /// Sends a prompt, reads the streamed answer and checks that it is complete and correct.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or the answer fails a check.
    pub async fn complete(
        &self,
        address: SocketAddr,
        call: &CompletionRequest,
    ) -> Result<CallerReply, CallerError> {
        let started = Instant::now();
        let body = completion_body(call, true);
        let sent = request(address, "POST", "/v1/completions", Some(&self.key), &[], body);
        let response = self
            .client
            .request(sent)
            .await
            .map_err(|error| CallerError::Connection(format!("{error:?}")))?;
        let status = response.status().as_u16();
        let mut reader = StreamReader::default();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CallerError::Connection(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                reader.push(&data, started);
            }
        }
        if status != 200 {
            return Err(api_error(&String::from_utf8_lossy(&reader.raw)));
        }
        reader.finish(call, started)
    }

    /// Sends a prompt directly to an engine, as the baseline of the benchmarks.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or the answer fails a check.
    pub async fn complete_direct(
        &self,
        engine: SocketAddr,
        attempt: AttemptId,
        call: &CompletionRequest,
    ) -> Result<CallerReply, CallerError> {
        let started = Instant::now();
        let body = AttemptCall {
            attempt,
            model: call.model.parse().map_err(|e| CallerError::Wrong(format!("{e}")))?,
            prompt: Arc::new(call.prompt.clone()),
            max_tokens: call.max_tokens,
            reserved: call.prompt.tokens() + TokenCount(call.max_tokens),
            priority: 3,
            resume_from: 0,
            resume_text: String::new(),
            helpers: Vec::new(),
        };
        let body = serde_json::to_string(&body).expect("the message serializes to JSON");
        let sent = request(engine, "POST", "/v1/attempts", None, &[], body);
        let connection = |error: String| CallerError::Connection(error);
        let response =
            self.client.request(sent).await.map_err(|error| connection(error.to_string()))?;
        let mut reader = DirectReader::default();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| connection(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                reader.push(&data, started);
            }
        }
        reader.finish(call, started)
    }

    /// Calls a plain service. A `caller_key` marks the call as one that must not run twice.
    ///
    /// # Errors
    ///
    /// Returns the error that the system or the connection gave.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        service: &str,
        body: &str,
        caller_key: Option<&str>,
    ) -> Result<ServiceReply, CallerError> {
        let mut headers =
            vec![("x-oriolepass-repeatable", if caller_key.is_some() { "no" } else { "yes" })];
        headers.extend(caller_key.map(|key| ("x-oriolepass-caller-key", key)));
        let path = format!("/v1/services/{service}");
        let sent =
            send(&self.client, address, "POST", &path, Some(&self.key), &headers, body.to_owned());
        let answer = sent.await.map_err(CallerError::Connection)?;
        if answer.headers.contains_key("x-oriolepass-error") {
            return Err(api_error(&answer.body));
        }
        Ok(ServiceReply { status: answer.status, body: answer.body })
    }
}

fn api_error(body: &str) -> CallerError {
    match serde_json::from_str::<ErrorBody>(body) {
        Ok(body) => CallerError::Api(body.error),
        Err(_) => {
            CallerError::Wrong(format!("response is neither an answer nor an error: {body:.200}"))
        }
    }
}

fn completion_body(call: &CompletionRequest, stream: bool) -> String {
    let mut body = serde_json::json!({
        "model": call.model,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": stream,
        "deadline_ms": u64::try_from(call.deadline.as_millis()).unwrap_or(u64::MAX),
    });
    if let Some(key) = &call.caller_key {
        body["repeatable"] = false.into();
        body["caller_key"] = key.as_str().into();
    }
    body.to_string()
}

/// Parses the event stream of an engine.
#[derive(Default)]
struct DirectReader {
    raw: Vec<u8>,
    text: String,
    first_token: Option<Duration>,
    ended: bool,
}

impl DirectReader {
    fn push(&mut self, data: &[u8], started: Instant) {
        self.raw.extend_from_slice(data);
        while let Some(length) = self.raw.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.raw.drain(..length + 2).collect();
            let line = event[..length].strip_prefix(b"data: ").unwrap_or_default();
            match serde_json::from_slice(line) {
                Ok(StreamLine::Token { text, .. }) => {
                    self.first_token.get_or_insert_with(|| started.elapsed());
                    self.text.push_str(&text);
                }
                Ok(StreamLine::End { .. }) => self.ended = true,
                _ => {}
            }
        }
    }

    fn finish(
        self,
        call: &CompletionRequest,
        started: Instant,
    ) -> Result<CallerReply, CallerError> {
        if !self.ended {
            return Err(CallerError::Truncated);
        }
        if self.text != answer_text(&call.prompt, call.max_tokens) {
            return Err(CallerError::Wrong("answer text does not match the prompt".to_owned()));
        }
        Ok(CallerReply {
            first_token: self.first_token.unwrap_or_default(),
            total: started.elapsed(),
            tokens: call.max_tokens,
            attempts: 1,
        })
    }
}

/// Parses the event stream of a completion.
#[derive(Default)]
struct StreamReader {
    raw: Vec<u8>,
    parsed: usize,
    text: String,
    first_token: Option<Duration>,
    last: Option<CompletionAnswer>,
    error: Option<ApiError>,
    done: bool,
}

impl StreamReader {
    fn push(&mut self, data: &[u8], started: Instant) {
        self.raw.extend_from_slice(data);
        while let Some(length) = self.raw[self.parsed..].windows(2).position(|pair| pair == b"\n\n")
        {
            let event = self.raw[self.parsed..self.parsed + length].to_vec();
            self.parsed += length + 2;
            self.event(&event, started);
        }
        if self.parsed > 0 && self.parsed == self.raw.len() {
            self.raw.clear();
            self.parsed = 0;
        }
    }

    fn event(&mut self, event: &[u8], started: Instant) {
        let Some(data) = event.strip_prefix(b"data: ") else { return };
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        if let Ok(answer) = serde_json::from_slice::<CompletionAnswer>(data) {
            let text = &answer.choices[0].text;
            if !text.is_empty() {
                self.first_token.get_or_insert_with(|| started.elapsed());
                self.text.push_str(text);
            }
            if answer.usage.is_some() {
                self.last = Some(answer);
            }
        } else if let Ok(body) = serde_json::from_slice::<ErrorBody>(data) {
            self.error = Some(body.error);
        }
    }

    fn finish(
        self,
        call: &CompletionRequest,
        started: Instant,
    ) -> Result<CallerReply, CallerError> {
        if let Some(error) = self.error {
            return Err(CallerError::Api(error));
        }
        let (true, Some(last)) = (self.done, self.last) else { return Err(CallerError::Truncated) };
        let (usage, extension) = (
            last.usage.expect("only an answer with usage is stored in last"),
            last.oriolepass.expect("an answer with usage carries the digest"),
        );
        if self.text != answer_text(&call.prompt, call.max_tokens) {
            return Err(CallerError::Wrong(format!(
                "answer text does not match the prompt: {:.60}",
                self.text
            )));
        }
        if extension.digest != sha256_hex(self.text.as_bytes()) {
            return Err(CallerError::Wrong("digest does not match the answer text".to_owned()));
        }
        if usage.completion_tokens.0 != call.max_tokens {
            return Err(CallerError::Wrong("token count differs from max_tokens".to_owned()));
        }
        Ok(CallerReply {
            first_token: self.first_token.unwrap_or_default(),
            total: started.elapsed(),
            tokens: usage.completion_tokens.0,
            attempts: extension.attempts,
        })
    }
}
