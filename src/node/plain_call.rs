//! Calls to plain services, that is, services without a model engine.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderName};
use http::request::Parts;
use http::{HeaderMap, Request, Response, Uri};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::app::App;
use super::claims;
use super::client_api::single_header;
use super::dispatcher::Dispatcher;
use super::quarantine::{self, CheckedAttempt};
use crate::decide::claim::ClaimKey;
use crate::decide::{Call, Repeat};
use crate::edge::http::{Body, full_body};
use crate::edge::upstream::PlainResponse;
use crate::error::{Kind, Refusal};

/// The request headers that are forwarded to the upstream.
const FORWARDED_REQUEST_HEADERS: [HeaderName; 2] = [CONTENT_TYPE, http::header::ACCEPT];
/// The header with the idempotency key, which is forwarded too.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The response headers that are returned to the caller.
const RETURNED_RESPONSE_HEADERS: [HeaderName; 2] = [CONTENT_TYPE, claims::REPLAYED_HEADER];

/// Returns the key to claim a call under, if the call may not be repeated and has an idempotency
/// key.
///
/// The calls of an idempotent service need no claim: they have to be served even while the platform
/// is down.
pub(super) fn claim_key(
    call: &Call,
    service: &str,
    headers: &HeaderMap,
) -> Result<Option<ClaimKey>, Refusal> {
    let key = single_header(headers, IDEMPOTENCY_KEY_HEADER)?;
    let key = key.map(|key| ClaimKey::new(service, &call.caller, key));
    Ok(match call.repeat {
        Repeat::Idempotent => None,
        Repeat::Once => key,
    })
}

/// Returns the hash of a call's content. It is the same when the call is sent again, to any node.
pub(super) fn call_fingerprint(service: &str, head: &Parts, path: &str, body: &[u8]) -> u64 {
    let line = format!("{} {path}", head.method);
    quarantine::fingerprint(service, xxh3_64_with_seed(body, xxh3_64(line.as_bytes())))
}

/// Builds the response to the caller.
pub(super) fn caller_response(upstream_response: PlainResponse) -> Response<Body> {
    let mut response = Response::new(full_body(upstream_response.body));
    *response.status_mut() = upstream_response.status;
    for name in RETURNED_RESPONSE_HEADERS {
        if let Some(value) = upstream_response.headers.get(&name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

/// Sends a call, with as many attempts as are allowed.
pub(super) async fn send_call(
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
    let fingerprint = call.fingerprint;
    app.quarantine.check(app, fingerprint)?;
    let mut permit = dispatcher.acquire(call).await?;
    loop {
        let checked = CheckedAttempt::wait_to_send(
            app,
            &permit.upstream,
            permit.address,
            fingerprint,
            deadline,
        )
        .await;
        let mut checked = checked.map_err(|refusal| permit.adjust_refusal(refusal))?;
        permit.mark_sent();
        let request = upstream_request(permit.address, head, &uri, body.clone());
        let attempt = app.plain.send(permit.address, request, deadline);
        let failure = match checked.run(attempt).await {
            Ok(response) => {
                checked.succeeded();
                permit.finish(None);
                return Ok(response);
            }
            Err(failure) => failure,
        };
        checked.failed(failure.outcome).await;
        tracing::info!(
            event = "attempt_failed",
            upstream = %permit.upstream,
            outcome = ?failure.outcome,
            reason = %failure.reason,
        );
        permit = permit.retry(failure.outcome).await?;
    }
}

fn upstream_request(to: SocketAddr, head: &Parts, uri: &Uri, body: Bytes) -> Request<Body> {
    let mut headers = HeaderMap::new();
    let key = HeaderName::from_static(IDEMPOTENCY_KEY_HEADER);
    for name in FORWARDED_REQUEST_HEADERS.iter().chain([&key]) {
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
