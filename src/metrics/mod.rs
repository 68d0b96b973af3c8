//! What the node counts.

mod metrics;

pub use metrics::{Metrics, OrderCause, PlatformUse, RetryReason};
