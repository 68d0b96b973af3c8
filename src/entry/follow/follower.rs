//! Follows prefixes of the store: read whole once, then watched without a gap.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::feed::FeedUpdate;
use super::sources::PeerUpdate;
use super::topic::Topic;
use crate::edge::store::StoreError;
use crate::entry::app::App;

/// The longest that a watch may stay without news: the store takes 30 s. Every further watch
/// is a call that the platform counts; a connection that has gone silent is found by the
/// client's keep-alive probes.
const WAIT: Duration = Duration::from_secs(28);
/// The part of the store's history that a watch may take up, in quarters: one that goes on
/// from before the history comes to nothing.
const QUARTERS: u32 = 3;
/// How long a node watches for itself after nobody could be asked.
const ALONE: Duration = Duration::from_secs(3);
/// Pauses between failed calls: the first is short, as a cut connection is the usual cause.
const FIRST: Duration = Duration::from_millis(50);
/// How long after the store's return pauses stay short.
const BACK: Duration = Duration::from_millis(500);
/// The longest pause: the return of the store is seen this soon.
const LONGEST: Duration = Duration::from_millis(400);

/// How far a topic was heard.
#[derive(Debug, Clone, Copy)]
struct Heard {
    revision: u64,
    /// Whether by an own watch, and how many watches had been cut as it began.
    own: Option<u64>,
}

/// One topic and how far it was heard.
struct Follower {
    app: Arc<App>,
    topic: Topic,
    prefix: String,
    /// None before the whole is known, or once something may have been missed.
    heard: Option<Heard>,
    /// Whether anything is known.
    begun: bool,
    lost: bool,
    pause: Duration,
}

/// Follows a topic until the process ends.
pub(in crate::entry) async fn follow(app: Arc<App>, topic: Topic) {
    let prefix = topic.prefix(&app);
    let mut follower =
        Follower { app, topic, prefix, heard: None, begun: false, lost: false, pause: FIRST };
    loop {
        match follower.step().await {
            Ok(()) => follower.back(),
            Err(e) => follower.fail(e).await,
        }
    }
}

impl Follower {
    /// Waits for the next news.
    async fn step(&mut self) -> Result<(), StoreError> {
        if let Some(followed) = self.topic.followed() {
            if !self.begun
                && let Some(told) = self.app.hear_first(followed).await
            {
                self.take(told);
                return Ok(());
            }
            let after = self.heard.map_or(0, |heard| heard.revision);
            if self.begun
                && let Some(told) = self.app.hear(followed, after).await
            {
                self.take(told);
                return Ok(());
            }
        }
        let own = self.own().await;
        if let (Err(_), false, Some(followed)) = (&own, self.begun, self.topic.followed())
            && let Some(told) = self.app.hear_old(followed).await
        {
            tracing::info!(event = "old_view_taken", topic = self.topic.as_str());
            if self.topic == Topic::Routes {
                self.app.stale_routes.store(true, Ordering::Relaxed);
            }
            self.take(told);
        }
        own
    }

    /// Takes over what another node said.
    fn take(&mut self, told: PeerUpdate) {
        let Some(followed) = self.topic.followed() else { return };
        let feed = self.app.feeds.get(followed);
        self.log(&told);
        match told.news {
            FeedUpdate::Snapshot { page, age } => {
                if self.begun {
                    // What readers of jobs have seen may have a gap as well.
                    self.app.watch_gaps.fetch_add(1, Ordering::Relaxed);
                }
                feed.copy_from_peer(&page, age);
                self.heard = Some(Heard { revision: page.revision, own: None });
                self.begun = true;
                self.app.load(self.topic, &page, &self.prefix);
            }
            FeedUpdate::Changes(watched) => {
                feed.end_watch();
                feed.apply(&watched);
                self.heard = Some(Heard { revision: watched.revision, own: None });
                self.app.catch_up(self.topic, &watched);
            }
        }
    }

    /// One line for a view that was replaced and for a configuration; changes of replicas and
    /// nodes show one by one.
    fn log(&self, told: &PeerUpdate) {
        let (from, bytes, topic) = (told.from, told.news.bytes(), self.topic.as_str());
        match &told.news {
            FeedUpdate::Snapshot { page, .. } => {
                let revision = page.revision;
                tracing::info!(event = "whole_heard", topic, %from, revision, bytes);
            }
            FeedUpdate::Changes(watched) if self.topic == Topic::Routes && bytes > 0 => {
                let revision = watched.revision;
                tracing::info!(event = "routes_heard", %from, revision, bytes);
            }
            FeedUpdate::Changes(_) => {}
        }
    }

    /// Reads the whole from the store, or goes on with the own watch.
    async fn own(&mut self) -> Result<(), StoreError> {
        let app = self.app.clone();
        let feed = self.topic.followed().map(|followed| app.feeds.get(followed));
        let doubts = app.watch_gaps.load(Ordering::Relaxed);
        let going = self.heard.filter(|heard| heard.own == Some(doubts));
        let Some(heard) = going else {
            let page = app.store.range(&self.prefix).await?;
            if let Some(feed) = feed {
                feed.begin_watch(&page);
            }
            self.heard = Some(Heard { revision: page.revision, own: Some(doubts) });
            self.begun = true;
            app.load(self.topic, &page, &self.prefix);
            return Ok(());
        };
        let mut wait = WAIT.min(app.settings.store_history / 4 * QUARTERS);
        if app.follows() {
            wait = wait.min(ALONE);
        }
        let watched = match app.store.watch(&self.prefix, heard.revision, wait).await {
            Ok(watched) => watched,
            Err(e) => {
                // A watch that was cut may go on from a history that is gone and hear nothing
                // for seconds, without an error: all is read whole again.
                app.watch_gaps.fetch_add(1, Ordering::Relaxed);
                return Err(e);
            }
        };
        let revision = heard.revision.max(watched.revision);
        self.heard = Some(Heard { revision, ..heard });
        if let Some(feed) = feed {
            feed.apply(&watched);
        }
        if !watched.changes.is_empty() {
            app.catch_up(self.topic, &watched);
            self.topic.rest(&app).await;
        }
        Ok(())
    }

    fn back(&mut self) {
        self.pause = FIRST;
        if self.topic == Topic::Routes {
            self.app.stale_routes.store(false, Ordering::Relaxed);
        }
        if std::mem::take(&mut self.lost) {
            tracing::info!(event = "store_back", topic = self.topic.as_str());
        }
    }

    async fn fail(&mut self, e: StoreError) {
        self.heard = None;
        if let Some(followed) = self.topic.followed() {
            self.app.feeds.get(followed).end_watch();
        }
        if !self.lost && e != StoreError::Compacted {
            tracing::warn!(event = "store_lost", topic = self.topic.as_str(), error = %e);
            self.lost = true;
        }
        tracing::debug!(event = "read_failed", topic = self.topic.as_str(), error = %e);
        // A call from before the store's return fails after it; others wait for this reading.
        if self.app.fallback_store.time_since_recovery().is_some_and(|since| since < BACK) {
            self.pause = FIRST;
        }
        self.app.fallback_store.wait_for_recovery(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST);
    }
}
