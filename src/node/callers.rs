//! What callers and trainers ask over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::app::App;
use super::claims::OnceCall;
use super::stream::completions;
use super::{claims, plain, train};
use crate::Name;
use crate::bundle::Bundle;
use crate::decide::{Call, Class, rank};
use crate::edge::http::{Body, Handler, json as answer, problem, read};
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

/// The addresses that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Nodes that serve.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}

/// The handler of the callers' listener.
#[derive(Debug)]
pub(super) struct Callers {
    pub(super) app: Arc<App>,
}

impl Handler for Callers {
    async fn answer(self: Arc<Self>, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        self.app.metrics.inflight.inc();
        let answered = route(&self.app, request).await;
        self.app.metrics.inflight.dec();
        answered.unwrap_or_else(|refusal| {
            self.app.metrics.refused(refusal.kind);
            tracing::info!(event = "refused", kind = %refusal.kind, detail = refusal.detail);
            problem(&refusal)
        })
    }

    fn refused(&self, kind: Kind) {
        self.app.metrics.refused(kind);
    }
}

async fn route(app: &Arc<App>, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match segments.as_slice() {
        ["v1", "addresses"] => {
            method(&head, &Method::GET)?;
            let found = match trainer(head.uri.query()) {
                Some(trainer) => homes(app, trainer),
                None => addresses(app),
            };
            Ok(answer(StatusCode::OK, &found))
        }
        ["v1", "completions"] => {
            method(&head, &Method::POST)?;
            let completion = parsed(&head, body).await?;
            completions(app, &head, completion).await
        }
        ["v1", "services", service, ..] => {
            let body = read(body, BODY_LIMIT).await?;
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

/// The trainer that `?trainer=NAME` names.
fn trainer(query: Option<&str>) -> Option<&str> {
    query?.split('&').find_map(|pair| pair.strip_prefix("trainer="))
}

/// The addresses for a trainer: the home of its steps first, then its successors.
/// Every node answers alike, so a step that moves finds its next home again.
fn homes(app: &App, trainer: &str) -> Addresses {
    let mut nodes = app.members.serving(app.clock.now());
    let own = app.info();
    if own.state == crate::edge::peer::NodeState::Serving || nodes.is_empty() {
        nodes.push(own);
    }
    let names = rank(trainer, nodes.iter().map(|n| &*n.name));
    let address = |name: &str| nodes.iter().find(|n| &*n.name == name).map(|n| n.callers);
    let addresses = names.into_iter().filter_map(address).collect();
    Addresses { addresses, ttl_ms: app.settings.drain.ttl.as_millis() as u64 }
}

pub(super) fn addresses(app: &App) -> Addresses {
    let now = app.clock.now();
    let mut nodes = app.members.reached(now);
    let own = app.info();
    if own.state == crate::edge::peer::NodeState::Serving || nodes.is_empty() {
        nodes.push(own);
    }
    let mut addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.callers).collect();
    addresses.shuffle(&mut rand::rng());
    Addresses { addresses, ttl_ms: app.settings.drain.ttl.as_millis() as u64 }
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
    let bytes = read(body, BODY_LIMIT).await?;
    serde_json::from_slice(&bytes).map_err(|e| Refusal::new(Kind::BadRequest, e.to_string()))
}
