//! Counts late, refused and cut requests by route and cause, from the logs of gateways.

use std::collections::BTreeMap;
use std::path::PathBuf;

use eyre::{Result, bail};
use serde::Serialize;

use super::log_lines::{LogLine, read_logs};

/// Share of the objective by which a first event may be later than predicted before the delay is
/// attributed to the prediction. Every prediction has smaller errors.
const PREDICTION_ERROR_SHARE: f64 = 0.25;

/// Share of the objective after which the time before the first send counts as a wait for placement.
const PLACEMENT_WAIT_SHARE: f64 = 0.2;

/// Outcome of a request. An answered request without an objective in its `end` event counts as on
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
enum RequestOutcome {
    OnTime,
    LateFirst,
    LatePause,
    Refused,
    Cut,
}

impl RequestOutcome {
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

/// Number of requests of a route with the same outcome and cause.
#[derive(Debug, Serialize)]
struct LossRow {
    route: String,
    end: RequestOutcome,
    cause: String,
    requests: u32,
}

/// Events of one request.
#[derive(Default)]
struct RequestEvents<'a> {
    sends: Vec<&'a LogLine>,
    start_wait: Option<&'a LogLine>,
    was_resumed: bool,
    end: Option<&'a LogLine>,
}

/// Prints the number of requests by route, outcome and cause.
pub(super) fn losses(logs: &[PathBuf], json: bool) -> Result<()> {
    let lines = read_logs(logs)?;
    let rows = count_outcomes(&lines);
    if rows.is_empty() {
        bail!("the logs contain no end of a request; pass the logs of all gateways of that time");
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

fn count_outcomes(lines: &[LogLine]) -> Vec<LossRow> {
    let mut requests: BTreeMap<&str, RequestEvents<'_>> = BTreeMap::new();
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
    let prefill_sends: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.text("event") == "send" && line.number("helpers").is_some())
        .collect();
    let mut counts: BTreeMap<(&str, RequestOutcome, String), u32> = BTreeMap::new();
    for request in requests.values() {
        let Some(end) = request.end.filter(|end| !end.text("route").is_empty()) else { continue };
        let kind = classify_outcome(end);
        let cause = cause(kind, request, end, &prefill_sends);
        *counts.entry((end.text("route"), kind, cause)).or_default() += 1;
    }
    let row = |((route, end, cause), requests): ((&str, RequestOutcome, String), u32)| LossRow {
        route: route.to_owned(),
        end,
        cause,
        requests,
    };
    counts.into_iter().map(row).collect()
}

fn classify_outcome(end: &LogLine) -> RequestOutcome {
    let exceeds = |value: &str, limit: &str| match (end.number(value), end.number(limit)) {
        (Some(value), Some(limit)) => value > limit,
        _ => false,
    };
    match end.text("status") {
        "503" | "429" => RequestOutcome::Refused,
        status if !status.starts_with('2') => RequestOutcome::Cut,
        _ if exceeds("first_ms", "objective_ms") => RequestOutcome::LateFirst,
        _ if exceeds("longest_pause_ms", "pause_objective_ms") => RequestOutcome::LatePause,
        _ => RequestOutcome::OnTime,
    }
}

fn cause(
    kind: RequestOutcome,
    request: &RequestEvents<'_>,
    end: &LogLine,
    prefill_sends: &[&LogLine],
) -> String {
    match kind {
        RequestOutcome::OnTime => String::new(),
        RequestOutcome::Refused | RequestOutcome::Cut => end.text("reason").to_owned(),
        RequestOutcome::LateFirst => late_cause(request, end).to_owned(),
        RequestOutcome::LatePause if request.was_resumed => {
            "it moved to another endpoint".to_owned()
        }
        RequestOutcome::LatePause => pause_cause(request, end, prefill_sends).to_owned(),
    }
}

fn late_cause(request: &RequestEvents<'_>, end: &LogLine) -> &'static str {
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
    if predicted_ms
        .is_some_and(|predicted| first_ms > predicted + objective * PREDICTION_ERROR_SHARE)
    {
        return match send.text("placed_by") {
            "alone" => "placed without the home, and later than predicted",
            "deputy" => "placed by a deputy, and later than predicted",
            _ => "later than predicted",
        };
    }
    if waited_ms > objective * PLACEMENT_WAIT_SHARE {
        return "waited for a place";
    }
    if predicted_ms.is_some() { "predicted to be late" } else { "its endpoint was slow" }
}

/// Determines the cause of a pause. Checks whether the engine, as main engine or helper, started to
/// prefill another prompt on a group of engines while it generated the answer.
fn pause_cause(
    request: &RequestEvents<'_>,
    end: &LogLine,
    prefill_sends: &[&LogLine],
) -> &'static str {
    let Some(send) = request.sends.last() else { return "not told by the logs" };
    let address = send.text("address");
    let is_concurrent = |other: &&&LogLine| {
        (send.time..end.time).contains(&other.time)
            && other.text("request") != send.text("request")
            && other.number("helpers").is_some_and(|helpers| helpers > 0.0)
            && (other.text("address") == address
                || other.text("helped_by").split(' ').any(|helper| helper == address))
    };
    if prefill_sends.iter().any(|other| is_concurrent(&other)) {
        "a long prompt was read beside it"
    } else {
        "not told by the logs"
    }
}
