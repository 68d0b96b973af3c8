//! Counting requests as they begin.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::Name;
use crate::decide::usage::{Agreed, Ledger, Meter, Windows};
use crate::edge::clock::Clock;

/// What a node counts, and what it knows of others' counts.
#[derive(Debug)]
pub(in crate::entry) struct Usage {
    pub windows: Windows,
    pub meter: Mutex<Meter>,
    pub ledger: Mutex<Ledger>,
    /// Told when a count has changed.
    pub changed: Notify,
    clock: Arc<dyn Clock>,
    agreed: Mutex<Agreed>,
}

impl Usage {
    pub(in crate::entry) fn new(windows: Windows, clock: Arc<dyn Clock>) -> Self {
        Self {
            windows,
            meter: Mutex::default(),
            ledger: Mutex::default(),
            changed: Notify::new(),
            clock,
            agreed: Mutex::default(),
        }
    }

    /// The time of day.
    pub(in crate::entry) fn time(&self) -> Duration {
        let reading = self.clock.read();
        self.agreed.lock().read(reading.running, reading.wall)
    }

    /// What another node says the time is.
    pub(in crate::entry) fn record_peer_time(&self, node: &Name, time: Duration) {
        let running = self.clock.read().running;
        self.agreed.lock().hear(node, time, running);
    }

    /// The present window.
    pub(in crate::entry) fn current_window(&self) -> u64 {
        self.windows.at(self.time())
    }

    /// A request is sent. It counts as begun now, unless it came without an organisation or is
    /// said not to have run.
    pub(in crate::entry) fn begin(self: &Arc<Self>, organisation: &Option<Name>) -> MeteredRequest {
        let Some(organisation) = organisation.clone() else { return MeteredRequest::default() };
        let window = self.current_window();
        self.meter.lock().sent(window);
        MeteredRequest { counted: Some(Counted { usage: self.clone(), window, organisation }) }
    }
}

/// A request that may have begun. It is counted when dropped.
#[derive(Debug, Default)]
pub(in crate::entry) struct MeteredRequest {
    counted: Option<Counted>,
}

#[derive(Debug)]
struct Counted {
    usage: Arc<Usage>,
    window: u64,
    organisation: Name,
}

impl MeteredRequest {
    /// It did not run.
    pub(in crate::entry) fn not_run(&mut self) {
        if let Some(counted) = self.counted.take() {
            counted.settle(false);
        }
    }
}

impl Counted {
    fn settle(self, ran: bool) {
        let ran = ran.then_some(&self.organisation);
        self.usage.meter.lock().settled(self.window, ran);
        self.usage.changed.notify_one();
    }
}

impl Drop for MeteredRequest {
    fn drop(&mut self) {
        if let Some(counted) = self.counted.take() {
            counted.settle(true);
        }
    }
}
