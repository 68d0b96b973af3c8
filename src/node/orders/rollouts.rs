//! The rollouts of all services at this node, and the owners of the engines.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use parking_lot::Mutex;

use crate::Name;
use crate::bundle::{Bundle, EngineSpec, ServiceSpec};
use crate::decide::{Rollout, SwapChains, TargetWeights, rendezvous_score};
use crate::node::app::App;

/// The rollouts by service, and the cached engine fleets.
#[derive(Debug, Default)]
pub(in crate::node) struct Rollouts {
    pub(super) by_service: Mutex<HashMap<Name, Rollout>>,
    fleets: Mutex<(FleetInputs, Arc<[EngineFleet]>)>,
}

/// The inputs that the owners and swap chains depend on. They are recomputed only when the inputs
/// change.
///
/// With 1,100 engines and 380 nodes that takes 418,000 hashes.
#[derive(Debug, Default, PartialEq, Eq)]
struct FleetInputs {
    bundle: u64,
    /// The hash of the names and services of all upstreams.
    upstreams_hash: u64,
    nodes: Vec<Name>,
}

/// The engines of a service in the current list.
#[derive(Debug)]
pub(super) struct EngineFleet {
    pub(super) service: Name,
    pub(super) engine: EngineSpec,
    /// The names of the engines.
    pub(super) names: Vec<Name>,
    /// The owner of each engine: the node that sends it orders.
    pub(super) owners: BTreeMap<Name, Name>,
    pub(super) chains: SwapChains,
}

/// Returns the engines of each service that has engines, with their owners.
pub(super) fn engine_fleets(app: &App, bundle: &Bundle) -> Arc<[EngineFleet]> {
    let inputs = FleetInputs {
        bundle: bundle.number,
        upstreams_hash: upstreams_hash(app),
        nodes: owner_candidates(app),
    };
    let mut cached = app.rollouts.fleets.lock();
    if cached.0 != inputs {
        let services = bundle.services.values();
        let fleets =
            services.filter_map(|service| engine_fleet(app, service, &inputs.nodes)).collect();
        *cached = (inputs, fleets);
    }
    cached.1.clone()
}

fn engine_fleet(app: &App, service: &ServiceSpec, nodes: &[Name]) -> Option<EngineFleet> {
    let engine = service.engine.clone()?;
    let vms = app.upstreams.of_service(&service.name);
    let names: Vec<Name> = vms.into_iter().map(|vm| vm.name).collect();
    let owners = names.iter().map(|name| (name.clone(), engine_owner(nodes, name)));
    Some(EngineFleet {
        service: service.name.clone(),
        owners: owners.collect(),
        chains: SwapChains::new(&service.name, &names, engine.swap_percent),
        names,
        engine,
    })
}

/// Returns the nodes that may own engines: the ones that serve, and this one.
fn owner_candidates(app: &App) -> Vec<Name> {
    let serving = app.members.serving(app.clock.now());
    let mut nodes: Vec<Name> = serving.into_iter().map(|info| info.name).collect();
    nodes.push(app.settings.node.name.clone());
    nodes
}

fn upstreams_hash(app: &App) -> u64 {
    app.upstreams.list().iter().fold(0, |hash, vm| rendezvous_score(&vm.name, &vm.service) ^ hash)
}

/// Returns the node that sends orders to an engine. Nodes may disagree about the owner for a while.
/// Two owners send the same order, or else the order of the newer bundle prevails.
fn engine_owner(nodes: &[Name], upstream: &str) -> Name {
    let owner = nodes.iter().max_by_key(|node| (rendezvous_score(upstream, node), *node));
    owner.cloned().unwrap_or_else(|| "".into())
}

impl EngineFleet {
    /// Returns the engines that a node owns.
    pub(super) fn owned_by<'a>(&'a self, node: &'a Name) -> impl Iterator<Item = &'a Name> {
        self.owners.iter().filter(move |(_, owner)| *owner == node).map(|(name, _)| name)
    }
}

/// Returns the weights that the bundle asks for at a service's engines.
pub(super) fn target_weights(bundle: &Bundle, engine: &EngineSpec) -> TargetWeights {
    TargetWeights { generation: bundle.number, version: engine.version }
}
