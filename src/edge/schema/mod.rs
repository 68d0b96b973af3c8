//! The interface to the keys and values that operators, trainers and replicas write into the
//! store, in formats of their own.

mod schema;

pub use schema::{Directive, StoreSchema};
