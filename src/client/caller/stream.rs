//! Streams that are resumed at another node when a node fails or moves them away.
//!
//! A completion may be repeated, so retries are safe. What must not happen is that a partial
//! response is taken for a complete one, or that a token is lost or duplicated where two parts
//! join. Each event carries the index of the next token, and a retry requests the rest from
//! there.

use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::Instant;

use super::caller::{CallerClient, CallerResponse, MAX_RESPONSE_BYTES, complete_response};
use super::error::CallerError;
use crate::edge::http::{JsonClientError, read_body};
use crate::edge::upstream::{CompletionRequest, PriorOutput};
use crate::node::Addresses;

/// Number of failures in a row, without a new token, after which a stream fails.
const MAX_FAILURES: u32 = 8;
/// Delay before the first retry; it grows linearly with each failure in a row.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without an event after which a stream is abandoned. It is longer than a node takes to
/// notice a frozen engine and to continue at another one.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One event of a stream.
#[derive(Debug, Deserialize)]
struct Event {
    choices: Vec<Choice>,
    tokens: u32,
}

/// One choice of an event.
#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
}

/// The part of a response received so far.
#[derive(Debug)]
struct PartialResponse {
    /// The output so far, including the prior output of the request.
    output: PriorOutput,
    /// Byte offset in the output at which the text of this response begins.
    text_start: usize,
    /// The id of the last event.
    last_event: Option<String>,
}

/// How the part of a stream from one node ended.
enum StreamEnd {
    /// With the last event of the response.
    Complete(StatusCode),
    /// With a response that is not a stream.
    Plain(CallerResponse),
    /// The node moved the stream away and sent the addresses of other nodes.
    Moved(Addresses),
}

impl CallerClient {
    /// Runs a completion as a stream and returns the response when it is complete.
    pub async fn stream(
        &self,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<CallerResponse, CallerError> {
        let deadline = Instant::now() + timeout;
        let prior = request.prior.clone().unwrap_or_default();
        let mut partial =
            PartialResponse { text_start: prior.text.len(), output: prior, last_event: None };
        let mut failures = 0;
        loop {
            let before = partial.output.tokens;
            let ended = tokio::time::timeout_at(
                deadline,
                self.stream_from_node(request, deadline, &mut partial),
            );
            let error = match ended.await {
                Err(_) => {
                    return Err(CallerError::Partial(format!(
                        "the stream did not end within {timeout:?}"
                    )));
                }
                Ok(Ok(StreamEnd::Complete(status))) => return Ok(partial.received(status)),
                Ok(Ok(StreamEnd::Plain(received))) => return Ok(received),
                Ok(Ok(StreamEnd::Moved(_))) => {
                    CallerError::Partial("every node moved the stream away".to_owned())
                }
                Ok(Err(error)) => error,
            };
            failures = if partial.output.tokens > before { 0 } else { failures + 1 };
            if failures >= MAX_FAILURES || !is_retryable(&error) {
                return Err(error);
            }
            tokio::time::sleep((RETRY_DELAY * failures).max(retry_after(&error))).await;
        }
    }

    /// Requests the rest of the response from one node and reads it until that node's stream ends.
    async fn stream_from_node(
        &self,
        request: &CompletionRequest,
        deadline: Instant,
        partial: &mut PartialResponse,
    ) -> Result<StreamEnd, CallerError> {
        let remaining =
            CompletionRequest { stream: true, prior: partial.prior(), ..request.clone() };
        let bytes =
            serde_json::to_vec(&remaining).map_err(|e| CallerError::Partial(e.to_string()))?;
        let timeout = deadline.saturating_duration_since(Instant::now());
        let mut request = self.request("/v1/completions", bytes.into(), timeout);
        let headers = request.headers_mut();
        headers.insert("mulberry-resume", HeaderValue::from_static("1"));
        if let Some(last) = partial.last_event.as_ref().and_then(|last| last.parse().ok()) {
            headers.insert("last-event-id", last);
        }
        let (node, response) = self.send(request).await?;
        let ended = partial.read(response).await;
        match &ended {
            Ok(StreamEnd::Complete(_) | StreamEnd::Plain(_)) => {}
            Ok(StreamEnd::Moved(addresses)) => {
                self.book().update(addresses.clone());
                self.book().mark_failed(node);
            }
            Err(_) => self.book().mark_failed(node),
        }
        ended
    }
}

impl PartialResponse {
    fn prior(&self) -> Option<PriorOutput> {
        (self.output.tokens > 0).then(|| self.output.clone())
    }

