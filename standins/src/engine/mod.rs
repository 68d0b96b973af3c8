//! A stand-in for a model engine.

mod engine;
mod faults;
mod tokens;

pub use engine::{Engine, EngineSettings, Produced};
pub use faults::Faults;
pub use tokens::{length, token};
