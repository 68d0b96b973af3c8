//! Tests of the preferred owner of the jobs of a route.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use mulberrycourse::Name;
use mulberrycourse::decide::affinity::{OwnerCandidate, preferred_owners};
use mulberrycourse::decide::load::NodeCapacity;
use mulberrycourse::decide::{WeightedScore, rendezvous_rank, rendezvous_score};
use proptest::prelude::*;

fn names(prefix: &str, count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("{prefix}{i}").into()).collect()
}

/// Nodes in two zones with this processor share and memory. `None` for no known capacity.
fn nodes(count: usize, size: Option<(u32, u32)>) -> Vec<OwnerCandidate> {
    let capacity = size.map_or(NodeCapacity::default(), |(millicores, memory_mb)| NodeCapacity {
        millicores: Some(millicores),
        memory_mb: Some(memory_mb),
        ..NodeCapacity::default()
    });
    let node =
        |(i, name)| OwnerCandidate { name, zone: Some(format!("z{}", i % 2).into()), capacity };
    names("n", count).into_iter().enumerate().map(node).collect()
}

/// Nodes of the sizes of a customer's machines: some too small for jobs, one very large.
fn uneven(count: usize) -> Vec<OwnerCandidate> {
    let sizes = [(300, 280), (500, 512), (90, 120), (200, 256)];
    let mut all: Vec<OwnerCandidate> =
        (0..count).map(|i| nodes(count, Some(sizes[i % sizes.len()])).remove(i)).collect();
    all[0].capacity.millicores = Some(64_000);
    all[0].capacity.memory_mb = Some(256_000);
    all
}

/// The owners by the rule that was in force before nodes had capacities.
fn unweighted_owners(routes: &[Name], nodes: &[OwnerCandidate]) -> BTreeMap<Name, Name> {
    let mut unused: Vec<&str> = Vec::new();
    let mut owners = BTreeMap::new();
    for route in routes.iter().collect::<BTreeSet<_>>() {
        if unused.is_empty() {
            unused = nodes.iter().map(|n| &*n.name).collect();
        }
        let best: Name = rendezvous_rank(route, unused.iter().copied())[0].into();
        unused.retain(|n| *n != &*best);
        owners.insert(route.clone(), best);
    }
    owners
}

#[test]
fn no_owner_without_nodes() {
    assert!(preferred_owners(&names("r", 3), &[]).is_empty());
}

