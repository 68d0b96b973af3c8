//! Reading a job's results and sample bodies, at any node.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::app::App;
use super::keys::{JobRecord, job_record_key, results_key, results_prefix, spec_prefix};
use super::membership::Stored;
use super::owned_jobs::OwnedJob;
use super::remote_jobs::{RemoteJob, RemoteJobState};
use crate::Moment;
use crate::decide::job::{ItemResult, ItemState, JobSpec};
use crate::edge::store::{Change, StoreError};

/// Bytes of text in one answer: half of the megabyte that an answer may have, because text
/// grows when it is escaped.
const MAX_PAGE_BYTES: usize = 500_000;
/// Longest wait of a single watch for results.
const MAX_RESULT_WATCH: Duration = Duration::from_millis(1_000);
/// Longest time since its last update for which the view of a cached job is continued by a
/// watch. The store keeps its history for 20 s or less, and a watch from a revision before that
/// gets nothing instead of an error.
const MAX_CACHE_AGE: Duration = Duration::from_secs(3);

/// The result of reading a job's results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadResult {
    /// Results from the requested position on.
    Page {
        /// The number of the job's samples.
        total: usize,
        /// The results.
        results: Vec<Arc<ItemResult>>,
    },
    /// There is no such job.
    Unknown,
    /// The store did not answer.
    Unsure,
}

/// The result of a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup<T> {
    /// It exists.
    Found(T),
    /// It does not exist.
    Unknown,
    /// The store did not answer.
    Unsure,
}

impl App {
    /// Returns results of a job from a position on. If there is none yet, waits for one for at
    /// most `wait`.
    pub async fn read(self: &Arc<Self>, job: &str, after: usize, wait: Duration) -> ReadResult {
        let ends = self.now() + wait;
        if let Some(owned) = self.owned_jobs.get(job)
            && let Some(read) = self.read_owned(&owned, after, ends).await
        {
            return read;
        }
        if let Some(ended) = self.ended_jobs.get(job) {
            return ended.read(after);
        }
        let read = match self.read_from_owner(job, after, wait).await {
            Ok(Some(read)) => return read,
            Ok(None) => self.read_remote(job, after, ends).await,
            Err(e) => Err(e),
        };
        match read {
            Ok(ReadResult::Unknown) => {
                self.remote_jobs.forget_unknown(job);
                ReadResult::Unknown
            }
            Ok(read) => read,
            Err(e) => {
                tracing::info!(event = "job_read_failed", job, error = %e);
                ReadResult::Unsure
            }
        }
    }

    /// Reads a job that this node owns; none if the job was stopped or lost meanwhile, or what
    /// the store has of it is uncertain. An empty page is returned only if this node is certain
    /// to be the owner still: another owner may have written more results.
    pub(super) async fn read_owned(
        self: &Arc<Self>,
        owned: &Arc<OwnedJob>,
        after: usize,
        ends: Moment,
    ) -> Option<ReadResult> {
        let total = owned.job.lock().spec.items.len();
        let mut result_count = owned.result_count.subscribe();
        let mut confirmed = false;
        loop {
            let results = results_page(owned.job.lock().written_results(), after);
            if owned.job.lock().ended() {
                return None;
            }
            let finished = owned.job.lock().all_written();
            if !results.is_empty() || finished || confirmed {
                return Some(ReadResult::Page { total, results });
            }
            let left = ends.saturating_sub(self.now());
            // Other nodes may already see the results of a write whose answer was lost.
            if owned.write_unknown.load(Ordering::Relaxed) {
                return None;
            }
            if left.is_zero() {
                // They may also see those of a write that is not answered yet.
                if owned.write_lock.try_lock().is_err() {
                    return None;
                }
                match self.confirm_ownership(owned).await {
                    Ok(true) => confirmed = true,
                    Ok(false) => return None,
                    Err(e) => {
                        let job = owned.job.lock().spec.id.clone();
                        tracing::info!(event = "owner_not_confirmed", %job, error = %e);
                        return Some(ReadResult::Unsure);
                    }
                }
                continue;
            }
            tokio::select! {
                () = owned.stop.cancelled() => return None,
                _ = tokio::time::timeout(left, result_count.changed()) => {}
            }
        }
    }

