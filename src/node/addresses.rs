//! The answer to "which nodes to use".

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::app::App;
use crate::decide::{CandidateNode, MAX_CLIENT_NODES, nodes_for_client, rendezvous_rank};
use crate::edge::peer::{NodeInfo, NodeState};

/// The addresses that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Nodes that serve.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}

/// The value of a parameter of a query.
pub(super) fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// The addresses for a client: its own few, the same at every node of the region.
pub(super) fn for_client(app: &App, client: &str) -> Addresses {
    let nodes = with_own(app, app.members.reached(app.clock.now()));
    let sites: Vec<CandidateNode<'_>> = nodes.iter().map(site).collect();
    let names = nodes_for_client(client, &app.settings.node.region, &sites);
    answer(app, &names, &nodes)
}

/// The addresses for a trainer: the home of its steps first, then its successors.
/// Every node answers alike, so a step that moves finds its next home again.
pub(super) fn for_trainer(app: &App, trainer: &str) -> Addresses {
    let nodes = with_own(app, app.members.serving(app.clock.now()));
    let mut names = rendezvous_rank(trainer, nodes.iter().map(|n| &*n.name));
    names.truncate(MAX_CLIENT_NODES);
    answer(app, &names, &nodes)
}

/// This node too, if it serves or nobody else does.
fn with_own(app: &App, mut nodes: Vec<NodeInfo>) -> Vec<NodeInfo> {
    let own = app.info();
    if own.state == NodeState::Serving || nodes.is_empty() {
        nodes.push(own);
    }
    nodes
}

fn site(info: &NodeInfo) -> CandidateNode<'_> {
    CandidateNode { name: &info.name, region: &info.region, zone: &info.zone }
}

fn answer(app: &App, names: &[&str], nodes: &[NodeInfo]) -> Addresses {
    let address = |name: &&str| nodes.iter().find(|n| &*n.name == *name).map(|n| n.callers);
    let addresses = names.iter().filter_map(address).collect();
    Addresses { addresses, ttl_ms: app.settings.drain.ttl.as_millis() as u64 }
}
