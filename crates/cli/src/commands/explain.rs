//! Shows the events of one request, or the state changes of gateways, from the logs of gateways.

use std::collections::BTreeSet;
use std::path::PathBuf;

use eyre::{Result, bail};
use serde_json::Value;

use super::log_lines::{LogLine, read_logs};

/// Events of a request's endpoints are shown from this number of seconds before the first event of
/// the request. Other requests often meet the same fault shortly before.
const ENDPOINT_EVENTS_LEAD_S: f64 = 3.0;

/// Events that change the state of a gateway or its view of the system.
const STATE_EVENTS: [&str; 18] = [
    "start",
    "draining",
    "stop",
    "reload",
    "readiness",
    "peer",
    "peers",
    "tier",
    "founding",
    "leader",
    "voters",
    "replica",
    "document",
    "in-force",
    "freshness",
    "endpoint",
    "rest",
    "quarantine",
];

/// Fields that name a request, or a part of its prompt.
const OWN_FIELDS: [&str; 5] = ["request", "digest", "part", "parts", "appointment"];

fn details(line: &LogLine) -> String {
    let shown = |key: &str| !["time", "instance", "event", "request"].contains(&key);
    let pairs = line.fields.iter().filter(|(key, _)| shown(key));
    let texts: Vec<String> = pairs
        .map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            other => format!("{key}={other}"),
        })
        .collect();
    texts.join("  ")
}

/// Prints the events of a request in order of time, with the other attempts of the same prompt, the
/// events of the endpoints that it used, and the rests and slow engines that were in force for it.
pub(super) fn explain(request: &str, logs: &[PathBuf], json: bool) -> Result<()> {
    let lines = read_logs(logs)?;
    // A digest or an appointment identifies a request across its attempts, or a part across the
    // prompts that share it.
    let names = |line: &LogLine, key| line.text(key).split(',').any(|name| name == request);
    let is_own = |line: &&LogLine| OWN_FIELDS.iter().any(|key| names(line, key));
    let own: Vec<&LogLine> = lines.iter().filter(is_own).collect();
    let appointments: BTreeSet<&str> =
        own.iter().map(|line| line.text("appointment")).filter(|text| !text.is_empty()).collect();
    let of_prompt = lines.iter().filter(|line| appointments.contains(line.text("appointment")));
    let attempts: BTreeSet<&str> = of_prompt.map(|line| line.text("request")).collect();
    let is_other_attempt = |line: &LogLine| attempts.contains(line.text("request"));
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        bail!("no event names the request {request}; pass the logs of all gateways of that time");
    };
    let endpoints: BTreeSet<&str> =
        own.iter().map(|line| line.text("endpoint")).filter(|text| !text.is_empty()).collect();
    let (from, until) = (first.time - ENDPOINT_EVENTS_LEAD_S, last.time);
    let instances: BTreeSet<&str> = own.iter().map(|line| line.text("instance")).collect();
    let is_rest_in_force = |line: &LogLine| {
        let rest_end = line.time + line.number("rest_ms").unwrap_or_default() / 1_000.0;
        line.text("event") == "rest"
            && instances.contains(line.text("instance"))
            && line.time <= until
            && rest_end >= first.time
    };
    // The newest line before the request applies to it, besides those while it runs.
    let is_slow_engine_in_force = |line: &LogLine| {
        let is_later = |other: &LogLine| {
            line.time < other.time
                && other.time < first.time
                && other.text("event") == "engine-speed"
                && other.text("endpoint") == line.text("endpoint")
        };
        line.text("event") == "engine-speed"
            && endpoints.contains(line.text("endpoint"))
            && line.time <= until
            && (line.time >= first.time
                || line.text("outcome") == "slow" && !lines.iter().any(is_later))
    };
    let is_shown = |line: &&LogLine| {
        is_own(line)
            || is_other_attempt(line)
            || is_rest_in_force(line)
            || is_slow_engine_in_force(line)
            || ((from..=until).contains(&line.time)
                && endpoints.contains(line.text("endpoint"))
                && ["endpoint", "endpoint-fault", "endpoint-end"].contains(&line.text("event")))
    };
    print(lines.iter().filter(is_shown), first.time, json);
    Ok(())
}

/// Prints the state changes of the gateways in order of time.
pub(super) fn timeline(logs: &[PathBuf], json: bool) -> Result<()> {
    let lines = read_logs(logs)?;
    let Some(first) = lines.first() else { bail!("the logs contain no events") };
    let start = first.time;
    print(lines.iter().filter(|line| STATE_EVENTS.contains(&line.text("event"))), start, json);
    Ok(())
}

fn print<'a>(lines: impl Iterator<Item = &'a LogLine>, start: f64, json: bool) {
    for line in lines {
        if json {
            println!("{}", Value::Object(line.fields.clone()));
            continue;
        }
        let (instance, event) = (line.text("instance"), line.text("event"));
        println!("{:>9.3}  {instance:<20} {event:<15} {}", line.time - start, details(line));
    }
}
