//! Subsets of upstreams stay even, and move little, as nodes and upstreams come and go.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};

use mulberrycourse::decide::subset;

const SIZE: usize = 32;

fn names(kind: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{kind}{i}")).collect()
}

fn pairs(nodes: &[String], upstreams: &[String]) -> HashSet<(String, String)> {
    let all: Vec<&str> = nodes.iter().map(String::as_str).collect();
    let ups: Vec<&str> = upstreams.iter().map(String::as_str).collect();
    all.iter()
        .flat_map(|node| {
            let chosen = subset(node, &all, &ups, SIZE);
            assert_eq!(chosen.len(), SIZE.min(ups.len()));
            chosen.into_iter().map(|u| ((*node).to_owned(), u.to_owned()))
        })
        .collect()
}

fn spread(pairs: &HashSet<(String, String)>, upstreams: &[String]) -> (usize, usize) {
    let mut counts: HashMap<&str, usize> = upstreams.iter().map(|u| (u.as_str(), 0)).collect();
    pairs.iter().for_each(|(_, u)| *counts.get_mut(u.as_str()).unwrap() += 1);
    (*counts.values().min().unwrap(), *counts.values().max().unwrap())
}

/// No upstream has more than its part of the nodes, and none is left alone.
#[test]
fn even() {
    for (n, u) in [(38, 110), (40, 110), (38, 97), (95, 275)] {
        let (nodes, upstreams) = (names("n", n), names("u", u));
        let (least, most) = spread(&pairs(&nodes, &upstreams), &upstreams);
        let part = (n * SIZE).div_ceil(u);
        assert!(most <= part, "{n} nodes, {u} upstreams: {most} of {part}");
        assert!(least * 2 >= part, "{n} nodes, {u} upstreams: {least} of {part}");
    }
}

/// A node that goes takes its own pairs with it and moves few of the others.
#[test]
fn a_node_goes() {
    let (nodes, upstreams) = (names("n", 95), names("u", 275));
    let before = pairs(&nodes, &upstreams);
    let after = pairs(&nodes[1..], &upstreams);
    let moved = before.iter().filter(|p| p.0 != nodes[0] && !after.contains(*p)).count();
    assert!(moved * 5 <= before.len(), "{moved} of {}", before.len());
}

/// So does an upstream.
#[test]
fn an_upstream_goes() {
    let (nodes, upstreams) = (names("n", 95), names("u", 275));
    let before = pairs(&nodes, &upstreams);
    let after = pairs(&nodes, &upstreams[1..]);
    let moved = before.iter().filter(|p| p.1 != upstreams[0] && !after.contains(*p)).count();
    assert!(moved * 5 <= before.len(), "{moved} of {}", before.len());
}

/// A small fleet is used whole.
#[test]
fn small_fleet() {
    assert_eq!(subset("a", &["a", "b"], &["u", "v", "w"], SIZE), ["u", "v", "w"]);
}
