//! Running a job at its home: its samples, its end, and its hand-over.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::{App, ByName};
use super::homes::Home;
use super::keys::{HomeValue, home as home_key};
use super::listing::{list, lose, still, write_all};
use super::live::Seen;
use super::sample;
use crate::Name;
use crate::decide::job::{ItemResult, Job, JobSpec, SampleText, SavedProgress};
use crate::edge::store::{Change, KeyValue};
use crate::metrics::JobStep;

/// The pause after a failed write.
const PAUSE: Duration = Duration::from_millis(100);

/// Tries of the last write before a job is handed over.
const HANDOVER: usize = 2;
/// How long the watch of a job's key may stay without news. Steps last some seconds, so it
/// is one call for most.
const WATCH: Duration = Duration::from_secs(10);

/// What the store has of a job beside its submission.
#[derive(Debug, Default)]
pub(super) struct Kept {
    /// Its results.
    pub listed: Vec<Arc<ItemResult>>,
    /// Its unfinished texts.
    pub texts: ByName<(SampleText, SavedProgress)>,
    /// The number of writes that these lie in.
    pub saves: usize,
}

impl App {
    /// Runs a job that this node is home to since `revision`.
    pub(super) fn run(self: &Arc<Self>, spec: Arc<JobSpec>, kept: Kept, key: Seen<HomeValue>) {
        let Kept { listed, texts, saves } = kept;
        let id = spec.id.clone();
        if let Some(model) = &spec.model {
            self.demand.lock().record(model, spec.estimated_work(), self.now());
        }
        let turn = self.owned_jobs.turn(&spec);
        let job = Job::new(spec, listed);
        let places = match &job.spec.model {
            Some(model) => self.slots.fleet.lock().slots_at_version(model, job.spec.min_version),
            None => job.spec.items.len(),
        };
        let todo = job.pending_items(places);
        let count = job.next_position();
        let home = Arc::new(Home {
            job: Mutex::new(job),
            key: Mutex::new(key),
            texts: Mutex::new(texts),
            saves: Mutex::new(saves),
            fresh: Notify::new(),
            listed: watch::Sender::new(count),
            writing: tokio::sync::Mutex::default(),
            unsure: AtomicBool::new(false),
            stop: CancellationToken::new(),
            turn,
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
                write_all(&app, &home, &id, HANDOVER).await;
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
        if home.job.lock().all_written() {
            return;
        }
    }
}

fn puts(changes: Vec<Change>) -> Vec<KeyValue> {
    let puts = changes.into_iter().filter_map(|change| match change {
        Change::Put(item) => Some(item),
        Change::Removed { .. } => None,
    });
    puts.collect()
}
