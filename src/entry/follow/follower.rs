//! Follows prefixes of the store: each is read once as a snapshot and then watched without a gap.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::received_update::{PeerUpdate, ReceivedUpdate};
use super::sources::MAX_SEED_KEYS;
use super::topic::Topic;
use crate::decide::ViewAge;
use crate::edge::store::StoreError;
use crate::entry::app::App;

/// The longest time that a watch waits for a change; the store allows 30 s. Every further watch
/// is a call that the platform counts. A dead connection is found by the keep-alive probes of the
/// client, so the watch does not have to be short for that.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(28);
/// How much of the time for which the store retains its history a watch may last, in quarters: a
/// watch cannot resume from a revision that the store has dropped.
const MAX_WATCH_HISTORY_QUARTERS: u32 = 3;
/// How long a node that relies on watchers watches the store itself after no watcher answered.
const SELF_WATCH_WAIT: Duration = Duration::from_secs(3);
/// Up to what age the reply of a watcher without news is not logged: nodes renew their leases every
/// 0.7 s, and batch changes for up to 0.9 s.
const MAX_USUAL_AGE: Duration = Duration::from_millis(1_700);
/// The delay after the first failed call. It is short, because the usual cause is a cut
/// connection.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long after the end of an outage of the store the retry delay stays short.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);
/// The longest delay between retries, which bounds how late the return of the store is noticed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Up to where the changes of a topic are known.
#[derive(Debug, Clone, Copy)]
struct Position {
    revision: u64,
    /// The count of watch gaps when this node read its snapshot from the store. None if the last
    /// update came from another node.
    watch_gaps: Option<u64>,
}

/// Follows one topic.
struct Follower {
    app: Arc<App>,
    topic: Topic,
    prefix: String,
    /// None before the first snapshot, and once a change may have been missed.
    position: Option<Position>,
    /// How far the view may be behind the store.
    view: ViewAge,
    /// Whether a snapshot was ever applied.
    loaded: bool,
    /// Whether the last call failed and this was logged.
    failing: bool,
    retry_delay: Duration,
}

/// Follows a topic until the process ends.
pub(in crate::entry) async fn follow(app: Arc<App>, topic: Topic) {
    let prefix = topic.prefix(&app);
    let view = ViewAge::new(topic.change_time(&app.settings));
    let mut follower = Follower {
        app,
        topic,
        prefix,
        position: None,
        view,
        loaded: false,
        failing: false,
        retry_delay: INITIAL_RETRY_DELAY,
    };
    loop {
        match follower.update().await {
            Ok(()) => follower.handle_success(),
            Err(e) => follower.handle_failure(e).await,
        }
    }
}

impl Follower {
    /// Gets and applies the next update. Reads the store if work at this node needs a version of the
    /// configuration that it does not know.
    async fn update(&mut self) -> Result<(), StoreError> {
        if self.topic != Topic::Routes || !self.loaded {
            return self.next_update().await;
        }
        let app = self.app.clone();
        let needed = tokio::select! {
            biased;
            needed = app.route_versions.wait_until_missing() => needed,
            result = self.next_update() => return result,
        };
        let known = app.routes().map_or(0, |routes| routes.version);
        tracing::info!(event = "routes_behind", known, needed);
        self.position = None;
        self.update_from_store().await?;
        // What is not in the store by now was never accepted, or can't be read here.
        app.route_versions.record_known(needed);
        Ok(())
    }

    /// Gets and applies the next update, from another node or from the store.
    async fn next_update(&mut self) -> Result<(), StoreError> {
        if let Some(feed_topic) = self.topic.feed_topic() {
            if !self.loaded
                && let Some(peer_update) = self.app.fetch_initial(feed_topic).await
            {
                self.apply(peer_update);
                return Ok(());
            }
            let after = self.position.map_or(0, |position| position.revision);
            if self.loaded
                && let Some(peer_update) = self.app.fetch_update(feed_topic, after, self.view).await
            {
                self.apply(peer_update);
                return Ok(());
            }
        }
        let result = self.update_from_store().await;
        if let (Err(_), false, Some(feed_topic)) = (&result, self.loaded, self.topic.feed_topic())
            && let Some(peer_update) = self.app.fetch_stale(feed_topic).await
        {
            tracing::info!(event = "stale_snapshot_applied", topic = self.topic.as_str());
            if self.topic == Topic::Routes {
                self.app.stale_routes.store(true, Ordering::Relaxed);
            }
            self.apply(peer_update);
        }
        result
    }

    /// Applies an update from another node.
    fn apply(&mut self, peer_update: PeerUpdate) {
        let Some(feed_topic) = self.topic.feed_topic() else { return };
        let feed = self.app.feeds.get(feed_topic);
        self.log_update(&peer_update);
        self.view.confirm(self.app.now().saturating_sub(peer_update.age));
        match peer_update.update {
            ReceivedUpdate::Snapshot(page) => {
                if self.loaded {
                    // Changes that readers of jobs depend on may have been missed as well.
                    self.app.watch_gaps.fetch_add(1, Ordering::Relaxed);
                }
                feed.copy_from_peer(&page, peer_update.age);
                self.position = Some(Position { revision: page.revision, watch_gaps: None });
                self.loaded = true;
                self.app.apply_snapshot(self.topic, &page, &self.prefix);
            }
            ReceivedUpdate::Changes(watched) => {
                feed.end_watch();
                feed.apply_from_peer(&watched, peer_update.age);
                self.position = Some(Position { revision: watched.revision, watch_gaps: None });
                self.app.apply_changes(self.topic, &watched);
            }
            ReceivedUpdate::CatchUp(watched) => {
                self.app.watch_gaps.fetch_add(1, Ordering::Relaxed);
                feed.end_watch();
                feed.apply_from_peer(&watched, peer_update.age);
                feed.forget_changes();
                self.position = Some(Position { revision: watched.revision, watch_gaps: None });
                self.app.apply_catch_up(self.topic, &watched, &self.prefix);
            }
        }
    }

