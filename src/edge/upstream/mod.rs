//! Calls to upstreams: model engines and plain services.

mod engine;
mod message;
mod plain;
mod probe;

pub use engine::{Chunks, EngineClient};
pub use message::{Chunk, Completion, Load, Order, OrderReply, Prior};
pub use plain::{Failure, PlainAnswer, PlainClient};
pub use probe::{Probe, probe};
