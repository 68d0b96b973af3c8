//! What callers and trainers ask over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::addresses::{Addresses, for_client, for_trainer, parameter};
use super::app::App;
use super::claims::OnceCall;
use super::stream::completions;
use super::{claims, plain, train};
use crate::Name;
use crate::bundle::Bundle;
use crate::decide::{Call, Class};
use crate::edge::http::{Body, Handler, json_response as answer, problem_response, read_body};
use crate::error::{Kind, Refusal};

/// The largest request body, in bytes.
const BODY_LIMIT: usize = 16 << 20;
/// The header that names the caller.
const CALLER: &str = "mulberry-caller";
/// The header that says how long the caller waits, in milliseconds.
const TIMEOUT: &str = "mulberry-timeout-ms";
/// The longest value of a header that we read, in bytes.
const HEADER_LIMIT: usize = 128;
/// The caller that requests without a name count for.
const NOBODY: &str = "anonymous";

/// The handler of the callers' listener.
#[derive(Debug)]
pub(super) struct Callers {
    pub(super) app: Arc<App>,
}

impl Handler for Callers {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<Body> {
        self.app.metrics.inflight.inc();
        let answered = route(&self.app, request, from).await;
        self.app.metrics.inflight.dec();
        answered.unwrap_or_else(|refusal| {
            self.app.metrics.refused(refusal.kind);
            tracing::info!(event = "refused", kind = %refusal.kind, detail = refusal.detail);
            problem_response(&refusal)
        })
    }

    fn connection_refused(&self, kind: Kind) {
        self.app.metrics.refused(kind);
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
            method(&head, &Method::GET)?;
            Ok(answer(StatusCode::OK, &addresses(app, head.uri.query(), from)))
        }
        ["v1", "completions"] => {
            method(&head, &Method::POST)?;
            let completion = parsed(&head, body).await?;
            completions(app, &head, completion).await
        }
        ["v1", "services", service, ..] => {
            let body = read_body(body, BODY_LIMIT).await?;
            let rest = path.trim_start_matches("/v1/services/").trim_start_matches(service);
            services(app, &head, service, rest, body).await
        }
        ["v1", "trainers", trainer, "steps", step] => {
            method(&head, &Method::PUT)?;
            let number = number(step)?;
            let submit = parsed(&head, body).await?;
            train::submit(app, Name::from(*trainer), number, submit)?;
            Ok(answer(StatusCode::OK, &json!({ "step": number })))
        }
        ["v1", "trainers", trainer, "steps", step, "pull"] => {
            method(&head, &Method::POST)?;
            let number = number(step)?;
            let pull = parsed(&head, body).await?;
            let pulled = train::pull(app, Name::from(*trainer), number, pull).await?;
            Ok(answer(StatusCode::OK, &pulled))
        }
        _ => Err(Refusal::new(Kind::UnknownPath, path.clone())),
    }
}

/// The addresses for whom the query names; without a name, for the address that asks.
fn addresses(app: &App, query: Option<&str>, from: SocketAddr) -> Addresses {
    if let Some(trainer) = parameter(query, "trainer") {
        return for_trainer(app, trainer);
    }
    match parameter(query, "client") {
        Some(client) => for_client(app, client),
        None => for_client(app, &from.ip().to_string()),
    }
}

async fn services(
    app: &Arc<App>,
    head: &Parts,
    service: &str,
    rest: &str,
    body: bytes::Bytes,
) -> Result<Response<Body>, Refusal> {
    let adopted = app.bundle()?;
    let mut call = call_of(app, &adopted.bundle, &head.headers, service)?;
    let dispatcher = app.dispatcher(service)?;
    let mut path = if rest.is_empty() { "/".to_owned() } else { rest.to_owned() };
    if let Some(query) = head.uri.query() {
        path = format!("{path}?{query}");
    }
    call.fingerprint = plain::fingerprint(service, head, &path, &body);
    app.suspects.check(app, call.fingerprint)?;
    let whole = match plain::claim_key(&call, service, &head.headers)? {
        None => plain::call(app, &dispatcher, call, head, &path, body).await?,
        Some(key) => {
            let once = OnceCall { key, call, head: head.clone(), path, body };
            claims::once(app, &dispatcher, once).await?
        }
    };
    Ok(plain::response(whole))
}

/// The request as the decisions see it, from headers and bundle.
pub(super) fn call_of(
    app: &App,
    bundle: &Bundle,
    headers: &HeaderMap,
    service: &str,
) -> Result<Call, Refusal> {
    let spec = bundle.services.get(service).ok_or_else(|| {
        Refusal::new(Kind::UnknownService, format!("no service {service} in the bundle"))
    })?;
    let caller = one(headers, CALLER)?.unwrap_or(NOBODY);
    let class = bundle.callers.get(caller).map_or(Class::Live, |c| c.class);
    let wait = match one(headers, TIMEOUT)? {
        None => spec.deadline,
        Some(ms) => Duration::from_millis(ms.parse().map_err(|_| {
            Refusal::new(Kind::BadRequest, format!("{TIMEOUT}: {ms} is no number"))
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

/// The value of a header that may be there once, as text of 1 to 128 characters.
pub(super) fn one<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let bad = |what: &str| Refusal::new(Kind::BadRequest, format!("{name}: {what}"));
    let mut all = headers.get_all(name).iter();
    let Some(value) = all.next() else { return Ok(None) };
    if all.next().is_some() {
        return Err(bad("is there more than once"));
    }
    let text = value.to_str().map_err(|_| bad("is no ASCII text"))?.trim();
    match text.len() {
        1..=HEADER_LIMIT => Ok(Some(text)),
        0 => Err(bad("is empty")),
        _ => Err(bad("is too long")),
    }
}

fn method(head: &Parts, wanted: &Method) -> Result<(), Refusal> {
    if head.method == *wanted {
        return Ok(());
    }
    Err(Refusal::new(Kind::WrongMethod, format!("use {wanted}")))
}

fn number(text: &str) -> Result<u64, Refusal> {
    let bad = |_| Refusal::new(Kind::BadRequest, format!("{text} is no step number"));
    text.parse().map_err(bad)
}

async fn parsed<T: DeserializeOwned>(head: &Parts, body: Incoming) -> Result<T, Refusal> {
    let kind = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if kind.split(';').next().map(str::trim) != Some("application/json") {
        let detail = format!("expected application/json, not {kind:?}");
        return Err(Refusal::new(Kind::UnsupportedMedia, detail));
    }
    let bytes = read_body(body, BODY_LIMIT).await?;
    serde_json::from_slice(&bytes).map_err(|e| Refusal::new(Kind::BadRequest, e.to_string()))
}
