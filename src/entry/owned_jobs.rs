//! The jobs that this node owns and runs.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::ByName;
use super::keys::JobRecord;
use super::membership::Stored;
use crate::Name;
use crate::decide::failures::JobFailures;
use crate::decide::job::{Job, JobOrder, JobSpec, SampleText, SavedProgress, TextDelta};
use crate::edge::MemoryCharge;

/// One save of unfinished texts takes one part in this many of the largest value.
pub(super) const SAVED_TEXT_DIVISOR: usize = 2;

/// The growth of unfinished texts since their last save.
#[derive(Debug, Default)]
pub(super) struct UnsavedTexts {
    /// What was added to each text.
    pub deltas: Vec<(Name, TextDelta)>,
    /// How much of each text the store has once that is written.
    pub saved: Vec<(Name, SavedProgress)>,
}

/// What has to be unchanged since a job's record was last read or written for this node to be
/// certain that the record is still its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OwnershipEvidence {
    /// The lease of this node. Other nodes take its jobs over once the lease has ended.
    pub lease: u64,
    /// The count of watch gaps of this node: the watch of the record may have missed a change.
    pub watch_gaps: u64,
}

/// A job that runs here.
#[derive(Debug)]
pub(super) struct OwnedJob {
    pub job: Mutex<Job>,
    /// The job's record. As long as the store has it at this revision, this node is the owner.
    pub record: Mutex<Stored<JobRecord>>,
    /// What held when the record was last read. None before the first read.
    pub confirmed: Mutex<Option<OwnershipEvidence>>,
    /// The texts of running samples, and how much of each the store has.
    pub texts: Mutex<ByName<(SampleText, SavedProgress)>>,
    /// The number of saves of unfinished texts.
    pub text_writes: Mutex<usize>,
    /// The failures of its texts and reward calls.
    pub failures: Mutex<JobFailures>,
    /// Whether the failures in other jobs are read.
    pub failures_read: watch::Sender<bool>,
    /// Notified when the store must have a count soon.
    pub failure_added: Notify,
    /// The number of the last failure that the store has.
    pub stored_failures: watch::Sender<u64>,
    /// Notified when a sample ends whose result may complete something that the trainer takes.
    pub sample_ended: Notify,
    /// The number of results that are written to the store.
    pub result_count: watch::Sender<usize>,
    /// Held while results are written: a leaving owner writes concurrently with the regular
    /// writer task.
    pub write_lock: tokio::sync::Mutex<()>,
    /// Whether the answer to a write of results was lost.
    pub write_unknown: AtomicBool,
    /// Cancelled to stop the job's samples.
    pub stop: CancellationToken,
    /// The memory that the job is expected to take.
    pub _held: MemoryCharge,
    /// The job's rank for slots among the jobs of this node.
    pub queue_order: u64,
    /// The id of the step whose samples wait for slots.
    pub step: u64,
}

impl OwnedJob {
    /// Calls `work` on the text of a sample, which is created empty if it does not exist.
    pub(super) fn with_text<T>(&self, item: &Name, work: impl FnOnce(&mut SampleText) -> T) -> T {
        let mut texts = self.texts.lock();
        work(&mut texts.entry(item.clone()).or_default().0)
    }

    /// The growth of unfinished texts since their last save, at most `max_bytes`. Texts whose
    /// growth does not fit are left for a later save.
    pub(super) fn unsaved_texts(&self, max_bytes: usize) -> UnsavedTexts {
        let texts = self.texts.lock();
        let mut size = 0;
        let mut unsaved = UnsavedTexts::default();
        for (item, (text, saved)) in &*texts {
            let Some((delta, progress)) = text.delta_since(*saved) else { continue };
            if size + delta.bytes() > max_bytes {
                continue;
            }
            size += delta.bytes();
            unsaved.deltas.push((item.clone(), delta));
            unsaved.saved.push((item.clone(), progress));
        }
        unsaved
    }

    /// Records that a save was written, and how much of each text the store has now.
    pub(super) fn mark_saved(&self, saves: Vec<(Name, SavedProgress)>) {
        let mut texts = self.texts.lock();
        for (item, saved) in saves {
            if let Some(entry) = texts.get_mut(&item) {
                entry.1 = saved;
            }
        }
        *self.text_writes.lock() += 1;
    }
}

/// All jobs that this node owns.
#[derive(Debug, Default)]
pub(super) struct OwnedJobs {
    jobs: Mutex<ByName<Arc<OwnedJob>>>,
    order: Mutex<JobOrder>,
    /// Notified when a job is added.
    job_added: Notify,
}

impl OwnedJobs {
    /// Assigns a new job its rank for slots.
    pub(super) fn assign_order(&self, spec: &JobSpec) -> u64 {
        self.order.lock().begin(spec.organisation.clone(), spec.items.len())
    }

    /// A job that runs here.
    pub(super) fn get(&self, job: &str) -> Option<Arc<OwnedJob>> {
        self.jobs.lock().get(job).cloned()
    }

    /// Adds a job and returns it; none if it runs here already.
    pub(super) fn insert(&self, id: &Name, owned: Arc<OwnedJob>) -> Option<Arc<OwnedJob>> {
        let mut jobs = self.jobs.lock();
        if jobs.contains_key(id) {
            self.order.lock().end(owned.queue_order);
            return None;
        }
        jobs.insert(id.clone(), owned.clone());
        self.job_added.notify_waiters();
        Some(owned)
    }

    /// Whether a job here has samples to make.
    pub(super) fn has_work(&self) -> bool {
        let jobs = self.jobs.lock();
        jobs.values().any(|owned| !owned.stop.is_cancelled() && !owned.job.lock().all_finished())
    }

    /// Waits until a job here has samples to make.
    pub(super) async fn wait_for_work(&self) {
        loop {
            let added = self.job_added.notified();
            if self.has_work() {
                return;
            }
            added.await;
        }
    }

    /// Removes a job and frees its rank.
    pub(super) fn remove(&self, job: &str) -> Option<Arc<OwnedJob>> {
        let removed = self.jobs.lock().remove(job);
        if let Some(owned) = &removed {
            self.order.lock().end(owned.queue_order);
        }
        removed
    }

    /// Removes a job and frees its rank, unless this node has taken the job over again meanwhile.
    pub(super) fn remove_this(&self, job: &str, owned: &Arc<OwnedJob>) {
        let mut jobs = self.jobs.lock();
        if jobs.get(job).is_some_and(|known| Arc::ptr_eq(known, owned)) {
            jobs.remove(job);
            self.order.lock().end(owned.queue_order);
        }
    }

    /// All jobs with their ids.
    pub(super) fn all(&self) -> Vec<(Name, Arc<OwnedJob>)> {
        self.jobs.lock().iter().map(|(id, owned)| (id.clone(), owned.clone())).collect()
    }
}
