//! The time that samples have wanted a place here.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Name;

/// The totals of all services.
#[derive(Debug, Default)]
pub(in crate::entry) struct SlotDemand {
    services: Mutex<HashMap<Name, Total>>,
}

#[derive(Debug)]
struct Total {
    /// Samples that wait for a place or have one.
    samples: u64,
    /// Their time up to `at`.
    millis: u64,
    at: Instant,
}

/// One sample that waits for a place or has one.
#[derive(Debug)]
pub(in crate::entry) struct SlotDemandGuard {
    wanted: Arc<SlotDemand>,
    service: Name,
}

impl Total {
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_millis() as u64;
        self.millis += self.samples * passed;
        self.at = now;
    }
}

impl SlotDemand {
    /// A sample begins to wait.
    pub(in crate::entry) fn begin(self: &Arc<Self>, service: Name) -> SlotDemandGuard {
        self.change(&service, |samples| samples + 1);
        SlotDemandGuard { wanted: self.clone(), service }
    }

    /// The total of each service, in place milliseconds.
    pub(in crate::entry) fn totals(&self) -> Vec<(Name, u64)> {
        let now = Instant::now();
        let mut services = self.services.lock();
        let totals = services.iter_mut().map(|(service, total)| {
            total.advance(now);
            (service.clone(), total.millis)
        });
        totals.collect()
    }

    fn change(&self, service: &Name, change: impl FnOnce(u64) -> u64) {
        let now = Instant::now();
        let mut services = self.services.lock();
        let total = services.entry(service.clone());
        let total = total.or_insert(Total { samples: 0, millis: 0, at: now });
        total.advance(now);
        total.samples = change(total.samples);
    }
}

impl Drop for SlotDemandGuard {
    fn drop(&mut self) {
        self.wanted.change(&self.service, |samples| samples.saturating_sub(1));
    }
}
