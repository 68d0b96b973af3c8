//! Items ordered by deadline.
//!
//! Load pattern: thousands of requests wait while a timer checks 50 times a second which of
//! them have expired. A scan costs the whole backlog each time, just when the node is
//! overloaded; here a tick costs as much as there are expired items, and an insertion the
//! logarithm of the backlog.

use std::collections::BTreeSet;

use crate::Moment;

/// A set of items ordered by deadline.
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

    /// Removes an item; does nothing if it is not in the set.
    pub fn remove(&mut self, deadline: Moment, item: T) {
        self.order.remove(&(deadline, item));
    }

    /// Removes and returns the item with the earliest deadline, if that has passed.
    pub fn pop_due(&mut self, now: Moment) -> Option<T> {
        let (deadline, item) = *self.order.first()?;
        if deadline > now {
            return None;
        }
        self.order.pop_first();
        Some(item)
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
