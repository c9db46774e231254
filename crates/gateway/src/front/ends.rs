//! Detects whether an endpoint's process ended while it served a request, or only the connection
//! was lost.
//!
//! A connection that breaks in the middle of an answer is ambiguous: the endpoint or a machine on
//! the path may have closed it. The gateway therefore opens a new connection to the same address.
//! A refusal shows that the machine is up and that no process listens, so the endpoint's process has
//! ended. It counts only if another instance is refused as well, since the instance's own links may be
//! at fault.
//!
//! Anything else proves nothing. A network partition looks like a machine that is lost with its
//! process. The listener may outlive its process, for some milliseconds while the process ends, or for
//! good if a supervisor passes it to the next start. The end is then pending until one of these is
//! observed:
//!
//! * A further connection is refused: the process has ended.
//! * A later start of the endpoint, or another endpoint at its address, announces itself: the
//!   process has ended.
//! * The endpoint sends a heartbeat, or announces that it leaves: it was alive.
//!
//! The next start may come long after the crash, so an end is presumed meanwhile if no process
//! serves at the address and the heartbeats of the endpoint, but not of its neighbours, have stopped
//! ([`EndpointAbsence`]). A presumed end counts like a proved one until a heartbeat refutes it.
//!
//! A connection may also fall silent. Its request is followed in the same way from the time on when
//! the endpoint's heartbeats are overdue. A request that is given up before then, by its caller or at
//! its deadline, is followed as well. It counts if no heartbeat arrives any more and the endpoint is
//! more likely to have ended before that time than after it.
//!
//! Requests do not wait for pending ends; `broken_runs` tells what is done meanwhile.
//!
//! An answer that ends with its connection is ambiguous as well, since a crash may look like its
//! end. It counts as complete only if the start that wrote it was alive afterwards: the process at
//! its address says that it is that start, or a heartbeat of the start arrives that was sent later. A
//! heartbeat may arrive seconds late, so only one that arrives long after the end was surely sent later.
//! What another process answers, an open connection and an earlier notice that the endpoint leaves
//! show nothing of that. Only an endpoint whose own calls name nobody is believed as long as it
//! answers them. The endpoint is probed as well. Until an end is proved or refuted, the answer
//! counts neither for nor against its request.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::caller::CallerRequest;
use super::end_probes::{EndpointAbsence, watch_fate, watch_listener};
use super::evidence::{self, EndCase, EndEvidence, EvidenceStep, RunTimes};
use super::placement::{Placement, RunClock};
use crate::endpoints::EndpointFate;
use crate::events::{EventKind, EventLine};
use crate::gateway::Gateway;
use crate::quarantine::RequestSuspects;
use crate::task_guard::TaskGuard;
use crate::upstream::{EndpointTarget, ask_start};

/// How long a request waits for the probe connection. A reachable machine accepts or refuses within a
/// few network hops, and the request could continue at another endpoint meanwhile.
const PROBE_WAIT: Duration = Duration::from_millis(60);

/// How long a request waits for an accepted connection to close. A process that ends closes its
/// listener and its streams within milliseconds of each other.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(10);

/// How long the end of an answer waits for what its endpoint says of itself, if the rest of the answer
/// can be had elsewhere. An engine answers at once, even if it is busy; other endpoints may need a free
/// slot.
pub(super) const START_WAIT: Duration = Duration::from_millis(400);

/// How long the end of an answer waits for evidence if its request may be sent again. A busy endpoint
/// answers within this time, and a second send would make it busier.
const REPEATABLE_WAIT: Duration = Duration::from_secs(2);

/// The delay after a question to an endpoint that told nothing.
const QUESTION_DELAY: Duration = Duration::from_millis(100);

