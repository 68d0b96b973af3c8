//! Taking in a batch job: it lies in the store before it is accepted.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::app::App;
use super::home::Kept;
use super::keys::{HomeValue, home, part};
use super::live::Seen;
use super::peer::ForwardOutcome;
use super::takeover;
use crate::Name;
use crate::decide::job::JobSpec;
use crate::edge::store::{StoreError, Txn, TxnOutcome};
use crate::metrics::JobStep;

/// Writes of one transaction, less the home's own key.
const PARTS: usize = 24;
/// Room that a value keeps free, in bytes.
pub(super) const SPARE: usize = 4_096;
/// How long a submission whose write was not answered is tried again: a trainer's own
/// limit for the answer is a few seconds.
const TRY: Duration = Duration::from_millis(2_000);
/// The pause between tries.
const PAUSE: Duration = Duration::from_millis(100);

/// The end of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submitted {
    /// The job is kept, from this submission or an earlier one.
    Kept,
    /// It is not kept, and never will be from this submission.
    Refused(Name),
    /// It may be kept.
    Unknown,
}

impl App {
    /// Takes in a job.
    pub async fn submit(self: &Arc<Self>, spec: JobSpec) -> Submitted {
        let kept = self.owned_jobs.get(&spec.id).is_some();
        let passed = if kept || self.draining() {
            ForwardOutcome::Not
        } else {
            self.forward_job(&spec).await
        };
        match passed {
            ForwardOutcome::Kept => Submitted::Kept,
            ForwardOutcome::Not => self.accept(spec).await,
            // What the other may have written is found there as this node writes. Where it
            // can't, nobody knows.
            ForwardOutcome::Unsure => match self.accept(spec).await {
                Submitted::Refused(_) => Submitted::Unknown,
                submitted => submitted,
            },
        }
    }

    /// Takes in a job at this node.
    pub(super) async fn accept(self: &Arc<Self>, spec: JobSpec) -> Submitted {
        let submitted = self.take_in(spec).await;
        self.tally.job(match submitted {
            Submitted::Kept => JobStep::Accepted,
            Submitted::Refused(_) => JobStep::Refused,
            Submitted::Unknown => JobStep::Unsure,
        });
        submitted
    }

    async fn take_in(self: &Arc<Self>, spec: JobSpec) -> Submitted {
        let id = spec.id.clone();
        if self.owned_jobs.get(&id).is_some() {
            return Submitted::Kept;
        }
        if self.draining() {
            return Submitted::Refused("draining".into());
        }
        let Ok(bytes) = bincode::serde::encode_to_vec(&spec, bincode::config::standard()) else {
            return Submitted::Refused("unreadable".into());
        };
        let parts: Vec<Bytes> = Bytes::from(bytes)
            .chunks(self.settings.max_value - SPARE)
            .map(Bytes::copy_from_slice)
            .collect();
        if parts.len() > PARTS {
            return Submitted::Refused("too_large".into());
        }
        let value = HomeValue {
            life: self.incarnation.clone(),
            total: spec.items.len(),
            parts: parts.len(),
            done: false,
            ended: false,
            since: unix_millis(),
        };
        let Ok(written) = serde_json::to_vec(&value) else {
            return Submitted::Refused("unreadable".into());
        };
        let key = home(&id);
        let mut txn = Txn::when(key.clone(), 0).put(key, written);
        for (index, bytes) in parts.into_iter().enumerate() {
            txn = txn.put(part(&id, index), bytes);
        }
        let spec = Arc::new(spec);
        self.write(spec, value, txn).await
    }

    async fn write(self: &Arc<Self>, spec: Arc<JobSpec>, value: HomeValue, txn: Txn) -> Submitted {
        let begun = self.now();
        let mut unsure = false;
        let mut looked = false;
        loop {
            let reason = match self.store.txn(txn.clone()).await {
                Ok(TxnOutcome::Done(revision)) => {
                    tracing::info!(event = "job_accepted", job = %spec.id, items = spec.items.len(), revision);
                    self.run(spec, Kept::default(), Seen { value, revision });
                    return Submitted::Kept;
                }
                // It lies there already: from an earlier try, or through another node.
                Ok(TxnOutcome::Conflict(items)) => {
                    let own = items.first().and_then(|item| {
                        let value: HomeValue = serde_json::from_slice(&item.value).ok()?;
                        let seen = Seen { value, revision: item.revision };
                        (seen.value.life == self.incarnation && !seen.value.done).then_some(seen)
                    });
                    // Results may lie there by now: it is read rather than begun anew.
                    if let Some(seen) = own {
                        tracing::info!(event = "job_accepted", job = %spec.id, late = true);
                        takeover::begin(self, &spec.id, seen).await;
                    }
                    return Submitted::Kept;
                }
                Ok(TxnOutcome::NoLease) => return Submitted::Refused("no_lease".into()),
                Err(StoreError::Unknown(reason)) => {
                    unsure = true;
                    reason
                }
                Err(StoreError::Refused(reason)) => reason,
                Err(StoreError::Compacted) => "compacted".to_owned(),
            };
            tracing::warn!(event = "submission_not_written", job = %spec.id, unsure, %reason);
            if self.now().saturating_sub(begun) > TRY {
                // An outage that has just ended costs no step: one look, and one try more.
                if !looked && self.fallback_store.probe(&home(&spec.id)).await {
                    looked = true;
                    continue;
                }
                if unsure {
                    self.expect(spec.id.clone());
                    return Submitted::Unknown;
                }
                return Submitted::Refused("store_away".into());
            }
            self.fallback_store.wait_for_recovery(PAUSE).await;
        }
    }
}

/// The time of day.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
