//! The node that is preferred as the owner of the jobs of each route.
//!
//! Load pattern: a trainer submits a step every few seconds, each at another node. Owners
//! that differ from step to step open new connections to replicas, count only their
//! own runs where two steps overlap, and don't know how fast the replicas are. Every node
//! derives the same owner for a route from the same list of nodes; where lists differ
//! temporarily, the store still makes exactly one node the owner.

use std::collections::BTreeMap;

use super::rendezvous_rank;
use crate::Name;

/// The preferred owner of each route. Routes share a node only if there are fewer nodes
/// than routes.
pub fn preferred_owners(routes: &[Name], nodes: &[Name]) -> BTreeMap<Name, Name> {
    let mut routes = routes.to_vec();
    routes.sort_unstable();
    let mut unused: Vec<&str> = Vec::new();
    let mut owners = BTreeMap::new();
    for route in routes {
        if unused.is_empty() {
            unused = nodes.iter().map(|n| &**n).collect();
        }
        let ranked = rendezvous_rank(&route, unused.iter().copied());
        let Some(node) = ranked.first().map(|n| Name::from(&**n)) else {
            break;
        };
        unused.retain(|n| *n != &*node);
        owners.insert(route, node);
    }
    owners
}
