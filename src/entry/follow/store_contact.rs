//! When the store last answered this node.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

/// When the last call was sent that the store has answered directly. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct StoreContact(Arc<Mutex<Option<Instant>>>);

impl StoreContact {
    /// Records that a call sent at `sent` was answered.
    pub fn record(&self, sent: Instant) {
        let mut last = self.0.lock();
        *last = (*last).max(Some(sent));
    }

    /// Returns when that call was sent. None before the first answer.
    pub fn last(&self) -> Option<Instant> {
        *self.0.lock()
    }
}
