//! The subset of the upstreams that a node uses, where there are very many.
//!
//! Load pattern: at 380 nodes and 1,100 upstreams, connections, load reports and estimates for
//! all pairs cost more than the requests. A random subset leaves some upstreams with several
//! times the nodes of others. Here each node in turn takes the upstreams that it ranks
//! highest (rendezvous hashing), skipping those that already have their share of the nodes,
//! so that the shares stay even; a node or upstream that is added or removed changes little
//! else. Nodes with the same lists agree without a message.

use super::rendezvous_score;

/// The upstreams of the node `own`, at most `size`. `nodes` contains `own` too.
pub fn subset<'a>(own: &str, nodes: &[&str], upstreams: &[&'a str], size: usize) -> Vec<&'a str> {
    if upstreams.len() <= size {
        return upstreams.to_vec();
    }
    let mut node_counts = vec![0_usize; upstreams.len()];
    // A fixed order that does not depend on the order of the names.
    let mut order: Vec<(u64, &str)> =
        nodes.iter().map(|n| (rendezvous_score("order", n), *n)).collect();
    order.sort_unstable();
    for (position, (_, node)) in order.into_iter().enumerate() {
        // The share for the nodes so far, not for all: otherwise the last nodes would get
        // only what the others left.
        let share = ((position + 1) * size).div_ceil(upstreams.len());
        let chosen = choose(node, upstreams, &node_counts, share, size);
        if node == own {
            return chosen.into_iter().map(|i| upstreams[i]).collect();
        }
        chosen.into_iter().for_each(|i| node_counts[i] += 1);
    }
    Vec::new()
}

/// Indices of the `size` upstreams that `node` ranks highest; those with at least `share`
/// nodes come last.
fn choose(
    node: &str,
    upstreams: &[&str],
    node_counts: &[usize],
    share: usize,
    size: usize,
) -> Vec<usize> {
    let mut ranked: Vec<(bool, u64, usize)> = upstreams
        .iter()
        .enumerate()
        .map(|(i, upstream)| (node_counts[i] < share, rendezvous_score(node, upstream), i))
        .collect();
    ranked.select_nth_unstable_by(size, |a, b| b.cmp(a));
    ranked.truncate(size);
    ranked.into_iter().map(|(.., i)| i).collect()
}
