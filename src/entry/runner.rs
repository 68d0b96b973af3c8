//! Running a job at its home: its samples, its end, and its hand-over.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::{App, ByName};
use super::keys::{JobRecord, job_record_key};
use super::membership::Stored;
use super::owned_jobs::OwnedJob;
use super::results::{drop_lost_job, flush, update_record, write_results};
use super::sample;
use crate::Name;
use crate::decide::job::{Job, Listing, Saved, Spec, Text};
use crate::edge::store::{Change, Item};
use crate::metrics::JobStep;

/// The pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Tries of the last write before a job is handed over.
const HANDOVER_WRITE_ATTEMPTS: usize = 2;
/// How long the watch of a job's key may stay without news. Steps last some seconds, so it
/// is one call for most.
const RECORD_WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// What the store has of a job beside its submission.
#[derive(Debug, Default)]
pub(super) struct RestoredJob {
    /// Its results.
    pub results: Vec<Arc<Listing>>,
    /// Its unfinished texts.
    pub texts: ByName<(Text, Saved)>,
    /// The number of writes that these lie in.
    pub text_writes: usize,
}

impl App {
    /// Runs a job that this node is home to since `revision`.
    pub(super) fn run_job(
        self: &Arc<Self>,
        spec: Arc<Spec>,
        restored: RestoredJob,
        record: Stored<JobRecord>,
    ) {
        let RestoredJob { results, texts, text_writes } = restored;
        let id = spec.id.clone();
        if let Some(model) = &spec.model {
            self.demand.lock().note(model, spec.work(), self.now());
        }
        let queue_order = self.owned_jobs.assign_order(&spec);
        let job = Job::new(spec, results);
        let places = match &job.spec.model {
            Some(model) => self.slots.fleet.lock().places(model, job.spec.oldest),
            None => job.spec.items.len(),
        };
        let todo = job.todo(places);
        let count = job.position();
        let home = Arc::new(OwnedJob {
            job: Mutex::new(job),
            record: Mutex::new(record),
            texts: Mutex::new(texts),
            text_writes: Mutex::new(text_writes),
            sample_ended: Notify::new(),
            result_count: watch::Sender::new(count),
            write_lock: tokio::sync::Mutex::default(),
            write_unknown: AtomicBool::new(false),
            stop: CancellationToken::new(),
            queue_order,
        });
        let Some(home) = self.owned_jobs.insert(&id, home) else { return };
        let unfinished = home.texts.lock().len();
        tracing::info!(event = "job_begins", job = %id, listed = count, todo = todo.len(), unfinished);
        for (index, item) in todo.into_iter().enumerate() {
            let (app, home) = (self.clone(), home.clone());
            let stop = home.stop.clone();
            self.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = sample::make_sample(&app, &home, &item, index as u64) => {}
                }
            });
        }
        self.spawn(follow_record(self.clone(), home.clone(), id.clone()));
        self.spawn(write_results(self.clone(), home, id));
    }

    /// The trainer of a job that runs here wants no more of it. What was listed is read from
    /// the store from now on: a write without an answer may have taken effect there.
    pub(super) fn stop_job(&self, home: &OwnedJob) {
        home.job.lock().end();
        home.stop.cancel();
        let id = home.job.lock().spec.id.clone();
        self.owned_jobs.remove(&id);
    }

    /// Stops all jobs that run here, so that others can take them, and writes what is there.
    pub(super) async fn hand_over(self: &Arc<Self>) {
        let homes = self.owned_jobs.all();
        for (_, home) in &homes {
            home.stop.cancel();
        }
        let writes = homes.into_iter().map(|(id, home)| {
            let app = self.clone();
            async move {
                flush(&app, &home, &id, HANDOVER_WRITE_ATTEMPTS).await;
                app.owned_jobs.remove(&id);
                app.tally.job(JobStep::HandedOver);
                tracing::info!(event = "job_handed_over", job = %id);
            }
        });
        futures_util::future::join_all(writes).await;
    }
}

/// Follows the key of a job that runs here: its trainer may end it through any node, and
/// another node may take it.
async fn follow_record(app: Arc<App>, home: Arc<OwnedJob>, id: Name) {
    let key = job_record_key(&id);
    let mut revision = home.record.lock().revision;
    loop {
        let watched = tokio::select! {
            () = home.stop.cancelled() => return,
            watched = app.store.watch(&key, revision, RECORD_WATCH_TIMEOUT) => watched,
        };
        let items = match watched {
            Ok(watched) => {
                revision = watched.revision;
                put_items(watched.changes)
            }
            // The history may be gone, so the key itself is read.
            Err(_) => match app.store.get(&key).await {
                Ok(Some(item)) => {
                    revision = revision.max(item.revision);
                    vec![item]
                }
                Ok(None) => return drop_lost_job(&app, &home, &id),
                Err(_) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    Vec::new()
                }
            },
        };
        for item in items.iter().filter(|i| i.key == key) {
            if !update_record(&app, &home, item) {
                return drop_lost_job(&app, &home, &id);
            }
        }
        if home.job.lock().complete() {
            return;
        }
    }
}

fn put_items(changes: Vec<Change>) -> Vec<Item> {
    let puts = changes.into_iter().filter_map(|change| match change {
        Change::Put(item) => Some(item),
        Change::Removed { .. } => None,
    });
    puts.collect()
}
