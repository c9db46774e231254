//! Helpers for HTTP clients and servers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub(crate) type ServerBody = BoxBody<Bytes, std::io::Error>;
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A complete response.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: String,
}

pub(crate) fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

pub(crate) fn full_response(status: u16, body: impl Into<Bytes>) -> Response<ServerBody> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed();
    Response::builder().status(status).body(body).expect("a valid response")
}

/// Serves a listener until the task is aborted. Aborting the task also closes every connection.
pub(crate) fn serve<F, Fut>(listener: TcpListener, handler: F) -> JoinHandle<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<ServerBody>> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else { continue };
            let _ = socket.set_nodelay(true);
            let handler = handler.clone();
            connections.spawn(async move {
                let service = hyper::service::service_fn(move |request| {
                    let answer = handler(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let io = TokioIo::new(socket);
                let _ =
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

/// Sends one request and reads the complete response.
///
/// # Errors
///
/// Returns the client's error when no complete response arrived.
pub async fn call_json(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: String,
) -> Result<HttpAnswer, String> {
    send(&client(), address, method, path, key, &[], body).await
}

/// Sends a GET request and reads the complete response.
///
/// # Errors
///
/// Returns the client's error when no complete response arrived.
pub async fn get_text(address: SocketAddr, path: &str) -> Result<HttpAnswer, String> {
    call_json(address, "GET", path, None, String::new()).await
}

pub(crate) async fn send(
    client: &HttpClient,
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    headers: &[(&str, &str)],
    body: String,
) -> Result<HttpAnswer, String> {
    let request = request(address, method, path, key, headers, body);
    let response = client.request(request).await.map_err(|e| format!("{e:?}"))?;
    let (head, body) = response.into_parts();
    let bytes = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    Ok(HttpAnswer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

pub(crate) fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    headers: &[(&str, &str)],
    body: String,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json");
    if let Some(key) = key {
        builder = builder.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from(body))).expect("a valid request")
}
