//! Prometheus metrics of nodes and entry nodes.

mod entry_metrics;
mod labels;
mod metrics;
mod process;
mod timed;
mod traffic;

pub use entry_metrics::{
    AttemptEnd, EntryMetrics, HeldFor, JobEvent, PeerPurpose, SampleEnd, StoreCall, StoreEnd,
    StorePurpose,
};
pub use labels::{
    ControlPurpose, ControlTask, Direction, OrderCause, PlatformPurpose, RetryReason, StateKind,
};
pub use metrics::Metrics;
pub use timed::Timed;
pub use traffic::Traffic;
