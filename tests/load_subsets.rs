//! Tests that subsets of upstreams are even, and change little when nodes or upstreams are removed.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};

use mulberrycourse::decide::subset;

/// The number of upstreams that a node uses.
const SUBSET_SIZE: usize = 32;

fn names(kind: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{kind}{i}")).collect()
}

/// Returns each node with each upstream of its subset.
fn pairs(nodes: &[String], upstreams: &[String]) -> HashSet<(String, String)> {
    let node_names: Vec<&str> = nodes.iter().map(String::as_str).collect();
    let upstream_names: Vec<&str> = upstreams.iter().map(String::as_str).collect();
    node_names
        .iter()
        .flat_map(|node| {
            let chosen = subset(node, &node_names, &upstream_names, SUBSET_SIZE);
            assert_eq!(chosen.len(), SUBSET_SIZE.min(upstream_names.len()));
            chosen.into_iter().map(|u| ((*node).to_owned(), u.to_owned()))
        })
        .collect()
}

/// Returns the smallest and the largest number of nodes that an upstream has.
fn node_counts(pairs: &HashSet<(String, String)>, upstreams: &[String]) -> (usize, usize) {
    let mut counts: HashMap<&str, usize> = upstreams.iter().map(|u| (u.as_str(), 0)).collect();
    pairs.iter().for_each(|(_, u)| *counts.get_mut(u.as_str()).unwrap() += 1);
    (*counts.values().min().unwrap(), *counts.values().max().unwrap())
}

/// No upstream has more than its share of the nodes, and none has less than half of it.
#[test]
fn subsets_are_even() {
    for (n, u) in [(38, 110), (40, 110), (38, 97), (95, 275)] {
        let (nodes, upstreams) = (names("n", n), names("u", u));
        let (least, most) = node_counts(&pairs(&nodes, &upstreams), &upstreams);
        let share = (n * SUBSET_SIZE).div_ceil(u);
        assert!(most <= share, "{n} nodes, {u} upstreams: {most} of {share}");
        assert!(least * 2 >= share, "{n} nodes, {u} upstreams: {least} of {share}");
    }
}

/// Removing a node removes its own pairs and changes few of the others.
#[test]
fn removing_a_node_changes_little() {
    let (nodes, upstreams) = (names("n", 95), names("u", 275));
    let before = pairs(&nodes, &upstreams);
    let after = pairs(&nodes[1..], &upstreams);
    let moved = before.iter().filter(|p| p.0 != nodes[0] && !after.contains(*p)).count();
    assert!(moved * 5 <= before.len(), "{moved} of {}", before.len());
}

/// Removing an upstream changes few of the other pairs.
#[test]
fn removing_an_upstream_changes_little() {
    let (nodes, upstreams) = (names("n", 95), names("u", 275));
    let before = pairs(&nodes, &upstreams);
    let after = pairs(&nodes, &upstreams[1..]);
    let moved = before.iter().filter(|p| p.1 != upstreams[0] && !after.contains(*p)).count();
    assert!(moved * 5 <= before.len(), "{moved} of {}", before.len());
}

/// A node of a small fleet uses all upstreams.
#[test]
fn small_fleet_is_not_divided() {
    assert_eq!(subset("a", &["a", "b"], &["u", "v", "w"], SUBSET_SIZE), ["u", "v", "w"]);
}
