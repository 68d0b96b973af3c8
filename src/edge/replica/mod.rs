//! The edge to the replicas that run requests.

mod call;
mod port;

pub use call::{Call, Failure, Load, Order, OrderEnd, Pieces, Reply, Stance, Target};
pub use port::Replicas;
