//! Accepting a batch job: it is written to the store before it is acknowledged.

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
use crate::decide::job::JobSpec;
use crate::decide::load::MemoryUse;
use crate::edge::MemoryCharge;
use crate::edge::store::{StoreError, Txn, TxnOutcome};
use crate::metrics::JobEvent;

/// Maximum number of parts of a submission. They and the job's record are written in one
/// transaction.
const MAX_SPEC_PARTS: usize = 24;
/// Bytes of a value that are left unused, so that it stays below the store's limit.
pub(super) const VALUE_RESERVE_BYTES: usize = 4_096;
/// How long the write of a submission is retried. A trainer's own timeout for the answer is a
/// few seconds.
const WRITE_RETRY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The delay between attempts to write a submission.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The reason of a refusal because the memory of the nodes is in use.
pub const NO_MEMORY: &str = "memory";
/// The reason of a refusal because no machine has enough memory for the job.
pub const TOO_LARGE_FOR_MEMORY: &str = "too_large_for_memory";

/// The result of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitResult {
    /// The job is in the store, from this submission or an earlier one.
    Accepted,
    /// The job is not in the store, and this submission never will put it there; with the
    /// reason.
    Refused(Name),
    /// The job may be in the store.
    Unknown,
}

impl App {
    /// Accepts a job under the configuration in force here, at this node or at one that it forwards
    /// the job to.
    pub async fn submit(self: &Arc<Self>, mut spec: JobSpec) -> SubmitResult {
        spec.routes_version = self.routes().map_or(0, |routes| routes.version);
        let owned = self.owned_jobs.get(&spec.id).is_some();
        let passed = if owned || self.draining() {
            ForwardOutcome::Not
        } else {
            self.forward_job(&spec).await
        };
        match passed {
            ForwardOutcome::Kept => SubmitResult::Accepted,
            ForwardOutcome::Not => self.place_job(spec).await,
            // If the other node has written the job, this node's own write finds it in the
            // store. If this write fails as well, the outcome is unknown.
            ForwardOutcome::Unsure => match self.accept_here(spec).await {
                SubmitResult::Refused(_) => SubmitResult::Unknown,
                submitted => submitted,
            },
        }
    }

    /// Accepts a job that its preferred owner does not take, at this node or at another one. A
    /// machine that is too small for jobs offers it to larger ones first; another one does that if
    /// it has no memory for the job.
    async fn place_job(self: &Arc<Self>, spec: JobSpec) -> SubmitResult {
        let small = !self.settings.limits.may_own_jobs();
        if small && !self.draining() {
            match self.offer_job(&spec).await {
                ForwardOutcome::Kept => return SubmitResult::Accepted,
                ForwardOutcome::Not => {}
                ForwardOutcome::Unsure => {
                    return match self.accept_here(spec).await {
                        SubmitResult::Refused(_) => SubmitResult::Unknown,
                        submitted => submitted,
                    };
                }
            }
        }
        let submitted = self.accept_here(spec.clone()).await;
        if submitted != SubmitResult::Refused(NO_MEMORY.into()) {
            return submitted;
        }
        if small {
            return self.refuse_for_memory(&spec);
        }
        match self.offer_job(&spec).await {
            ForwardOutcome::Kept => SubmitResult::Accepted,
            ForwardOutcome::Not => self.refuse_for_memory(&spec),
            ForwardOutcome::Unsure => SubmitResult::Unknown,
        }
    }

    /// The refusal of a job that no node has taken: for good if no known machine could hold it.
    fn refuse_for_memory(&self, spec: &JobSpec) -> SubmitResult {
        let bytes = spec.expected_memory();
        let others = self.membership.lock().owner_candidates();
        let machines = others.iter().map(|n| &n.capacity).chain([&self.settings.limits]);
        let could_hold = |limit: Option<usize>| limit.is_none_or(|limit| bytes <= limit);
        let held = machines.map(MemoryUse::job_limit).any(could_hold);
        let reason = if held { NO_MEMORY } else { TOO_LARGE_FOR_MEMORY };
        tracing::warn!(event = "job_refused_for_memory", job = %spec.id, bytes, reason, held = self.job_memory.held(), limit = self.job_memory.limit());
        SubmitResult::Refused(reason.into())
    }

