//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::prelude::*;

/// A filter that does not parse.
#[derive(Debug, thiserror::Error)]
#[error("log level {level}: {reason}")]
pub struct BadLevel {
    /// The filter.
    pub level: String,
    /// What is wrong.
    pub reason: String,
}

/// Starts logging at a level, or by a filter such as `mulberrycourse=debug`.
pub fn start(level: &str) -> Result<(), BadLevel> {
    let filter = EnvFilter::try_new(level)
        .map_err(|e| BadLevel { level: level.to_owned(), reason: e.to_string() })?;
    let lines = tracing_logfmt::builder().layer().with_writer(std::io::stderr);
    // A second start in one process keeps the first.
    let _ = tracing_subscriber::registry().with(lines.with_filter(filter)).try_init();
    Ok(())
}
