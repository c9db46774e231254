//! A stand-in plain service with a ledger of what it ran.

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
use crate::http::{ServerBody, serve, whole};

/// One call that the service ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRun {
    /// The attempt's id.
    pub attempt: String,
    /// The body.
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
        self.ledger.lock().expect("no handler panics while it holds the ledger")
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
    /// Returns the operating system's error when no port can be had.
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

    /// Returns where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.announcement.address
    }

    /// Returns everything that it ran, in order.
    pub fn ledger(&self) -> Vec<ServiceRun> {
        self.shared.ledger().clone()
    }

    /// Returns how often a body was run.
    pub fn runs_of(&self, body: &str) -> usize {
        self.shared.ledger().iter().filter(|run| run.body == body).count()
    }

    /// Makes every call take a while.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock().expect("no handler panics with the delay") = delay;
    }

    /// Returns what it should do wrong.
    pub fn faults(&self) -> &FaultPlan {
        &self.shared.faults
    }

    /// Dies at once, with every connection.
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
        let none = HeldStreams { streams: Vec::new() };
        return whole(200, serde_json::to_string(&none).expect("a plain message"));
    }
    if request.method() == hyper::Method::DELETE {
        return whole(404, "");
    }
    let attempt = request.headers().get(ATTEMPT_HEADER);
    let attempt = attempt.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
    let Ok(bytes) = request.into_body().collect().await else { return whole(400, "") };
    let body = String::from_utf8_lossy(&bytes.to_bytes()).into_owned();
    if FaultPlan::strike(&shared.faults.refuse) {
        let mut answer = whole(503, "refused on cue");
        answer.headers_mut().insert(NOT_RUN_HEADER, "1".parse().expect("a plain value"));
        return echo(answer, &attempt);
    }
    shared.ledger().push(ServiceRun { attempt: attempt.clone(), body: body.clone() });
    let delay = *shared.delay.lock().expect("no handler panics with the delay");
    tokio::time::sleep(delay).await;
    if FaultPlan::strike(&shared.faults.run_without_answer) {
        // The connection is held and never answered, as by a service that died after acting.
        std::future::pending::<()>().await;
    }
    let echoed = match FaultPlan::strike(&shared.faults.wrong_attempt_id) {
        true => "somebody-else",
        false => &attempt,
    };
    echo(whole(200, format!("done: {body}")), echoed)
}

fn echo(mut answer: Response<ServerBody>, attempt: &str) -> Response<ServerBody> {
    if let Ok(value) = attempt.parse() {
        answer.headers_mut().insert(ATTEMPT_HEADER, value);
    }
    answer
}