    /// Accepts a job at this node, and counts the outcome.
    pub(super) async fn accept_here(self: &Arc<Self>, spec: JobSpec) -> SubmitResult {
        let submitted = self.store_job(spec).await;
        self.tally.count_job_event(match submitted {
            SubmitResult::Accepted => JobEvent::Accepted,
            SubmitResult::Refused(_) => JobEvent::Refused,
            SubmitResult::Unknown => JobEvent::Unsure,
        });
        submitted
    }

    async fn store_job(self: &Arc<Self>, spec: JobSpec) -> SubmitResult {
        let id = spec.id.clone();
        if self.owned_jobs.get(&id).is_some() {
            return SubmitResult::Accepted;
        }
        if self.draining() {
            return SubmitResult::Refused("draining".into());
        }
        let Some(held) = self.job_memory.try_reserve(spec.expected_memory()) else {
            return SubmitResult::Refused(NO_MEMORY.into());
        };
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
            takeovers: 0,
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
        self.write_submission(spec, value, txn, held).await
    }

    async fn write_submission(
        self: &Arc<Self>,
        spec: Arc<JobSpec>,
        value: JobRecord,
        txn: Txn,
        held: MemoryCharge,
    ) -> SubmitResult {
        let started_at = self.now();
        let mut first = true;
        let mut outcome_unknown = false;
        let mut probed = false;
        loop {
            // Both calls at once, but only one of them is repeated in an outage.
            let reading = async {
                if std::mem::take(&mut first) {
                    self.load_failures(&spec, 0).await.ok()
                } else {
                    None
                }
            };
            let (written, failures) = tokio::join!(self.store.txn(txn.clone()), reading);
            let reason = match written {
                Ok(TxnOutcome::Done(revision)) => {
                    tracing::info!(event = "job_accepted", job = %spec.id, items = spec.items.len(), revision);
                    let restored =
                        RestoredJob { failures, held: Some(held), ..RestoredJob::default() };
                    self.run_job(spec, restored, Stored { value, revision });
                    return SubmitResult::Accepted;
                }
                // The job is in the store already: from an earlier attempt, or through another
                // node.
                Ok(TxnOutcome::Conflict(items)) => {
                    let own = items.first().and_then(|item| {
                        let value: JobRecord = serde_json::from_slice(&item.value).ok()?;
                        let seen = Stored { value, revision: item.revision };
                        (seen.value.incarnation == self.incarnation && !seen.value.done)
                            .then_some(seen)
                    });
                    // The store may have results of it by now, so the job is resumed from the
                    // store instead of being started anew.
                    if let Some(seen) = own {
                        tracing::info!(event = "job_accepted", job = %spec.id, late = true);
                        takeover::resume_job(self, &spec.id, seen).await;
                    }
                    return SubmitResult::Accepted;
                }
                Ok(TxnOutcome::NoLease) => return SubmitResult::Refused("no_lease".into()),
                Err(StoreError::Unknown(reason)) => {
                    outcome_unknown = true;
                    reason
                }
                Err(StoreError::Refused(reason)) => reason,
                Err(StoreError::Compacted) => "compacted".to_owned(),
            };
            tracing::warn!(event = "submission_not_written", job = %spec.id, unsure = outcome_unknown, %reason);
            if self.now().saturating_sub(started_at) > WRITE_RETRY_TIMEOUT {
                // An outage that has just ended must not cost a training step: the store is
                // probed once, and the write is tried once more.
                if !probed && self.fallback_store.probe(&job_record_key(&spec.id)).await {
                    probed = true;
                    continue;
                }
                if outcome_unknown {
                    self.watch_for_late_write(spec.id.clone());
                    return SubmitResult::Unknown;
                }
                return SubmitResult::Refused("store_away".into());
            }
            self.fallback_store.wait_for_recovery(RETRY_DELAY).await;
        }
    }
}

/// Milliseconds since the Unix epoch.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
