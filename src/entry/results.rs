//! Writing a job's results and unfinished texts to the store. Each write is conditional on the
//! job's record, so that only its owner can write.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;

use super::app::App;
use super::keys::{JobRecord, failures_key, job_record_key, results_key, texts_key};
use super::membership::Stored;
use super::owned_jobs::{OwnedJob, SAVED_TEXT_DIVISOR, UnsavedTexts};
use super::submit::VALUE_RESERVE_BYTES;
use crate::Name;
use crate::edge::store::{KeyValue, StoreError, Txn, TxnOutcome};
use crate::metrics::JobEvent;

/// How long results are gathered for one write once the trainer may be waiting for them. A
/// sample takes about a second; a write for each result would cost four times as many calls,
/// and a longer wait would lengthen the training step.
const GATHER_WINDOW: Duration = Duration::from_millis(100);
/// Number of windows for which results are gathered while the trainer is not waiting for them.
/// The results of a step's first seconds are of no use to the trainer yet, and at worst they are
/// lost if the owner fails.
const MAX_GATHER_WINDOWS: u32 = 4;
/// How often unfinished texts are saved while no result comes; this bounds what is lost if the
/// owner fails. Only the growth is written, so a shorter interval costs calls but no bytes.
const TEXT_SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// The delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the store holds after a write met a conflict.
enum WriteConflict {
    /// The same results: an earlier attempt took effect.
    Written,
    /// The job's record has changed, and this node is still the owner.
    Changed,
    /// Another node is the owner.
    Lost,
}

/// Writes results as they come, and saves unfinished texts at intervals, until the job is
/// complete or stopped.
pub(super) async fn write_results(app: Arc<App>, owned: Arc<OwnedJob>, id: Name) {
    loop {
        tokio::select! {
            () = owned.stop.cancelled() => break,
            () = tokio::time::sleep(TEXT_SAVE_INTERVAL) => {}
            () = owned.sample_ended.notified() => {}
            () = owned.failure_added.notified() => {}
        }
        for _ in 0..MAX_GATHER_WINDOWS {
            if owned.job.lock().all_finished() {
                break;
            }
            tokio::time::sleep(GATHER_WINDOW).await;
            if owned.job.lock().is_urgent() || owned.failures.lock().must_be_stored() {
                break;
            }
        }
        if !flush(&app, &owned, &id, usize::MAX).await {
            return;
        }
        if owned.job.lock().all_written() {
            app.tally.count_job_event(JobEvent::Complete);
            tracing::info!(event = "job_complete", job = %id);
            break;
        }
    }
}

/// Writes all unwritten results and text growth, one value at a time, each in at most
/// `max_attempts` attempts. False if this node is no longer the owner or a write failed.
pub(super) async fn flush(
    app: &Arc<App>,
    owned: &Arc<OwnedJob>,
    id: &Name,
    max_attempts: usize,
) -> bool {
    let _writing = owned.write_lock.lock().await;
    loop {
        let before = owned.job.lock().next_position();
        if !write_batch(app, owned, id, max_attempts).await {
            return false;
        }
        let job = owned.job.lock();
        if !job.has_unwritten() || job.next_position() == before {
            return true;
        }
    }
}

