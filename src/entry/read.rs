//! Reading jobs, at any node.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::app::App;
use super::homes::Home;
use super::keys::{HomeValue, all_results, home as home_key, parts};
use super::live::Seen;
use super::remote_jobs::{RemoteJob, RemoteJobState};
use crate::Moment;
use crate::decide::job::{ItemResult, ItemState, JobSpec};
use crate::edge::store::{Change, StoreError};

/// Text in one answer, in bytes: half of the megabyte that answers may have, as text grows
/// when it is quoted.
const PAGE: usize = 500_000;
/// The longest single watch for results.
const WATCH: Duration = Duration::from_millis(1_000);
/// How long a view may rest and still go on by a watch. The store keeps its history for 20 s
/// or less, and a watch from before that hears nothing instead of an error.
const RESTED: Duration = Duration::from_secs(3);
/// The shortest watch: what the store has already.
const ONCE: Duration = Duration::from_millis(1);

/// What a read of a job's results found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Read {
    /// Results from the asked position on.
    Page {
        /// The number of the job's samples.
        total: usize,
        /// The results.
        results: Vec<Arc<ItemResult>>,
    },
    /// There is no such job.
    Unknown,
    /// The store does not say.
    Unsure,
}

/// What a lookup found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found<T> {
    /// This.
    There(T),
    /// There is none.
    Unknown,
    /// The store does not say.
    Unsure,
}

impl App {
    /// Results of a job from a position on; waits for one if there is none yet.
    pub async fn read(self: &Arc<Self>, job: &str, after: usize, wait: Duration) -> Read {
        let ends = self.now() + wait;
        if let Some(home) = self.owned_jobs.get(job)
            && let Some(read) = self.read_home(&home, after, ends).await
        {
            return read;
        }
        if let Some(ended) = self.ended_jobs.get(job) {
            return ended.read(after);
        }
        let read = match self.read_from_owner(job, after, wait).await {
            Ok(Some(read)) => return read,
            Ok(None) => self.read_view(job, after, ends).await,
            Err(e) => Err(e),
        };
        match read {
            Ok(read) => read,
            Err(e) => {
                tracing::info!(event = "read_unsure", job, error = %e);
                Read::Unsure
            }
        }
    }

    /// Reads from the home itself; none if it lost the job meanwhile.
    pub(super) async fn read_home(&self, home: &Home, after: usize, ends: Moment) -> Option<Read> {
        let total = home.job.lock().spec.items.len();
        let mut listed = home.listed.subscribe();
        loop {
            let results = page(home.job.lock().written_results(), after);
            // A write that was not answered may show at other nodes already.
            if home.job.lock().ended() || home.unsure.load(Ordering::Relaxed) {
                return None;
            }
            let over = home.job.lock().all_written();
            if !results.is_empty() || over || self.now() >= ends {
                return Some(Read::Page { total, results });
            }
            let left = ends.saturating_sub(self.now());
            tokio::select! {
                () = home.stop.cancelled() => return None,
                _ = tokio::time::timeout(left, listed.changed()) => {}
            }
        }
    }

    async fn read_view(&self, job: &str, after: usize, ends: Moment) -> Result<Read, StoreError> {
        let view = self.remote_jobs.get(job);
        let Some(total) = self.total_of(job, &view).await? else { return Ok(Read::Unknown) };
        // An empty page is only given from what the store said during this read.
        let mut fresh = false;
        if !self.sure(&view) {
            self.fill(job, &view).await?;
            fresh = true;
        }
        if view.state.lock().complete {
            return Ok(Read::Page { total, results: page(&view.state.lock().results, after) });
        }
        loop {
            let results = page(&view.state.lock().results, after);
            let over = view.state.lock().results.len() >= total;
            let left = ends.saturating_sub(self.now());
            if !results.is_empty() || over || (fresh && left.is_zero()) {
                return Ok(Read::Page { total, results });
            }
            fresh = true;
            let revision = view.state.lock().revision.unwrap_or_default();
            let watched =
                self.store.watch(&all_results(job), revision, left.clamp(ONCE, WATCH)).await;
            match watched {
                Ok(watched) => {
                    let mut state = view.state.lock();
                    state.revision = state.revision.max(Some(watched.revision));
                    state.last_update = self.now();
                    for change in &watched.changes {
                        if let Change::Put(item) = change {
                            state.append_results(job, item);
                        }
                    }
                }
                Err(StoreError::Compacted) => self.fill(job, &view).await?,
                Err(e) => {
                    view.state.lock().revision = None;
                    return Err(e);
                }
            }
        }
    }

