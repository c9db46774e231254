//! Runs a stand-in plain service with a ledger, a record of the calls that it ran.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use oriolepass_schema::endpoint::{
    ATTEMPT_HEADER, EndpointAnnouncement, EndpointKind, HeldStreams, NOT_RUN_HEADER,
};
use oriolepass_units::{DataCentreId, EndpointId, Incarnation, ServiceName, TokenCount};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::announcer::{self, AnnouncePlan, LoadReport};
use crate::faults::FaultPlan;
use crate::http::{ServerBody, full_response, serve};

/// A call that the service ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRun {
    /// The attempt's id.
    pub attempt: String,
    /// The request body.
    pub body: String,
}

#[derive(Default)]
struct ServiceShared {
    ledger: Mutex<Vec<ServiceRun>>,
    delay: Mutex<Duration>,
    faults: Arc<FaultPlan>,
}

impl ServiceShared {
    fn ledger(&self) -> MutexGuard<'_, Vec<ServiceRun>> {
        self.ledger.lock().expect("no handler panics while it holds the ledger lock")
    }
}

/// A running stand-in service.
pub struct ServiceServer {
    shared: Arc<ServiceShared>,
    announcement: EndpointAnnouncement,
    tasks: Vec<JoinHandle<()>>,
}

impl ServiceServer {
    /// Starts a service on a free loopback port and announces it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when no port can be bound.
    pub async fn start(
        endpoint: EndpointId,
        data_centre: DataCentreId,
        service: ServiceName,
        plan: AnnouncePlan,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let announcement = EndpointAnnouncement {
            endpoint,
            incarnation: Incarnation(1),
            data_centre,
            address: listener.local_addr()?,
            fenced: false,
            other_home_ms: None,
            kind: EndpointKind::Service { service, concurrency: 64 },
        };
        let shared = Arc::new(ServiceShared::default());
        let handler_shared = Arc::clone(&shared);
        let server = serve(listener, move |request| handle(Arc::clone(&handler_shared), request));
        let faults = Arc::clone(&shared.faults);
        let copy = announcement.clone();
        let report = || LoadReport {
            used: TokenCount::ZERO,
            backlog: TokenCount::ZERO,
            streams: 0,
            cache: Vec::new(),
        };
        let announcer = tokio::spawn(announcer::run(plan, move || copy.clone(), report, faults));
        Ok(Self { shared, announcement, tasks: vec![server, announcer] })
    }

    /// Returns the address for calls.
    pub fn address(&self) -> SocketAddr {
        self.announcement.address
    }

    /// Returns the calls that the service ran, in order.
    pub fn ledger(&self) -> Vec<ServiceRun> {
        self.shared.ledger().clone()
    }

    /// Returns the number of calls with this body that ran.
    pub fn runs_of(&self, body: &str) -> usize {
        self.shared.ledger().iter().filter(|run| run.body == body).count()
    }

    /// Sets the delay between running a call and answering.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock().expect("no handler panics while it holds the delay lock") = delay;
    }

    /// Returns the faults to inject.
    pub fn faults(&self) -> &FaultPlan {
        &self.shared.faults
    }

    /// Stops the service immediately and closes all connections, as a crash does.
    pub fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for ServiceServer {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn handle(shared: Arc<ServiceShared>, request: Request<Incoming>) -> Response<ServerBody> {
    if request.uri().path() == "/v1/streams" {
        let no_streams = HeldStreams { streams: Vec::new() };
        return full_response(
            200,
            serde_json::to_string(&no_streams).expect("the message serializes to JSON"),
        );
    }
    if request.method() == hyper::Method::DELETE {
        return full_response(404, "");
    }
    let attempt = request.headers().get(ATTEMPT_HEADER);
    let attempt = attempt.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
    let Ok(bytes) = request.into_body().collect().await else { return full_response(400, "") };
    let body = String::from_utf8_lossy(&bytes.to_bytes()).into_owned();
    if FaultPlan::consume(&shared.faults.refuse) {
        let mut answer = full_response(503, "refused by fault injection");
        answer.headers_mut().insert(NOT_RUN_HEADER, "1".parse().expect("a valid header value"));
        return with_attempt_header(answer, &attempt);
    }
    shared.ledger().push(ServiceRun { attempt: attempt.clone(), body: body.clone() });
    let delay = *shared.delay.lock().expect("no handler panics while it holds the delay lock");
    tokio::time::sleep(delay).await;
    if FaultPlan::consume(&shared.faults.run_without_answer) {
        // Holds the connection open without an answer, as when a service fails after it has run
        // the call.
        std::future::pending::<()>().await;
    }
    let echoed = match FaultPlan::consume(&shared.faults.wrong_attempt_id) {
        true => "somebody-else",
        false => &attempt,
    };
    with_attempt_header(full_response(200, format!("done: {body}")), echoed)
}

fn with_attempt_header(mut answer: Response<ServerBody>, attempt: &str) -> Response<ServerBody> {
    if let Ok(value) = attempt.parse() {
        answer.headers_mut().insert(ATTEMPT_HEADER, value);
    }
    answer
}
