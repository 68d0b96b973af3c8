//! Calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderName};
use http::request::Parts;
use http::{HeaderMap, Request, Response, Uri};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::app::App;
use super::callers::one;
use super::claims;
use super::dispatcher::Dispatcher;
use super::suspects::{self, Visit};
use crate::decide::claim::ClaimKey;
use crate::decide::{Call, Repeat};
use crate::edge::http::{Body, full_body};
use crate::edge::upstream::PlainResponse;
use crate::error::{Kind, Refusal};

/// The headers that are passed on.
const PASSED: [HeaderName; 2] = [CONTENT_TYPE, http::header::ACCEPT];
/// The header of the idempotency key.
const KEY: &str = "idempotency-key";
/// The headers of an upstream's answer that are passed on.
const RETURNED: [HeaderName; 2] = [CONTENT_TYPE, claims::REPLAYED];

/// What a call is claimed under, if it may not be repeated and has a key.
///
/// A service whose calls may be repeated needs no claim: a platform that is down
/// must not keep its calls from being served.
pub(super) fn claim_key(
    call: &Call,
    service: &str,
    headers: &HeaderMap,
) -> Result<Option<ClaimKey>, Refusal> {
    let key = one(headers, KEY)?.map(|key| ClaimKey::new(service, &call.caller, key));
    Ok(match call.repeat {
        Repeat::Idempotent => None,
        Repeat::Once => key,
    })
}

/// The hash of a call's content: the same when it is sent again, to any node.
pub(super) fn fingerprint(service: &str, head: &Parts, path: &str, body: &[u8]) -> u64 {
    let line = format!("{} {path}", head.method);
    suspects::fingerprint(service, xxh3_64_with_seed(body, xxh3_64(line.as_bytes())))
}

/// The answer to the caller.
pub(super) fn response(whole: PlainResponse) -> Response<Body> {
    let mut response = Response::new(full_body(whole.body));
    *response.status_mut() = whole.status;
    for name in RETURNED {
        if let Some(value) = whole.headers.get(&name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

/// Makes a call, with as many attempts as are allowed.
pub(super) async fn call(
    app: &App,
    dispatcher: &Arc<Dispatcher>,
    call: Call,
    head: &Parts,
    path: &str,
    body: Bytes,
) -> Result<PlainResponse, Refusal> {
    let deadline = app.clock.instant(call.deadline);
    let uri: Uri =
        path.parse().map_err(|e| Refusal::new(Kind::BadRequest, format!("path {path}: {e}")))?;
    let suspect = call.fingerprint;
    app.suspects.check(app, suspect)?;
    let mut turn = dispatcher.acquire(call).await?;
    loop {
        let visit = Visit::enter(app, &turn.upstream, turn.address, suspect, deadline).await;
        let mut visit = visit.map_err(|refusal| turn.judge(refusal))?;
        turn.begin();
        let request = request(turn.address, head, &uri, body.clone());
        let attempt = app.plain.send(turn.address, request, deadline);
        let failure = match visit.run(attempt).await {
            Ok(answer) => {
                visit.passed();
                turn.done(None);
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        visit.broke(failure.outcome).await;
        tracing::info!(
            event = "attempt_failed",
            upstream = %turn.upstream,
            outcome = ?failure.outcome,
            reason = %failure.reason,
        );
        turn = turn.again(failure.outcome).await?;
    }
}

fn request(to: SocketAddr, head: &Parts, uri: &Uri, body: Bytes) -> Request<Body> {
    let mut headers = HeaderMap::new();
    let key = HeaderName::from_static(KEY);
    for name in PASSED.iter().chain([&key]) {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name.clone(), value.clone());
        }
    }
    // A socket address is always a valid header value.
    if let Ok(host) = to.to_string().parse() {
        headers.insert(HOST, host);
    }
    let mut request = Request::new(full_body(body));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri.clone();
    *request.headers_mut() = headers;
    request
}
