//! A set from which a random element can be picked in constant time.

use slotmap::{Key, SecondaryMap};

/// An unordered set of slot map keys with access by index.
#[derive(Debug, Clone)]
pub struct IndexedSet<K: Key> {
    keys: Vec<K>,
    /// The index of each key in `keys`.
    indices: SecondaryMap<K, usize>,
}

impl<K: Key> Default for IndexedSet<K> {
    fn default() -> Self {
        Self { keys: Vec::new(), indices: SecondaryMap::new() }
    }
}

impl<K: Key> IndexedSet<K> {
    /// Inserts or removes a key.
    pub fn set(&mut self, key: K, included: bool) {
        match (included, self.indices.get(key).copied()) {
            (true, None) => {
                self.indices.insert(key, self.keys.len());
                self.keys.push(key);
            }
            (false, Some(index)) => {
                self.indices.remove(key);
                self.keys.swap_remove(index);
                if let Some(moved) = self.keys.get(index) {
                    self.indices.insert(*moved, index);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Whether the set contains a key.
    pub fn contains(&self, key: K) -> bool {
        self.indices.contains_key(key)
    }

    /// The key at an index, which must be below [`IndexedSet::len`].
    pub fn get(&self, index: usize) -> K {
        self.keys[index]
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
