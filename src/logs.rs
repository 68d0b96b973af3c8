//! Logging setup: one line of key=value pairs for each event.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tracing::callsite::Identifier;
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter};
use tracing_subscriber::prelude::*;

/// A log filter that does not parse.
#[derive(Debug, thiserror::Error)]
#[error("log level {filter}: {reason}")]
pub struct InvalidLogFilter {
    /// The filter as it was given.
    pub filter: String,
    /// Why it is invalid.
    pub reason: String,
}

/// Checks that a log filter parses.
pub fn check_filter(level: &str) -> Result<(), InvalidLogFilter> {
    filter(level).map(drop)
}

/// Starts logging to standard error at a level, or by a filter such as `mulberrycourse=debug`.
pub fn start(level: &str) -> Result<(), InvalidLogFilter> {
    start_with_writer(level, std::io::stderr)
}

/// Starts logging to `writer`. If logging has already started in this process, this call has no
/// effect.
pub fn start_with_writer<W>(level: &str, writer: W) -> Result<(), InvalidLogFilter>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = filter(level)?;
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    // Fails only if a subscriber is already set; that one stays.
    let _ = tracing_subscriber::registry()
        .with(lines.with_filter(RateLimit::default()).with_filter(filter))
        .try_init();
    Ok(())
}

fn filter(level: &str) -> Result<EnvFilter, InvalidLogFilter> {
    let invalid = |reason: String| InvalidLogFilter { filter: level.to_owned(), reason };
    let filter = EnvFilter::try_new(level).map_err(|e| invalid(e.to_string()))?;
    // A misspelled level would parse as the name of a module, and nothing would be logged.
    let words = level.split(',').map(str::trim);
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    match words.into_iter().find(|w| !w.contains('=') && !levels.contains(w)) {
        None => Ok(filter),
        Some(word) => Err(invalid(format!("{word:?} is none of: {}", levels.join(", ")))),
    }
}

/// Maximum number of lines that one call site logs per [`RATE_WINDOW`]; further lines are dropped
/// and counted. A hundred samples of a step may end at the same time and are all logged, but a
/// fault that repeats for each request of an overload must not take the processor time that the
/// requests need.
const MAX_LINES_PER_WINDOW: u32 = 200;
/// Length of the window in which the lines of a call site are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of lines buffered for standard output; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines the rate limit has dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Returns a writer to standard output that never blocks. A separate thread writes the lines;
/// once [`MAX_BUFFERED_LINES`] are buffered, further lines are dropped. Dropping the guard
/// flushes the buffer.
pub fn stdout_writer() -> (NonBlocking, WorkerGuard) {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
    builder.finish(std::io::stdout())
}

/// The most bytes of a text from a client in a log line. [`MAX_BUFFERED_LINES`] lines with whole paths
/// could take more memory than a small machine has.
const MAX_CLIENT_TEXT_BYTES: usize = 200;

/// Shortens a text that a client has sent, for a log line.
pub fn shortened(text: &str) -> &str {
    let ends = text.char_indices().map(|(start, c)| start + c.len_utf8());
    let end = ends.take_while(|end| *end <= MAX_CLIENT_TEXT_BYTES).last();
    &text[..end.unwrap_or_default()]
}

/// A log filter that limits how many lines each call site logs per second.
#[derive(Debug, Default)]
pub struct RateLimit {
    line_counts: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl RateLimit {
    /// Counts a line of a call site and returns whether it may be logged.
    pub fn allow(&self, callsite: Identifier, now: Instant) -> bool {
        let mut line_counts = self.line_counts.lock();
        let (since, count) = line_counts.entry(callsite).or_insert((now, 0));
        if now.saturating_duration_since(*since) >= RATE_WINDOW {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        let allowed = *count <= MAX_LINES_PER_WINDOW;
        if !allowed {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.allow(event.metadata().callsite(), Instant::now())
    }
}
