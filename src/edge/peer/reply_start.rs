//! Whether the reply to a request has begun to arrive.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Set once a reply begins to arrive, so that the sender of the request can tell a node that is
/// silent from a long reply. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct ReplyStart(Arc<AtomicBool>);

impl ReplyStart {
    /// Records that the reply has begun.
    pub fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the reply has begun.
    pub fn has_begun(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
