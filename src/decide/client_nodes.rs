//! Selects the nodes that a client is given to connect to.
//!
//! Load pattern: thousands of clients cache an answer for seconds, and a node, a rack or a
//! zone fails at once. If all clients get the same list, the clients of the failed nodes move
//! together and flood the next node in the list; if each gets all 380 nodes, an answer has 7 KB
//! and each client opens connections to all. Here each client has its own few nodes,
//! by rendezvous hashing: the same whichever node it asks, and when a node fails
//! only that node's clients replace one address, spread over different nodes.
//!
//! The answer stays in the region of the node that was asked: the client reached that one,
//! and regions can lose contact with each other. Latency between zones (1.5 ms) is
//! small compared with the time of an answer, so zones are mixed and none is preferred.

use super::rendezvous_score;

/// Maximum number of nodes in an answer. With 8 nodes out of 6 zones, an answer of one zone
/// alone is rare, and such an answer gets one node of another zone; a client that can reach
/// none of its 8 nodes asks again.
pub const MAX_CLIENT_NODES: usize = 8;

/// A serving node that a client may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateNode<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Region of the node.
    pub region: &'a str,
    /// Availability zone of the node.
    pub zone: &'a str,
}

/// Returns the names of the nodes that a client is to use, at most [`MAX_CLIENT_NODES`], best
/// first in the client's own order. `region` is the region of the answering node; nodes of
/// other regions are returned only if it has none.
pub fn nodes_for_client<'a>(
    client: &str,
    region: &str,
    nodes: &[CandidateNode<'a>],
) -> Vec<&'a str> {
    let mut ranked: Vec<(bool, u64, CandidateNode<'a>)> =
        nodes.iter().map(|n| (n.region == region, rendezvous_score(client, n.name), *n)).collect();
    ranked.sort_unstable_by(|a, b| (b.0, b.1, b.2.name).cmp(&(a.0, a.1, a.2.name)));
    let near = ranked.iter().filter(|(near, ..)| *near).count();
    if near > 0 {
        ranked.truncate(near);
    }
    let mut chosen: Vec<CandidateNode<'a>> =
        ranked.iter().take(MAX_CLIENT_NODES).map(|(.., node)| *node).collect();
    if let (Some(last), Some(other)) =
        (chosen.last().copied(), best_in_other_zone(&chosen, &ranked))
    {
        chosen.retain(|n| *n != last);
        chosen.push(other);
    }
    chosen.into_iter().map(|node| node.name).collect()
}

/// Returns the best node of another zone if all chosen nodes are in one zone.
fn best_in_other_zone<'a>(
    chosen: &[CandidateNode<'a>],
    ranked: &[(bool, u64, CandidateNode<'a>)],
) -> Option<CandidateNode<'a>> {
    let zone = chosen.first()?.zone;
    if chosen.iter().any(|node| node.zone != zone) {
        return None;
    }
    ranked.iter().map(|(.., node)| *node).find(|node| node.zone != zone)
}
