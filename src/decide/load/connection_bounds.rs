//! The most connections that the listeners of an entry node accept.
//!
//! Load pattern: clients that reconnect all at once, or never close. A machine that runs out of
//! descriptors accepts nothing and opens no connections to replicas, peers and the store either, so
//! that it loses its lease. A bound below that refuses some connections and serves the others.

use super::{NodeCapacity, RESERVED_DESCRIPTORS};

/// The bound of each listener if the number of descriptors is unknown: a quarter of those of the
/// smallest machine that this service was first made for.
const DEFAULT_CONNECTIONS: usize = 1_024;
/// The part of the usable descriptors for the connections of clients, in percent. Each of them may
/// need another one to a replica, so it is less than half.
const CLIENT_PERCENT: usize = 40;
/// The part for clients that ask for addresses, in percent. They close their connections at once.
const ADDRESS_PERCENT: usize = 10;
/// The part for readiness checks, and that for metrics, in percent.
const STATUS_PERCENT: usize = 4;
/// The most connections for each of these; the platform has a few at a time.
const MAX_STATUS_CONNECTIONS: usize = 64;

/// The most open connections of each listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Of clients.
    pub clients: usize,
    /// Of clients that ask for addresses.
    pub addresses: usize,
    /// For readiness checks, and for metrics.
    pub status: usize,
}

impl ConnectionBounds {
    /// The bounds on a machine. What is left of its descriptors is for connections to replicas,
    /// peers and the store.
    pub fn new(capacity: &NodeCapacity) -> Self {
        let Some(descriptors) = capacity.descriptors else {
            let all = DEFAULT_CONNECTIONS;
            return Self { clients: all, addresses: all, status: all };
        };
        let usable = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let part = |percent: usize| (usable * percent / 100).max(1);
        Self {
            clients: part(CLIENT_PERCENT),
            addresses: part(ADDRESS_PERCENT),
            status: part(STATUS_PERCENT).min(MAX_STATUS_CONNECTIONS),
        }
    }
}
