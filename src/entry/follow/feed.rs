//! A copy of the keys under a prefix of the store and their last changes, for nodes that follow
//! the prefix here instead of in the store.
//!
//! Load pattern: every node needs every change of routes, replicas and nodes, and each watch
//! that returns is a call to the store. If every node watches, the calls grow with the square of
//! the fleet; if one node in 16 watches and the others ask those, they grow linearly. A node
//! that has missed changes gets a snapshot here as well: when each node read it from the store,
//! a dropped history or an outage made every node read it three times at the same moment. With
//! thousands of replicas a snapshot is megabytes, and dozens of nodes ask for the same one: it is
//! encoded and compressed once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use super::{PackedRange, StoreContact};
use crate::Name;
use crate::edge::store::{Change, KeyValue, RangeResult, WatchBatch};

/// How many changes are retained at least: several seconds of changes while a small fleet loads new
/// weights on every replica.
const MIN_RETAINED_CHANGES: usize = 512;
/// With more keys than this for each retained change, more changes are retained: a follower that
/// missed a quarter of all keys costs less as changes than as a snapshot.
const KEYS_PER_RETAINED_CHANGE: usize = 4;
/// How many bytes of values the retained changes may hold: two of the largest values. A
/// configuration is a single value that is written again with each change, and hundreds of them
/// exceed the memory of a node.
const MAX_RETAINED_BYTES: usize = 2 << 20;

/// How fast large snapshots are sent, in bytes a second: the narrowest link of the entry VMs.
const SNAPSHOT_BYTES_PER_S: u64 = 6_000_000;
/// Snapshots up to this size are sent at any time.
const UNPACED_SNAPSHOT_BYTES: usize = 256 << 10;

/// An update of a prefix for a node that follows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedUpdate {
    /// Everything under the prefix.
    Snapshot(PackedRange),
    /// The changes since a revision.
    Changes(WatchBatch),
    /// The changes since a revision, some of which the sender found by comparing two snapshots
    /// after its watch was cut.
    CatchUp(WatchBatch),
}

/// An update, and how far it can be behind the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// The update.
    pub update: FeedUpdate,
    /// How long ago the store last confirmed the sender's copy: the update contains every change
    /// that was made before.
    pub age: Duration,
}

impl FeedUpdate {
    /// Returns the size of all values in it, or of the packed snapshot, in bytes.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Snapshot(page) => page.len(),
            Self::Changes(watched) | Self::CatchUp(watched) => {
                watched.changes.iter().map(Change::value_bytes).sum()
            }
        }
    }

    /// Whether nothing has changed.
    fn is_empty(&self) -> bool {
        matches!(self, Self::Changes(watched) if watched.changes.is_empty())
    }
}

/// A node's copy of the keys under a prefix.
#[derive(Debug)]
pub struct Feed {
    state: Mutex<State>,
    contact: StoreContact,
    /// Counts updates, to wake up waiting readers.
    update_count: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether this node watches the prefix itself and has missed no change.
    watched: bool,
    /// Since when a watch of the store is open. None between two watches.
    open_since: Option<Instant>,
    /// The revision after which `changes` is complete.
    complete_after: u64,
    /// The revision of the store that `items` stands for.
    revision: u64,
    /// The last changes, oldest first.
    changes: VecDeque<RetainedChange>,
    /// Where the watch was cut and a snapshot was read, oldest first.
    gaps: Vec<Gap>,
    /// The bytes of the values in `changes`.
    change_bytes: usize,
    items: BTreeMap<Name, KeyValue>,
    /// The snapshot of `items`, once a node has asked for it.
    packed: Option<PackedRange>,
    packed_snapshots: u64,
    /// Until when the last large snapshot is being sent.
    sending_until: Option<Instant>,
    /// When the store last confirmed the copy. None before the first snapshot.
    updated: Option<Instant>,
}

/// A change, and the revision of the feed at which followers get it.
#[derive(Debug)]
struct RetainedChange {
    revision: u64,
    change: Change,
}

/// Revisions between which only the difference of two snapshots is known. A follower that was in
/// between, at another node, may know keys that neither snapshot has.
#[derive(Debug, Clone, Copy)]
struct Gap {
    start: u64,
    end: u64,
}

impl Default for Feed {
    fn default() -> Self {
        Self::new(StoreContact::default())
    }
}

impl Feed {
    /// Creates an empty feed of a node whose calls to the store are recorded in `contact`.
    pub fn new(contact: StoreContact) -> Self {
        Self { state: Mutex::default(), contact, update_count: watch::Sender::new(0) }
    }

