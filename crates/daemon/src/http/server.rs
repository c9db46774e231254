//! Accepts connections and serves them through a gotham router.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::hyper::server::conn::http1;
use gotham::hyper::service::service_fn;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Timeout for the headers of a call, and for an idle connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of the headers of a call.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Serves a listener until the task is aborted. Connections over the limit wait in the accept
/// queue of the operating system until another connection ends.
pub(crate) async fn serve(listener: TcpListener, router: Router, max_connections: usize) {
    let router = Arc::new(router);
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((socket, _)) = listener.accept().await else {
            // The likely cause is a lack of file descriptors. Open connections get time to end.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let router = Arc::clone(&router);
        tokio::spawn(async move {
            serve_connection(socket, router).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H: NewHandler + 'static>(socket: TcpStream, router: Arc<H>) {
    let Ok(address) = socket.peer_addr() else { return };
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = State::from_request(request, address);
        call_handler(Arc::clone(&router), AssertUnwindSafe(state))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    // Errors are caused by the peer: a closed connection or bytes that are not HTTP.
    let _ = connection.await;
}
