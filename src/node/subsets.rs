//! The upstreams of each service that this node uses, worked out anew only when the nodes
//! or the upstreams change.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::app::App;
use crate::Name;
use crate::decide::subset;
use crate::edge::platform::Vm;

#[derive(Debug)]
struct Subset {
    /// Hash of what it was worked out from.
    from: u64,
    names: HashSet<Name>,
}

/// The subsets, by service.
#[derive(Debug, Default)]
pub(super) struct Subsets {
    known: HashMap<Name, Subset>,
}

impl Subsets {
    /// Those of the VMs that this node uses: at most `size`.
    pub(super) fn keep(&mut self, app: &App, service: &Name, vms: &mut Vec<Vm>, size: usize) {
        if vms.len() <= size {
            self.known.remove(service);
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
        let from = hash(&nodes, &names, size);
        let subset = match self.known.remove(service) {
            Some(known) if known.from == from => known,
            Some(_) | None => Subset { from, names: chosen(own, &nodes, &names, size) },
        };
        vms.retain(|vm| subset.names.contains(&vm.name));
        self.known.insert(service.clone(), subset);
    }
}

fn chosen(own: &str, nodes: &[Name], names: &[Name], size: usize) -> HashSet<Name> {
    let nodes: Vec<&str> = nodes.iter().map(|n| &**n).collect();
    let names: Vec<&str> = names.iter().map(|n| &**n).collect();
    subset(own, &nodes, &names, size).into_iter().map(Name::from).collect()
}

fn hash(nodes: &[Name], names: &[Name], size: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (nodes, names, size).hash(&mut hasher);
    hasher.finish()
}
