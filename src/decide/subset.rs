//! Which upstreams a node uses when there are very many.
//!
//! Load pattern: at 380 nodes and 1,100 upstreams, connections, load reports and estimates for all
//! pairs cost more than the requests. A random subset leaves some upstreams with
//! several times the nodes of others. Here each node in turn takes the upstreams that it
//! ranks highest (rendezvous hashing), passing over those that have their part of the nodes
//! already, so that the parts stay even; a node or upstream that comes or goes
//! changes little else. Nodes with the same lists agree without a message.

use super::score;

/// The subset of the node `own`. `nodes` holds its own name too.
pub fn subset<'a>(own: &str, nodes: &[&str], upstreams: &[&'a str], size: usize) -> Vec<&'a str> {
    if upstreams.len() <= size {
        return upstreams.to_vec();
    }
    let mut taken = vec![0_usize; upstreams.len()];
    // A fixed order that has nothing to do with the names' own.
    let mut order: Vec<(u64, &str)> = nodes.iter().map(|n| (score("order", n), *n)).collect();
    order.sort_unstable();
    for (place, (_, node)) in order.into_iter().enumerate() {
        // The part so far, not that of all nodes: else the last ones get what is left over.
        let most = ((place + 1) * size).div_ceil(upstreams.len());
        let chosen = choose(node, upstreams, &taken, most, size);
        if node == own {
            return chosen.into_iter().map(|i| upstreams[i]).collect();
        }
        chosen.into_iter().for_each(|i| taken[i] += 1);
    }
    Vec::new()
}

fn choose(node: &str, upstreams: &[&str], taken: &[usize], most: usize, size: usize) -> Vec<usize> {
    let mut ranked: Vec<(bool, u64, usize)> = upstreams
        .iter()
        .enumerate()
        .map(|(i, upstream)| (taken[i] < most, score(node, upstream), i))
        .collect();
    ranked.select_nth_unstable_by(size, |a, b| b.cmp(a));
    ranked.truncate(size);
    ranked.into_iter().map(|(.., i)| i).collect()
}
