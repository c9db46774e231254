//! Handlers of the operators' calls: queries first, then commands.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::hyper::Uri;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes};
use gotham::state::State;
use oriolepass_config::{ApplyOutcome, ChangeCommand, MemberCommand, ReplicatedCommand};
use oriolepass_schema::OPENAPI_JSON;
use oriolepass_schema::error::{ApiError, ErrorCode, RanState};
use oriolepass_schema::operator::{
    ChangeCall, DrainCall, InForceAnswer, MemberView, ObjectKind, StatusAnswer, VotersCall,
};
use oriolepass_units::{InstanceId, ObjectRevision, TeamId};
use spdlog::warn;

use oriolepass_schema::routes;

use super::body::read_control_json;
use super::{HttpResponse, answer, auth, handler};
use crate::member::{LeaderClient, LeaderError};
use crate::peers::{LeaderReport, PeerAnswer, PeerQuestion};
use crate::shared::DaemonShared;

/// Timeout for the leader to commit a change.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout for the leader to answer a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time by which the answer to an accepted change is delayed until this daemon has applied it.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of audit records in an answer.
const MAX_AUDIT_RECORDS: u32 = 1_000;

pub(crate) fn operator_router(shared: &Arc<DaemonShared>) -> Router {
    answer::router(|route| {
        route.get(routes::LIVE.pattern).to_new_handler(handler(shared, live));
        route.get(routes::READY.pattern).to_new_handler(handler(shared, ready));
        route.get(routes::METRICS.pattern).to_new_handler(handler(shared, metrics));
        route.get(routes::SCHEMA.pattern).to_new_handler(handler(shared, schema));
        route.get(routes::OBJECTS.pattern).to_new_handler(handler(shared, objects));
        route.get(routes::OBJECT.pattern).to_new_handler(handler(shared, object));
        route.get(routes::STATUS.pattern).to_new_handler(handler(shared, status));
        route.get(routes::IN_FORCE.pattern).to_new_handler(handler(shared, in_force));
        route.get(routes::AUDIT.pattern).to_new_handler(handler(shared, audit));
        route.post(routes::CHANGES.pattern).to_new_handler(handler(shared, change));
        route.post(routes::DRAIN.pattern).to_new_handler(handler(shared, drain));
        route.post(routes::VOTERS.pattern).to_new_handler(handler(shared, voters));
    })
}

/// Authenticates a call as a team's and responds with the result of `work`.
async fn as_team<F, Fut>(
    shared: Arc<DaemonShared>,
    mut state: State,
    work: F,
) -> (State, HttpResponse)
where
    F: FnOnce(Arc<DaemonShared>, TeamId, CallParts) -> Fut,
    Fut: Future<Output = Result<HttpResponse, ApiError>>,
{
    let result = async {
        // After a restart, a daemon may hold an older configuration than it served before.
        if !shared.freshness.was_current() {
            let detail = "this daemon has not caught up with the accepted configuration yet";
            let error = ApiError::not_run(ErrorCode::NotReady, detail);
            return Err(error.retry_after(Duration::from_millis(500)));
        }
        let name = auth::owner(&shared, &state, ObjectKind::Team)?;
        let team = name.parse().map_err(|e| ApiError::not_run(ErrorCode::Internal, e))?;
        let parts = CallParts::read(&shared, &mut state).await?;
        work(shared, team, parts).await
    };
    let response = result.await.unwrap_or_else(|error| answer::error(&error));
    (state, response)
}

/// A call's path and query, and its body if it has one.
struct CallParts {
    path: String,
    query: HashMap<String, String>,
    body: Option<serde_json::Value>,
}

impl CallParts {
    async fn read(shared: &DaemonShared, state: &mut State) -> Result<Self, ApiError> {
        let uri = state.borrow::<Uri>().clone();
        let post = state.borrow::<gotham::hyper::Method>() == gotham::hyper::Method::POST;
        let body = if post { Some(read_control_json(shared, state).await?) } else { None };
        let pairs = uri.query().unwrap_or_default().split('&');
        let query = pairs
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        Ok(Self { path: uri.path().to_owned(), query, body })
    }

    fn json<T: serde::de::DeserializeOwned>(&mut self) -> Result<T, ApiError> {
        let body = self.body.take().unwrap_or_default();
        serde_json::from_value(body).map_err(|error| {
            let detail = format!("the body is not as expected: {error}");
            ApiError::not_run(ErrorCode::Malformed, detail)
        })
    }

