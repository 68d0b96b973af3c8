//! Selects the nodes that a client is told to use.
//!
//! Load pattern: a response has a limited number of addresses, and there are more nodes. Chosen without
//! weights, the smallest machines get as many clients as the largest, and most clients are sent to
//! another availability zone. All clients of a zone are told the same nodes, whichever node they ask,
//! and a node that goes is replaced by one other.

use crate::Name;
use crate::decide::WeightedScore;

/// The most addresses in a response.
pub const MAX_ADDRESSES: usize = 64;
/// The most addresses of the client's own zone if other zones have nodes: a client whose zone is lost
/// still knows enough others.
const MAX_OWN_ZONE: usize = MAX_ADDRESSES * 3 / 4;
/// How much more a node of the client's own zone counts. The delay between zones (1.4 ms) is small
/// compared with a response, so size matters as well: a node of half a core in another zone counts
/// more than the smallest one of the own zone.
const OWN_ZONE_FACTOR: u32 = 4;

/// A node that serves clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientNode<A> {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: A,
    /// Its availability zone. None if unknown.
    pub zone: Option<Name>,
    /// The weight of its machine.
    pub weight: u32,
}

/// Returns the addresses for a client of an availability zone, at most [`MAX_ADDRESSES`]: all if they
/// are not more, and otherwise chosen by their weights and zones.
pub fn addresses_for_zone<A: Copy>(zone: &str, nodes: &[ClientNode<A>]) -> Vec<A> {
    if nodes.len() <= MAX_ADDRESSES {
        return nodes.iter().map(|node| node.address).collect();
    }
    let in_zone = |node: &ClientNode<A>| node.zone.as_deref() == Some(zone);
    let score = |node: &ClientNode<A>| {
        let factor = if in_zone(node) { OWN_ZONE_FACTOR } else { 1 };
        WeightedScore::new(zone, &node.name, node.weight.saturating_mul(factor))
    };
    let mut ranked: Vec<(WeightedScore, &ClientNode<A>)> =
        nodes.iter().map(|node| (score(node), node)).collect();
    ranked.sort_unstable_by(|a, b| (b.0, &b.1.name).cmp(&(a.0, &a.1.name)));
    let others = nodes.iter().filter(|node| !in_zone(node)).count();
    let mut own_left = MAX_OWN_ZONE.max(MAX_ADDRESSES.saturating_sub(others));
    let chosen = ranked.into_iter().map(|(_, node)| node).filter(|node| {
        let own = in_zone(node);
        let fits = !own || own_left > 0;
        own_left -= usize::from(own && fits);
        fits
    });
    chosen.take(MAX_ADDRESSES).map(|node| node.address).collect()
}
