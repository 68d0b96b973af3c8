//! The HTTP interface for callers and trainers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::addresses::{Addresses, addresses_for_client, addresses_for_trainer, query_parameter};
use super::app::App;
use super::claims::ClaimedCall;
use super::completion_api::handle_completion;
use super::{claims, plain_call, steps};
use crate::Name;
use crate::bundle::Bundle;
use crate::decide::{Call, Class};
use crate::edge::http::{Body, Handler, json_response, problem_response};
use crate::error::{Kind, Refusal};
use crate::logs::shortened;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The time after which a client may try again for whose body there was no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The header with the name of the caller.
const CALLER_HEADER: &str = "mulberry-caller";
/// The header with the time that the caller waits, in milliseconds.
const TIMEOUT_HEADER: &str = "mulberry-timeout-ms";
/// The maximum length of a header value that the node reads, in bytes.
const MAX_HEADER_BYTES: usize = 128;
/// The caller that requests without a caller name are counted for.
const ANONYMOUS_CALLER: &str = "anonymous";

/// Handles the requests of the listener for callers and trainers.
#[derive(Debug)]
pub(super) struct ClientHandler {
    pub(super) app: Arc<App>,
}

impl Handler for ClientHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<Body> {
        self.app.metrics.inflight.inc();
        let result = route(&self.app, request, from).await;
        self.app.metrics.inflight.dec();
        result.unwrap_or_else(|refusal| {
            self.app.metrics.count_refusal(refusal.kind);
            tracing::info!(event = "refused", kind = %refusal.kind, detail = shortened(&refusal.detail));
            problem_response(&refusal)
        })
    }

    fn connection_refused(&self, kind: Kind) {
        self.app.metrics.count_refusal(kind);
    }
}

async fn route(
    app: &Arc<App>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Result<Response<Body>, Refusal> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match segments.as_slice() {
        ["v1", "addresses"] => {
            require_method(&head, &Method::GET)?;
            Ok(json_response(StatusCode::OK, &addresses(app, head.uri.query(), from)))
        }
        ["v1", "completions"] => {
            require_method(&head, &Method::POST)?;
            let completion = read_json(app, &head, body).await?;
            handle_completion(app, &head, completion).await
        }
        ["v1", "services", service, ..] => {
            let body = read_request_body(app, body).await?;
            let rest = path.trim_start_matches("/v1/services/").trim_start_matches(service);
            call_service(app, &head, service, rest, body).await
        }
        ["v1", "trainers", trainer, "steps", step] => {
            require_method(&head, &Method::PUT)?;
            let number = step_number(step)?;
            let request = read_json(app, &head, body).await?;
            steps::submit_step(app, Name::from(*trainer), number, request)?;
            Ok(json_response(StatusCode::OK, &json!({ "step": number })))
        }
        ["v1", "trainers", trainer, "steps", step, "pull"] => {
            require_method(&head, &Method::POST)?;
            let number = step_number(step)?;
            let request = read_json(app, &head, body).await?;
            let response = steps::pull_groups(app, Name::from(*trainer), number, request).await?;
            Ok(json_response(StatusCode::OK, &response))
        }
        _ => Err(Refusal::new(Kind::UnknownPath, path.clone())),
    }
}

/// Returns the addresses for the trainer or client that the query names, or else for the address
/// that the request comes from.
fn addresses(app: &App, query: Option<&str>, from: SocketAddr) -> Addresses {
    if let Some(trainer) = query_parameter(query, "trainer") {
        return addresses_for_trainer(app, trainer);
    }
    match query_parameter(query, "client") {
        Some(client) => addresses_for_client(app, client),
        None => addresses_for_client(app, &from.ip().to_string()),
    }
}

