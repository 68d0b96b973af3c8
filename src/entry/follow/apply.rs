//! Applies snapshots and changes of the store to the state of the node.

use std::sync::Arc;
use std::time::Duration;

use super::topic::Topic;
use crate::Name;
use crate::decide::{Routes, rendezvous_rank, unlisted};
use crate::edge::schema::Directive;
use crate::edge::store::{Change, KeyValue, RangeResult, WatchBatch};
use crate::entry::app::App;
use crate::entry::peer::FeedTopic;

/// How long a replica that vanished from the list during an outage of the store is still kept:
/// entries that expired in the outage are written again within two seconds of its end.
const REPLICA_RETURN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Up to how many replicas of a snapshot are logged one by one.
const MAX_LOGGED_REPLICAS: usize = 100;

impl App {
    /// Returns the configuration in force once it is at least as new as a version. If this node has
    /// an older one, it reads the store.
    ///
    /// Load pattern: a change of the configuration is followed by jobs for each of its routes, at
    /// owners that wait for the change from another node. All their samples wait for one read.
    pub(in crate::entry) async fn routes_since(&self, version: u64) -> Arc<Routes> {
        self.route_versions.wait_until_known(version).await;
        self.routes().unwrap_or_default()
    }

    /// Replaces the state of a topic by everything that the store has under its prefix.
    pub(super) fn apply_snapshot(self: &Arc<Self>, topic: Topic, page: &RangeResult, prefix: &str) {
        match topic {
            Topic::Replicas => self.replace_replicas(page, prefix),
            Topic::Nodes => {
                self.membership.lock().load(page, self.store_time());
                self.update_peers();
                self.quarantine.apply_records(page.items.iter());
            }
            Topic::Routes | Topic::Versions | Topic::Retirements => {
                page.items.iter().for_each(|item| self.apply_directive(item));
            }
        }
        self.slots.assign_free(self.now());
        self.notify_view_change();
    }

    /// Applies changes of a topic.
    pub(super) fn apply_changes(&self, topic: Topic, watched: &WatchBatch) {
        if watched.changes.is_empty() {
            return;
        }
        match topic {
            Topic::Nodes => self.apply_node_changes(watched),
            Topic::Replicas | Topic::Routes | Topic::Versions | Topic::Retirements => {
                watched.changes.iter().for_each(|change| self.apply_change(topic, change));
            }
        }
        self.slots.assign_free(self.now());
        self.notify_view_change();
    }

    /// Applies the difference between two snapshots. Replicas may have vanished in an outage of the
    /// store, as they may from a snapshot.
    pub(super) fn apply_catch_up(
        self: &Arc<Self>,
        topic: Topic,
        watched: &WatchBatch,
        prefix: &str,
    ) {
        if topic != Topic::Replicas {
            return self.apply_changes(topic, watched);
        }
        let mut missing = Vec::new();
        for change in &watched.changes {
            match change {
                Change::Put(item) => drop(self.upsert_replica(item, true)),
                Change::Removed { key, .. } => missing.push(self.schema.replica_id(key)),
            }
        }
        self.remove_missing(missing, prefix);
        self.slots.assign_free(self.now());
        self.notify_view_change();
    }

    /// Applies one change of a topic.
    fn apply_change(&self, topic: Topic, change: &Change) {
        match (topic, change) {
            (Topic::Replicas, Change::Put(item)) => drop(self.upsert_replica(item, true)),
            (Topic::Replicas, Change::Removed { key, .. }) => {
                self.remove_replica(&self.schema.replica_id(key));
            }
            (_, Change::Put(item)) => self.apply_directive(item),
            // Only newer values ever replace a configuration or a version.
            (_, Change::Removed { .. }) => {}
        }
    }

    /// Applies changes of nodes. The other nodes are ranked once for all of them: hundreds come and
    /// go together when a fleet starts or the leases of all end.
    fn apply_node_changes(&self, watched: &WatchBatch) {
        let now = self.store_time();
        {
            let mut membership = self.membership.lock();
            watched.changes.iter().for_each(|change| membership.apply_change(change, now));
        }
        self.update_peers();
        self.quarantine.apply_record_changes(&watched.changes);
    }

