//! Answers and errors as HTTP.

use bytes::Bytes;
use gotham::hyper::Response;
use gotham::hyper::StatusCode;
use gotham::hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use gotham::router::Router;
use gotham::router::builder::{RouterBuilder, build_simple_router};
use gotham::router::response::ResponseExtender;
use gotham::state::State;
use http_body_util::{BodyExt, Full};
use oriolepass_schema::error::{ApiError, ErrorBody, ErrorCode};
use serde::Serialize;

use super::HttpResponse;

/// The header that tells an error of the system from an answer of a plain service.
const ERROR_HEADER: &str = "x-oriolepass-error";

pub(super) fn raw(status: u16, content_type: &str, body: impl Into<Bytes>) -> HttpResponse {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(body)
        .unwrap_or_else(|_| Response::new(Full::default().map_err(|n| match n {}).boxed_unsync()))
}

pub(super) fn json<T: Serialize>(value: &T) -> HttpResponse {
    json_status(200, value)
}

fn json_status<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("an answer always serialises");
    raw(status, "application/json", body)
}

/// Answers a caller's call, or refuses it after whatever is left of its body.
pub(super) async fn answered(
    mut state: State,
    result: Result<HttpResponse, ApiError>,
) -> (State, HttpResponse) {
    let response = match result {
        Ok(response) => response,
        Err(refusal) => {
            super::body::discard(&mut state).await;
            error(&refusal)
        }
    };
    (state, response)
}

pub(super) fn error(error: &ApiError) -> HttpResponse {
    let mut response = json_status(error.code.status(), &ErrorBody { error: error.clone() });
    let headers = response.headers_mut();
    if let Ok(code) = error.code.as_str().parse() {
        headers.insert(ERROR_HEADER, code);
    }
    if let Some(wait) = error.retry_after_ms {
        headers.insert(RETRY_AFTER, wait.div_ceil(1_000).max(1).into());
    }
    response
}

/// Gives gotham's own refusals the form of all others.
struct RouteError(ErrorCode);

impl ResponseExtender<gotham::helpers::http::Body> for RouteError {
    fn extend(&self, state: &mut State, response: &mut HttpResponse) {
        // gotham extends every response of the status, those of handlers included; what a
        // handler says of a missing object must not turn into a missing call.
        if response.headers().contains_key(ERROR_HEADER) {
            return;
        }
        let path = state.try_borrow::<gotham::hyper::Uri>().map_or("", |uri| uri.path());
        *response = error(&ApiError::not_run(self.0, format!("no such call: {path}")));
    }
}

/// Makes a listener's router, whose own refusals have the form of all others.
pub(super) fn router(routes: impl FnOnce(&mut RouterBuilder<'_, (), ()>)) -> Router {
    build_simple_router(|route| {
        for (status, code) in ROUTE_ERRORS {
            route.add_response_extender(status, RouteError(code));
        }
        routes(route);
    })
}

/// The statuses that gotham gives to calls that match no route.
const ROUTE_ERRORS: [(StatusCode, ErrorCode); 2] = [
    (StatusCode::NOT_FOUND, ErrorCode::NotFound),
    (StatusCode::METHOD_NOT_ALLOWED, ErrorCode::MethodNotAllowed),
];
