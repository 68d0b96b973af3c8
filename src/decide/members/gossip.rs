//! The messages of a gossip round. The table bounds their sizes, whatever the number of nodes.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::NodeState;
use crate::Name;

/// Everything that is known of a node. `C` is the caller's part: where the node is
/// and how it is reached. It stays the same for one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord<C> {
    /// Name of the node.
    pub name: Name,
    /// Grows each time that the node starts.
    pub incarnation: u64,
    /// The state that the node reports.
    pub state: NodeState,
    /// Heartbeat counter, which only the node itself raises, once a round.
    pub heartbeat: u32,
    /// Number of the bundle in force there, 0 for none.
    pub bundle: u64,
    /// Whether some node failed to reach it at this heartbeat.
    pub suspected: bool,
    /// The caller's part.
    pub contact: C,
}

/// The short form of a node's heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifies the node and its incarnation, see [`short_id`].
    pub id: u32,
    /// Heartbeat counter of the node.
    pub heartbeat: u32,
    /// The state that the node reports. Records carry it sooner, but in a bounded number of
    /// messages, all of which may be lost; heartbeats are sent for ever.
    pub state: NodeState,
    /// Number of the bundle in force there.
    pub bundle: u64,
}

/// One message; request and reply have the same shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip<C> {
    /// Records that changed recently or that the receiver asked for.
    pub records: Vec<MemberRecord<C>>,
    /// The heartbeat of the sender, first, and those of some other nodes.
    pub heartbeats: Vec<Heartbeat>,
    /// Short ids of nodes whose heartbeat the sender received, but whose record it lacks.
    pub wanted: Vec<u32>,
}

/// Returns a short id for a node and its incarnation. Two nodes of 380 share one
/// with a probability of 380²/2³³, about 2 in 100,000; then their heartbeats
/// travel in records, which carry the whole name.
pub fn short_id(name: &str, incarnation: u64) -> u32 {
    let seed = xxh3_64(&incarnation.to_le_bytes());
    xxh3_64_with_seed(name.as_bytes(), seed) as u32
}

impl<C> MemberRecord<C> {
    /// Returns the short id of this node and incarnation.
    pub fn id(&self) -> u32 {
        short_id(&self.name, self.incarnation)
    }

    /// Returns the short form of the heartbeat.
    pub fn to_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            id: self.id(),
            heartbeat: self.heartbeat,
            state: self.state,
            bundle: self.bundle,
        }
    }
}
