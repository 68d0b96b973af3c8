//! The replicas of all services with indexes by service and by the version of a model.
//!
//! Load pattern: thousands of replicas are listed, and a sample may run at a hundred of them. A
//! search through all of them for each attempt costs more the larger the fleet is, whatever the
//! work. With the indexes it costs what the replicas that may run the sample cost.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Included, Unbounded};

use slotmap::{SlotMap, new_key_type};

use super::ListedReplica;
use super::replica::Replica;
use crate::decide::{Deadlines, rendezvous_score};
use crate::{Moment, Name};

new_key_type! {
    /// Identifies a replica in the table.
    pub(super) struct ReplicaKey;
}

/// Replicas in the order of their ids.
type ById = BTreeMap<Name, ReplicaKey>;

/// The replicas of one service.
#[derive(Debug, Default)]
struct Service {
    by_id: ById,
    /// The same in an order that is particular to this node.
    by_rank: BTreeSet<(u64, ReplicaKey)>,
    /// Those without weights that are not known to be full, in the same order.
    open: BTreeSet<(u64, ReplicaKey)>,
    /// Those that are known to have room in their own queue only, in the same order.
    queueing: BTreeSet<(u64, ReplicaKey)>,
    /// When those that are not open may have room again without any event there.
    rechecks: Deadlines<ReplicaKey>,
    /// Whether any of its replicas has reported its load.
    reports_load: bool,
}

/// The replicas that a node knows.
#[derive(Debug, Default)]
pub(super) struct ReplicaTable {
    /// The key of the order that is particular to this node.
    node: Name,
    replicas: SlotMap<ReplicaKey, Replica>,
    by_id: ById,
    services: HashMap<Name, Service>,
    /// The replicas that accept work, by model and version.
    models: HashMap<Name, BTreeMap<u64, ById>>,
    /// The number of replicas that accept work and have the weights of a model.
    serving_count: usize,
    /// How many replicas searches have looked at.
    visited: Cell<u64>,
}

impl ReplicaTable {
    /// Creates an empty table of a node.
    pub(super) fn new(node: Name) -> Self {
        Self { node, ..Self::default() }
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of replicas that accept work and have the weights of a model.
    pub(super) fn serving_count(&self) -> usize {
        self.serving_count
    }

    /// Returns how many replicas searches have looked at so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &Name> {
        self.by_id.keys()
    }

    pub(super) fn key(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    pub(super) fn get(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(self.key(id)?)
    }

    pub(super) fn by_key(&self, key: ReplicaKey) -> Option<&Replica> {
        self.visit();
        self.replicas.get(key)
    }

    /// Returns a replica to change what is not indexed: anything but its entry and versions. The
    /// change may make room there, so that one without weights counts as open again.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Replica> {
        let key = self.key(id)?;
        self.reopen(key);
        self.replicas.get_mut(key)
    }

    /// Records that the service of a replica reports its load.
    pub(super) fn set_reports_load(&mut self, id: &str) {
        let Some(key) = self.key(id) else { return };
        let Some(replica) = self.replicas.get(key) else { return };
        if let Some(service) = self.services.get_mut(&replica.listed.service) {
            service.reports_load = true;
        }
    }

    /// Whether the replicas of a service have no weights, and any has reported its load.
    pub(super) fn is_plain_and_reports_load(&self, service: &str) -> bool {
        let Some(service) = self.services.get(service) else { return false };
        let first = service.by_id.values().next().and_then(|key| self.replicas.get(*key));
        service.reports_load && first.is_some_and(|r| r.versions.is_empty())
    }

    /// Returns the replicas of a service that are not known to be full, in the order that is
    /// particular to this node.
    pub(super) fn open<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ReplicaKey, &'a Replica)> + use<'a> {
        let keys = self.services.get(service).into_iter().flat_map(|s| s.open.iter());
        keys.filter_map(|(_, key)| Some((*key, self.by_key(*key)?)))
    }

    /// Returns the replicas that are known to have room in their own queue only.
    pub(super) fn queueing<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ReplicaKey, &'a Replica)> + use<'a> {
        let keys = self.services.get(service).into_iter().flat_map(|s| s.queueing.iter());
        keys.filter_map(|(_, key)| Some((*key, self.by_key(*key)?)))
    }

    /// Records that a replica has no free slot until the next event there, or until `recheck_at`,
    /// and whether it has room in its own queue.
    pub(super) fn close(&mut self, key: ReplicaKey, queueing: bool, recheck_at: Option<Moment>) {
        let Some(replica) = self.replicas.get(key) else { return };
        let rank = rendezvous_score(&self.node, &replica.listed.target.id);
        let Some(service) = self.services.get_mut(&replica.listed.service) else { return };
        service.open.remove(&(rank, key));
        if queueing {
            service.queueing.insert((rank, key));
        } else {
            service.queueing.remove(&(rank, key));
        }
        if let Some(at) = recheck_at {
            service.rechecks.insert(at, key);
        }
    }

