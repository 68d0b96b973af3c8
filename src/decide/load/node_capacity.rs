//! The capacity of the machine of an entry node, and what follows from it.
//!
//! Load pattern: entry VMs differ by a factor of five in cores, memory and descriptors. If all
//! are treated alike, a training step is run by a machine that has neither the processor time
//! nor the memory for it, and each step of that trainer is late, while large machines are idle.

use serde::{Deserialize, Serialize};

/// Descriptors that the platform reserves on each machine.
pub const RESERVED_DESCRIPTORS: u32 = 200;

/// The capacity of a machine. What the platform does not give is none, which means unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct NodeCapacity {
    /// The share of the processor, in thousandths of a core.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub millicores: Option<u32>,
    /// The memory in megabytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u32>,
    /// The number of file descriptors, including those that are reserved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<u32>,
    /// The speed of the link in Mbit/s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_mbps: Option<u32>,
}

impl NodeCapacity {
    /// Largest plausible share of the processor: 1,024 cores.
    pub const MAX_MILLICORES: u32 = 1_024_000;
    /// Largest plausible memory: 16 TB.
    pub const MAX_MEMORY_MB: u32 = 16 << 20;
    /// Largest plausible number of descriptors: the most that Linux allows for a process.
    pub const MAX_DESCRIPTORS: u32 = 1 << 30;
    /// Largest plausible link: 10 Tbit/s.
    pub const MAX_LINK_MBPS: u32 = 10_000_000;

    /// Whether nothing is known.
    pub fn is_unknown(&self) -> bool {
        *self == Self::default()
    }
}
