//! The client of model engines.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use http::Method;
use http_body_util::BodyDataStream;
use serde::Deserialize;

use super::{Chunk, Completion, Failure, Load, Order, OrderReply};
use crate::decide::Outcome;
use crate::edge::http::{Fetch, FetchError};
use crate::metrics::Traffic;

/// The last event of a whole stream.
const DONE: &str = "[DONE]";

/// The chunks of a stream. It ends after the chunk with `finish`; if it breaks
/// off before the engine's last event, the last item is an error.
pub type Chunks = Pin<Box<dyn Stream<Item = Result<Chunk, Failure>> + Send>>;

#[derive(Debug, Deserialize)]
struct Event {
    choices: Vec<Choice>,
    #[serde(default)]
    weight_version: Option<u64>,
    #[serde(default)]
    tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// The client.
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    fetch: Fetch,
    control: Fetch,
}

impl EngineClient {
    /// A client whose load reports and orders are counted.
    pub fn counted(traffic: Traffic) -> Self {
        Self { fetch: Fetch::default(), control: Fetch::counted(traffic) }
    }

    /// Starts a completion. The engine streams, whatever the caller asked for.
    pub async fn complete(&self, to: SocketAddr, request: &Completion) -> Result<Chunks, Failure> {
        let request = Completion { stream: true, ..request.clone() };
        let body = match self.fetch.open(to, "/v1/completions", &request).await {
            Ok(body) => body,
            Err(e) => return Err(failure(e)),
        };
        let events = BodyDataStream::new(body).eventsource();
        let chunks = futures_util::stream::unfold(Some(events), |state| async move {
            let mut events = state?;
            match events.next().await {
                Some(Ok(event)) if event.data == DONE => None,
                Some(Ok(event)) => match serde_json::from_str::<Event>(&event.data) {
                    Ok(event) => chunk(event).map(|c| (Ok(c), Some(events))),
                    Err(e) => Some((Err(broke(e.to_string())), None)),
                },
                Some(Err(e)) => Some((Err(broke(e.to_string())), None)),
                None => Some((Err(broke("the stream ended early".to_owned())), None)),
            }
        });
        Ok(Box::pin(chunks))
    }

    /// Reads an engine's report of itself.
    pub async fn load(&self, to: SocketAddr, limit: Duration) -> Result<Load, FetchError> {
        self.control.get(to, "/load", limit).await
    }

    /// Gives an order.
    pub async fn order(
        &self,
        to: SocketAddr,
        order: Order,
        limit: Duration,
    ) -> Result<OrderReply, FetchError> {
        self.control.call(to, Method::POST, "/orders", &order, limit).await
    }
}

fn chunk(event: Event) -> Option<Chunk> {
    let choice = event.choices.into_iter().next()?;
    let tokens = event.tokens.unwrap_or(u32::from(!choice.text.is_empty()));
    Some(Chunk {
        text: choice.text,
        tokens,
        version: event.weight_version,
        finish: choice.finish_reason,
    })
}

fn broke(reason: String) -> Failure {
    Failure { outcome: Outcome::Unknown, reason }
}

fn failure(e: FetchError) -> Failure {
    let outcome = match &e {
        FetchError::Connect { .. } => Outcome::Unsent,
        FetchError::Status { status, .. } if *status == http::StatusCode::TOO_MANY_REQUESTS => {
            Outcome::Refused
        }
        FetchError::Status { .. }
        | FetchError::Broken { .. }
        | FetchError::Late { .. }
        | FetchError::Garbled { .. } => Outcome::Unknown,
    };
    Failure { outcome, reason: e.to_string() }
}
