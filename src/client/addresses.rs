//! Which nodes to use: asked for, kept for a while, and asked for again.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Name;
use crate::edge::http::{JsonClient, JsonClientError};
use crate::node::Addresses;

/// How long a node may take to answer.
const LIMIT: Duration = Duration::from_secs(2);
/// How long a node that did not do comes last: past the time in which all nodes
/// hear that one has gone.
const AVOID: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Answer {
    addresses: Vec<SocketAddr>,
    until: Option<Instant>,
    next: usize,
    /// All that the last answer named, also those that failed since: whom to ask next.
    heard: Vec<SocketAddr>,
    /// Nodes that did not do, and when.
    failed: Vec<(SocketAddr, Instant)>,
}

impl Answer {
    /// Puts the nodes that did not do lately behind the others: a node that was asked
    /// may not have heard yet that another leaves.
    fn take(&mut self, mut addresses: Vec<SocketAddr>, ttl: Duration) {
        let now = Instant::now();
        self.failed.retain(|(_, at)| now - *at < AVOID);
        addresses.sort_by_key(|a| self.failed.iter().any(|(failed, _)| failed == a));
        self.heard.clone_from(&addresses);
        self.addresses = addresses;
        self.until = Some(now + ttl);
        self.next = 0;
    }
}

/// The addresses that the service gave.
#[derive(Debug)]
pub struct AddressBook {
    seeds: Vec<SocketAddr>,
    fetch: JsonClient,
    answer: Mutex<Answer>,
    /// The trainer whose steps are pulled: its home comes first in the answer.
    trainer: Option<Name>,
    /// Tells this client from others behind the same address.
    client: u64,
}

impl AddressBook {
    /// A book that asks one of `seeds` first.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            fetch: JsonClient::default(),
            answer: Mutex::default(),
            trainer: None,
            client: rand::random(),
        }
    }

    /// A book that stays with the home of a trainer's steps, and goes down the
    /// order of the answer only when a node does not do.
    pub fn for_trainer(seeds: Vec<SocketAddr>, trainer: Name) -> Self {
        Self { trainer: Some(trainer), ..Self::new(seeds) }
    }

    /// An address to use now; `None` if no node answers.
    pub async fn next_address(&self) -> Option<SocketAddr> {
        if let Some(address) = self.kept() {
            return Some(address);
        }
        for node in self.known() {
            if let Ok(addresses) = self.ask(node).await {
                self.update(addresses);
                return self.answer.lock().addresses.first().copied();
            }
        }
        None
    }

    /// Takes an answer, also one that came unasked from a node that lets a stream go.
    pub fn update(&self, addresses: Addresses) {
        let ttl = Duration::from_millis(addresses.ttl_ms);
        self.answer.lock().take(addresses.addresses, ttl);
    }

    /// The address did not do: the next one is used, or asked for.
    pub fn mark_failed(&self, address: SocketAddr) {
        let mut answer = self.answer.lock();
        answer.failed.push((address, Instant::now()));
        answer.addresses.retain(|a| *a != address);
        if answer.addresses.is_empty() {
            answer.until = None;
        }
    }

    fn kept(&self) -> Option<SocketAddr> {
        let mut answer = self.answer.lock();
        if answer.until.is_none_or(|until| until <= Instant::now()) {
            return None;
        }
        if self.trainer.is_some() {
            return answer.addresses.first().copied();
        }
        let count = answer.addresses.len().max(1);
        answer.next = (answer.next + 1) % count;
        answer.addresses.get(answer.next).copied()
    }

    fn known(&self) -> Vec<SocketAddr> {
        let answer = self.answer.lock();
        let mut known = answer.addresses.clone();
        known.extend(answer.heard.iter().filter(|a| !answer.addresses.contains(a)));
        known.extend(&self.seeds);
        known
    }

    async fn ask(&self, node: SocketAddr) -> Result<Addresses, JsonClientError> {
        let path = match &self.trainer {
            Some(trainer) => format!("/v1/addresses?trainer={trainer}"),
            None => format!("/v1/addresses?client={:016x}", self.client),
        };
        self.fetch.get(node, &path, LIMIT).await
    }
}
