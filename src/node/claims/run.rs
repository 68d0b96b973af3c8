//! A call under an idempotency key, from the claim to its end.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use tokio_util::task::TaskTracker;

use super::ask::{Claim, Claimed};
use crate::decide::Call;
use crate::decide::claim::{CachedAnswer, ClaimKey};
use crate::edge::upstream::PlainResponse;
use crate::error::{Kind, Refusal, Run};
use crate::node::app::App;
use crate::node::dispatcher::Dispatcher;
use crate::node::plain;

/// Marks an answer that was kept from an earlier run.
pub(in crate::node) const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// A call that runs at most once under its key.
#[derive(Debug)]
pub(in crate::node) struct OnceCall {
    pub(in crate::node) key: ClaimKey,
    pub(in crate::node) call: Call,
    pub(in crate::node) head: Parts,
    pub(in crate::node) path: String,
    pub(in crate::node) body: Bytes,
}

/// Claims the key and runs the call, or gives the answer of the run that there was.
///
/// The call goes on in a task of its own: a caller whose connection breaks can
/// come back and get the answer.
pub(in crate::node) async fn once(
    app: &Arc<App>,
    dispatcher: &Arc<Dispatcher>,
    call: OnceCall,
) -> Result<PlainResponse, Refusal> {
    let tracker: &TaskTracker = &app.claims.calls;
    let (app, dispatcher) = (app.clone(), dispatcher.clone());
    let task = tracker.spawn(async move { run(&app, &dispatcher, call).await });
    task.await.unwrap_or_else(|e| Err(Refusal::new(Kind::Internal, e.to_string())))
}

async fn run(
    app: &Arc<App>,
    dispatcher: &Arc<Dispatcher>,
    once: OnceCall,
) -> Result<PlainResponse, Refusal> {
    let OnceCall { key, call, head, path, body } = once;
    let claim = match Claim::take(app, key, call.fingerprint).await? {
        Claimed::Mine(claim) => claim,
        Claimed::Answered(kept) => return Ok(replayed(kept)),
    };
    let ended = plain::call(app, dispatcher, call, &head, &path, body).await;
    match &ended {
        Ok(answer) => claim.ran(kept(answer)),
        Err(refusal) => match refusal.run() {
            Run::NotRun => claim.not_run(),
            Run::Unknown | Run::Ran => claim.unknown(),
        },
    }
    ended
}

fn kept(answer: &PlainResponse) -> CachedAnswer {
    let kind = answer.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    CachedAnswer {
        status: answer.status.as_u16(),
        content_type: kind.map(str::to_owned),
        body: answer.body.to_vec(),
    }
}

fn replayed(kept: CachedAnswer) -> PlainResponse {
    let mut headers = HeaderMap::new();
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    if let Some(kind) = kept.content_type.and_then(|k| HeaderValue::try_from(k).ok()) {
        headers.insert(CONTENT_TYPE, kind);
    }
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    PlainResponse { status, headers, body: kept.body.into() }
}
