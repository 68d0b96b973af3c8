//! Running a job at its owner: starting its samples, stopping it, and handing it over.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::{App, ByName};
use super::keys::{JobRecord, job_record_key};
use super::membership::Stored;
use super::owned_jobs::{OwnedJob, OwnershipEvidence};
use super::results::{drop_lost_job, flush, update_record, write_results};
use super::sample;
use super::submit::unix_millis;
use crate::Name;
use crate::decide::Routes;
use crate::decide::failures::JobFailures;
use crate::decide::job::{ItemResult, ItemSpec, Job, JobSpec, SampleText, SavedProgress};
use crate::decide::load::{OpenStep, StepOrder};
use crate::edge::MemoryCharge;
use crate::edge::store::{Change, KeyValue, StoreError};
use crate::metrics::JobEvent;

/// The delay after a failed read of the job's record.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a read of a job may be held up for its owner to confirm the job's record. Clients wait
/// 1.5 s longer than they allow an answer to take.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts at the last write of a job before it is handed over.
const HANDOVER_WRITE_ATTEMPTS: usize = 2;
/// Longest single watch of a job's record. Training steps last some seconds, so that most jobs
/// need one call.
const RECORD_WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// What the store has of a job besides its submission.
#[derive(Debug, Default)]
pub(super) struct RestoredJob {
    /// The written results.
    pub results: Vec<Arc<ItemResult>>,
    /// The unfinished texts, and how much of each the store has.
    pub texts: ByName<(SampleText, SavedProgress)>,
    /// The failures of its texts and reward calls. None if those in other jobs could not be read.
    pub failures: Option<JobFailures>,
    /// The number of saves of unfinished texts so far.
    pub text_writes: usize,
    /// The memory that was reserved for it. None for a job that has to run in any case.
    pub held: Option<MemoryCharge>,
}

impl App {
    /// Runs a job that this node owns, from what the store has of it. Does nothing if the job
    /// runs here already.
    pub(super) fn run_job(
        self: &Arc<Self>,
        spec: Arc<JobSpec>,
        restored: RestoredJob,
        record: Stored<JobRecord>,
    ) {
        let RestoredJob { results, texts, failures, text_writes, held } = restored;
        let held = held.unwrap_or_else(|| self.job_memory.charge(spec.expected_memory()));
        let id = spec.id.clone();
        let queue_order = self.owned_jobs.assign_order(&spec);
        let job = Job::new(spec, results);
        let slots = match &job.spec.model {
            Some(model) => self.slots.fleet.lock().slots_at_version(model, job.spec.min_version),
            None => job.spec.items.len(),
        };
        let todo = job.pending_items(slots);
        let by_group = job.begins_by_group(slots);
        let count = job.next_position();
        let failures_read = failures.is_some();
        let owned = Arc::new(OwnedJob {
            job: Mutex::new(job),
            record: Mutex::new(record),
            confirmed: Mutex::default(),
            texts: Mutex::new(texts),
            text_writes: Mutex::new(text_writes),
            failures: Mutex::new(failures.unwrap_or_default()),
            failures_read: watch::Sender::new(failures_read),
            failure_added: Notify::new(),
            stored_failures: watch::Sender::new(0),
            sample_ended: Notify::new(),
            result_count: watch::Sender::new(count),
            write_lock: tokio::sync::Mutex::default(),
            write_unknown: AtomicBool::new(false),
            stop: CancellationToken::new(),
            _held: held,
            queue_order,
            step: self.slots.new_step_id(),
        });
        let Some(owned) = self.owned_jobs.insert(&id, owned) else { return };
        let spec = owned.job.lock().spec.clone();
        if let Some(model) = &spec.model {
            self.demand.lock().record(model, spec.step_demand(), self.now());
        }
        let unfinished = owned.texts.lock().len();
        tracing::info!(event = "job_started", job = %id, listed = count, todo = todo.len(), unfinished, routes = spec.routes_version);
        let (app, started) = (self.clone(), owned.clone());
        self.spawn(async move {
            tokio::select! {
                () = started.stop.cancelled() => {}
                () = app.run_samples(&started, todo, by_group) => {}
            }
        });
        if !failures_read {
            self.spawn(self.clone().read_earlier_failures(owned.clone()));
        }
        self.spawn(follow_record(self.clone(), owned.clone(), id.clone()));
        self.spawn(write_results(self.clone(), owned, id));
    }

