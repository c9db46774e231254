//! Builds HTTP responses from answers and errors.

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

/// The header that marks an error of the system, as opposed to an answer of a plain service.
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

/// Returns the response to a caller's call. A refusal is sent only after the rest of the body has
/// been read and discarded.
pub(super) async fn respond(
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

/// Gives gotham's own errors the format of the API's errors.
struct RouteError(ErrorCode);

impl ResponseExtender<gotham::helpers::http::Body> for RouteError {
    fn extend(&self, state: &mut State, response: &mut HttpResponse) {
        // gotham calls the extender for every response with the status, including those of
        // handlers. A handler's error about a missing object must not be replaced by the error
        // about an unknown route.
        if response.headers().contains_key(ERROR_HEADER) {
            return;
        }
        let path = state.try_borrow::<gotham::hyper::Uri>().map_or("", |uri| uri.path());
        *response = error(&ApiError::not_run(self.0, format!("no such call: {path}")));
    }
}

/// Builds a listener's router. Errors of the router itself have the format of the API's errors.
pub(super) fn router(routes: impl FnOnce(&mut RouterBuilder<'_, (), ()>)) -> Router {
    build_simple_router(|route| {
        for (status, code) in ROUTE_ERRORS {
            route.add_response_extender(status, RouteError(code));
        }
        routes(route);
    })
}

/// The statuses that gotham returns for calls that match no route, with their error codes.
const ROUTE_ERRORS: [(StatusCode, ErrorCode); 2] = [
    (StatusCode::NOT_FOUND, ErrorCode::NotFound),
    (StatusCode::METHOD_NOT_ALLOWED, ErrorCode::MethodNotAllowed),
];
