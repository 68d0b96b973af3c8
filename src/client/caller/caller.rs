//! The client for callers, which finds a node and returns only complete responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};

use super::error::CallerError;
use crate::Name;
use crate::client::AddressBook;
use crate::edge::http::{JsonClient, JsonClientError, full_body, read_body};

/// Maximum size of a response body, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Maximum number of nodes that are tried for one request. More nodes than this can't have gone
/// from one cached list of addresses unless the whole service is down.
const MAX_NODES_TRIED: u32 = 8;

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body, or the joined text of a stream.
    pub body: Bytes,
    /// The id of the last event of a stream.
    pub last_event: Option<String>,
}

/// A client that calls services on behalf of one caller.
#[derive(Debug)]
pub struct CallerClient {
    name: Name,
    book: AddressBook,
    http: JsonClient,
}

impl CallerClient {
    /// Creates a client for the caller `name`. `seeds` are the addresses of some nodes.
    pub fn new(name: Name, seeds: Vec<SocketAddr>) -> Self {
        Self { name, book: AddressBook::new(seeds), http: JsonClient::default() }
    }

    /// Calls a plain service. With an idempotency key the call runs at most once.
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
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| CallerError::Partial(e.to_string()))?;
        complete_response(status, body)
    }

    /// Returns the addresses of the nodes.
    pub(super) fn book(&self) -> &AddressBook {
        &self.book
    }

    /// Builds a POST request for a path with the headers of this caller.
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

    /// Sends a request to a node. If no connection can be opened, nothing was sent, so the next node
    /// is tried. Any other error is returned, because the request may have run.
    pub(super) async fn send(
        &self,
        request: Request<Bytes>,
    ) -> Result<(SocketAddr, http::Response<hyper::body::Incoming>), CallerError> {
        for _ in 0..MAX_NODES_TRIED {
            let node = self.book.next_address().await.ok_or(CallerError::NoNode)?;
            let mut request = request.clone().map(full_body);
            let uri = format!("http://{node}{}", request.uri());
            *request.uri_mut() = uri.parse().unwrap_or_default();
            match self.http.send(node, request).await {
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

/// Returns a received response, or the error if it is a problem document of the service.
pub(super) fn complete_response(
    status: StatusCode,
    body: Bytes,
) -> Result<CallerResponse, CallerError> {
    if status.is_success() {
        return Ok(CallerResponse { status, body, last_event: None });
    }
    match std::str::from_utf8(&body) {
        Ok(text) if text.contains("urn:mulberrycourse:") => Err(CallerError::refused(text)),
        // A response of the upstream itself, whatever its status.
        _ => Ok(CallerResponse { status, body, last_event: None }),
    }
}
