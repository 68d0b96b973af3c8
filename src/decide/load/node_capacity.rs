//! The capacity of the machine of an entry node, and what follows from it.
//!
//! Load pattern: entry VMs differ by a factor of five in cores, memory and descriptors. If all
//! are treated alike, a training step is run by a machine that has neither the processor time
//! nor the memory for it, and each step of that trainer is late, while large machines are idle.

use serde::{Deserialize, Serialize};

/// The processor share that is assumed if it is unknown: that of the machines this service was
/// first made for, a quarter of a core.
const DEFAULT_MILLICORES: u32 = 250;
/// The memory that is assumed if it is unknown, in MB: the usual machine has about as many
/// megabytes as thousandths of a core.
const DEFAULT_MEMORY_MB: u32 = 250;
/// The most that a machine's weight counts, in thousandths of a core: a process has one thread
/// and can't use a second core. It also keeps the jobs from gathering at one large machine.
const MAX_WEIGHT: u32 = 1_000;
/// Smallest processor share of an owner of jobs, in thousandths of a core. The busiest owner used
/// 30% of a quarter of a core at 300 machines (docs/CAPACITY.md); this is twice as much.
const MIN_OWNER_MILLICORES: u32 = 150;
/// Smallest memory of an owner of jobs, in MB. The busiest owner used 101 MB at 300 machines
/// (docs/CAPACITY.md), and the texts of a step need as much again if readers are slow.
const MIN_OWNER_MEMORY_MB: u32 = 160;
/// The speed of the link that goes with a core, in Mbit/s: the machines of the customers have 400
/// to 500.
const LINK_MBPS_PER_CORE: u32 = 400;

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

    /// Returns the weight of the machine as an owner of jobs: by its processor share or its
    /// memory, whichever is the shorter one.
    pub fn owner_weight(&self) -> u32 {
        let memory = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        self.millicores.unwrap_or(DEFAULT_MILLICORES).min(memory).clamp(1, MAX_WEIGHT)
    }

    /// Returns the weight of the machine among those that serve clients: by its processor share
    /// or its link, whichever is the shorter one.
    pub fn client_weight(&self) -> u32 {
        let millicores = self.millicores.unwrap_or(DEFAULT_MILLICORES);
        let link =
            self.link_mbps.map(|mbps| u64::from(mbps) * 1_000 / u64::from(LINK_MBPS_PER_CORE));
        let link = link.map_or(millicores, |n| u32::try_from(n).unwrap_or(u32::MAX));
        millicores.min(link).clamp(1, MAX_WEIGHT)
    }

    /// Whether the machine is large enough to own jobs. An unknown limit is taken to be.
    pub fn may_own_jobs(&self) -> bool {
        self.millicores.is_none_or(|n| n >= MIN_OWNER_MILLICORES)
            && self.memory_mb.is_none_or(|n| n >= MIN_OWNER_MEMORY_MB)
    }

    /// Whether nothing is known.
    pub fn is_unknown(&self) -> bool {
        *self == Self::default()
    }
}
