//! Serves a stand-in engine over the endpoints' HTTP protocol.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response};
use oriolepass_schema::endpoint::{
    AttemptCall, EndpointAnnouncement, EndpointKind, EndpointOrder, HeldStreams, PartCall,
    StreamLine,
};
use oriolepass_units::{AttemptId, DataCentreId, EndpointId, Incarnation, TokenCount};
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

use crate::announcer::{self, AnnouncePlan, LoadReport};
use crate::engine_model::{EngineConfig, EngineModel, StepEvent};
use crate::faults::FaultPlan;
use crate::http::{ServerBody, full_response, serve};

/// Maximum lines of an answer that wait for its reader. A stream with a full buffer is cancelled.
const MAX_BUFFERED_LINES: usize = 4_096;

struct EngineShared {
    model: Mutex<EngineModel>,
    readers: Mutex<HashMap<AttemptId, mpsc::Sender<StreamLine>>>,
    work_available: Notify,
    faults: Arc<FaultPlan>,
}

/// A running stand-in engine.
pub struct EngineServer {
    shared: Arc<EngineShared>,
    announcement: EndpointAnnouncement,
    plan: AnnouncePlan,
    tasks: Vec<JoinHandle<()>>,
}

impl EngineServer {
    /// Starts an engine on a free loopback port and announces it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when no port can be bound.
    pub async fn start(
        endpoint: EndpointId,
        data_centre: DataCentreId,
        incarnation: Incarnation,
        config: EngineConfig,
        plan: AnnouncePlan,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let announcement = EndpointAnnouncement {
            endpoint,
            incarnation,
            data_centre,
            address: listener.local_addr()?,
            fenced: config.fenced,
            other_home_ms: None,
            kind: EndpointKind::Engine {
                models: config.models.clone(),
                memory: config.memory,
                prefill_rate: config.prefill_rate,
            },
        };
        let shared = Arc::new(EngineShared {
            model: Mutex::new(EngineModel::new(config)),
            readers: Mutex::default(),
            work_available: Notify::new(),
            faults: Arc::default(),
        });
        let handler_shared = Arc::clone(&shared);
        let server = serve(listener, move |request| handle(Arc::clone(&handler_shared), request));
        let stepper = tokio::spawn(run_steps(Arc::clone(&shared)));
        let announcer = tokio::spawn(announce(&shared, announcement.clone(), plan.clone()));
        Ok(Self { shared, announcement, plan, tasks: vec![server, stepper, announcer] })
    }

    /// Returns the address for calls.
    pub fn address(&self) -> SocketAddr {
        self.announcement.address
    }

    /// Returns the endpoint's name.
    pub fn endpoint(&self) -> &EndpointId {
        &self.announcement.endpoint
    }

    /// Returns the faults to inject.
    pub fn faults(&self) -> &FaultPlan {
        &self.shared.faults
    }

    /// Returns the reserved memory.
    pub fn used(&self) -> TokenCount {
        self.shared.model().used()
    }

    /// Returns the number of attempts that started and the number that ended.
    pub fn run_counts(&self) -> (usize, usize) {
        self.shared.model().run_counts()
    }

    /// Returns the number of attempts with this prompt that started.
    pub fn runs_of(&self, prompt: &oriolepass_schema::caller::PromptBody) -> usize {
        self.shared.model().runs_of(crate::answer::answer_seed(prompt))
    }

    /// Tells the home that the engine is leaving. Running streams continue.
    pub async fn leave(&self) {
        announcer::leave(&self.plan, &self.announcement).await;
    }

    /// Stops the engine immediately and closes all connections, as a crash does.
    pub fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.kill();
    }
}

impl EngineShared {
    fn model(&self) -> MutexGuard<'_, EngineModel> {
        self.model.lock().expect("no handler panics while it holds the engine lock")
    }

    fn readers(&self) -> MutexGuard<'_, HashMap<AttemptId, mpsc::Sender<StreamLine>>> {
        self.readers.lock().expect("no handler panics while it holds the reader lock")
    }

    fn cancel(&self, attempt: &AttemptId) -> bool {
        self.readers().remove(attempt);
        self.model().cancel(attempt)
    }
}