    /// The number of a job's samples; none if there is no such job.
    async fn total_of(&self, job: &str, view: &RemoteJob) -> Result<Option<usize>, StoreError> {
        if let Some(total) = view.state.lock().sample_count {
            return Ok(Some(total));
        }
        let seen = self.home_of(job).await?;
        let total = seen.map(|seen| seen.value.total);
        view.state.lock().sample_count = total;
        Ok(total)
    }

    /// Whether a watch can go on from where a view stands.
    fn sure(&self, view: &RemoteJob) -> bool {
        let state = view.state.lock();
        let rested = self.now().saturating_sub(state.last_update);
        let whole = state.watch_gaps == self.watch_gaps.load(Ordering::Relaxed) && rested < RESTED;
        state.complete || state.revision.is_some() && whole
    }

    async fn fill(&self, job: &str, view: &RemoteJob) -> Result<(), StoreError> {
        let doubts = self.watch_gaps.load(Ordering::Relaxed);
        let ended = view.state.lock().ended;
        let page = self.store.range(&all_results(job)).await?;
        let mut state = view.state.lock();
        for item in &page.items {
            state.append_results(job, item);
        }
        state.revision = state.revision.max(Some(page.revision));
        state.watch_gaps = doubts;
        state.complete = ended;
        state.last_update = self.now();
        Ok(())
    }

    /// Where a job is.
    pub(super) async fn home_of(&self, job: &str) -> Result<Option<Seen<HomeValue>>, StoreError> {
        let item = self.store.get(&home_key(job)).await?;
        let Some(item) = item else { return Ok(None) };
        match serde_json::from_slice(&item.value) {
            Ok(value) => Ok(Some(Seen { value, revision: item.revision })),
            Err(e) => Err(StoreError::Refused(e.to_string())),
        }
    }

    /// The body of a sample of a job.
    pub async fn body(&self, job: &str, item: &str) -> Found<Bytes> {
        if let Some(body) = self.own_body(job, item) {
            return Found::There(body);
        }
        if let Some(body) = self.body_from_owner(job, item).await {
            return Found::There(body);
        }
        let spec = match self.spec_of(job).await {
            Ok(Some(spec)) => spec,
            Ok(None) => return Found::Unknown,
            Err(e) => {
                tracing::info!(event = "read_unsure", job, error = %e);
                return Found::Unsure;
            }
        };
        body_of(&spec, item).map_or(Found::Unknown, Found::There)
    }

    /// The body of a sample of a job that this node has.
    pub(super) fn own_body(&self, job: &str, item: &str) -> Option<Bytes> {
        let spec = match self.owned_jobs.get(job) {
            Some(home) => home.job.lock().spec.clone(),
            None => self.ended_jobs.get(job)?.spec.clone(),
        };
        body_of(&spec, item)
    }

    async fn spec_of(&self, job: &str) -> Result<Option<Arc<JobSpec>>, StoreError> {
        let view = self.remote_jobs.get(job);
        if let Some(spec) = view.spec.lock().clone() {
            return Ok(Some(spec));
        }
        if self.home_of(job).await?.is_none() {
            return Ok(None);
        }
        let spec = self.load_spec(job).await?;
        *view.spec.lock() = Some(spec.clone());
        Ok(Some(spec))
    }

    /// Reads a submission from the store.
    pub(super) async fn load_spec(&self, job: &str) -> Result<Arc<JobSpec>, StoreError> {
        let page = self.store.range(&parts(job)).await?;
        let mut bytes = Vec::new();
        for item in &page.items {
            bytes.extend_from_slice(&item.value);
        }
        let spec = JobSpec::decode(bytes).map_err(|e| StoreError::Refused(e.to_string()))?;
        Ok(Arc::new(spec))
    }

    /// Reads all results of a job from the store.
    pub(super) async fn load_results(&self, job: &str) -> Result<Vec<Arc<ItemResult>>, StoreError> {
        let page = self.store.range(&all_results(job)).await?;
        let mut state = RemoteJobState::default();
        for item in &page.items {
            state.append_results(job, item);
        }
        Ok(state.results)
    }
}

fn body_of(spec: &JobSpec, item: &str) -> Option<Bytes> {
    spec.items.iter().find(|i| *i.id == *item).map(|item| item.body.clone())
}

/// The results from a position on that fit one answer; at least one if there is one.
pub(super) fn page(listed: &[Arc<ItemResult>], after: usize) -> Vec<Arc<ItemResult>> {
    let mut size = 0;
    let mut results = Vec::new();
    for listing in listed.iter().skip(after) {
        size += match &listing.state {
            ItemState::Completed { output, .. } => output.len(),
            ItemState::Dead => 0,
        };
        if size > PAGE && !results.is_empty() {
            break;
        }
        results.push(listing.clone());
    }
    results
}
