//! Measures for how long samples of this node have waited for a slot or held one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Name;

/// The demand for slots, by service.
#[derive(Debug, Default)]
pub(in crate::entry) struct SlotDemand {
    services: Mutex<HashMap<Name, ServiceDemand>>,
}

/// The demand for slots of one service, accumulated over time.
#[derive(Debug)]
struct ServiceDemand {
    /// How many samples wait for a slot or hold one.
    samples: u32,
    /// The time that samples have waited for slots or held them up to `updated`, added up over
    /// all samples.
    total: Duration,
    /// When `total` was last brought up to date.
    updated: Instant,
}

/// Counts one sample as waiting for a slot or holding one, until it is dropped.
#[derive(Debug)]
pub(in crate::entry) struct SlotDemandGuard {
    demand: Arc<SlotDemand>,
    service: Name,
}

impl ServiceDemand {
    /// Adds the time since the last update.
    fn advance(&mut self, now: Instant) {
        self.total += now.saturating_duration_since(self.updated) * self.samples;
        self.updated = now;
    }
}

impl SlotDemand {
    /// Counts a sample that begins to wait for a slot of a service.
    pub(in crate::entry) fn begin(self: &Arc<Self>, service: Name) -> SlotDemandGuard {
        self.change(&service, |samples| samples + 1);
        SlotDemandGuard { demand: self.clone(), service }
    }

    /// Returns the total of each service in slot-milliseconds.
    pub(in crate::entry) fn totals(&self) -> Vec<(Name, u64)> {
        let now = Instant::now();
        let mut services = self.services.lock();
        let totals = services.iter_mut().map(|(service, demand)| {
            demand.advance(now);
            (service.clone(), demand.total.as_millis() as u64)
        });
        totals.collect()
    }

    /// Changes the number of samples of a service.
    fn change(&self, service: &Name, change: impl FnOnce(u32) -> u32) {
        let now = Instant::now();
        let mut services = self.services.lock();
        let demand = services.entry(service.clone()).or_insert(ServiceDemand {
            samples: 0,
            total: Duration::ZERO,
            updated: now,
        });
        demand.advance(now);
        demand.samples = change(demand.samples);
    }
}

impl Drop for SlotDemandGuard {
    fn drop(&mut self) {
        self.demand.change(&self.service, |samples| samples.saturating_sub(1));
    }
}
