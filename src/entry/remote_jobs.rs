//! Jobs of other homes, as far as they were read here.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::app::ByName;
use super::keys::results;
use crate::decide::job::{ItemResult, JobSpec};
use crate::edge::store::Item;
use crate::{Moment, Name};

/// Jobs of other homes, as far as they were read here.
#[derive(Debug, Default)]
pub(super) struct RemoteJobs {
    views: Mutex<ByName<Arc<RemoteJob>>>,
}

#[derive(Debug, Default)]
pub(super) struct RemoteJob {
    pub state: Mutex<RemoteJobState>,
    pub spec: Mutex<Option<Arc<JobSpec>>>,
}

#[derive(Debug, Default)]
pub(super) struct RemoteJobState {
    /// The number of its samples, once that is known.
    pub sample_count: Option<usize>,
    pub results: Vec<Arc<ItemResult>>,
    /// The revision from which a watch goes on; none before the first read.
    pub revision: Option<u64>,
    /// The node's count of cut watches at the last whole read.
    pub watch_gaps: u64,
    /// Whether the store has said that its trainer ended it: nothing comes to it any more.
    pub ended: bool,
    /// Whether these are all results that it will ever have.
    pub complete: bool,
    /// When the store was last heard about it.
    pub last_update: Moment,
    pub location: JobLocation,
}

/// Where a job is read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) enum JobLocation {
    /// Nobody has asked yet.
    #[default]
    Unknown,
    /// JobLocation its home.
    Home {
        /// The incarnation that runs it.
        life: Name,
        /// The counts of cut watches and of nodes that went as the store said so.
        sure: (u64, u64),
    },
    /// In the store: its home has no more of it.
    Store,
}

impl RemoteJobs {
    /// Forgets views that were not heard of for so long.
    pub(super) fn forget(&self, now: Moment, kept: Duration) {
        let rested = |view: &RemoteJob| now.saturating_sub(view.state.lock().last_update);
        self.views.lock().retain(|_, view| rested(view) <= kept);
    }

    pub(super) fn remove(&self, job: &str) {
        self.views.lock().remove(job);
    }

    pub(super) fn get(&self, job: &str) -> Arc<RemoteJob> {
        let mut views = self.views.lock();
        views.entry(job.into()).or_default().clone()
    }
}

impl RemoteJobState {
    /// Takes over results, if they begin where the known ones end.
    pub(super) fn add(&mut self, job: &str, item: &Item) {
        if *item.key != *results(job, self.results.len()) {
            return;
        }
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice::<Vec<Arc<ItemResult>>, _>(&item.value, config) {
            Ok((batch, _)) => self.results.extend(batch),
            Err(e) => tracing::error!(event = "results_unreadable", job, error = %e),
        }
    }
}
