//! Rendezvous hashing: the owner of a key.
//!
//! Every node ranks all nodes for a key by a hash of both; the highest is the owner. When
//! a node leaves, only its own keys move, spread over the others.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The score of `node` for `key`; the node with the highest score is the owner.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// The nodes by descending score for `key`, the owner first. Ties are ordered by name.
pub fn rendezvous_rank<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        nodes.into_iter().map(|n| (rendezvous_score(key, n), n)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}
