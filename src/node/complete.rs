//! A completion from start to end, over as many engines as it takes.
//!
//! When an engine fails in the middle, the next one goes on from the tokens that
//! are there; the label keeps which version made which.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::app::App;
use super::dispatcher::{Dispatcher, Turn};
use super::suspects::{self, Visit};
use crate::Name;
use crate::decide::{AttemptOutcome, Call, Label, SlowEngineDetector};
use crate::edge::upstream::{AttemptFailure, Chunk, CompletionRequest, PriorOutput};
use crate::error::{Kind, Refusal};

/// An engine that sends nothing for so long counts as failed.
const STALL: Duration = Duration::from_secs(3);
/// Pause before a sample that would be stale is tried again: an engine's swap
/// takes seconds, a trainer's step minutes.
const STALE_PAUSE: Duration = Duration::from_millis(250);

/// A whole completion.
#[derive(Debug)]
pub(super) struct Whole {
    /// Without what the caller had already.
    pub(super) text: String,
    pub(super) label: Label,
    pub(super) finish: String,
    pub(super) upstream: Name,
}

/// What is there of a completion so far.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    /// What the caller had already; its label is not known here.
    given: PriorOutput,
    text: String,
    /// Of the tokens that came here.
    pub(super) label: Label,
    finish: Option<String>,
    /// Attempts so far.
    parts: u32,
}

impl Progress {
    /// Goes on after what the caller has.
    pub(super) fn after(given: PriorOutput) -> Self {
        Self { given, ..Self::default() }
    }

    fn prior(&self) -> Option<PriorOutput> {
        let tokens = self.given.tokens + self.label.tokens();
        let text = || format!("{}{}", self.given.text, self.text);
        (tokens > 0).then(|| PriorOutput { text: text(), tokens })
    }

    fn push(&mut self, chunk: &Chunk) {
        self.text.push_str(&chunk.text);
        self.label.push(chunk.version, chunk.tokens);
        self.finish.clone_from(&chunk.finish);
    }

    /// Each attempt has its own id at the engines, in the order of the attempts.
    fn part(&mut self, id: &str) -> String {
        self.parts += 1;
        format!("{id}/{}", self.parts)
    }
}

/// What is to be completed.
#[derive(Debug)]
pub(super) struct Job<'a> {
    pub(super) call: Call,
    pub(super) request: CompletionRequest,
    /// The oldest version that may still be in the answer; it rises in mid-stream.
    pub(super) floor: Option<&'a AtomicU64>,
    /// The pace of the samples beside it: one that drags goes on at another engine.
    pub(super) drag: Option<&'a Mutex<SlowEngineDetector>>,
    /// Where each chunk goes as well.
    pub(super) sink: Option<mpsc::Sender<Chunk>>,
}

impl Job<'_> {
    fn too_old(&self, version: u64) -> bool {
        self.floor.is_some_and(|floor| version < floor.load(Ordering::Relaxed))
    }
}

/// How an attempt ended without a failure.
enum End {
    Finished(String),
    /// The answer would be thrown away: this version in it is too old.
    Stale(u64),
}

/// Runs a completion. What is there stays in `progress`, also after a refusal.
pub(super) async fn complete(
    app: &App,
    dispatcher: &Arc<Dispatcher>,
    job: Job<'_>,
    progress: &mut Progress,
) -> Result<Whole, Refusal> {
    let deadline = app.clock.instant(job.call.deadline);
    let content = xxh3_64(job.request.prompt.as_bytes());
    let suspect = suspects::fingerprint(&job.request.model, content);
    app.suspects.check(app, suspect)?;
    let mut turn = dispatcher.acquire(job.call.clone()).await?;
    loop {
        if let Some(floor) = job.floor
            && app.served.lock().behind(
                &turn.upstream,
                floor.load(Ordering::Relaxed),
                app.clock.now(),
            )
        {
            // Dropping the turn gives it back: nothing was sent.
            return Err(turn.judge(stale("the upstream serves weights that are too old")));
        }
        let before = progress.label.tokens();
        let visit = Visit::enter(app, &turn.upstream, turn.address, suspect, deadline).await;
        let mut visit = visit.map_err(|refusal| turn.judge(refusal))?;
        turn.begin();
        let attempt = visit.run(attempt(app, &turn, &job, progress));
        match tokio::time::timeout_at(deadline, attempt).await {
            Ok(Ok(End::Finished(finish))) => {
                visit.passed();
                let upstream = turn.upstream.clone();
                turn.done(Some(progress.label.tokens() - before));
                let Progress { text, label, .. } = std::mem::take(progress);
                return Ok(Whole { text, label, finish, upstream });
            }
            Ok(Ok(End::Stale(version))) => {
                let detail = format!("version {version} is too old by now");
                return Err(stale(&detail).unsure(Kind::Stale));
            }
            Ok(Err(failure)) => {
                tracing::info!(
                    event = "attempt_failed",
                    upstream = %turn.upstream,
                    outcome = ?failure.outcome,
                    reason = %failure.reason,
                );
                visit.broke(failure.outcome).await;
                if progress.label.tokens() > before {
                    turn.progressed();
                }
                turn = next(turn, &failure, progress).await?;
            }
            Err(_) => return Err(late(progress)),
        }
    }
}

