//! Decisions about load on the entry path.

mod connection_bounds;
mod memory_use;
mod node_capacity;

pub use connection_bounds::ConnectionBounds;
pub use memory_use::MemoryUse;
pub use node_capacity::{NodeCapacity, RESERVED_DESCRIPTORS};