/// Handles a call to a plain service. `rest` is the path after the name of the service.
async fn call_service(
    app: &Arc<App>,
    head: &Parts,
    service: &str,
    rest: &str,
    body: bytes::Bytes,
) -> Result<Response<Body>, Refusal> {
    let adopted = app.bundle()?;
    let mut call = build_call(app, &adopted.bundle, &head.headers, service)?;
    let dispatcher = app.dispatcher(service)?;
    let mut path = if rest.is_empty() { "/".to_owned() } else { rest.to_owned() };
    if let Some(query) = head.uri.query() {
        path = format!("{path}?{query}");
    }
    call.fingerprint = plain_call::call_fingerprint(service, head, &path, &body);
    app.quarantine.check(app, call.fingerprint)?;
    let response = match plain_call::claim_key(&call, service, &head.headers)? {
        None => plain_call::send_call(app, &dispatcher, call, head, &path, body).await?,
        Some(key) => {
            let claimed = ClaimedCall { key, call, head: head.clone(), path, body };
            claims::run_once(app, &dispatcher, claimed).await?
        }
    };
    Ok(plain_call::caller_response(response))
}

/// Builds the call that the dispatcher decides on, from the headers of a request and the bundle.
pub(super) fn build_call(
    app: &App,
    bundle: &Bundle,
    headers: &HeaderMap,
    service: &str,
) -> Result<Call, Refusal> {
    let spec = bundle.services.get(service).ok_or_else(|| {
        Refusal::new(Kind::UnknownService, format!("no service {service} in the bundle"))
    })?;
    let caller = single_header(headers, CALLER_HEADER)?.unwrap_or(ANONYMOUS_CALLER);
    let class = bundle.callers.get(caller).map_or(Class::Live, |c| c.class);
    let wait = match single_header(headers, TIMEOUT_HEADER)? {
        None => spec.default_deadline,
        Some(ms) => Duration::from_millis(ms.parse().map_err(|_| {
            let detail = format!("{TIMEOUT_HEADER}: {ms:?} is not a number of milliseconds");
            Refusal::new(Kind::BadRequest, detail)
        })?),
    };
    Ok(Call {
        caller: caller.into(),
        class,
        repeat: spec.repeat,
        cost: 1,
        deadline: app.clock.now() + wait,
        fingerprint: 0,
        prefix: None,
    })
}

/// Returns the value of a header that may occur at most once. The value must be ASCII text of 1 to
/// 128 characters.
pub(super) fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Refusal> {
    let bad = |what: &str| Refusal::new(Kind::BadRequest, format!("{name}: {what}"));
    let mut all = headers.get_all(name).iter();
    let Some(value) = all.next() else { return Ok(None) };
    if all.next().is_some() {
        return Err(bad("the header occurs more than once"));
    }
    let text = value.to_str().map_err(|_| bad("the value is not ASCII text"))?.trim();
    match text.len() {
        1..=MAX_HEADER_BYTES => Ok(Some(text)),
        0 => Err(bad("the value is empty")),
        _ => Err(bad(&format!("the value is longer than {MAX_HEADER_BYTES} bytes"))),
    }
}

fn require_method(head: &Parts, required: &Method) -> Result<(), Refusal> {
    if head.method == *required {
        return Ok(());
    }
    Err(Refusal::new(Kind::WrongMethod, format!("use {required}")))
}

fn step_number(text: &str) -> Result<u64, Refusal> {
    let bad = |_| Refusal::new(Kind::BadRequest, format!("{text:?} is not a step number"));
    text.parse().map_err(bad)
}

/// Reads the body of a request within the memory for bodies.
async fn read_request_body(app: &App, body: Incoming) -> Result<bytes::Bytes, Refusal> {
    app.bodies.read(body, MAX_BODY_BYTES).await.map_err(|refusal| match refusal.kind {
        Kind::MemoryFull => refusal.with_retry_after(MEMORY_RETRY_AFTER),
        _ => refusal,
    })
}

async fn read_json<T: DeserializeOwned>(
    app: &App,
    head: &Parts,
    body: Incoming,
) -> Result<T, Refusal> {
    let content_type =
        head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if content_type.split(';').next().map(str::trim) != Some("application/json") {
        let detail = format!("expected application/json, not {content_type:?}");
        return Err(Refusal::new(Kind::UnsupportedMedia, detail));
    }
    let bytes = read_request_body(app, body).await?;
    serde_json::from_slice(&bytes).map_err(|e| Refusal::new(Kind::BadRequest, e.to_string()))
}
