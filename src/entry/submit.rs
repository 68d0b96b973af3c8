//! Taking in a batch job: it lies in the store before it is accepted.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::app::App;
use super::keys::{JobRecord, job_record_key, spec_part_key};
use super::membership::Stored;
use super::peer::ForwardOutcome;
use super::runner::RestoredJob;
use super::takeover;
use crate::Name;
use crate::decide::job::Spec;
use crate::edge::store::{StoreError, Txn, TxnEnd};
use crate::metrics::JobStep;

/// Writes of one transaction, less the home's own key.
const MAX_SPEC_PARTS: usize = 24;
/// Room that a value keeps free, in bytes.
pub(super) const VALUE_RESERVE_BYTES: usize = 4_096;
/// How long a submission whose write was not answered is tried again: a trainer's own
/// limit for the answer is a few seconds.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The end of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitResult {
    /// The job is kept, from this submission or an earlier one.
    Accepted,
    /// It is not kept, and never will be from this submission.
    Refused(Name),
    /// It may be kept.
    Unknown,
}

impl App {
    /// Takes in a job.
    pub async fn submit(self: &Arc<Self>, spec: Spec) -> SubmitResult {
        let kept = self.owned_jobs.get(&spec.id).is_some();
        let passed = if kept || self.draining() {
            ForwardOutcome::Not
        } else {
            self.forward_job(&spec).await
        };
        match passed {
            ForwardOutcome::Kept => SubmitResult::Accepted,
            ForwardOutcome::Not => self.accept_here(spec).await,
            // What the other may have written is found there as this node writes. Where it
            // can't, nobody knows.
            ForwardOutcome::Unsure => match self.accept_here(spec).await {
                SubmitResult::Refused(_) => SubmitResult::Unknown,
                submitted => submitted,
            },
        }
    }

    /// Takes in a job at this node.
    pub(super) async fn accept_here(self: &Arc<Self>, spec: Spec) -> SubmitResult {
        let submitted = self.store_job(spec).await;
        self.tally.job(match submitted {
            SubmitResult::Accepted => JobStep::Accepted,
            SubmitResult::Refused(_) => JobStep::Refused,
            SubmitResult::Unknown => JobStep::Unsure,
        });
        submitted
    }

    async fn store_job(self: &Arc<Self>, spec: Spec) -> SubmitResult {
        let id = spec.id.clone();
        if self.owned_jobs.get(&id).is_some() {
            return SubmitResult::Accepted;
        }
        if self.draining() {
            return SubmitResult::Refused("draining".into());
        }
        let Ok(bytes) = bincode::serde::encode_to_vec(&spec, bincode::config::standard()) else {
            return SubmitResult::Refused("unreadable".into());
        };
        let parts: Vec<Bytes> = Bytes::from(bytes)
            .chunks(self.settings.value_bytes - VALUE_RESERVE_BYTES)
            .map(Bytes::copy_from_slice)
            .collect();
        if parts.len() > MAX_SPEC_PARTS {
            return SubmitResult::Refused("too_large".into());
        }
        let value = JobRecord {
            incarnation: self.incarnation.clone(),
            sample_count: spec.items.len(),
            part_count: parts.len(),
            done: false,
            ended: false,
            accepted_ms: unix_millis(),
        };
        let Ok(written) = serde_json::to_vec(&value) else {
            return SubmitResult::Refused("unreadable".into());
        };
        let key = job_record_key(&id);
        let mut txn = Txn::when(key.clone(), 0).put(key, written);
        for (index, bytes) in parts.into_iter().enumerate() {
            txn = txn.put(spec_part_key(&id, index), bytes);
        }
        let spec = Arc::new(spec);
        self.write_submission(spec, value, txn).await
    }

    async fn write_submission(
        self: &Arc<Self>,
        spec: Arc<Spec>,
        value: JobRecord,
        txn: Txn,
    ) -> SubmitResult {
        let begun = self.now();
        let mut unsure = false;
        let mut looked = false;
        loop {
            let reason = match self.store.txn(txn.clone()).await {
                Ok(TxnEnd::Done(revision)) => {
                    tracing::info!(event = "job_accepted", job = %spec.id, items = spec.items.len(), revision);
                    self.run_job(spec, RestoredJob::default(), Stored { value, revision });
                    return SubmitResult::Accepted;
                }
                // It lies there already: from an earlier try, or through another node.
                Ok(TxnEnd::Conflict(items)) => {
                    let own = items.first().and_then(|item| {
                        let value: JobRecord = serde_json::from_slice(&item.value).ok()?;
                        let seen = Stored { value, revision: item.revision };
                        (seen.value.incarnation == self.incarnation && !seen.value.done)
                            .then_some(seen)
                    });
                    // Results may lie there by now: it is read rather than begun anew.
                    if let Some(seen) = own {
                        tracing::info!(event = "job_accepted", job = %spec.id, late = true);
                        takeover::resume_job(self, &spec.id, seen).await;
                    }
                    return SubmitResult::Accepted;
                }
                Ok(TxnEnd::NoLease) => return SubmitResult::Refused("no_lease".into()),
                Err(StoreError::Unknown(reason)) => {
                    unsure = true;
                    reason
                }
                Err(StoreError::Refused(reason)) => reason,
                Err(StoreError::Compacted) => "compacted".to_owned(),
            };
            tracing::warn!(event = "submission_not_written", job = %spec.id, unsure, %reason);
            if self.now().saturating_sub(begun) > WRITE_TIMEOUT {
                // An outage that has just ended costs no step: one look, and one try more.
                if !looked && self.fallback_store.probe(&job_record_key(&spec.id)).await {
                    looked = true;
                    continue;
                }
                if unsure {
                    self.watch_for_late_write(spec.id.clone());
                    return SubmitResult::Unknown;
                }
                return SubmitResult::Refused("store_away".into());
            }
            self.fallback_store.wait_for_recovery(RETRY_PAUSE).await;
        }
    }
}

/// The time of day.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