    fn received(self, status: StatusCode) -> CallerResponse {
        let text = self.output.text[self.text_start..].to_owned();
        CallerResponse { status, body: text.into(), last_event: self.last_event }
    }

    async fn read(&mut self, response: Response<Incoming>) -> Result<StreamEnd, CallerError> {
        let status = response.status();
        if !status.is_success() {
            let body = read_body(response.into_body(), MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|e| CallerError::Partial(e.to_string()))?;
            return complete_response(status, body).map(StreamEnd::Plain);
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        loop {
            let event = tokio::time::timeout(STREAM_IDLE_TIMEOUT, events.next())
                .await
                .map_err(|_| {
                    CallerError::Partial(format!("no event received for {STREAM_IDLE_TIMEOUT:?}"))
                })?
                .ok_or_else(|| CallerError::Partial("the stream ended early".to_owned()))?
                .map_err(|e| CallerError::Partial(e.to_string()))?;
            match event.event.as_str() {
                "error" => return Err(CallerError::refused(&event.data)),
                "moved" => return parse_addresses(&event.data).map(StreamEnd::Moved),
                _ if event.data == "[DONE]" => return Ok(StreamEnd::Complete(status)),
                _ => self.append(&event.id, &event.data)?,
            }
        }
    }

    /// Appends an event. Its id ends in the index of the next token, which must follow from the
    /// tokens received so far.
    fn append(&mut self, id: &str, data: &str) -> Result<(), CallerError> {
        let partial = |reason: String| CallerError::Partial(reason);
        let event: Event = serde_json::from_str(data).map_err(|e| partial(e.to_string()))?;
        let next_index = id.rsplit_once('/').and_then(|(_, index)| index.parse().ok());
        let expected = self.output.tokens + event.tokens;
        if next_index != Some(expected) {
            return Err(partial(format!("received event {id} instead of token {expected}")));
        }
        self.output.tokens = expected;
        if let Some(choice) = event.choices.first() {
            self.output.text.push_str(&choice.text);
        }
        self.last_event = Some(id.to_owned());
        Ok(())
    }
}

fn parse_addresses(data: &str) -> Result<Addresses, CallerError> {
    serde_json::from_str(data).map_err(|e| CallerError::Partial(e.to_string()))
}

/// Returns whether a retry, possibly at another node, may still complete the response.
fn is_retryable(error: &CallerError) -> bool {
    match error {
        CallerError::NoNode | CallerError::Partial(_) => true,
        CallerError::Failed(e) => match e {
            JsonClientError::Connect { .. }
            | JsonClientError::Interrupted { .. }
            | JsonClientError::Timeout { .. } => true,
            JsonClientError::Status { .. }
            | JsonClientError::Unencodable { .. }
            | JsonClientError::Malformed { .. } => false,
        },
        // A refusal is final, except from a node that is draining, or from one that has used up its
        // attempts on a response that had begun; the rest of that is then a new request.
        CallerError::Refused(problem) => {
            problem.kind.ends_with(":draining") || problem.kind.ends_with(":truncated")
        }
    }
}

/// Returns the retry delay that a refusal asks for; zero for other errors.
fn retry_after(error: &CallerError) -> Duration {
    match error {
        CallerError::Refused(problem) => {
            Duration::from_millis(problem.retry_after_ms.unwrap_or_default())
        }
        CallerError::NoNode | CallerError::Partial(_) | CallerError::Failed(_) => Duration::ZERO,
    }
}
