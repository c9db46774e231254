//! Serves small HTTP calls whose request and response bodies are buffered whole.
//!
//! The front ends of the product build their interfaces for operators and endpoints on it.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::{net, shared_stream};

/// The time for a call's head to arrive, which also limits the idle time between two calls on a
/// connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// The time for a call's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after a connection could not be accepted, as when the process has no descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A call with its buffered body.
pub type WholeCall = Request<Bytes>;

/// An answer with its buffered body.
pub type WholeAnswer = Response<Full<Bytes>>;

/// Returns an answer with a JSON body, or without a body if `body` is empty.
///
/// # Panics
///
/// Panics when the status is not a valid HTTP status.
pub fn answer(status: u16, body: impl Into<Bytes>) -> WholeAnswer {
    let status = StatusCode::from_u16(status).expect("a valid HTTP status");
    let body = body.into();
    let mut response = Response::new(Full::new(body.clone()));
    *response.status_mut() = status;
    if !body.is_empty() {
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
    }
    response
}

/// Serves calls with bodies up to `max_body` bytes. Does not return.
pub async fn serve_calls<H, F>(listener: TcpListener, max_body: usize, handler: H)
where
    H: Fn(WholeCall) -> F + 'static,
    F: Future<Output = WholeAnswer> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        net::set_stream_options(&stream);
        let handler = Rc::clone(&handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = Rc::clone(&handler);
            async move { Ok::<_, Infallible>(handle(&*handler, request, max_body).await) }
        });
        spawn_local(async move {
            let (stream, handle) = shared_stream::share(stream);
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // An error means that the caller closed the connection or broke the protocol; nobody is
            // left to report it to.
            let _ = connection.await;
            handle.close_gracefully().await;
        });
    }
}

async fn handle<H, F>(handler: &H, request: Request<Incoming>, max_body: usize) -> WholeAnswer
where
    H: Fn(WholeCall) -> F,
    F: Future<Output = WholeAnswer>,
{
    let (parts, body) = request.into_parts();
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, max_body).collect()).await;
    match collected {
        Ok(Ok(body)) => handler(Request::from_parts(parts, body.to_bytes())).await,
        Ok(Err(_)) => closing(answer(413, r#"{"error":"the body is too long or was cut short"}"#)),
        Err(_) => {
            closing(answer(408, r#"{"error":"the body did not arrive in time; send it faster"}"#))
        }
    }
}

/// Announces that the connection closes after the answer, since the call's body was not read.
fn closing(mut answer: WholeAnswer) -> WholeAnswer {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
