//! What is under a prefix and its last changes, for nodes that follow it here instead of in
//! the store.
//!
//! Load pattern: every node has to know of every change of routes, replicas and nodes, and
//! each watch that returns is a call. With every node watching, calls grow with the square of
//! the fleet; with one node in sixteen watching, and the others asking those, with the fleet.
//! A node that has missed changes gets the whole here too: where each read it from the store,
//! a dropped history or an outage brought three readings of every node at the same moment.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Name;
use crate::edge::store::{Change, Item, Page, Watched};

/// Changes that are kept: several seconds of a fleet that loads weights on every replica.
const KEPT: usize = 512;
/// The bytes of values that changes are kept for: two of the largest. A configuration is one
/// value, written anew with each change; hundreds of them are more memory than a node has.
const KEPT_BYTES: usize = 2 << 20;

/// What a node hears of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedUpdate {
    /// All of it.
    Snapshot {
        /// The keys.
        page: Page,
        /// How long ago the store was last heard of it.
        age: Duration,
    },
    /// What has changed.
    Changes(Watched),
}

impl FeedUpdate {
    /// The bytes of all values in it.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Snapshot { page, .. } => page.items.iter().map(|item| item.value.len()).sum(),
            Self::Changes(watched) => watched.changes.iter().map(Change::bytes).sum(),
        }
    }
}

/// The state of a prefix as a node believes it.
#[derive(Debug)]
pub struct Feed {
    state: Mutex<State>,
    news: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether an own watch goes on without a gap.
    open: bool,
    /// Changes after this revision are there.
    floor: u64,
    /// The revision up to which it was heard.
    revision: u64,
    changes: VecDeque<Change>,
    /// The bytes of the values in `changes`.
    bytes: usize,
    items: BTreeMap<Name, Item>,
    /// When it was last heard of; none before the first time.
    heard: Option<Instant>,
}

impl Default for Feed {
    fn default() -> Self {
        Self { state: Mutex::default(), news: watch::Sender::new(0) }
    }
}

impl Feed {
    /// The whole was read from the store, and is watched from there.
    pub fn begin_watch(&self, page: &Page) {
        self.set(page, true);
    }

    /// The whole was heard from another node, so long ago.
    pub fn copy_from_peer(&self, page: &Page, age: Duration) {
        self.set(page, false);
        self.state.lock().heard = Instant::now().checked_sub(age);
    }

    fn set(&self, page: &Page, open: bool) {
        let items = page.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        *self.state.lock() = State {
            open,
            floor: page.revision,
            revision: page.revision,
            changes: VecDeque::new(),
            bytes: 0,
            items,
            heard: Some(Instant::now()),
        };
        self.tell();
    }

    /// The own watch ended.
    pub fn end_watch(&self) {
        self.state.lock().open = false;
        self.tell();
    }

    /// These have changed since.
    pub fn apply(&self, watched: &Watched) {
        let mut state = self.state.lock();
        for change in &watched.changes {
            match change {
                Change::Put(item) => drop(state.items.insert(item.key.clone(), item.clone())),
                Change::Removed { key, .. } => drop(state.items.remove(key)),
            }
        }
        state.keep(&watched.changes);
        state.revision = state.revision.max(watched.revision);
        state.heard = Some(Instant::now());
        drop(state);
        self.tell();
    }

    /// Changes after a revision, as soon as there is one or `wait` is over; the whole where
    /// some are missing here. None if there is no own watch.
    pub async fn wait_for_update(&self, after: u64, wait: Duration) -> Option<FeedUpdate> {
        let mut news = self.news.subscribe();
        let ends = Instant::now() + wait;
        loop {
            let seen = self.seen(after)?;
            if !matches!(&seen, FeedUpdate::Changes(watched) if watched.changes.is_empty()) {
                return Some(seen);
            }
            if tokio::time::timeout_at(ends, news.changed()).await.is_err() {
                return self.seen(after);
            }
        }
    }

    /// All of it, as soon as anything is known or `wait` is over.
    pub async fn wait_for_snapshot(&self, wait: Duration) -> Option<FeedUpdate> {
        let mut news = self.news.subscribe();
        let known = async {
            loop {
                if let Some(whole) = self.snapshot() {
                    return whole;
                }
                let _ = news.changed().await;
            }
        };
        tokio::time::timeout(wait, known).await.ok().or_else(|| self.snapshot())
    }

    /// All of it, also from another node and from before an outage; none before the first.
    pub fn snapshot(&self) -> Option<FeedUpdate> {
        let state = self.state.lock();
        let age = if state.open { Duration::ZERO } else { state.heard?.elapsed() };
        state.heard?;
        Some(state.whole(age))
    }

    /// Whether a key is there, as far as was heard.
    pub(super) fn has(&self, key: &str) -> bool {
        self.state.lock().items.contains_key(key)
    }

    fn seen(&self, after: u64) -> Option<FeedUpdate> {
        let state = self.state.lock();
        if !state.open {
            return None;
        }
        if after < state.floor {
            return Some(state.whole(Duration::ZERO));
        }
        let changes = state.changes.iter().filter(|change| change.revision() > after);
        let changes = changes.cloned().collect();
        Some(FeedUpdate::Changes(Watched { changes, revision: state.revision.max(after) }))
    }

    fn tell(&self) {
        self.news.send_modify(|n| *n += 1);
    }
}

impl State {
    /// Keeps changes, and lets the oldest go for them; the newest stays, however large.
    fn keep(&mut self, changes: &[Change]) {
        for change in changes {
            self.bytes += change.bytes();
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > KEPT || (self.changes.len() > 1 && self.bytes > KEPT_BYTES) {
            let Some(change) = self.changes.pop_front() else { return };
            self.bytes -= change.bytes();
            self.floor = change.revision();
        }
    }

    fn whole(&self, age: Duration) -> FeedUpdate {
        let items = self.items.values().cloned().collect();
        FeedUpdate::Snapshot { page: Page { items, revision: self.revision }, age }
    }
}
