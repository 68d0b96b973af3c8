//! What the store says of nodes and of the holder of orders.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::keys::{HolderValue, LiveKey, NodeValue, live_key};
use crate::edge::store::{Change, KeyValue, RangeResult};
use crate::{Moment, Name};

/// How long nodes count as alive after they vanished together, by the time in which the store
/// could be heard. An outage of the store ends the leases of nodes that go on serving; they are
/// back within a renewal of its return, and can't be before.
const HOLD: Duration = Duration::from_millis(2_500);
/// Part of the nodes whose leases end within [`HOLD`] of each other in an outage of the store.
const MANY: usize = 2;

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Seen<T> {
    pub value: T,
    pub revision: u64,
}

/// The view.
#[derive(Debug, Default)]
pub(super) struct Live {
    nodes: BTreeMap<Name, NodeValue>,
    /// Nodes whose key went, and when.
    gone: HashMap<Name, (NodeValue, Moment)>,
    holder: Option<Seen<HolderValue>>,
    loaded: bool,
    /// Counts nodes whose key went.
    departures: u64,
}

impl Live {
    /// Takes over the whole prefix.
    pub(super) fn load(&mut self, page: &RangeResult, now: Moment) {
        let before = std::mem::take(&mut self.nodes);
        self.holder = None;
        for item in &page.items {
            self.put(item);
        }
        for (name, value) in before {
            if !self.nodes.contains_key(&name) {
                self.gone.insert(name, (value, now));
                self.departures += 1;
            }
        }
        self.loaded = true;
    }

    /// Takes over a change.
    pub(super) fn change(&mut self, change: &Change, now: Moment) {
        match change {
            Change::Put(item) => self.put(item),
            Change::Removed { key, .. } => match live_key(key) {
                Some(LiveKey::Node(name)) => {
                    if let Some((name, value)) = self.nodes.remove_entry(name) {
                        self.gone.insert(name, (value, now));
                        self.departures += 1;
                    }
                }
                Some(LiveKey::Holder) => {
                    self.holder = None;
                }
                None => {}
            },
        }
    }

    fn put(&mut self, item: &KeyValue) {
        let parsed = match live_key(&item.key) {
            Some(LiveKey::Node(name)) => serde_json::from_slice(&item.value).map(|value| {
                self.gone.remove(name);
                self.nodes.insert(name.into(), value);
            }),
            Some(LiveKey::Holder) => serde_json::from_slice(&item.value).map(|value| {
                self.holder = Some(Seen { value, revision: item.revision });
            }),
            None => return,
        };
        if let Err(e) = parsed {
            tracing::error!(event = "value_unreadable", key = %item.key, error = %e);
        }
    }

    /// Whether the view was ever read.
    pub(super) fn loaded(&self) -> bool {
        self.loaded
    }

    /// Where clients may connect: nodes that are alive, and those whose keys went together.
    pub(super) fn callers(&self, now: Moment) -> Vec<(Name, SocketAddr)> {
        let held = self.held_back(now);
        let nodes = self.nodes.iter().chain(held.into_iter().map(|(n, (v, _))| (n, v)));
        nodes.filter_map(|(name, value)| Some((name.clone(), value.callers?))).collect()
    }

    /// How many nodes' keys have gone so far.
    pub(super) fn departures(&self) -> u64 {
        self.departures
    }

    /// Where the nodes that have their key are asked.
    pub(super) fn peers(&self) -> BTreeMap<Name, SocketAddr> {
        let nodes = self.nodes.iter();
        nodes.filter_map(|(name, value)| Some((name.clone(), value.peers?))).collect()
    }

    /// The same, with nodes whose keys went together: who watches for others is to stay the
    /// same over an outage.
    pub(super) fn peers_around(&self, now: Moment) -> BTreeMap<Name, SocketAddr> {
        let held = self.held_back(now).into_iter().map(|(n, (v, _))| (n, v));
        let nodes = held.chain(self.nodes.iter());
        nodes.filter_map(|(name, value)| Some((name.clone(), value.peers?))).collect()
    }

    /// Where an incarnation that has its key is asked.
    pub(super) fn peer(&self, life: &str) -> Option<SocketAddr> {
        self.nodes.values().find(|v| *v.life == *life)?.peers
    }

    /// The incarnation of a node that has its key, and where it is asked.
    pub(super) fn life(&self, node: &str) -> Option<(Name, SocketAddr)> {
        let value = self.nodes.get(node)?;
        Some((value.life.clone(), value.peers?))
    }

    /// The incarnations that are alive, or whose keys went together a moment ago.
    pub(super) fn lives(&self, now: Moment) -> Vec<Name> {
        let held = self.held_back(now).into_iter().map(|(_, (value, _))| value.life.clone());
        self.nodes.values().map(|v| v.life.clone()).chain(held).collect()
    }

    /// Whether an incarnation has its key.
    pub(super) fn listed(&self, life: &str) -> bool {
        self.nodes.values().any(|v| *v.life == *life)
    }

    /// The incarnations of nodes that take clients and have their key.
    pub(super) fn able(&self) -> Vec<Name> {
        let nodes = self.nodes.values().filter(|v| v.callers.is_some());
        nodes.map(|v| v.life.clone()).collect()
    }

    fn held_back(&self, now: Moment) -> Vec<(&Name, &(NodeValue, Moment))> {
        let fresh: Vec<_> =
            self.gone.iter().filter(|(_, (_, at))| now.saturating_sub(*at) < HOLD).collect();
        let all = fresh.len() + self.nodes.len();
        if fresh.len() > 1 && fresh.len() * MANY >= all { fresh } else { Vec::new() }
    }

    /// Forgets nodes that went long ago.
    pub(super) fn forget(&mut self, now: Moment) {
        self.gone.retain(|_, (_, at)| now.saturating_sub(*at) < HOLD);
    }

    /// Who gives orders.
    pub(super) fn holder(&self) -> Option<&Seen<HolderValue>> {
        self.holder.as_ref()
    }
}
