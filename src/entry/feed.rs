//! The last changes under a prefix, for nodes that follow it here instead of in the store.
//!
//! Load pattern: every node has to know of every change of replicas and nodes, and each watch
//! that returns is a call. With every node watching, calls grow with the square of the fleet;
//! with one node in sixteen watching, and the others asking those, with the fleet.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::edge::store::{Change, Watched};

/// Changes that are kept: several seconds of a fleet that loads weights on every replica.
const KEPT: usize = 512;

/// The changes that a node's own watch brought.
#[derive(Debug)]
pub struct Feed {
    state: Mutex<State>,
    news: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether the watch goes on without a gap.
    open: bool,
    /// Changes after this revision are there.
    floor: u64,
    /// The revision up to which the watch has heard.
    revision: u64,
    changes: VecDeque<Change>,
}

impl Default for Feed {
    fn default() -> Self {
        Self { state: Mutex::default(), news: watch::Sender::new(0) }
    }
}

impl Feed {
    /// The whole was read at a revision, and is watched from there.
    pub fn open(&self, revision: u64) {
        let mut state = self.state.lock();
        *state = State { open: true, floor: revision, revision, changes: VecDeque::new() };
        drop(state);
        self.tell();
    }

    /// The watch ended.
    pub fn close(&self) {
        self.state.lock().open = false;
        self.tell();
    }

    /// The watch brought these.
    pub fn add(&self, watched: &Watched) {
        let mut state = self.state.lock();
        state.changes.extend(watched.changes.iter().cloned());
        state.revision = state.revision.max(watched.revision);
        while state.changes.len() > KEPT {
            if let Some(change) = state.changes.pop_front() {
                state.floor = change.revision();
            }
        }
        drop(state);
        self.tell();
    }

    /// Changes after a revision, as soon as there is one or `wait` is over. None if the feed
    /// can't say.
    pub async fn after(&self, after: u64, wait: Duration) -> Option<Watched> {
        let mut news = self.news.subscribe();
        let ends = tokio::time::Instant::now() + wait;
        loop {
            let watched = self.seen(after)?;
            if !watched.changes.is_empty() {
                return Some(watched);
            }
            if tokio::time::timeout_at(ends, news.changed()).await.is_err() {
                return self.seen(after);
            }
        }
    }

    fn seen(&self, after: u64) -> Option<Watched> {
        let state = self.state.lock();
        if !state.open || after < state.floor {
            return None;
        }
        let changes = state.changes.iter().filter(|change| change.revision() > after);
        let changes = changes.cloned().collect();
        Some(Watched { changes, revision: state.revision.max(after) })
    }

    fn tell(&self) {
        self.news.send_modify(|n| *n += 1);
    }
}
