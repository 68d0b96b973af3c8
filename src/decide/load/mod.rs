//! Decisions about load on the entry path.

mod node_capacity;

pub use node_capacity::{NodeCapacity, RESERVED_DESCRIPTORS};
