//! Validates configuration changes: form, ownership, revision and keys.

use oriolepass_schema::error::{ApiError, ErrorCode};
use oriolepass_schema::operator::{
    ChangeAction, ChangeCall, KeyHash, MAX_KEYS, ObjectKind, ObjectSpec,
};
use oriolepass_units::{ObjectRevision, TeamId};

use crate::view::{ConfigView, StoredObject};

/// Checks a change against the current view.
///
/// # Errors
///
/// Returns the refusal that is sent to the operator.
pub(crate) fn check(view: &ConfigView, team: &TeamId, call: &ChangeCall) -> Result<(), ApiError> {
    check_well_formed(call)?;
    let present = view.object(call.action.kind(), &call.name);
    check_owner(view, team, call, present)?;
    check_revision(call, present)?;
    check_keys(view, call)?;
    check_removal(view, call)
}

fn malformed(detail: impl std::fmt::Display) -> ApiError {
    ApiError::not_run(ErrorCode::Malformed, detail)
}

fn forbidden(detail: impl std::fmt::Display) -> ApiError {
    ApiError::not_run(ErrorCode::Forbidden, detail)
}

fn check_well_formed(call: &ChangeCall) -> Result<(), ApiError> {
    call.name.parse::<TeamId>().map_err(|error| malformed(format!("the name: {error}")))?;
    let ChangeAction::Put(spec) = &call.action else { return Ok(()) };
    if spec.keys().len() > MAX_KEYS {
        return Err(malformed(format!("{} keys, but at most {MAX_KEYS}", spec.keys().len())));
    }
    if !spec.keys().iter().all(KeyHash::is_well_formed) {
        return Err(malformed("a key hash is not 64 hexadecimal digits in lower case"));
    }
    match spec {
        ObjectSpec::Account(account) if account.share == 0 => {
            Err(malformed("the share is 0, but must be at least 1"))
        }
        ObjectSpec::Model(model) if model.max_prompt.0 == 0 => {
            Err(malformed("max_prompt is 0, but must be at least 1 token"))
        }
        _ => Ok(()),
    }
}

fn check_owner(
    view: &ConfigView,
    team: &TeamId,
    call: &ChangeCall,
    present: Option<&StoredObject>,
) -> Result<(), ApiError> {
    // The team may have been removed after the command was proposed and before it is applied.
    if view.object(ObjectKind::Team, team.as_str()).is_none() {
        return Err(forbidden(format!("team {team} does not exist")));
    }
    if call.action.kind() == ObjectKind::Team {
        return check_team_change(view, team, call);
    }
    match present {
        Some(object) if object.team != *team => Err(forbidden(format!(
            "{} {} belongs to team {}",
            call.action.kind(),
            call.name,
            object.team
        ))),
        _ => Ok(()),
    }
}

fn check_team_change(view: &ConfigView, team: &TeamId, call: &ChangeCall) -> Result<(), ApiError> {
    let own = call.name == team.as_str();
    match &call.action {
        _ if view.is_admin(team) && !own => Ok(()),
        // A team may rotate its own keys, but may not change its own admin right or remove
        // itself: an admin team that dropped its own rights by mistake could lock out all
        // operators.
        ChangeAction::Put(ObjectSpec::Team(spec)) if own => {
            if spec.admin != view.is_admin(team) {
                return Err(forbidden("a team cannot change its own admin right"));
            }
            if spec.keys.is_empty() {
                return Err(forbidden("a team cannot remove its own last key"));
            }
            Ok(())
        }
        _ => Err(forbidden(format!("team {team} may not do this to team {}", call.name))),
    }
}

fn check_revision(call: &ChangeCall, present: Option<&StoredObject>) -> Result<(), ApiError> {
    let revision = present.map_or(ObjectRevision::ZERO, |object| object.revision);
    if call.expected_revision != revision {
        let mut error = ApiError::not_run(
            ErrorCode::Conflict,
            format!(
                "{} {} has revision {revision}, not {}",
                call.action.kind(),
                call.name,
                call.expected_revision
            ),
        );
        error.present_revision = Some(revision);
        return Err(error);
    }
    if present.is_none() && matches!(call.action, ChangeAction::Delete(_)) {
        let detail = format!("there is no {} {}", call.action.kind(), call.name);
        return Err(ApiError::not_run(ErrorCode::NotFound, detail));
    }
    Ok(())
}

fn check_keys(view: &ConfigView, call: &ChangeCall) -> Result<(), ApiError> {
    let ChangeAction::Put(spec) = &call.action else { return Ok(()) };
    let own = (spec.kind(), call.name.clone());
    let taken = |hash: &KeyHash| view.holder_of(hash).is_some_and(|holder| *holder != own);
    if spec.keys().iter().any(taken) {
        return Err(malformed("a key is already in use; make a fresh one"));
    }
    Ok(())
}

fn check_removal(view: &ConfigView, call: &ChangeCall) -> Result<(), ApiError> {
    if call.action != ChangeAction::Delete(ObjectKind::Team) {
        return Ok(());
    }
    match view.objects.iter().find(|(_, object)| object.team.as_str() == call.name) {
        Some(((kind, name), _)) if *kind != ObjectKind::Team => {
            Err(forbidden(format!("team {} still owns {kind} {name}", call.name)))
        }
        _ => Ok(()),
    }
}
