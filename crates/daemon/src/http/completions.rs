//! Handlers of completion calls.

use std::sync::Arc;

use bytes::Bytes;
use gotham::hyper::Response;
use gotham::state::State;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oriolepass_config::KeptAnswer;
use oriolepass_request::RequestOutcome;
use oriolepass_scheduler::WorkTarget;
use oriolepass_schema::caller::{
    AnswerProof, ChatAnswer, ChatCall, ChatChoice, ChatDelta, ChatMessage, CompletionAnswer,
    CompletionCall, CompletionChoice, CompletionOptions, DEFAULT_ANSWER_TOKENS, KeptCompletion,
    TokenUsage,
};
use oriolepass_schema::digest::sha256_hex;
use oriolepass_schema::error::{ApiError, ErrorBody, ErrorCode, RanState};
use oriolepass_units::TokenCount;
use serde::Serialize;
use tokio::sync::mpsc;

use super::body::{parse, read_caller_body};
use super::callers::{Admission, admit, deadline};
use super::{HttpResponse, answer};
use crate::entry::{CallerEvent, ClaimSpec, EntryRequest, WorkBody, start_request};
use crate::shared::DaemonShared;

/// `POST /v1/completions`.
pub(super) async fn complete(shared: Arc<DaemonShared>, mut state: State) -> (State, HttpResponse) {
    let result = serve(&shared, &mut state, AnswerShape::Text, parse::<CompletionCall>).await;
    answer::respond(state, result).await
}

/// `POST /v1/chat/completions`.
pub(super) async fn chat(shared: Arc<DaemonShared>, mut state: State) -> (State, HttpResponse) {
    let read = |bytes: &[u8]| parse::<ChatCall>(bytes).map(CompletionCall::from);
    let result = serve(&shared, &mut state, AnswerShape::Chat, read).await;
    answer::respond(state, result).await
}

async fn serve(
    shared: &Arc<DaemonShared>,
    state: &mut State,
    shape: AnswerShape,
    read: impl Fn(&[u8]) -> Result<CompletionCall, ApiError>,
) -> Result<HttpResponse, ApiError> {
    let admission = admit(shared, state)?;
    let body = read_caller_body(shared, state).await?;
    let call = read(&body.bytes)?;
    let body_digest = sha256_hex(&body.bytes);
    // The raw body is no longer needed. Its byte count stands for the prompt in `call` until the
    // request has started and the body is dropped.
    let frame = AnswerFrame {
        shape,
        id: format!("req-{}", shared.next_attempt_id()),
        options: call.options.clone(),
        prompt_tokens: call.prompt.tokens(),
    };
    let request = entry_request(shared, &admission, call, body_digest)?;
    let mut events = start_request(shared, request);
    drop(body);
    let first = events.recv().await;
    Ok(match first {
        Some(CallerEvent::Finished(outcome)) if matches!(*outcome, RequestOutcome::Failed(_)) => {
            whole_answer(&frame, CallerEvent::Finished(outcome), events).await
        }
        Some(first) if frame.options.stream => stream_answer(frame, first, events),
        Some(first) => whole_answer(&frame, first, events).await,
        None => answer::error(&task_ended()),
    })
}

fn task_ended() -> ApiError {
    ApiError::new(ErrorCode::Internal, RanState::Unknown, "the request's task has ended")
}

/// Checks a call against the limits and converts it into a request.
fn entry_request(
    shared: &DaemonShared,
    admission: &Admission,
    call: CompletionCall,
    body_digest: String,
) -> Result<EntryRequest, ApiError> {
    let CompletionCall { prompt, options } = call;
    let limits = &shared.settings.limits;
    let refuse = |code, detail: String| Err(ApiError::not_run(code, detail));
    let prompt_tokens = prompt.tokens();
    let Some(model_limit) = shared.view.read().model_limit(&options.model) else {
        return refuse(ErrorCode::NotFound, format!("there is no model {}", options.model));
    };
    let most = model_limit.0.min(limits.max_prompt_tokens);
    if prompt_tokens.0 > most {
        return refuse(
            ErrorCode::TooLarge,
            format!("the prompt has {prompt_tokens} tokens, but at most {most}"),
        );
    }
    let answer_tokens = options.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    if answer_tokens == 0 || answer_tokens > limits.max_answer_tokens {
        return refuse(
            ErrorCode::Malformed,
            format!("max_tokens is {answer_tokens}, not 1 to {}", limits.max_answer_tokens),
        );
    }
    let claim = match (options.repeatable, options.caller_key) {
        (true, _) => None,
        (false, Some(key)) => Some(ClaimSpec { key, body_digest }),
        (false, None) => {
            let detail = "a request that must not be repeated needs a caller_key".to_owned();
            return refuse(ErrorCode::Malformed, detail);
        }
    };
    Ok(EntryRequest {
        account: admission.account.clone(),
        target: WorkTarget::Model(options.model),
        body: WorkBody::Prompt(Arc::new(prompt)),
        prompt_tokens,
        answer_tokens: TokenCount(answer_tokens),
        priority: options.priority,
        arrived: admission.arrived,
        deadline: deadline(shared, admission.arrived, options.deadline_ms)?,
        claim,
    })
}

/// The format of an answer, which depends on the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerShape {
    Text,
    Chat,
}

/// The fields that all pieces of an answer have in common.
struct AnswerFrame {
    shape: AnswerShape,
    id: String,
    options: CompletionOptions,
    prompt_tokens: TokenCount,
}

