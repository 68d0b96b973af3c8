//! Locks for the trials of suspects: one at a time at each upstream, over all nodes.

use std::collections::HashMap;

use crate::{Moment, Name};

#[derive(Debug, Clone, Copy)]
struct TrialLock {
    /// Identifies the attempt that holds the lock.
    holder: u64,
    until: Moment,
}

/// The trial locks of the upstreams for which this node is the owner.
///
/// Each of two suspects at one upstream would be blamed for the other's crash. A holder that
/// dies blocks an upstream for other suspects only, and only until its lock expires.
#[derive(Debug, Clone, Default)]
pub struct TrialLocks {
    locks: HashMap<Name, TrialLock>,
}

impl TrialLocks {
    /// Acquires the lock of an upstream until a time; the same holder may extend it. Returns
    /// false if another holder has it.
    pub fn acquire(&mut self, upstream: &Name, holder: u64, until: Moment, now: Moment) -> bool {
        self.locks.retain(|_, lock| lock.until > now);
        let free = self.locks.get(upstream).is_none_or(|lock| lock.holder == holder);
        if free {
            self.locks.insert(upstream.clone(), TrialLock { holder, until });
        }
        free
    }

    /// Releases the lock of an upstream, if the holder has it.
    pub fn release(&mut self, upstream: &Name, holder: u64) {
        self.locks.retain(|name, lock| name != upstream || lock.holder != holder);
    }
}
