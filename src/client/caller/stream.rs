//! A stream that goes on at another node when one cuts it or lets it go.
//!
//! A completion may be repeated, so asking again does no harm; what must not
//! happen is a part that passes for the whole, or a token lost or doubled where
//! two parts meet. Each event carries the index of the next token, and the rest
//! is asked for from there.

use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::Instant;

use super::caller::{CallerClient, CallerResponse, LIMIT, whole};
use super::error::CallerError;
use crate::edge::http::{JsonClientError, read_body};
use crate::edge::upstream::{CompletionRequest, PriorOutput};
use crate::node::Addresses;

/// Failures in a row, without a new token, after which a stream is given up.
const FAILURES: u32 = 8;
/// Pause after a failure; it grows with each.
const PAUSE: Duration = Duration::from_millis(50);
/// A stream that has begun and brings nothing for so long is cut. Longer than the
/// time in which a node notices a frozen engine and goes on at another.
const STALL: Duration = Duration::from_secs(10);

/// One event of a stream.
#[derive(Debug, Deserialize)]
struct Event {
    choices: Vec<Choice>,
    tokens: u32,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
}

/// What the caller has of an answer.
#[derive(Debug)]
struct Part {
    /// With what the request came with.
    prior: PriorOutput,
    /// Where the text of this answer begins in it.
    begin: usize,
    last_event: Option<String>,
}

/// How one node's share of a stream ended.
enum End {
    /// With the last event of the answer.
    Whole(StatusCode),
    /// With an answer that is no stream.
    Other(CallerResponse),
    /// The node lets it go, and names others.
    Moved(Addresses),
}

impl CallerClient {
    /// Runs a completion as a stream and returns it when it is whole.
    pub async fn stream(
        &self,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<CallerResponse, CallerError> {
        let until = Instant::now() + timeout;
        let prior = request.prior.clone().unwrap_or_default();
        let mut part = Part { begin: prior.text.len(), prior, last_event: None };
        let mut failures = 0;
        loop {
            let before = part.prior.tokens;
            let ended = tokio::time::timeout_at(until, self.share(request, until, &mut part));
            let error = match ended.await {
                Err(_) => return Err(CallerError::Partial(format!("no end in {timeout:?}"))),
                Ok(Ok(End::Whole(status))) => return Ok(part.received(status)),
                Ok(Ok(End::Other(received))) => return Ok(received),
                Ok(Ok(End::Moved(_))) => CallerError::Partial("every node let it go".to_owned()),
                Ok(Err(error)) => error,
            };
            failures = if part.prior.tokens > before { 0 } else { failures + 1 };
            if failures >= FAILURES || !again(&error) {
                return Err(error);
            }
            tokio::time::sleep((PAUSE * failures).max(told(&error))).await;
        }
    }

    /// What one node brings of a stream.
    async fn share(
        &self,
        request: &CompletionRequest,
        until: Instant,
        part: &mut Part,
    ) -> Result<End, CallerError> {
        let rest = CompletionRequest { stream: true, prior: part.prior(), ..request.clone() };
        let bytes = serde_json::to_vec(&rest).map_err(|e| CallerError::Partial(e.to_string()))?;
        let timeout = until.saturating_duration_since(Instant::now());
        let mut rest = self.request("/v1/completions", bytes.into(), timeout);
        let headers = rest.headers_mut();
        headers.insert("mulberry-resume", HeaderValue::from_static("1"));
        if let Some(last) = part.last_event.as_ref().and_then(|last| last.parse().ok()) {
            headers.insert("last-event-id", last);
        }
        let (node, response) = self.send(rest).await?;
        let ended = part.read(response).await;
        match &ended {
            Ok(End::Whole(_) | End::Other(_)) => {}
            Ok(End::Moved(others)) => {
                self.book().update(others.clone());
                self.book().mark_failed(node);
            }
            Err(_) => self.book().mark_failed(node),
        }
        ended
    }
}

impl Part {
    fn prior(&self) -> Option<PriorOutput> {
        (self.prior.tokens > 0).then(|| self.prior.clone())
    }

    fn received(self, status: StatusCode) -> CallerResponse {
        let text = self.prior.text[self.begin..].to_owned();
        CallerResponse { status, body: text.into(), last_event: self.last_event }
    }

    async fn read(&mut self, response: Response<Incoming>) -> Result<End, CallerError> {
        let status = response.status();
        if !status.is_success() {
            let body = read_body(response.into_body(), LIMIT).await;
            let body = body.map_err(|e| CallerError::Partial(e.to_string()))?;
            return whole(status, body).map(End::Other);
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        loop {
            let event = tokio::time::timeout(STALL, events.next())
                .await
                .map_err(|_| CallerError::Partial(format!("nothing came for {STALL:?}")))?
                .ok_or_else(|| CallerError::Partial("the stream ended early".to_owned()))?
                .map_err(|e| CallerError::Partial(e.to_string()))?;
            match event.event.as_str() {
                "error" => return Err(CallerError::refused(&event.data)),
                "moved" => return others(&event.data).map(End::Moved),
                _ if event.data == "[DONE]" => return Ok(End::Whole(status)),
                _ => self.take(&event.id, &event.data)?,
            }
        }
    }

    /// Adds an event; its id says where the answer stands after it.
    fn take(&mut self, id: &str, data: &str) -> Result<(), CallerError> {
        let partial = |reason: String| CallerError::Partial(reason);
        let event: Event = serde_json::from_str(data).map_err(|e| partial(e.to_string()))?;
        let stands = id.rsplit_once('/').and_then(|(_, index)| index.parse().ok());
        let due = self.prior.tokens + event.tokens;
        if stands != Some(due) {
            return Err(partial(format!("event {id} came where token {due} was due")));
        }
        self.prior.tokens = due;
        if let Some(choice) = event.choices.first() {
            self.prior.text.push_str(&choice.text);
        }
        self.last_event = Some(id.to_owned());
        Ok(())
    }
}

fn others(data: &str) -> Result<Addresses, CallerError> {
    serde_json::from_str(data).map_err(|e| CallerError::Partial(e.to_string()))
}

/// Whether another node may still bring the answer.
fn again(error: &CallerError) -> bool {
    match error {
        CallerError::NoNode | CallerError::Partial(_) => true,
        CallerError::Failed(e) => match e {
            JsonClientError::Connect { .. }
            | JsonClientError::Interrupted { .. }
            | JsonClientError::Timeout { .. } => true,
            JsonClientError::Status { .. } | JsonClientError::Malformed { .. } => false,
        },
        // A refusal is the final answer, but of a node that is about to leave, and of one
        // whose attempts are spent on an answer that has begun: the rest is a new request.
        CallerError::Refused(problem) => {
            problem.kind.ends_with(":draining") || problem.kind.ends_with(":truncated")
        }
    }
}

/// When a refusal says to come back.
fn told(error: &CallerError) -> Duration {
    match error {
        CallerError::Refused(problem) => {
            Duration::from_millis(problem.retry_after_ms.unwrap_or_default())
        }
        CallerError::NoNode | CallerError::Partial(_) | CallerError::Failed(_) => Duration::ZERO,
    }
}
