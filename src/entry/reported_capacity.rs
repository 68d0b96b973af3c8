//! The capacity in the record of a node, as far as it is plausible.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::decide::load::NodeCapacity;

/// The capacity that a node has published. Values that are missing are unknown; values that are
/// not plausible are counted and unknown, so that a node with a wrong value is still a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "Value", into = "NodeCapacity")]
pub(super) struct ReportedCapacity {
    /// The plausible values.
    pub capacity: NodeCapacity,
    /// The number of values that are not plausible.
    pub invalid: u32,
}

impl ReportedCapacity {
    /// Whether there is nothing to publish.
    pub(super) fn is_unknown(&self) -> bool {
        self.capacity.is_unknown()
    }

    /// Reads a value of 1 to `max`, and counts one that is not.
    fn read(&mut self, report: &Value, key: &str, max: u32) -> Option<u32> {
        let value = report.get(key)?;
        let number = value.as_u64().and_then(|n| u32::try_from(n).ok());
        let plausible = number.filter(|n| (1..=max).contains(n));
        self.invalid += u32::from(plausible.is_none());
        plausible
    }
}

impl From<NodeCapacity> for ReportedCapacity {
    fn from(capacity: NodeCapacity) -> Self {
        Self { capacity, invalid: 0 }
    }
}

impl From<ReportedCapacity> for NodeCapacity {
    fn from(reported: ReportedCapacity) -> Self {
        reported.capacity
    }
}

impl From<Value> for ReportedCapacity {
    fn from(report: Value) -> Self {
        let mut read = Self::default();
        if !report.is_object() && !report.is_null() {
            read.invalid = 1;
            return read;
        }
        read.capacity = NodeCapacity {
            millicores: read.read(&report, "millicores", NodeCapacity::MAX_MILLICORES),
            memory_mb: read.read(&report, "memory_mb", NodeCapacity::MAX_MEMORY_MB),
            descriptors: read.read(&report, "descriptors", NodeCapacity::MAX_DESCRIPTORS),
            link_mbps: read.read(&report, "link_mbps", NodeCapacity::MAX_LINK_MBPS),
        };
        read
    }
}
