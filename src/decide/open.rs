//! A set that can be drawn from at random in constant time.

use slotmap::{Key, SecondaryMap};

/// Keys in no order, each once.
#[derive(Debug, Clone)]
pub struct Open<K: Key> {
    keys: Vec<K>,
    places: SecondaryMap<K, usize>,
}

impl<K: Key> Default for Open<K> {
    fn default() -> Self {
        Self { keys: Vec::new(), places: SecondaryMap::new() }
    }
}

impl<K: Key> Open<K> {
    /// Puts a key in or takes it out.
    pub fn set(&mut self, key: K, open: bool) {
        match (open, self.places.get(key).copied()) {
            (true, None) => {
                self.places.insert(key, self.keys.len());
                self.keys.push(key);
            }
            (false, Some(place)) => {
                self.places.remove(key);
                self.keys.swap_remove(place);
                if let Some(moved) = self.keys.get(place) {
                    self.places.insert(*moved, place);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Whether a key is in it.
    pub fn contains(&self, key: K) -> bool {
        self.places.contains_key(key)
    }

    /// The key at a place below [`Open::len`].
    pub fn get(&self, place: usize) -> K {
        self.keys[place]
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
