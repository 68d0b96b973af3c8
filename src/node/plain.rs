//! Calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderName};
use http::request::Parts;
use http::{HeaderMap, Request};

use super::app::App;
use super::dispatcher::Dispatcher;
use crate::decide::{Call, Outcome};
use crate::edge::http::full;
use crate::edge::upstream::{Failure, PlainAnswer};
use crate::error::{Kind, Refusal};

/// The headers that are passed on.
const PASSED: [HeaderName; 2] = [CONTENT_TYPE, http::header::ACCEPT];
/// The header of the idempotency key.
pub(super) const KEY: &str = "idempotency-key";

/// Makes a call, with as many attempts as are allowed.
pub(super) async fn call(
    app: &App,
    dispatcher: &Arc<Dispatcher>,
    call: Call,
    head: &Parts,
    path: &str,
    body: Bytes,
) -> Result<PlainAnswer, Refusal> {
    let deadline = app.clock.instant(call.deadline);
    let mut turn = dispatcher.acquire(call).await?;
    loop {
        let request = request(turn.address, head, path, body.clone())?;
        let attempt = app.plain.send(turn.address, request);
        let failure = match tokio::time::timeout_at(deadline, attempt).await {
            Ok(Ok(answer)) => {
                turn.done();
                return Ok(answer);
            }
            Ok(Err(failure)) => failure,
            Err(_) => Failure {
                outcome: Outcome::Unknown,
                reason: "no whole answer before the deadline".to_owned(),
            },
        };
        tracing::info!(
            event = "attempt_failed",
            upstream = %turn.upstream,
            outcome = ?failure.outcome,
            reason = %failure.reason,
        );
        turn = turn.again(failure.outcome).await?;
    }
}

fn request(
    to: SocketAddr,
    head: &Parts,
    path: &str,
    body: Bytes,
) -> Result<Request<crate::edge::http::Body>, Refusal> {
    let mut headers = HeaderMap::new();
    let key = HeaderName::from_static(KEY);
    for name in PASSED.iter().chain([&key]) {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name.clone(), value.clone());
        }
    }
    let bad = |reason: String| Refusal::new(Kind::BadRequest, reason);
    let host = to.to_string().parse().map_err(|_| bad(format!("no host {to}")))?;
    headers.insert(HOST, host);
    let mut request = Request::new(full(body));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path.parse().map_err(|e| bad(format!("path {path}: {e}")))?;
    *request.headers_mut() = headers;
    Ok(request)
}
