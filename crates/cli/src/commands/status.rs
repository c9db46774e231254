//! Prints the status of the system.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;
use oriolepass_schema::operator::{EndpointView, MemberView, StatusAnswer};

use crate::client::OperatorClient;
use crate::output;

/// Interval between refreshes of `top`.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Escape sequence that clears the screen and moves the cursor to the top left corner.
const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";

pub(super) async fn status(client: &OperatorClient, json: bool) -> Result<()> {
    let status: StatusAnswer = client.get("/v1/status").await?;
    if json {
        output::json(&status);
        return Ok(());
    }
    let metrics = client.text("/metrics").await?;
    print_page(&status, &metrics);
    Ok(())
}

pub(super) async fn top(client: &OperatorClient) -> Result<()> {
    loop {
        let status: StatusAnswer = client.get("/v1/status").await?;
        let metrics = client.text("/metrics").await?;
        print!("{CLEAR_SCREEN}");
        print_page(&status, &metrics);
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

fn print_page(status: &StatusAnswer, metrics: &str) {
    let leader = status.leader.as_ref().map_or("none known".to_owned(), ToString::to_string);
    println!(
        "asked {}   leader {leader}   revision {}   log index {}   running {}\n",
        status.instance, status.config_revision, status.applied_index, status.running
    );
    let learning = match status.learners.len() {
        0 => String::new(),
        count => format!(", {count} catching up"),
    };
    let voters: Vec<String> = status.voters.iter().map(ToString::to_string).collect();
    println!("term {}   voters {}{learning}\n", status.term, voters.join(", "));
    let row = |member: &MemberView| {
        let lags = member.applied.is_none_or(|applied| applied < status.config_revision);
        vec![
            member.instance.to_string(),
            member.data_centre.to_string(),
            if member.draining { "draining" } else { "serving" }.to_owned(),
            member.applied.map_or_else(|| "unknown".to_owned(), |applied| applied.to_string()),
            if lags { "lags" } else { "" }.to_owned(),
        ]
    };
    let rows: Vec<_> = status.members.iter().map(row).collect();
    output::table(&["MEMBER", "DATA CENTRE", "STATE", "REVISION", ""], &rows);
    println!("\nendpoints whose home is {}:", status.instance);
    let row = |endpoint: &EndpointView| {
        vec![
            endpoint.endpoint.to_string(),
            format!("{:?}", endpoint.state).to_lowercase(),
            format!("{} of {}", endpoint.held, endpoint.memory),
            endpoint.unexplained.to_string(),
        ]
    };
    let rows: Vec<_> = status.endpoints.iter().map(row).collect();
    output::table(&["ENDPOINT", "STATE", "MEMORY HELD", "UNEXPLAINED"], &rows);
    println!("\ntime to first token through {}:", status.instance);
    let rows = first_token_rows(metrics);
    output::table(&["LENGTH", "REQUESTS", "MEAN", "WITHIN 0.34 S"], &rows);
}

/// Extracts the histogram of the time to the first token, by length class, from the metrics page.
fn first_token_rows(metrics: &str) -> Vec<Vec<String>> {
    let mut values: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    for line in metrics.lines() {
        let Some(rest) = line.strip_prefix("oriolepass_first_token_seconds_") else { continue };
        let Some((head, value)) = rest.rsplit_once(' ') else { continue };
        let Some(class) = label(head, "class") else { continue };
        let kind = match head.split_once('{').map(|(kind, _)| kind) {
            Some("bucket") if label(head, "le") == Some("0.34") => "within",
            Some("sum") => "sum",
            Some("count") => "count",
            _ => continue,
        };
        values.insert((class, kind), value.parse().unwrap_or(0.0));
    }
    let classes = ["short", "medium", "long", "huge"];
    classes
        .iter()
        .filter_map(|class| {
            let count = *values.get(&(*class, "count"))?;
            let sum = values.get(&(*class, "sum")).copied().unwrap_or(0.0);
            let within = values.get(&(*class, "within")).copied().unwrap_or(0.0);
            Some(vec![
                (*class).to_owned(),
                format!("{count}"),
                format!("{:.1} ms", sum / count.max(1.0) * 1_000.0),
                format!("{:.1} %", within / count.max(1.0) * 100.0),
            ])
        })
        .collect()
}

fn label<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let start = head.find(&format!("{name}=\""))? + name.len() + 2;
    head[start..].split('"').next()
}
