//! Which requests were late, refused or cut, by route, and what the logs say of the cause.

use std::collections::BTreeMap;
use std::path::PathBuf;

use eyre::{Result, bail};
use serde::Serialize;

use super::log_lines::{LogLine, read_logs};

/// A first event this much of its objective after the predicted moment was predicted wrongly; smaller
/// errors are those of every prediction.
const WRONG_SHARE: f64 = 0.25;

/// A request that found its place only after this part of its objective waited for one.
const WAITED_SHARE: f64 = 0.2;

/// What became of a request. Requests without an objective in their last line count as on time where
/// they were answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
enum RequestEnd {
    OnTime,
    LateFirst,
    LatePause,
    Refused,
    Cut,
}

impl RequestEnd {
    fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::LateFirst => "late first event",
            Self::LatePause => "late by a pause",
            Self::Refused => "refused",
            Self::Cut => "cut or failed",
        }
    }
}

/// How many requests of a route ended alike, for one cause.
#[derive(Debug, Serialize)]
struct LossRow {
    route: String,
    end: RequestEnd,
    cause: String,
    requests: u32,
}

/// Everything that the logs say of one request.
#[derive(Default)]
struct RequestLines<'a> {
    sends: Vec<&'a LogLine>,
    start_wait: Option<&'a LogLine>,
    was_resumed: bool,
    end: Option<&'a LogLine>,
}

/// Prints a table of ends and causes by route.
pub(super) fn losses(logs: &[PathBuf], json: bool) -> Result<()> {
    let lines = read_logs(logs)?;
    let rows = count(&lines);
    if rows.is_empty() {
        bail!("no request ends in these logs; give the logs of all gateways of that time");
    }
    let mut before = "";
    for row in &rows {
        if json {
            println!("{}", serde_json::to_string(row)?);
            continue;
        }
        if row.route != before {
            println!("{}", row.route);
            before = &row.route;
        }
        println!("{:>8}  {:<17} {}", row.requests, row.end.name(), row.cause);
    }
    Ok(())
}

fn count(lines: &[LogLine]) -> Vec<LossRow> {
    let mut requests: BTreeMap<&str, RequestLines<'_>> = BTreeMap::new();
    for line in lines.iter().filter(|line| !line.text("request").is_empty()) {
        let request = requests.entry(line.text("request")).or_default();
        match line.text("event") {
            "send" => request.sends.push(line),
            "start-wait" => request.start_wait = Some(line),
            "resume" => request.was_resumed = true,
            "end" => request.end = Some(line),
            _ => {}
        }
    }
    let readings: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.text("event") == "send" && line.number("helpers").is_some())
        .collect();
    let mut counts: BTreeMap<(&str, RequestEnd, String), u32> = BTreeMap::new();
    for request in requests.values() {
        let Some(end) = request.end.filter(|end| !end.text("route").is_empty()) else { continue };
        let kind = end_of(end);
        let cause = cause(kind, request, end, &readings);
        *counts.entry((end.text("route"), kind, cause)).or_default() += 1;
    }
    let row = |((route, end, cause), requests): ((&str, RequestEnd, String), u32)| LossRow {
        route: route.to_owned(),
        end,
        cause,
        requests,
    };
    counts.into_iter().map(row).collect()
}

fn end_of(end: &LogLine) -> RequestEnd {
    let exceeds = |value: &str, limit: &str| match (end.number(value), end.number(limit)) {
        (Some(value), Some(limit)) => value > limit,
        _ => false,
    };
    match end.text("status") {
        "503" | "429" => RequestEnd::Refused,
        status if !status.starts_with('2') => RequestEnd::Cut,
        _ if exceeds("first_ms", "objective_ms") => RequestEnd::LateFirst,
        _ if exceeds("longest_pause_ms", "pause_objective_ms") => RequestEnd::LatePause,
        _ => RequestEnd::OnTime,
    }
}

fn cause(
    kind: RequestEnd,
    request: &RequestLines<'_>,
    end: &LogLine,
    readings: &[&LogLine],
) -> String {
    match kind {
        RequestEnd::OnTime => String::new(),
        RequestEnd::Refused | RequestEnd::Cut => end.text("reason").to_owned(),
        RequestEnd::LateFirst => late_cause(request, end).to_owned(),
        RequestEnd::LatePause if request.was_resumed => "it moved to another endpoint".to_owned(),
        RequestEnd::LatePause => pause_cause(request, end, readings).to_owned(),
    }
}

fn late_cause(request: &RequestLines<'_>, end: &LogLine) -> &'static str {
    let objective = end.number("objective_ms").unwrap_or(0.0);
    let Some(send) = request.sends.first() else { return "the line of its sending was dropped" };
    if request.start_wait.is_some() {
        return "the gateway had just started";
    }
    if request.sends.len() > 1 {
        return "a send failed before";
    }
    let arrived = end.time - end.number("whole_ms").unwrap_or(0.0) / 1_000.0;
    let waited_ms = (send.time - arrived) * 1_000.0;
    let first_ms = end.number("first_ms").unwrap_or(0.0) - waited_ms;
    let predicted_ms = send.number("predicted_first_ms");
    if predicted_ms.is_some_and(|predicted| first_ms > predicted + objective * WRONG_SHARE) {
        return match send.text("placed_by") {
            "alone" => "placed without the home, and later than predicted",
            "deputy" => "placed by a deputy, and later than predicted",
            _ => "later than predicted",
        };
    }
    if waited_ms > objective * WAITED_SHARE {
        return "waited for a place";
    }
    if predicted_ms.is_some() { "predicted to be late" } else { "its endpoint was slow" }
}

/// Looks for a prompt that an engine began to read beside the answer.
fn pause_cause(request: &RequestLines<'_>, end: &LogLine, readings: &[&LogLine]) -> &'static str {
    let Some(send) = request.sends.last() else { return "not told by the logs" };
    let address = send.text("address");
    let is_beside = |other: &&&LogLine| {
        (send.time..end.time).contains(&other.time)
            && other.text("request") != send.text("request")
            && other.number("helpers").is_some_and(|helpers| helpers > 0.0)
            && (other.text("address") == address
                || other.text("helped_by").split(' ').any(|helper| helper == address))
    };
    if readings.iter().any(|other| is_beside(&other)) {
        "a long prompt was read beside it"
    } else {
        "not told by the logs"
    }
}
