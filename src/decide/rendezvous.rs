//! Rendezvous hashing: which node is home to a key.
//!
//! Every node ranks all nodes for a key by a hash of both; the highest is the
//! home. When a node goes, only its own keys move, spread over the others.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The score of `node` for `key`; the highest score is the home.
pub fn score(key: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// The nodes from the home downwards. Ties go by name.
pub fn rank<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = nodes.into_iter().map(|n| (score(key, n), n)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}
