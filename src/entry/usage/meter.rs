//! Counts requests per organisation and time window.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::Name;
use crate::decide::usage::{AgreedClock, Ledger, Meter, Windows};
use crate::edge::clock::Clock;

/// The counts of this node, and the counts that other nodes have sent it.
#[derive(Debug)]
pub(in crate::entry) struct Usage {
    /// The length of a window, and when its report is late.
    pub windows: Windows,
    /// The requests that this node has sent.
    pub meter: Mutex<Meter>,
    /// The counts of all nodes, as far as this node has received them.
    pub ledger: Mutex<Ledger>,
    /// Notified when a count of this node changes.
    pub changed: Notify,
    /// The number of requests whose outcome this node has recorded.
    settled: AtomicU64,
    /// The value of `settled` up to which the collectors have acknowledged the counts.
    acknowledged: watch::Sender<u64>,
    /// The clocks of this VM.
    clock: Arc<dyn Clock>,
    /// The time of day that the nodes agree on.
    agreed: Mutex<AgreedClock>,
}

impl Usage {
    pub(in crate::entry) fn new(windows: Windows, clock: Arc<dyn Clock>) -> Self {
        Self {
            windows,
            meter: Mutex::default(),
            ledger: Mutex::default(),
            changed: Notify::new(),
            settled: AtomicU64::new(0),
            acknowledged: watch::Sender::new(0),
            clock,
            agreed: Mutex::default(),
        }
    }

    /// Returns the time of day that the nodes agree on.
    pub(in crate::entry) fn time(&self) -> Duration {
        let reading = self.clock.read();
        self.agreed.lock().read(reading.since_boot, reading.since_epoch)
    }

    /// Records the time of day that another node has reported.
    pub(in crate::entry) fn record_peer_time(&self, node: &Name, time: Duration) {
        let since_boot = self.clock.read().since_boot;
        self.agreed.lock().record_peer(node, time, since_boot);
    }

    /// Returns the number of the window that contains the present.
    pub(in crate::entry) fn current_window(&self) -> u64 {
        self.windows.index_at(self.time())
    }

    /// Returns the number of requests whose outcome this node has recorded.
    pub(in crate::entry) fn settled(&self) -> u64 {
        self.settled.load(Ordering::Relaxed)
    }

    /// Records that the collectors have the counts of this many requests.
    pub(in crate::entry) fn record_acknowledged(&self, settled: u64) {
        self.acknowledged.send_replace(settled);
    }

    /// Waits until the collectors have all counts of this node, for at most this time.
    pub(in crate::entry) async fn wait_until_acknowledged(&self, timeout: Duration) {
        let mut acknowledged = self.acknowledged.subscribe();
        let all = acknowledged.wait_for(|count| *count >= self.settled());
        if tokio::time::timeout(timeout, all).await.is_err() {
            tracing::warn!(event = "usage_not_passed_on", settled = self.settled());
        }
    }

    /// Meters a request that is about to be sent. It counts in the window of this moment, unless
    /// it has no organisation or [`MeteredRequest::not_run`] is called.
    pub(in crate::entry) fn begin(self: &Arc<Self>, organisation: &Option<Name>) -> MeteredRequest {
        let Some(organisation) = organisation.clone() else { return MeteredRequest::default() };
        let window = self.current_window();
        self.meter.lock().request_sent(window);
        MeteredRequest { pending: Some(PendingCount { usage: self.clone(), window, organisation }) }
    }
}

/// A request that may have started to run. It is counted when dropped.
#[derive(Debug, Default)]
pub(in crate::entry) struct MeteredRequest {
    pending: Option<PendingCount>,
}

/// A request whose outcome is not known yet. Its window stays open until it is settled.
#[derive(Debug)]
struct PendingCount {
    usage: Arc<Usage>,
    window: u64,
    organisation: Name,
}

impl MeteredRequest {
    /// Records that the request did not run, so that it is not counted.
    pub(in crate::entry) fn not_run(&mut self) {
        if let Some(pending) = self.pending.take() {
            pending.settle(false);
        }
    }
}

impl PendingCount {
    /// Records the outcome: the request is counted if it ran.
    fn settle(self, ran: bool) {
        let ran = ran.then_some(&self.organisation);
        self.usage.meter.lock().request_settled(self.window, ran);
        self.usage.settled.fetch_add(1, Ordering::Relaxed);
        self.usage.changed.notify_one();
    }
}

impl Drop for MeteredRequest {
    fn drop(&mut self) {
        if let Some(pending) = self.pending.take() {
            pending.settle(true);
        }
    }
}
