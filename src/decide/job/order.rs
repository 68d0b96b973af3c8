//! The order in which a node runs the jobs of several organisations.
//!
//! Load pattern: one organisation submits many jobs, or much larger ones, at once. In the order
//! of arrival, the samples of all other organisations would wait behind them. So each job gets a
//! start tag in virtual time, measured in samples: where its organisation's last job ends, or
//! the present virtual time, if that is later. This is start-time fair queueing (Goyal and
//! others, 1996) with jobs as packets: the jobs of one organisation keep their order, and the
//! first job of another one waits for at most one job of each other organisation.

use std::collections::{BTreeMap, HashMap};

use crate::Name;

/// The organisation that submitted a job; all jobs without an organisation share one order.
type Submitter = Option<Name>;

/// The start tags of the open jobs at one node.
#[derive(Debug, Default)]
pub struct JobOrder {
    /// The organisation of each open job, by start tag.
    open: BTreeMap<u64, Submitter>,
    /// Virtual time at which the last job of each organisation ends.
    ends: HashMap<Submitter, u64>,
    /// Virtual time at which there was last no open job.
    idle: u64,
}

impl JobOrder {
    /// Adds a job with this number of samples and returns its start tag, which no other open job
    /// has.
    pub fn begin(&mut self, submitter: Submitter, samples: usize) -> u64 {
        let own = self.ends.get(&submitter).copied().unwrap_or(0);
        let mut tag = self.present().max(own);
        while self.open.contains_key(&tag) {
            tag += 1;
        }
        self.open.insert(tag, submitter.clone());
        self.ends.insert(submitter, tag + samples as u64);
        tag
    }

    /// Removes a job.
    pub fn end(&mut self, tag: u64) {
        self.open.remove(&tag);
        if self.open.is_empty() {
            self.idle = self.ends.values().copied().max().unwrap_or(self.idle);
            self.ends.clear();
            return;
        }
        let present = self.present();
        self.ends.retain(|_, end| *end > present);
    }

    /// Returns the present virtual time: the start tag of the first open job.
    fn present(&self) -> u64 {
        self.open.keys().next().copied().unwrap_or(self.idle)
    }
}
