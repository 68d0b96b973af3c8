//! Quarantine of requests that crash each upstream that runs them.
//!
//! Load pattern: a caller sends a request that crashes its engine, gets an error and
//! sends it again, through another node. Every request that shared the engine fails
//! too and is tried again. Without quarantine one such request takes down engine
//! after engine; with a careless one the innocent are refused along with it.

mod quarantine;
mod suspicion;
mod trials;

pub use quarantine::{Flight, LIMIT, Quarantine, Standing};
pub use suspicion::{CrashId, Notice, Suspicion};
pub use trials::Trials;
