//! The other nodes, as this one sees them: the table of the decisions behind a lock.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::identity::Identity;
use crate::decide::members::{Gossip, GossipEffect, Liveness, MemberRecord, NodeState};
use crate::decide::rendezvous_score;
use crate::edge::peer::{NodeInfo, NodeLocation};
use crate::settings::NodeSettings;
use crate::{Moment, Name};

type Table = crate::decide::members::MemberTable<NodeLocation>;

/// A node to talk to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    /// Its name; `None` for a seed of the settings.
    pub(super) name: Option<Name>,
    /// Where it listens for peers.
    pub(super) address: SocketAddr,
}

/// The other nodes by name.
#[derive(Debug)]
pub(super) struct Members {
    table: Mutex<Table>,
    urgent: Notify,
}

impl Members {
    /// A table that knows only its own node.
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
                callers: identity.callers,
                peers: identity.peers,
            },
        };
        Self { table: Mutex::new(Table::new(own, rand::random())), urgent: Notify::new() }
    }

    /// What this node says of itself.
    pub(super) fn own(&self) -> NodeInfo {
        self.table.lock().own().into()
    }

    /// This node moves on in its life; peers are told at once.
    pub(super) fn set_state(&self, state: NodeState) {
        if self.table.lock().set_state(state) {
            self.urgent.notify_one();
        }
    }

    /// A bundle came into force here; peers are told at once.
    pub(super) fn set_bundle(&self, number: u64) {
        self.table.lock().set_bundle(number);
        self.urgent.notify_one();
    }

    /// Waits until there is something that peers should know at once.
    pub(super) async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// A round begins.
    pub(super) fn beat(&self, now: Moment) {
        self.table.lock().begin_round(now);
    }

    /// Nodes to talk to in this round.
    pub(super) fn targets(&self, count: usize, now: Moment) -> Vec<Target> {
        let mut table = self.table.lock();
        let names = table.gossip_targets(count, now).into_iter();
        let target = |name: Name| {
            let address = table.get(&name)?.contact.peers;
            Some(Target { name: Some(name), address })
        };
        names.filter_map(target).collect()
    }

    /// The message of a round, with what the other side wants to know.
    pub(super) fn message(&self, wanted: &[u32]) -> Gossip<NodeLocation> {
        self.table.lock().next_message(wanted)
    }

    /// Takes in a message.
    pub(super) fn receive(&self, gossip: Gossip<NodeLocation>, now: Moment) -> GossipEffect {
        let heard = self.table.lock().receive(gossip, now);
        if heard.changed {
            self.urgent.notify_one();
        }
        heard
    }

    /// Another node, or the platform, told of some nodes.
    pub(super) fn told(
        &self,
        news: impl IntoIterator<Item = MemberRecord<NodeLocation>>,
        now: Moment,
    ) {
        let mut table = self.table.lock();
        for news in news {
            table.load_record(news, now);
        }
    }

    /// This node failed to reach another.
    pub(super) fn missed(&self, name: &str, now: Moment) {
        if self.table.lock().report_unreachable(name, now) {
            tracing::info!(event = "node_doubted", node = name);
            self.urgent.notify_one();
        }
    }

    /// A page of the table, for a node that joins.
    pub(super) fn page(&self, after: Option<&Name>) -> Vec<MemberRecord<NodeLocation>> {
        self.table.lock().page(after)
    }

    /// Where the node with this short name listens for peers.
    pub(super) fn find(&self, id: u32) -> Option<SocketAddr> {
        self.table.lock().find_by_id(id).map(|news| news.contact.peers)
    }

    /// The other nodes that are not known to have stopped or failed.
    pub(super) fn alive(&self, now: Moment) -> Vec<NodeInfo> {
        self.table.lock().alive(now).map(NodeInfo::from).collect()
    }

    /// The other nodes that serve now.
    pub(super) fn serving(&self, now: Moment) -> Vec<NodeInfo> {
        let table = self.table.lock();
        let serving = table.alive(now).filter(|news| news.state == NodeState::Serving);
        serving.map(NodeInfo::from).collect()
    }

    /// The nodes that serve now and that nobody fails to reach.
    pub(super) fn reached(&self, now: Moment) -> Vec<NodeInfo> {
        let table = self.table.lock();
        let well = table.view(now).filter(|(news, standing)| {
            *standing == Liveness::Alive && news.state == NodeState::Serving
        });
        well.map(|(news, _)| NodeInfo::from(news)).collect()
    }

    /// Whether this node is among the first `most` for a key, of those that it
    /// counts as alive.
    pub(super) fn ranks(&self, key: &str, most: usize, now: Moment) -> bool {
        let table = self.table.lock();
        let own = rendezvous_score(key, &table.own().name);
        let before = table.alive(now).filter(|news| rendezvous_score(key, &news.name) > own);
        before.take(most).count() < most
    }

    /// How many other nodes are known, silent or not.
    pub(super) fn held(&self) -> usize {
        self.table.lock().view(Moment::ZERO).count()
    }

    /// Where a node listens for peers, also if it was not heard lately.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.table.lock().get(name).map(|news| news.contact.peers)
    }
}
