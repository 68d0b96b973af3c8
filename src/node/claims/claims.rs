//! The claim state of a node.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tokio_util::task::TaskTracker;

use super::partition::{Partition, run_partition};
use crate::Name;
use crate::decide::claim::{Attempts, ClaimKey, PARTITION_COUNT};
use crate::metrics::ControlTask;
use crate::node::app::App;

/// How long a stopping node waits for its last commits: the response time of a slow platform.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two checks whether the last commits are done.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The partitions, of which this node may own some, and the attempts of this node.
#[derive(Debug)]
pub(in crate::node) struct Claims {
    partitions: Vec<Partition>,
    pub(super) attempts: Mutex<Attempts>,
    /// The tasks of claimed calls. They continue when the caller disconnects.
    pub(in crate::node) calls: TaskTracker,
}

impl Claims {
    /// Creates the claim state with all partitions closed.
    pub(in crate::node) fn new(name: &Name) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let partition = |number| Partition::new(number, name.clone(), since_epoch.as_secs());
        Self {
            partitions: (0..PARTITION_COUNT).map(partition).collect(),
            attempts: Mutex::default(),
            calls: TaskTracker::new(),
        }
    }

    /// Returns the number of keys in the partitions that this node owns.
    pub(in crate::node) fn key_count(&self) -> usize {
        self.partitions.iter().map(Partition::len).sum()
    }

    /// Returns the number of attempts that this node remembers.
    pub(in crate::node) fn attempt_count(&self) -> usize {
        self.attempts.lock().len()
    }

    /// Returns the partition of a key.
    pub(super) fn partition_of(&self, key: ClaimKey) -> &Partition {
        &self.partitions[usize::from(key.partition())]
    }

    /// Returns a partition by its number.
    pub(super) fn partition(&self, number: u16) -> &Partition {
        &self.partitions[usize::from(number)]
    }
}

/// Waits until the outcomes of claimed calls are committed, for at most [`FLUSH_TIMEOUT`].
pub(in crate::node) async fn flush(app: &App) {
    let start = app.clock.now();
    while app.clock.now() < start + FLUSH_TIMEOUT {
        let flushed = app.claims.partitions.iter().filter(|p| p.flush(app.clock.now())).count();
        if flushed == app.claims.partitions.len() {
            return;
        }
        tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
    }
    tracing::warn!(event = "claim_outcomes_not_committed", node = %app.settings.node.name);
}

/// Starts the task of each partition. The tasks end when the node stops.
pub(in crate::node) fn spawn_partitions(app: &Arc<App>) {
    for number in 0..PARTITION_COUNT {
        let task = run_partition(app.clone(), number);
        tokio::spawn(app.metrics.timed(ControlTask::Claims, task));
    }
}
