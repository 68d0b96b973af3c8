//! Runs a call with an idempotency key, from the claim to its outcome.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use tokio_util::task::TaskTracker;

use super::claim_guard::{Claim, ClaimResult};
use crate::decide::Call;
use crate::decide::claim::{CachedAnswer, ClaimKey};
use crate::edge::upstream::PlainResponse;
use crate::error::{Kind, Refusal, RunStatus};
use crate::node::app::App;
use crate::node::dispatcher::Dispatcher;
use crate::node::plain_call;

/// The response header that marks a cached answer of an earlier run.
pub(in crate::node) const REPLAYED_HEADER: HeaderName =
    HeaderName::from_static("idempotent-replayed");

/// A call that runs at most once under its key.
#[derive(Debug)]
pub(in crate::node) struct ClaimedCall {
    pub(in crate::node) key: ClaimKey,
    pub(in crate::node) call: Call,
    pub(in crate::node) head: Parts,
    pub(in crate::node) path: String,
    pub(in crate::node) body: Bytes,
}

/// Claims the key and runs the call, or returns the answer of an earlier run.
///
/// The call continues in a task of its own if the caller disconnects, so that the caller can send
/// the request again and get the answer.
pub(in crate::node) async fn run_once(
    app: &Arc<App>,
    dispatcher: &Arc<Dispatcher>,
    call: ClaimedCall,
) -> Result<PlainResponse, Refusal> {
    let tracker: &TaskTracker = &app.claims.calls;
    let (app, dispatcher) = (app.clone(), dispatcher.clone());
    let task = tracker.spawn(async move { claim_and_run(&app, &dispatcher, call).await });
    task.await.unwrap_or_else(|e| Err(Refusal::new(Kind::Internal, e.to_string())))
}

async fn claim_and_run(
    app: &Arc<App>,
    dispatcher: &Arc<Dispatcher>,
    claimed: ClaimedCall,
) -> Result<PlainResponse, Refusal> {
    let ClaimedCall { key, call, head, path, body } = claimed;
    let claim = match Claim::acquire(app, key, call.fingerprint).await? {
        ClaimResult::Granted(claim) => claim,
        ClaimResult::Answered(answer) => return Ok(replayed_response(answer)),
    };
    let result = plain_call::send_call(app, dispatcher, call, &head, &path, body).await;
    match &result {
        Ok(response) => claim.ran(cached_answer(response)),
        Err(refusal) => match refusal.run() {
            RunStatus::NotRun => claim.not_run(),
            RunStatus::Unknown | RunStatus::Ran => claim.unknown(),
        },
    }
    result
}

fn cached_answer(response: &PlainResponse) -> CachedAnswer {
    let content_type = response.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    CachedAnswer {
        status: response.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: response.body.to_vec(),
    }
}

fn replayed_response(answer: CachedAnswer) -> PlainResponse {
    let mut headers = HeaderMap::new();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    if let Some(value) = answer.content_type.and_then(|t| HeaderValue::try_from(t).ok()) {
        headers.insert(CONTENT_TYPE, value);
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    PlainResponse { status, headers, body: answer.body.into() }
}
