//! Handlers of the endpoints' calls.

use std::sync::Arc;

use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes};
use gotham::state::State;
use oriolepass_schema::endpoint::{
    AnnouncementAnswer, CacheEvents, EndpointAnnouncement, EndpointHeartbeat, EndpointLeave,
    HeartbeatAnswer,
};
use oriolepass_schema::error::{ApiError, ErrorCode};
use oriolepass_schema::operator::{ObjectKind, ObjectSpec, PoolRole};

use oriolepass_schema::routes;

use super::body::read_control_json;
use super::{HttpResponse, answer, auth, handler};
use crate::shared::DaemonShared;

pub(crate) fn endpoint_router(shared: &Arc<DaemonShared>) -> Router {
    answer::router(|route| {
        route.post(routes::ANNOUNCE.pattern).to_new_handler(handler(shared, announce));
        route.post(routes::HEARTBEAT.pattern).to_new_handler(handler(shared, heartbeat));
        route.post(routes::CACHE_EVENTS.pattern).to_new_handler(handler(shared, cache_events));
        route.post(routes::LEAVE.pattern).to_new_handler(handler(shared, leave));
    })
}

async fn announce(shared: Arc<DaemonShared>, mut state: State) -> (State, HttpResponse) {
    let result = handle_announcement(&shared, &mut state).await;
    (state, result.unwrap_or_else(|error| answer::error(&error)))
}

async fn handle_announcement(
    shared: &DaemonShared,
    state: &mut State,
) -> Result<HttpResponse, ApiError> {
    let role = pool_role(shared, state)?;
    let announcement: EndpointAnnouncement = read_control_json(shared, state).await?;
    let home = shared.home_of(&announcement.data_centre, &announcement.endpoint);
    let own = home.as_ref().is_some_and(|home| home.instance == *shared.id());
    let accepted = own && shared.home.announce(announcement, role);
    let heartbeat = shared.settings.timing.endpoint_heartbeat.as_millis();
    Ok(answer::json(&AnnouncementAnswer {
        accepted,
        home: home.map(|home| home.addresses.endpoints),
        heartbeat_ms: u64::try_from(heartbeat).unwrap_or(u64::MAX),
    }))
}

/// Returns the role of the pool that owns the key of the call.
fn pool_role(shared: &DaemonShared, state: &State) -> Result<PoolRole, ApiError> {
    let pool = auth::owner(shared, state, ObjectKind::Pool)?;
    let view = shared.view.read();
    match view.object(ObjectKind::Pool, &pool).map(|object| &object.spec) {
        Some(ObjectSpec::Pool(spec)) => Ok(spec.role),
        _ => Err(ApiError::not_run(ErrorCode::Unauthorized, "the pool was removed")),
    }
}

async fn heartbeat(shared: Arc<DaemonShared>, mut state: State) -> (State, HttpResponse) {
    let result = handle_heartbeat(&shared, &mut state).await;
    (state, result.unwrap_or_else(|error| answer::error(&error)))
}

async fn handle_heartbeat(
    shared: &DaemonShared,
    state: &mut State,
) -> Result<HttpResponse, ApiError> {
    pool_role(shared, state)?;
    let heartbeat: EndpointHeartbeat = read_control_json(shared, state).await?;
    // A change of the members can move the endpoint to another home. The old home releases the
    // endpoint before the endpoint announces itself at the new home, so that the two homes never
    // grant at the same time.
    let moved = moved_home(shared, &heartbeat.endpoint);
    if let Some(home) = moved {
        let released = shared.home.release_endpoint(heartbeat.endpoint).await;
        let answer = HeartbeatAnswer { accepted: false, released, home: Some(home) };
        return Ok(answer::json(&answer));
    }
    let accepted = shared.home.heartbeat(heartbeat).await;
    Ok(answer::json(&HeartbeatAnswer { accepted, released: !accepted, home: None }))
}

/// Returns the address of the endpoint's home if it is another daemon.
fn moved_home(
    shared: &DaemonShared,
    endpoint: &oriolepass_units::EndpointId,
) -> Option<std::net::SocketAddr> {
    // A heartbeat names no data centre. An endpoint that is known here is in the data centre of
    // this daemon, or its data centre has no daemon. In the second case the endpoint's next
    // announcement finds the right home.
    let home = shared.home_of(shared.data_centre(), endpoint)?;
    (home.instance != *shared.id()).then_some(home.addresses.endpoints)
}

async fn cache_events(shared: Arc<DaemonShared>, mut state: State) -> (State, HttpResponse) {
    let result = async {
        pool_role(&shared, &state)?;
        let events: CacheEvents = read_control_json(&shared, &mut state).await?;
        shared.home.cache_events(events);
        Ok(answer::json(&HeartbeatAnswer { accepted: true, released: false, home: None }))
    };
    let response = result.await.unwrap_or_else(|error: ApiError| answer::error(&error));
    (state, response)
}

async fn leave(shared: Arc<DaemonShared>, mut state: State) -> (State, HttpResponse) {
    let result = async {
        pool_role(&shared, &state)?;
        let leave: EndpointLeave = read_control_json(&shared, &mut state).await?;
        // A daemon that is not the home returns the address of the home, which must be told
        // about the departure.
        let home = moved_home(&shared, &leave.endpoint);
        let accepted = shared.home.leave(leave).await;
        Ok(answer::json(&HeartbeatAnswer { accepted, released: false, home }))
    };
    let response = result.await.unwrap_or_else(|error: ApiError| answer::error(&error));
    (state, response)
}
