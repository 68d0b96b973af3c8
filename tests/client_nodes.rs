//! The nodes that are assigned to clients: evenly spread, stable, and of several zones. When a node
//! or a zone fails, its clients are spread over many nodes.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use mulberrycourse::decide::{CandidateNode, MAX_CLIENT_NODES, nodes_for_client};
use proptest::prelude::*;

/// A node's name, region and zone.
type Node = (String, String, String);

/// `count` nodes over two regions of three zones each.
fn nodes(count: usize) -> Vec<Node> {
    let node = |i: usize| (format!("n{i}"), format!("r{}", i % 2), format!("z{}", i % 6));
    (0..count).map(node).collect()
}

fn candidates(nodes: &[Node]) -> Vec<CandidateNode<'_>> {
    nodes.iter().map(|(name, region, zone)| CandidateNode { name, region, zone }).collect()
}

/// Returns the nodes that are assigned to each of `clients` clients of the first region.
fn assign<'a>(clients: usize, nodes: &[CandidateNode<'a>]) -> Vec<Vec<&'a str>> {
    (0..clients).map(|client| nodes_for_client(&format!("c{client}"), "r0", nodes)).collect()
}

/// Returns how many clients each node is assigned to.
fn client_counts<'a>(assigned: &[Vec<&'a str>]) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    assigned.iter().flatten().for_each(|name| *counts.entry(*name).or_default() += 1);
    counts
}

/// At the planned fleet size, each node has less than 1.33 times the mean number of clients, as the
/// first choice and in total.
#[test]
fn clients_are_spread_evenly() {
    let nodes = nodes(380);
    let assigned = assign(40_000, &candidates(&nodes));
    let first: Vec<Vec<&str>> = assigned.iter().map(|names| names[..1].to_vec()).collect();
    for counts in [client_counts(&assigned), client_counts(&first)] {
        let mean = counts.values().sum::<usize>() as f64 / 190.0;
        assert_eq!(counts.len(), 190);
        assert!(counts.values().all(|c| (*c as f64) < 1.33 * mean), "{counts:?}");
    }
}

/// A node fails: only its clients are affected, each replaces that one address, and no other
/// node takes over more than a few of them.
#[test]
fn failed_node_moves_only_its_clients() {
    let nodes = nodes(380);
    let before = assign(5_000, &candidates(&nodes));
    let after = assign(5_000, &candidates(&nodes[2..]));
    let failed = &*nodes[0].0;
    let mut gained = Vec::new();
    for (before, after) in before.iter().zip(&after) {
        let kept: Vec<&str> = before.iter().copied().filter(|n| *n != failed).collect();
        assert!(after.starts_with(&kept), "{before:?} {after:?}");
        gained.push(after[kept.len()..].to_vec());
    }
    let moved: usize = gained.iter().map(Vec::len).sum();
    assert_eq!(moved, before.iter().filter(|names| names.contains(&failed)).count());
    let most = client_counts(&gained).into_values().max().unwrap();
    assert!(most * 20 < moved, "one node takes over {most} of {moved}");
}

/// A zone fails: the nodes of the other zones take over its clients evenly.
#[test]
fn clients_of_a_failed_zone_are_spread_evenly() {
    let nodes = nodes(380);
    let before = assign(20_000, &candidates(&nodes));
    let mut remaining = nodes.clone();
    remaining.retain(|(_, _, zone)| zone != "z0");
    let after = assign(20_000, &candidates(&remaining));
    let (before, after) = (client_counts(&before), client_counts(&after));
    let growth = after.iter().map(|(name, count)| *count as f64 / before[name] as f64);
    // Three zones become two: each node has half as many clients again.
    for factor in growth {
        assert!((1.3..1.7).contains(&factor), "{factor}");
    }
}

/// Even if all nodes but one are in the same zone, every client is assigned that one too.
#[test]
fn assigned_nodes_are_of_several_zones() {
    let mut nodes = nodes(60);
    nodes.retain(|(_, region, _)| region == "r0");
    nodes.iter_mut().skip(1).for_each(|node| node.2 = "z0".to_owned());
    nodes[0].2 = "z2".to_owned();
    for names in assign(500, &candidates(&nodes)) {
        assert!(names.contains(&&*nodes[0].0));
        assert_eq!(names.len(), MAX_CLIENT_NODES);
    }
}

proptest! {
    /// For any nodes in any order, no node is assigned twice, and none of another region while the
    /// client's own region has one. The list is as long as possible, and independent of the order
    /// of the nodes.
    #[test]
    fn assigned_nodes_are_valid(
        locations in proptest::collection::vec((0..3_u8, 0..3_u8), 0..20),
        client in "[a-z]{0,4}",
        rotation in 0..20_usize,
    ) {
        let nodes: Vec<Node> = locations
            .iter()
            .enumerate()
            .map(|(i, (region, zone))| (format!("n{i}"), format!("r{region}"), format!("z{zone}")))
            .collect();
        let mut candidates = candidates(&nodes);
        let assigned = nodes_for_client(&client, "r0", &candidates);
        let in_region = candidates.iter().filter(|s| s.region == "r0").count();
        let possible = if in_region > 0 { in_region } else { candidates.len() };
        prop_assert_eq!(assigned.len(), possible.min(MAX_CLIENT_NODES));
        prop_assert_eq!(assigned.iter().collect::<BTreeSet<_>>().len(), assigned.len());
        let regions = assigned.iter().map(|n| candidates.iter().find(|s| s.name == *n).unwrap().region);
        prop_assert!(in_region == 0 || regions.into_iter().all(|r| r == "r0"));
        if !candidates.is_empty() {
            let by = rotation % candidates.len();
            candidates.rotate_left(by);
        }
        prop_assert_eq!(nodes_for_client(&client, "r0", &candidates), assigned);
    }
}
