//! The replicas of all services, and which of them gets an attempt.

mod ended;
mod fleet;
mod listed;
mod replica;
mod waiting;
mod wish;

pub use ended::Ended;
pub use fleet::Fleet;
pub use listed::Listed;
pub use waiting::{Position, Waiting, Want};
pub use wish::Wish;
