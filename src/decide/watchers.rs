//! How many nodes watch the store for the others.
//!
//! Load pattern: every node needs each change of a replica or a node, and each watch that returns
//! is a call to the store. If every node watches, the calls grow with the square of the fleet. If
//! a fixed part of the nodes watch, they grow as fast as the fleet, though the store does not.

/// Up to this fleet size each node watches the store itself: with three watchers nothing would
/// be saved.
const MAX_NODES_WITHOUT_WATCHERS: usize = 4;
/// In a small fleet, one node in this many watches for the others, which ask it once a second. In a
/// large one each watcher serves as many nodes as there are watchers, so that neither the calls
/// to the store nor the load of a watcher grow as fast as the fleet.
const NODES_PER_WATCHER: usize = 16;
/// The fewest nodes that watch for others: one may be gone and another one disconnected.
const MIN_WATCHERS: usize = 3;

/// Returns how many of this number of nodes watch the store for the others. None if each node
/// watches it itself.
pub fn watcher_count(nodes: usize) -> Option<usize> {
    if nodes <= MAX_NODES_WITHOUT_WATCHERS {
        return None;
    }
    let floor = nodes.isqrt();
    let root = if floor * floor < nodes { floor + 1 } else { floor };
    Some(nodes.div_ceil(NODES_PER_WATCHER).min(root).max(MIN_WATCHERS))
}