    /// Reads a job of another owner from this node's cached view of it, which is brought up to
    /// date from the store.
    async fn read_remote(
        &self,
        job: &str,
        after: usize,
        ends: Moment,
    ) -> Result<ReadResult, StoreError> {
        let remote = self.remote_jobs.get(job);
        let Some(total) = self.sample_count(job, &remote).await? else {
            return Ok(ReadResult::Unknown);
        };
        // An empty page is returned only if the store was read during this call. A watch that
        // brings no change does not count: it brings none either if its history was dropped.
        let mut fresh = false;
        if !self.can_continue_watch(&remote) {
            self.reload_remote(job, &remote).await?;
            fresh = true;
        }
        if remote.state.lock().complete {
            return Ok(ReadResult::Page {
                total,
                results: results_page(&remote.state.lock().results, after),
            });
        }
        loop {
            let results = results_page(&remote.state.lock().results, after);
            let finished = remote.state.lock().results.len() >= total;
            let left = ends.saturating_sub(self.now());
            if !results.is_empty() || finished || (fresh && left.is_zero()) {
                return Ok(ReadResult::Page { total, results });
            }
            if left.is_zero() {
                fresh = !self.load_next_batch(job, &remote).await?;
                continue;
            }
            fresh = false;
            let revision = remote.state.lock().revision.unwrap_or_default();
            let wait = left.min(MAX_RESULT_WATCH);
            let watched = self.store.watch(&results_prefix(job), revision, wait).await;
            match watched {
                Ok(watched) => {
                    let mut state = remote.state.lock();
                    state.revision = state.revision.max(Some(watched.revision));
                    state.last_update = self.now();
                    for change in &watched.changes {
                        if let Change::Put(item) = change {
                            state.append_results(job, item);
                        }
                    }
                }
                Err(StoreError::Compacted) => self.reload_remote(job, &remote).await?,
                Err(e) => {
                    remote.state.lock().revision = None;
                    return Err(e);
                }
            }
        }
    }

    /// The number of a job's samples; none if the job does not exist.
    async fn sample_count(
        &self,
        job: &str,
        remote: &RemoteJob,
    ) -> Result<Option<usize>, StoreError> {
        if let Some(total) = remote.state.lock().sample_count {
            return Ok(Some(total));
        }
        let seen = self.job_record(job).await?;
        let total = seen.map(|seen| seen.value.sample_count);
        remote.state.lock().sample_count = total;
        Ok(total)
    }

    /// Whether a watch can continue from the revision of a cached job without a gap.
    fn can_continue_watch(&self, remote: &RemoteJob) -> bool {
        let state = remote.state.lock();
        let since_update = self.now().saturating_sub(state.last_update);
        let unbroken = state.watch_gaps == self.watch_gaps.load(Ordering::Relaxed)
            && since_update < MAX_CACHE_AGE;
        state.complete || state.revision.is_some() && unbroken
    }

    /// Reads all results of a cached job from the store.
    async fn reload_remote(&self, job: &str, remote: &RemoteJob) -> Result<(), StoreError> {
        let watch_gaps = self.watch_gaps.load(Ordering::Relaxed);
        let ended = remote.state.lock().ended;
        let page = self.store.range(&results_prefix(job)).await?;
        let mut state = remote.state.lock();
        for item in &page.items {
            state.append_results(job, item);
        }
        state.revision = state.revision.max(Some(page.revision));
        state.watch_gaps = watch_gaps;
        state.complete = ended;
        state.last_update = self.now();
        Ok(())
    }

