//! HTTP client for calls to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::TokioExecutor;
use oriolepass_config::KeptAnswer;
use oriolepass_request::SendFailure;
use oriolepass_schema::endpoint::{
    ATTEMPT_HEADER, AttemptCall, HeldStream, HeldStreams, NOT_RUN_HEADER, PartCall,
};
use oriolepass_units::AttemptId;

use super::lines::LineStream;

/// Timeout for establishing a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the read buffer of a connection. A stream carries tokens of some tens of bytes at a
/// time, and thousands of streams are open, so the buffer is small.
const READ_BUFFER_BYTES: usize = 2_048;

/// Maximum size of the answer of a plain service.
const MAX_SERVICE_ANSWER_BYTES: usize = 16 << 20;

/// Maximum size of an endpoint's list of held streams.
const MAX_HELD_LIST_BYTES: usize = 16 << 20;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    /// The path after the service's name.
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    /// Whether the client may send the call again when a pooled connection turns out to be dead.
    pub(crate) repeatable: bool,
}

/// HTTP clients for endpoints: one for repeatable calls, one for calls that are sent only once.
pub(crate) struct EndpointClient {
    /// Reuses connections and sends a call again when a reused connection is dead.
    pooled: HttpClient,
    /// Opens a new connection for every call and never sends a call twice on its own.
    single: HttpClient,
}

impl EndpointClient {
    pub(crate) fn new() -> Self {
        let connector = || {
            let mut connector = HttpConnector::new();
            connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
            connector.set_nodelay(true);
            connector
        };
        Self {
            pooled: Client::builder(TokioExecutor::new())
                .http1_read_buf_exact_size(READ_BUFFER_BYTES)
                .build(connector()),
            single: Client::builder(TokioExecutor::new())
                .http1_read_buf_exact_size(READ_BUFFER_BYTES)
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build(connector()),
        }
    }

    /// Starts an attempt on an engine.
    pub(crate) async fn start_attempt(
        &self,
        address: SocketAddr,
        call: &AttemptCall,
        repeatable: bool,
    ) -> Result<LineStream, SendFailure> {
        let body = serde_json::to_vec(call).expect("a call always serialises");
        let client = if repeatable { &self.pooled } else { &self.single };
        let request = json_request(Method::POST, address, "/v1/attempts", body);
        let response = client.request(request).await.map_err(|error| send_failure(&error))?;
        match response.status() {
            StatusCode::OK => Ok(LineStream::new(response.into_body())),
            _ => Err(SendFailure::Broken),
        }
    }

    /// Reserves memory on an engine for a part of a prompt.
    pub(crate) async fn hold_part(
        &self,
        address: SocketAddr,
        call: &PartCall,
    ) -> Result<(), SendFailure> {
        let body = serde_json::to_vec(call).expect("a call always serialises");
        let request = json_request(Method::POST, address, "/v1/parts", body);
        let response = self.pooled.request(request).await.map_err(|error| send_failure(&error))?;
        // A part only reserves memory, so a refused part has run nothing.
        if response.status().is_success() { Ok(()) } else { Err(SendFailure::RefusedNotRun) }
    }

    /// Cancels an attempt. Does not report whether the attempt existed.
    pub(crate) async fn cancel(&self, address: SocketAddr, attempt: &AttemptId, timeout: Duration) {
        let path = format!("/v1/streams/{attempt}");
        let request = json_request(Method::DELETE, address, &path, Vec::new());
        let _ = tokio::time::timeout(timeout, self.pooled.request(request)).await;
    }

    /// Queries the streams that hold memory on an endpoint; `None` on an error or a timeout.
    pub(crate) async fn held(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Option<Vec<HeldStream>> {
        let request = json_request(Method::GET, address, "/v1/streams", Vec::new());
        let answer = async {
            let response = self.pooled.request(request).await.ok()?;
            let body = Limited::new(response.into_body(), MAX_HELD_LIST_BYTES);
            let bytes = body.collect().await.ok()?.to_bytes();
            serde_json::from_slice::<HeldStreams>(&bytes).ok()
        };
        let held = tokio::time::timeout(timeout, answer).await.ok()??;
        Some(held.streams)
    }

    /// Calls a plain service and reads its whole answer, which must echo the attempt id.
    pub(crate) async fn call_service(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        call: &ServiceCall,
    ) -> Result<(AttemptId, KeptAnswer, String), SendFailure> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/{}", call.path))
            .header("content-type", &call.content_type)
            .header(ATTEMPT_HEADER, attempt.as_str())
            .body(Full::new(call.body.clone()))
            .map_err(|_| SendFailure::RefusedNotRun)?;
        let client = if call.repeatable { &self.pooled } else { &self.single };
        let response = client.request(request).await.map_err(|error| send_failure(&error))?;
        read_service_answer(response).await
    }
}

async fn read_service_answer(
    response: Response<Incoming>,
) -> Result<(AttemptId, KeptAnswer, String), SendFailure> {
    let (head, body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let echoed = text(ATTEMPT_HEADER).and_then(|value| value.parse().ok());
    if text(NOT_RUN_HEADER).is_some() {
        return Err(SendFailure::RefusedNotRun);
    }
    let echoed = echoed.ok_or(SendFailure::Broken)?;
    let content_type = text("content-type").unwrap_or("application/octet-stream").to_owned();
    let limited = Limited::new(body, MAX_SERVICE_ANSWER_BYTES);
    let bytes = limited.collect().await.map_err(|_| SendFailure::Broken)?.to_bytes();
    let kept = KeptAnswer::new(head.status.as_u16(), content_type, &bytes);
    Ok((echoed, kept, String::from_utf8_lossy(&bytes).into_owned()))
}

/// Classifies a client error. Only a failure to connect proves that nothing was sent.
fn send_failure(error: &ClientError) -> SendFailure {
    if error.is_connect() { SendFailure::NotConnected } else { SendFailure::Broken }
}

fn json_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("an address and a plain path make a URI")
}
