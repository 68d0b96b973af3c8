//! An in-memory key-value service that implements the library's `Store` trait and
//! injects faults when a test sets them.

mod schema;
mod service;
mod state;

pub use schema::TestSchema;
pub use service::{Faults, KvClient, KvService, Outage};
