//! What a caller checks: that an answer is the whole answer to its own request.

use std::net::SocketAddr;

use http::request::Builder;
use http::{Request, StatusCode};
use mulberrycourse::edge::http::{JsonClient, JsonClientError, full_body, read_body};
use mulberrycourse::edge::upstream::CompletionRequest;
use mulberrycourse::error::Problem;

use crate::engine::{length, token};

/// The largest answer, in bytes.
const LIMIT: usize = 16 << 20;

/// A completion request for the fleet's model.
pub fn completion(prompt: &str, seed: u64, max_tokens: u32) -> CompletionRequest {
    CompletionRequest {
        model: "patter".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
        priority: 0,
        seed,
        request_id: String::new(),
        prior: None,
    }
}

/// The whole answer to a completion request, token by token.
pub fn expected(request: &CompletionRequest) -> String {
    let total = length(&request.prompt, request.seed, request.max_tokens);
    (0..total).map(|index| token(&request.prompt, request.seed, index)).collect()
}

/// An answer as it came over the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered {
    /// Its status.
    pub status: StatusCode,
    /// Whether it was kept from an earlier run.
    pub replayed: bool,
    /// Its body.
    pub body: String,
    /// The refusal, if it is one.
    pub problem: Option<Problem>,
}

/// Sends one call to one node, as `shop`.
pub async fn send(
    node: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Result<Answered, JsonClientError> {
    send_within(node, path, key, body, None).await
}

/// Sends one call to one node, as `shop`, with the time that the caller waits.
pub async fn send_within(
    node: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &str,
    timeout_ms: Option<u64>,
) -> Result<Answered, JsonClientError> {
    let uri = format!("http://{node}/v1/services{path}");
    let mut request = Request::post(uri);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    exchange(node, request, body, timeout_ms).await
}

/// Asks one node for a completion, as `shop`, from a body in JSON.
pub async fn complete(
    node: SocketAddr,
    body: &str,
    timeout_ms: u64,
) -> Result<Answered, JsonClientError> {
    let request = Request::post(format!("http://{node}/v1/completions"));
    exchange(node, request, body, Some(timeout_ms)).await
}

async fn exchange(
    node: SocketAddr,
    mut request: Builder,
    body: &str,
    timeout_ms: Option<u64>,
) -> Result<Answered, JsonClientError> {
    request = request.header("mulberry-caller", "shop").header("content-type", "application/json");
    if let Some(ms) = timeout_ms {
        request = request.header("mulberry-timeout-ms", ms);
    }
    let broken = |reason: String| JsonClientError::Interrupted { to: node, reason };
    let request = request.body(full_body(body.to_owned())).map_err(|e| broken(e.to_string()))?;
    let response = JsonClient::default().send(node, request).await?;
    let status = response.status();
    let replayed = response.headers().contains_key("idempotent-replayed");
    let body = read_body(response.into_body(), LIMIT).await.map_err(|e| broken(e.to_string()))?;
    let body = String::from_utf8_lossy(&body).into_owned();
    let problem = serde_json::from_str(&body).ok();
    Ok(Answered { status, replayed, body, problem })
}
