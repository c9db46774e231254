//! Who is calling.

use gotham::hyper::HeaderMap;
use gotham::state::State;
use oriolepass_schema::error::{ApiError, ErrorCode};
use oriolepass_schema::operator::ObjectKind;

use crate::shared::DaemonShared;

/// Returns the name of the object of a kind that holds the caller's key.
///
/// The key is never part of an error: what a caller sent by mistake may be a key elsewhere.
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
