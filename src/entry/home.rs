//! Running a job at its home: its samples, and the writing of their results.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::App;
use super::homes::Home;
use super::keys::{HomeValue, home as home_key, results};
use super::sample;
use crate::Name;
use crate::decide::job::{Job, Listing, Spec};
use crate::edge::store::{Item, Txn, TxnEnd};

/// How long results are gathered for one write. A sample takes a second; a write for each
/// would cost four times the calls, and a longer wait shows in the time of a step.
const WINDOW: Duration = Duration::from_millis(100);
/// The pause after a failed write.
const PAUSE: Duration = Duration::from_millis(100);

/// Jobs that began here, for their order.
static AGES: AtomicU64 = AtomicU64::new(0);

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
    pub(super) fn run(self: &Arc<Self>, spec: Arc<Spec>, listed: Vec<Arc<Listing>>, revision: u64) {
        let id = spec.id.clone();
        let job = Job::new(spec, listed);
        let todo = job.todo();
        let count = job.batch().0;
        let home = Arc::new(Home {
            job: Mutex::new(job),
            revision: Mutex::new(revision),
            fresh: Notify::new(),
            listed: watch::Sender::new(count),
            stop: CancellationToken::new(),
            age: AGES.fetch_add(1, Ordering::Relaxed),
        });
        let Some(home) = self.homes.insert(&id, home) else { return };
        tracing::info!(event = "job_begins", job = %id, listed = count, todo = todo.len());
        for (index, item) in todo.into_iter().enumerate() {
            let (app, home) = (self.clone(), home.clone());
            let stop = home.stop.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = sample::run(&app, &home, &item, index as u64) => {}
                }
            });
        }
        self.tasks.spawn(list(self.clone(), home, id));
    }

    /// The trainer of a job that runs here wants no more of it.
    pub(super) fn halt(&self, home: &Home) {
        home.job.lock().end();
        home.stop.cancel();
        home.fresh.notify_one();
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
                write(&app, &home, &id, 1).await;
                app.homes.remove(&id);
                tracing::info!(event = "job_handed_over", job = %id);
            }
        });
        futures_util::future::join_all(writes).await;
    }
}

/// Writes results as they come, until there are no more.
async fn list(app: Arc<App>, home: Arc<Home>, id: Name) {
    loop {
        tokio::select! {
            () = home.stop.cancelled() => break,
            () = home.fresh.notified() => {}
        }
        if !home.job.lock().made() {
            tokio::time::sleep(WINDOW).await;
        }
        if !write(&app, &home, &id, usize::MAX).await {
            return;
        }
        if home.job.lock().complete() {
            tracing::info!(event = "job_complete", job = %id);
            break;
        }
    }
    if home.job.lock().ended() {
        app.homes.remove(&id);
    }
}

/// Writes what is fresh, at most `tries` times. False if another node is home.
async fn write(app: &Arc<App>, home: &Home, id: &Name, tries: usize) -> bool {
    let (position, batch) = home.job.lock().batch();
    if batch.is_empty() {
        return true;
    }
    let encoded = bincode::serde::encode_to_vec(&batch, bincode::config::standard());
    let bytes = match encoded {
        Ok(bytes) => bytes,
        Err(e) => {
            tracing::error!(event = "results_unreadable", job = %id, error = %e);
            return true;
        }
    };
    let total = home.job.lock().spec.items.len();
    let last = position + batch.len() == total;
    let key = home_key(id);
    let place = results(id, position);
    for _ in 0..tries {
        let revision = *home.revision.lock();
        let mut txn = Txn::when(key.clone(), revision);
        txn.expected.push((place.clone(), 0));
        txn = txn.put(place.clone(), bytes.clone());
        if last {
            txn = txn.put(key.clone(), done(app, id, total));
        }
        match app.store.txn(txn).await {
            Ok(TxnEnd::Done(written)) => {
                if last {
                    *home.revision.lock() = written;
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
                    tracing::warn!(event = "job_lost", job = %id, "another node is home");
                    home.stop.cancel();
                    app.homes.remove(id);
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

/// The home's value once every sample is listed.
fn done(app: &App, id: &str, total: usize) -> Vec<u8> {
    let live = app.live.lock();
    let known = live.home(id).map(|seen| seen.value.clone());
    let value = HomeValue {
        life: app.life.clone(),
        total,
        parts: known.as_ref().map_or(1, |k| k.parts),
        done: true,
        ended: known.as_ref().is_some_and(|k| k.ended),
        since: known.as_ref().map_or(0, |k| k.since),
    };
    serde_json::to_vec(&value).unwrap_or_default()
}

fn kept(home: &Home, count: usize) {
    let mut job = home.job.lock();
    job.written(count);
    let listed = job.batch().0;
    drop(job);
    home.listed.send_replace(listed);
}

fn judge(app: &App, home: &Home, id: &str, items: &[Item], place: &str, bytes: &[u8]) -> Conflict {
    let own = home_key(id);
    let Some(item) = items.iter().find(|i| *i.key == *own) else { return Conflict::Lost };
    let Ok(value) = serde_json::from_slice::<HomeValue>(&item.value) else {
        return Conflict::Lost;
    };
    if value.life != app.life {
        return Conflict::Lost;
    }
    *home.revision.lock() = item.revision;
    if value.ended {
        app.halt(home);
    }
    match items.iter().find(|i| *i.key == *place) {
        Some(there) if there.value == bytes => Conflict::Written,
        Some(_) => Conflict::Lost,
        None => Conflict::Changed,
    }
}
