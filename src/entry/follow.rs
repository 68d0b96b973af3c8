//! Follows prefixes of the store: read whole once, then watched without a gap.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::App;
use super::keys::LIVE;
use super::peer::Followed;
use super::source::Fed;
use crate::decide::rank;
use crate::edge::notice::Notice;
use crate::edge::store::{Change, Item, Page, StoreError};

/// The longest that a watch may stay without news: the store takes 30 s. Every further watch
/// is a call that the platform counts; a connection that has gone silent is found by the
/// client's keep-alive probes.
const WAIT: Duration = Duration::from_secs(28);
/// The part of the store's history that a watch may take up, in quarters: one that goes on
/// from before the history comes to nothing.
const QUARTERS: u32 = 3;
/// How long before work must have stopped going to a replica that leaves its report has to
/// be seen here: for the answer of a store that is sixty times as slow as usual, an attempt
/// on its way, and one look more.
const AHEAD: Duration = Duration::from_millis(1_100);
/// For how long changes of nodes are gathered: clients are to be sent elsewhere soon.
const LIVE_GATHER: Duration = Duration::from_millis(250);
/// For how long changes of the list of replicas are gathered at least, and at most where a
/// job runs: its samples want to know soon which replicas have new weights. Gathered for
/// 1.9 s at homes as well, 71 nodes in trouble served 0.56 instead of 0.60 of what was asked,
/// weighted by its worth to callers (means of six and twelve plays).
const GATHER: Duration = Duration::from_millis(900);
/// Pauses between failed calls: the first is short, as a cut connection is the usual cause.
const FIRST: Duration = Duration::from_millis(50);
/// The longest pause: the return of the store is seen this soon.
const LONGEST: Duration = Duration::from_millis(400);
/// How long a replica that vanished from the list over an outage of the store may still be
/// there: entries that lapsed are back two seconds after the store is.
const LAPSE: Duration = Duration::from_millis(2_000);

/// What is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Topic {
    /// The configuration.
    Routes,
    /// The versions that trainers name; only who gives orders follows them.
    Versions,
    /// The machines that are to be emptied.
    Retirements,
    /// The list of replicas.
    Replicas,
    /// Nodes and the holder of orders.
    Live,
}

impl Topic {
    /// Gathers changes for a while after some came. Each change wakes a watch of every node
    /// otherwise: a round of loads changes every replica's entry within a second. The watch
    /// of routes never rests, so that one watch is always there to be cut when the store
    /// drops its history.
    async fn rest(self, app: &App) {
        match self {
            Self::Routes | Self::Versions | Self::Retirements => {}
            // Whoever is asked for changes has gathered them.
            Self::Replicas | Self::Live if app.source().is_some() => {}
            Self::Live => tokio::time::sleep(LIVE_GATHER).await,
            Self::Replicas => {
                tokio::time::sleep(GATHER).await;
                // Others hear of changes here.
                if app.watchers().is_some() {
                    return;
                }
                let longer = app.settings.drain.saturating_sub(AHEAD + GATHER);
                let _ = tokio::time::timeout(longer, app.homes.work()).await;
            }
        }
    }

    /// What other nodes may follow of it. The routes are watched by every node: that watch
    /// is cut when the store drops its history.
    fn followed(self) -> Option<Followed> {
        match self {
            Self::Replicas => Some(Followed::Replicas),
            Self::Live => Some(Followed::Live),
            Self::Routes | Self::Versions | Self::Retirements => None,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Versions => "versions",
            Self::Retirements => "retirements",
            Self::Replicas => "replicas",
            Self::Live => "live",
        }
    }
}

/// Follows a topic until the process ends.
pub(super) async fn follow(app: Arc<App>, topic: Topic) {
    let prefix = match topic {
        Topic::Routes => app.notices.routes().to_owned(),
        Topic::Versions => app.notices.versions().to_owned(),
        Topic::Retirements => app.notices.retirements().to_owned(),
        Topic::Replicas => app.notices.replicas().to_owned(),
        Topic::Live => LIVE.to_owned(),
    };
    let mut pause = FIRST;
    let mut lost = false;
    loop {
        let Err(e) = read(&app, topic, &prefix, &mut pause, &mut lost).await else { return };
        if !lost && e != StoreError::Compacted {
            tracing::warn!(event = "store_lost", topic = topic.as_str(), error = %e);
            lost = true;
        }
        tracing::debug!(event = "read_failed", topic = topic.as_str(), error = %e);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST);
    }
}

async fn read(
    app: &Arc<App>,
    topic: Topic,
    prefix: &str,
    pause: &mut Duration,
    lost: &mut bool,
) -> Result<(), StoreError> {
    let doubts = app.doubts.load(Ordering::Relaxed);
    let wait = WAIT.min(app.settings.history / 4 * QUARTERS);
    let page = app.store.range(prefix).await?;
    back(topic, pause, lost);
    let mut revision = page.revision;
    app.load(topic, &page, prefix);
    let _fed = topic.followed().map(|followed| Fed::begin(app, followed, revision));
    loop {
        // A watch that was cut may go on from a history that is gone and hear nothing for
        // seconds, without an error: the whole is read again.
        let watched = match topic.followed() {
            Some(followed) => app.changes(followed, prefix, revision, wait).await,
            None => app.store.watch(prefix, revision, wait).await,
        };
        let watched = match watched {
            Ok(watched) => watched,
            Err(e) => {
                app.doubts.fetch_add(1, Ordering::Relaxed);
                return Err(e);
            }
        };
        back(topic, pause, lost);
        revision = revision.max(watched.revision);
        if !watched.changes.is_empty() {
            for change in &watched.changes {
                app.change(topic, change);
            }
            app.slots.pump(app.now());
            app.tell();
            topic.rest(app).await;
        }
        if doubts != app.doubts.load(Ordering::Relaxed) {
            return Err(StoreError::Compacted);
        }
    }
}

fn back(topic: Topic, pause: &mut Duration, lost: &mut bool) {
    *pause = FIRST;
    if std::mem::take(lost) {
        tracing::info!(event = "store_back", topic = topic.as_str());
    }
}

impl App {
    fn load(self: &Arc<Self>, topic: Topic, page: &Page, prefix: &str) {
        match topic {
            Topic::Replicas => self.relist(page, prefix),
            Topic::Live => {
                self.live.lock().load(page, self.now());
                self.know_peers();
            }
            Topic::Routes | Topic::Versions | Topic::Retirements => {
                page.items.iter().for_each(|item| self.notice(item));
            }
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
                self.live.lock().change(change, self.now());
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
        let ranked = rank(&self.settings.name, others);
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
                tracing::error!(event = "replica_unreadable", key = %item.key, %reason);
            }
        }
    }

    fn unlist(&self, id: &str) {
        if self.slots.fleet.lock().remove(id) {
            tracing::info!(event = "replica_gone", replica = %id);
        }
    }

    /// Takes over the whole list. Who is missing is gone; after an outage of the store only
    /// once [`LAPSE`] is over, for entries also lapse while the store is away.
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
            for id in missing {
                let key = format!("{prefix}{id}");
                if let Ok(None) = app.store.get(&key).await {
                    app.unlist(&id);
                }
            }
        });
    }
}
