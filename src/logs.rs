//! Logs: one line of key=value pairs for each event.

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

/// A filter that does not parse.
#[derive(Debug, thiserror::Error)]
#[error("log level {filter}: {reason}")]
pub struct InvalidLogFilter {
    /// The filter.
    pub filter: String,
    /// What is wrong.
    pub reason: String,
}

/// Checks a filter.
pub fn check_filter(level: &str) -> Result<(), InvalidLogFilter> {
    filter(level).map(drop)
}

/// Starts logging on standard error at a level, or by a filter such as `mulberrycourse=debug`.
pub fn start(level: &str) -> Result<(), InvalidLogFilter> {
    start_with_writer(level, std::io::stderr)
}

/// The same on another writer.
pub fn start_with_writer<W>(level: &str, writer: W) -> Result<(), InvalidLogFilter>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = filter(level)?;
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    // A second start in one process keeps the first.
    let _ = tracing_subscriber::registry()
        .with(lines.with_filter(RateLimit::default()).with_filter(filter))
        .try_init();
    Ok(())
}

fn filter(level: &str) -> Result<EnvFilter, InvalidLogFilter> {
    let bad = |reason: String| InvalidLogFilter { filter: level.to_owned(), reason };
    let filter = EnvFilter::try_new(level).map_err(|e| bad(e.to_string()))?;
    // A word that is no level parses as the name of a module, and nothing would be logged.
    let words = level.split(',').map(str::trim);
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    match words.into_iter().find(|w| !w.contains('=') && !levels.contains(w)) {
        None => Ok(filter),
        Some(word) => Err(bad(format!("{word:?} is none of: {}", levels.join(", ")))),
    }
}

/// Lines of one place in the code in a second; more are left out and counted. A hundred
/// samples of a step may end at once; a fault that says the same for each request of an
/// overload must not cost the processor that the requests need.
const BUDGET: u32 = 200;
/// The time that a budget is for.
const SECOND: Duration = Duration::from_secs(1);
/// Lines that wait for a reader of the log; more are left out.
const WAITING: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many lines were left out for their number.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// A writer on standard output that never blocks: lines wait for a thread of their own, and
/// are left out once too many do. The guard writes what waits when it is dropped.
pub fn stdout_writer() -> (NonBlocking, WorkerGuard) {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING);
    builder.finish(std::io::stdout())
}

/// Lets through so many lines a second of each place in the code.
#[derive(Debug, Default)]
pub struct RateLimit {
    spent: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl RateLimit {
    /// Whether a line of this place may be written at this moment.
    pub fn allow(&self, place: Identifier, now: Instant) -> bool {
        let mut spent = self.spent.lock();
        let (since, count) = spent.entry(place).or_insert((now, 0));
        if now.saturating_duration_since(*since) >= SECOND {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        let fits = *count <= BUDGET;
        if !fits {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        fits
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
