//! Consistent hashing: the upstream that a prompt prefix is sent to.
//!
//! Load pattern: engines cache few prefixes, so requests with the same prefix are cheap only
//! at the engine that saw it last. A lookup costs the logarithm of the subset, and an
//! upstream that is added or removed moves only its own prefixes.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of one upstream on the ring: evens out its share to about a quarter (the relative
/// spread is one over the root of this).
const POINTS_PER_UPSTREAM: u64 = 16;

/// A hash ring of upstreams.
#[derive(Debug, Clone)]
pub struct HashRing<K> {
    points: BTreeMap<u64, K>,
}

impl<K: Copy + PartialEq> Default for HashRing<K> {
    fn default() -> Self {
        Self { points: BTreeMap::new() }
    }
}

impl<K: Copy + PartialEq> HashRing<K> {
    /// Adds an upstream.
    pub fn insert(&mut self, name: &str, key: K) {
        for point in 0..POINTS_PER_UPSTREAM {
            self.points.insert(xxh3_64_with_seed(name.as_bytes(), point), key);
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, name: &str, key: K) {
        for point in 0..POINTS_PER_UPSTREAM {
            let hash = xxh3_64_with_seed(name.as_bytes(), point);
            if self.points.get(&hash) == Some(&key) {
                self.points.remove(&hash);
            }
        }
    }

    /// The upstream of a prefix hash, followed by its successors on the ring. An upstream
    /// occurs once for each of its points.
    pub fn successors(&self, prefix: u64) -> impl Iterator<Item = K> + '_ {
        self.points.range(prefix..).chain(self.points.range(..prefix)).map(|(_, key)| *key)
    }
}
