//! Runs a completion to its end, over as many engines as necessary.
//!
//! When an engine fails during the completion, the next one continues after the tokens that were
//! received. The label records which weight version produced which tokens.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::app::App;
use super::dispatcher::{Dispatcher, SendPermit};
use super::quarantine::{self, CheckedAttempt};
use crate::Name;
use crate::decide::{AttemptOutcome, Call, Label, SlowEngineDetector};
use crate::edge::upstream::{AttemptFailure, Chunk, CompletionRequest, PriorOutput};
use crate::error::{Kind, Refusal};

/// An engine that sends nothing for this time counts as failed.
const ENGINE_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before a sample that would be stale is tried again: an engine's swap takes seconds,
/// a trainer's step minutes.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A finished completion.
#[derive(Debug)]
pub(super) struct Completion {
    /// The text, without the prior output that the caller sent.
    pub(super) text: String,
    pub(super) label: Label,
    /// The finish reason: `stop` or `length`.
    pub(super) finish: String,
    /// The engine that finished the completion.
    pub(super) upstream: Name,
}

/// The output of a completion so far.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    /// The prior output that the caller sent. Its label is not known here.
    given: PriorOutput,
    text: String,
    /// The label of the tokens that this node received.
    pub(super) label: Label,
    finish: Option<String>,
    /// The number of attempts so far.
    attempts: u32,
}

impl Progress {
    /// Starts after the prior output that the caller sent.
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

    /// Returns the id of the next attempt at the engines. Attempts are numbered from 1.
    fn next_attempt_id(&mut self, id: &str) -> String {
        self.attempts += 1;
        format!("{id}/{}", self.attempts)
    }
}

/// A completion to run.
#[derive(Debug)]
pub(super) struct CompletionJob<'a> {
    pub(super) call: Call,
    pub(super) request: CompletionRequest,
    /// The oldest weight version that the output may contain. It may rise during the completion.
    pub(super) min_version: Option<&'a AtomicU64>,
    /// The token times of the same step's samples. A sample on a slow engine moves to another.
    pub(super) slow_detector: Option<&'a Mutex<SlowEngineDetector>>,
    /// Receives each chunk as it arrives.
    pub(super) chunk_sender: Option<mpsc::Sender<Chunk>>,
}

impl CompletionJob<'_> {
    /// Whether it is a sample of a training step. Samples are owed to their trainers: engines that
    /// crash under one crash for another reason, so that the quarantine does not apply to them.
    fn is_sample(&self) -> bool {
        self.min_version.is_some()
    }

    fn is_too_old(&self, version: u64) -> bool {
        self.min_version.is_some_and(|min| version < min.load(Ordering::Relaxed))
    }
}

/// How an attempt ended without a failure.
enum AttemptResult {
    /// The completion is finished, with this finish reason.
    Finished(String),
    /// The output contains this version, which is too old: the output would be discarded.
    Stale(u64),
}

/// Runs a completion. After a refusal, `progress` still holds the output so far.
pub(super) async fn run_completion(
    app: &App,
    dispatcher: &Arc<Dispatcher>,
    job: CompletionJob<'_>,
    progress: &mut Progress,
) -> Result<Completion, Refusal> {
    let deadline = app.clock.instant(job.call.deadline);
    let content = xxh3_64(job.request.prompt.as_bytes());
    let fingerprint = quarantine::fingerprint(&job.request.model, content);
    if !job.is_sample() {
        app.quarantine.check(app, fingerprint)?;
    }
    let mut permit = dispatcher.acquire(job.call.clone()).await?;
    loop {
        if let Some(min_version) = job.min_version
            && app.engine_versions.lock().behind(
                &permit.upstream,
                min_version.load(Ordering::Relaxed),
                app.clock.now(),
            )
        {
            // Nothing was sent: dropping the permit cancels the request.
            return Err(
                permit.adjust_refusal(stale("the upstream serves weights that are too old"))
            );
        }
        let tokens_before = progress.label.tokens();
        let mut checked = None;
        if !job.is_sample() {
            let (upstream, address) = (&permit.upstream, permit.address);
            let check =
                CheckedAttempt::wait_to_send(app, upstream, address, fingerprint, deadline).await;
            checked = Some(check.map_err(|refusal| permit.adjust_refusal(refusal))?);
        }
        permit.mark_sent();
        let attempt = run_attempt(app, &permit, &job, progress);
        let ended = match &mut checked {
            Some(checked) => tokio::time::timeout_at(deadline, checked.run(attempt)).await,
            None => tokio::time::timeout_at(deadline, attempt).await,
        };
        match ended {
            Ok(Ok(AttemptResult::Finished(finish))) => {
                if let Some(checked) = checked {
                    checked.succeeded();
                }
                let upstream = permit.upstream.clone();
                permit.finish(Some(progress.label.tokens() - tokens_before));
                let Progress { text, label, .. } = std::mem::take(progress);
                return Ok(Completion { text, label, finish, upstream });
            }
            Ok(Ok(AttemptResult::Stale(version))) => {
                let detail = format!("weight version {version} in the output is now too old");
                return Err(stale(&detail).with_unknown_outcome(Kind::Stale));
            }
            Ok(Err(failure)) => {
                tracing::info!(
                    event = "attempt_failed",
                    upstream = %permit.upstream,
                    outcome = ?failure.outcome,
                    reason = %failure.reason,
                );
                if let Some(checked) = checked {
                    checked.failed(failure.outcome).await;
                }
                if progress.label.tokens() > tokens_before {
                    permit.report_progress();
                }
                permit = retry(permit, &failure, progress).await?;
            }
            Err(_) => return Err(deadline_passed(progress)),
        }
    }
}