/// The part of a request's time that is kept to deliver its answer.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// The interval at which the registry is searched for evidence about a pending end.
pub(super) const FATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The result of probing an endpoint whose connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The endpoint's process has ended.
    Ended,
    /// The endpoint's process has ended, as far as can be told before its next start.
    Presumed,
    /// The endpoint had announced that it leaves.
    Left,
    /// The endpoint has sent a heartbeat since.
    Alive,
    /// The endpoint was not heard from again.
    Unknown,
}

impl ProbeResult {
    fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Presumed => "presumed",
            Self::Left => "left",
            Self::Alive => "lives",
            Self::Unknown => "unknown",
        }
    }
}

/// The progress of a probe, as seen by the requests that wait for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeProgress {
    /// No connection is open, and none has been refused.
    Connecting,
    /// A connection is open, so the end is pending.
    Accepted,
    Resolved(ProbeResult),
}

/// How a connection to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// In the middle of an answer, or before it.
    Broken,
    /// After a part of an answer whose end nothing else marks, so that the answer may be complete.
    Closed,
    /// Not at all, but the endpoint's heartbeats are overdue.
    Silent,
}

/// A request whose connection to an endpoint ended or fell silent.
#[derive(Debug, Clone)]
pub(super) struct EndedRun {
    request: String,
    suspects: RequestSuspects,
    is_at_engine: bool,
    end: ConnectionEnd,
    /// When the connection ended, or when the endpoint was last known to be alive.
    ended_at: MonotonicTime,
    /// When that was noticed. A heartbeat that was sent later shows that the endpoint is alive.
    pub(super) noticed_at: MonotonicTime,
    /// Whether the end has been recorded as presumed.
    is_presumed: bool,
    /// The time from sending the request to the end of the connection.
    duration: Duration,
    /// The time from the head of the answer to the end of the connection, if the head had arrived.
    answer_time: Option<Duration>,
}

/// An endpoint whose connections ended and that is being probed.
#[derive(Debug)]
struct PendingEnd {
    /// In the order in which the connections ended.
    runs: Vec<EndedRun>,
    progress: watch::Sender<ProbeProgress>,
    /// What the last probe found, if it found no process.
    absence: Option<EndpointAbsence>,
    /// Searches the registry for the endpoint's fate.
    _fate_watch: TaskGuard,
    /// Watches the endpoint's listener, until its connections stay open.
    listener_watch: Option<TaskGuard>,
}

impl PendingEnd {
    /// Adds a run. The connection of one that fell silent may have ended in the meantime.
    fn add(&mut self, run: EndedRun) {
        match self.runs.iter_mut().find(|other| other.request == run.request) {
            Some(known) if known.end == ConnectionEnd::Silent => known.end = run.end,
            _ => self.runs.push(run),
        }
    }
}

/// The endpoints that are being probed.
#[derive(Debug, Default)]
pub(crate) struct PendingEnds(BTreeMap<EndpointStart, PendingEnd>);

impl PendingEnds {
    pub(super) fn set_progress(&self, endpoint: &EndpointStart, progress: ProbeProgress) {
        if let Some(end) = self.0.get(endpoint) {
            end.progress.send_replace(progress);
        }
    }

    /// Records what the probe of an endpoint's listener found when it finished.
    pub(super) fn finish_probe(
        &mut self,
        endpoint: &EndpointStart,
        absence: Option<EndpointAbsence>,
    ) {
        if let Some(end) = self.0.get_mut(endpoint) {
            end.listener_watch = None;
            end.absence = absence;
        }
    }

    /// Returns what the last probe of an endpoint found, if it found no process.
    pub(super) fn absence(&self, endpoint: &EndpointStart) -> Option<EndpointAbsence> {
        self.0.get(endpoint)?.absence
    }

    /// Marks the runs that the absence of an endpoint explains as ended by a presumed end, and returns
    /// those that were not marked.
    pub(super) fn presume(
        &mut self,
        endpoint: &EndpointStart,
        absence: EndpointAbsence,
    ) -> Vec<EndedRun> {
        let Some(end) = self.0.get_mut(endpoint) else { return Vec::new() };
        let open = end.runs.iter_mut().filter(|run| !run.is_presumed);
        let explained = open.filter(|run| absence.explains(run.end));
        let mark = |run: &mut EndedRun| {
            run.is_presumed = true;
            run.clone()
        };
        explained.map(mark).collect()
    }
}