async fn next(turn: Turn, failure: &AttemptFailure, progress: &Progress) -> Result<Turn, Refusal> {
    // What already has tokens has run in part, whatever the last attempt says.
    turn.again(failure.outcome).await.map_err(|refusal| match progress.label.tokens() {
        0 => refusal,
        _ => refusal.unsure(Kind::Truncated),
    })
}

fn stale(detail: &str) -> Refusal {
    Refusal::new(Kind::Stale, detail).after(STALE_PAUSE)
}

fn late(progress: &Progress) -> Refusal {
    let detail = format!("{} tokens were there at the deadline", progress.label.tokens());
    Refusal::new(Kind::OutcomeUnknown, detail)
}

/// One attempt. Returning early drops the engine's stream, which cancels its work there.
async fn attempt(
    app: &App,
    turn: &Turn,
    job: &Job<'_>,
    progress: &mut Progress,
) -> Result<End, AttemptFailure> {
    let mut request = job.request.clone();
    request.prior = progress.prior();
    request.request_id = progress.part(&job.request.request_id);
    let begun = Begun { at: Instant::now(), tokens: progress.label.tokens() };
    let started = app.engines.complete(turn.address, &request);
    let mut chunks = within(started).await??;
    let mut version = None;
    while let Some(chunk) = within(chunks.next()).await? {
        let chunk = chunk?;
        if chunk.version != version {
            version = chunk.version;
            noted(app, turn, version);
        }
        progress.push(&chunk);
        if let Some(sink) = &job.sink
            && sink.send(chunk).await.is_err()
        {
            break;
        }
        if let Some(oldest) = progress.label.oldest().filter(|v| job.too_old(*v)) {
            return Ok(End::Stale(oldest));
        }
        if let Some(finish) = progress.finish.take() {
            begun.finished(job, progress);
            return Ok(End::Finished(finish));
        }
        begun.check(job, progress)?;
    }
    Err(AttemptFailure {
        outcome: AttemptOutcome::Unknown,
        reason: "the stream ended without a last chunk".to_owned(),
    })
}

/// Where an attempt began.
struct Begun {
    at: Instant,
    tokens: u32,
}

impl Begun {
    fn finished(&self, job: &Job<'_>, progress: &Progress) {
        if let Some(drag) = job.drag {
            drag.lock().attempt_finished(progress.label.tokens() - self.tokens, self.at.elapsed());
        }
    }

    /// Fails an attempt that drags, so that another goes on elsewhere.
    fn check(&self, job: &Job<'_>, progress: &Progress) -> Result<(), AttemptFailure> {
        let Some(drag) = job.drag else { return Ok(()) };
        let made = progress.label.tokens() - self.tokens;
        let left = job.request.max_tokens.saturating_sub(progress.label.tokens());
        if !drag.lock().should_move(made, self.at.elapsed(), left) {
            return Ok(());
        }
        let reason = format!("{made} tokens in {:?}, far behind its step", self.at.elapsed());
        Err(AttemptFailure { outcome: AttemptOutcome::Unknown, reason })
    }
}

/// Only the engine knows what it serves: each chunk says so.
fn noted(app: &App, turn: &Turn, version: Option<u64>) {
    if let Some(version) = version {
        app.served.lock().record(&turn.upstream, version, app.clock.now());
    }
}

async fn within<T>(step: impl Future<Output = T>) -> Result<T, AttemptFailure> {
    tokio::time::timeout(STALL, step).await.map_err(|_| AttemptFailure {
        outcome: AttemptOutcome::Unknown,
        reason: format!("nothing came for {STALL:?}"),
    })
}
