//! The other nodes as this one knows them: the member table behind a lock.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::identity::Identity;
use crate::decide::members::{Gossip, GossipEffect, Liveness, MemberRecord, NodeState};
use crate::decide::rendezvous_score;
use crate::edge::peer::{NodeInfo, NodeLocation};
use crate::settings::NodeSettings;
use crate::{Moment, Name};

type MemberTable = crate::decide::members::MemberTable<NodeLocation>;

/// A node to exchange gossip with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GossipTarget {
    /// The name of the node. `None` for a seed from the settings.
    pub(super) name: Option<Name>,
    /// The address that the node listens on for peers.
    pub(super) address: SocketAddr,
}

/// The member table of this node.
#[derive(Debug)]
pub(super) struct Members {
    table: Mutex<MemberTable>,
    /// Notified when a change has to be sent to peers at once.
    urgent_change: Notify,
}

impl Members {
    /// Creates a table that contains only this node.
    pub(super) fn new(node: &NodeSettings, identity: &Identity) -> Self {
        let own = MemberRecord {
            name: node.name.clone(),
            incarnation: identity.incarnation,
            state: NodeState::Starting,
            heartbeat: 0,
            bundle: 0,
            suspected: false,
            contact: NodeLocation {
                region: node.region.clone(),
                zone: node.zone.clone(),
                callers: identity.client_address,
                peers: identity.peer_address,
            },
        };
        Self {
            table: Mutex::new(MemberTable::new(own, rand::random())),
            urgent_change: Notify::new(),
        }
    }

    /// Returns what this node reports about itself.
    pub(super) fn own_info(&self) -> NodeInfo {
        self.table.lock().own().into()
    }

    /// Advances the state of this node. The change is sent to peers at once.
    pub(super) fn set_state(&self, state: NodeState) {
        if self.table.lock().set_state(state) {
            self.urgent_change.notify_one();
        }
    }

    /// Records the number of this node's active bundle. The change is sent to peers at once.
    pub(super) fn set_bundle(&self, number: u64) {
        self.table.lock().set_bundle(number);
        self.urgent_change.notify_one();
    }

    /// Waits until there is a change to send to peers at once.
    pub(super) async fn wait_for_urgent_change(&self) {
        self.urgent_change.notified().await;
    }

    /// Begins a gossip round.
    pub(super) fn begin_round(&self, now: Moment) {
        self.table.lock().begin_round(now);
    }

    /// Returns the nodes to send a message to in this round.
    pub(super) fn gossip_targets(&self, count: usize, now: Moment) -> Vec<GossipTarget> {
        let mut table = self.table.lock();
        let names = table.gossip_targets(count, now).into_iter();
        let target = |name: Name| {
            let address = table.get(&name)?.contact.peers;
            Some(GossipTarget { name: Some(name), address })
        };
        names.filter_map(target).collect()
    }

    /// Returns the message of a round, with the records that the receiver asked for.
    pub(super) fn next_message(&self, wanted: &[u32]) -> Gossip<NodeLocation> {
        self.table.lock().next_message(wanted)
    }

    /// Merges a received message.
    pub(super) fn receive(&self, gossip: Gossip<NodeLocation>, now: Moment) -> GossipEffect {
        let effect = self.table.lock().receive(gossip, now);
        if effect.changed {
            self.urgent_change.notify_one();
        }
        effect
    }

    /// Merges records that another node or the platform has listed.
    pub(super) fn load_records(
        &self,
        records: impl IntoIterator<Item = MemberRecord<NodeLocation>>,
        now: Moment,
    ) {
        let mut table = self.table.lock();
        for record in records {
            table.load_record(record, now);
        }
    }

    /// Records that this node failed to reach another.
    pub(super) fn report_unreachable(&self, name: &str, now: Moment) {
        if self.table.lock().report_unreachable(name, now) {
            tracing::info!(event = "node_suspected", node = name);
            self.urgent_change.notify_one();
        }
    }

    /// Returns a page of the table, for a node that joins.
    pub(super) fn page(&self, after: Option<&Name>) -> Vec<MemberRecord<NodeLocation>> {
        self.table.lock().page(after)
    }

    /// Returns the peer address of the node with this short id.
    pub(super) fn peer_address_by_id(&self, id: u32) -> Option<SocketAddr> {
        self.table.lock().find_by_id(id).map(|record| record.contact.peers)
    }

    /// Returns the other nodes that are not known to have stopped or failed.
    pub(super) fn alive(&self, now: Moment) -> Vec<NodeInfo> {
        self.table.lock().alive(now).map(NodeInfo::from).collect()
    }

    /// Returns the other nodes that serve now.
    pub(super) fn serving(&self, now: Moment) -> Vec<NodeInfo> {
        let table = self.table.lock();
        let serving = table.alive(now).filter(|record| record.state == NodeState::Serving);
        serving.map(NodeInfo::from).collect()
    }

    /// Returns the other nodes that serve now and that no node suspects to be unreachable.
    pub(super) fn serving_unsuspected(&self, now: Moment) -> Vec<NodeInfo> {
        let table = self.table.lock();
        let unsuspected = table.view(now).filter(|(record, liveness)| {
            *liveness == Liveness::Alive && record.state == NodeState::Serving
        });
        unsuspected.map(|(record, _)| NodeInfo::from(record)).collect()
    }

    /// Whether this node is among the first `count` nodes in the rendezvous ranking for a key, of
    /// the nodes that it knows to be alive.
    pub(super) fn ranks_within(&self, key: &str, count: usize, now: Moment) -> bool {
        let table = self.table.lock();
        let own = rendezvous_score(key, &table.own().name);
        let before = table.alive(now).filter(|record| rendezvous_score(key, &record.name) > own);
        before.take(count).count() < count
    }

    /// Returns the number of other nodes in the table, including failed ones.
    pub(super) fn count(&self) -> usize {
        self.table.lock().view(Moment::ZERO).count()
    }

    /// Returns the peer address of a node, even if the node is not known to be alive.
    pub(super) fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.table.lock().get(name).map(|record| record.contact.peers)
    }
}