/// Probes an endpoint whose connection broke during a request. Once it is known whether the
/// endpoint's process ended, logs the result with the request, and records an end for the
/// quarantine.
///
/// Returns when the result is known or pending.
pub(super) async fn probe_for_end(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: &Placement,
) {
    let target = placement.target();
    placement.clock.record_over();
    let end = ConnectionEnd::Broken;
    let run = EndedRun::new(gateway, request, &target, &placement.clock, end);
    let broke_at = run.noticed_at;
    let mut progress = join_probe(gateway, run, target);
    if !is_resolved(&wait_for_result(&mut progress).await) {
        gateway.record_broken_run(request.digest(), &placement.endpoint, broke_at);
    }
}

/// Determines whether an answer is complete that ended with its connection: whether the start that
/// wrote it was alive afterwards.
///
/// Clears the request of earlier ends, or records an end, once either is proved.
pub(super) async fn is_answer_complete(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    placement: &Placement,
) -> bool {
    let target = placement.target();
    let end = ConnectionEnd::Closed;
    let run = EndedRun::new(gateway, request, &target, &placement.clock, end);
    let evidence = find_evidence(gateway, request, &target, run.noticed_at).await;
    gateway.metrics.unframed_ends.with_label_values(&[evidence.name()]).inc();
    gateway
        .line(EventKind::AnswerEnd)
        .text("request", &request.id)
        .text("endpoint", &target.endpoint)
        .maybe("relay", placement.connection.relay())
        .text("evidence", evidence.name())
        .millis("judged_ms", gateway.now().since(run.noticed_at))
        .text("outcome", if evidence.proves_complete() { "complete" } else { "cut" });
    if evidence == EndEvidence::Answered {
        let RequestSuspects { request, parts } = &run.suspects;
        gateway.record_complete_answer(parts, || *request, run.duration);
        return true;
    }
    join_probe(gateway, run, target);
    evidence.proves_complete()
}

/// Asks the endpoint. Where the answer is better delivered late than not at all, goes on asking, and
/// waits for a heartbeat that was sent after the end.
async fn find_evidence(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    ended_at: MonotonicTime,
) -> EndEvidence {
    let may_go_on_elsewhere = request.service.engine.is_some() && request.route.repeat.may_repeat();
    let mut asking = std::pin::pin!(ask_until_known(gateway, request, target, may_go_on_elsewhere));
    if let Ok(evidence) = timeout(START_WAIT, &mut asking).await {
        return evidence;
    }
    if may_go_on_elsewhere {
        return EndEvidence::None;
    }
    let time_left = request.time_left().saturating_sub(DELIVERY_TIME);
    let may_repeat = request.route.repeat.may_repeat();
    let wait = if may_repeat { REPEATABLE_WAIT } else { gateway.evidence_wait() };
    tokio::select! {
        evidence = asking => evidence,
        evidence = wait_for_heartbeat(gateway, target, ended_at) => evidence,
        () = sleep(wait.min(time_left)) => EndEvidence::None,
    }
}

/// Asks the process at an endpoint's address until its answer tells whether the start is alive.
async fn ask_until_known(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    may_go_on_elsewhere: bool,
) -> EndEvidence {
    loop {
        let question = if request.service.engine.is_some() {
            (gateway.dialect.ask_engine_start)(&target.endpoint)
        } else {
            (gateway.dialect.ask_endpoint_start)(&target.endpoint, &request.service.health_path)
        };
        let answer = ask_start(gateway, target, question).await;
        let is_known = gateway.endpoints.borrow().is_known(&target.endpoint);
        match (EndCase { is_known, may_go_on_elsewhere }).judge_answer(answer) {
            EvidenceStep::Found(evidence) => return evidence,
            EvidenceStep::AwaitHeartbeat => sleep(QUESTION_DELAY).await,
        }
    }
}