fn announce(
    shared: &Arc<EngineShared>,
    announcement: EndpointAnnouncement,
    plan: AnnouncePlan,
) -> impl Future<Output = ()> + Send + 'static + use<> {
    let (reporting_engine, announcer) = (Arc::clone(shared), Arc::clone(shared));
    let faults = Arc::clone(&shared.faults);
    let report = move || {
        let mut model = reporting_engine.model();
        let (backlog, streams) = model.load();
        LoadReport { used: model.used(), backlog, streams, cache: model.take_cache_changes() }
    };
    let announcement = move || {
        let mut announcement = announcement.clone();
        if let EndpointKind::Engine { models, .. } = &mut announcement.kind {
            models.clone_from(&announcer.model().config().models);
        }
        announcement
    };
    announcer::run(plan, announcement, report, faults)
}

/// Runs the engine's steps in real time. A step's end is scheduled from the end of the step before,
/// so that a late wake-up does not delay later steps. The schedule restarts from the present time
/// when it is more than 50 ms behind.
async fn run_steps(shared: Arc<EngineShared>) {
    let mut due = tokio::time::Instant::now();
    loop {
        if shared.model().is_idle() {
            shared.work_available.notified().await;
            due = tokio::time::Instant::now();
            continue;
        }
        let step = shared.model().step();
        due += step.duration;
        let now = tokio::time::Instant::now();
        if due > now + Duration::from_micros(500) {
            tokio::time::sleep_until(due).await;
        } else if now > due + Duration::from_millis(50) {
            due = now;
        }
        for event in step.events {
            emit(&shared, event);
        }
    }
}

fn emit(shared: &EngineShared, event: StepEvent) {
    let (line, last) = match event {
        StepEvent::Token { attempt, index, text } => {
            (StreamLine::Token { attempt, index, text }, false)
        }
        StepEvent::Ended { attempt, tokens, digest } => {
            let finish_reason = "stop".to_owned();
            (StreamLine::End { attempt, tokens, digest, finish_reason }, true)
        }
    };
    let attempt = line.attempt().clone();
    let mut readers = shared.readers();
    let Some(reader) = readers.get(&attempt) else { return };
    // The stream is cancelled when the reader has disconnected or its buffer is full.
    let lost = reader.try_send(line).is_err();
    if lost || last {
        readers.remove(&attempt);
    }
    drop(readers);
    if lost {
        shared.model().cancel(&attempt);
    }
}

async fn handle(shared: Arc<EngineShared>, request: Request<Incoming>) -> Response<ServerBody> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/attempts") => match read_json::<AttemptCall>(request).await {
            Ok(call) => start_attempt(&shared, &call, EngineModel::submit),
            Err(answer) => answer,
        },
        (Method::POST, "/v1/kv/import") => match read_json::<AttemptCall>(request).await {
            Ok(call) => start_attempt(&shared, &call, EngineModel::import),
            Err(answer) => answer,
        },
        (Method::POST, "/v1/kv/export") => match read_json::<PartCall>(request).await {
            Ok(call) => match shared.model().export(&call.attempt) {
                Some(size) => full_response(200, format!("{{\"tokens\":{size}}}")),
                None => full_response(404, "no such stream"),
            },
            Err(answer) => answer,
        },
        (Method::POST, "/v1/parts") => match read_json::<PartCall>(request).await {
            Ok(call) => unit_response(shared.model().hold_part(&call)),
            Err(answer) => answer,
        },
        (Method::POST, "/v1/orders") => match read_json::<EndpointOrder>(request).await {
            Ok(order) => unit_response(shared.model().order(&order)),
            Err(answer) => answer,
        },
        (Method::GET, "/v1/streams") => {
            let held = HeldStreams { streams: shared.model().held() };
            full_response(
                200,
                serde_json::to_string(&held).expect("the message serializes to JSON"),
            )
        }
        (Method::DELETE, _) if path.starts_with("/v1/streams/") => {
            let attempt = path["/v1/streams/".len()..].parse::<AttemptId>();
            let found = attempt.is_ok_and(|attempt| shared.cancel(&attempt));
            full_response(if found { 200 } else { 404 }, "")
        }
        _ => full_response(404, "no such call"),
    }
}

async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<ServerBody>> {
    let bytes =
        request.into_body().collect().await.map_err(|e| full_response(400, e.to_string()))?;
    serde_json::from_slice(&bytes.to_bytes()).map_err(|e| full_response(400, e.to_string()))
}

