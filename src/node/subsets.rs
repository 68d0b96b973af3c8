//! The subset of each service's upstreams that this node uses. It is recomputed only when the
//! nodes or the upstreams change.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::app::App;
use crate::Name;
use crate::decide::subset;
use crate::edge::platform::Vm;

#[derive(Debug)]
struct Subset {
    /// The hash of the inputs that the subset was computed from.
    input_hash: u64,
    names: HashSet<Name>,
}

/// The current subsets by service.
#[derive(Debug, Default)]
pub(super) struct SubsetCache {
    by_service: HashMap<Name, Subset>,
}

impl SubsetCache {
    /// Reduces `vms` to the ones that this node uses, at most `size`.
    pub(super) fn retain_subset(
        &mut self,
        app: &App,
        service: &Name,
        vms: &mut Vec<Vm>,
        size: usize,
    ) {
        if vms.len() <= size {
            self.by_service.remove(service);
            return;
        }
        let own = &app.settings.node.name;
        let mut nodes: Vec<Name> =
            app.members.serving(app.clock.now()).into_iter().map(|info| info.name).collect();
        nodes.push(own.clone());
        nodes.sort();
        nodes.dedup();
        let mut names: Vec<Name> = vms.iter().map(|vm| vm.name.clone()).collect();
        names.sort();
        let input_hash = hash_inputs(&nodes, &names, size);
        let subset = match self.by_service.remove(service) {
            Some(known) if known.input_hash == input_hash => known,
            Some(_) | None => {
                Subset { input_hash, names: compute_subset(own, &nodes, &names, size) }
            }
        };
        vms.retain(|vm| subset.names.contains(&vm.name));
        self.by_service.insert(service.clone(), subset);
    }
}

fn compute_subset(own: &str, nodes: &[Name], names: &[Name], size: usize) -> HashSet<Name> {
    let nodes: Vec<&str> = nodes.iter().map(|n| &**n).collect();
    let names: Vec<&str> = names.iter().map(|n| &**n).collect();
    subset(own, &nodes, &names, size).into_iter().map(Name::from).collect()
}

fn hash_inputs(nodes: &[Name], names: &[Name], size: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (nodes, names, size).hash(&mut hasher);
    hasher.finish()
}