async fn wait_for_heartbeat(
    gateway: &Gateway,
    target: &EndpointTarget,
    ended_at: MonotonicTime,
) -> EndEvidence {
    loop {
        let fate = gateway.endpoints.borrow().fate(&target.endpoint, target.address);
        match evidence::judge_fate(fate, ended_at, gateway.heard_proof_margin()) {
            EvidenceStep::Found(evidence) => return evidence,
            EvidenceStep::AwaitHeartbeat => sleep(FATE_CHECK_INTERVAL).await,
        }
    }
}

fn is_resolved(progress: &ProbeProgress) -> bool {
    matches!(progress, ProbeProgress::Resolved(_))
}

/// Waits a short time for the result of a probe. Returns the progress that it has made.
async fn wait_for_result(progress: &mut watch::Receiver<ProbeProgress>) -> ProbeProgress {
    let wait_for = async |progress: &mut watch::Receiver<_>, limit, is_awaited: fn(&_) -> bool| {
        // The sender is dropped only after the result has been recorded.
        let _ = timeout(limit, progress.wait_for(is_awaited)).await;
    };
    wait_for(progress, PROBE_WAIT, |state| *state != ProbeProgress::Connecting).await;
    wait_for(progress, CLOSE_TIMEOUT, is_resolved).await;
    *progress.borrow()
}

impl EndedRun {
    fn new(
        gateway: &Gateway,
        request: &CallerRequest,
        target: &EndpointTarget,
        clock: &RunClock,
        end: ConnectionEnd,
    ) -> Self {
        let now = gateway.now();
        let is_at_engine = request.service.engine.is_some();
        // An engine writes its answer piece by piece.
        let overdue = gateway.overdue_silence();
        let progress_at = clock.last_progress();
        let is_stalled =
            is_at_engine && clock.has_answer_begun() && now.since(progress_at) >= overdue;
        let times = {
            let endpoints = gateway.endpoints.borrow();
            let fate = endpoints.fate(&target.endpoint, target.address);
            let heard_at = endpoints.last_heard(&target.endpoint);
            let is_silent = heard_at.is_some_and(|heard_at| now.since(heard_at) >= overdue);
            let is_over = fate == EndpointFate::Replaced || is_silent;
            RunTimes { noticed_at: now, progress_at, heard_at, is_over, is_stalled }
        };
        let ended_at = times.ended_at();
        let run = Self {
            request: request.id.clone(),
            suspects: request.suspects(),
            is_at_engine,
            end,
            ended_at,
            noticed_at: now,
            is_presumed: false,
            duration: Duration::ZERO,
            answer_time: None,
        };
        run.with_end_at(ended_at, clock)
    }

    /// Returns the run with another time of its end.
    fn with_end_at(self, ended_at: MonotonicTime, clock: &RunClock) -> Self {
        let (duration, answer_time) = (clock.run_time(ended_at), clock.answer_time(ended_at));
        Self { ended_at, duration, answer_time, ..self }
    }

    /// Returns the time for which the parts of the prompt had an effect: since the head of the
    /// answer, or since the prompt was sent if the head did not arrive. The engine may have written
    /// a head that was lost with its process.
    fn part_duration(&self) -> Duration {
        self.answer_time.unwrap_or(self.duration)
    }
}

/// Follows a request whose connection is silent while the heartbeats of its endpoint are overdue.
/// Records an end for the quarantine if the endpoint's process has ended.
pub(super) fn watch_silent_run(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    clock: &RunClock,
) {
    let run = EndedRun::new(gateway, request, target, clock, ConnectionEnd::Silent);
    join_probe(gateway, run, target.clone());
}

