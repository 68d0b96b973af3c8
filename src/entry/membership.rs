//! What the store says of nodes and of the holder of orders.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::keys::{LeaderRecord, MembershipKey, NodeRecord, parse_membership_key};
use crate::edge::store::{Change, Item, Page};
use crate::{Moment, Name};

/// How long nodes count as alive after they vanished together, by the time in which the store
/// could be heard. An outage of the store ends the leases of nodes that go on serving; they are
/// back within a renewal of its return, and can't be before.
const OUTAGE_RETENTION: Duration = Duration::from_millis(2_500);
/// Part of the nodes whose leases end within [`OUTAGE_RETENTION`] of each other in an outage of the store.
const OUTAGE_FRACTION: usize = 2;

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stored<T> {
    pub value: T,
    pub revision: u64,
}

/// The view.
#[derive(Debug, Default)]
pub(super) struct Membership {
    nodes: BTreeMap<Name, NodeRecord>,
    /// Nodes whose key went, and when.
    departed: HashMap<Name, (NodeRecord, Moment)>,
    leader: Option<Stored<LeaderRecord>>,
    loaded: bool,
    /// Counts nodes whose key went.
    departures: u64,
}

impl Membership {
    /// Takes over the whole prefix.
    pub(super) fn load(&mut self, page: &Page, now: Moment) {
        let before = std::mem::take(&mut self.nodes);
        self.leader = None;
        for item in &page.items {
            self.put(item);
        }
        for (name, value) in before {
            if !self.nodes.contains_key(&name) {
                self.departed.insert(name, (value, now));
                self.departures += 1;
            }
        }
        self.loaded = true;
    }

    /// Takes over a change.
    pub(super) fn apply_change(&mut self, change: &Change, now: Moment) {
        match change {
            Change::Put(item) => self.put(item),
            Change::Removed { key, .. } => match parse_membership_key(key) {
                Some(MembershipKey::Node(name)) => {
                    if let Some((name, value)) = self.nodes.remove_entry(name) {
                        self.departed.insert(name, (value, now));
                        self.departures += 1;
                    }
                }
                Some(MembershipKey::Leader) => {
                    self.leader = None;
                }
                None => {}
            },
        }
    }

    fn put(&mut self, item: &Item) {
        let parsed = match parse_membership_key(&item.key) {
            Some(MembershipKey::Node(name)) => serde_json::from_slice(&item.value).map(|value| {
                self.departed.remove(name);
                self.nodes.insert(name.into(), value);
            }),
            Some(MembershipKey::Leader) => serde_json::from_slice(&item.value).map(|value| {
                self.leader = Some(Stored { value, revision: item.revision });
            }),
            None => return,
        };
        if let Err(e) = parsed {
            tracing::error!(event = "value_unreadable", key = %item.key, error = %e);
        }
    }

    /// Whether the view was ever read.
    pub(super) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Where clients may connect: nodes that are alive, and those whose keys went together.
    pub(super) fn client_addresses(&self, now: Moment) -> Vec<(Name, SocketAddr)> {
        let held = self.retained(now);
        let nodes = self.nodes.iter().chain(held.into_iter().map(|(n, (v, _))| (n, v)));
        nodes.filter_map(|(name, value)| Some((name.clone(), value.callers?))).collect()
    }

    /// How many nodes' keys have gone so far.
    pub(super) fn departures(&self) -> u64 {
        self.departures
    }

    /// Where the nodes that have their key are asked.
    pub(super) fn peer_addresses(&self) -> BTreeMap<Name, SocketAddr> {
        let nodes = self.nodes.iter();
        nodes.filter_map(|(name, value)| Some((name.clone(), value.peers?))).collect()
    }

    /// The same, with nodes whose keys went together: who watches for others is to stay the
    /// same over an outage.
    pub(super) fn stable_peers(&self, now: Moment) -> BTreeMap<Name, SocketAddr> {
        let held = self.retained(now).into_iter().map(|(n, (v, _))| (n, v));
        let nodes = held.chain(self.nodes.iter());
        nodes.filter_map(|(name, value)| Some((name.clone(), value.peers?))).collect()
    }

    /// Where an incarnation that has its key is asked.
    pub(super) fn peer_of(&self, life: &str) -> Option<SocketAddr> {
        self.nodes.values().find(|v| *v.incarnation == *life)?.peers
    }

    /// The incarnation of a node that has its key, and where it is asked.
    pub(super) fn incarnation_of(&self, node: &str) -> Option<(Name, SocketAddr)> {
        let value = self.nodes.get(node)?;
        Some((value.incarnation.clone(), value.peers?))
    }

    /// The incarnations that are alive, or whose keys went together a moment ago.
    pub(super) fn live_incarnations(&self, now: Moment) -> Vec<Name> {
        let held = self.retained(now).into_iter().map(|(_, (value, _))| value.incarnation.clone());
        self.nodes.values().map(|v| v.incarnation.clone()).chain(held).collect()
    }

    /// Whether an incarnation has its key.
    pub(super) fn is_registered(&self, life: &str) -> bool {
        self.nodes.values().any(|v| *v.incarnation == *life)
    }

    /// The incarnations of nodes that take clients and have their key.
    pub(super) fn serving_incarnations(&self) -> Vec<Name> {
        let nodes = self.nodes.values().filter(|v| v.callers.is_some());
        nodes.map(|v| v.incarnation.clone()).collect()
    }

    fn retained(&self, now: Moment) -> Vec<(&Name, &(NodeRecord, Moment))> {
        let fresh: Vec<_> = self
            .departed
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) < OUTAGE_RETENTION)
            .collect();
        let all = fresh.len() + self.nodes.len();
        if fresh.len() > 1 && fresh.len() * OUTAGE_FRACTION >= all { fresh } else { Vec::new() }
    }

    /// Forgets nodes that went long ago.
    pub(super) fn forget_departed(&mut self, now: Moment) {
        self.departed.retain(|_, (_, at)| now.saturating_sub(*at) < OUTAGE_RETENTION);
    }

    /// Who gives orders.
    pub(super) fn leader(&self) -> Option<&Stored<LeaderRecord>> {
        self.leader.as_ref()
    }
}
