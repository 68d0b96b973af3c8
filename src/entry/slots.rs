//! Slots at replicas: the queue of samples that wait for one, and the assignment of free slots.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::app::App;
use super::scale::{SlotDemand, SlotDemandGuard};
use crate::decide::load::{ShareOrder, ShareOutcome, StepOrder, Trainer, TrainerDemand};
use crate::decide::{AttemptRequest, Fleet, Grant, ReplicaOutcome, SlotQueue, SlotRequest};
use crate::edge::replica::{ReplicaLoad, Target};
use crate::{Moment, Name};

/// How often the queue is processed while it is not empty. Replicas that are excluded for a time
/// become usable again without any event.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Samples that wait for a slot. A waiter gets its replica over the channel.
type Queue = SlotQueue<oneshot::Sender<GrantedSlot>>;

/// The replica that a sample gets, and the trainer that holds the slot.
#[derive(Debug)]
struct GrantedSlot {
    target: Target,
    trainer: Trainer,
}

/// The replicas with their slots, and the queue for slots.
#[derive(Debug)]
pub(super) struct Slots {
    /// The known replicas and the attempts that run at them.
    pub(super) fleet: Arc<Mutex<Fleet>>,
    waiting: Arc<Mutex<Queue>>,
    /// The time for which samples have needed slots, by service.
    pub(super) demand: Arc<SlotDemand>,
    /// Notified when a sample joins the queue.
    waiter_added: Notify,
    /// Slots given to trainers beyond their shares.
    over_share: AtomicU64,
    /// The number of steps so far.
    steps: AtomicU64,
}

impl Slots {
    /// The slots as a node of this availability zone and with this name sees them.
    pub(super) fn new(zone: Name, node: Name) -> Self {
        Self {
            fleet: Arc::new(Mutex::new(Fleet::for_node(zone, node))),
            waiting: Arc::default(),
            demand: Arc::default(),
            waiter_added: Notify::new(),
            over_share: AtomicU64::new(0),
            steps: AtomicU64::new(0),
        }
    }

    /// Whether any sample waits for a slot.
    fn has_waiters(&self) -> bool {
        !self.waiting.lock().is_empty()
    }

    /// Assigns free slots to waiting samples, in queue order.
    pub(super) fn assign_free(&self, now: Moment) {
        self.assign(now, |waiting, fleet| waiting.assign_all(fleet, now));
    }

    /// Assigns free slots to waiting samples, in queue order, and one to a trainer that holds its
    /// share. Called every [`RETRY_INTERVAL`]: more would take slots that other nodes are about to
    /// use, whose load this node learns only from answers.
    fn assign_at_interval(&self, now: Moment) {
        self.assign(now, |waiting, fleet| waiting.assign_over_share(fleet, now));
    }

    /// Assigns a slot that has become free at a replica.
    ///
    /// Load pattern: a training step of thousands of texts at thousands of replicas, most of
    /// whose slots are taken. Searching all replicas at each text's end would cost texts times
    /// replicas, so that in a large fleet only this replica is offered. The others are searched
    /// within [`RETRY_INTERVAL`].
    fn slot_freed(&self, replica: &str, now: Moment) {
        if self.fleet.lock().is_large() {
            self.assign_at(replica, now);
        } else {
            self.assign_free(now);
        }
    }

    /// Assigns the free slots of one replica to waiting samples, in queue order.
    fn assign_at(&self, replica: &str, now: Moment) {
        self.assign(now, |waiting, fleet| waiting.assign_at(replica, fleet, now));
    }

    /// Hands the replicas that `choose` selects to their waiters. A slot whose waiter has given
    /// up is released.
    fn assign(
        &self,
        now: Moment,
        choose: impl FnOnce(&mut Queue, &mut Fleet) -> Vec<Grant<oneshot::Sender<GrantedSlot>>>,
    ) {
        let mut waiting = self.waiting.lock();
        let mut fleet = self.fleet.lock();
        for Grant { grant, target, trainer, over_share } in choose(&mut waiting, &mut fleet) {
            if over_share {
                self.over_share.fetch_add(1, Ordering::Relaxed);
            }
            if let Err(unused) = grant.send(GrantedSlot { target, trainer }) {
                fleet.end_attempt(&unused.target.id, None, ReplicaOutcome::Abandoned, now);
                waiting.end_run(&unused.trainer);
            }
        }
    }

