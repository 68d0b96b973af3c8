//! Running a job at its home: its samples, and the writing of their results.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::{App, ByName};
use super::homes::{Home, Unsaved};
use super::keys::{HomeValue, home as home_key, results, texts};
use super::live::Seen;
use super::sample;
use crate::Name;
use crate::decide::job::{Job, Listing, Saved, Spec, Text};
use crate::edge::store::{Change, Item, Txn, TxnEnd};
use crate::metrics::JobStep;

/// How long results are gathered for one write. A sample takes a second; a write for each
/// would cost four times the calls, and a longer wait shows in the time of a step.
const WINDOW: Duration = Duration::from_millis(100);
/// How often unfinished texts are written while no result comes: what is lost with a home.
/// Only what has come since is written, so a shorter time costs calls but no bytes.
const SAVE: Duration = Duration::from_millis(500);
/// The pause after a failed write.
const PAUSE: Duration = Duration::from_millis(100);

/// Tries of the last write before a job is handed over.
const HANDOVER: usize = 2;
/// How long the watch of a job's key may stay without news. Steps last some seconds, so it
/// is one call for most.
const WATCH: Duration = Duration::from_secs(10);

/// Jobs that began here, for their order.
static AGES: AtomicU64 = AtomicU64::new(0);

/// What the store has of a job beside its submission.
#[derive(Debug, Default)]
pub(super) struct Kept {
    /// Its results.
    pub listed: Vec<Arc<Listing>>,
    /// Its unfinished texts.
    pub texts: ByName<(Text, Saved)>,
    /// The number of writes that these lie in.
    pub saves: usize,
}

/// What a write that met a conflict found.
enum Conflict {
    /// The same results lie there already: an earlier try took effect.
    Written,
    /// The home's key changed, and this node is still home.
    Changed,
    /// Another node is home.
    Lost,
}

impl App {
    /// Runs a job that this node is home to since `revision`.
    pub(super) fn run(self: &Arc<Self>, spec: Arc<Spec>, kept: Kept, key: Seen<HomeValue>) {
        let Kept { listed, texts, saves } = kept;
        let id = spec.id.clone();
        let job = Job::new(spec, listed);
        let todo = job.todo();
        let count = job.batch().0;
        let home = Arc::new(Home {
            job: Mutex::new(job),
            key: Mutex::new(key),
            texts: Mutex::new(texts),
            saves: Mutex::new(saves),
            fresh: Notify::new(),
            listed: watch::Sender::new(count),
            stop: CancellationToken::new(),
            age: AGES.fetch_add(1, Ordering::Relaxed),
        });
        let Some(home) = self.homes.insert(&id, home) else { return };
        let unfinished = home.texts.lock().len();
        tracing::info!(event = "job_begins", job = %id, listed = count, todo = todo.len(), unfinished);
        for (index, item) in todo.into_iter().enumerate() {
            let (app, home) = (self.clone(), home.clone());
            let stop = home.stop.clone();
            self.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = sample::run(&app, &home, &item, index as u64) => {}
                }
            });
        }
        self.spawn(attend(self.clone(), home.clone(), id.clone()));
        self.spawn(list(self.clone(), home, id));
    }

    /// The trainer of a job that runs here wants no more of it. What was listed is read from
    /// the store from now on: a write without an answer may have taken effect there.
    pub(super) fn halt(&self, home: &Home) {
        home.job.lock().end();
        home.stop.cancel();
        let id = home.job.lock().spec.id.clone();
        self.homes.remove(&id);
    }

    /// Stops all jobs that run here, so that others can take them, and writes what is there.
    pub(super) async fn hand_over(self: &Arc<Self>) {
        let homes = self.homes.all();
        for (_, home) in &homes {
            home.stop.cancel();
        }
        let writes = homes.into_iter().map(|(id, home)| {
            let app = self.clone();
            async move {
                write(&app, &home, &id, HANDOVER).await;
                app.homes.remove(&id);
                app.tally.job(JobStep::HandedOver);
                tracing::info!(event = "job_handed_over", job = %id);
            }
        });
        futures_util::future::join_all(writes).await;
    }
}