    /// Counts the replicas of a service as open again whose time of the recheck has come.
    pub(super) fn reopen_due(&mut self, service: &str, now: Moment) {
        while let Some(key) =
            self.services.get_mut(service).and_then(|service| service.rechecks.pop_due(now))
        {
            self.reopen(key);
        }
    }

    fn reopen(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get(key).filter(|r| r.versions.is_empty()) else {
            return;
        };
        let rank = rendezvous_score(&self.node, &replica.listed.target.id);
        if let Some(service) = self.services.get_mut(&replica.listed.service) {
            service.open.insert((rank, key));
            service.queueing.remove(&(rank, key));
        }
    }

    /// Adds a replica that is not known.
    pub(super) fn insert(&mut self, listed: ListedReplica) {
        let id = listed.target.id.clone();
        let key = self.replicas.insert(Replica::new(listed));
        self.by_id.insert(id, key);
        self.index(key);
    }

    /// Removes a replica. Returns true if it was known.
    pub(super) fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.key(id) else { return false };
        self.unindex(key);
        self.by_id.remove(id);
        self.replicas.remove(key);
        true
    }

    /// Changes the entry or the versions of a replica. Does nothing if it is not known.
    pub(super) fn update(&mut self, id: &str, change: impl FnOnce(&mut Replica)) {
        let Some(key) = self.key(id) else { return };
        self.unindex(key);
        if let Some(replica) = self.replicas.get_mut(key) {
            change(replica);
        }
        self.index(key);
    }

    /// Returns the replicas of a service in the order of their ids.
    pub(super) fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let keys = self.services.get(service).into_iter().flat_map(|s| s.by_id.values());
        keys.filter_map(|key| self.by_key(*key))
    }

    /// Returns the replicas of a service in the order that is particular to this node.
    pub(super) fn ranked<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let keys = self.services.get(service).into_iter().flat_map(|s| s.by_rank.iter());
        keys.filter_map(|(_, key)| self.by_key(*key))
    }

    /// Returns the number of replicas of a service.
    pub(super) fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |s| s.by_id.len())
    }

    /// Returns the replicas that accept work and have a model at this version or a later one, the
    /// newest version first. Those of a version begin after the id `after`.
    pub(super) fn at_version<'a>(
        &'a self,
        model: &str,
        min_version: u64,
        after: &'a str,
    ) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let versions = self.models.get(model).into_iter();
        let sets = versions.flat_map(move |v| v.range(min_version..).rev().map(|(_, ids)| ids));
        let keys = sets.flat_map(move |ids| {
            let last = ids.range::<str, _>((Excluded(after), Unbounded));
            last.chain(ids.range::<str, _>((Unbounded, Included(after))))
        });
        keys.filter_map(|(_, key)| self.by_key(*key))
    }

    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// Adds a replica to the indexes.
    fn index(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get(key) else { return };
        let id = &replica.listed.target.id;
        let service = self.services.entry(replica.listed.service.clone()).or_default();
        service.by_id.insert(id.clone(), key);
        let rank = rendezvous_score(&self.node, id);
        service.by_rank.insert((rank, key));
        if replica.versions.is_empty() {
            service.open.insert((rank, key));
        }
        if replica.listed.draining || replica.versions.is_empty() {
            return;
        }
        self.serving_count += 1;
        for (model, version) in &replica.versions {
            let versions = self.models.entry(model.clone()).or_default();
            versions.entry(*version).or_default().insert(id.clone(), key);
        }
    }

    /// Removes a replica from the indexes.
    fn unindex(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get(key) else { return };
        let id = &replica.listed.target.id;
        if let Some(service) = self.services.get_mut(&replica.listed.service) {
            service.by_id.remove(id);
            let rank = rendezvous_score(&self.node, id);
            service.by_rank.remove(&(rank, key));
            service.open.remove(&(rank, key));
            service.queueing.remove(&(rank, key));
        }
        if replica.listed.draining || replica.versions.is_empty() {
            return;
        }
        self.serving_count -= 1;
        for (model, version) in &replica.versions {
            let Some(versions) = self.models.get_mut(model) else { continue };
            let Some(ids) = versions.get_mut(version) else { continue };
            ids.remove(id);
            if ids.is_empty() {
                versions.remove(version);
            }
        }
    }
}
