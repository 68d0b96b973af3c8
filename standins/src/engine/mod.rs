//! A stand-in for a model engine.

mod engine;
mod faults;
mod tokens;

pub use engine::{Engine, EngineSettings, ProducedToken};
pub use faults::Faults;
pub use tokens::{token_count, token_text};
