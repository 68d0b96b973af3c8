//! Jobs of other homes, as far as they were read here.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::app::ByName;
use super::keys::results_key;
use crate::decide::job::{Listing, Spec};
use crate::edge::store::Item;
use crate::{Moment, Name};

/// Jobs of other homes, as far as they were read here.
#[derive(Debug, Default)]
pub(super) struct Views {
    views: Mutex<ByName<Arc<View>>>,
}

#[derive(Debug, Default)]
pub(super) struct View {
    pub state: Mutex<ViewState>,
    pub spec: Mutex<Option<Arc<Spec>>>,
}

#[derive(Debug, Default)]
pub(super) struct ViewState {
    /// The number of its samples, once that is known.
    pub total: Option<usize>,
    pub listed: Vec<Arc<Listing>>,
    /// The revision from which a watch goes on; none before the first read.
    pub revision: Option<u64>,
    /// The node's count of cut watches at the last whole read.
    pub doubts: u64,
    /// Whether the store has said that its trainer ended it: nothing comes to it any more.
    pub ended: bool,
    /// Whether these are all results that it will ever have.
    pub all: bool,
    /// When the store was last heard about it.
    pub heard: Moment,
    pub at: At,
}

/// Where a job is read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) enum At {
    /// Nobody has asked yet.
    #[default]
    Unknown,
    /// At its home.
    Home {
        /// The incarnation that runs it.
        life: Name,
        /// The counts of cut watches and of nodes that went as the store said so.
        sure: (u64, u64),
    },
    /// In the store: its home has no more of it.
    Store,
}

impl Views {
    /// Forgets views that were not heard of for so long.
    pub(super) fn forget(&self, now: Moment, kept: Duration) {
        let rested = |view: &View| now.saturating_sub(view.state.lock().heard);
        self.views.lock().retain(|_, view| rested(view) <= kept);
    }

    pub(super) fn remove(&self, job: &str) {
        self.views.lock().remove(job);
    }

    pub(super) fn get(&self, job: &str) -> Arc<View> {
        let mut views = self.views.lock();
        views.entry(job.into()).or_default().clone()
    }
}

impl ViewState {
    /// Takes over results, if they begin where the known ones end.
    pub(super) fn add(&mut self, job: &str, item: &Item) {
        if *item.key != *results_key(job, self.listed.len()) {
            return;
        }
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice::<Vec<Arc<Listing>>, _>(&item.value, config) {
            Ok((batch, _)) => self.listed.extend(batch),
            Err(e) => tracing::error!(event = "results_unreadable", job, error = %e),
        }
    }
}
