//! One partition: its journal behind a lock, and the task that does its steps.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::store;
use crate::decide::claim::{
    ClaimDecision, ClaimJournal, ClaimKey, ClaimOutcome, ClaimRequest, JournalAction,
};
use crate::metrics::Task;
use crate::node::app::App;
use crate::{Moment, Name};

#[derive(Debug)]
struct Inner {
    journal: ClaimJournal,
    waiters: HashMap<u64, oneshot::Sender<ClaimDecision>>,
}

/// The partition.
#[derive(Debug)]
pub(super) struct Shard {
    partition: u16,
    inner: Mutex<Inner>,
    wake: Notify,
}

impl Shard {
    pub(super) fn new(partition: u16, name: Name, base: u64) -> Self {
        let journal = ClaimJournal::new(name, base, rand::random());
        let inner = Inner { journal, waiters: HashMap::new() };
        Self { partition, inner: Mutex::new(inner), wake: Notify::new() }
    }

    /// Whether this node is home to the partition, and knows it.
    pub(super) fn is_open(&self) -> bool {
        self.inner.lock().journal.is_open()
    }

    /// Keys that are held as home.
    pub(super) fn len(&self) -> usize {
        self.inner.lock().journal.len()
    }

    /// Asks the journal. `None` if the node ends first.
    pub(super) async fn ask(&self, ask: ClaimRequest, now: Moment) -> Option<ClaimDecision> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut inner = self.inner.lock();
            inner.waiters.insert(ask.nonce, sender);
            inner.journal.request(ask, now);
        }
        self.wake.notify_one();
        receiver.await.ok()
    }

    /// Records an end. False if this node is not home.
    pub(super) fn ended(&self, key: ClaimKey, nonce: u64, end: ClaimOutcome, now: Moment) -> bool {
        let recorded = self.inner.lock().journal.call_ended(key, nonce, end, now);
        self.wake.notify_one();
        recorded
    }

    /// Commits what waits, before the node stops. Returns whether all of it is.
    pub(super) fn flush(&self, now: Moment) -> bool {
        let flushed = self.inner.lock().journal.flush(now);
        self.wake.notify_one();
        flushed
    }

    /// Tells the journal something.
    fn tell(&self, event: impl FnOnce(&mut ClaimJournal)) {
        event(&mut self.inner.lock().journal);
        self.wake.notify_one();
    }

    /// Lets time pass; answers what is decided, and returns the steps that need
    /// the platform and the moment of the next tick.
    fn turn(&self, now: Moment) -> (Vec<JournalAction>, Option<Moment>) {
        let mut inner = self.inner.lock();
        inner.journal.tick(now);
        let mut rest = Vec::new();
        for step in inner.journal.take_actions() {
            match step {
                JournalAction::Reply { nonce, decision } => {
                    if let Some(waiter) = inner.waiters.remove(&nonce) {
                        let _ = waiter.send(decision);
                    }
                }
                JournalAction::ReadHead
                | JournalAction::ReadSegments(_)
                | JournalAction::Swap { .. } => rest.push(step),
            }
        }
        (rest, inner.journal.next_tick())
    }
}

/// Drives a partition until the node stops.
pub(super) async fn drive(app: Arc<App>, partition: u16) {
    loop {
        let shard = app.claims.at(partition);
        let (steps, due) = shard.turn(app.clock.now());
        for step in steps {
            let step = perform(app.clone(), partition, step);
            tokio::spawn(app.metrics.timed(Task::Claims, step));
        }
        let due = async {
            match due {
                Some(at) => tokio::time::sleep_until(app.clock.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = shard.wake.notified() => {}
            () = due => {}
        }
    }
}

async fn perform(app: Arc<App>, partition: u16, step: JournalAction) {
    let shard = app.claims.at(partition);
    match step {
        JournalAction::ReadHead => {
            let read = store::head(&app.platform, partition).await;
            shard.tell(|j| j.head_read(read, app.clock.now()));
        }
        JournalAction::ReadSegments(range) => {
            let read = store::segments(&app.platform, partition, range).await;
            shard.tell(|j| j.segments_read(read, app.clock.now()));
        }
        JournalAction::Swap { expected, head, segment } => {
            let swapped = store::swap(&app.platform, partition, expected, &head, segment).await;
            shard.tell(|j| j.swap_completed(swapped, app.clock.now()));
        }
        JournalAction::Reply { .. } => tracing::error!(event = "claim_reply_lost", shard.partition),
    }
}
