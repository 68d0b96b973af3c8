//! The nodes that clients are given: evenly spread, stable, mixed over zones, and without a
//! rush of clients to one node when a node or a zone fails.
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

/// Returns the nodes that each of `clients` clients of the first region is given.
fn answers<'a>(clients: usize, nodes: &[CandidateNode<'a>]) -> Vec<Vec<&'a str>> {
    (0..clients).map(|client| nodes_for_client(&format!("c{client}"), "r0", nodes)).collect()
}

/// Returns how many clients each node has.
fn client_counts<'a>(answers: &[Vec<&'a str>]) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    answers.iter().flatten().for_each(|name| *counts.entry(*name).or_default() += 1);
    counts
}

/// At the planned size no node has a third more clients than the mean, neither as the first
/// choice nor in total.
#[test]
fn clients_are_spread_evenly() {
    let nodes = nodes(380);
    let answers = answers(40_000, &candidates(&nodes));
    let first: Vec<Vec<&str>> = answers.iter().map(|names| names[..1].to_vec()).collect();
    for counts in [client_counts(&answers), client_counts(&first)] {
        let mean = counts.values().sum::<usize>() as f64 / 190.0;
        assert_eq!(counts.len(), 190);
        assert!(counts.values().all(|c| (*c as f64) < 1.33 * mean), "{counts:?}");
    }
}

/// A node fails: only its clients are affected, each replaces that one address, and no other
/// node takes over more than a few of them.
#[test]
fn a_failed_node_moves_only_its_clients() {
    let nodes = nodes(380);
    let before = answers(5_000, &candidates(&nodes));
    let after = answers(5_000, &candidates(&nodes[2..]));
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
fn a_failed_zone_is_taken_over_evenly() {
    let nodes = nodes(380);
    let before = answers(20_000, &candidates(&nodes));
    let mut left = nodes.clone();
    left.retain(|(_, _, zone)| zone != "z0");
    let after = answers(20_000, &candidates(&left));
    let (before, after) = (client_counts(&before), client_counts(&after));
    let grown = after.iter().map(|(name, count)| *count as f64 / before[name] as f64);
    // Three zones become two: each node has half as many clients again.
    for grown in grown {
        assert!((1.3..1.7).contains(&grown), "{grown}");
    }
}

/// Even if all nodes that rank first are in one zone, the answer contains one of another zone.
#[test]
fn zones_are_mixed() {
    let mut nodes = nodes(60);
    nodes.retain(|(_, region, _)| region == "r0");
    nodes.iter_mut().skip(1).for_each(|node| node.2 = "z0".to_owned());
    nodes[0].2 = "z2".to_owned();
    for names in answers(500, &candidates(&nodes)) {
        assert!(names.contains(&&*nodes[0].0));
        assert_eq!(names.len(), MAX_CLIENT_NODES);
    }
}

proptest! {
    /// For any nodes in any order, an answer has no node twice and none of another region while
    /// the own region has one; it is as long as possible, and independent of the list's order.
    #[test]
    fn answers_are_valid(
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
        let answer = nodes_for_client(&client, "r0", &candidates);
        let near = candidates.iter().filter(|s| s.region == "r0").count();
        let possible = if near > 0 { near } else { candidates.len() };
        prop_assert_eq!(answer.len(), possible.min(MAX_CLIENT_NODES));
        prop_assert_eq!(answer.iter().collect::<BTreeSet<_>>().len(), answer.len());
        let regions = answer.iter().map(|n| candidates.iter().find(|s| s.name == *n).unwrap().region);
        prop_assert!(near == 0 || regions.into_iter().all(|r| r == "r0"));
        if !candidates.is_empty() {
            let by = rotation % candidates.len();
            candidates.rotate_left(by);
        }
        prop_assert_eq!(nodes_for_client(&client, "r0", &candidates), answer);
    }
}
