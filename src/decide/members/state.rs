//! What a node says of itself, and what others make of its silence.

use serde::{Deserialize, Serialize};

/// Where a node is in its life, as it says itself. It only moves downwards in
/// this list; a node that comes back does so with a higher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It is not ready yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has stopped on purpose.
    Gone,
}

/// Whether a node shows signs of life, as this node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Its heartbeat advances.
    Well,
    /// Someone failed to reach it and its heartbeat has not advanced since.
    Doubted,
    /// It was doubted for too long: it counts as failed until its heartbeat advances.
    Silent,
}
