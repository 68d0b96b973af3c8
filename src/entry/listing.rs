//! Writing a job's results and its unfinished texts, under the key that makes a node its home.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::App;
use super::homes::{Home, Unsaved};
use super::keys::{HomeValue, home as home_key, results, texts};
use super::live::Seen;
use super::submit::SPARE;
use crate::Name;
use crate::edge::store::{KeyValue, StoreError, Txn, TxnOutcome};
use crate::metrics::JobStep;

/// How long results are gathered for one write once the trainer may wait for them. A sample
/// takes a second; a write for each would cost four times the calls, and a longer wait shows
/// in the time of a step.
const WINDOW: Duration = Duration::from_millis(100);
/// For how many windows they are gathered before that: what a step's first seconds bring is
/// of no use to its trainer yet, and is lost with a home at most.
const WINDOWS: u32 = 4;
/// How often unfinished texts are written while no result comes: what is lost with a home.
/// Only what has come since is written, so a shorter time costs calls but no bytes.
const SAVE: Duration = Duration::from_millis(500);
/// The pause after a failed write.
const PAUSE: Duration = Duration::from_millis(100);

/// What a write that met a conflict found.
enum Conflict {
    /// The same results lie there already: an earlier try took effect.
    Written,
    /// The home's key changed, and this node is still home.
    Changed,
    /// Another node is home.
    Lost,
}

/// Writes results as they come, and unfinished texts now and then, until there are no more.
pub(super) async fn list(app: Arc<App>, home: Arc<Home>, id: Name) {
    loop {
        tokio::select! {
            () = home.stop.cancelled() => break,
            () = tokio::time::sleep(SAVE) => {}
            () = home.fresh.notified() => {}
        }
        for _ in 0..WINDOWS {
            if home.job.lock().all_finished() {
                break;
            }
            tokio::time::sleep(WINDOW).await;
            if home.job.lock().is_urgent() {
                break;
            }
        }
        if !write_all(&app, &home, &id, usize::MAX).await {
            return;
        }
        if home.job.lock().all_written() {
            app.tally.job(JobStep::Complete);
            tracing::info!(event = "job_complete", job = %id);
            break;
        }
    }
}

/// Writes all that is fresh, a value at a time, each at most `tries` times. False if another
/// node is home.
pub(super) async fn write_all(app: &Arc<App>, home: &Arc<Home>, id: &Name, tries: usize) -> bool {
    let _writing = home.writing.lock().await;
    loop {
        let before = home.job.lock().next_position();
        if !write(app, home, id, tries).await {
            return false;
        }
        let job = home.job.lock();
        if !job.has_unwritten() || job.next_position() == before {
            return true;
        }
    }
}

/// Writes what is fresh and fits a value.
async fn write(app: &Arc<App>, home: &Arc<Home>, id: &Name, tries: usize) -> bool {
    let (position, batch) = home.job.lock().next_batch(app.settings.max_value - SPARE);
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
    let key = home_key(id);
    let place = results(id, position);
    for _ in 0..tries {
        let Seen { value, revision } = home.key.lock().clone();
        // Whoever has read that it is ended takes what lies there for all of it.
        if home.job.lock().ended() {
            return false;
        }
        let mut txn = Txn::when(key.clone(), revision);
        if !batch.is_empty() {
            txn.expected.push((place.clone(), 0));
            txn = txn.put(place.clone(), bytes.clone());
        }
        let value = HomeValue { done: true, ..value };
        if last {
            txn = txn.put(key.clone(), serde_json::to_vec(&value).unwrap_or_default());
        }
        let Unsaved { growths, after } = home.growths(app.settings.max_value / 2);
        if !growths.is_empty() && !last {
            let index = *home.saves.lock();
            let encoded = bincode::serde::encode_to_vec(&growths, bincode::config::standard());
            txn = txn.put(texts(id, index), encoded.unwrap_or_default());
        }
        if txn.puts.is_empty() {
            return true;
        }
        match app.store.txn(txn).await {
            Ok(TxnOutcome::Done(written)) => {
                if last {
                    *home.key.lock() = Seen { value, revision: written };
                }
                if !last && !after.is_empty() {
                    home.saved(after);
                }
                kept(home, batch.len());
                return true;
            }
            Ok(TxnOutcome::Conflict(items)) => match judge(app, home, id, &items, &place, &bytes) {
                Conflict::Written => {
                    kept(home, batch.len());
                    return true;
                }
                Conflict::Changed => {}
                Conflict::Lost => {
                    lose(app, home, id);
                    return false;
                }
            },
            Ok(TxnOutcome::NoLease) => {}
            Err(e) => {
                tracing::warn!(event = "results_not_written", job = %id, error = %e);
                if matches!(e, StoreError::Unknown(_)) && !batch.is_empty() {
                    home.unsure.store(true, Ordering::Relaxed);
                }
                if home.stop.is_cancelled() {
                    return false;
                }
                app.fallback_store.wait_for_recovery(PAUSE).await;
            }
        }
    }
    false
}

fn kept(home: &Home, count: usize) {
    home.unsure.store(false, Ordering::Relaxed);
    if count == 0 {
        return;
    }
    let mut job = home.job.lock();
    job.mark_written(count);
    let listed = job.next_position();
    drop(job);
    home.listed.send_replace(listed);
}

fn judge(
    app: &Arc<App>,
    home: &Arc<Home>,
    id: &str,
    items: &[KeyValue],
    place: &str,
    bytes: &[u8],
) -> Conflict {
    let own = home_key(id);
    let Some(item) = items.iter().find(|i| *i.key == *own) else { return Conflict::Lost };
    if !still(app, home, item) {
        return Conflict::Lost;
    }
    match items.iter().find(|i| *i.key == *place) {
        Some(there) if there.value == bytes => Conflict::Written,
        Some(_) => Conflict::Lost,
        None => Conflict::Changed,
    }
}

/// Takes over the home's key as the store has it. False if another node is home.
pub(super) fn still(app: &Arc<App>, home: &Arc<Home>, item: &KeyValue) -> bool {
    let Ok(value) = serde_json::from_slice::<HomeValue>(&item.value) else { return false };
    let mut key = home.key.lock();
    if item.revision < key.revision {
        return true;
    }
    if value.life != app.incarnation {
        return false;
    }
    let ended = value.ended;
    *key = Seen { value, revision: item.revision };
    drop(key);
    if ended && !home.job.lock().ended() {
        app.halt(home);
        app.retain_ended(home.clone());
    }
    true
}

/// Stops a job that another node is home to.
pub(super) fn lose(app: &App, home: &Home, id: &Name) {
    app.tally.job(JobStep::Lost);
    tracing::warn!(event = "job_lost", job = %id, "another node is home");
    home.stop.cancel();
    app.owned_jobs.remove(id);
}
