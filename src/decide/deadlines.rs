//! What waits, in the order of its deadlines.
//!
//! Load pattern: thousands of requests wait while a timer asks 50 times a second which
//! are over. A scan costs the whole backlog each time, just when the node is full; here a
//! tick costs the ones that are over, and an insertion the logarithm of the backlog.

use std::collections::BTreeSet;

use crate::Moment;

/// An ordered set of deadlines.
#[derive(Debug, Clone)]
pub struct Deadlines<T> {
    order: BTreeSet<(Moment, T)>,
}

impl<T: Ord + Copy> Default for Deadlines<T> {
    fn default() -> Self {
        Self { order: BTreeSet::new() }
    }
}

impl<T: Ord + Copy> Deadlines<T> {
    /// Adds an item.
    pub fn insert(&mut self, deadline: Moment, item: T) {
        self.order.insert((deadline, item));
    }

    /// Takes an item out; nothing happens if it is not there.
    pub fn remove(&mut self, deadline: Moment, item: T) {
        self.order.remove(&(deadline, item));
    }

    /// Takes the next item whose deadline has passed.
    pub fn due(&mut self, now: Moment) -> Option<T> {
        let (deadline, item) = *self.order.first()?;
        if deadline > now {
            return None;
        }
        self.order.pop_first();
        Some(item)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
