//! Jobs that ran here and that their trainers have ended: nothing comes to them any more.
//!
//! Load pattern: others read a job from any position and ask for bodies long after its trainer
//! has ended it, each time at another node. Read from the store, every node paid two to four
//! calls for every job.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

use super::app::{App, ByName};
use super::homes::Home;
use super::read::{Read, page};
use crate::Name;
use crate::decide::job::{ItemResult, JobSpec};

/// Bytes of results and submissions that are kept: two minutes of steps of a small fleet, and
/// half of what a node may use. What is older is read from the store.
const MOST: usize = 16 << 20;

/// One of them.
#[derive(Debug)]
pub(super) struct EndedJob {
    pub spec: Arc<JobSpec>,
    pub results: Vec<Arc<ItemResult>>,
}

/// All that are kept, the newest at the end.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    jobs: ByName<(Arc<EndedJob>, usize)>,
    order: VecDeque<Name>,
    bytes: usize,
}

impl EndedJob {
    /// Results from a position on.
    pub(super) fn read(&self, after: usize) -> Read {
        Read::Page { total: self.spec.items.len(), results: page(&self.results, after) }
    }

    fn bytes(&self) -> usize {
        let listed: usize = self.results.iter().map(|listing| listing.approx_bytes()).sum();
        listed + self.spec.approx_bytes()
    }
}

impl EndedJobs {
    pub(super) fn get(&self, job: &str) -> Option<Arc<EndedJob>> {
        self.state.lock().jobs.get(job).map(|(ended, _)| ended.clone())
    }

    pub(super) fn add(&self, ended: EndedJob) {
        let (id, bytes) = (ended.spec.id.clone(), ended.bytes());
        let mut state = self.state.lock();
        if state.jobs.insert(id.clone(), (Arc::new(ended), bytes)).is_some() {
            return;
        }
        state.order.push_back(id);
        state.bytes += bytes;
        while state.bytes > MOST {
            let Some(oldest) = state.order.pop_front() else { return };
            if let Some((_, bytes)) = state.jobs.remove(&oldest) {
                state.bytes -= bytes;
            }
        }
    }

    pub(super) fn remove(&self, job: &str) {
        let mut state = self.state.lock();
        if let Some((_, bytes)) = state.jobs.remove(job) {
            state.bytes -= bytes;
            state.order.retain(|known| **known != *job);
        }
    }
}

impl App {
    /// The store has it that a job which ran here is ended. What this node has of it is all
    /// there will ever be, unless a write of results was not answered.
    pub(super) fn retain_ended(self: &Arc<Self>, home: Arc<Home>) {
        let app = self.clone();
        self.spawn(async move {
            let _written = home.writing.lock().await;
            if home.unsure.load(Ordering::Relaxed) {
                return;
            }
            let job = home.job.lock();
            let ended =
                EndedJob { spec: job.spec.clone(), results: job.written_results().to_vec() };
            app.ended_jobs.add(ended);
        });
    }
}
