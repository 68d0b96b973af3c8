//! Tests of comparing what is known with a new list.

use std::cell::Cell;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

use mulberrycourse::decide::unlisted;

thread_local! {
    static COMPARISONS: Cell<u64> = const { Cell::new(0) };
}

/// A key that counts how often keys are compared.
#[derive(Debug, Clone, Copy)]
struct Key(u32);

impl PartialEq for Key {
    fn eq(&self, other: &Self) -> bool {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0 == other.0
    }
}

impl Eq for Key {}

impl Hash for Key {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Guards against comparing each known replica with each listed one: a hundred million comparisons
/// with 10,000 replicas, at every node, each time its list is replaced.
#[test]
fn comparisons_grow_as_the_list() {
    for count in [1_000, 10_000] {
        let listed: HashSet<Key> = (0..count).filter(|i| i % 10 > 0).map(Key).collect();
        let known: Vec<Key> = (0..count).map(Key).collect();
        COMPARISONS.set(0);
        let missing = unlisted(known, &listed);
        assert_eq!(missing.len(), count as usize / 10);
        let comparisons = COMPARISONS.get();
        assert!(comparisons <= 2 * u64::from(count), "{comparisons} for {count} keys");
    }
}
