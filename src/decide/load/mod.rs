//! Decisions about load on the entry path.

mod addresses;
mod connection_bounds;
mod memory_use;
mod node_capacity;

pub use addresses::{ClientNode, MAX_ADDRESSES, addresses_for_zone};
pub use connection_bounds::ConnectionBounds;
pub use memory_use::MemoryUse;
pub use node_capacity::{NodeCapacity, RESERVED_DESCRIPTORS};
