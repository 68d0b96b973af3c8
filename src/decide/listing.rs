//! The difference between what is known and what a new list has.

use std::collections::HashSet;
use std::hash::Hash;

/// Returns the known keys that are not listed.
///
/// Load pattern: a node replaces its list of thousands of replicas whenever changes may have been
/// missed, on a fraction of a core. Each known key is looked up once.
pub fn unlisted<K: Eq + Hash>(known: Vec<K>, listed: &HashSet<K>) -> Vec<K> {
    known.into_iter().filter(|key| !listed.contains(key)).collect()
}
