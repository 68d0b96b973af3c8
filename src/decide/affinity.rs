//! The node that is preferred as the owner of the jobs of each route.
//!
//! Load pattern: a trainer submits a step every few seconds, each at another node. Owners
//! that differ from step to step open new connections to replicas, count only their
//! own runs where two steps overlap, and don't know how fast the replicas are. Every node
//! derives the same owner for a route from the same list of nodes; where lists differ
//! temporarily, the store still makes exactly one node the owner.
//!
//! Where machines differ in size, a node is preferred in proportion to its capacity, so that a
//! small machine isn't given a step that it can't run in time, and the largest isn't given all.

use std::collections::BTreeMap;

use super::load::NodeCapacity;
use super::{WeightedScore, rendezvous_rank};
use crate::Name;

/// A node that may own jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Its name.
    pub name: Name,
    /// Its availability zone. None if unknown.
    pub zone: Option<Name>,
    /// The capacity of its machine.
    pub capacity: NodeCapacity,
}

/// The preferred owner of each route. Routes share a node only if there are fewer nodes
/// than routes. Machines that are too small own jobs only if all are. If the machines differ,
/// the owners are spread over the availability zones.
pub fn preferred_owners(routes: &[Name], nodes: &[OwnerCandidate]) -> BTreeMap<Name, Name> {
    let mut routes = routes.to_vec();
    routes.sort_unstable();
    if all_equal(nodes) {
        return equal_owners(&routes, nodes);
    }
    let mut candidates: Vec<&OwnerCandidate> =
        nodes.iter().filter(|n| n.capacity.may_own_jobs()).collect();
    if candidates.is_empty() {
        candidates = nodes.iter().collect();
    }
    let mut unused = candidates.clone();
    let mut zones: BTreeMap<Option<&Name>, usize> = BTreeMap::new();
    let mut owners = BTreeMap::new();
    for route in routes {
        if unused.is_empty() {
            unused.clone_from(&candidates);
        }
        let owner_count = |n: &OwnerCandidate| zones.get(&n.zone.as_ref()).copied().unwrap_or(0);
        let Some(fewest) = unused.iter().map(|n| owner_count(n)).min() else { break };
        let least_used = unused.iter().filter(|n| owner_count(n) == fewest);
        let best = least_used.max_by_key(|n| {
            (WeightedScore::new(&route, &n.name, n.capacity.owner_weight()), &n.name)
        });
        let Some(node) = best.copied() else { break };
        unused.retain(|n| n.name != node.name);
        *zones.entry(node.zone.as_ref()).or_default() += 1;
        owners.insert(route, node.name.clone());
    }
    owners
}

/// Whether the machines don't differ in what matters for owners of jobs.
fn all_equal(nodes: &[OwnerCandidate]) -> bool {
    let rank = |n: &OwnerCandidate| (n.capacity.may_own_jobs(), n.capacity.owner_weight());
    nodes.windows(2).all(|pair| rank(&pair[0]) == rank(&pair[1]))
}

/// The preferred owners among equal machines.
fn equal_owners(routes: &[Name], nodes: &[OwnerCandidate]) -> BTreeMap<Name, Name> {
    let mut unused: Vec<&str> = Vec::new();
    let mut owners = BTreeMap::new();
    for route in routes {
        if unused.is_empty() {
            unused = nodes.iter().map(|n| &*n.name).collect();
        }
        let ranked = rendezvous_rank(route, unused.iter().copied());
        let Some(node) = ranked.first().map(|n| Name::from(&**n)) else {
            break;
        };
        unused.retain(|n| *n != &*node);
        owners.insert(route.clone(), node);
    }
    owners
}
