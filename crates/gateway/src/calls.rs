//! Serves small calls: a whole body in, a whole body out. Faces of the product build on it.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::net;

/// The time for a call's head to arrive, and between two calls on a connection.
const HEAD_PATIENCE: Duration = Duration::from_secs(20);

/// The time for a call's body to arrive.
const BODY_PATIENCE: Duration = Duration::from_secs(10);

/// The pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// A call with its whole body.
pub type WholeCall = Request<Bytes>;

/// An answer with its whole body.
pub type WholeAnswer = Response<Full<Bytes>>;

/// Makes an answer with a JSON body, or without one.
///
/// # Panics
///
/// Panics when the status is not one of HTTP.
pub fn answer(status: u16, body: impl Into<Bytes>) -> WholeAnswer {
    let status = StatusCode::from_u16(status).expect("a status of HTTP");
    let body = body.into();
    let mut response = Response::new(Full::new(body.clone()));
    *response.status_mut() = status;
    if !body.is_empty() {
        let json = hyper::header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    }
    response
}

/// Serves calls with bodies up to `max_body` bytes until the listener fails for good.
pub async fn serve_calls<H, F>(listener: TcpListener, max_body: usize, handler: H)
where
    H: Fn(WholeCall) -> F + 'static,
    F: Future<Output = WholeAnswer> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_AGAIN).await;
            continue;
        };
        net::set_stream_options(&stream);
        let handler = Rc::clone(&handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = Rc::clone(&handler);
            async move { Ok::<_, Infallible>(handle(&*handler, request, max_body).await) }
        });
        spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_PATIENCE)
                .serve_connection(TokioIo::new(stream), service);
            // A caller that breaks off has nothing to be told.
            let _ = connection.await;
        });
    }
}

async fn handle<H, F>(handler: &H, request: Request<Incoming>, max_body: usize) -> WholeAnswer
where
    H: Fn(WholeCall) -> F,
    F: Future<Output = WholeAnswer>,
{
    let (parts, body) = request.into_parts();
    let collected = timeout(BODY_PATIENCE, Limited::new(body, max_body).collect()).await;
    match collected {
        Ok(Ok(body)) => handler(Request::from_parts(parts, body.to_bytes())).await,
        Ok(Err(_)) => answer(413, r#"{"error":"the body is too long or was cut short"}"#),
        Err(_) => answer(408, r#"{"error":"the body did not arrive in time; send it faster"}"#),
    }
}
