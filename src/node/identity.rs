//! Where a node is bound, and since when.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// What is known once the listeners are bound.
#[derive(Debug, Clone, Copy)]
pub(super) struct Identity {
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    /// Milliseconds since 1970 at the start: grows with each start.
    pub(super) incarnation: u64,
}

impl Identity {
    pub(super) fn new(callers: SocketAddr, peers: SocketAddr) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { callers, peers, incarnation: since.as_millis() as u64 }
    }
}
