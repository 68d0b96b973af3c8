//! In-memory replicas that implement the library's `Replicas` trait, inject faults when a test
//! sets them, and record every run and order.

mod fleet;
mod replica;

pub use fleet::{Replacement, ReplicaFleet};
pub use replica::{Behaviour, RecordedOrder, RecordedRun};
