//! Which node is home to the jobs of which route.
//!
//! Load pattern: a trainer submits a step every few seconds, each to another node. Homes that
//! differ from step to step open their connections to replicas anew, count only their own
//! runs where two steps overlap, and know nothing of how fast the replicas are. Every node
//! names the same home for a route, from the same list of nodes; where lists differ for a
//! moment, the store still makes one node home.

use std::collections::BTreeMap;

use super::rank;
use crate::Name;

/// The preferred node of each route. Routes share nodes only where there are fewer nodes.
pub fn preferred(routes: &[Name], nodes: &[Name]) -> BTreeMap<Name, Name> {
    let mut routes = routes.to_vec();
    routes.sort_unstable();
    let mut left: Vec<&str> = Vec::new();
    let mut homes = BTreeMap::new();
    for route in routes {
        if left.is_empty() {
            left = nodes.iter().map(|n| &**n).collect();
        }
        let Some(node) = rank(&route, left.iter().copied()).first().map(|n| Name::from(&**n))
        else {
            break;
        };
        left.retain(|n| *n != &*node);
        homes.insert(route, node);
    }
    homes
}
