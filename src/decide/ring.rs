//! Which upstream is home to a prompt prefix: a ring of hashes.
//!
//! Load pattern: engines keep few prefixes, so requests with the same prefix are cheap only at
//! the engine that saw it last. A lookup costs the logarithm of the subset, and an
//! upstream that goes or comes moves only its own keys.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Places of one upstream on the ring: evens out its share to about a quarter
/// (the relative spread is one over the root of this).
const PLACES: u64 = 16;

/// Keys by the hashes of their names.
#[derive(Debug, Clone)]
pub struct Ring<K> {
    places: BTreeMap<u64, K>,
}

impl<K: Copy + PartialEq> Default for Ring<K> {
    fn default() -> Self {
        Self { places: BTreeMap::new() }
    }
}

impl<K: Copy + PartialEq> Ring<K> {
    /// Adds an upstream.
    pub fn insert(&mut self, name: &str, key: K) {
        for place in 0..PLACES {
            self.places.insert(xxh3_64_with_seed(name.as_bytes(), place), key);
        }
    }

    /// Takes an upstream out.
    pub fn remove(&mut self, name: &str, key: K) {
        for place in 0..PLACES {
            let at = xxh3_64_with_seed(name.as_bytes(), place);
            if self.places.get(&at) == Some(&key) {
                self.places.remove(&at);
            }
        }
    }

    /// The home of a prefix and those after it, for a look at the first few.
    pub fn from(&self, prefix: u64) -> impl Iterator<Item = K> + '_ {
        self.places.range(prefix..).chain(self.places.range(..prefix)).map(|(_, key)| *key)
    }
}
