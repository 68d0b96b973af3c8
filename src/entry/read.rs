//! Reading jobs, at any node.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::app::App;
use super::keys::{JobRecord, job_record_key, results_prefix, spec_prefix};
use super::membership::Stored;
use super::owned_jobs::OwnedJob;
use super::remote_jobs::{RemoteJob, RemoteJobState};
use crate::Moment;
use crate::decide::job::{Listing, Spec, State};
use crate::edge::store::{Change, StoreError};

/// Text in one answer, in bytes: half of the megabyte that answers may have, as text grows
/// when it is quoted.
const MAX_PAGE_BYTES: usize = 500_000;
/// The longest single watch for results.
const MAX_WATCH: Duration = Duration::from_millis(1_000);
/// How long a view may rest and still go on by a watch. The store keeps its history for 20 s
/// or less, and a watch from before that hears nothing instead of an error.
const MAX_WATCH_GAP: Duration = Duration::from_secs(3);
/// The shortest watch: what the store has already.
const MIN_WATCH: Duration = Duration::from_millis(1);

/// What a read of a job's results found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadResult {
    /// Results from the asked position on.
    Page {
        /// The number of the job's samples.
        total: usize,
        /// The results.
        results: Vec<Arc<Listing>>,
    },
    /// There is no such job.
    Unknown,
    /// The store does not say.
    Unsure,
}

/// What a lookup found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup<T> {
    /// This.
    Found(T),
    /// There is none.
    Unknown,
    /// The store does not say.
    Unsure,
}

impl App {
    /// Results of a job from a position on; waits for one if there is none yet.
    pub async fn read(self: &Arc<Self>, job: &str, after: usize, wait: Duration) -> ReadResult {
        let ends = self.now() + wait;
        if let Some(home) = self.owned_jobs.get(job)
            && let Some(read) = self.read_owned(&home, after, ends).await
        {
            return read;
        }
        if let Some(ended) = self.ended_jobs.get(job) {
            return ended.read(after);
        }
        let read = match self.read_at_home(job, after, wait).await {
            Ok(Some(read)) => return read,
            Ok(None) => self.read_view(job, after, ends).await,
            Err(e) => Err(e),
        };
        match read {
            Ok(read) => read,
            Err(e) => {
                tracing::info!(event = "read_unsure", job, error = %e);
                ReadResult::Unsure
            }
        }
    }

    /// Reads from the home itself; none if it lost the job meanwhile.
    pub(super) async fn read_owned(
        &self,
        home: &OwnedJob,
        after: usize,
        ends: Moment,
    ) -> Option<ReadResult> {
        let total = home.job.lock().spec.items.len();
        let mut listed = home.result_count.subscribe();
        loop {
            let results = results_page(home.job.lock().listed(), after);
            // A write that was not answered may show at other nodes already.
            if home.job.lock().ended() || home.write_unknown.load(Ordering::Relaxed) {
                return None;
            }
            let over = home.job.lock().complete();
            if !results.is_empty() || over || self.now() >= ends {
                return Some(ReadResult::Page { total, results });
            }
            let left = ends.saturating_sub(self.now());
            tokio::select! {
                () = home.stop.cancelled() => return None,
                _ = tokio::time::timeout(left, listed.changed()) => {}
            }
        }
    }

    async fn read_view(
        &self,
        job: &str,
        after: usize,
        ends: Moment,
    ) -> Result<ReadResult, StoreError> {
        let view = self.remote_jobs.get(job);
        let Some(total) = self.sample_count(job, &view).await? else {
            return Ok(ReadResult::Unknown);
        };
        // An empty page is only given from what the store said during this read.
        let mut fresh = false;
        if !self.can_continue_watch(&view) {
            self.reload_view(job, &view).await?;
            fresh = true;
        }
        if view.state.lock().complete {
            return Ok(ReadResult::Page {
                total,
                results: results_page(&view.state.lock().results, after),
            });
        }
        loop {
            let results = results_page(&view.state.lock().results, after);
            let over = view.state.lock().results.len() >= total;
            let left = ends.saturating_sub(self.now());
            if !results.is_empty() || over || (fresh && left.is_zero()) {
                return Ok(ReadResult::Page { total, results });
            }
            fresh = true;
            let revision = view.state.lock().revision.unwrap_or_default();
            let watched = self
                .store
                .watch(&results_prefix(job), revision, left.clamp(MIN_WATCH, MAX_WATCH))
                .await;
            match watched {
                Ok(watched) => {
                    let mut state = view.state.lock();
                    state.revision = state.revision.max(Some(watched.revision));
                    state.last_update = self.now();
                    for change in &watched.changes {
                        if let Change::Put(item) = change {
                            state.add(job, item);
                        }
                    }
                }
                Err(StoreError::Compacted) => self.reload_view(job, &view).await?,
                Err(e) => {
                    view.state.lock().revision = None;
                    return Err(e);
                }
            }
        }
    }

