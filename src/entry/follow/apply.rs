//! Taking over what was read or has changed.

use std::sync::Arc;
use std::time::Duration;

use super::topic::Topic;
use crate::decide::rendezvous_rank;
use crate::edge::notice::Notice;
use crate::edge::store::{Change, Item, Page, Watched};
use crate::entry::app::App;
use crate::entry::peer::Followed;

/// How long a replica that vanished from the list over an outage of the store may still be
/// there: entries that lapsed are back two seconds after the store is.
const LAPSE: Duration = Duration::from_millis(2_000);

impl App {
    /// Takes over the whole.
    pub(super) fn load(self: &Arc<Self>, topic: Topic, page: &Page, prefix: &str) {
        match topic {
            Topic::Replicas => self.relist(page, prefix),
            Topic::Live => {
                self.live.lock().load(page, self.store_time());
                self.know_peers();
            }
            Topic::Routes | Topic::Versions | Topic::Retirements => {
                page.items.iter().for_each(|item| self.notice(item));
            }
        }
        self.slots.pump(self.now());
        self.tell();
    }

    /// Takes over changes.
    pub(super) fn catch_up(&self, topic: Topic, watched: &Watched) {
        if watched.changes.is_empty() {
            return;
        }
        for change in &watched.changes {
            self.change(topic, change);
        }
        self.slots.pump(self.now());
        self.tell();
    }

    fn change(&self, topic: Topic, change: &Change) {
        match (topic, change) {
            (Topic::Replicas, Change::Put(item)) => self.list(item),
            (Topic::Replicas, Change::Removed { key, .. }) => {
                self.unlist(&self.notices.replica_id(key));
            }
            (Topic::Live, change) => {
                self.live.lock().change(change, self.store_time());
                self.know_peers();
            }
            (_, Change::Put(item)) => self.notice(item),
            // A configuration and a version are only ever replaced by newer ones.
            (_, Change::Removed { .. }) => {}
        }
    }

    /// Who can be asked for a call to the store, in an order of this node's own.
    fn know_peers(&self) {
        let nodes = self.live.lock().peers();
        let others = nodes.keys().filter(|n| **n != self.settings.name).map(|n| &**n);
        let ranked = rendezvous_rank(&self.settings.name, others);
        self.detour.know(ranked.iter().filter_map(|n| nodes.get(*n).copied()).collect());
    }

    fn notice(&self, item: &Item) {
        match self.notices.notice(&item.key, &item.value) {
            Ok(None) => {}
            Ok(Some(Notice::Routes(routes))) => {
                let mut current = self.routes.lock();
                if current.as_ref().is_none_or(|c| c.version < routes.version) {
                    tracing::info!(event = "routes_adopted", version = routes.version);
                    *current = Some(Arc::new(routes));
                }
            }
            Ok(Some(Notice::Version { model, version })) => {
                let mut versions = self.versions.lock();
                let known = versions.entry(model.clone()).or_insert(version);
                *known = version.max(*known);
                tracing::info!(event = "version_named", %model, version);
            }
            Ok(Some(Notice::Retire { node, within })) => self.retire(&node, within),
            Err(reason) => {
                tracing::error!(event = "notice_unreadable", key = %item.key, %reason);
            }
        }
    }

    fn list(&self, item: &Item) {
        match self.notices.replica(&item.key, &item.value) {
            Ok(listed) => {
                let (id, draining) = (listed.target.id.clone(), listed.draining);
                if self.slots.fleet.lock().list(listed) {
                    tracing::info!(event = "replica_listed", replica = %id, draining);
                }
            }
            Err(reason) => {
                // Whatever wrote it, it names no replica that may be used.
                tracing::error!(event = "replica_unreadable", key = %item.key, %reason);
                self.unlist(&self.notices.replica_id(&item.key));
            }
        }
    }

    fn unlist(&self, id: &str) {
        if self.slots.fleet.lock().remove(id) {
            tracing::info!(event = "replica_gone", replica = %id);
        }
    }

    /// Takes over the whole list. Who is missing is gone; after an outage of the store only
    /// once [`LAPSE`] is over, for entries also lapse while the store is away. Entries that
    /// come back show in what is followed, so nobody asks for them one by one: a call for each
    /// missing replica at each of 250 nodes came to 57,000 in two outages.
    fn relist(self: &Arc<Self>, page: &Page, prefix: &str) {
        let mut missing = self.slots.fleet.lock().ids();
        for item in &page.items {
            self.list(item);
            let id = self.notices.replica_id(&item.key);
            missing.retain(|m| *m != id);
        }
        let since = self.detour.since_back().unwrap_or(LAPSE);
        let wait = LAPSE.saturating_sub(since);
        if wait.is_zero() {
            missing.iter().for_each(|id| self.unlist(id));
            return;
        }
        if missing.is_empty() {
            return;
        }
        let (app, prefix) = (self.clone(), prefix.to_owned());
        self.spawn(async move {
            tokio::time::sleep(wait).await;
            // Entries lapse anew in another outage; the whole is read after it.
            if app.detour.nobody() {
                return;
            }
            let feed = app.feeds.of(Followed::Replicas);
            let gone = missing.iter().filter(|id| !feed.has(&format!("{prefix}{id}")));
            gone.for_each(|id| app.unlist(id));
        });
    }
}
