//! Writes structured log lines to standard error.

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, error};

/// Writes log lines of the given level and above as JSON to standard error.
///
/// # Errors
///
/// Returns the error of the logging library when the logger cannot be built.
pub fn init_logging(level: &str) -> Result<(), spdlog::Error> {
    let filter = match level {
        "error" => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        "debug" => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
        _ => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder().sink(Arc::new(sink)).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs that a duty has ended because of an error from which it cannot recover.
pub(crate) fn duty_failed(duty: &str, reason: &dyn std::fmt::Display) {
    error!("duty failed", kv: { duty, reason = format!("{reason}") });
}
