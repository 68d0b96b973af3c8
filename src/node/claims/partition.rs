//! One partition of the claims: its journal behind a lock, and the task that executes the actions
//! of the journal.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::journal_store;
use crate::decide::claim::{
    ClaimDecision, ClaimJournal, ClaimKey, ClaimOutcome, ClaimRequest, JournalAction,
};
use crate::metrics::ControlTask;
use crate::node::app::App;
use crate::{Moment, Name};

#[derive(Debug)]
struct Inner {
    journal: ClaimJournal,
    /// The requesters that wait for a decision, by nonce.
    waiters: HashMap<u64, oneshot::Sender<ClaimDecision>>,
}

/// A partition of the claims, which this node may own.
#[derive(Debug)]
pub(super) struct Partition {
    number: u16,
    inner: Mutex<Inner>,
    /// Notified when the journal may have new actions.
    wake: Notify,
}

impl Partition {
    /// Creates a closed partition. `unix_base` is the start time in seconds since the Unix epoch.
    pub(super) fn new(number: u16, name: Name, unix_base: u64) -> Self {
        let journal = ClaimJournal::new(name, unix_base, rand::random());
        let inner = Inner { journal, waiters: HashMap::new() };
        Self { number, inner: Mutex::new(inner), wake: Notify::new() }
    }

    /// Whether this node owns the partition and has opened it.
    pub(super) fn is_open(&self) -> bool {
        self.inner.lock().journal.is_open()
    }

    /// Returns the number of keys in the journal.
    pub(super) fn len(&self) -> usize {
        self.inner.lock().journal.len()
    }

    /// Requests a claim. `None` if the node stops before there is a decision.
    pub(super) async fn request(
        &self,
        request: ClaimRequest,
        now: Moment,
    ) -> Option<ClaimDecision> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut inner = self.inner.lock();
            inner.waiters.insert(request.nonce, sender);
            inner.journal.request(request, now);
        }
        self.wake.notify_one();
        receiver.await.ok()
    }

    /// Records the outcome of a claimed call. Returns false if this node does not own the
    /// partition.
    pub(super) fn record_outcome(
        &self,
        key: ClaimKey,
        nonce: u64,
        outcome: ClaimOutcome,
        now: Moment,
    ) -> bool {
        let recorded = self.inner.lock().journal.call_ended(key, nonce, outcome, now);
        self.wake.notify_one();
        recorded
    }

    /// Commits the queued entries before the node stops. Returns whether all are committed.
    pub(super) fn flush(&self, now: Moment) -> bool {
        let flushed = self.inner.lock().journal.flush(now);
        self.wake.notify_one();
        flushed
    }

    /// Passes an event to the journal and wakes the task of the partition.
    fn update_journal(&self, event: impl FnOnce(&mut ClaimJournal)) {
        event(&mut self.inner.lock().journal);
        self.wake.notify_one();
    }

    /// Lets the journal do what is due and sends its decisions to the requesters. Returns the
    /// actions that need the platform, and the time of the next tick.
    fn advance(&self, now: Moment) -> (Vec<JournalAction>, Option<Moment>) {
        let mut inner = self.inner.lock();
        inner.journal.tick(now);
        let mut platform_actions = Vec::new();
        for action in inner.journal.take_actions() {
            match action {
                JournalAction::Reply { nonce, decision } => {
                    if let Some(waiter) = inner.waiters.remove(&nonce) {
                        let _ = waiter.send(decision);
                    }
                }
                JournalAction::ReadHead
                | JournalAction::ReadSegments(_)
                | JournalAction::Swap { .. } => platform_actions.push(action),
            }
        }
        (platform_actions, inner.journal.next_tick())
    }
}

/// Runs a partition until the node stops.
pub(super) async fn run_partition(app: Arc<App>, number: u16) {
    loop {
        let partition = app.claims.partition(number);
        let (actions, next_tick) = partition.advance(app.clock.now());
        for action in actions {
            let task = execute_action(app.clone(), number, action);
            tokio::spawn(app.metrics.timed(ControlTask::Claims, task));
        }
        let due = async {
            match next_tick {
                Some(at) => tokio::time::sleep_until(app.clock.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = partition.wake.notified() => {}
            () = due => {}
        }
    }
}

async fn execute_action(app: Arc<App>, number: u16, action: JournalAction) {
    let partition = app.claims.partition(number);
    match action {
        JournalAction::ReadHead => {
            let head = journal_store::read_head(&app.platform, number).await;
            partition.update_journal(|j| j.head_read(head, app.clock.now()));
        }
        JournalAction::ReadSegments(range) => {
            let segments = journal_store::read_segments(&app.platform, number, range).await;
            partition.update_journal(|j| j.segments_read(segments, app.clock.now()));
        }
        JournalAction::Swap { expected, head, segment } => {
            let result =
                journal_store::swap_head(&app.platform, number, expected, &head, segment).await;
            partition.update_journal(|j| j.swap_completed(result, app.clock.now()));
        }
        // Replies are sent in `advance` and never get here.
        JournalAction::Reply { .. } => {
            tracing::error!(event = "claim_reply_not_sent", partition = partition.number);
        }
    }
}
