//! A client for callers: finds a node, and takes only whole answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{Method, Request, StatusCode};
use http_body_util::BodyDataStream;

use super::AddressBook;
use crate::Name;
use crate::edge::http::{Fetch, FetchError, full, read};
use crate::edge::upstream::Completion;
use crate::error::Problem;

/// The largest answer, in bytes.
const LIMIT: usize = 64 << 20;
/// Nodes that are tried for one call while none can be reached.
const TRIES: u32 = 8;

/// Why a caller has no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// No node answers.
    #[error("no node answers")]
    NoNode,
    /// The service refused.
    #[error("{}: {} ({})", .0.title, .0.detail, .0.run.as_str())]
    Refused(Box<Problem>),
    /// The call failed on the way; it may have run.
    #[error(transparent)]
    Failed(#[from] FetchError),
    /// The answer is not whole.
    #[error("the answer is not whole: {0}")]
    Partial(String),
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// Its status.
    pub status: StatusCode,
    /// Its body, or the joined text of a stream.
    pub body: Bytes,
    /// The id of the last event of a stream.
    pub last: Option<String>,
}

/// The client.
#[derive(Debug)]
pub struct Caller {
    name: Name,
    book: AddressBook,
    fetch: Fetch,
}

impl Caller {
    /// A caller of that name.
    pub fn new(name: Name, seeds: Vec<SocketAddr>) -> Self {
        Self { name, book: AddressBook::new(seeds), fetch: Fetch::default() }
    }

    /// Calls a plain service. With a key the call runs at most once.
    pub async fn call(
        &self,
        service: &str,
        path: &str,
        body: impl Into<Bytes>,
        key: Option<&str>,
        timeout: Duration,
    ) -> Result<Received, CallerError> {
        let path = format!("/v1/services/{service}{path}");
        let body = body.into();
        let request = || {
            let mut request = self.request(&path, body.clone(), timeout);
            if let Some(key) = key.and_then(|k| k.parse().ok()) {
                request.headers_mut().insert("idempotency-key", key);
            }
            request
        };
        let (_, response) = self.send(request).await?;
        let status = response.status();
        let body = read(response.into_body(), LIMIT).await;
        let body = body.map_err(|e| CallerError::Partial(e.to_string()))?;
        whole(status, body)
    }

    /// Runs a completion as a stream and returns it when it is whole.
    pub async fn stream(
        &self,
        request: &Completion,
        timeout: Duration,
    ) -> Result<Received, CallerError> {
        let request = Completion { stream: true, ..request.clone() };
        let bytes =
            serde_json::to_vec(&request).map_err(|e| CallerError::Partial(e.to_string()))?;
        let bytes = Bytes::from(bytes);
        let request = || self.request("/v1/completions", bytes.clone(), timeout);
        let (_, response) = self.send(request).await?;
        let status = response.status();
        if !status.is_success() {
            let body = read(response.into_body(), LIMIT).await;
            return whole(status, body.map_err(|e| CallerError::Partial(e.to_string()))?);
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        let mut text = String::new();
        let mut last = None;
        while let Some(event) = events.next().await {
            let event = event.map_err(|e| CallerError::Partial(e.to_string()))?;
            if event.event == "error" {
                return Err(refused(&event.data));
            }
            if event.data == "[DONE]" {
                return Ok(Received { status, body: text.into(), last });
            }
            last = Some(event.id);
            text.push_str(&text_of(&event.data));
        }
        Err(CallerError::Partial("the stream ended early".to_owned()))
    }

    fn request(
        &self,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Request<crate::edge::http::Body> {
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.insert("content-type", http::HeaderValue::from_static("application/json"));
        headers.insert("mulberry-timeout-ms", (timeout.as_millis() as u64).into());
        if let Ok(name) = self.name.parse() {
            headers.insert("mulberry-caller", name);
        }
        request
    }

    /// Sends to a node, or to the next if that one can't be reached: then nothing was sent.
    async fn send(
        &self,
        request: impl Fn() -> Request<crate::edge::http::Body>,
    ) -> Result<(SocketAddr, http::Response<hyper::body::Incoming>), CallerError> {
        let mut tries = 0;
        loop {
            tries += 1;
            let node = self.book.get().await.ok_or(CallerError::NoNode)?;
            let mut request = request();
            let uri = format!("http://{node}{}", request.uri());
            *request.uri_mut() = uri.parse().unwrap_or_default();
            match self.fetch.send(node, request).await {
                Ok(response) => return Ok((node, response)),
                Err(e) => {
                    self.book.failed(node);
                    let unsent = matches!(e, FetchError::Connect { .. });
                    if !unsent || tries >= TRIES {
                        return Err(e.into());
                    }
                }
            }
        }
    }
}

fn whole(status: StatusCode, body: Bytes) -> Result<Received, CallerError> {
    if status.is_success() {
        return Ok(Received { status, body, last: None });
    }
    match std::str::from_utf8(&body) {
        Ok(text) if text.contains("urn:mulberrycourse:") => Err(refused(text)),
        // The upstream's own answer, whatever its status.
        _ => Ok(Received { status, body, last: None }),
    }
}

fn refused(text: &str) -> CallerError {
    match serde_json::from_str(text) {
        Ok(problem) => CallerError::Refused(Box::new(problem)),
        Err(e) => CallerError::Partial(e.to_string()),
    }
}

fn text_of(data: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    value["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
}
