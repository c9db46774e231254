//! Reads and parses the logs of gateways.

use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr};
use serde_json::{Map, Value};

/// An event in the log of a gateway.
pub(super) struct LogLine {
    pub(super) time: f64,
    pub(super) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it contains no event. Text before the event, such as a
    /// prefix that a log collector adds, is skipped.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Value::Object(fields) = serde_json::from_str(&text[start..]).ok()? else { return None };
        let time = fields.get("time")?.as_f64()?;
        Some(Self { time, fields })
    }

    pub(super) fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the value of a numeric field, which some events write as text.
    pub(super) fn number(&self, key: &str) -> Option<f64> {
        let value = self.fields.get(key)?;
        value.as_f64().or_else(|| value.as_str()?.parse().ok())
    }
}

/// Reads the events of all logs, sorted by time.
///
/// # Errors
///
/// Returns an error if a log cannot be read.
pub(super) fn read_logs(logs: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for log in logs {
        lines.extend(read_log(log)?);
    }
    lines.sort_by(|left, right| left.time.total_cmp(&right.time));
    Ok(lines)
}

fn read_log(log: &Path) -> Result<Vec<LogLine>> {
    let text = std::fs::read_to_string(log)
        .wrap_err_with(|| format!("the log {} cannot be read", log.display()))?;
    Ok(text.lines().filter_map(LogLine::parse).collect())
}
