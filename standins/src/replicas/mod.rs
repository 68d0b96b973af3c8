//! Replicas in memory, behind the library's port, with faults on order and a ledger of runs.

mod fleet;
mod replica;

pub use fleet::ReplicaFleet;
pub use replica::{Mood, Ordered, Ran};
