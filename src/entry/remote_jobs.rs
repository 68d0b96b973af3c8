//! Copies of jobs that other nodes own, as far as their results were read on this node.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::app::ByName;
use super::keys::results_key;
use crate::decide::job::{ItemResult, JobSpec};
use crate::edge::store::KeyValue;
use crate::{Moment, Name};

/// Copies of jobs that other nodes own, by job id.
#[derive(Debug, Default)]
pub(super) struct RemoteJobs {
    jobs: Mutex<ByName<Arc<RemoteJob>>>,
}

/// A copy of a job that another node owns.
#[derive(Debug, Default)]
pub(super) struct RemoteJob {
    pub state: Mutex<RemoteJobState>,
    /// The submission of the job, once it was read.
    pub spec: Mutex<Option<Arc<JobSpec>>>,
}

/// What is known about the progress of a job that another node owns.
#[derive(Debug, Default)]
pub(super) struct RemoteJobState {
    /// The number of its samples. None until it is known.
    pub sample_count: Option<usize>,
    /// The results that were read so far, by position.
    pub results: Vec<Arc<ItemResult>>,
    /// The revision from which a watch of the results resumes. None before the first read.
    pub revision: Option<u64>,
    /// The count of watch gaps of this node when all results were last read from the store.
    pub watch_gaps: u64,
    /// Whether the store has the job as ended by its trainer, after which it gets no more results.
    pub ended: bool,
    /// Whether `results` holds all results that the job will ever have.
    pub complete: bool,
    /// When the store last replied to a read or watch of the job.
    pub last_update: Moment,
    /// Where further results are read.
    pub location: JobLocation,
}

/// Where the results of a job are read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) enum JobLocation {
    /// Not known yet.
    #[default]
    Unknown,
    /// From the node that owns the job.
    Owner {
        /// The incarnation of that node.
        incarnation: Name,
        /// The counts of watch gaps and of departed nodes when the owner was determined. The owner
        /// is determined again once either has changed.
        evidence: (u64, u64),
    },
    /// From the store: no node owns the job any more.
    Store,
}

impl RemoteJobs {
    /// Drops the copies of jobs that were not updated for longer than `retention`.
    pub(super) fn drop_idle(&self, now: Moment, retention: Duration) {
        let idle = |remote: &RemoteJob| now.saturating_sub(remote.state.lock().last_update);
        self.jobs.lock().retain(|_, remote| idle(remote) <= retention);
    }

    /// Drops the copy of a job.
    pub(super) fn remove(&self, job: &str) {
        self.jobs.lock().remove(job);
    }

    /// Drops the copy of a job of which nothing is known, as it does not exist.
    pub(super) fn forget_unknown(&self, job: &str) {
        let unknown = |remote: &RemoteJob| {
            remote.state.lock().sample_count.is_none() && remote.spec.lock().is_none()
        };
        let mut jobs = self.jobs.lock();
        if jobs.get(job).is_some_and(|remote| unknown(remote)) {
            jobs.remove(job);
        }
    }

    /// The number of copies.
    pub(super) fn len(&self) -> usize {
        self.jobs.lock().len()
    }

    /// Returns the copy of a job, which is empty if the job was not read before.
    pub(super) fn get(&self, job: &str) -> Arc<RemoteJob> {
        let mut jobs = self.jobs.lock();
        jobs.entry(job.into()).or_default().clone()
    }
}

impl RemoteJobState {
    /// Appends a batch of results if it begins where the known results end.
    pub(super) fn append_results(&mut self, job: &str, item: &KeyValue) {
        if *item.key != *results_key(job, self.results.len()) {
            return;
        }
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice::<Vec<Arc<ItemResult>>, _>(&item.value, config) {
            Ok((batch, _)) => self.results.extend(batch),
            Err(e) => tracing::error!(event = "results_unreadable", job, error = %e),
        }
    }
}
