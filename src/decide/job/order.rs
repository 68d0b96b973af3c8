//! The order of the jobs of several organisations at their home.
//!
//! Load pattern: one organisation submits many jobs, or much larger ones, at once. In the order
//! in which they came, the samples of all others would wait behind them. So each job gets a turn
//! on a scale of samples: where its organisation's last job ends, or where the home stands, if
//! that is later. This is start-time fair queueing (Goyal and others, 1996) with jobs as packets:
//! the jobs of one organisation keep their order, and a newcomer waits for one job of each other
//! organisation at most.

use std::collections::{BTreeMap, HashMap};

use crate::Name;

/// Whose a job is; none for those that came without an organisation, together.
type Owner = Option<Name>;

/// The turns of the jobs at one home.
#[derive(Debug, Default)]
pub struct JobOrder {
    open: BTreeMap<u64, Owner>,
    /// Where the last job of each organisation ends.
    ends: HashMap<Owner, u64>,
    /// Where the home stood when it last had no job.
    idle: u64,
}

impl JobOrder {
    /// The turn of a job with so many samples. No other open job has the same.
    pub fn begin(&mut self, owner: Owner, samples: usize) -> u64 {
        let own = self.ends.get(&owner).copied().unwrap_or(0);
        let mut turn = self.present().max(own);
        while self.open.contains_key(&turn) {
            turn += 1;
        }
        self.open.insert(turn, owner.clone());
        self.ends.insert(owner, turn + samples as u64);
        turn
    }

    /// A job is over.
    pub fn end(&mut self, turn: u64) {
        self.open.remove(&turn);
        if self.open.is_empty() {
            self.idle = self.ends.values().copied().max().unwrap_or(self.idle);
            self.ends.clear();
            return;
        }
        let present = self.present();
        self.ends.retain(|_, end| *end > present);
    }

    /// Where the home stands: at the first open job.
    fn present(&self) -> u64 {
        self.open.keys().next().copied().unwrap_or(self.idle)
    }
}
