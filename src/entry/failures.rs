//! Failed runs of a job's texts and reward calls. They are counted over all owners of the job and
//! all jobs with the same request, and a request that has a count runs again only once the store
//! has that run in it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::app::{App, ByName};
use super::keys::{FAILURES_PREFIX, FailureRecord, failures_key, job_record_key};
use super::owned_jobs::OwnedJob;
use crate::Name;
use crate::decide::failures::{
    EarlierRuns, FailureCount, JobFailures, RequestFailure, RetryDecision, RunSent,
};
use crate::decide::job::JobSpec;
use crate::edge::store::{StoreError, Txn};

/// The delay between two attempts to read the failures of other jobs.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl App {
    /// Reads what the store has of the failures of a job's requests, in this job and in others of
    /// the same organisation: trainers submit incomplete groups again under the same ids. The job
    /// has had this many owners before.
    pub(super) async fn load_failures(
        &self,
        spec: &JobSpec,
        owners: u32,
    ) -> Result<JobFailures, StoreError> {
        let records = self.failure_records(spec).await?;
        let mut own = records.iter().filter(|(job, _)| *job == spec.id).map(|(_, record)| record);
        let counts: ByName<FailureCount> =
            own.next().map(|record| record.counts.iter().cloned().collect()).unwrap_or_default();
        let mut failures = JobFailures::restored(counts, owners);
        let earlier = earlier_runs(spec, &records);
        if !earlier.is_empty() {
            tracing::info!(event = "failures_read", job = %spec.id, owners, requests = earlier.len());
        }
        failures.set_earlier(&earlier);
        Ok(failures)
    }

    /// Reads the failures of a job's requests in other jobs again. False if that fails.
    async fn reload_failures(&self, owned: &OwnedJob) -> bool {
        let spec = owned.job.lock().spec.clone();
        match self.failure_records(&spec).await {
            Ok(records) => {
                owned.failures.lock().set_earlier(&earlier_runs(&spec, &records));
                true
            }
            Err(e) => {
                tracing::warn!(event = "failures_not_read", job = %spec.id, error = %e);
                false
            }
        }
    }

    /// Reads the failures in other jobs for a job that runs here without them, until that succeeds.
    pub(super) async fn read_earlier_failures(self: Arc<Self>, owned: Arc<OwnedJob>) {
        while !owned.stop.is_cancelled() {
            if self.reload_failures(&owned).await {
                owned.failures_read.send_replace(true);
                return;
            }
            self.fallback_store.wait_for_recovery(RETRY_DELAY).await;
        }
    }

    /// The failure records of all jobs of the organisation, by job.
    async fn failure_records(
        &self,
        spec: &JobSpec,
    ) -> Result<Vec<(Name, FailureRecord)>, StoreError> {
        let page = self.store.range(FAILURES_PREFIX).await?;
        let mut records = Vec::new();
        for item in &page.items {
            let config = bincode::config::standard();
            match bincode::serde::decode_from_slice::<FailureRecord, _>(&item.value, config) {
                Ok((record, _)) if record.organisation == spec.organisation => {
                    let job = item.key.strip_prefix(FAILURES_PREFIX).unwrap_or(&item.key);
                    records.push((job.into(), record));
                }
                Ok(_) => {}
                Err(e) => {
                    tracing::error!(event = "failures_not_decoded", key = %item.key, error = %e);
                }
            }
        }
        Ok(records)
    }

    /// Decides whether a request may run again, on a route that allows `max_attempts` and while this
    /// many of its runs are open.
    pub(super) async fn retry_decision(
        &self,
        owned: &OwnedJob,
        request: &Name,
        max_attempts: u32,
        open_runs: usize,
    ) -> RetryDecision {
        let decision = owned.failures.lock().decide(request, max_attempts, open_runs);
        let count = owned.failures.lock().count(request);
        if decision != RetryDecision::Run || !count.wants_other_jobs(max_attempts) {
            return decision;
        }
        if !self.reload_failures(owned).await {
            tokio::time::sleep(RETRY_DELAY).await;
            return RetryDecision::Await;
        }
        owned.failures.lock().decide(request, max_attempts, open_runs)
    }

    /// Ends a run of a request. None as failure if it did not run, or did not fail.
    pub(super) fn end_run(
        &self,
        owned: &OwnedJob,
        request: &Name,
        failure: Option<RequestFailure>,
    ) {
        let count = owned.failures.lock().end(request, failure);
        if let Some((failure, count)) = failure.zip(count) {
            self.log_failure(owned, request, failure, count);
        }
    }

    /// Records the response to a run that had ended without one.
    pub(super) fn settle_run(
        &self,
        owned: &OwnedJob,
        request: &Name,
        failure: Option<RequestFailure>,
    ) {
        owned.failures.lock().settle(request, failure);
        if let Some(failure) = failure {
            let count = owned.failures.lock().count(request);
            self.log_failure(owned, request, failure, count);
        }
    }

    fn log_failure(
        &self,
        owned: &OwnedJob,
        request: &Name,
        failure: RequestFailure,
        count: FailureCount,
    ) {
        self.tally.count_sample_failure(failure);
        owned.notify_writer();
        let job = owned.job.lock().spec.id.clone();
        let FailureCount { failed, unknown, earlier_failed, earlier_unknown, .. } = count;
        let revision = owned.record.lock().revision;
        tracing::info!(
            event = "request_failed",
            %job,
            revision,
            %request,
            failure = failure.as_str(),
            failed,
            unknown,
            earlier_failed,
            earlier_unknown
        );
    }

    /// Stores the failures of a job that its trainer has ended through another node: its next job
    /// may have the same requests.
    pub(super) fn store_last_failures(self: &Arc<Self>, owned: Arc<OwnedJob>) {
        let app = self.clone();
        self.spawn(async move {
            let id = owned.job.lock().spec.id.clone();
            let Some((record, _)) = owned.last_failures() else { return };
            let Some(value) = record.encode(&id) else { return };
            let revision = owned.record.lock().revision;
            let txn = Txn::when(job_record_key(&id), revision).put(failures_key(&id), value);
            if let Err(e) = app.store.txn(txn).await {
                tracing::warn!(event = "failures_not_stored", job = %id, error = %e);
            }
        });
    }
}

