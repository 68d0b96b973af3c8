//! A completion from start to end, over as many engines as it takes.
//!
//! When an engine fails in the middle, the next one goes on from the tokens that
//! are there; the label keeps which version made which.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::sync::mpsc;

use super::app::App;
use super::dispatcher::{Dispatcher, Turn};
use crate::Name;
use crate::decide::{Call, Label, Outcome};
use crate::edge::upstream::{Chunk, Completion, Failure, Prior};
use crate::error::{Kind, Refusal, Run};

/// An engine that sends nothing for so long counts as failed.
const STALL: Duration = Duration::from_secs(3);

/// A whole completion.
#[derive(Debug)]
pub(super) struct Whole {
    pub(super) text: String,
    pub(super) label: Label,
    pub(super) finish: String,
    pub(super) upstream: Name,
}

/// What is there of a completion so far.
#[derive(Debug, Default)]
struct Progress {
    text: String,
    label: Label,
    finish: Option<String>,
}

/// Runs a completion; each chunk also goes to `sink`, if there is one.
pub(super) async fn complete(
    app: &App,
    dispatcher: &Arc<Dispatcher>,
    call: Call,
    request: Completion,
    sink: Option<mpsc::Sender<Chunk>>,
) -> Result<Whole, Refusal> {
    let deadline = app.clock.instant(call.deadline);
    let mut progress = Progress::default();
    let mut turn = dispatcher.acquire(call).await?;
    loop {
        let attempt = attempt(app, &turn, &request, &mut progress, sink.as_ref());
        let ended = tokio::time::timeout_at(deadline, attempt).await;
        match ended {
            Ok(Ok(finish)) => {
                let upstream = turn.upstream.clone();
                turn.done();
                let Progress { text, label, .. } = progress;
                return Ok(Whole { text, label, finish, upstream });
            }
            Ok(Err(failure)) => {
                tracing::info!(
                    event = "attempt_failed",
                    upstream = %turn.upstream,
                    outcome = ?failure.outcome,
                    reason = %failure.reason,
                );
                turn = next(turn, &failure, &progress).await?;
            }
            Err(_) => return Err(late(&progress)),
        }
    }
}

async fn next(turn: Turn, failure: &Failure, progress: &Progress) -> Result<Turn, Refusal> {
    // What already has tokens has run in part, whatever the last attempt says.
    turn.again(failure.outcome).await.map_err(|refusal| match progress.label.tokens() {
        0 => refusal,
        _ => Refusal { kind: Kind::Truncated, run: Run::Unknown, ..refusal },
    })
}

fn late(progress: &Progress) -> Refusal {
    let detail = format!("{} tokens were there at the deadline", progress.label.tokens());
    Refusal::new(Kind::OutcomeUnknown, detail)
}

async fn attempt(
    app: &App,
    turn: &Turn,
    request: &Completion,
    progress: &mut Progress,
    sink: Option<&mpsc::Sender<Chunk>>,
) -> Result<String, Failure> {
    let mut request = request.clone();
    if progress.label.tokens() > 0 {
        let prior = Prior { text: progress.text.clone(), tokens: progress.label.tokens() };
        request.prior = Some(prior);
    }
    let started = app.engines.complete(turn.address, &request);
    let mut chunks = within(started).await??;
    while let Some(chunk) = within(chunks.next()).await? {
        let chunk = chunk?;
        progress.text.push_str(&chunk.text);
        progress.label.push(chunk.version, chunk.tokens);
        progress.finish.clone_from(&chunk.finish);
        if let Some(sink) = sink
            && sink.send(chunk).await.is_err()
        {
            break;
        }
    }
    progress.finish.take().ok_or_else(|| Failure {
        outcome: Outcome::Unknown,
        reason: "the stream ended without a last chunk".to_owned(),
    })
}

async fn within<T>(step: impl Future<Output = T>) -> Result<T, Failure> {
    tokio::time::timeout(STALL, step).await.map_err(|_| Failure {
        outcome: Outcome::Unknown,
        reason: format!("nothing came for {STALL:?}"),
    })
}
