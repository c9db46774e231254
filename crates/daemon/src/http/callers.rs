//! Handlers of the callers' calls, and their admission.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes};
use gotham::state::State;
use oriolepass_config::MemberRecord;
use oriolepass_schema::caller::{AddressList, EntryAddress};
use oriolepass_schema::error::{ApiError, ErrorCode};
use oriolepass_schema::operator::ObjectKind;
use oriolepass_units::{AccountId, MonotonicTime};

use oriolepass_schema::routes;

use super::{HttpResponse, answer, auth, completions, handler, services};
use crate::shared::{DaemonShared, DrainPhase};

pub(crate) fn caller_router(shared: &Arc<DaemonShared>) -> Router {
    answer::router(|route| {
        route.get(routes::ADDRESSES.pattern).to_new_handler(handler(shared, addresses));
        route
            .post(routes::COMPLETIONS.pattern)
            .to_new_handler(handler(shared, completions::complete));
        route
            .post(routes::CHAT_COMPLETIONS.pattern)
            .to_new_handler(handler(shared, completions::chat));
        route.post(routes::SERVICES.pattern).to_new_handler(handler(shared, services::call));
    })
}

/// `GET /v1/addresses`: the addresses to connect to, best first, and the time for which callers
/// may keep the list.
async fn addresses(shared: Arc<DaemonShared>, state: State) -> (State, HttpResponse) {
    let response = match auth::owner(&shared, &state, ObjectKind::Account) {
        Ok(account) => answer::json(&address_list(&shared, &account)),
        Err(error) => answer::error(&error),
    };
    (state, response)
}

/// Ranks the daemons that are not draining: those of this daemon's own data centre first. Within
/// both parts the order differs by account, so that the accounts spread over the daemons.
fn address_list(shared: &DaemonShared, account: &str) -> AddressList {
    let view = shared.view.read();
    let own = shared.data_centre();
    let mut members: Vec<&MemberRecord> =
        view.members().iter().filter(|member| !member.draining).collect();
    members
        .sort_by_key(|m| (m.data_centre != *own, rank_for_account(account, m.instance.as_str())));
    let address = |member: &MemberRecord| EntryAddress {
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
        address: member.addresses.callers,
    };
    let keep = shared.settings.timing.address_keep.as_millis();
    AddressList {
        addresses: members.into_iter().map(address).collect(),
        keep_ms: u64::try_from(keep).unwrap_or(u64::MAX),
    }
}

/// Returns the rank of an instance for an account, a hash of both names.
fn rank_for_account(account: &str, instance: &str) -> u64 {
    let text = format!("{account}/{instance}");
    oriolepass_schema::digest::sha256_hex(text.as_bytes())
        .bytes()
        .take(16)
        .fold(0, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

/// The account of an admitted request and the time of its arrival.
pub(super) struct Admission {
    pub(super) account: AccountId,
    pub(super) arrived: MonotonicTime,
}

/// Decides whether the daemon admits another request. The limits are checked before the key, so
/// that calls without a key cost little.
pub(super) fn admit(shared: &DaemonShared, state: &State) -> Result<Admission, ApiError> {
    let arrived = shared.now();
    if shared.drain_phase() == DrainPhase::Closed {
        return Err(ApiError::not_run(ErrorCode::Draining, "this daemon takes no new requests"));
    }
    if shared.running.load(Ordering::SeqCst) >= shared.settings.limits.max_requests {
        let error = ApiError::not_run(ErrorCode::Overloaded, "this daemon is full");
        return Err(error.retry_after(Duration::from_secs(1)));
    }
    if !shared.freshness.is_current(arrived) {
        let detail = "this daemon cannot tell whether its configuration is the one in force";
        let error = ApiError::not_run(ErrorCode::NotReady, detail);
        return Err(error.retry_after(Duration::from_secs(1)));
    }
    let name = auth::owner(shared, state, ObjectKind::Account)?;
    let account = name.parse().map_err(|error| {
        ApiError::not_run(ErrorCode::Internal, format!("the account's name: {error}"))
    })?;
    Ok(Admission { account, arrived })
}

/// Returns the deadline of a request.
pub(super) fn deadline(
    shared: &DaemonShared,
    arrived: MonotonicTime,
    asked_ms: Option<u64>,
) -> Result<MonotonicTime, ApiError> {
    let limits = &shared.settings.limits;
    let span = asked_ms.map_or(limits.default_deadline, Duration::from_millis);
    if span.is_zero() {
        return Err(ApiError::not_run(ErrorCode::DeadlineExceeded, "deadline_ms is 0"));
    }
    if span > limits.max_deadline {
        let most = limits.max_deadline.as_millis();
        let detail = format!("deadline_ms is {}, but at most {most}", span.as_millis());
        return Err(ApiError::not_run(ErrorCode::Malformed, detail));
    }
    Ok(arrived + span)
}