    /// The number of a job's samples; none if there is no such job.
    async fn sample_count(&self, job: &str, view: &RemoteJob) -> Result<Option<usize>, StoreError> {
        if let Some(total) = view.state.lock().sample_count {
            return Ok(Some(total));
        }
        let seen = self.job_record(job).await?;
        let total = seen.map(|seen| seen.value.sample_count);
        view.state.lock().sample_count = total;
        Ok(total)
    }

    /// Whether a watch can go on from where a view stands.
    fn can_continue_watch(&self, view: &RemoteJob) -> bool {
        let state = view.state.lock();
        let rested = self.now().saturating_sub(state.last_update);
        let whole =
            state.watch_gaps == self.watch_gaps.load(Ordering::Relaxed) && rested < MAX_WATCH_GAP;
        state.complete || state.revision.is_some() && whole
    }

    async fn reload_view(&self, job: &str, view: &RemoteJob) -> Result<(), StoreError> {
        let doubts = self.watch_gaps.load(Ordering::Relaxed);
        let ended = view.state.lock().ended;
        let page = self.store.range(&results_prefix(job)).await?;
        let mut state = view.state.lock();
        for item in &page.items {
            state.add(job, item);
        }
        state.revision = state.revision.max(Some(page.revision));
        state.watch_gaps = doubts;
        state.complete = ended;
        state.last_update = self.now();
        Ok(())
    }

    /// Where a job is.
    pub(super) async fn job_record(
        &self,
        job: &str,
    ) -> Result<Option<Stored<JobRecord>>, StoreError> {
        let item = self.store.get(&job_record_key(job)).await?;
        let Some(item) = item else { return Ok(None) };
        match serde_json::from_slice(&item.value) {
            Ok(value) => Ok(Some(Stored { value, revision: item.revision })),
            Err(e) => Err(StoreError::Refused(e.to_string())),
        }
    }

    /// The body of a sample of a job.
    pub async fn sample_body(&self, job: &str, item: &str) -> Lookup<Bytes> {
        if let Some(body) = self.local_body(job, item) {
            return Lookup::Found(body);
        }
        if let Some(body) = self.body_at_home(job, item).await {
            return Lookup::Found(body);
        }
        let spec = match self.spec_of(job).await {
            Ok(Some(spec)) => spec,
            Ok(None) => return Lookup::Unknown,
            Err(e) => {
                tracing::info!(event = "read_unsure", job, error = %e);
                return Lookup::Unsure;
            }
        };
        find_body(&spec, item).map_or(Lookup::Unknown, Lookup::Found)
    }

    /// The body of a sample of a job that this node has.
    pub(super) fn local_body(&self, job: &str, item: &str) -> Option<Bytes> {
        let spec = match self.owned_jobs.get(job) {
            Some(home) => home.job.lock().spec.clone(),
            None => self.ended_jobs.get(job)?.spec.clone(),
        };
        find_body(&spec, item)
    }

    async fn spec_of(&self, job: &str) -> Result<Option<Arc<Spec>>, StoreError> {
        let view = self.remote_jobs.get(job);
        if let Some(spec) = view.spec.lock().clone() {
            return Ok(Some(spec));
        }
        if self.job_record(job).await?.is_none() {
            return Ok(None);
        }
        let spec = self.load_spec(job).await?;
        *view.spec.lock() = Some(spec.clone());
        Ok(Some(spec))
    }

    /// Reads a submission from the store.
    pub(super) async fn load_spec(&self, job: &str) -> Result<Arc<Spec>, StoreError> {
        let page = self.store.range(&spec_prefix(job)).await?;
        let mut bytes = Vec::new();
        for item in &page.items {
            bytes.extend_from_slice(&item.value);
        }
        let spec = Spec::decode(bytes).map_err(|e| StoreError::Refused(e.to_string()))?;
        Ok(Arc::new(spec))
    }

    /// Reads all results of a job from the store.
    pub(super) async fn load_results(&self, job: &str) -> Result<Vec<Arc<Listing>>, StoreError> {
        let page = self.store.range(&results_prefix(job)).await?;
        let mut state = RemoteJobState::default();
        for item in &page.items {
            state.add(job, item);
        }
        Ok(state.results)
    }
}

fn find_body(spec: &Spec, item: &str) -> Option<Bytes> {
    spec.items.iter().find(|i| *i.id == *item).map(|item| item.body.clone())
}

/// The results from a position on that fit one answer; at least one if there is one.
pub(super) fn results_page(listed: &[Arc<Listing>], after: usize) -> Vec<Arc<Listing>> {
    let mut size = 0;
    let mut results = Vec::new();
    for listing in listed.iter().skip(after) {
        size += match &listing.state {
            State::Completed { output, .. } => output.len(),
            State::Dead => 0,
        };
        if size > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(listing.clone());
    }
    results
}