proptest! {
    #[test]
    fn routes_share_nodes_only_if_there_are_fewer(routes in 1_usize..9, node_count in 1_usize..30) {
        let owners = preferred_owners(&names("r", routes), &nodes(node_count, None));
        prop_assert_eq!(owners.len(), routes);
        let used: BTreeSet<&Name> = owners.values().collect();
        prop_assert_eq!(used.len(), routes.min(node_count));
    }

    /// The order of the lists of routes and nodes does not matter.
    #[test]
    fn every_node_derives_the_same_owners(
        routes in 1_usize..9,
        node_count in 1_usize..30,
        rotation in 0_usize..30,
        differ in any::<bool>(),
    ) {
        let list = if differ { uneven(node_count) } else { nodes(node_count, None) };
        let (mut a, mut b) = (names("r", routes), list);
        let before = preferred_owners(&a, &b);
        a.reverse();
        b.rotate_left(rotation % node_count);
        prop_assert_eq!(preferred_owners(&a, &b), before);
    }

    /// Removing a node that owns no route changes nothing.
    #[test]
    fn owners_stay_when_other_nodes_leave(
        routes in 1_usize..5,
        node_count in 6_usize..30,
        differ in any::<bool>(),
    ) {
        // Of fewer uneven machines, each that is large enough for jobs may own a route.
        let list = if differ && node_count >= 12 { uneven(node_count) } else { nodes(node_count, None) };
        let (routes, mut nodes) = (names("r", routes), list);
        let before = preferred_owners(&routes, &nodes);
        let idle = nodes.iter().position(|n| !before.values().any(|owner| *owner == n.name)).unwrap();
        nodes.remove(idle);
        prop_assert_eq!(preferred_owners(&routes, &nodes), before);
    }

    /// Guards against owners that move in deployments whose machines are equal or don't publish
    /// their capacity.
    #[test]
    fn equal_machines_have_the_owners_of_unweighted_hashing(
        routes in 1_usize..9,
        node_count in 1_usize..30,
        size in proptest::option::of((50_u32..2_000, 50_u32..2_000)),
    ) {
        let (routes, list) = (names("r", routes), nodes(node_count, size));
        prop_assert_eq!(preferred_owners(&routes, &list), unweighted_owners(&routes, &list));
    }

    /// Guards against a step on a machine that has neither the processor nor the memory for it.
    #[test]
    fn small_machines_own_nothing_beside_large_ones(
        routes in 1_usize..9,
        node_count in 4_usize..30,
    ) {
        let list = uneven(node_count);
        let small = |name: &Name| list.iter().any(|n| n.name == *name && !n.capacity.may_own_jobs());
        let owners = preferred_owners(&names("r", routes), &list);
        prop_assert_eq!(owners.len(), routes);
        prop_assert!(!owners.values().any(small));
    }

    /// With equal weights the order is that of the hash, also where the logarithms are equal.
    #[test]
    fn equal_weights_rank_by_hash(key in "[a-z]{1,9}", a in "[a-z]{1,9}", b in "[a-z]{1,9}") {
        let score = |node: &str| WeightedScore::new(&key, node, 280);
        let hash = |node: &str| rendezvous_score(&key, node);
        prop_assert_eq!(score(&a).cmp(&score(&b)), hash(&a).cmp(&hash(&b)));
    }
}

/// Machines that are all too small still own the jobs.
#[test]
fn small_machines_own_jobs_if_there_are_no_others() {
    let mut list = nodes(6, Some((90, 120)));
    list[0].capacity.millicores = Some(100);
    assert_eq!(preferred_owners(&names("r", 3), &list).len(), 3);
}

/// A node of twice the weight owns twice as many routes; the largest is not given all of them.
#[test]
fn owners_are_spread_by_capacity() {
    let mut list = nodes(4, Some((300, 300)));
    list[0].capacity =
        NodeCapacity { millicores: Some(64_000), memory_mb: Some(600), ..NodeCapacity::default() };
    let owned = |node: &Name| {
        let route = |i: usize| Name::from(format!("r{i}"));
        let owner = |i| preferred_owners(&[route(i)], &list)[&route(i)].clone();
        (0..2_000).filter(|i| owner(*i) == *node).count()
    };
    let counts: Vec<usize> = list.iter().map(|n| owned(&n.name)).collect();
    // The expected counts are 800 and 400, with a standard deviation of about 20.
    assert!((720..880).contains(&counts[0]), "{counts:?}");
    assert!(counts[1..].iter().all(|n| (320..480).contains(n)), "{counts:?}");
}

/// Guards against the loss of one zone taking the owners of all steps.
#[test]
fn owners_are_spread_over_zones() {
    for count in 8..30 {
        let list = uneven(count);
        let owners = preferred_owners(&names("r", 4), &list);
        let zone = |name: &Name| list.iter().find(|n| n.name == *name).unwrap().zone.clone();
        let in_first = owners.values().filter(|n| zone(n).as_deref() == Some("z0")).count();
        assert_eq!(in_first, 2, "{owners:?}");
    }
}

/// Guards against every owner moving when the largest machine is lost.
#[test]
fn only_the_routes_of_a_lost_machine_move_far() {
    let before_list = uneven(30);
    let after_list = &before_list[1..];
    let moved = (0..500)
        .filter(|i| {
            let routes = [Name::from(format!("r{i}"))];
            let before = preferred_owners(&routes, &before_list);
            let lost = before[&routes[0]] == before_list[0].name;
            !lost && preferred_owners(&routes, after_list) != before
        })
        .count();
    assert_eq!(moved, 0);
}