    fn parsed<T: std::str::FromStr>(&self, key: &str) -> Result<Option<T>, ApiError> {
        let Some(text) = self.query.get(key) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| {
            ApiError::not_run(ErrorCode::Malformed, format!("{key}={text} cannot be read"))
        })
    }
}

// Queries.

async fn live(_: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    (state, answer::raw(200, "text/plain", "live\n"))
}

/// Reports whether requests may be sent to this daemon. A daemon that is draining or may hold an
/// outdated configuration is live, but not ready.
async fn ready(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    let response = if shared.is_ready() {
        answer::raw(200, "text/plain", "ready\n")
    } else {
        answer::raw(503, "text/plain", "not ready\n")
    };
    (state, response)
}

async fn metrics(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    let mark = shared.view.mark();
    let revision = i64::try_from(mark.config_revision.0).unwrap_or(i64::MAX);
    shared.metrics.config_revision.set(revision);
    if let Some(log) = &shared.log {
        let depth = i64::try_from(log.depth()).unwrap_or(i64::MAX);
        shared.metrics.ring_depth.with_label_values(&["log"]).set(depth);
    }
    (state, answer::raw(200, "text/plain; version=0.0.4", shared.metrics.render()))
}

async fn schema(_: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    (state, answer::raw(200, "application/json", OPENAPI_JSON))
}

async fn objects(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, _, parts| async move {
        let kind: Option<ObjectKind> = parts.parsed("kind")?;
        Ok(answer::json(&shared.view.read().list(kind)))
    })
    .await
}

async fn object(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, _, parts| async move {
        let rest = parts.path.strip_prefix("/v1/objects/").unwrap_or_default();
        let missing = || ApiError::not_run(ErrorCode::NotFound, format!("there is no {rest}"));
        let (kind, name) = rest.split_once('/').ok_or_else(missing)?;
        let kind: ObjectKind = kind.parse().map_err(|_| missing())?;
        let view = shared.view.read();
        let object = view.object(kind, name).ok_or_else(missing)?;
        Ok(answer::json(&object.view(kind, name)))
    })
    .await
}

async fn status(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, _, _| async move {
        let mut leader = LeaderClient::default();
        let report = leader_report(&shared, &mut leader).await.unwrap_or_default();
        let mark = shared.view.mark();
        let members = member_views(&shared, &report.applied.into_iter().collect());
        Ok(answer::json(&StatusAnswer {
            instance: shared.id().clone(),
            leader: leader.last_leader().cloned(),
            term: report.term,
            voters: report.voters,
            learners: report.learners,
            applied_index: mark.index,
            config_revision: mark.config_revision,
            members,
            endpoints: shared.home.views().await,
            running: shared.running.load(Ordering::SeqCst),
        }))
    })
    .await
}

fn member_views(
    shared: &DaemonShared,
    applied: &HashMap<InstanceId, ObjectRevision>,
) -> Vec<MemberView> {
    let view = shared.view.read();
    let members = view.members().iter().map(|member| MemberView {
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
        draining: member.draining,
        operators: member.addresses.operators,
        applied: applied.get(&member.instance).copied(),
    });
    members.collect()
}

async fn leader_report(
    shared: &DaemonShared,
    leader: &mut LeaderClient,
) -> Result<LeaderReport, ApiError> {
    let answer = leader.ask(shared, &PeerQuestion::LeaderReport, QUERY_TIMEOUT).await;
    match answer {
        Ok(PeerAnswer::LeaderReport(Ok(report))) => Ok(report),
        _ => Err(no_leader()),
    }
}

fn no_leader() -> ApiError {
    ApiError::not_run(ErrorCode::NoQuorum, "no leader of the log could be asked")
        .retry_after(Duration::from_secs(2))
}

/// `GET /v1/in-force`: whether a revision is in force on every member.
async fn in_force(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, _, parts| async move {
        let mark = shared.view.mark();
        let revision = parts.parsed("revision")?.unwrap_or(mark.config_revision);
        let report = leader_report(&shared, &mut LeaderClient::default()).await?;
        let applied: HashMap<InstanceId, ObjectRevision> = report.applied.into_iter().collect();
        let view = shared.view.read();
        let lags = |instance: &InstanceId| applied.get(instance).is_none_or(|a| *a < revision);
        let lagging: Vec<InstanceId> =
            view.members().iter().map(|member| member.instance.clone()).filter(lags).collect();
        let everywhere = lagging.is_empty();
        Ok(answer::json(&InForceAnswer { config_revision: revision, everywhere, lagging }))
    })
    .await
}