/// A piece of an answer, or a whole answer, in the format of its call.
#[derive(Serialize)]
#[serde(untagged)]
enum ShapedAnswer {
    Text(CompletionAnswer),
    Chat(ChatAnswer),
}

impl AnswerFrame {
    /// Formats a text. `end` is present with the last piece.
    fn shape(&self, text: String, end: Option<&AnswerEnd>) -> ShapedAnswer {
        let finish_reason = end.map(|end| end.finish_reason.clone());
        let usage = end.map(|end| TokenUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: end.tokens,
        });
        let proof = end.map(|end| AnswerProof {
            digest: end.digest.clone(),
            attempts: end.attempts,
            ran: RanState::Yes,
            kept: end.kept,
        });
        let (id, model) = (self.id.clone(), self.options.model.clone());
        match self.shape {
            AnswerShape::Text => ShapedAnswer::Text(CompletionAnswer {
                id,
                object: "text_completion".to_owned(),
                model,
                choices: vec![CompletionChoice { index: 0, text, finish_reason }],
                usage,
                oriolepass: proof,
            }),
            AnswerShape::Chat => ShapedAnswer::Chat(ChatAnswer {
                id,
                object: self.chat_object().to_owned(),
                model,
                choices: vec![self.chat_choice(text, finish_reason)],
                usage,
                oriolepass: proof,
            }),
        }
    }

    fn chat_object(&self) -> &'static str {
        if self.options.stream { "chat.completion.chunk" } else { "chat.completion" }
    }

    fn chat_choice(&self, content: String, finish_reason: Option<String>) -> ChatChoice {
        let role = "assistant".to_owned();
        let (message, delta) = if self.options.stream {
            (None, Some(ChatDelta { role, content }))
        } else {
            (Some(ChatMessage { role, content }), None)
        };
        ChatChoice { index: 0, message, delta, finish_reason }
    }
}

/// How an answer ended.
struct AnswerEnd {
    tokens: TokenCount,
    digest: String,
    finish_reason: String,
    attempts: u32,
    kept: bool,
}

/// Splits an outcome into the text that is still to be delivered and the end of the answer.
fn end_of(outcome: RequestOutcome) -> Result<(String, AnswerEnd), ApiError> {
    match outcome {
        RequestOutcome::Done { tokens, digest, finish_reason, attempts } => {
            let tokens = TokenCount(tokens);
            let end = AnswerEnd { tokens, digest, finish_reason, attempts, kept: false };
            Ok((String::new(), end))
        }
        RequestOutcome::Kept(kept) => kept_end(&kept),
        RequestOutcome::Failed(error) => Err(error),
    }
}

fn kept_end(kept: &KeptAnswer) -> Result<(String, AnswerEnd), ApiError> {
    let body = kept.body.as_deref().unwrap_or_default();
    let completion: KeptCompletion = serde_json::from_slice(body).map_err(|_| {
        let detail = "the key names a call of another kind";
        ApiError::not_run(ErrorCode::CallerKeyReused, detail)
    })?;
    let end = AnswerEnd {
        tokens: completion.tokens,
        digest: completion.digest,
        finish_reason: completion.finish_reason,
        attempts: 0,
        kept: true,
    };
    Ok((completion.text, end))
}

/// Collects all pieces of an answer and returns them in a single response.
async fn whole_answer(
    frame: &AnswerFrame,
    first: CallerEvent,
    mut events: mpsc::Receiver<CallerEvent>,
) -> HttpResponse {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            CallerEvent::Piece(piece) => text.push_str(&piece),
            CallerEvent::ServiceHead(_) => {}
            CallerEvent::Finished(outcome) => {
                return match end_of(*outcome) {
                    Ok((rest, end)) => {
                        text.push_str(&rest);
                        answer::json(&frame.shape(text, Some(&end)))
                    }
                    Err(error) => answer::error(&error),
                };
            }
        }
        next = events.recv().await;
    }
    answer::error(&task_ended())
}

/// Streams an answer as server-sent events. Only a complete answer ends with `[DONE]`.
fn stream_answer(
    frame: AnswerFrame,
    first: CallerEvent,
    events: mpsc::Receiver<CallerEvent>,
) -> HttpResponse {
    let start = (Some(first), Some(events), frame);
    let frames = futures::stream::unfold(start, |(next, events, frame)| async move {
        let mut events = events?;
        let event = match next {
            Some(event) => event,
            None => events.recv().await?,
        };
        let (bytes, last) = encode_event(&frame, event);
        let events = (!last).then_some(events);
        Some((Ok::<_, std::io::Error>(Frame::data(bytes)), (None, events, frame)))
    });
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-cache")
        .body(BodyExt::boxed_unsync(StreamBody::new(frames)))
        .expect("plain headers")
}

/// Encodes an event. Also returns whether it is the last event of the answer.
fn encode_event(frame: &AnswerFrame, event: CallerEvent) -> (Bytes, bool) {
    match event {
        CallerEvent::Piece(text) => (sse(&frame.shape(text, None)), false),
        CallerEvent::ServiceHead(_) => (Bytes::new(), false),
        CallerEvent::Finished(outcome) => match end_of(*outcome) {
            Ok((text, end)) => {
                let mut bytes = sse(&frame.shape(text, Some(&end))).to_vec();
                bytes.extend_from_slice(b"data: [DONE]\n\n");
                (bytes.into(), true)
            }
            Err(error) => (sse(&ErrorBody { error }), true),
        },
    }
}

fn sse<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    serde_json::to_writer(&mut bytes, value).expect("an answer always serialises");
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}
