//! Jobs that ran on this node and that their trainers have ended, so that they get no more results.
//!
//! Load pattern: clients read a job from any position and request sample bodies long after its
//! trainer has ended it, each time on another node. When these reads went to the store, every node
//! made two to four calls for every job.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

use super::app::{App, ByName};
use super::owned_jobs::OwnedJob;
use super::read::{ReadResult, results_page};
use crate::Name;
use crate::decide::job::{ItemResult, JobSpec};

/// How many bytes of results and submissions are retained: two minutes of training steps of a small
/// fleet, and half of the memory that a node may use. Older jobs are read from the store.
const MAX_RETAINED_BYTES: usize = 16 << 20;

/// A job that ran on this node and has ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// All results, by position.
    pub results: Vec<Arc<ItemResult>>,
}

/// The ended jobs that are retained, up to [`MAX_RETAINED_BYTES`].
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Each job with its size in bytes.
    jobs: ByName<(Arc<EndedJob>, usize)>,
    /// The ids of the jobs, oldest first.
    order: VecDeque<Name>,
    /// The size of all jobs in bytes.
    bytes: usize,
}

impl EndedJob {
    /// Returns the results from a position on.
    pub(super) fn read(&self, after: usize) -> ReadResult {
        ReadResult::Page {
            total: self.spec.items.len(),
            results: results_page(&self.results, after),
        }
    }

    /// Returns the size of the submission and the results in bytes.
    fn bytes(&self) -> usize {
        let results: usize = self.results.iter().map(|result| result.approx_bytes()).sum();
        results + self.spec.approx_bytes()
    }
}

impl EndedJobs {
    /// Returns an ended job if it is retained.
    pub(super) fn get(&self, job: &str) -> Option<Arc<EndedJob>> {
        self.state.lock().jobs.get(job).map(|(ended, _)| ended.clone())
    }

    /// Adds a job and drops the oldest ones beyond [`MAX_RETAINED_BYTES`].
    pub(super) fn add(&self, ended: EndedJob) {
        let (id, bytes) = (ended.spec.id.clone(), ended.bytes());
        let mut state = self.state.lock();
        if state.jobs.insert(id.clone(), (Arc::new(ended), bytes)).is_some() {
            return;
        }
        state.order.push_back(id);
        state.bytes += bytes;
        while state.bytes > MAX_RETAINED_BYTES {
            let Some(oldest) = state.order.pop_front() else { return };
            if let Some((_, bytes)) = state.jobs.remove(&oldest) {
                state.bytes -= bytes;
            }
        }
    }

    /// Drops a job.
    pub(super) fn remove(&self, job: &str) {
        let mut state = self.state.lock();
        if let Some((_, bytes)) = state.jobs.remove(job) {
            state.bytes -= bytes;
            state.order.retain(|known| **known != *job);
        }
    }
}

impl App {
    /// Retains a job of this node that is recorded as ended in the store. This node then has all
    /// results that the job will ever have, unless a write of results was not answered.
    pub(super) fn retain_ended(self: &Arc<Self>, owned: Arc<OwnedJob>) {
        let app = self.clone();
        self.spawn(async move {
            let _written = owned.write_lock.lock().await;
            if owned.write_unknown.load(Ordering::Relaxed) {
                return;
            }
            let job = owned.job.lock();
            let ended =
                EndedJob { spec: job.spec.clone(), results: job.written_results().to_vec() };
            app.ended_jobs.add(ended);
        });
    }
}
