//! The calls of a caller, and the text that a completion must return.

use std::net::SocketAddr;

use http::request::Builder;
use http::{Request, StatusCode};
use mulberrycourse::edge::http::{JsonClient, JsonClientError, full_body, read_body};
use mulberrycourse::edge::upstream::CompletionRequest;
use mulberrycourse::error::Problem;

use crate::engine::{token_count, token_text};

/// The largest response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A streaming completion request for the fleet's model.
pub fn completion_request(prompt: &str, seed: u64, max_tokens: u32) -> CompletionRequest {
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

/// The whole text that a completion request must return.
pub fn expected_text(request: &CompletionRequest) -> String {
    let total = token_count(&request.prompt, request.seed, request.max_tokens);
    (0..total).map(|index| token_text(&request.prompt, request.seed, index)).collect()
}

/// A response as the caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResponse {
    /// Its status.
    pub status: StatusCode,
    /// Whether it is the stored response of an earlier run.
    pub replayed: bool,
    /// Its body.
    pub body: String,
    /// The problem that the body describes, if the call was refused.
    pub problem: Option<Problem>,
}

/// Sends one call to one node, as `shop`.
pub async fn send(
    node: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Result<CallResponse, JsonClientError> {
    send_within(node, path, key, body, None).await
}

/// Sends one call to one node, as `shop`, with an optional `mulberry-timeout-ms` header.
pub async fn send_within(
    node: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &str,
    timeout_ms: Option<u64>,
) -> Result<CallResponse, JsonClientError> {
    let uri = format!("http://{node}/v1/services{path}");
    let mut request = Request::post(uri);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    exchange(node, request, body, timeout_ms).await
}

/// Sends a completion request with a JSON body to one node, as `shop`.
pub async fn complete(
    node: SocketAddr,
    body: &str,
    timeout_ms: u64,
) -> Result<CallResponse, JsonClientError> {
    let request = Request::post(format!("http://{node}/v1/completions"));
    exchange(node, request, body, Some(timeout_ms)).await
}

async fn exchange(
    node: SocketAddr,
    mut request: Builder,
    body: &str,
    timeout_ms: Option<u64>,
) -> Result<CallResponse, JsonClientError> {
    request = request.header("mulberry-caller", "shop").header("content-type", "application/json");
    if let Some(ms) = timeout_ms {
        request = request.header("mulberry-timeout-ms", ms);
    }
    let interrupted = |reason: String| JsonClientError::Interrupted { to: node, reason };
    let request =
        request.body(full_body(body.to_owned())).map_err(|e| interrupted(e.to_string()))?;
    let response = JsonClient::default().send(node, request).await?;
    let status = response.status();
    let replayed = response.headers().contains_key("idempotent-replayed");
    let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| interrupted(e.to_string()))?;
    let body = String::from_utf8_lossy(&body).into_owned();
    let problem = serde_json::from_str(&body).ok();
    Ok(CallResponse { status, replayed, body, problem })
}
