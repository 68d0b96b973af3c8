//! A cache of the node addresses that the service hands out to its clients.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Name;
use crate::edge::http::{JsonClient, JsonClientError};
use crate::node::Addresses;

/// Timeout of a request for addresses.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a failed node is sorted behind the others. It is longer than it takes until all nodes
/// know that a node has gone.
const FAILED_NODE_PENALTY: Duration = Duration::from_secs(5);

/// The state of an [`AddressBook`], from the last response.
#[derive(Debug, Default)]
struct CachedAddresses {
    /// The addresses of the last response that have not failed since.
    addresses: Vec<SocketAddr>,
    /// When the addresses expire; none if they have to be requested.
    expires_at: Option<Instant>,
    /// The index of the address that was handed out last.
    last_index: usize,
    /// All addresses of the last response, also those that failed since; they are asked for new
    /// addresses.
    received: Vec<SocketAddr>,
    /// Nodes that failed, and when.
    failed: Vec<(SocketAddr, Instant)>,
}

impl CachedAddresses {
    /// Replaces the addresses. Nodes that failed recently are sorted behind the others, because the
    /// node that answered may not know yet that another one is leaving.
    fn replace(&mut self, mut addresses: Vec<SocketAddr>, ttl: Duration) {
        let now = Instant::now();
        self.failed.retain(|(_, at)| now - *at < FAILED_NODE_PENALTY);
        addresses.sort_by_key(|a| self.failed.iter().any(|(failed, _)| failed == a));
        self.received.clone_from(&addresses);
        self.addresses = addresses;
        self.expires_at = Some(now + ttl);
        self.last_index = 0;
    }
}

/// Chooses which node a client uses, from addresses that the nodes hand out.
#[derive(Debug)]
pub struct AddressBook {
    seeds: Vec<SocketAddr>,
    http: JsonClient,
    cached: Mutex<CachedAddresses>,
    /// The trainer whose steps are pulled; the owner of its steps comes first in the response.
    trainer: Option<Name>,
    /// A random id that distinguishes this client from others with the same network address.
    client: u64,
}

impl AddressBook {
    /// Creates an address book that asks `seeds` for the first addresses. Requests are spread over
    /// all addresses in turn.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            http: JsonClient::default(),
            cached: Mutex::default(),
            trainer: None,
            client: rand::random(),
        }
    }

    /// Creates an address book that stays with the owner of a trainer's steps, and uses the next
    /// address of the response only when a node fails.
    pub fn for_trainer(seeds: Vec<SocketAddr>, trainer: Name) -> Self {
        Self { trainer: Some(trainer), ..Self::new(seeds) }
    }

    /// Returns the address to use next, and requests new addresses if the cached ones have expired;
    /// `None` if no node answers.
    pub async fn next_address(&self) -> Option<SocketAddr> {
        if let Some(address) = self.next_cached() {
            return Some(address);
        }
        for node in self.nodes_to_ask() {
            if let Ok(addresses) = self.request_addresses(node).await {
                self.update(addresses);
                return self.cached.lock().addresses.first().copied();
            }
        }
        None
    }

    /// Replaces the cached addresses, by a response or by those that a node sends when it moves a
    /// stream away.
    pub fn update(&self, addresses: Addresses) {
        let ttl = Duration::from_millis(addresses.ttl_ms);
        self.cached.lock().replace(addresses.addresses, ttl);
    }

    /// Records that a node failed. The next address is used, or new ones are requested.
    pub fn mark_failed(&self, address: SocketAddr) {
        let mut cached = self.cached.lock();
        cached.failed.push((address, Instant::now()));
        cached.addresses.retain(|a| *a != address);
        if cached.addresses.is_empty() {
            cached.expires_at = None;
        }
    }

    /// Returns the next cached address; `None` if the addresses have expired.
    fn next_cached(&self) -> Option<SocketAddr> {
        let mut cached = self.cached.lock();
        if cached.expires_at.is_none_or(|at| at <= Instant::now()) {
            return None;
        }
        if self.trainer.is_some() {
            return cached.addresses.first().copied();
        }
        let count = cached.addresses.len().max(1);
        cached.last_index = (cached.last_index + 1) % count;
        cached.addresses.get(cached.last_index).copied()
    }

    /// Returns the nodes to ask for addresses: the usable ones, those that failed, then the seeds.
    fn nodes_to_ask(&self) -> Vec<SocketAddr> {
        let cached = self.cached.lock();
        let mut known = cached.addresses.clone();
        known.extend(cached.received.iter().filter(|a| !cached.addresses.contains(a)));
        known.extend(&self.seeds);
        known
    }

    async fn request_addresses(&self, node: SocketAddr) -> Result<Addresses, JsonClientError> {
        let path = match &self.trainer {
            Some(trainer) => format!("/v1/addresses?trainer={trainer}"),
            None => format!("/v1/addresses?client={:016x}", self.client),
        };
        self.http.get(node, &path, REQUEST_TIMEOUT).await
    }
}
