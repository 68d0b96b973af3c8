//! What the node counts.

mod labels;
mod metrics;
mod process;
mod tally;
mod timed;
mod traffic;

pub use labels::{Entry, OrderCause, PlatformUse, Purpose, RetryReason, Task, Way};
pub use metrics::Metrics;
pub use tally::{AttemptEnd, JobStep, PeerUse, SampleEnd, StoreCall, StoreEnd, StoreUse, Tally};
pub use timed::Timed;
pub use traffic::Traffic;
