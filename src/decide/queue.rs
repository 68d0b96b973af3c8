//! The waiting requests of one service.

use std::collections::VecDeque;

use super::Class;

/// Two first-in-first-out queues, live before training.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    live: VecDeque<T>,
    training: VecDeque<T>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { live: VecDeque::new(), training: VecDeque::new() }
    }
}

impl<T: Copy + PartialEq> Queue<T> {
    /// Adds a request at the end of its class.
    pub fn push(&mut self, class: Class, item: T) {
        self.of(class).push_back(item);
    }

    /// Puts a request back in front of its class.
    pub fn push_front(&mut self, class: Class, item: T) {
        self.of(class).push_front(item);
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<T> {
        self.live.pop_front().or_else(|| self.training.pop_front())
    }

    /// Takes a request out, wherever it is.
    pub fn remove(&mut self, item: T) {
        self.live.retain(|i| *i != item);
        self.training.retain(|i| *i != item);
    }

    /// How many wait in a class.
    pub fn len(&self, class: Class) -> usize {
        match class {
            Class::Live => self.live.len(),
            Class::Training => self.training.len(),
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.training.is_empty()
    }

    fn of(&mut self, class: Class) -> &mut VecDeque<T> {
        match class {
            Class::Live => &mut self.live,
            Class::Training => &mut self.training,
        }
    }
}