async fn audit(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, _, parts| async move {
        let after = parts.parsed("after")?.unwrap_or(0);
        let limit = parts.parsed("limit")?.unwrap_or(MAX_AUDIT_RECORDS).min(MAX_AUDIT_RECORDS);
        let question = PeerQuestion::Audit { after, limit };
        match LeaderClient::default().ask(&shared, &question, QUERY_TIMEOUT).await {
            Ok(PeerAnswer::Audit(Ok(trail))) => Ok(answer::json(&trail)),
            _ => Err(no_leader()),
        }
    })
    .await
}

// Commands.

/// `POST /v1/changes`. A resend after the loss of the leader is safe: the log recognises the
/// change id and returns the first answer.
async fn change(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, team, mut parts| async move {
        let call: ChangeCall = parts.json()?;
        match propose(&shared, ReplicatedCommand::Change(ChangeCommand { team, call })).await? {
            ApplyOutcome::Changed(changed) => {
                wait_until_applied(&shared, changed.config_revision).await;
                Ok(answer::json(&changed))
            }
            ApplyOutcome::Refused(error) => Err(error),
            _ => Err(unexpected_answer()),
        }
    })
    .await
}

/// Waits until this daemon's view has reached a revision, so that a caller's next query here includes
/// its change. The leader answers when it has applied the change, which may be earlier. A daemon that
/// is cut off meanwhile answers after [`APPLY_TIMEOUT`]: the change is accepted in any case.
async fn wait_until_applied(shared: &DaemonShared, revision: ObjectRevision) {
    let mut mark = shared.view.watch();
    let applied = mark.wait_for(|mark| mark.config_revision >= revision);
    if tokio::time::timeout(APPLY_TIMEOUT, applied).await.is_err() {
        warn!("an accepted change is not applied here yet", kv: { revision = revision.0 });
    }
}

async fn propose(
    shared: &DaemonShared,
    command: ReplicatedCommand,
) -> Result<ApplyOutcome, ApiError> {
    let question = PeerQuestion::Propose(command);
    match LeaderClient::default().ask(shared, &question, COMMIT_TIMEOUT).await {
        Ok(PeerAnswer::Proposed(Ok(outcome))) => Ok(outcome),
        Ok(_) => Err(unexpected_answer()),
        Err(error @ (LeaderError::NoLeader | LeaderError::Lost)) => {
            // An earlier proposal may have been committed although its answer was lost.
            let error = ApiError::new(ErrorCode::NoQuorum, RanState::Unknown, error);
            Err(error.retry_after(Duration::from_secs(2)))
        }
    }
}

fn unexpected_answer() -> ApiError {
    ApiError::new(ErrorCode::Internal, RanState::Unknown, "the log answered something else")
}

/// `POST /v1/drain`: an admin team drains a daemon. The daemon rejoins when it is restarted.
async fn drain(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, team, mut parts| async move {
        let call: DrainCall = parts.json()?;
        check_admin(&shared, &team)?;
        if shared.view.read().members().get(&call.instance).is_none() {
            let detail = format!("there is no member {}", call.instance);
            return Err(ApiError::not_run(ErrorCode::NotFound, detail));
        }
        let command = MemberCommand::Drain(call.instance.clone());
        propose(&shared, ReplicatedCommand::Member(command)).await?;
        Ok(answer::json(&call))
    })
    .await
}

/// `POST /v1/voters`: sets the instances that should replicate the log as voters.
async fn voters(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    as_team(shared, state, |shared, team, mut parts| async move {
        let call: VotersCall = parts.json()?;
        check_admin(&shared, &team)?;
        if call.wanted.len().is_multiple_of(2) {
            let detail = "an even number of voters is no safer than one fewer; name 1, 3 or 5";
            return Err(ApiError::not_run(ErrorCode::Malformed, detail));
        }
        let question = PeerQuestion::WantVoters(call.wanted.clone());
        match LeaderClient::default().ask(&shared, &question, QUERY_TIMEOUT).await {
            Ok(PeerAnswer::VotersWanted(Ok(()))) => Ok(answer::json(&call)),
            _ => Err(no_leader()),
        }
    })
    .await
}

fn check_admin(shared: &DaemonShared, team: &TeamId) -> Result<(), ApiError> {
    if shared.view.read().is_admin(team) {
        return Ok(());
    }
    let detail = format!("team {team} is not an admin team");
    Err(ApiError::not_run(ErrorCode::Forbidden, detail))
}
