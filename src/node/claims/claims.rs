//! What a node holds for claims.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tokio_util::task::TaskTracker;

use super::shard::Shard;
use crate::Name;
use crate::decide::claim::{Attempts, ClaimKey, PARTITION_COUNT};
use crate::metrics::Task;
use crate::node::app::App;

/// How long a stopping node waits for its last commits: a slow platform's answer.
const FLUSH: Duration = Duration::from_secs(2);
/// Pause between looks at whether they are done.
const LOOK: Duration = Duration::from_millis(10);

/// The partitions, as far as this node is home to them, and its own attempts.
#[derive(Debug)]
pub(in crate::node) struct Claims {
    shards: Vec<Shard>,
    pub(super) attempts: Mutex<Attempts>,
    /// Claimed calls: they go on when their caller goes away.
    pub(in crate::node) calls: TaskTracker,
}

impl Claims {
    /// Nothing is open yet.
    pub(in crate::node) fn new(name: &Name) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shard = |partition| Shard::new(partition, name.clone(), since.as_secs());
        Self {
            shards: (0..PARTITION_COUNT).map(shard).collect(),
            attempts: Mutex::default(),
            calls: TaskTracker::new(),
        }
    }

    /// Keys that are held as home.
    pub(in crate::node) fn held(&self) -> usize {
        self.shards.iter().map(Shard::len).sum()
    }

    /// Claimed calls that are remembered as runner.
    pub(in crate::node) fn attempts(&self) -> usize {
        self.attempts.lock().len()
    }

    /// The shard of a key.
    pub(super) fn shard(&self, key: ClaimKey) -> &Shard {
        &self.shards[usize::from(key.partition())]
    }

    /// The shard of a partition.
    pub(super) fn at(&self, partition: u16) -> &Shard {
        &self.shards[usize::from(partition)]
    }
}

/// Waits until the ends of claimed calls are recorded, for a while.
pub(in crate::node) async fn flush(app: &App) {
    let start = app.clock.now();
    while app.clock.now() < start + FLUSH {
        let flushed = app.claims.shards.iter().filter(|s| s.flush(app.clock.now())).count();
        if flushed == app.claims.shards.len() {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
    tracing::warn!(event = "claim_ends_lost", node = %app.settings.node.name);
}

/// Starts the tasks that drive the partitions; they end with the node.
pub(in crate::node) fn drive(app: &Arc<App>) {
    for partition in 0..PARTITION_COUNT {
        let shard = super::shard::drive(app.clone(), partition);
        tokio::spawn(app.metrics.timed(Task::Claims, shard));
    }
}
