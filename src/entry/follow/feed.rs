//! A copy of the keys under a prefix of the store and their last changes, for nodes that follow
//! the prefix here instead of in the store.
//!
//! Load pattern: every node needs every change of routes, replicas and nodes, and each watch
//! that returns is a call to the store. If every node watches, the calls grow with the square of
//! the fleet; if one node in 16 watches and the others ask those, they grow linearly. A node
//! that has missed changes gets a snapshot here as well: when each node read it from the store,
//! a dropped history or an outage made every node read it three times at the same moment.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Name;
use crate::edge::store::{Change, KeyValue, RangeResult, WatchBatch};

/// How many changes are retained: several seconds of changes while a fleet loads new weights on
/// every replica.
const MAX_RETAINED_CHANGES: usize = 512;
/// How many bytes of values the retained changes may hold: two of the largest values. A
/// configuration is a single value that is written again with each change, and hundreds of them
/// exceed the memory of a node.
const MAX_RETAINED_BYTES: usize = 2 << 20;

/// An update of a prefix for a node that follows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedUpdate {
    /// Everything under the prefix.
    Snapshot {
        /// The keys and values.
        page: RangeResult,
        /// How long ago the copy was last confirmed by the store.
        age: Duration,
    },
    /// The changes since a revision.
    Changes(WatchBatch),
}

impl FeedUpdate {
    /// Returns the size of all values in it, in bytes.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Snapshot { page, .. } => page.items.iter().map(|item| item.value.len()).sum(),
            Self::Changes(watched) => watched.changes.iter().map(Change::value_bytes).sum(),
        }
    }
}

/// A node's copy of the keys under a prefix.
#[derive(Debug)]
pub struct Feed {
    state: Mutex<State>,
    /// Counts updates, to wake up waiting readers.
    update_count: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether this node watches the prefix itself and has missed no change.
    watched: bool,
    /// The revision after which `changes` is complete.
    complete_after: u64,
    /// The revision of the store that `items` stands for.
    revision: u64,
    /// The last changes, oldest first.
    changes: VecDeque<Change>,
    /// The bytes of the values in `changes`.
    change_bytes: usize,
    items: BTreeMap<Name, KeyValue>,
    /// When the store last confirmed the copy. None before the first snapshot.
    updated: Option<Instant>,
}

impl Default for Feed {
    fn default() -> Self {
        Self { state: Mutex::default(), update_count: watch::Sender::new(0) }
    }
}

impl Feed {
    /// Replaces the copy by a snapshot from the store, from which this node goes on to watch.
    pub fn begin_watch(&self, page: &RangeResult) {
        self.set(page, true, Some(Instant::now()));
    }

    /// Replaces the copy by a snapshot from another node, which had it from the store `age` ago.
    pub fn copy_from_peer(&self, page: &RangeResult, age: Duration) {
        self.set(page, false, Instant::now().checked_sub(age));
    }

    fn set(&self, page: &RangeResult, watched: bool, updated: Option<Instant>) {
        let items = page.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        *self.state.lock() = State {
            watched,
            complete_after: page.revision,
            revision: page.revision,
            changes: VecDeque::new(),
            change_bytes: 0,
            items,
            updated,
        };
        self.notify();
    }

    /// Records that this node no longer watches the prefix itself.
    pub fn end_watch(&self) {
        self.state.lock().watched = false;
        self.notify();
    }

    /// Applies changes that follow the present revision.
    pub fn apply(&self, watched: &WatchBatch) {
        let mut state = self.state.lock();
        for change in &watched.changes {
            match change {
                Change::Put(item) => drop(state.items.insert(item.key.clone(), item.clone())),
                Change::Removed { key, .. } => drop(state.items.remove(key)),
            }
        }
        state.retain(&watched.changes);
        state.revision = state.revision.max(watched.revision);
        state.updated = Some(Instant::now());
        drop(state);
        self.notify();
    }

    /// Returns the changes after a revision, as soon as there is one or `wait` is over, or a
    /// snapshot if some of the changes are no longer retained. None if this node does not watch
    /// the prefix itself.
    pub async fn wait_for_update(&self, after: u64, wait: Duration) -> Option<FeedUpdate> {
        let mut update_count = self.update_count.subscribe();
        let deadline = Instant::now() + wait;
        loop {
            let update = self.update_after(after)?;
            if !matches!(&update, FeedUpdate::Changes(watched) if watched.changes.is_empty()) {
                return Some(update);
            }
            if tokio::time::timeout_at(deadline, update_count.changed()).await.is_err() {
                return self.update_after(after);
            }
        }
    }

    /// Returns a snapshot as soon as there is one. None if there is none within `wait`.
    pub async fn wait_for_snapshot(&self, wait: Duration) -> Option<FeedUpdate> {
        let mut update_count = self.update_count.subscribe();
        let known = async {
            loop {
                if let Some(snapshot) = self.snapshot() {
                    return snapshot;
                }
                let _ = update_count.changed().await;
            }
        };
        tokio::time::timeout(wait, known).await.ok().or_else(|| self.snapshot())
    }

    /// Returns a snapshot, which may come from another node or from before an outage. None before
    /// the first.
    pub fn snapshot(&self) -> Option<FeedUpdate> {
        let state = self.state.lock();
        let age = if state.watched { Duration::ZERO } else { state.updated?.elapsed() };
        state.updated?;
        Some(state.snapshot(age))
    }

    /// Whether the copy contains a key.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.state.lock().items.contains_key(key)
    }

    fn update_after(&self, after: u64) -> Option<FeedUpdate> {
        let state = self.state.lock();
        if !state.watched {
            return None;
        }
        if after < state.complete_after {
            return Some(state.snapshot(Duration::ZERO));
        }
        let changes = state.changes.iter().filter(|change| change.revision() > after);
        let changes = changes.cloned().collect();
        Some(FeedUpdate::Changes(WatchBatch { changes, revision: state.revision.max(after) }))
    }

    fn notify(&self) {
        self.update_count.send_modify(|n| *n += 1);
    }
}

impl State {
    /// Retains changes and drops the oldest ones beyond the limits. The newest change is retained
    /// whatever its size.
    fn retain(&mut self, changes: &[Change]) {
        for change in changes {
            self.change_bytes += change.value_bytes();
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > MAX_RETAINED_CHANGES
            || (self.changes.len() > 1 && self.change_bytes > MAX_RETAINED_BYTES)
        {
            let Some(change) = self.changes.pop_front() else { return };
            self.change_bytes -= change.value_bytes();
            self.complete_after = change.revision();
        }
    }

    fn snapshot(&self, age: Duration) -> FeedUpdate {
        let items = self.items.values().cloned().collect();
        FeedUpdate::Snapshot { page: RangeResult { items, revision: self.revision }, age }
    }
}
