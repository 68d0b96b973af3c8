//! What is said to model engines: the OpenAI completions shape with additions.

use serde::{Deserialize, Serialize};

/// A completion request. Unknown members are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model; for callers, the name of the service.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate, those of `prior` included.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Higher runs first.
    #[serde(default)]
    pub priority: i32,
    /// Makes samples of one prompt differ.
    #[serde(default)]
    pub seed: u64,
    /// Told apart in the engine's own records.
    #[serde(default)]
    pub request_id: String,
    /// What was generated already: the engine goes on from there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prior: Option<PriorOutput>,
}

/// The part of an answer that is there already.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorOutput {
    /// Its text.
    pub text: String,
    /// How many tokens it has.
    pub tokens: u32,
}

fn default_tokens() -> u32 {
    16
}

/// One event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The text of its tokens.
    pub text: String,
    /// How many tokens it has.
    pub tokens: u32,
    /// The weight version that produced them, if the engine says so.
    #[serde(default)]
    pub version: Option<u64>,
    /// Set on the last chunk: `stop` or `length`.
    #[serde(default)]
    pub finish: Option<String>,
}

/// An engine's report of itself. It lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// The weight version that it serves, if its weights are whole.
    pub version: Option<u64>,
    /// The fencing number of the last order that it took.
    pub generation: u64,
    /// Whether it is swapping weights.
    pub swapping: bool,
}

/// An order: the wanted end state. The generation is the fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Grows with every change of what is wanted.
    pub generation: u64,
    /// The weight version to serve.
    pub version: u64,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrderReply {
    /// False if a later order was there.
    pub taken: bool,
}
