//! Applies configuration changes and membership commands.

use oriolepass_schema::error::ApiError;
use oriolepass_schema::operator::{
    ChangeAction, ChangeAnswer, KeyHash, ObjectKind, ObjectSpec, TeamSpec,
};
use oriolepass_units::{InstanceId, LogIndex, ObjectRevision, TeamId};

use crate::audit::AuditDraft;
use crate::command::{ApplyOutcome, ChangeCommand, MemberCommand};
use crate::rights;
use crate::state::ReplicatedState;
use crate::view::{StoredObject, ViewChange};

/// Name of the team that bootstrap creates.
const ROOT_TEAM: &str = "root";

impl ReplicatedState {
    pub(crate) fn apply_change(
        &mut self,
        index: LogIndex,
        unix_ms: u64,
        command: &ChangeCommand,
    ) -> ApplyOutcome {
        let ChangeCommand { team, call } = command;
        let reply = match self.resends.lookup(team, call) {
            // A resend changes nothing and adds no second audit record.
            Some(reply) => reply,
            None => {
                let reply = self.change_objects(index, unix_ms, command);
                self.resends.record(team, call, reply.clone());
                reply
            }
        };
        match reply {
            Ok(answer) => ApplyOutcome::Changed(answer),
            Err(error) => ApplyOutcome::Refused(error),
        }
    }

    pub(crate) fn apply_bootstrap(
        &mut self,
        index: LogIndex,
        unix_ms: u64,
        root_key: &KeyHash,
    ) -> ApplyOutcome {
        // Every new leader proposes a bootstrap while its applied state has no team. A second
        // bootstrap may therefore be applied after operators have replaced the root team's key.
        if self.view.objects.keys().any(|(kind, _)| *kind == ObjectKind::Team) {
            return ApplyOutcome::Done;
        }
        let team: TeamId = ROOT_TEAM.parse().expect("a valid name");
        let spec = ObjectSpec::Team(TeamSpec { keys: vec![root_key.clone()], admin: true });
        let object = StoredObject { team, revision: ObjectRevision(1), spec };
        let change = ViewChange::Object {
            kind: ObjectKind::Team,
            name: ROOT_TEAM.to_owned(),
            object: Some(object.clone()),
        };
        self.change_view(index, self.view.config_revision.next(), change);
        let draft = AuditDraft {
            actor: ROOT_TEAM.to_owned(),
            action: "bootstrap".to_owned(),
            before: String::new(),
            after: object_json(Some(&object)),
            verdict: "accepted".to_owned(),
            reason: String::new(),
        };
        self.audit.append(unix_ms, self.view.config_revision, draft);
        ApplyOutcome::Done
    }

    fn change_objects(
        &mut self,
        index: LogIndex,
        unix_ms: u64,
        command: &ChangeCommand,
    ) -> Result<ChangeAnswer, ApiError> {
        let ChangeCommand { team, call } = command;
        let kind = call.action.kind();
        let before = self.view.object(kind, &call.name).cloned();
        let verdict = rights::check(&self.view, team, call);
        let after = match &call.action {
            ChangeAction::Put(spec) => Some(StoredObject {
                team: before.as_ref().map_or(team, |object| &object.team).clone(),
                revision: call.expected_revision.next(),
                spec: spec.clone(),
            }),
            ChangeAction::Delete(_) => None,
        };
        if verdict.is_ok() {
            let config_revision = self.view.config_revision.next();
            let change =
                ViewChange::Object { kind, name: call.name.clone(), object: after.clone() };
            self.change_view(index, config_revision, change);
        }
        let draft = AuditDraft {
            actor: team.to_string(),
            action: format!("change {kind} {} ({})", call.name, call.change_id),
            before: object_json(before.as_ref()),
            after: object_json(after.as_ref()),
            verdict: match &verdict {
                Ok(()) => "accepted".to_owned(),
                Err(error) => error.code.to_string(),
            },
            reason: call.reason.clone(),
        };
        self.audit.append(unix_ms, self.view.config_revision, draft);
        verdict.map(|()| ChangeAnswer {
            change_id: call.change_id.clone(),
            revision: call.expected_revision.next(),
            config_revision: self.view.config_revision,
        })
    }

    pub(crate) fn apply_member(
        &mut self,
        index: LogIndex,
        unix_ms: u64,
        command: &MemberCommand,
    ) -> ApplyOutcome {
        match command {
            MemberCommand::Join(record) => {
                let before = self.view.members.get(&record.instance).cloned();
                let epoch = self.view.members.join(record);
                if before.as_ref().is_some_and(|present| present.epoch == epoch) {
                    return ApplyOutcome::Member(epoch);
                }
                // The previous run of this daemon can no longer settle its claims.
                if let Some(before) = before {
                    self.claims.mark_unknown(&before.instance, before.epoch);
                }
                let joined = self.view.members.get(&record.instance).expect("joined").clone();
                self.change_view(index, self.view.config_revision, ViewChange::Member(joined));
                self.audit_member(unix_ms, &record.instance, &format!("join with lease {epoch}"));
                ApplyOutcome::Member(epoch)
            }
            MemberCommand::Drain(instance) => {
                let Some(mut member) = self.view.members.get(instance).cloned() else {
                    return ApplyOutcome::Done;
                };
                if !member.draining {
                    member.draining = true;
                    self.change_view(index, self.view.config_revision, ViewChange::Member(member));
                    self.audit_member(unix_ms, instance, "drain");
                }
                ApplyOutcome::Done
            }
            MemberCommand::Remove { instance, epoch } => {
                if self.view.members.get(instance).is_some_and(|m| m.epoch == *epoch) {
                    self.claims.mark_unknown(instance, *epoch);
                    let gone = ViewChange::MemberGone(instance.clone());
                    self.change_view(index, self.view.config_revision, gone);
                    self.audit_member(unix_ms, instance, &format!("lease {epoch} ended"));
                }
                ApplyOutcome::Done
            }
        }
    }

    fn audit_member(&mut self, unix_ms: u64, instance: &InstanceId, action: &str) {
        let draft = AuditDraft {
            actor: instance.to_string(),
            action: format!("member {action}"),
            before: String::new(),
            after: String::new(),
            verdict: "accepted".to_owned(),
            reason: String::new(),
        };
        self.audit.append(unix_ms, self.view.config_revision, draft);
    }
}

/// Returns an object as JSON for the audit trail, or an empty string for an absent object.
fn object_json(object: Option<&StoredObject>) -> String {
    object.map_or_else(String::new, |object| {
        serde_json::to_string(object).expect("an object always serialises")
    })
}
