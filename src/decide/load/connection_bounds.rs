//! The most connections that the listeners of an entry node accept.
//!
//! Load pattern: clients that reconnect all at once, or never close. A machine that runs out of
//! descriptors accepts nothing and opens no connections to replicas, peers and the store either, so
//! that it loses its lease. A bound below that refuses some connections and serves the others.

use super::{MemoryUse, NodeCapacity, RESERVED_DESCRIPTORS};

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

/// The most that other nodes may open, in percent of the descriptors. Each opens one.
const PEER_PERCENT: usize = 25;
/// The parts of the memory for connections, in percent, in the same order.
const CLIENT_MEMORY_PERCENT: usize = 60;
const ADDRESS_MEMORY_PERCENT: usize = 12;
const STATUS_MEMORY_PERCENT: usize = 4;
const PEER_MEMORY_PERCENT: usize = 20;
/// The memory of a client's connection with the first buffer of the HTTP library and its task, in
/// bytes.
const CONNECTION_BYTES: usize = 16 << 10;
/// The connections of other nodes that are accepted whatever the memory: each node of the planned fleet
/// opens one.
const MIN_PEERS: usize = 400;
/// The part of a listener's memory for the heads that are larger than that, as a divisor.
const HEAD_DIVISOR: usize = 4;

/// The most open connections of each listener, and the memory for large heads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Of clients.
    pub clients: usize,
    /// Of clients that ask for addresses.
    pub addresses: usize,
    /// For readiness checks, and for metrics.
    pub status: usize,
    /// Of other nodes.
    pub peers: usize,
    /// For the heads of clients, in bytes; none if the memory is unknown.
    pub client_heads: Option<usize>,
    /// For the heads of clients that ask for addresses.
    pub address_heads: Option<usize>,
    /// For the heads of readiness checks, and for those of requests for metrics.
    pub status_heads: Option<usize>,
}

impl ConnectionBounds {
    /// The bounds on a machine. What is left of its descriptors is for connections to replicas,
    /// peers and the store.
    pub fn new(capacity: &NodeCapacity) -> Self {
        let memory = MemoryUse::connection_limit(capacity);
        let part = |percent: usize| memory.map(|memory| memory / 100 * percent);
        let heads = |percent: usize| part(percent).map(|part| part / HEAD_DIVISOR);
        let by_memory = |percent: usize, each: usize| {
            let open = part(percent).zip(heads(percent)).map(|(part, heads)| part - heads);
            open.map_or(usize::MAX, |open| (open / each).max(1))
        };
        let descriptors = |percent: usize| match capacity.descriptors {
            None => DEFAULT_CONNECTIONS,
            Some(all) => {
                let usable = all.saturating_sub(RESERVED_DESCRIPTORS) as usize;
                (usable * percent / 100).max(1)
            }
        };
        let status = match capacity.descriptors {
            None => DEFAULT_CONNECTIONS,
            Some(_) => descriptors(STATUS_PERCENT).min(MAX_STATUS_CONNECTIONS),
        };
        Self {
            clients: descriptors(CLIENT_PERCENT)
                .min(by_memory(CLIENT_MEMORY_PERCENT, CONNECTION_BYTES)),
            addresses: descriptors(ADDRESS_PERCENT)
                .min(by_memory(ADDRESS_MEMORY_PERCENT, CONNECTION_BYTES)),
            status: status.min(by_memory(STATUS_MEMORY_PERCENT, CONNECTION_BYTES)),
            peers: descriptors(PEER_PERCENT)
                .min(by_memory(PEER_MEMORY_PERCENT, CONNECTION_BYTES).max(MIN_PEERS)),
            client_heads: heads(CLIENT_MEMORY_PERCENT),
            address_heads: heads(ADDRESS_MEMORY_PERCENT),
            status_heads: heads(STATUS_MEMORY_PERCENT),
        }
    }
}
