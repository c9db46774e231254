//! Calls to endpoints.

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

/// How long a connection to an endpoint may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes read at a time from an endpoint. A stream trickles tokens of some tens of bytes, and
/// there are thousands of streams.
const READ_BUFFER: usize = 2_048;

/// The longest answer of a plain service.
const MAX_SERVICE_ANSWER: usize = 16 << 20;

/// The longest list of held streams.
const MAX_HELD_LIST: usize = 16 << 20;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    /// The path behind the service's name.
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    /// Whether it may be sent again when a kept connection turns out to be dead.
    pub(crate) repeatable: bool,
}

/// Connections to endpoints.
pub(crate) struct EndpointClient {
    pooled: HttpClient,
    /// Connects afresh for every call and never sends anything twice by itself.
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
                .http1_read_buf_exact_size(READ_BUFFER)
                .build(connector()),
            single: Client::builder(TokioExecutor::new())
                .http1_read_buf_exact_size(READ_BUFFER)
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

    /// Sets memory aside on an engine for a part of a prompt.
    pub(crate) async fn hold_part(
        &self,
        address: SocketAddr,
        call: &PartCall,
    ) -> Result<(), SendFailure> {
        let body = serde_json::to_vec(call).expect("a call always serialises");
        let request = json_request(Method::POST, address, "/v1/parts", body);
        let response = self.pooled.request(request).await.map_err(|error| send_failure(&error))?;
        // A part only holds memory, so a refused one has run nothing.
        if response.status().is_success() { Ok(()) } else { Err(SendFailure::RefusedNotRun) }
    }

    /// Cancels an attempt; whether it was there is not told.
    pub(crate) async fn cancel(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        patience: Duration,
    ) {
        let path = format!("/v1/streams/{attempt}");
        let request = json_request(Method::DELETE, address, &path, Vec::new());
        let _ = tokio::time::timeout(patience, self.pooled.request(request)).await;
    }

    /// Asks an endpoint what holds its memory.
    pub(crate) async fn held(
        &self,
        address: SocketAddr,
        patience: Duration,
    ) -> Option<Vec<HeldStream>> {
        let request = json_request(Method::GET, address, "/v1/streams", Vec::new());
        let answer = async {
            let response = self.pooled.request(request).await.ok()?;
            let body = Limited::new(response.into_body(), MAX_HELD_LIST);
            let bytes = body.collect().await.ok()?.to_bytes();
            serde_json::from_slice::<HeldStreams>(&bytes).ok()
        };
        let held = tokio::time::timeout(patience, answer).await.ok()??;
        Some(held.streams)
    }

    /// Calls a plain service and reads its whole answer, which must echo the attempt.
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
    let limited = Limited::new(body, MAX_SERVICE_ANSWER);
    let bytes = limited.collect().await.map_err(|_| SendFailure::Broken)?.to_bytes();
    let kept = KeptAnswer::new(head.status.as_u16(), content_type, &bytes);
    Ok((echoed, kept, String::from_utf8_lossy(&bytes).into_owned()))
}

/// Only a connection that never came about proves that nothing was sent.
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
