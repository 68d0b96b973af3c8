//! The node addresses that a client or a trainer should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::app::App;
use crate::decide::{CandidateNode, MAX_CLIENT_NODES, nodes_for_client, rendezvous_rank};
use crate::edge::peer::{NodeInfo, NodeState};

/// The addresses that a client or a trainer should use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The addresses of nodes that serve.
    pub addresses: Vec<SocketAddr>,
    /// How long the addresses may be cached, in milliseconds.
    pub ttl_ms: u64,
}

/// Returns the value of a query parameter.
pub(super) fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the addresses for a client: a few nodes that depend on the client, and are the same
/// whichever node of the region is asked.
pub(super) fn addresses_for_client(app: &App, client: &str) -> Addresses {
    let nodes = with_own(app, app.members.serving_unsuspected(app.clock.now()));
    let candidates: Vec<CandidateNode<'_>> = nodes.iter().map(candidate).collect();
    let names = nodes_for_client(client, &app.settings.node.region, &candidates);
    addresses_of(app, &names, &nodes)
}

/// Returns the addresses for a trainer: the owner of its steps first, then the nodes that would
/// own them next. Every node returns the same order, so a step that moves finds its next owner.
pub(super) fn addresses_for_trainer(app: &App, trainer: &str) -> Addresses {
    let nodes = with_own(app, app.members.serving(app.clock.now()));
    let mut names = rendezvous_rank(trainer, nodes.iter().map(|n| &*n.name));
    names.truncate(MAX_CLIENT_NODES);
    addresses_of(app, &names, &nodes)
}

/// Adds this node if it serves or if there is no other node.
fn with_own(app: &App, mut nodes: Vec<NodeInfo>) -> Vec<NodeInfo> {
    let own = app.own_info();
    if own.state == NodeState::Serving || nodes.is_empty() {
        nodes.push(own);
    }
    nodes
}

fn candidate(info: &NodeInfo) -> CandidateNode<'_> {
    CandidateNode { name: &info.name, region: &info.region, zone: &info.zone }
}

fn addresses_of(app: &App, names: &[&str], nodes: &[NodeInfo]) -> Addresses {
    let address = |name: &&str| nodes.iter().find(|n| &*n.name == *name).map(|n| n.callers);
    let addresses = names.iter().filter_map(address).collect();
    Addresses { addresses, ttl_ms: app.settings.drain.address_ttl.as_millis() as u64 }
}