fn unit_response(result: Result<(), String>) -> Response<ServerBody> {
    match result {
        Ok(()) => full_response(200, "{}"),
        Err(message) => full_response(409, message),
    }
}

/// Starts an attempt by `begin` and returns the stream of its answer.
fn start_attempt(
    shared: &Arc<EngineShared>,
    call: &AttemptCall,
    begin: impl Fn(&mut EngineModel, &AttemptCall) -> Result<(), String>,
) -> Response<ServerBody> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_LINES);
    if FaultPlan::consume(&shared.faults.refuse) {
        return failed_line(&call.attempt, false, "refused by fault injection");
    }
    shared.readers().insert(call.attempt.clone(), sender);
    if let Err(message) = begin(&mut shared.model(), call) {
        shared.readers().remove(&call.attempt);
        return failed_line(&call.attempt, false, &message);
    }
    shared.work_available.notify_one();
    if FaultPlan::consume(&shared.faults.run_without_answer) {
        return full_response(500, "");
    }
    let state = AnswerState {
        shared: Arc::clone(shared),
        attempt: call.attempt.clone(),
        receiver,
        max_tokens: call.max_tokens,
        faults: AnswerFaults::take(&shared.faults),
        pending: None,
        ended: false,
    };
    let frames = stream::unfold(state, |mut state| async move {
        let line = state.next_line().await?;
        Some((line.map(|line| Frame::data(encode(&line))), state))
    });
    let body = BodyExt::boxed(StreamBody::new(frames));
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(body)
        .expect("a valid response")
}

fn failed_line(attempt: &AttemptId, ran: bool, message: &str) -> Response<ServerBody> {
    let message = message.to_owned();
    full_response(200, encode(&StreamLine::Failed { attempt: attempt.clone(), ran, message }))
}

fn encode(line: &StreamLine) -> Bytes {
    format!("data: {}\n\n", serde_json::to_string(line).expect("the message serializes to JSON"))
        .into()
}

/// The faults to inject into one answer.
struct AnswerFaults {
    truncate: bool,
    wrong_attempt_id: bool,
    duplicate_token: bool,
    disconnect: bool,
}

impl AnswerFaults {
    fn take(plan: &FaultPlan) -> Self {
        Self {
            truncate: FaultPlan::consume(&plan.truncate),
            wrong_attempt_id: FaultPlan::consume(&plan.wrong_attempt_id),
            duplicate_token: FaultPlan::consume(&plan.duplicate_token),
            disconnect: FaultPlan::consume(&plan.disconnect),
        }
    }
}

/// The state of an answer's stream.
struct AnswerState {
    shared: Arc<EngineShared>,
    attempt: AttemptId,
    receiver: mpsc::Receiver<StreamLine>,
    max_tokens: u64,
    faults: AnswerFaults,
    /// A line to send before the next line of the receiver.
    pending: Option<StreamLine>,
    ended: bool,
}

impl Drop for AnswerState {
    /// Cancels the stream of a reader that disconnects, as engines do.
    fn drop(&mut self) {
        if !self.ended {
            self.shared.cancel(&self.attempt);
        }
    }
}

impl AnswerState {
    async fn next_line(&mut self) -> Option<io::Result<StreamLine>> {
        if let Some(line) = self.pending.take() {
            return Some(Ok(line));
        }
        let line = self.receiver.recv().await?;
        let StreamLine::Token { index, text, .. } = &line else {
            self.ended = true;
            return Some(Ok(line));
        };
        let half = self.max_tokens / 2;
        if self.faults.disconnect && *index >= half {
            return Some(Err(io::Error::other("broken by fault injection")));
        }
        if self.faults.truncate && *index + 1 == self.max_tokens {
            return Box::pin(self.next_line()).await;
        }
        if *index == half && std::mem::take(&mut self.faults.duplicate_token) {
            self.pending = Some(line.clone());
        }
        if *index == half && std::mem::take(&mut self.faults.wrong_attempt_id) {
            let attempt = "somebody-else".parse().expect("a valid id");
            let stray = StreamLine::Token { attempt, index: *index, text: text.clone() };
            self.pending = Some(line);
            return Some(Ok(stray));
        }
        Some(Ok(line))
    }
}
