//! The addresses and the incarnation of a running node.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// The addresses and the incarnation of a node, known once its listeners are bound.
#[derive(Debug, Clone, Copy)]
pub(super) struct Identity {
    pub(super) client_address: SocketAddr,
    pub(super) peer_address: SocketAddr,
    /// The start time in milliseconds since the Unix epoch. It grows with each start.
    pub(super) incarnation: u64,
}

impl Identity {
    pub(super) fn new(client_address: SocketAddr, peer_address: SocketAddr) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { client_address, peer_address, incarnation: since_epoch.as_millis() as u64 }
    }
}
