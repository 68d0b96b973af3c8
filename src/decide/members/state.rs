//! The state that a node reports about itself, and its liveness as other nodes see it.

use serde::{Deserialize, Serialize};

/// The lifecycle state that a node reports about itself. It only moves downwards in
/// this list; a node that comes back does so with a higher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It is not ready yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes its running work and accepts nothing new.
    Draining,
    /// It has stopped on purpose.
    Gone,
}

/// Whether a node is alive, as this node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// Its heartbeat advances.
    Alive,
    /// Some node failed to reach it, and its heartbeat has not advanced since.
    Suspected,
    /// It was suspected for too long: it counts as failed until its heartbeat advances.
    Failed,
}
