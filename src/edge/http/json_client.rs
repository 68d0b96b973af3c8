//! A pooled HTTP client for JSON calls to the platform, nodes and upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH};
use http::response::Parts;
use http::uri::InvalidUri;
use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Body, BodyError, empty_body, full_body, read_body};
use crate::metrics::Traffic;

/// The largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum JsonClientError {
    /// No connection was opened, so the request was not sent.
    #[error("can't connect to {to}: {reason}")]
    Connect {
        /// The address of the server.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The connection failed. The request may have been received.
    #[error("the connection to {to} failed: {reason}")]
    Interrupted {
        /// The address of the server.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// No response within the timeout. The request may have been received.
    #[error("{to} did not respond within {timeout:?}")]
    Timeout {
        /// The address of the server.
        to: SocketAddr,
        /// The timeout.
        timeout: Duration,
    },
    /// A response with an error status.
    #[error("{to} responded with {status}: {text}")]
    Status {
        /// The address of the server.
        to: SocketAddr,
        /// The status of the response.
        status: StatusCode,
        /// The body of the response.
        text: String,
    },
    /// The request can't be encoded, so it was not sent.
    #[error("the request to {to} can't be encoded: {reason}")]
    Unencodable {
        /// The address of the server.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// A response that does not parse.
    #[error("the response of {to} is not valid JSON: {reason}")]
    Malformed {
        /// The address of the server.
        to: SocketAddr,
        /// The parse error.
        reason: String,
    },
}

/// An HTTP client for JSON calls. Clones share one connection pool.
#[derive(Debug, Clone)]
pub struct JsonClient {
    client: Client<HttpConnector, Body>,
    traffic: Traffic,
}

impl Default for JsonClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client, traffic: Traffic::default() }
    }
}

impl JsonClient {
    /// Creates a client that counts the bytes of its bodies in `traffic`.
    pub fn with_traffic(traffic: Traffic) -> Self {
        Self { traffic, ..Self::default() }
    }

    /// Sends a request and returns the response with its body still to be read.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, JsonClientError> {
        self.client.request(request).await.map_err(|e| {
            let reason = error_chain(&e);
            if e.is_connect() {
                JsonClientError::Connect { to, reason }
            } else {
                JsonClientError::Interrupted { to, reason }
            }
        })
    }

    /// GETs a JSON value within the timeout.
    pub async fn get<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, JsonClientError> {
        self.traffic.count_sent(0);
        let request = build_request(to, Method::GET, path, empty_body())?;
        self.send_json(to, request, timeout).await
    }

    /// GETs a JSON value and its entity tag. Returns `None` if the value still has the entity tag
    /// `tag`.
    pub async fn get_if_changed<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        tag: Option<&HeaderValue>,
        timeout: Duration,
    ) -> Result<Option<(Option<HeaderValue>, T)>, JsonClientError> {
        self.traffic.count_sent(0);
        let mut request = build_request(to, Method::GET, path, empty_body())?;
        if let Some(tag) = tag {
            request.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let (head, bytes) = self.exchange(to, request, timeout).await?;
        if head.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let value = parse_response(to, head.status, &bytes)?;
        Ok(Some((head.headers.get(ETAG).cloned(), value)))
    }

    /// Sends a JSON value and reads a JSON value within the timeout.
    pub async fn call<Q: Serialize, T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        value: &Q,
        timeout: Duration,
    ) -> Result<T, JsonClientError> {
        let bytes = encode(to, value)?;
        self.traffic.count_sent(bytes.len());
        let request = build_request(to, method, path, full_body(bytes))?;
        self.send_json(to, request, timeout).await
    }

    /// POSTs a JSON value and returns the body of a successful response, still to be read.
    pub async fn post_streaming<Q: Serialize>(
        &self,
        to: SocketAddr,
        path: &str,
        value: &Q,
    ) -> Result<Incoming, JsonClientError> {
        let bytes = encode(to, value)?;
        self.traffic.count_sent(bytes.len());
        let request = build_request(to, Method::POST, path, full_body(bytes))?;
        let response = self.send(to, request).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        let body = self.read_response(to, response.into_body()).await?;
        Err(JsonClientError::Status {
            to,
            status,
            text: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    async fn send_json<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<T, JsonClientError> {
        let (head, bytes) = self.exchange(to, request, timeout).await?;
        parse_response(to, head.status, &bytes)
    }

    /// Sends a request and reads the head and the whole body of its response.
    async fn exchange(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<(Parts, Bytes), JsonClientError> {
        let call = async {
            let (head, body) = self.send(to, request).await?.into_parts();
            let bytes = self.read_response(to, body).await?;
            Ok((head, bytes))
        };
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(JsonClientError::Timeout { to, timeout }),
        }
    }

    /// Reads a response body to its end and counts its bytes.
    async fn read_response(
        &self,
        to: SocketAddr,
        body: Incoming,
    ) -> Result<Bytes, JsonClientError> {
        let bytes = read_body(body, MAX_RESPONSE_BYTES)
            .await
            .map_err(|e: BodyError| JsonClientError::Interrupted { to, reason: e.to_string() })?;
        self.traffic.count_received(bytes.len());
        Ok(bytes)
    }
}

/// Parses the value of a successful response.
fn parse_response<T: DeserializeOwned>(
    to: SocketAddr,
    status: StatusCode,
    bytes: &Bytes,
) -> Result<T, JsonClientError> {
    if !status.is_success() {
        let text = String::from_utf8_lossy(bytes).into_owned();
        return Err(JsonClientError::Status { to, status, text });
    }
    serde_json::from_slice(bytes)
        .map_err(|e| JsonClientError::Malformed { to, reason: e.to_string() })
}

/// Encodes the body of a request.
fn encode(to: SocketAddr, value: &impl Serialize) -> Result<Vec<u8>, JsonClientError> {
    serde_json::to_vec(value)
        .map_err(|e| JsonClientError::Unencodable { to, reason: e.to_string() })
}

/// Builds a request for a path at an address.
fn build_request(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Body,
) -> Result<Request<Body>, JsonClientError> {
    let uri: Uri = format!("http://{to}{path}").parse().map_err(|e: InvalidUri| {
        JsonClientError::Unencodable { to, reason: format!("{path:?}: {e}") }
    })?;
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(request)
}

/// The text of an error with those of its sources.
fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut next = e.source();
    while let Some(e) = next {
        text = format!("{text}: {e}");
        next = e.source();
    }
    text
}
