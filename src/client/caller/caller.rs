//! A client for callers: finds a node, and takes only whole answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};

use super::error::CallerError;
use crate::Name;
use crate::client::AddressBook;
use crate::edge::http::{JsonClient, JsonClientError, full_body, read_body};

/// The largest answer, in bytes.
pub(super) const LIMIT: usize = 64 << 20;

/// Nodes that are tried for one request: more than can be gone from one kept answer
/// without the service being gone.
const NODES: u32 = 8;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its body, or the joined text of a stream.
    pub body: Bytes,
    /// The id of the last event of a stream.
    pub last_event: Option<String>,
}

/// The client.
#[derive(Debug)]
pub struct CallerClient {
    name: Name,
    book: AddressBook,
    fetch: JsonClient,
}

impl CallerClient {
    /// A caller of that name.
    pub fn new(name: Name, seeds: Vec<SocketAddr>) -> Self {
        Self { name, book: AddressBook::new(seeds), fetch: JsonClient::default() }
    }

    /// Calls a plain service. With a key the call runs at most once.
    pub async fn call(
        &self,
        service: &str,
        path: &str,
        body: impl Into<Bytes>,
        key: Option<&str>,
        timeout: Duration,
    ) -> Result<CallerResponse, CallerError> {
        let path = format!("/v1/services/{service}{path}");
        let mut request = self.request(&path, body.into(), timeout);
        if let Some(key) = key.and_then(|k| k.parse().ok()) {
            request.headers_mut().insert("idempotency-key", key);
        }
        let (_, response) = self.send(request).await?;
        let status = response.status();
        let body = read_body(response.into_body(), LIMIT).await;
        let body = body.map_err(|e| CallerError::Partial(e.to_string()))?;
        whole(status, body)
    }

    /// Which nodes to use.
    pub(super) fn book(&self) -> &AddressBook {
        &self.book
    }

    pub(super) fn request(&self, path: &str, body: Bytes, timeout: Duration) -> Request<Bytes> {
        let mut request = Request::new(body);
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

    /// Sends a request to a node. One that takes no connection got nothing of the
    /// request, so the next one is tried; any other failure is the caller's to judge.
    pub(super) async fn send(
        &self,
        request: Request<Bytes>,
    ) -> Result<(SocketAddr, http::Response<hyper::body::Incoming>), CallerError> {
        for _ in 0..NODES {
            let node = self.book.next_address().await.ok_or(CallerError::NoNode)?;
            let mut request = request.clone().map(full_body);
            let uri = format!("http://{node}{}", request.uri());
            *request.uri_mut() = uri.parse().unwrap_or_default();
            match self.fetch.send(node, request).await {
                Ok(response) => return Ok((node, response)),
                Err(JsonClientError::Connect { .. }) => self.book.mark_failed(node),
                Err(e) => {
                    self.book.mark_failed(node);
                    return Err(e.into());
                }
            }
        }
        Err(CallerError::NoNode)
    }
}

pub(super) fn whole(status: StatusCode, body: Bytes) -> Result<CallerResponse, CallerError> {
    if status.is_success() {
        return Ok(CallerResponse { status, body, last_event: None });
    }
    match std::str::from_utf8(&body) {
        Ok(text) if text.contains("urn:mulberrycourse:") => Err(CallerError::refused(text)),
        // The upstream's own answer, whatever its status.
        _ => Ok(CallerResponse { status, body, last_event: None }),
    }
}
