//! The jobs that this node is home to.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::ByName;
use super::keys::HomeValue;
use super::live::Seen;
use crate::Name;
use crate::decide::job::{Job, JobOrder, JobSpec, SampleText, SavedProgress, TextDelta};

/// What has come to unfinished texts.
#[derive(Debug, Default)]
pub(super) struct Unsaved {
    /// The growth of each.
    pub growths: Vec<(Name, TextDelta)>,
    /// What the store has of each once that is written.
    pub after: Vec<(Name, SavedProgress)>,
}

/// A job that runs here.
#[derive(Debug)]
pub(super) struct Home {
    pub job: Mutex<Job>,
    /// The home's key, whose revision makes this node its home.
    pub key: Mutex<Seen<HomeValue>>,
    /// The texts of samples that run, and how much of each the store has.
    pub texts: Mutex<ByName<(SampleText, SavedProgress)>>,
    /// The number of writes of unfinished texts.
    pub saves: Mutex<usize>,
    /// Told when a sample ends.
    pub fresh: Notify,
    /// The number of results that last.
    pub listed: watch::Sender<usize>,
    /// Held while results are written: a home that leaves writes beside its usual writer.
    pub writing: tokio::sync::Mutex<()>,
    /// Whether a write of results was not answered.
    pub unsure: AtomicBool,
    /// Cancelled when its samples are to stop.
    pub stop: CancellationToken,
    /// Its place among the jobs of this node.
    pub turn: u64,
}

impl Home {
    /// Works on the text of a sample.
    pub(super) fn text<T>(&self, item: &Name, work: impl FnOnce(&mut SampleText) -> T) -> T {
        let mut texts = self.texts.lock();
        work(&mut texts.entry(item.clone()).or_default().0)
    }

    /// What has come to unfinished texts since the last write of them, at most `most` bytes.
    pub(super) fn growths(&self, most: usize) -> Unsaved {
        let texts = self.texts.lock();
        let mut size = 0;
        let mut unsaved = Unsaved::default();
        for (item, (text, saved)) in &*texts {
            let Some((growth, after)) = text.delta_since(*saved) else { continue };
            if size + growth.bytes() > most {
                continue;
            }
            size += growth.bytes();
            unsaved.growths.push((item.clone(), growth));
            unsaved.after.push((item.clone(), after));
        }
        unsaved
    }

    /// The store has these now.
    pub(super) fn saved(&self, saves: Vec<(Name, SavedProgress)>) {
        let mut texts = self.texts.lock();
        for (item, saved) in saves {
            if let Some(entry) = texts.get_mut(&item) {
                entry.1 = saved;
            }
        }
        *self.saves.lock() += 1;
    }
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct Homes {
    homes: Mutex<ByName<Arc<Home>>>,
    order: Mutex<JobOrder>,
    /// Told when a job comes.
    come: Notify,
}

impl Homes {
    /// The place of a job that comes.
    pub(super) fn turn(&self, spec: &JobSpec) -> u64 {
        self.order.lock().begin(spec.organisation.clone(), spec.items.len())
    }

    pub(super) fn get(&self, job: &str) -> Option<Arc<Home>> {
        self.homes.lock().get(job).cloned()
    }

    /// Adds a job. None if it runs here already.
    pub(super) fn insert(&self, id: &Name, home: Arc<Home>) -> Option<Arc<Home>> {
        let mut homes = self.homes.lock();
        if homes.contains_key(id) {
            self.order.lock().end(home.turn);
            return None;
        }
        homes.insert(id.clone(), home.clone());
        self.come.notify_waiters();
        Some(home)
    }

    /// Whether a job here has samples to make.
    pub(super) fn busy(&self) -> bool {
        let homes = self.homes.lock();
        homes.values().any(|home| !home.stop.is_cancelled() && !home.job.lock().all_finished())
    }

    /// Waits until a job here has samples to make.
    pub(super) async fn work(&self) {
        loop {
            let come = self.come.notified();
            if self.busy() {
                return;
            }
            come.await;
        }
    }

    pub(super) fn remove(&self, job: &str) -> Option<Arc<Home>> {
        let removed = self.homes.lock().remove(job);
        if let Some(home) = &removed {
            self.order.lock().end(home.turn);
        }
        removed
    }

    pub(super) fn all(&self) -> Vec<(Name, Arc<Home>)> {
        self.homes.lock().iter().map(|(id, home)| (id.clone(), home.clone())).collect()
    }
}