    /// Returns an id for a step, which no other step of this process has.
    pub(super) fn new_step_id(&self) -> u64 {
        self.steps.fetch_add(1, Ordering::Relaxed)
    }

    /// Opens a step whose samples will wait for slots, until the returned guard is dropped.
    pub(super) fn open_step(&self, step: StepOrder, now: Moment) -> StepGuard {
        let guard = StepGuard {
            queue: self.waiting.clone(),
            step: step.open.id,
            opened: (now, tokio::time::Instant::now()),
        };
        self.waiting.lock().open_step(step, now);
        guard
    }

    /// Applies the shares that the leader sent, unless they are outdated.
    pub(super) fn set_shares(&self, order: ShareOrder, now: Moment) -> ShareOutcome {
        let outcome = self.waiting.lock().set_shares(order, now);
        if self.has_waiters() {
            self.assign_free(now);
        }
        outcome
    }

    /// Returns the demand of at most `limit` trainers, those with the most samples.
    pub(super) fn trainer_demand(&self, limit: usize) -> Vec<TrainerDemand> {
        self.waiting.lock().demand(limit)
    }

    /// Returns how many slots were given to trainers beyond their shares so far.
    pub(super) fn over_share(&self) -> u64 {
        self.over_share.load(Ordering::Relaxed)
    }

    /// Records that a sample of an open step has its result.
    pub(super) fn finish_sample(&self, step: u64, index: u64) {
        self.waiting.lock().finish_sample(step, index);
    }
}

/// Closes a step when it is dropped, as when all its samples have ended.
#[derive(Debug)]
pub(super) struct StepGuard {
    queue: Arc<Mutex<Queue>>,
    step: u64,
    /// When the step was opened, on the node's clock and as an instant.
    opened: (Moment, tokio::time::Instant),
}

impl Drop for StepGuard {
    fn drop(&mut self) {
        let (opened, at) = self.opened;
        self.queue.lock().close_step(self.step, opened + at.elapsed());
    }
}

/// A slot at a replica, which is released when the guard is dropped.
#[derive(Debug)]
pub(super) struct SlotGuard<'a> {
    app: &'a App,
    pub target: Target,
    model: Option<Name>,
    ended: ReplicaOutcome,
    /// The trainer that holds the slot; none for a request that did not wait in the queue.
    trainer: Option<Trainer>,
    /// Whether it is the slot of a call, which [`Fleet::start_call`] has counted.
    is_call: bool,
    /// Counts the demand of a sample, from when it joined the queue.
    _demand: Option<SlotDemandGuard>,
}

impl<'a> SlotGuard<'a> {
    /// A guard for a slot that [`Fleet::start_attempt`] has already counted.
    pub(super) fn started(app: &'a App, target: Target) -> Self {
        let ended = ReplicaOutcome::Abandoned;
        Self { app, target, model: None, ended, is_call: false, trainer: None, _demand: None }
    }

    /// A guard for a slot that [`Fleet::start_call`] has already counted.
    pub(super) fn started_call(app: &'a App, target: Target) -> Self {
        let ended = ReplicaOutcome::Abandoned;
        Self { app, target, model: None, ended, is_call: true, trainer: None, _demand: None }
    }

    /// Whether it is the slot of a call that waits while all replicas are full.
    pub(super) fn is_call(&self) -> bool {
        self.is_call
    }

    /// Sets how the attempt ended; [`ReplicaOutcome::Abandoned`] if this is never called.
    pub(super) fn set_end(&mut self, ended: ReplicaOutcome) {
        self.ended = ended;
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let now = self.app.now();
        let model = self.model.as_deref();
        {
            let mut fleet = self.app.slots.fleet.lock();
            if self.is_call {
                fleet.end_call(&self.target.id, self.ended, now);
            } else {
                fleet.end_attempt(&self.target.id, model, self.ended, now);
            }
        }
        if let Some(trainer) = &self.trainer {
            self.app.slots.waiting.lock().end_run(trainer);
        }
        self.app.calls.assign_at(&self.target.id, &self.app.slots.fleet, now);
        if self.app.slots.has_waiters() {
            self.app.slots.slot_freed(&self.target.id, now);
        }
    }
}

