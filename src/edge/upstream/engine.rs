//! The client of model engines.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use eventsource_stream::{EventStream, Eventsource};
use futures_util::{Stream, StreamExt};
use http::Method;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;

use super::{
    AttemptFailure, Chunk, CompletionRequest, EngineOrder, EngineOrderReply, EngineStatus,
};
use crate::decide::AttemptOutcome;
use crate::edge::http::{JsonClient, JsonClientError};
use crate::metrics::Traffic;

/// The data of the event that ends a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// The chunks of a stream. It ends after the chunk with `finish`. If the engine's stream ends
/// before its last event, the last item is an error.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Chunk, AttemptFailure>> + Send>>;

/// An event of an engine's stream.
#[derive(Debug, Deserialize)]
struct Event {
    choices: Vec<Choice>,
    #[serde(default)]
    weight_version: Option<u64>,
    /// The number of tokens in the event, if the engine reports it.
    #[serde(default)]
    tokens: Option<u32>,
    /// The index of the first token in the whole output, if the engine reports it.
    #[serde(default)]
    offset: Option<u32>,
}

/// The output in an event.
#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// What an event adds to the output.
enum EventContent {
    /// The next tokens.
    New(Chunk),
    /// Nothing new: a duplicate of earlier tokens, or an event without a choice.
    Nothing,
}

/// Reads the chunks of an open stream.
struct ChunkReader {
    events: Pin<Box<EventStream<BodyDataStream<Incoming>>>>,
    /// The index of the next token.
    next: u32,
}

/// The client of model engines.
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    /// The client for completions.
    completions: JsonClient,
    /// The client for status and order calls.
    control: JsonClient,
}

impl EngineClient {
    /// Creates a client that counts the bytes of its status and order calls in `traffic`.
    pub fn with_traffic(traffic: Traffic) -> Self {
        Self { completions: JsonClient::default(), control: JsonClient::with_traffic(traffic) }
    }

    /// Starts a completion. The engine streams the output, whether or not the request asks for
    /// that.
    pub async fn complete(
        &self,
        to: SocketAddr,
        request: &CompletionRequest,
    ) -> Result<ChunkStream, AttemptFailure> {
        let request = CompletionRequest { stream: true, ..request.clone() };
        let body = match self.completions.post_streaming(to, "/v1/completions", &request).await {
            Ok(body) => body,
            Err(e) => return Err(attempt_failure(e)),
        };
        let events = Box::pin(BodyDataStream::new(body).eventsource());
        let next = request.prior.map_or(0, |prior| prior.tokens);
        let reader = ChunkReader { events, next };
        let chunks = futures_util::stream::unfold(Some(reader), |state| async move {
            let mut reader = state?;
            match reader.next_chunk().await {
                // The chunk with the finish reason is the last one: later events add nothing.
                Ok(Some(chunk)) if chunk.finish.is_some() => Some((Ok(chunk), None)),
                Ok(Some(chunk)) => Some((Ok(chunk), Some(reader))),
                Ok(None) => None,
                Err(failure) => Some((Err(failure), None)),
            }
        });
        Ok(Box::pin(chunks))
    }

    /// Reads an engine's status.
    pub async fn status(
        &self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineStatus, JsonClientError> {
        self.control.get(to, "/load", timeout).await
    }

    /// Sends an order to an engine.
    pub async fn order(
        &self,
        to: SocketAddr,
        order: EngineOrder,
        timeout: Duration,
    ) -> Result<EngineOrderReply, JsonClientError> {
        self.control.call(to, Method::POST, "/orders", &order, timeout).await
    }
}

impl ChunkReader {
    /// Reads the next chunk with new output. Returns `None` after the engine's last event.
    async fn next_chunk(&mut self) -> Result<Option<Chunk>, AttemptFailure> {
        loop {
            let event = match self.events.next().await {
                None => {
                    return Err(interrupted("the stream ended before its last event".to_owned()));
                }
                Some(Err(e)) => return Err(interrupted(e.to_string())),
                Some(Ok(event)) => event,
            };
            if event.data == END_OF_STREAM {
                return Ok(None);
            }
            let event: Event =
                serde_json::from_str(&event.data).map_err(|e| interrupted(e.to_string()))?;
            match self.accept(event)? {
                EventContent::New(chunk) => return Ok(Some(chunk)),
                EventContent::Nothing => {}
            }
        }
    }

    /// Checks an event against the index of the next token. Duplicates are dropped, and a
    /// gap is a failure.
    fn accept(&mut self, event: Event) -> Result<EventContent, AttemptFailure> {
        let Some(choice) = event.choices.into_iter().next() else {
            return Ok(EventContent::Nothing);
        };
        let counted = event.tokens;
        let tokens = counted.unwrap_or(u32::from(!choice.text.is_empty()));
        let offset = event.offset.unwrap_or(self.next);
        if offset < self.next && offset + tokens <= self.next {
            return Ok(EventContent::Nothing);
        }
        if offset != self.next {
            let reason = format!("token {offset} arrived where token {} was expected", self.next);
            return Err(interrupted(reason));
        }
        self.next += tokens;
        Ok(EventContent::New(Chunk {
            text: choice.text,
            tokens,
            // Without a token count, it is unknown how many tokens the version applies to.
            version: counted.and(event.weight_version),
            finish: choice.finish_reason,
        }))
    }
}

/// The failure of a stream that was interrupted after the request was sent.
fn interrupted(reason: String) -> AttemptFailure {
    AttemptFailure { outcome: AttemptOutcome::Unknown, reason }
}

/// The failure of a call, with what it says about the request.
fn attempt_failure(e: JsonClientError) -> AttemptFailure {
    let outcome = match &e {
        JsonClientError::Connect { .. } | JsonClientError::Unencodable { .. } => {
            AttemptOutcome::Unsent
        }
        JsonClientError::Status { status, .. }
            if *status == http::StatusCode::TOO_MANY_REQUESTS =>
        {
            AttemptOutcome::Refused
        }
        JsonClientError::Status { .. }
        | JsonClientError::Interrupted { .. }
        | JsonClientError::Timeout { .. }
        | JsonClientError::Malformed { .. } => AttemptOutcome::Unknown,
    };
    AttemptFailure { outcome, reason: e.to_string() }
}
