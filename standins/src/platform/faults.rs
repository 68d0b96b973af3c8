//! The faults that the platform stand-in injects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every connection is cut and watches end.
    pub down: bool,
    /// How much later every response is sent, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect without a response.
    pub lose_replies: u32,
    /// Whether reads of keys are cut; writes still take effect.
    pub unreadable: bool,
    /// How many revisions old the state is that reads return.
    #[serde(rename = "behind")]
    pub stale_revisions: u64,
    /// The most writes per second, 0 for no limit; further ones are refused.
    #[serde(rename = "writes")]
    pub max_writes: u32,
    /// The most reads per second, 0 for no limit; further ones are refused.
    #[serde(rename = "reads")]
    pub max_reads: u32,
    /// How old the list of VMs is, in milliseconds.
    pub vms_lag_ms: u64,
}

impl Faults {
    /// How much later every response is sent.
    pub fn added_latency(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }
}
