//! Clients that break the limits on what they may send, and the resources that a process uses
//! under them.

mod behaviour;
mod crowd;
mod usage;

pub use behaviour::{Behaviour, head_start};
pub use crowd::Crowd;
pub use usage::ProcessUsage;
