//! The messages to and from model engines: the OpenAI completions format with additional fields.

use serde::{Deserialize, Serialize};

/// A completion request. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model. In requests of callers, the name of the service.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate, including those of `prior`.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The priority. Requests with a higher one run first.
    #[serde(default)]
    pub priority: i32,
    /// The sampling seed, which makes samples of one prompt differ.
    #[serde(default)]
    pub seed: u64,
    /// The id of the request in the engine's own records.
    #[serde(default)]
    pub request_id: String,
    /// The output generated so far. The engine continues after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prior: Option<PriorOutput>,
}

/// The part of an output that was already generated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorOutput {
    /// The text of the tokens.
    pub text: String,
    /// The number of tokens.
    pub tokens: u32,
}

/// The default of `max_tokens`.
fn default_tokens() -> u32 {
    16
}

/// A piece of output, from one event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The text of the tokens.
    pub text: String,
    /// The number of tokens.
    pub tokens: u32,
    /// The weight version that generated the tokens, if the engine reports it.
    #[serde(default)]
    pub version: Option<u64>,
    /// The finish reason on the last chunk: `stop` or `length`.
    #[serde(default)]
    pub finish: Option<String>,
}

/// The load and weights that an engine reports. The report lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The weight version that the engine serves, if its weights are completely loaded.
    pub version: Option<u64>,
    /// The generation of the last order that the engine accepted.
    pub generation: u64,
    /// Whether the engine is loading other weights.
    pub swapping: bool,
}

/// An order to an engine: the state that it has to reach. The generation serves as fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing token, which grows with each change of the wanted version.
    pub generation: u64,
    /// The weight version to serve.
    pub version: u64,
}

/// The reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrderReply {
    /// Whether the engine accepted the order. False if it has accepted a later one.
    pub taken: bool,
}
