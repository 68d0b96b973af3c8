//! The jobs that this node is home to.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::app::ByName;
use super::keys::HomeValue;
use super::live::Seen;
use crate::Name;
use crate::decide::job::Job;

/// A job that runs here.
#[derive(Debug)]
pub(super) struct Home {
    pub job: Mutex<Job>,
    /// The home's key, whose revision makes this node its home.
    pub key: Mutex<Seen<HomeValue>>,
    /// Told when a sample ends.
    pub fresh: Notify,
    /// The number of results that last.
    pub listed: watch::Sender<usize>,
    /// Cancelled when its samples are to stop.
    pub stop: CancellationToken,
    /// The order in which jobs came to this node.
    pub age: u64,
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct Homes {
    homes: Mutex<ByName<Arc<Home>>>,
}

impl Homes {
    pub(super) fn get(&self, job: &str) -> Option<Arc<Home>> {
        self.homes.lock().get(job).cloned()
    }

    /// Adds a job. None if it runs here already.
    pub(super) fn insert(&self, id: &Name, home: Arc<Home>) -> Option<Arc<Home>> {
        let mut homes = self.homes.lock();
        if homes.contains_key(id) {
            return None;
        }
        homes.insert(id.clone(), home.clone());
        Some(home)
    }

    pub(super) fn remove(&self, job: &str) -> Option<Arc<Home>> {
        self.homes.lock().remove(job)
    }

    pub(super) fn all(&self) -> Vec<(Name, Arc<Home>)> {
        self.homes.lock().iter().map(|(id, home)| (id.clone(), home.clone())).collect()
    }
}
