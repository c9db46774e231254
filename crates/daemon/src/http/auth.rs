//! Authenticates calls by their bearer key.

use gotham::hyper::HeaderMap;
use gotham::state::State;
use oriolepass_schema::error::{ApiError, ErrorCode};
use oriolepass_schema::operator::ObjectKind;

use crate::shared::DaemonShared;

/// Returns the name of the object of the given kind that owns the caller's key.
///
/// Errors never contain the key, because a key sent by mistake may be valid in another system.
pub(super) fn owner(
    shared: &DaemonShared,
    state: &State,
    kind: ObjectKind,
) -> Result<String, ApiError> {
    let key = bearer_key(state)
        .ok_or_else(|| ApiError::not_run(ErrorCode::Unauthorized, "the call carries no key"))?;
    match shared.view.read().key_owner(key) {
        Some(owner) if owner.kind == kind => Ok(owner.name),
        Some(_) => Err(ApiError::not_run(
            ErrorCode::Forbidden,
            format!("the key is valid, but does not belong to a {kind}"),
        )),
        None => Err(ApiError::not_run(ErrorCode::Unauthorized, "the key is not valid")),
    }
}

fn bearer_key(state: &State) -> Option<&str> {
    let header = state.borrow::<HeaderMap>().get("authorization")?;
    header.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}