impl App {
    /// Records that the head of a replica's response arrived, with the load that the replica
    /// reported in it, if any.
    pub(super) fn record_response_head(&self, replica: &str, load: Option<ReplicaLoad>) {
        let now = self.now();
        {
            let mut fleet = self.slots.fleet.lock();
            fleet.record_answer(replica, now);
            match load {
                Some(load) => {
                    if !fleet.report_load(replica, load, now) {
                        self.tally.ignored_figures.inc();
                    }
                    if fleet.ignores_load(replica) {
                        self.tally.ignored_load_reports.inc();
                    }
                }
                None => fleet.report_no_load(replica),
            }
        }
        self.calls.assign_at(replica, &self.slots.fleet, now);
        if self.slots.has_waiters() {
            self.slots.assign_at(replica, now);
        }
    }

    /// Waits in the queue for a free slot for a sample of an open step. None if the queue entry was
    /// dropped without a slot.
    pub(super) async fn wait_for_slot(
        &self,
        step: u64,
        index: u64,
        want: SlotRequest,
    ) -> Option<SlotGuard<'_>> {
        let model = want.model.clone();
        let demand = self.slots.demand.begin(want.service.clone());
        let (grant, granted) = oneshot::channel();
        self.slots.waiting.lock().add(step, index, want, grant);
        let mut waiting = QueuedWaiter { app: self, step, index, granted };
        self.slots.assign_free(self.now());
        self.slots.waiter_added.notify_one();
        let GrantedSlot { target, trainer } = (&mut waiting.granted).await.ok()?;
        Some(SlotGuard {
            app: self,
            target,
            model,
            ended: ReplicaOutcome::Abandoned,
            trainer: Some(trainer),
            is_call: false,
            _demand: Some(demand),
        })
    }

    /// Processes the queue at intervals while it is not empty. Runs for as long as the process.
    pub(super) async fn retry_waiting(&self) {
        loop {
            self.slots.waiter_added.notified().await;
            while self.slots.has_waiters() {
                tokio::time::sleep(RETRY_INTERVAL).await;
                let now = self.now();
                self.slots.waiting.lock().refresh(now);
                self.slots.assign_at_interval(now);
            }
        }
    }

    /// Takes a slot at once, even at a replica whose slots are all taken. None if no replica
    /// accepts work.
    pub(super) fn take_slot(&self, wish: &AttemptRequest<'_>) -> Option<SlotGuard<'_>> {
        let mut fleet = self.slots.fleet.lock();
        let now = self.now();
        let target = fleet.choose(wish, now)?;
        fleet.start_attempt(&target.id, now);
        let model = wish.weights.map(|(model, _)| model.into());
        Some(SlotGuard {
            app: self,
            target,
            model,
            ended: ReplicaOutcome::Abandoned,
            trainer: None,
            is_call: false,
            _demand: None,
        })
    }
}

/// Removes a waiter from the queue when it is dropped, as when its sample gives up.
struct QueuedWaiter<'a> {
    app: &'a App,
    step: u64,
    index: u64,
    granted: oneshot::Receiver<GrantedSlot>,
}

impl Drop for QueuedWaiter<'_> {
    fn drop(&mut self) {
        self.app.slots.waiting.lock().remove(self.step, self.index);
        // A slot that was assigned but never used is released.
        self.granted.close();
        if let Ok(GrantedSlot { target, trainer }) = self.granted.try_recv() {
            let now = self.app.now();
            self.app.slots.fleet.lock().end_attempt(
                &target.id,
                None,
                ReplicaOutcome::Abandoned,
                now,
            );
            self.app.slots.waiting.lock().end_run(&trainer);
        }
    }
}