async fn retry(
    permit: SendPermit,
    failure: &AttemptFailure,
    progress: &Progress,
) -> Result<SendPermit, Refusal> {
    // A completion with tokens has run in part, whatever the outcome of the last attempt is.
    permit.retry(failure.outcome).await.map_err(|refusal| match progress.label.tokens() {
        0 => refusal,
        _ => refusal.with_unknown_outcome(Kind::Truncated),
    })
}

fn stale(detail: &str) -> Refusal {
    Refusal::new(Kind::Stale, detail).with_retry_after(STALE_RETRY_DELAY)
}

fn deadline_passed(progress: &Progress) -> Refusal {
    let detail = format!("the deadline passed after {} tokens", progress.label.tokens());
    Refusal::new(Kind::OutcomeUnknown, detail)
}

/// Runs one attempt. Returning early drops the engine's stream, which cancels its work there.
async fn run_attempt(
    app: &App,
    permit: &SendPermit,
    job: &CompletionJob<'_>,
    progress: &mut Progress,
) -> Result<AttemptResult, AttemptFailure> {
    let mut request = job.request.clone();
    request.prior = progress.prior();
    request.request_id = progress.next_attempt_id(&job.request.request_id);
    let start = AttemptStart { at: Instant::now(), tokens: progress.label.tokens() };
    let opening = app.engines.complete(permit.address, &request);
    let mut chunks = with_stall_timeout(opening).await??;
    let mut version = None;
    while let Some(chunk) = with_stall_timeout(chunks.next()).await? {
        let chunk = chunk?;
        if chunk.version != version {
            version = chunk.version;
            record_version(app, permit, version);
        }
        progress.push(&chunk);
        if let Some(sender) = &job.chunk_sender
            && sender.send(chunk).await.is_err()
        {
            break;
        }
        if let Some(oldest) = progress.label.oldest().filter(|v| job.is_too_old(*v)) {
            return Ok(AttemptResult::Stale(oldest));
        }
        if let Some(finish) = progress.finish.take() {
            start.record_finish(job, progress);
            return Ok(AttemptResult::Finished(finish));
        }
        start.check_speed(job, progress)?;
    }
    Err(AttemptFailure {
        outcome: AttemptOutcome::Unknown,
        reason: "the engine's stream ended without a finish reason".to_owned(),
    })
}

/// The time and the token count at which an attempt started.
struct AttemptStart {
    at: Instant,
    tokens: u32,
}

impl AttemptStart {
    fn record_finish(&self, job: &CompletionJob<'_>, progress: &Progress) {
        if let Some(detector) = job.slow_detector {
            let tokens = progress.label.tokens() - self.tokens;
            detector.lock().attempt_finished(tokens, self.at.elapsed());
        }
    }

    /// Fails an attempt on a slow engine, so that the completion continues on another one.
    fn check_speed(
        &self,
        job: &CompletionJob<'_>,
        progress: &Progress,
    ) -> Result<(), AttemptFailure> {
        let Some(detector) = job.slow_detector else { return Ok(()) };
        let made = progress.label.tokens() - self.tokens;
        let left = job.request.max_tokens.saturating_sub(progress.label.tokens());
        if !detector.lock().should_move(made, self.at.elapsed(), left) {
            return Ok(());
        }
        let reason = format!(
            "slow engine: {made} tokens in {:?}, far slower than the other samples of the step",
            self.at.elapsed()
        );
        Err(AttemptFailure { outcome: AttemptOutcome::Unknown, reason })
    }
}

/// Records the weight version of a chunk. Only the engine itself knows which version it serves.
fn record_version(app: &App, permit: &SendPermit, version: Option<u64>) {
    if let Some(version) = version {
        app.engine_versions.lock().record(&permit.upstream, version, app.clock.now());
    }
}

async fn with_stall_timeout<T>(step: impl Future<Output = T>) -> Result<T, AttemptFailure> {
    tokio::time::timeout(ENGINE_STALL_TIMEOUT, step).await.map_err(|_| AttemptFailure {
        outcome: AttemptOutcome::Unknown,
        reason: format!("the engine sent nothing for {ENGINE_STALL_TIMEOUT:?}"),
    })
}
