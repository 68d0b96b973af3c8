//! Writing a job's results and its unfinished texts, under the key that makes a node its home.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::App;
use super::keys::{JobRecord, job_record_key, results_key, texts_key};
use super::membership::Stored;
use super::owned_jobs::{OwnedJob, UnsavedTexts};
use super::submit::VALUE_RESERVE_BYTES;
use crate::Name;
use crate::edge::store::{Item, StoreError, Txn, TxnEnd};
use crate::metrics::JobStep;

/// How long results are gathered for one write once the trainer may wait for them. A sample
/// takes a second; a write for each would cost four times the calls, and a longer wait shows
/// in the time of a step.
const GATHER_WINDOW: Duration = Duration::from_millis(100);
/// For how many windows they are gathered before that: what a step's first seconds bring is
/// of no use to its trainer yet, and is lost with a home at most.
const GATHER_WINDOWS: u32 = 4;
/// How often unfinished texts are written while no result comes: what is lost with a home.
/// Only what has come since is written, so a shorter time costs calls but no bytes.
const TEXT_SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a write that met a conflict found.
enum WriteConflict {
    /// The same results lie there already: an earlier try took effect.
    Written,
    /// The home's key changed, and this node is still home.
    Changed,
    /// Another node is home.
    Lost,
}

/// Writes results as they come, and unfinished texts now and then, until there are no more.
pub(super) async fn write_results(app: Arc<App>, home: Arc<OwnedJob>, id: Name) {
    loop {
        tokio::select! {
            () = home.stop.cancelled() => break,
            () = tokio::time::sleep(TEXT_SAVE_INTERVAL) => {}
            () = home.sample_ended.notified() => {}
        }
        for _ in 0..GATHER_WINDOWS {
            if home.job.lock().made() {
                break;
            }
            tokio::time::sleep(GATHER_WINDOW).await;
            if home.job.lock().awaited() {
                break;
            }
        }
        if !flush(&app, &home, &id, usize::MAX).await {
            return;
        }
        if home.job.lock().complete() {
            app.tally.job(JobStep::Complete);
            tracing::info!(event = "job_complete", job = %id);
            break;
        }
    }
}

/// Writes all that is fresh, a value at a time, each at most `tries` times. False if another
/// node is home.
pub(super) async fn flush(app: &Arc<App>, home: &Arc<OwnedJob>, id: &Name, tries: usize) -> bool {
    let _writing = home.write_lock.lock().await;
    loop {
        let before = home.job.lock().position();
        if !write_batch(app, home, id, tries).await {
            return false;
        }
        let job = home.job.lock();
        if !job.fresh() || job.position() == before {
            return true;
        }
    }
}

/// Writes what is fresh and fits a value.
async fn write_batch(app: &Arc<App>, home: &Arc<OwnedJob>, id: &Name, tries: usize) -> bool {
    let (position, batch) = home.job.lock().batch(app.settings.value_bytes - VALUE_RESERVE_BYTES);
    let encoded = bincode::serde::encode_to_vec(&batch, bincode::config::standard());
    let bytes = match encoded {
        Ok(bytes) => bytes,
        Err(e) => {
            tracing::error!(event = "results_unreadable", job = %id, error = %e);
            return true;
        }
    };
    let total = home.job.lock().spec.items.len();
    let last = !batch.is_empty() && position + batch.len() == total;
    let key = job_record_key(id);
    let place = results_key(id, position);
    for _ in 0..tries {
        let Stored { value, revision } = home.record.lock().clone();
        // Whoever has read that it is ended takes what lies there for all of it.
        if home.job.lock().ended() {
            return false;
        }
        let mut txn = Txn::when(key.clone(), revision);
        if !batch.is_empty() {
            txn.expected.push((place.clone(), 0));
            txn = txn.put(place.clone(), bytes.clone());
        }
        let value = JobRecord { done: true, ..value };
        if last {
            txn = txn.put(key.clone(), serde_json::to_vec(&value).unwrap_or_default());
        }
        let UnsavedTexts { growths, saved } = home.unsaved_texts(app.settings.value_bytes / 2);
        if !growths.is_empty() && !last {
            let index = *home.text_writes.lock();
            let encoded = bincode::serde::encode_to_vec(&growths, bincode::config::standard());
            txn = txn.put(texts_key(id, index), encoded.unwrap_or_default());
        }
        if txn.puts.is_empty() {
            return true;
        }
        match app.store.txn(txn).await {
            Ok(TxnEnd::Done(written)) => {
                if last {
                    *home.record.lock() = Stored { value, revision: written };
                }
                if !last && !saved.is_empty() {
                    home.mark_saved(saved);
                }
                batch_written(home, batch.len());
                return true;
            }
            Ok(TxnEnd::Conflict(items)) => {
                match classify_conflict(app, home, id, &items, &place, &bytes) {
                    WriteConflict::Written => {
                        batch_written(home, batch.len());
                        return true;
                    }
                    WriteConflict::Changed => {}
                    WriteConflict::Lost => {
                        drop_lost_job(app, home, id);
                        return false;
                    }
                }
            }
            Ok(TxnEnd::NoLease) => {}
            Err(e) => {
                tracing::warn!(event = "results_not_written", job = %id, error = %e);
                if matches!(e, StoreError::Unknown(_)) && !batch.is_empty() {
                    home.write_unknown.store(true, Ordering::Relaxed);
                }
                if home.stop.is_cancelled() {
                    return false;
                }
                app.fallback_store.wait_for_recovery(RETRY_PAUSE).await;
            }
        }
    }
    false
}

fn batch_written(home: &OwnedJob, count: usize) {
    home.write_unknown.store(false, Ordering::Relaxed);
    if count == 0 {
        return;
    }
    let mut job = home.job.lock();
    job.written(count);
    let listed = job.position();
    drop(job);
    home.result_count.send_replace(listed);
}

fn classify_conflict(
    app: &Arc<App>,
    home: &Arc<OwnedJob>,
    id: &str,
    items: &[Item],
    place: &str,
    bytes: &[u8],
) -> WriteConflict {
    let own = job_record_key(id);
    let Some(item) = items.iter().find(|i| *i.key == *own) else { return WriteConflict::Lost };
    if !update_record(app, home, item) {
        return WriteConflict::Lost;
    }
    match items.iter().find(|i| *i.key == *place) {
        Some(there) if there.value == bytes => WriteConflict::Written,
        Some(_) => WriteConflict::Lost,
        None => WriteConflict::Changed,
    }
}

/// Takes over the home's key as the store has it. False if another node is home.
pub(super) fn update_record(app: &Arc<App>, home: &Arc<OwnedJob>, item: &Item) -> bool {
    let Ok(value) = serde_json::from_slice::<JobRecord>(&item.value) else { return false };
    let mut key = home.record.lock();
    if item.revision < key.revision {
        return true;
    }
    if value.incarnation != app.incarnation {
        return false;
    }
    let ended = value.ended;
    *key = Stored { value, revision: item.revision };
    drop(key);
    if ended && !home.job.lock().ended() {
        app.stop_job(home);
        app.retain_ended(home.clone());
    }
    true
}

/// Stops a job that another node is home to.
pub(super) fn drop_lost_job(app: &App, home: &OwnedJob, id: &Name) {
    app.tally.job(JobStep::Lost);
    tracing::warn!(event = "job_lost", job = %id, "another node is home");
    home.stop.cancel();
    app.owned_jobs.remove(id);
}