/// What the records of other jobs have of a job's requests.
fn earlier_runs(spec: &JobSpec, records: &[(Name, FailureRecord)]) -> HashMap<Name, EarlierRuns> {
    let scorers = spec.items.iter().filter_map(|item| item.scorer.as_ref());
    let requests: HashSet<&Name> =
        spec.items.iter().map(|item| &item.id).chain(scorers.map(|s| &s.id)).collect();
    let mut earlier: HashMap<Name, EarlierRuns> = HashMap::new();
    for (_, record) in records.iter().filter(|(job, _)| *job != spec.id) {
        for (request, count) in record.counts.iter().filter(|(id, _)| requests.contains(id)) {
            earlier.entry(request.clone()).or_default().add(count);
        }
    }
    earlier
}

impl FailureRecord {
    /// Encodes the record for the store. An error is logged.
    pub(super) fn encode(&self, job: &str) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .inspect_err(|e| tracing::error!(event = "value_not_encoded", %job, error = %e))
            .ok()
    }
}

impl OwnedJob {
    /// Waits until the failures of other jobs are read, so that requests of this job may run.
    pub(super) async fn wait_for_failures(&self) {
        // The sender lives as long as the job.
        let _ = self.failures_read.subscribe().wait_for(|read| *read).await;
    }

    /// Counts the next run of a request that has a count, and waits for at least `delay` and until
    /// the store has that run, if it must.
    pub(super) async fn reserve_run(&self, request: &Name, delay: Duration) {
        let number = self.failures.lock().reserve(request);
        self.notify_writer();
        let stored = async {
            let Some(number) = number else { return };
            // The sender lives as long as the job.
            let _ = self.stored_failures.subscribe().wait_for(|stored| *stored >= number).await;
        };
        tokio::join!(tokio::time::sleep(delay), stored);
    }

    /// Has the counts written soon, if the store must have them.
    fn notify_writer(&self) {
        if self.failures.lock().must_be_stored() {
            self.failure_added.notify_one();
        }
    }

    /// Begins a run of a request.
    pub(super) fn begin_run(&self, request: &Name) -> RunSent {
        self.failures.lock().begin(request)
    }

    /// The delay before a request runs again after a run without a response.
    pub(super) fn retry_delay(&self, request: &str) -> Duration {
        self.failures.lock().count(request).retry_delay()
    }

    /// Returns the failures for the store, and the number of the last one, if the store lacks some.
    pub(super) fn unstored_failures(&self) -> Option<(FailureRecord, u64)> {
        let (counts, number) = self.failures.lock().unstored()?;
        Some((self.failure_record(counts), number))
    }

    /// The same as [`OwnedJob::unstored_failures`] once no more runs begin here.
    pub(super) fn last_failures(&self) -> Option<(FailureRecord, u64)> {
        let (counts, number) = self.failures.lock().unstored_at_end()?;
        Some((self.failure_record(counts), number))
    }

    fn failure_record(&self, counts: Vec<(Name, FailureCount)>) -> FailureRecord {
        let organisation = self.job.lock().spec.organisation.clone();
        let takeovers = self.record.lock().value.takeovers;
        FailureRecord { organisation, takeovers, counts }
    }

    /// Records that the store has the failures up to a number.
    pub(super) fn mark_failures_stored(&self, number: u64) {
        self.failures.lock().mark_stored(number);
        self.stored_failures.send_replace(number);
    }
}