    /// Replaces the copy by a snapshot from the store, from which this node goes on to watch. What
    /// differs is retained as changes, so that followers need no snapshot after a cut.
    pub fn begin_watch(&self, page: &RangeResult) {
        {
            let mut state = self.state.lock();
            if state.updated.is_some() && state.revision < page.revision {
                state.catch_up(page);
                state.watched = true;
                state.open_since = None;
                state.updated = Some(Instant::now());
                drop(state);
                return self.notify();
            }
        }
        self.set(page, true, Some(Instant::now()));
    }

    /// Replaces the copy by a snapshot from another node, which had it from the store `age` ago.
    pub fn copy_from_peer(&self, page: &RangeResult, age: Duration) {
        self.set(page, false, Instant::now().checked_sub(age));
    }

    fn set(&self, page: &RangeResult, watched: bool, updated: Option<Instant>) {
        let items = page.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        let mut state = self.state.lock();
        *state = State {
            packed_snapshots: state.packed_snapshots,
            sending_until: state.sending_until,
            watched,
            open_since: None,
            complete_after: page.revision,
            revision: page.revision,
            changes: VecDeque::new(),
            gaps: Vec::new(),
            change_bytes: 0,
            items,
            packed: None,
            updated,
        };
        drop(state);
        self.notify();
    }

    /// Records that this node opens a watch of the prefix from the present revision on.
    pub fn resume_watch(&self) {
        let mut state = self.state.lock();
        state.watched = true;
        state.open_since = Some(Instant::now());
    }

    /// Records that this node no longer watches the prefix itself.
    pub fn end_watch(&self) {
        let mut state = self.state.lock();
        state.watched = false;
        state.open_since = None;
        drop(state);
        self.notify();
    }

    /// Applies changes that follow the present revision, which the store has just returned.
    pub fn apply(&self, watched: &WatchBatch) {
        self.apply_confirmed(watched, Some(Instant::now()));
    }

    /// Applies changes that follow the present revision, from another node, which had them
    /// confirmed by the store `age` ago.
    pub fn apply_from_peer(&self, watched: &WatchBatch, age: Duration) {
        self.apply_confirmed(watched, Instant::now().checked_sub(age));
    }

    fn apply_confirmed(&self, watched: &WatchBatch, confirmed: Option<Instant>) {
        let mut state = self.state.lock();
        if !watched.changes.is_empty() {
            state.packed = None;
        }
        for change in &watched.changes {
            match change {
                Change::Put(item) => drop(state.items.insert(item.key.clone(), item.clone())),
                Change::Removed { key, .. } => drop(state.items.remove(key)),
            }
        }
        for change in &watched.changes {
            state.retain(change.revision(), change.clone());
        }
        state.revision = state.revision.max(watched.revision);
        state.open_since = None;
        state.updated = state.updated.max(confirmed);
        drop(state);
        self.notify();
    }

    /// Returns the changes after a revision, as soon as there is one or `wait` is over, or a
    /// snapshot if some of the changes are no longer retained. None if this node does not watch
    /// the prefix itself.
    pub async fn wait_for_update(&self, after: u64, wait: Duration) -> Option<FeedReply> {
        let mut update_count = self.update_count.subscribe();
        let deadline = Instant::now() + wait;
        loop {
            let reply = self.reply_after(after)?;
            if !reply.update.is_empty() {
                return Some(reply);
            }
            if tokio::time::timeout_at(deadline, update_count.changed()).await.is_err() {
                return self.reply_after(after);
            }
        }
    }

    /// Waits until there is a snapshot. False if there is none within `wait`.
    pub async fn wait_until_loaded(&self, wait: Duration) -> bool {
        let mut update_count = self.update_count.subscribe();
        let loaded = async {
            while self.state.lock().updated.is_none() {
                let _ = update_count.changed().await;
            }
        };
        tokio::time::timeout(wait, loaded).await.is_ok() || self.state.lock().updated.is_some()
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.state.lock().items.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a large snapshot was sent so recently that another one would have to wait for it on
    /// the link of this node. Otherwise the next one is taken to be sent now.
    ///
    /// Load pattern: hundreds of nodes start at once and ask a few others for megabytes.
    pub fn is_sending(&self) -> bool {
        let mut state = self.state.lock();
        let now = Instant::now();
        if state.sending_until.is_some_and(|until| now < until) {
            return true;
        }
        let bytes = state.packed.as_ref().map_or(0, PackedRange::len);
        state.sending_until = (bytes > UNPACED_SNAPSHOT_BYTES)
            .then(|| now + Duration::from_micros(bytes as u64 * 1_000_000 / SNAPSHOT_BYTES_PER_S));
        false
    }

    /// Forgets the retained changes, so that followers of earlier revisions get a snapshot.
    pub fn forget_changes(&self) {
        let mut state = self.state.lock();
        state.changes.clear();
        state.gaps.clear();
        state.change_bytes = 0;
        state.complete_after = state.revision;
    }

    /// Returns a snapshot, which may come from another node or from before an outage. None before
    /// the first.
    pub fn snapshot(&self) -> Option<FeedReply> {
        let mut state = self.state.lock();
        let age = state.confirmed(self.contact.last())?.elapsed();
        Some(FeedReply { update: state.snapshot()?, age })
    }

    /// Returns how many snapshots were packed for other nodes so far.
    pub fn packed_snapshots(&self) -> u64 {
        self.state.lock().packed_snapshots
    }

    /// Whether the copy contains a key.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.state.lock().items.contains_key(key)
    }