    /// Starts the samples of a job once this node knows the configuration that the job was accepted
    /// under.
    async fn run_samples(
        self: &Arc<Self>,
        owned: &Arc<OwnedJob>,
        todo: Vec<Arc<ItemSpec>>,
        by_group: bool,
    ) {
        let spec = owned.job.lock().spec.clone();
        let routes = self.routes_since(spec.routes_version).await;
        let open = self.open_step(owned, &spec, &routes);
        let order = if by_group {
            StepOrder::new(open, todo.iter().map(|item| &*item.group))
        } else {
            StepOrder::by_length(open)
        };
        let step = Arc::new(self.slots.open_step(order, self.now()));
        for (index, item) in todo.into_iter().enumerate() {
            let (app, owned) = (self.clone(), owned.clone());
            let (stop, step) = (owned.stop.clone(), step.clone());
            self.spawn(async move {
                // The step is open until its last sample has ended.
                let _step = step;
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = sample::make_sample(&app, &owned, &item, index as u64) => {}
                }
            });
        }
    }

    /// Returns a job as a step whose samples wait for slots.
    fn open_step(&self, owned: &OwnedJob, spec: &JobSpec, routes: &Routes) -> OpenStep {
        let route = routes.find(&spec.host, &spec.path);
        let since = owned.record.lock().value.accepted_ms;
        let age = Duration::from_millis(unix_millis().saturating_sub(since));
        let deadline = route.and_then(|route| route.result_deadline);
        OpenStep {
            id: owned.step,
            order: owned.queue_order,
            priority: route.map_or(0, |route| routes.priority(route, spec.organisation.as_ref())),
            services: route
                .map(|r| r.services.iter().map(|(service, _)| service.clone()).collect())
                .unwrap_or_default(),
            model: spec.model.clone(),
            organisation: spec.organisation.clone(),
            due: deadline.map(|deadline| self.now() + deadline.saturating_sub(age)),
        }
    }

    /// Whether this node is certain to own a job still. Reads the job's record if the node's lease
    /// has changed or the watch of the record may have missed a change since it was last read.
    pub(super) async fn confirm_ownership(
        self: &Arc<Self>,
        owned: &Arc<OwnedJob>,
    ) -> Result<bool, StoreError> {
        let evidence = OwnershipEvidence {
            lease: self.lease.lock().id,
            watch_gaps: self.watch_gaps.load(Ordering::Relaxed),
        };
        if self.has_lease() && *owned.confirmed.lock() == Some(evidence) {
            return Ok(true);
        }
        let id = owned.job.lock().spec.id.clone();
        let read = tokio::time::timeout(CONFIRM_TIMEOUT, self.store.get(&job_record_key(&id)));
        let item = read.await.map_err(|_| {
            StoreError::Unknown(format!("no answer within {} ms", CONFIRM_TIMEOUT.as_millis()))
        })??;
        if !item.is_some_and(|item| update_record(self, owned, &item)) {
            drop_lost_job(self, owned, &id);
            return Ok(false);
        }
        *owned.confirmed.lock() = Some(evidence);
        Ok(true)
    }

    /// Stops a job that its trainer has ended. Its results are read from the store from now on,
    /// because a write whose answer was lost may have taken effect there.
    pub(super) fn stop_job(&self, owned: &OwnedJob) {
        owned.job.lock().end();
        owned.stop.cancel();
        let id = owned.job.lock().spec.id.clone();
        self.owned_jobs.remove(&id);
    }

    /// Stops all jobs that run here, writes what they have, and leaves them to other nodes.
    pub(super) async fn hand_over(self: &Arc<Self>) {
        let owned_jobs = self.owned_jobs.all();
        for (_, owned) in &owned_jobs {
            owned.stop.cancel();
        }
        let writes = owned_jobs.into_iter().map(|(id, owned)| {
            let app = self.clone();
            async move {
                flush(&app, &owned, &id, HANDOVER_WRITE_ATTEMPTS).await;
                app.owned_jobs.remove(&id);
                app.tally.count_job_event(JobEvent::HandedOver);
                tracing::info!(event = "job_handed_over", job = %id);
            }
        });
        futures_util::future::join_all(writes).await;
    }
}

/// Watches the record of a job that runs here: its trainer may end it through any node, and
/// another node may take it over.
async fn follow_record(app: Arc<App>, owned: Arc<OwnedJob>, id: Name) {
    let key = job_record_key(&id);
    let mut revision = owned.record.lock().revision;
    loop {
        let watched = tokio::select! {
            () = owned.stop.cancelled() => return,
            watched = app.store.watch(&key, revision, RECORD_WATCH_TIMEOUT) => watched,
        };
        let items = match watched {
            Ok(watched) => {
                revision = watched.revision;
                put_items(watched.changes)
            }
            // The store's history may have been compacted, so the record itself is read. The next
            // watch starts from the store's revision: that of the record may be a dropped one.
            Err(_) => match app.store.range(&key).await {
                Ok(page) if page.items.iter().any(|item| item.key == key) => {
                    revision = revision.max(page.revision);
                    page.items
                }
                Ok(_) => return drop_lost_job(&app, &owned, &id),
                Err(_) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    Vec::new()
                }
            },
        };
        for item in items.iter().filter(|i| i.key == key) {
            if !update_record(&app, &owned, item) {
                return drop_lost_job(&app, &owned, &id);
            }
        }
        if owned.job.lock().all_written() {
            return;
        }
    }
}

/// The written items among some changes.
fn put_items(changes: Vec<Change>) -> Vec<KeyValue> {
    let puts = changes.into_iter().filter_map(|change| match change {
        Change::Put(item) => Some(item),
        Change::Removed { .. } => None,
    });
    puts.collect()
}
