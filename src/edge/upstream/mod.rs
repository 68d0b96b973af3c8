//! Clients of upstreams: model engines and plain HTTP services.

mod engine;
mod messages;
mod plain;
mod probe;

pub use engine::{ChunkStream, EngineClient};
pub use messages::{
    Chunk, CompletionRequest, EngineOrder, EngineOrderReply, EngineStatus, PriorOutput,
};
pub use plain::{AttemptFailure, PlainClient, PlainResponse};
pub use probe::{ProbeResult, probe};