/// Follows a run that was given up before its answer ended. Records an end for the quarantine if the
/// endpoint's process has ended and had probably done so before.
pub(super) fn follow_given_up(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    target: &EndpointTarget,
    clock: &RunClock,
) {
    if clock.is_over() || !clock.is_delivered() {
        return;
    }
    let silence = gateway.endpoints.borrow().silence(gateway.now(), &target.endpoint);
    if !silence.is_some_and(|silence| gateway.may_have_ended(silence)) {
        return;
    }
    let run = EndedRun::new(gateway, request, target, clock, ConnectionEnd::Silent);
    let (gateway, target, clock) = (Rc::clone(gateway), target.clone(), clock.clone());
    spawn_local(async move {
        let Some(heard_at) = wait_until_overdue(&gateway, &target).await else { return };
        let given_up_at = run.noticed_at;
        if given_up_at > heard_at && gateway.may_have_ended(given_up_at.since(heard_at)) {
            let ended_at = clock.last_progress().max(heard_at);
            join_probe(&gateway, run.with_end_at(ended_at, &clock), target);
        }
    });
}

/// Waits until the heartbeats of an endpoint are overdue. Returns when the last one arrived, or `None`
/// if the endpoint is not known any more or was heard from in the meantime.
async fn wait_until_overdue(gateway: &Gateway, target: &EndpointTarget) -> Option<MonotonicTime> {
    let given_up_at = gateway.now();
    loop {
        let now = gateway.now();
        let silence = gateway.endpoints.borrow().silence(now, &target.endpoint)?;
        let heard_at = now - silence;
        if heard_at > given_up_at {
            return None;
        }
        let overdue = gateway.overdue_silence();
        if silence >= overdue {
            return Some(heard_at);
        }
        sleep((overdue - silence).max(FATE_CHECK_INTERVAL)).await;
    }
}

impl Gateway {
    /// Returns whether an endpoint that is not heard from again is more likely to have ended within
    /// `silence` after its last heartbeat than later.
    fn may_have_ended(&self, silence: Duration) -> bool {
        silence * 2 >= self.settings().bounds.endpoint_heartbeat
    }
}

/// Adds a run to the probe of its endpoint, and starts the probe if there is none.
fn join_probe(
    gateway: &Rc<Gateway>,
    run: EndedRun,
    target: EndpointTarget,
) -> watch::Receiver<ProbeProgress> {
    let is_engine = run.is_at_engine;
    let mut pending = gateway.pending_ends.borrow_mut();
    if let Some(end) = pending.0.get_mut(&target.endpoint) {
        end.add(run);
        if end.listener_watch.is_none() {
            end.progress.send_replace(ProbeProgress::Connecting);
            let watch = watch_listener(gateway, target, is_engine);
            end.listener_watch = Some(TaskGuard::spawn(watch));
        }
        return end.progress.subscribe();
    }
    let (progress, watched) = watch::channel(ProbeProgress::Connecting);
    let has_left = !gateway.endpoints.borrow().is_known(&target.endpoint);
    let listener_watch =
        (!has_left).then(|| TaskGuard::spawn(watch_listener(gateway, target.clone(), is_engine)));
    let fate_watch = TaskGuard::spawn(watch_fate(gateway, target.clone(), has_left));
    let end = PendingEnd {
        runs: vec![run],
        progress,
        absence: None,
        _fate_watch: fate_watch,
        listener_watch,
    };
    pending.0.insert(target.endpoint, end);
    watched
}