    /// Logs a snapshot and a new configuration. Changes of replicas and nodes are logged one by
    /// one where they are applied.
    fn log_update(&self, peer_update: &PeerUpdate) {
        let (from, bytes, topic) = (peer_update.from, peer_update.bytes, self.topic.as_str());
        let age_ms = peer_update.age.as_millis();
        match &peer_update.update {
            ReceivedUpdate::Snapshot(page) => {
                let revision = page.revision;
                tracing::info!(event = "snapshot_received", topic, %from, revision, bytes, age_ms);
            }
            ReceivedUpdate::CatchUp(watched) => {
                let (revision, changes) = (watched.revision, watched.changes.len());
                tracing::info!(
                    event = "catch_up_received", topic, %from, revision, changes, bytes, age_ms
                );
            }
            ReceivedUpdate::Changes(watched) if self.topic == Topic::Routes && bytes > 0 => {
                let revision = watched.revision;
                tracing::info!(event = "routes_received", %from, revision, bytes, age_ms);
            }
            ReceivedUpdate::Changes(watched) if peer_update.age > MAX_USUAL_AGE => {
                let revision = watched.revision;
                tracing::info!(event = "watcher_behind", topic, %from, revision, age_ms);
            }
            ReceivedUpdate::Changes(_) => {}
        }
    }

    /// Reads a snapshot from the store, or resumes the watch of this node.
    async fn update_from_store(&mut self) -> Result<(), StoreError> {
        let app = self.app.clone();
        let feed = self.topic.feed_topic().map(|feed_topic| app.feeds.get(feed_topic));
        let watch_gaps = app.watch_gaps.load(Ordering::Relaxed);
        // A long list is not read again by a node that had it from others: with hundreds of them, the
        // link of the store would be full for a minute.
        let is_long = feed.is_some_and(|feed| feed.len() > MAX_SEED_KEYS);
        let resumable = self.position.filter(|position| match position.watch_gaps {
            Some(known) => known == watch_gaps,
            None => is_long,
        });
        let sent = app.now();
        let Some(position) = resumable else {
            let page = app.store.range(&self.prefix).await?;
            if let Some(feed) = feed {
                feed.begin_watch(&page);
            }
            self.position =
                Some(Position { revision: page.revision, watch_gaps: Some(watch_gaps) });
            self.loaded = true;
            self.view.confirm(sent);
            app.apply_snapshot(self.topic, &page, &self.prefix);
            return Ok(());
        };
        if let Some(feed) = feed {
            feed.resume_watch();
        }
        if self.topic == Topic::Replicas && app.watchers().is_some() {
            app.renewal_due.notify_one();
        }
        let mut wait =
            MAX_WATCH_WAIT.min(app.settings.store_history / 4 * MAX_WATCH_HISTORY_QUARTERS);
        if app.relies_on_watchers() {
            wait = wait.min(SELF_WATCH_WAIT);
        }
        let watched = match app.store.watch(&self.prefix, position.revision, wait).await {
            Ok(watched) => watched,
            Err(e) => {
                // A watch that resumes after a cut may start from a history that the store has
                // dropped, and then gets neither changes nor an error for seconds. All prefixes
                // are read as snapshots again.
                app.watch_gaps.fetch_add(1, Ordering::Relaxed);
                return Err(e);
            }
        };
        let revision = position.revision.max(watched.revision);
        self.position = Some(Position { revision, watch_gaps: Some(watch_gaps) });
        self.view.confirm(app.now());
        if let Some(feed) = feed {
            feed.apply(&watched);
        }
        if !watched.changes.is_empty() {
            app.apply_changes(self.topic, &watched);
            self.topic.batch_changes(&app).await;
        }
        Ok(())
    }

    /// Resets the retry state after a successful update.
    fn handle_success(&mut self) {
        self.retry_delay = INITIAL_RETRY_DELAY;
        if self.topic == Topic::Routes {
            self.app.stale_routes.store(false, Ordering::Relaxed);
        }
        if std::mem::take(&mut self.failing) {
            tracing::info!(event = "store_back", topic = self.topic.as_str());
        }
    }

    /// Closes the feed after a failed update and waits before the next one.
    async fn handle_failure(&mut self, e: StoreError) {
        self.position = None;
        if let Some(feed_topic) = self.topic.feed_topic() {
            self.app.feeds.get(feed_topic).end_watch();
        }
        if !self.failing && e != StoreError::Compacted {
            tracing::warn!(event = "store_lost", topic = self.topic.as_str(), error = %e);
            self.failing = true;
        }
        tracing::debug!(event = "read_failed", topic = self.topic.as_str(), error = %e);
        // A call that began during an outage may fail after its end; other nodes wait for the
        // snapshot that this node reads.
        if self
            .app
            .fallback_store
            .time_since_recovery()
            .is_some_and(|since| since < RECOVERY_WINDOW)
        {
            self.retry_delay = INITIAL_RETRY_DELAY;
        }
        self.app.fallback_store.wait_for_recovery(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}