    fn reply_after(&self, after: u64) -> Option<FeedReply> {
        let mut state = self.state.lock();
        if !state.watched {
            return None;
        }
        let age = state.confirmed(self.contact.last())?.elapsed();
        Some(FeedReply { update: state.update_after(after)?, age })
    }

    fn notify(&self) {
        self.update_count.send_modify(|n| *n += 1);
    }
}

impl State {
    /// Returns when the store last confirmed the copy. While a watch is open, each answer of the
    /// store to a later call does: the change would have been sent before it.
    fn confirmed(&self, contact: Option<Instant>) -> Option<Instant> {
        let during_watch = self.open_since.and_then(|since| contact.filter(|at| *at >= since));
        self.updated.max(during_watch)
    }

    /// Returns the changes after a revision, or a snapshot if some are no longer retained.
    fn update_after(&mut self, after: u64) -> Option<FeedUpdate> {
        let in_gap = self.gaps.iter().any(|gap| gap.start < after && after < gap.end);
        if after < self.complete_after || in_gap {
            return self.snapshot();
        }
        let newer = self.changes.iter().filter(|retained| retained.revision > after);
        let changes = newer.map(|retained| retained.change.clone()).collect();
        let watched = WatchBatch { changes, revision: self.revision.max(after) };
        if self.gaps.iter().any(|gap| after < gap.end) {
            return Some(FeedUpdate::CatchUp(watched));
        }
        Some(FeedUpdate::Changes(watched))
    }

    /// Retains a change and drops the oldest ones beyond the limits. The newest change is retained
    /// whatever its size.
    fn retain(&mut self, revision: u64, change: Change) {
        self.change_bytes += change.value_bytes();
        self.changes.push_back(RetainedChange { revision, change });
        let limit = MIN_RETAINED_CHANGES.max(self.items.len() / KEYS_PER_RETAINED_CHANGE);
        while self.changes.len() > limit
            || (self.changes.len() > 1 && self.change_bytes > MAX_RETAINED_BYTES)
        {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.change_bytes -= oldest.change.value_bytes();
            self.complete_after = oldest.revision;
        }
        let complete_after = self.complete_after;
        self.gaps.retain(|gap| gap.end > complete_after);
    }

    /// Replaces the copy by a later snapshot, and retains what differs as changes.
    fn catch_up(&mut self, page: &RangeResult) {
        self.gaps.push(Gap { start: self.revision, end: page.revision });
        let items: BTreeMap<Name, KeyValue> =
            page.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        let before = std::mem::replace(&mut self.items, items);
        let removed: Vec<Change> = before
            .keys()
            .filter(|key| !self.items.contains_key(*key))
            .map(|key| Change::Removed { key: key.clone(), revision: page.revision })
            .collect();
        let is_new = |item: &&KeyValue| before.get(&item.key) != Some(*item);
        let written = page.items.iter().filter(is_new).cloned().map(Change::Put);
        for change in removed.into_iter().chain(written) {
            self.retain(page.revision, change);
        }
        self.revision = page.revision;
        self.packed = None;
    }

    /// Returns the snapshot, which is packed once for all nodes that ask for it. None if it does
    /// not encode.
    fn snapshot(&mut self) -> Option<FeedUpdate> {
        if self.packed.is_none() {
            let items = self.items.values().cloned().collect();
            let packed = PackedRange::new(&RangeResult { items, revision: self.revision });
            self.packed = packed
                .inspect_err(|e| tracing::error!(event = "snapshot_not_packed", error = %e))
                .ok();
            self.packed_snapshots += 1;
        }
        let page = self.packed.clone()?;
        Some(FeedUpdate::Snapshot(page))
    }
}