/// Writes results as they come, and unfinished texts now and then, until there are no more.
async fn list(app: Arc<App>, home: Arc<Home>, id: Name) {
    loop {
        tokio::select! {
            () = home.stop.cancelled() => break,
            () = tokio::time::sleep(SAVE) => {}
            () = home.fresh.notified() => {}
        }
        if !home.job.lock().made() {
            tokio::time::sleep(WINDOW).await;
        }
        if !write(&app, &home, &id, usize::MAX).await {
            return;
        }
        if home.job.lock().complete() {
            app.tally.job(JobStep::Complete);
            tracing::info!(event = "job_complete", job = %id);
            break;
        }
    }
}

/// Writes what is fresh, at most `tries` times. False if another node is home.
async fn write(app: &Arc<App>, home: &Home, id: &Name, tries: usize) -> bool {
    let (position, batch) = home.job.lock().batch();
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
        let mut txn = Txn::when(key.clone(), revision);
        if !batch.is_empty() {
            txn.expected.push((place.clone(), 0));
            txn = txn.put(place.clone(), bytes.clone());
        }
        let value = HomeValue { done: true, ..value };
        if last {
            txn = txn.put(key.clone(), serde_json::to_vec(&value).unwrap_or_default());
        }
        let Unsaved { growths, after } = home.growths(app.settings.value / 2);
        if !growths.is_empty() && !last {
            let index = *home.saves.lock();
            let encoded = bincode::serde::encode_to_vec(&growths, bincode::config::standard());
            txn = txn.put(texts(id, index), encoded.unwrap_or_default());
        }
        if txn.puts.is_empty() {
            return true;
        }
        match app.store.txn(txn).await {
            Ok(TxnEnd::Done(written)) => {
                if last {
                    *home.key.lock() = Seen { value, revision: written };
                }
                if !last && !after.is_empty() {
                    home.saved(after);
                }
                kept(home, batch.len());
                return true;
            }
            Ok(TxnEnd::Conflict(items)) => match judge(app, home, id, &items, &place, &bytes) {
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
            Ok(TxnEnd::NoLease) => {}
            Err(e) => {
                tracing::warn!(event = "results_not_written", job = %id, error = %e);
                if home.stop.is_cancelled() {
                    return false;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    false
}

fn kept(home: &Home, count: usize) {
    if count == 0 {
        return;
    }
    let mut job = home.job.lock();
    job.written(count);
    let listed = job.batch().0;
    drop(job);
    home.listed.send_replace(listed);
}

fn judge(app: &App, home: &Home, id: &str, items: &[Item], place: &str, bytes: &[u8]) -> Conflict {
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
fn still(app: &App, home: &Home, item: &Item) -> bool {
    let Ok(value) = serde_json::from_slice::<HomeValue>(&item.value) else { return false };
    let mut key = home.key.lock();
    if item.revision < key.revision {
        return true;
    }
    if value.life != app.life {
        return false;
    }
    let ended = value.ended;
    *key = Seen { value, revision: item.revision };
    drop(key);
    if ended && !home.job.lock().ended() {
        app.halt(home);
    }
    true
}

/// Follows the key of a job that runs here: its trainer may end it through any node, and
/// another node may take it.
async fn attend(app: Arc<App>, home: Arc<Home>, id: Name) {
    let key = home_key(&id);
    let mut revision = home.key.lock().revision;
    loop {
        let watched = tokio::select! {
            () = home.stop.cancelled() => return,
            watched = app.store.watch(&key, revision, WATCH) => watched,
        };
        let items = match watched {
            Ok(watched) => {
                revision = watched.revision;
                puts(watched.changes)
            }
            // The history may be gone, so the key itself is read.
            Err(_) => match app.store.get(&key).await {
                Ok(Some(item)) => {
                    revision = revision.max(item.revision);
                    vec![item]
                }
                Ok(None) => return lose(&app, &home, &id),
                Err(_) => {
                    tokio::time::sleep(PAUSE).await;
                    Vec::new()
                }
            },
        };
        for item in items.iter().filter(|i| i.key == key) {
            if !still(&app, &home, item) {
                return lose(&app, &home, &id);
            }
        }
        if home.job.lock().complete() {
            return;
        }
    }
}

fn puts(changes: Vec<Change>) -> Vec<Item> {
    let puts = changes.into_iter().filter_map(|change| match change {
        Change::Put(item) => Some(item),
        Change::Removed { .. } => None,
    });
    puts.collect()
}

fn lose(app: &App, home: &Home, id: &Name) {
    app.tally.job(JobStep::Lost);
    tracing::warn!(event = "job_lost", job = %id, "another node is home");
    home.stop.cancel();
    app.homes.remove(id);
}
