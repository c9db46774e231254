//! Queries objects, the audit trail and the revision in force.

use std::time::{Duration, Instant};

use eyre::{Result, bail};
use oriolepass_schema::operator::{
    AuditRecord, AuditTrailView, InForceAnswer, ObjectKind, ObjectList, ObjectView, StatusAnswer,
};
use oriolepass_units::ObjectRevision;

use crate::client::{ClientError, OperatorClient};
use crate::output;

/// Interval between polls while waiting for a revision to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn get(client: &OperatorClient, kind: ObjectKind, name: &str) -> Result<()> {
    let view: ObjectView = client.get(&format!("/v1/objects/{kind}/{name}")).await?;
    output::json(&view);
    Ok(())
}

pub(super) async fn list(
    client: &OperatorClient,
    kind: Option<ObjectKind>,
    json: bool,
) -> Result<()> {
    let query = kind.map_or_else(String::new, |kind| format!("?kind={kind}"));
    let list: ObjectList = client.get(&format!("/v1/objects{query}")).await?;
    if json {
        output::json(&list);
        return Ok(());
    }
    let row = |object: &ObjectView| {
        vec![
            object.kind.to_string(),
            object.name.clone(),
            object.team.to_string(),
            object.revision.to_string(),
        ]
    };
    let rows: Vec<_> = list.objects.iter().map(row).collect();
    output::table(&["KIND", "NAME", "TEAM", "REVISION"], &rows);
    println!("\nrevision {} of the configuration", list.config_revision);
    Ok(())
}

/// Fetches all records of the audit trail after sequence number `after`, page by page.
async fn fetch_trail(client: &OperatorClient, after: u64) -> Result<AuditTrailView> {
    let mut trail: AuditTrailView = client.get(&format!("/v1/audit?after={after}")).await?;
    while let Some(last) = trail.records.last().map(|record| record.sequence) {
        let page: AuditTrailView = client.get(&format!("/v1/audit?after={last}")).await?;
        if page.records.is_empty() {
            break;
        }
        trail.records.extend(page.records);
    }
    Ok(trail)
}

fn print_trail(records: &[&AuditRecord]) {
    let row = |record: &&AuditRecord| {
        vec![
            record.sequence.to_string(),
            record.unix_ms.to_string(),
            record.actor.clone(),
            record.action.clone(),
            record.config_revision.to_string(),
            record.verdict.clone(),
            record.reason.clone(),
        ]
    };
    let rows: Vec<_> = records.iter().map(row).collect();
    let heading = ["SEQUENCE", "UNIX MS", "ACTOR", "ACTION", "REVISION", "VERDICT", "REASON"];
    output::table(&heading, &rows);
}

pub(super) async fn audit(client: &OperatorClient, after: u64, json: bool) -> Result<()> {
    let trail = fetch_trail(client, after).await?;
    if json {
        output::json(&trail);
    } else {
        print_trail(&trail.records.iter().collect::<Vec<_>>());
    }
    match trail.verify() {
        Ok(()) => {
            eprintln!("{} records, the hash chain is intact", trail.records.len());
            Ok(())
        }
        Err(sequence) => bail!(
            "record {sequence} does not follow its predecessor in the hash chain: the audit trail \
             was truncated or edited; compare it with an exported copy"
        ),
    }
}

pub(super) async fn history(
    client: &OperatorClient,
    kind: ObjectKind,
    name: &str,
    json: bool,
) -> Result<()> {
    let trail = fetch_trail(client, 0).await?;
    let start = format!("change {kind} {name} ");
    let records: Vec<&AuditRecord> =
        trail.records.iter().filter(|record| record.action.starts_with(&start)).collect();
    if json {
        output::json(&records);
    } else {
        print_trail(&records);
    }
    Ok(())
}

/// Waits until `revision`, or the present revision if it is `None`, is in force everywhere.
///
/// # Errors
///
/// Returns [`ClientError::NotInForce`] with the lagging daemons when `timeout` has elapsed.
pub(super) async fn wait(
    client: &OperatorClient,
    revision: Option<ObjectRevision>,
    timeout: Duration,
) -> Result<()> {
    let revision = match revision {
        Some(revision) => revision,
        None => client.get::<StatusAnswer>("/v1/status").await?.config_revision,
    };
    let deadline = Instant::now() + timeout;
    loop {
        let path = format!("/v1/in-force?revision={revision}");
        let answer: InForceAnswer = client.get(&path).await?;
        if answer.everywhere {
            println!("revision {revision} is in force everywhere");
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(ClientError::NotInForce { lagging: answer.lagging }.into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