/// Records the result of an endpoint's probe for the runs that it resolves. The probe ends with its
/// last run.
pub(super) fn record_result(
    gateway: &Gateway,
    endpoint: &EndpointStart,
    result: ProbeResult,
    is_resolved: impl Fn(&EndedRun) -> bool,
) {
    let mut pending = gateway.pending_ends.borrow_mut();
    let Some(end) = pending.0.get_mut(endpoint) else { return };
    let (resolved, open): (Vec<_>, Vec<_>) = end.runs.drain(..).partition(is_resolved);
    end.runs = open;
    let ended_probe = if end.runs.is_empty() { pending.0.remove(endpoint) } else { None };
    drop(pending);
    if !resolved.is_empty() {
        gateway.broken_runs.borrow_mut().resolve(endpoint);
    }
    for run in &resolved {
        record_run(gateway, endpoint, result, run);
    }
    if let Some(probe) = ended_probe {
        probe.progress.send_replace(ProbeProgress::Resolved(result));
    }
}

fn record_run(gateway: &Gateway, endpoint: &EndpointStart, result: ProbeResult, run: &EndedRun) {
    gateway.metrics.end_probes.with_label_values(&[result.name()]).inc();
    match result {
        ProbeResult::Ended => record_end(gateway, endpoint, run),
        ProbeResult::Alive | ProbeResult::Left if run.is_presumed => {
            gateway.refute_end(&run.suspects, endpoint);
        }
        _ => {}
    }
    if (result, run.end) == (ProbeResult::Alive, ConnectionEnd::Closed) {
        let RequestSuspects { request, parts } = &run.suspects;
        gateway.record_complete_answer(parts, || *request, run.duration);
    }
    // A request whose endpoint is alive is the usual case unless its connection broke.
    let is_usual = result == ProbeResult::Alive && run.end != ConnectionEnd::Broken;
    if !is_usual || run.is_presumed {
        end_line(gateway, endpoint, result, run);
    }
}

/// Records and logs that an endpoint's process is presumed to have ended under a run.
pub(super) fn record_presumed_end(
    gateway: &Gateway,
    endpoint: &EndpointStart,
    run: &EndedRun,
    absence: EndpointAbsence,
) {
    gateway.metrics.end_probes.with_label_values(&[ProbeResult::Presumed.name()]).inc();
    record_end(gateway, endpoint, run);
    end_line(gateway, endpoint, ProbeResult::Presumed, run).text("evidence", absence.name());
}

/// Records that an endpoint's process ended under a run.
///
/// A process ends once, so an earlier observation of its end also holds for this run. Its connection
/// may have fallen silent then.
fn record_end(gateway: &Gateway, endpoint: &EndpointStart, run: &EndedRun) {
    let observed_at = gateway.first_observed_end(endpoint).unwrap_or(run.ended_at);
    let ended_at = run.ended_at.min(observed_at);
    let delay = run.ended_at.since(ended_at);
    let duration = run.duration.saturating_sub(delay);
    let part_duration = run.part_duration().saturating_sub(delay);
    gateway.record_endpoint_end(run.suspects.request, endpoint, ended_at, duration);
    gateway.record_end_under_parts(&run.suspects, endpoint, ended_at, part_duration);
}

/// Begins the log line about the result of a probe for one run.
fn end_line<'a>(
    gateway: &'a Gateway,
    endpoint: &EndpointStart,
    result: ProbeResult,
    run: &EndedRun,
) -> EventLine<'a> {
    gateway
        .line(EventKind::EndpointEnd)
        .text("request", &run.request)
        .text("digest", run.suspects.request)
        .maybe("parts", part_list(&run.suspects))
        .text("endpoint", endpoint)
        .millis("run_ms", run.duration)
        .maybe_millis("answer_ms", run.answer_time)
        .millis("broken_ms", gateway.now().since(run.ended_at))
        .maybe_millis("silent_ms", gateway.endpoints.borrow().silence(gateway.now(), endpoint))
        .maybe("log_odds", gateway.cause_log_odds(run.suspects.request))
        .text("outcome", result.name())
}

/// Lists the digests of the parts of a prompt. Returns `None` if it shares none.
fn part_list(suspects: &RequestSuspects) -> Option<String> {
    let digests: Vec<String> = suspects.parts.iter().map(ToString::to_string).collect();
    (!digests.is_empty()).then(|| digests.join(","))
}
