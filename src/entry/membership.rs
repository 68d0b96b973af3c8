//! The live nodes and the leader, as the store has them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::keys::{LeaderRecord, MembershipKey, NodeRecord, parse_membership_key};
use crate::decide::affinity::OwnerCandidate;
use crate::decide::load::ClientNode;
use crate::edge::store::{Change, KeyValue, RangeResult};
use crate::{Moment, Name};

/// How long nodes still count as alive after their records vanished together. Only time in
/// which the store was reachable counts: an outage of the store ends the leases of nodes that
/// keep serving, and they can register again only after the store returns, within one renewal.
const OUTAGE_RETENTION: Duration = Duration::from_millis(2_500);
/// If at least one node in this many lost its record within [`OUTAGE_RETENTION`], the cause is
/// taken to be an outage of the store.
const OUTAGE_FRACTION: usize = 2;

/// A record together with the store revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stored<T> {
    pub value: T,
    pub revision: u64,
}

/// This node's view of the keys under the membership prefix.
#[derive(Debug, Default)]
pub(super) struct Membership {
    nodes: BTreeMap<Name, NodeRecord>,
    /// The last records of nodes whose records were removed, and when that was seen.
    departed: HashMap<Name, (NodeRecord, Moment)>,
    leader: Option<Stored<LeaderRecord>>,
    loaded: bool,
    /// The number of removed node records so far.
    departures: u64,
    /// The number of changes of node records so far.
    changes: u64,
}

/// Identifies the nodes that are registered or count as alive at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NodeSet {
    changes: u64,
    retained: usize,
}

