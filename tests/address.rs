//! Which nodes clients are told to use: even, stable, mixed over zones, and without a
//! stampede when a node or a zone goes.
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

fn sites(nodes: &[Node]) -> Vec<CandidateNode<'_>> {
    nodes.iter().map(|(name, region, zone)| CandidateNode { name, region, zone }).collect()
}

/// What each of `clients` clients of the first region is told.
fn told<'a>(clients: usize, sites: &[CandidateNode<'a>]) -> Vec<Vec<&'a str>> {
    (0..clients).map(|client| nodes_for_client(&format!("c{client}"), "r0", sites)).collect()
}

/// How many clients each node has.
fn parts<'a>(told: &[Vec<&'a str>]) -> BTreeMap<&'a str, usize> {
    let mut parts = BTreeMap::new();
    told.iter().flatten().for_each(|name| *parts.entry(*name).or_default() += 1);
    parts
}

/// At the planned size no node has a third more clients than the mean, as first choice
/// or at all.
#[test]
fn clients_are_spread_evenly() {
    let nodes = nodes(380);
    let told = told(40_000, &sites(&nodes));
    let first: Vec<Vec<&str>> = told.iter().map(|names| names[..1].to_vec()).collect();
    for parts in [parts(&told), parts(&first)] {
        let mean = parts.values().sum::<usize>() as f64 / 190.0;
        assert_eq!(parts.len(), 190);
        assert!(parts.values().all(|p| (*p as f64) < 1.33 * mean), "{parts:?}");
    }
}

/// A node goes: only its clients notice, each changes that one address, and no other node
/// takes over more than a few of them.
#[test]
fn a_node_that_goes_moves_only_its_clients() {
    let nodes = nodes(380);
    let before = told(5_000, &sites(&nodes));
    let after = told(5_000, &sites(&nodes[2..]));
    let gone = &*nodes[0].0;
    let mut gained = Vec::new();
    for (before, after) in before.iter().zip(&after) {
        let kept: Vec<&str> = before.iter().copied().filter(|n| *n != gone).collect();
        assert!(after.starts_with(&kept), "{before:?} {after:?}");
        gained.push(after[kept.len()..].to_vec());
    }
    let moved: usize = gained.iter().map(Vec::len).sum();
    assert_eq!(moved, before.iter().filter(|names| names.contains(&gone)).count());
    let most = parts(&gained).into_values().max().unwrap();
    assert!(most * 20 < moved, "one node takes over {most} of {moved}");
}

/// A zone goes: the nodes of the others take over its clients evenly.
#[test]
fn a_zone_that_goes_is_taken_over_evenly() {
    let nodes = nodes(380);
    let before = told(20_000, &sites(&nodes));
    let mut left = nodes.clone();
    left.retain(|(_, _, zone)| zone != "z0");
    let after = told(20_000, &sites(&left));
    let (before, after) = (parts(&before), parts(&after));
    let grown = after.iter().map(|(name, part)| *part as f64 / before[name] as f64);
    // Three zones become two: each node has half as many clients again.
    for grown in grown {
        assert!((1.3..1.7).contains(&grown), "{grown}");
    }
}

/// All nodes that rank first are in one zone: one of another zone is among them all the same.
#[test]
fn zones_are_mixed() {
    let mut nodes = nodes(60);
    nodes.retain(|(_, region, _)| region == "r0");
    nodes.iter_mut().skip(1).for_each(|node| node.2 = "z0".to_owned());
    nodes[0].2 = "z2".to_owned();
    for names in told(500, &sites(&nodes)) {
        assert!(names.contains(&&*nodes[0].0));
        assert_eq!(names.len(), MAX_CLIENT_NODES);
    }
}

proptest! {
    /// Any nodes in any order: an answer has no node twice and none of another region while
    /// the own has one; it is as long as it can be, and the order of the list changes nothing.
    #[test]
    fn answers_are_sound(
        places in proptest::collection::vec((0..3_u8, 0..3_u8), 0..20),
        client in "[a-z]{0,4}",
        turn in 0..20_usize,
    ) {
        let nodes: Vec<Node> = places
            .iter()
            .enumerate()
            .map(|(i, (region, zone))| (format!("n{i}"), format!("r{region}"), format!("z{zone}")))
            .collect();
        let mut sites = sites(&nodes);
        let told = nodes_for_client(&client, "r0", &sites);
        let near = sites.iter().filter(|s| s.region == "r0").count();
        let possible = if near > 0 { near } else { sites.len() };
        prop_assert_eq!(told.len(), possible.min(MAX_CLIENT_NODES));
        prop_assert_eq!(told.iter().collect::<BTreeSet<_>>().len(), told.len());
        let regions = told.iter().map(|n| sites.iter().find(|s| s.name == *n).unwrap().region);
        prop_assert!(near == 0 || regions.into_iter().all(|r| r == "r0"));
        if !sites.is_empty() {
            let by = turn % sites.len();
            sites.rotate_left(by);
        }
        prop_assert_eq!(nodes_for_client(&client, "r0", &sites), told);
    }
}
