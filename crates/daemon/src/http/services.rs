//! Handlers of calls to plain services.

use std::sync::Arc;

use gotham::hyper::{HeaderMap, Uri};
use gotham::state::State;
use oriolepass_config::KeptAnswer;
use oriolepass_request::RequestOutcome;
use oriolepass_scheduler::WorkTarget;
use oriolepass_schema::caller::RequestPriority;
use oriolepass_schema::digest::sha256_hex;
use oriolepass_schema::error::{ApiError, ErrorCode, RanState};
use oriolepass_units::{CallerKey, ServiceName, TokenCount};

use super::body::read_caller_body;
use super::callers::{admit, deadline};
use super::{HttpResponse, answer};
use crate::entry::{CallerEvent, ClaimSpec, EntryRequest, ServiceCall, WorkBody, start_request};
use crate::shared::DaemonShared;

/// The header that says whether the call may be repeated: `yes` or `no`. The default is `no`.
const REPEATABLE_HEADER: &str = "x-oriolepass-repeatable";

/// The header with the caller key, which identifies a call that must not be repeated.
const KEY_HEADER: &str = "x-oriolepass-caller-key";

/// The header with the time that the call may take, in milliseconds.
const DEADLINE_HEADER: &str = "x-oriolepass-deadline-ms";

/// `POST /v1/services/{name}/{path}`.
pub(super) async fn call(shared: Arc<DaemonShared>, mut state: State) -> (State, HttpResponse) {
    let result = serve(&shared, &mut state).await;
    answer::respond(state, result).await
}

fn malformed(detail: impl std::fmt::Display) -> ApiError {
    ApiError::not_run(ErrorCode::Malformed, detail)
}

async fn serve(shared: &Arc<DaemonShared>, state: &mut State) -> Result<HttpResponse, ApiError> {
    let admission = admit(shared, state)?;
    let uri = state.borrow::<Uri>().path().to_owned();
    let rest = uri.strip_prefix("/v1/services/").unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service: ServiceName = name.parse().map_err(malformed)?;
    let headers = state.borrow::<HeaderMap>().clone();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    // Without the header, a call counts as one that must not be repeated. A caller that forgets
    // the header then loses a retry; the opposite default could run a call twice and cost money.
    let repeatable = match text(REPEATABLE_HEADER) {
        Some("yes") => true,
        None | Some("no") => false,
        Some(_) => return Err(malformed(format!("{REPEATABLE_HEADER} is neither yes nor no"))),
    };
    let key = text(KEY_HEADER).map(str::parse::<CallerKey>).transpose().map_err(malformed)?;
    let asked_ms = text(DEADLINE_HEADER)
        .map(|value| value.parse().map_err(|_| malformed(format!("{DEADLINE_HEADER}: {value:?}"))))
        .transpose()?;
    let content_type = text("content-type").unwrap_or("application/octet-stream").to_owned();
    let body = read_caller_body(shared, state).await?;
    let claim = match (repeatable, key) {
        (true, _) => None,
        (false, Some(key)) => {
            let mut content = format!("{service}/{path}\n").into_bytes();
            content.extend_from_slice(&body.bytes);
            Some(ClaimSpec { key, body_digest: sha256_hex(&content) })
        }
        (false, None) => {
            let detail = format!(
                "a call that must not be repeated needs {KEY_HEADER}; for one that may, send \
                 {REPEATABLE_HEADER}: yes"
            );
            return Err(malformed(detail));
        }
    };
    let request = EntryRequest {
        account: admission.account.clone(),
        target: WorkTarget::Service(service),
        body: WorkBody::Service(ServiceCall {
            path: path.to_owned(),
            content_type,
            body: body.bytes.clone(),
            repeatable,
        }),
        prompt_tokens: TokenCount(1),
        answer_tokens: TokenCount::ZERO,
        priority: RequestPriority::Normal,
        arrived: admission.arrived,
        deadline: deadline(shared, admission.arrived, asked_ms)?,
        claim,
    };
    let mut events = start_request(shared, request);
    let mut head: Option<KeptAnswer> = None;
    let mut text = String::new();
    while let Some(event) = events.recv().await {
        match event {
            CallerEvent::ServiceHead(kept) => head = Some(*kept),
            CallerEvent::Piece(piece) => text.push_str(&piece),
            CallerEvent::Finished(outcome) => return answer_of(*outcome, head, text),
        }
    }
    Err(task_ended())
}

fn answer_of(
    outcome: RequestOutcome,
    head: Option<KeptAnswer>,
    text: String,
) -> Result<HttpResponse, ApiError> {
    match outcome {
        RequestOutcome::Failed(error) => Err(error),
        RequestOutcome::Kept(kept) => {
            let body = kept.body.unwrap_or_default();
            Ok(answer::raw(kept.status, &kept.content_type, body))
        }
        RequestOutcome::Done { .. } => {
            let head = head.ok_or_else(task_ended)?;
            Ok(answer::raw(head.status, &head.content_type, text))
        }
    }
}

fn task_ended() -> ApiError {
    ApiError::new(ErrorCode::Internal, RanState::Unknown, "the call's task has ended")
}
