//! The replicas of all services, and which of them gets an attempt.

mod ended;
mod fleet;
mod listed;
mod replica;
mod wish;

pub use ended::Ended;
pub use fleet::Fleet;
pub use listed::Listed;
pub use wish::Wish;
