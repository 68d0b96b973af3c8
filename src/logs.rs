//! Logs: one line of key=value pairs for each event.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
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

/// Checks a filter.
pub fn check(level: &str) -> Result<(), BadLevel> {
    filter(level).map(drop)
}

/// Starts logging on standard error at a level, or by a filter such as `mulberrycourse=debug`.
pub fn start(level: &str) -> Result<(), BadLevel> {
    start_on(level, std::io::stderr)
}

/// The same on another writer.
pub fn start_on<W>(level: &str, writer: W) -> Result<(), BadLevel>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = filter(level)?;
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    // A second start in one process keeps the first.
    let _ = tracing_subscriber::registry().with(lines.with_filter(filter)).try_init();
    Ok(())
}

fn filter(level: &str) -> Result<EnvFilter, BadLevel> {
    let bad = |reason: String| BadLevel { level: level.to_owned(), reason };
    let filter = EnvFilter::try_new(level).map_err(|e| bad(e.to_string()))?;
    // A word that is no level parses as the name of a module, and nothing would be logged.
    let words = level.split(',').map(str::trim);
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    match words.into_iter().find(|w| !w.contains('=') && !levels.contains(w)) {
        None => Ok(filter),
        Some(word) => Err(bad(format!("{word:?} is none of: {}", levels.join(", ")))),
    }
}
