//! Failed runs of a job's texts and reward calls. They are counted over all owners of the job and
//! all jobs with the same request, and a request that has failed runs again only once the store has
//! its count.

use std::collections::HashSet;

use super::app::{App, ByName};
use super::keys::{FAILURES_PREFIX, FailureRecord, failures_key};
use super::owned_jobs::OwnedJob;
use crate::Name;
use crate::decide::failures::{FailureCount, JobFailures, RequestFailure, RetryDecision};
use crate::decide::job::JobSpec;
use crate::edge::store::StoreError;

impl App {
    /// Reads what the store has of the failures of a job's requests, in this job and in others of
    /// the same organisation: trainers submit incomplete groups again under the same ids.
    pub(super) async fn load_failures(&self, spec: &JobSpec) -> Result<JobFailures, StoreError> {
        let page = self.store.range(FAILURES_PREFIX).await?;
        let scorers = spec.items.iter().filter_map(|item| item.scorer.as_ref());
        let requests: HashSet<&Name> =
            spec.items.iter().map(|item| &item.id).chain(scorers.map(|s| &s.id)).collect();
        let own = failures_key(&spec.id);
        let mut failures: ByName<FailureCount> = ByName::new();
        for item in &page.items {
            let config = bincode::config::standard();
            let decoded =
                bincode::serde::decode_from_slice::<FailureRecord, _>(&item.value, config);
            let record = match decoded {
                Ok((record, _)) => record,
                Err(e) => {
                    tracing::error!(event = "failures_not_decoded", key = %item.key, error = %e);
                    continue;
                }
            };
            if record.organisation != spec.organisation {
                continue;
            }
            for (request, count) in record.counts.iter().filter(|(id, _)| requests.contains(id)) {
                let known = failures.entry(request.clone()).or_default();
                if item.key == own {
                    (known.failed, known.unknown) = (count.failed, count.unknown);
                    known.add_earlier(&count.earlier(), 0);
                } else {
                    known.add_earlier(count, record.takeovers + 1);
                }
            }
        }
        Ok(JobFailures::restored(failures))
    }

    /// Counts a failed run.
    pub(super) fn record_failure(&self, owned: &OwnedJob, request: &Name, failure: RequestFailure) {
        let job = owned.job.lock().spec.id.clone();
        let count = owned.failures.lock().record(request, failure);
        self.tally.count_sample_failure(failure);
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
        if count.must_be_stored() {
            owned.failure_added.notify_one();
        }
    }
}

impl OwnedJob {
    /// Decides whether a request may run again on a route that allows `max_attempts`.
    pub(super) fn retry_decision(&self, request: &str, max_attempts: u32) -> RetryDecision {
        let takeovers = self.record.lock().value.takeovers;
        self.failures.lock().count(request).decide(max_attempts, takeovers)
    }

    /// Whether a request has failed, so that each of its runs must be counted before the next one.
    pub(super) fn has_failed(&self, request: &str) -> bool {
        self.failures.lock().count(request).must_be_stored()
    }

    /// Waits until the store has the failures of a request, if a retry depends on that.
    pub(super) async fn failures_stored(&self, request: &str) {
        let number = {
            let failures = self.failures.lock();
            if !failures.count(request).must_be_stored() {
                return;
            }
            failures.urgent()
        };
        // The sender lives as long as the job.
        let _ = self.stored_failures.subscribe().wait_for(|stored| *stored >= number).await;
    }

    /// Returns the failures for the store, and the number of the last one, if the store lacks some.
    pub(super) fn unstored_failures(&self) -> Option<(FailureRecord, u64)> {
        let (counts, number) = self.failures.lock().unstored()?;
        let organisation = self.job.lock().spec.organisation.clone();
        let takeovers = self.record.lock().value.takeovers;
        Some((FailureRecord { organisation, takeovers, counts }, number))
    }

    /// Records that the store has the failures up to a number.
    pub(super) fn mark_failures_stored(&self, number: u64) {
        self.failures.lock().mark_stored(number);
        self.stored_failures.send_replace(number);
    }
}
