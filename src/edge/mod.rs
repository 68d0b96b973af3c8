//! The edge: every socket of a process. The modules here encode, send and receive; decisions are
//! made elsewhere.

pub mod clock;
pub mod duty;
pub mod http;
pub mod peer;
pub mod platform;
pub mod replica;
pub mod schema;
pub mod store;
pub mod upstream;

mod acceptor;
mod connection_slots;
mod memory_budget;
mod reclaim;

pub use memory_budget::{MemoryBudget, MemoryCharge};
pub use reclaim::{ReclaimEntry, ReclaimList, ReclaimRank, Reclaimable};
