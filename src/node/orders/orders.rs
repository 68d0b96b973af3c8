//! The rollouts of all services at this node.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use parking_lot::Mutex;

use crate::Name;
use crate::bundle::{Bundle, Engine, ServiceSpec};
use crate::decide::{Rollout, SwapChains, TargetWeights, rendezvous_score};
use crate::node::app::App;

/// The rollouts, by service.
#[derive(Debug, Default)]
pub(in crate::node) struct Orders {
    pub(super) rollouts: Mutex<HashMap<Name, Rollout>>,
    fleets: Mutex<(Basis, Arc<[Fleet]>)>,
}

/// What the owners and chains follow from; they are worked out anew when it changes.
///
/// At 1,100 engines and 380 nodes that takes 418,000 hashes.
#[derive(Debug, Default, PartialEq, Eq)]
struct Basis {
    bundle: u64,
    engines: u64,
    nodes: Vec<Name>,
}

/// A service's engines as they are listed now.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) service: Name,
    pub(super) engine: Engine,
    pub(super) names: Vec<Name>,
    /// The node that gives orders to each.
    pub(super) owners: BTreeMap<Name, Name>,
    pub(super) chains: SwapChains,
}

/// The services with engines, and who owns what.
pub(super) fn fleets(app: &App, bundle: &Bundle) -> Arc<[Fleet]> {
    let basis = Basis { bundle: bundle.number, engines: digest(app), nodes: nodes(app) };
    let mut kept = app.orders.fleets.lock();
    if kept.0 != basis {
        let fleets = bundle.services.values();
        let fleets = fleets.filter_map(|service| fleet(app, service, &basis.nodes)).collect();
        *kept = (basis, fleets);
    }
    kept.1.clone()
}

fn fleet(app: &App, service: &ServiceSpec, nodes: &[Name]) -> Option<Fleet> {
    let engine = service.engine.clone()?;
    let vms = app.upstreams.of(&service.name);
    let names: Vec<Name> = vms.into_iter().map(|vm| vm.name).collect();
    let owners = names.iter().map(|name| (name.clone(), owner(nodes, name)));
    Some(Fleet {
        service: service.name.clone(),
        owners: owners.collect(),
        chains: SwapChains::new(&service.name, &names, engine.swapping),
        names,
        engine,
    })
}

/// The nodes that own engines, this one included.
fn nodes(app: &App) -> Vec<Name> {
    let serving = app.members.serving(app.clock.now());
    let mut nodes: Vec<Name> = serving.into_iter().map(|info| info.name).collect();
    nodes.push(app.settings.node.name.clone());
    nodes
}

fn digest(app: &App) -> u64 {
    app.upstreams
        .list()
        .iter()
        .fold(0, |digest, vm| rendezvous_score(&vm.name, &vm.service) ^ digest)
}

/// The node that gives orders to an upstream. Views differ for a while; two
/// owners give the same order, or the later bundle's counts.
fn owner(nodes: &[Name], upstream: &str) -> Name {
    let home = nodes.iter().max_by_key(|node| (rendezvous_score(upstream, node), *node));
    home.cloned().unwrap_or_else(|| "".into())
}

impl Fleet {
    /// The engines that a node owns.
    pub(super) fn owned<'a>(&'a self, node: &'a Name) -> impl Iterator<Item = &'a Name> {
        self.owners.iter().filter(move |(_, owner)| *owner == node).map(|(name, _)| name)
    }
}

/// What the bundle wants of a service's engines.
pub(super) fn wanted(bundle: &Bundle, engine: &Engine) -> TargetWeights {
    TargetWeights { generation: bundle.number, version: engine.version }
}