    /// Updates which nodes may be asked for calls to the store, in an order that is particular to
    /// this node.
    fn update_peers(&self) {
        let nodes = self.membership.lock().peer_addresses();
        let others = nodes.keys().filter(|n| **n != self.settings.name).map(|n| &**n);
        let ranked = rendezvous_rank(&self.settings.name, others);
        self.fallback_store
            .set_peers(ranked.iter().filter_map(|n| nodes.get(*n).copied()).collect());
        let membership = self.membership.lock();
        let incarnations: Vec<_> =
            ranked.iter().filter_map(|n| membership.incarnation_of(n)).collect();
        drop(membership);
        self.quarantine.set_peers(&incarnations);
    }

    /// Applies a configuration, a version or a retirement request. A value that cannot be read is
    /// logged and ignored.
    fn apply_directive(&self, item: &KeyValue) {
        match self.schema.parse_directive(&item.key, &item.value) {
            Ok(None) => {}
            Ok(Some(Directive::Routes(routes))) => {
                let mut current = self.routes.lock();
                if current.as_ref().is_none_or(|c| c.version < routes.version) {
                    let version = routes.version;
                    tracing::info!(event = "routes_adopted", version);
                    *current = Some(routes.into());
                    self.route_versions.record_known(version);
                }
            }
            Ok(Some(Directive::Version { model, version })) => {
                let mut versions = self.versions.lock();
                let known = versions.entry(model.clone()).or_insert(version);
                *known = version.max(*known);
                tracing::info!(event = "version_announced", %model, version);
            }
            Ok(Some(Directive::Retire { node, within })) => self.retire(&node, within),
            Err(reason) => {
                tracing::error!(event = "directive_unreadable", key = %item.key, %reason);
            }
        }
    }

    /// Adds a replica to the list or updates it. Returns true if that changes which replicas may
    /// get work.
    fn upsert_replica(&self, item: &KeyValue, logged: bool) -> bool {
        match self.schema.parse_replica(&item.key, &item.value) {
            Ok(listed) => {
                let (id, draining) = (listed.target.id.clone(), listed.draining);
                let changed = self.slots.fleet.lock().upsert(listed);
                if changed && logged {
                    tracing::info!(event = "replica_listed", replica = %id, draining);
                }
                changed
            }
            Err(reason) => {
                // An entry that cannot be read names no replica that may be used.
                tracing::error!(event = "replica_unreadable", key = %item.key, %reason);
                self.remove_replica(&self.schema.replica_id(&item.key));
                false
            }
        }
    }

    /// Removes a replica from the list.
    fn remove_replica(&self, id: &str) {
        if self.slots.fleet.lock().remove(id) {
            tracing::info!(event = "replica_removed", replica = %id);
        }
    }

    /// Replaces the list of replicas. Replicas that are not on the new list are removed.
    fn replace_replicas(self: &Arc<Self>, page: &RangeResult, prefix: &str) {
        let logged = page.items.len() <= MAX_LOGGED_REPLICAS;
        let changed = page.items.iter().filter(|item| self.upsert_replica(item, logged)).count();
        if !logged {
            tracing::info!(event = "replicas_listed", count = page.items.len(), changed);
        }
        let listed = page.items.iter().map(|item| self.schema.replica_id(&item.key)).collect();
        let known = self.slots.fleet.lock().ids();
        self.remove_missing(unlisted(known, &listed), prefix);
    }

    /// Removes replicas that are missing from the list; after an outage of the store only once
    /// [`REPLICA_RETURN_TIMEOUT`] is over, because entries expire during the outage as well. Entries
    /// that are written again arrive through the feed, so the store is not asked for each of them:
    /// one call for each missing replica on each of 250 nodes came to 57,000 calls in two outages.
    fn remove_missing(self: &Arc<Self>, missing: Vec<Name>, prefix: &str) {
        let since = self.fallback_store.time_since_recovery().unwrap_or(REPLICA_RETURN_TIMEOUT);
        let wait = REPLICA_RETURN_TIMEOUT.saturating_sub(since);
        if wait.is_zero() {
            missing.iter().for_each(|id| self.remove_replica(id));
            return;
        }
        if missing.is_empty() {
            return;
        }
        let (app, prefix) = (self.clone(), prefix.to_owned());
        self.spawn(async move {
            tokio::time::sleep(wait).await;
            // In another outage entries expire again, and the list is replaced after it.
            if app.fallback_store.is_down() {
                return;
            }
            let feed = app.feeds.get(FeedTopic::Replicas);
            let expired = missing.iter().filter(|id| !feed.contains(&format!("{prefix}{id}")));
            expired.for_each(|id| app.remove_replica(id));
        });
    }
}
