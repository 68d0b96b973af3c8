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

/// The last event of a whole stream.
const DONE: &str = "[DONE]";

/// The chunks of a stream. It ends after the chunk with `finish`; if it breaks
/// off before the engine's last event, the last item is an error.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Chunk, AttemptFailure>> + Send>>;

#[derive(Debug, Deserialize)]
struct Event {
    choices: Vec<Choice>,
    #[serde(default)]
    weight_version: Option<u64>,
    #[serde(default)]
    tokens: Option<u32>,
    /// Index of its first token in the answer, if the engine counts them.
    #[serde(default)]
    offset: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// What an event is to the answer.
enum Part {
    /// The next tokens.
    Next(Chunk),
    /// Nothing new: a copy of what came before, or no tokens and no end.
    Nothing,
}

/// An open stream and the index of the token that comes next.
struct Reader {
    events: Pin<Box<EventStream<BodyDataStream<Incoming>>>>,
    next: u32,
}

/// The client.
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    fetch: JsonClient,
    control: JsonClient,
}

impl EngineClient {
    /// A client whose load reports and orders are counted.
    pub fn with_traffic(traffic: Traffic) -> Self {
        Self { fetch: JsonClient::default(), control: JsonClient::with_traffic(traffic) }
    }

    /// Starts a completion. The engine streams, whatever the caller asked for.
    pub async fn complete(
        &self,
        to: SocketAddr,
        request: &CompletionRequest,
    ) -> Result<ChunkStream, AttemptFailure> {
        let request = CompletionRequest { stream: true, ..request.clone() };
        let body = match self.fetch.open(to, "/v1/completions", &request).await {
            Ok(body) => body,
            Err(e) => return Err(failure(e)),
        };
        let events = Box::pin(BodyDataStream::new(body).eventsource());
        let next = request.prior.map_or(0, |prior| prior.tokens);
        let reader = Reader { events, next };
        let chunks = futures_util::stream::unfold(Some(reader), |state| async move {
            let mut reader = state?;
            match reader.chunk().await {
                // The chunk with the reason is the last: what follows adds nothing.
                Ok(Some(chunk)) if chunk.finish.is_some() => Some((Ok(chunk), None)),
                Ok(Some(chunk)) => Some((Ok(chunk), Some(reader))),
                Ok(None) => None,
                Err(failure) => Some((Err(failure), None)),
            }
        });
        Ok(Box::pin(chunks))
    }

    /// Reads an engine's report of itself.
    pub async fn status(
        &self,
        to: SocketAddr,
        limit: Duration,
    ) -> Result<EngineStatus, JsonClientError> {
        self.control.get(to, "/load", limit).await
    }

    /// Gives an order.
    pub async fn order(
        &self,
        to: SocketAddr,
        order: EngineOrder,
        limit: Duration,
    ) -> Result<EngineOrderReply, JsonClientError> {
        self.control.call(to, Method::POST, "/orders", &order, limit).await
    }
}

impl Reader {
    /// The next chunk with something new; none after the engine's last event.
    async fn chunk(&mut self) -> Result<Option<Chunk>, AttemptFailure> {
        loop {
            let event = match self.events.next().await {
                None => return Err(broke("the stream ended early".to_owned())),
                Some(Err(e)) => return Err(broke(e.to_string())),
                Some(Ok(event)) => event,
            };
            if event.data == DONE {
                return Ok(None);
            }
            let event: Event =
                serde_json::from_str(&event.data).map_err(|e| broke(e.to_string()))?;
            match self.part(event)? {
                Part::Next(chunk) => return Ok(Some(chunk)),
                Part::Nothing => {}
            }
        }
    }

    /// Puts an event in its place; a copy is dropped, a gap is a failure.
    fn part(&mut self, event: Event) -> Result<Part, AttemptFailure> {
        let Some(choice) = event.choices.into_iter().next() else { return Ok(Part::Nothing) };
        let counted = event.tokens;
        let tokens = counted.unwrap_or(u32::from(!choice.text.is_empty()));
        let offset = event.offset.unwrap_or(self.next);
        if offset < self.next && offset + tokens <= self.next {
            return Ok(Part::Nothing);
        }
        if offset != self.next {
            let reason = format!("token {offset} came where {} was due", self.next);
            return Err(broke(reason));
        }
        self.next += tokens;
        Ok(Part::Next(Chunk {
            text: choice.text,
            tokens,
            // Without a count, the version can't be said of a certain number of tokens.
            version: counted.and(event.weight_version),
            finish: choice.finish_reason,
        }))
    }
}

fn broke(reason: String) -> AttemptFailure {
    AttemptFailure { outcome: AttemptOutcome::Unknown, reason }
}

fn failure(e: JsonClientError) -> AttemptFailure {
    let outcome = match &e {
        JsonClientError::Connect { .. } => AttemptOutcome::Unsent,
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
