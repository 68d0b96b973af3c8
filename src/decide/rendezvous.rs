//! Rendezvous hashing: the owner of a key.
//!
//! Every node ranks all nodes for a key by a hash of both; the highest is the owner. When
//! a node leaves, only its own keys move, spread over the others. With weights, a node is the
//! owner of a part of the keys that is proportional to its weight.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The score of `node` for `key`; the node with the highest score is the owner.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Bits after the point of [`neg_log2`]. Ties of scores are resolved by the hash itself.
const LOG_BITS: u32 = 24;

/// The weighted score of a node for a key. The node with the highest score is the owner. With
/// equal weights the order is that of [`rendezvous_score`].
///
/// The score is the weight divided by the negative logarithm of the hash, as a fraction of
/// integers: floating-point logarithms differ in the last bit between processors, and every node
/// has to derive the same owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedScore {
    weight: u32,
    neg_log: u64,
    hash: u64,
}

impl WeightedScore {
    /// The score of a node of this weight for a key.
    pub fn new(key: &str, node: &str, weight: u32) -> Self {
        let hash = rendezvous_score(key, node);
        Self { weight, neg_log: neg_log2(hash), hash }
    }
}

impl Ord for WeightedScore {
    fn cmp(&self, other: &Self) -> Ordering {
        let left = u128::from(self.weight) * u128::from(other.neg_log);
        let right = u128::from(other.weight) * u128::from(self.neg_log);
        left.cmp(&right).then(self.hash.cmp(&other.hash)).then(self.weight.cmp(&other.weight))
    }
}

impl PartialOrd for WeightedScore {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The negative binary logarithm of `(hash + 1) / 2^64`, in units of `2^-LOG_BITS`, plus one so
/// that it is never zero. It never increases with the hash.
fn neg_log2(hash: u64) -> u64 {
    let Some(number) = hash.checked_add(1) else { return 1 };
    let integer = number.ilog2();
    // The mantissa is in 1..2 with 63 bits after the point. Each squaring yields one more bit of
    // the logarithm.
    let mut mantissa = number << (63 - integer);
    let mut log = u64::from(integer);
    for _ in 0..LOG_BITS {
        let square = u128::from(mantissa) * u128::from(mantissa);
        let carry = square >> 127;
        mantissa = (square >> (63 + carry)) as u64;
        log = log << 1 | carry as u64;
    }
    (64 << LOG_BITS) - log + 1
}

/// The nodes by descending score for `key`, the owner first. Ties are ordered by name.
pub fn rendezvous_rank<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        nodes.into_iter().map(|n| (rendezvous_score(key, n), n)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}