impl Membership {
    /// Replaces the view by a read of the whole prefix.
    pub(super) fn load(&mut self, page: &RangeResult, now: Moment) {
        let before = std::mem::take(&mut self.nodes);
        self.changes += 1;
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

    /// Applies a change from the watch.
    pub(super) fn apply_change(&mut self, change: &Change, now: Moment) {
        match change {
            Change::Put(item) => self.put(item),
            Change::Removed { key, .. } => match parse_membership_key(key) {
                Some(MembershipKey::Node(name)) => {
                    if let Some((name, value)) = self.nodes.remove_entry(name) {
                        self.changes += 1;
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

    /// Applies a written record. One that does not parse is logged and ignored.
    fn put(&mut self, item: &KeyValue) {
        let parsed = match parse_membership_key(&item.key) {
            Some(MembershipKey::Node(name)) => serde_json::from_slice(&item.value).map(|value| {
                log_capacity(name, &value);
                self.departed.remove(name);
                self.nodes.insert(name.into(), value);
                self.changes += 1;
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

    /// Whether the prefix was read at least once.
    pub(super) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the number of nodes that are registered, or were a short while ago.
    pub(super) fn known_count(&self) -> usize {
        self.nodes.len() + self.departed.len()
    }

    /// Identifies the present set of nodes: as long as it is the same, so are the answers about
    /// nodes. What follows from a thousand nodes is then not computed again for each question.
    pub(super) fn node_set(&self, now: Moment) -> NodeSet {
        NodeSet { changes: self.changes, retained: self.retained(now).len() }
    }

    /// The nodes that serve clients: the live ones, and those whose records vanished together in an
    /// outage of the store.
    pub(super) fn client_nodes(&self, now: Moment) -> Vec<ClientNode<SocketAddr>> {
        let retained = self.retained(now);
        let nodes = self.nodes.iter().chain(retained.into_iter().map(|(n, (v, _))| (n, v)));
        let client_node = |(name, value): (&Name, &NodeRecord)| {
            Some(ClientNode {
                name: name.clone(),
                address: value.callers?,
                zone: value.zone.clone(),
                weight: value.capacity.capacity.client_weight(),
            })
        };
        nodes.filter_map(client_node).collect()
    }

    /// The number of node records that were removed so far.
    pub(super) fn departures(&self) -> u64 {
        self.departures
    }

    /// Peer addresses by node name, of registered nodes only.
    pub(super) fn peer_addresses(&self) -> BTreeMap<Name, SocketAddr> {
        let nodes = self.nodes.iter();
        nodes.filter_map(|(name, value)| Some((name.clone(), value.peers?))).collect()
    }

    /// The nodes that may own jobs: the registered ones that other nodes can connect to.
    pub(super) fn owner_candidates(&self) -> Vec<OwnerCandidate> {
        let nodes = self.nodes.iter().filter(|(_, value)| value.peers.is_some());
        nodes
            .map(|(name, value)| OwnerCandidate {
                name: name.clone(),
                zone: value.zone.clone(),
                capacity: value.capacity.capacity,
            })
            .collect()
    }

    /// The number of registered nodes whose published capacity is not plausible.
    pub(super) fn invalid_capacity_count(&self) -> usize {
        self.nodes.values().filter(|value| value.capacity.invalid > 0).count()
    }

    /// Peer addresses by node name, including nodes whose records vanished together, so that
    /// the choice of nodes that watch the store for others does not change in an outage.
    pub(super) fn stable_peers(&self, now: Moment) -> BTreeMap<Name, SocketAddr> {
        let retained = self.retained(now).into_iter().map(|(n, (v, _))| (n, v));
        let nodes = retained.chain(self.nodes.iter());
        nodes.filter_map(|(name, value)| Some((name.clone(), value.peers?))).collect()
    }

    /// The peer address of an incarnation, if it is registered.
    pub(super) fn peer_of(&self, incarnation: &str) -> Option<SocketAddr> {
        self.nodes.values().find(|v| *v.incarnation == *incarnation)?.peers
    }

    /// The incarnation and the peer address of a node, if it is registered and has one.
    pub(super) fn incarnation_of(&self, node: &str) -> Option<(Name, SocketAddr)> {
        let value = self.nodes.get(node)?;
        Some((value.incarnation.clone(), value.peers?))
    }

    /// The incarnations that are registered, or whose records vanished together within
    /// [`OUTAGE_RETENTION`].
    pub(super) fn live_incarnations(&self, now: Moment) -> Vec<Name> {
        let retained =
            self.retained(now).into_iter().map(|(_, (value, _))| value.incarnation.clone());
        self.nodes.values().map(|v| v.incarnation.clone()).chain(retained).collect()
    }

    /// Whether an incarnation has its record in the store.
    pub(super) fn is_registered(&self, incarnation: &str) -> bool {
        self.nodes.values().any(|v| *v.incarnation == *incarnation)
    }

    /// The incarnations of registered nodes that serve clients.
    pub(super) fn serving_incarnations(&self) -> Vec<Name> {
        let nodes = self.nodes.values().filter(|v| v.callers.is_some());
        nodes.map(|v| v.incarnation.clone()).collect()
    }

    /// The incarnations of registered nodes that serve clients and may take over the jobs of
    /// others. Machines that are too small for jobs do that only if all are.
    pub(super) fn successor_incarnations(&self) -> Vec<Name> {
        let serving = || self.nodes.values().filter(|v| v.callers.is_some());
        let large: Vec<Name> = serving()
            .filter(|v| v.capacity.capacity.may_own_jobs())
            .map(|v| v.incarnation.clone())
            .collect();
        if large.is_empty() { serving().map(|v| v.incarnation.clone()).collect() } else { large }
    }

    /// The departed nodes that still count as alive: those of the last [`OUTAGE_RETENTION`], if
    /// they are more than one and a large enough part of all nodes for an outage of the store.
    fn retained(&self, now: Moment) -> Vec<(&Name, &(NodeRecord, Moment))> {
        let fresh: Vec<_> = self
            .departed
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) < OUTAGE_RETENTION)
            .collect();
        let all = fresh.len() + self.nodes.len();
        if fresh.len() > 1 && fresh.len() * OUTAGE_FRACTION >= all { fresh } else { Vec::new() }
    }

    /// Drops departed nodes that no longer count as alive.
    pub(super) fn forget_departed(&mut self, now: Moment) {
        self.departed.retain(|_, (_, at)| now.saturating_sub(*at) < OUTAGE_RETENTION);
    }

    /// The leader's record; none if there is no leader.
    pub(super) fn leader(&self) -> Option<&Stored<LeaderRecord>> {
        self.leader.as_ref()
    }
}

/// Logs the capacity of a node whose record was written, if it published any.
fn log_capacity(name: &str, value: &NodeRecord) {
    let capacity = value.capacity.capacity;
    if value.capacity.invalid > 0 {
        let invalid = value.capacity.invalid;
        tracing::warn!(event = "node_capacity_invalid", node = %name, invalid, ?capacity);
    } else if !capacity.is_unknown() {
        tracing::info!(event = "node_capacity_received", node = %name, ?capacity);
    }
}