    /// Reads the batch of results that follows those of a cached job. False if the store has none.
    async fn load_next_batch(&self, job: &str, remote: &RemoteJob) -> Result<bool, StoreError> {
        let known = remote.state.lock().results.len();
        let item = self.store.get(&results_key(job, known)).await?;
        let mut state = remote.state.lock();
        let Some(item) = item else { return Ok(state.results.len() > known) };
        state.append_results(job, &item);
        if state.results.len() == known {
            return Err(StoreError::Refused(format!("{} can't be decoded", item.key)));
        }
        Ok(true)
    }

    /// Reads a job's record; none if the job does not exist.
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

    /// Returns the request body of a sample.
    pub async fn sample_body(&self, job: &str, item: &str) -> Lookup<Bytes> {
        if let Some(body) = self.local_body(job, item) {
            return Lookup::Found(body);
        }
        if let Some(body) = self.body_from_owner(job, item).await {
            return Lookup::Found(body);
        }
        let spec = match self.spec_of(job).await {
            Ok(Some(spec)) => spec,
            Ok(None) => {
                self.remote_jobs.forget_unknown(job);
                return Lookup::Unknown;
            }
            Err(e) => {
                tracing::info!(event = "job_read_failed", job, error = %e);
                return Lookup::Unsure;
            }
        };
        find_body(&spec, item).map_or(Lookup::Unknown, Lookup::Found)
    }

    /// Returns the request body of a sample, if this node has its job in memory.
    pub(super) fn local_body(&self, job: &str, item: &str) -> Option<Bytes> {
        let spec = match self.owned_jobs.get(job) {
            Some(owned) => owned.job.lock().spec.clone(),
            None => self.ended_jobs.get(job)?.spec.clone(),
        };
        find_body(&spec, item)
    }

    /// The submission of a job of another owner, cached after the first read.
    async fn spec_of(&self, job: &str) -> Result<Option<Arc<JobSpec>>, StoreError> {
        let remote = self.remote_jobs.get(job);
        if let Some(spec) = remote.spec.lock().clone() {
            return Ok(Some(spec));
        }
        if self.job_record(job).await?.is_none() {
            return Ok(None);
        }
        let spec = self.load_spec(job).await?;
        *remote.spec.lock() = Some(spec.clone());
        Ok(Some(spec))
    }

    /// Reads a job's submission from the store.
    pub(super) async fn load_spec(&self, job: &str) -> Result<Arc<JobSpec>, StoreError> {
        let page = self.store.range(&spec_prefix(job)).await?;
        let mut bytes = Vec::new();
        for item in &page.items {
            bytes.extend_from_slice(&item.value);
        }
        let spec = JobSpec::decode(bytes).map_err(|e| StoreError::Refused(e.to_string()))?;
        Ok(Arc::new(spec))
    }

    /// Reads all results of a job from the store.
    pub(super) async fn load_results(&self, job: &str) -> Result<Vec<Arc<ItemResult>>, StoreError> {
        let page = self.store.range(&results_prefix(job)).await?;
        let mut state = RemoteJobState::default();
        for item in &page.items {
            state.append_results(job, item);
        }
        Ok(state.results)
    }
}

/// The request body of a sample in a submission.
fn find_body(spec: &JobSpec, item: &str) -> Option<Bytes> {
    spec.items.iter().find(|i| *i.id == *item).map(|item| item.body.clone())
}

/// The results from a position on that fit into one answer, but at least one if there is any.
pub(super) fn results_page(written: &[Arc<ItemResult>], after: usize) -> Vec<Arc<ItemResult>> {
    let mut size = 0;
    let mut page = Vec::new();
    for result in written.iter().skip(after) {
        size += match &result.state {
            ItemState::Completed { output, .. } => output.len(),
            ItemState::Dead => 0,
        };
        if size > MAX_PAGE_BYTES && !page.is_empty() {
            break;
        }
        page.push(result.clone());
    }
    page
}
