//! Ends a job, on whichever node the request arrives.

use std::sync::Arc;
use std::time::Duration;

use super::app::App;
use super::keys::{JobRecord, failures_key, job_record_key};
use super::membership::Stored;
use super::read::Lookup;
use crate::edge::store::{Txn, TxnOutcome};
use crate::metrics::JobEvent;

/// How long the write that ends a job is retried while the store does not answer.
const WRITE_RETRY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay between two attempts of that write.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl App {
    /// Ends a job, so that none of its samples runs any more. An ended job can be ended again.
    ///
    /// Returns that the job is unknown if the store has no record of it, and that the outcome is
    /// not sure if the store does not answer.
    pub async fn end_job(self: &Arc<Self>, job: &str) -> Lookup<()> {
        let started = self.now();
        let owned = self.owned_jobs.get(job);
        if let Some(owned) = &owned {
            self.stop_job(owned);
        }
        let known = match owned {
            Some(ref owned) => Ok(Some(owned.record.lock().clone())),
            None => self.job_record(job).await,
        };
        let mut stored = match known {
            Ok(Some(stored)) => stored,
            Ok(None) => return Lookup::Unknown,
            Err(_) => return Lookup::Unsure,
        };
        loop {
            if stored.value.ended {
                return Lookup::Found(());
            }
            let value = JobRecord { ended: true, done: true, ..stored.value.clone() };
            let Ok(value) = serde_json::to_vec(&value) else { return Lookup::Unsure };
            let key = job_record_key(job);
            let mut txn = Txn::when(key.clone(), stored.revision).put(key.clone(), value);
            let own = stored.value.incarnation == self.incarnation;
            let failures = owned.as_ref().filter(|_| own).and_then(|owned| owned.last_failures());
            if let Some(failures) = failures.and_then(|(record, _)| record.encode(job)) {
                txn = txn.put(failures_key(job), failures);
            }
            match self.store.txn(txn).await {
                Ok(TxnOutcome::Done(_)) => {
                    self.tally.count_job_event(JobEvent::Ended);
                    tracing::info!(event = "job_ended", job);
                    // Another owner may have written results that this node does not have.
                    if let Some(owned) =
                        owned.filter(|_| stored.value.incarnation == self.incarnation)
                    {
                        self.retain_ended(owned);
                    }
                    return Lookup::Found(());
                }
                Ok(TxnOutcome::Conflict(items)) => {
                    let Some(item) = items.into_iter().find(|i| i.key == key) else {
                        return Lookup::Unknown;
                    };
                    match serde_json::from_slice(&item.value) {
                        Ok(value) => stored = Stored { value, revision: item.revision },
                        Err(_) => return Lookup::Unsure,
                    }
                }
                Ok(TxnOutcome::NoLease) => return Lookup::Unsure,
                Err(e) => {
                    tracing::warn!(event = "job_end_not_written", job, error = %e);
                    if self.now().saturating_sub(started) > WRITE_RETRY_TIMEOUT {
                        return Lookup::Unsure;
                    }
                    self.fallback_store.wait_for_recovery(RETRY_DELAY).await;
                }
            }
        }
    }
}