/// Writes the unwritten results and the text growth that fit one value. The write of the last
/// results also marks the job as done. False as for [`flush`].
async fn write_batch(
    app: &Arc<App>,
    owned: &Arc<OwnedJob>,
    id: &Name,
    max_attempts: usize,
) -> bool {
    let (position, batch) =
        owned.job.lock().next_batch(app.settings.value_bytes - VALUE_RESERVE_BYTES);
    let Some(bytes) = encode(id, &batch) else { return false };
    let total = owned.job.lock().spec.items.len();
    let last = !batch.is_empty() && position + batch.len() == total;
    let key = job_record_key(id);
    let batch_key = results_key(id, position);
    for _ in 0..max_attempts {
        let Stored { value, revision } = owned.record.lock().clone();
        // A node that has read that the job is ended takes the results in the store for final.
        if owned.job.lock().ended() {
            return false;
        }
        let mut txn = Txn::when(key.clone(), revision);
        if !batch.is_empty() {
            txn.expected.push((batch_key.clone(), 0));
            txn = txn.put(batch_key.clone(), bytes.clone());
        }
        let value = JobRecord { done: true, ..value };
        if last {
            match serde_json::to_vec(&value) {
                Ok(record) => txn = txn.put(key.clone(), record),
                Err(e) => {
                    tracing::error!(event = "value_not_encoded", job = %id, error = %e);
                    return false;
                }
            }
        }
        let UnsavedTexts { deltas, saved } =
            owned.unsaved_texts(app.settings.value_bytes / SAVED_TEXT_DIVISOR);
        if !deltas.is_empty() && !last {
            let index = *owned.text_writes.lock();
            let Some(texts) = encode(id, &deltas) else { return false };
            txn = txn.put(texts_key(id, index), texts);
        }
        let mut stored_failures = None;
        let stops = owned.stop.is_cancelled();
        let failures = if stops { owned.last_failures() } else { owned.unstored_failures() };
        if let Some((record, number)) = failures {
            let Some(failures) = record.encode(id) else { return false };
            txn = txn.put(failures_key(id), failures);
            stored_failures = Some(number);
        }
        if txn.puts.is_empty() {
            return true;
        }
        match app.store.txn(txn).await {
            Ok(TxnOutcome::Done(written)) => {
                if last {
                    *owned.record.lock() = Stored { value, revision: written };
                }
                if !last && !saved.is_empty() {
                    owned.mark_saved(saved);
                }
                if let Some(number) = stored_failures {
                    owned.mark_failures_stored(number);
                }
                batch_written(owned, batch.len());
                return true;
            }
            Ok(TxnOutcome::Conflict(items)) => {
                match classify_conflict(app, owned, id, &items, &batch_key, &bytes) {
                    WriteConflict::Written => {
                        batch_written(owned, batch.len());
                        return true;
                    }
                    WriteConflict::Changed => {}
                    WriteConflict::Lost => {
                        drop_lost_job(app, owned, id);
                        return false;
                    }
                }
            }
            Ok(TxnOutcome::NoLease) => {}
            Err(e) => {
                tracing::warn!(event = "results_not_written", job = %id, error = %e);
                if matches!(e, StoreError::Unknown(_)) && !batch.is_empty() {
                    owned.write_unknown.store(true, Ordering::Relaxed);
                }
                if owned.stop.is_cancelled() {
                    return false;
                }
                app.fallback_store.wait_for_recovery(RETRY_DELAY).await;
            }
        }
    }
    false
}

/// Encodes a value of a job for the store. One that can't be encoded is logged, and nothing of it is
/// written.
fn encode<T: Serialize>(id: &str, value: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .inspect_err(|e| tracing::error!(event = "value_not_encoded", job = %id, error = %e))
        .ok()
}

/// Records that `count` results are in the store, and notifies their readers.
fn batch_written(owned: &OwnedJob, count: usize) {
    owned.write_unknown.store(false, Ordering::Relaxed);
    if count == 0 {
        return;
    }
    let mut job = owned.job.lock();
    job.mark_written(count);
    let written = job.next_position();
    drop(job);
    owned.result_count.send_replace(written);
}

/// Classifies a conflict by the items that the store holds under the written keys.
fn classify_conflict(
    app: &Arc<App>,
    owned: &Arc<OwnedJob>,
    id: &str,
    items: &[KeyValue],
    batch_key: &str,
    bytes: &[u8],
) -> WriteConflict {
    let own = job_record_key(id);
    let Some(item) = items.iter().find(|i| *i.key == *own) else { return WriteConflict::Lost };
    if !update_record(app, owned, item) {
        return WriteConflict::Lost;
    }
    match items.iter().find(|i| *i.key == *batch_key) {
        Some(there) if there.value == bytes => WriteConflict::Written,
        Some(_) => WriteConflict::Lost,
        None => WriteConflict::Changed,
    }
}

/// Updates the job's record from the store, and stops the job if its trainer has ended it.
/// False if another node is the owner.
pub(super) fn update_record(app: &Arc<App>, owned: &Arc<OwnedJob>, item: &KeyValue) -> bool {
    let Ok(value) = serde_json::from_slice::<JobRecord>(&item.value) else { return false };
    let mut record = owned.record.lock();
    if item.revision < record.revision {
        return true;
    }
    if value.incarnation != app.incarnation {
        return false;
    }
    let ended = value.ended;
    *record = Stored { value, revision: item.revision };
    drop(record);
    if ended && !owned.job.lock().ended() {
        app.stop_job(owned);
        app.retain_ended(owned.clone());
        app.store_last_failures(owned.clone());
    }
    true
}

/// Stops a job that another node owns now.
pub(super) fn drop_lost_job(app: &App, owned: &Arc<OwnedJob>, id: &Name) {
    app.tally.count_job_event(JobEvent::Lost);
    tracing::warn!(event = "job_lost", job = %id, "another node is the owner");
    owned.stop.cancel();
    app.owned_jobs.remove_this(id, owned);
}
