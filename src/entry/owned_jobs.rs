//! The jobs that this node is home to.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::ByName;
use super::keys::JobRecord;
use super::membership::Stored;
use crate::Name;
use crate::decide::job::{Growth, Job, JobOrder, Saved, Spec, Text};

/// What has come to unfinished texts.
#[derive(Debug, Default)]
pub(super) struct UnsavedTexts {
    /// The growth of each.
    pub growths: Vec<(Name, Growth)>,
    /// What the store has of each once that is written.
    pub saved: Vec<(Name, Saved)>,
}

/// A job that runs here.
#[derive(Debug)]
pub(super) struct OwnedJob {
    pub job: Mutex<Job>,
    /// The home's key, whose revision makes this node its home.
    pub record: Mutex<Stored<JobRecord>>,
    /// The texts of samples that run, and how much of each the store has.
    pub texts: Mutex<ByName<(Text, Saved)>>,
    /// The number of writes of unfinished texts.
    pub text_writes: Mutex<usize>,
    /// Told when a sample ends.
    pub sample_ended: Notify,
    /// The number of results that last.
    pub result_count: watch::Sender<usize>,
    /// Held while results are written: a home that leaves writes beside its usual writer.
    pub write_lock: tokio::sync::Mutex<()>,
    /// Whether a write of results was not answered.
    pub write_unknown: AtomicBool,
    /// Cancelled when its samples are to stop.
    pub stop: CancellationToken,
    /// Its place among the jobs of this node.
    pub queue_order: u64,
}

impl OwnedJob {
    /// Works on the text of a sample.
    pub(super) fn with_text<T>(&self, item: &Name, work: impl FnOnce(&mut Text) -> T) -> T {
        let mut texts = self.texts.lock();
        work(&mut texts.entry(item.clone()).or_default().0)
    }

    /// What has come to unfinished texts since the last write of them, at most `most` bytes.
    pub(super) fn unsaved_texts(&self, most: usize) -> UnsavedTexts {
        let texts = self.texts.lock();
        let mut size = 0;
        let mut unsaved = UnsavedTexts::default();
        for (item, (text, saved)) in &*texts {
            let Some((growth, after)) = text.growth(*saved) else { continue };
            if size + growth.bytes() > most {
                continue;
            }
            size += growth.bytes();
            unsaved.growths.push((item.clone(), growth));
            unsaved.saved.push((item.clone(), after));
        }
        unsaved
    }

    /// The store has these now.
    pub(super) fn mark_saved(&self, saves: Vec<(Name, Saved)>) {
        let mut texts = self.texts.lock();
        for (item, saved) in saves {
            if let Some(entry) = texts.get_mut(&item) {
                entry.1 = saved;
            }
        }
        *self.text_writes.lock() += 1;
    }
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct OwnedJobs {
    jobs: Mutex<ByName<Arc<OwnedJob>>>,
    order: Mutex<JobOrder>,
    /// Told when a job comes.
    job_added: Notify,
}

impl OwnedJobs {
    /// The place of a job that comes.
    pub(super) fn assign_order(&self, spec: &Spec) -> u64 {
        self.order.lock().begin(spec.organisation.clone(), spec.items.len())
    }

    pub(super) fn get(&self, job: &str) -> Option<Arc<OwnedJob>> {
        self.jobs.lock().get(job).cloned()
    }

    /// Adds a job. None if it runs here already.
    pub(super) fn insert(&self, id: &Name, home: Arc<OwnedJob>) -> Option<Arc<OwnedJob>> {
        let mut homes = self.jobs.lock();
        if homes.contains_key(id) {
            self.order.lock().end(home.queue_order);
            return None;
        }
        homes.insert(id.clone(), home.clone());
        self.job_added.notify_waiters();
        Some(home)
    }

    /// Whether a job here has samples to make.
    pub(super) fn has_work(&self) -> bool {
        let homes = self.jobs.lock();
        homes.values().any(|home| !home.stop.is_cancelled() && !home.job.lock().made())
    }

    /// Waits until a job here has samples to make.
    pub(super) async fn wait_for_work(&self) {
        loop {
            let come = self.job_added.notified();
            if self.has_work() {
                return;
            }
            come.await;
        }
    }

    pub(super) fn remove(&self, job: &str) -> Option<Arc<OwnedJob>> {
        let removed = self.jobs.lock().remove(job);
        if let Some(home) = &removed {
            self.order.lock().end(home.queue_order);
        }
        removed
    }

    pub(super) fn all(&self) -> Vec<(Name, Arc<OwnedJob>)> {
        self.jobs.lock().iter().map(|(id, home)| (id.clone(), home.clone())).collect()
    }
}
