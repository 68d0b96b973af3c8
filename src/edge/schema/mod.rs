//! The edge to what operators, trainers and replicas leave in the store, in words of their own.

mod schema;

pub use schema::{Directive, StoreSchema};
