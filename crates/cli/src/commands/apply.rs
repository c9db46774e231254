//! Creates, updates and removes objects.

use std::path::Path;

use eyre::{Result, WrapErr, bail};
use oriolepass_schema::error::ErrorCode;
use oriolepass_schema::operator::{
    ChangeAction, ChangeAnswer, ChangeCall, ObjectKind, ObjectSpec, ObjectView,
};
use oriolepass_units::ObjectRevision;
use serde::{Deserialize, Serialize};
use std::time::Duration;

use super::queries;
use crate::client::{ClientError, OperatorClient};
use crate::output;

/// Maximum time that `apply --wait` waits until the changes are in force everywhere.
const APPLY_WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An object of the file that `apply` reads.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileObject {
    name: String,
    spec: ObjectSpec,
    #[serde(default)]
    reason: String,
}

/// Creates or updates the objects that a file defines, in the order of the file. Objects that
/// already match are skipped.
pub(super) async fn apply(
    client: &OperatorClient,
    file: &Path,
    dry_run: bool,
    wait: bool,
    json: bool,
) -> Result<()> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
    let wanted: Vec<FileObject> = serde_json::from_str(&text).wrap_err_with(|| {
        format!(
            "{} is not a list of {{\"name\": ..., \"spec\": {{\"account\": ...}}}}",
            file.display()
        )
    })?;
    let mut answers = Vec::new();
    for object in wanted {
        let present = present(client, object.spec.kind(), &object.name).await?;
        if present.as_ref().is_some_and(|present| present.spec == object.spec) {
            continue;
        }
        if dry_run {
            print_difference(present.as_ref(), &object)?;
            continue;
        }
        let revision = present.map_or(ObjectRevision::ZERO, |present| present.revision);
        answers.push(change(client, object, revision).await?);
    }
    if dry_run {
        return Ok(());
    }
    if json {
        output::json(&answers);
    } else {
        println!("{} changed", answers.len());
    }
    match answers.last().filter(|_| wait) {
        Some(last) => queries::wait(client, Some(last.config_revision), APPLY_WAIT_TIMEOUT).await,
        None => Ok(()),
    }
}

async fn present(
    client: &OperatorClient,
    kind: ObjectKind,
    name: &str,
) -> Result<Option<ObjectView>> {
    match client.get(&format!("/v1/objects/{kind}/{name}")).await {
        Ok(view) => Ok(Some(view)),
        Err(ClientError::Refused(error)) if error.code == ErrorCode::NotFound => Ok(None),
        Err(error) => Err(error.into()),
    }
}

async fn change(
    client: &OperatorClient,
    object: FileObject,
    expected_revision: ObjectRevision,
) -> Result<ChangeAnswer> {
    let call = ChangeCall {
        change_id: generate_change_id()?,
        name: object.name,
        expected_revision,
        action: ChangeAction::Put(object.spec),
        reason: object.reason,
    };
    Ok(client.post("/v1/changes", &call).await?)
}

/// Generates a random change id. The client retries with the same id until the result is known.
fn generate_change_id() -> Result<oriolepass_units::ChangeId> {
    Ok(format!("cli-{:032x}", rand::random::<u128>()).parse()?)
}

fn print_difference(present: Option<&ObjectView>, wanted: &FileObject) -> Result<()> {
    let kind = wanted.spec.kind();
    match present {
        None => println!("+ {kind} {} (new)", wanted.name),
        Some(view) => println!("~ {kind} {} (revision {})", wanted.name, view.revision),
    }
    let before = match present {
        Some(view) => serde_json::to_string_pretty(&view.spec)?,
        None => String::new(),
    };
    let after = serde_json::to_string_pretty(&wanted.spec)?;
    before.lines().filter(|line| !after.contains(line)).for_each(|line| println!("  - {line}"));
    after.lines().filter(|line| !before.contains(line)).for_each(|line| println!("  + {line}"));
    Ok(())
}

/// Removes an object at its present revision.
pub(super) async fn delete(
    client: &OperatorClient,
    kind: ObjectKind,
    name: &str,
    json: bool,
) -> Result<()> {
    let Some(view) = present(client, kind, name).await? else {
        bail!("there is no {kind} {name}; `oriolepass list {kind}` lists the existing ones");
    };
    let call = ChangeCall {
        change_id: generate_change_id()?,
        name: name.to_owned(),
        expected_revision: view.revision,
        action: ChangeAction::Delete(kind),
        reason: String::new(),
    };
    let answer: ChangeAnswer = client.post("/v1/changes", &call).await?;
    if json {
        output::json(&answer);
    } else {
        println!("{kind} {name} removed at revision {}", answer.config_revision);
    }
    Ok(())
}
