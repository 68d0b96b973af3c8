//! Calls to upstreams: model engines and plain services.

mod engine;
mod message;
mod plain;
mod probe;

pub use engine::{ChunkStream, EngineClient};
pub use message::{
    Chunk, CompletionRequest, EngineOrder, EngineOrderReply, EngineStatus, PriorOutput,
};
pub use plain::{AttemptFailure, PlainClient, PlainResponse};
pub use probe::{ProbeResult, probe};
