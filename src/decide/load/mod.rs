//! Decisions about load on the entry path.

mod connection_bounds;
mod node_capacity;

pub use connection_bounds::ConnectionBounds;
pub use node_capacity::{NodeCapacity, RESERVED_DESCRIPTORS};
