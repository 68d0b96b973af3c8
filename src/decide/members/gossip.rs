//! What is said in a round. Sizes are bounded by the table, whatever the fleet's size.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::NodeState;
use crate::Name;

/// Everything that is known of a node. `C` is the shell's part: where it is
/// and how it is reached. It stays the same for one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct News<C> {
    /// The node.
    pub name: Name,
    /// Grows each time that the node starts.
    pub incarnation: u64,
    /// What it says of itself.
    pub state: NodeState,
    /// Its heartbeat: it alone raises it, once a round.
    pub beat: u32,
    /// Number of the bundle in force there, 0 for none.
    pub bundle: u64,
    /// Someone failed to reach it at this heartbeat.
    pub doubted: bool,
    /// The shell's part.
    pub card: C,
}

/// A heartbeat in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The node and its incarnation, see [`id`].
    pub id: u32,
    /// Its heartbeat.
    pub beat: u32,
    /// What the node says of itself. News say so sooner, but in a bounded number of messages,
    /// all of which may be lost; heartbeats go on.
    pub state: NodeState,
    /// Number of the bundle in force there.
    pub bundle: u64,
}

/// One message; request and reply have the same shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip<C> {
    /// What changed lately, and what was asked for.
    pub news: Vec<News<C>>,
    /// The sender's heartbeat, first, and those of some others.
    pub beats: Vec<Beat>,
    /// Nodes of whom the sender has heard a heartbeat and knows no more.
    pub wanted: Vec<u32>,
}

/// A short name for a node and its incarnation. Two nodes of 380 share one
/// with a probability of 380²/2³³, about 2 in 100,000; then their heartbeats
/// travel as news, which carry the whole name.
pub fn id(name: &str, incarnation: u64) -> u32 {
    let seed = xxh3_64(&incarnation.to_le_bytes());
    xxh3_64_with_seed(name.as_bytes(), seed) as u32
}

impl<C> News<C> {
    /// The short name of this node and incarnation.
    pub fn id(&self) -> u32 {
        id(&self.name, self.incarnation)
    }

    /// The heartbeat in short.
    pub fn short(&self) -> Beat {
        Beat { id: self.id(), beat: self.beat, state: self.state, bundle: self.bundle }
    }
}
