//! Places at replicas: who waits for one, and who gets the next.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::app::App;
use super::scale::{SlotDemand, SlotDemandGuard};
use crate::decide::{Ended, Fleet, Position, Waiting, Want, Wish};
use crate::edge::replica::{Load, Target};
use crate::{Moment, Name};

/// How often those who wait are looked at again while replicas are left out for a time.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

type Queue = Waiting<oneshot::Sender<Target>>;

/// The replicas and those who wait for a place.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) fleet: Mutex<Fleet>,
    waiting: Mutex<Queue>,
    /// The time that samples have wanted places.
    pub(super) wanted: Arc<SlotDemand>,
    /// Told when someone begins to wait.
    waiter_added: Notify,
}

impl Slots {
    pub(super) fn new(zone: Name) -> Self {
        Self {
            fleet: Mutex::new(Fleet::new(zone)),
            waiting: Mutex::default(),
            wanted: Arc::default(),
            waiter_added: Notify::new(),
        }
    }

    /// Whether anyone waits.
    fn has_waiters(&self) -> bool {
        !self.waiting.lock().is_empty()
    }

    /// Gives free places to those who wait, in turn.
    pub(super) fn assign_free(&self, now: Moment) {
        self.assign(now, |waiting, fleet| waiting.pump(fleet, now));
    }

    /// A place at a replica is free again.
    ///
    /// Load pattern: a step of thousands of texts before thousands of replicas, most of whose
    /// places are taken. Looking through all replicas at each text's end to find the place that
    /// it gave back costs texts times replicas; the others are looked at soon after.
    fn slot_freed(&self, replica: &str, now: Moment) {
        if self.fleet.lock().many() {
            self.assign_at(replica, now);
        } else {
            self.assign_free(now);
        }
    }

    /// Gives the free places of one replica, in turn.
    fn assign_at(&self, replica: &str, now: Moment) {
        self.assign(now, |waiting, fleet| waiting.offer(replica, fleet, now));
    }

    fn assign(
        &self,
        now: Moment,
        choose: impl FnOnce(&mut Queue, &mut Fleet) -> Vec<(oneshot::Sender<Target>, Target)>,
    ) {
        let mut waiting = self.waiting.lock();
        let mut fleet = self.fleet.lock();
        for (grant, target) in choose(&mut waiting, &mut fleet) {
            if let Err(target) = grant.send(target) {
                fleet.end(&target.id, None, Ended::Dropped, now);
            }
        }
    }
}

/// A place at a replica. It is given back when dropped.
#[derive(Debug)]
pub(super) struct SlotGuard<'a> {
    app: &'a App,
    pub target: Target,
    model: Option<Name>,
    ended: Ended,
    /// Of a sample, from when it began to wait.
    _wanted: Option<SlotDemandGuard>,
}

impl<'a> SlotGuard<'a> {
    /// A place that was counted by [`Fleet::start`] already.
    pub(super) fn started(app: &'a App, target: Target) -> Self {
        Self { app, target, model: None, ended: Ended::Dropped, _wanted: None }
    }

    /// Says how the attempt ended.
    pub(super) fn set_end(&mut self, ended: Ended) {
        self.ended = ended;
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let now = self.app.now();
        let model = self.model.as_deref();
        self.app.slots.fleet.lock().end(&self.target.id, model, self.ended, now);
        if self.app.slots.has_waiters() {
            self.app.slots.slot_freed(&self.target.id, now);
        }
    }
}

impl App {
    /// The head of a replica's answer came, with its load if it tells that.
    pub(super) fn record_response_head(&self, replica: &str, load: Option<Load>) {
        let now = self.now();
        {
            let mut fleet = self.slots.fleet.lock();
            match load {
                Some(load) => fleet.load(replica, load, now),
                None => fleet.untold(replica),
            }
        }
        if self.slots.has_waiters() {
            self.slots.assign_at(replica, now);
        }
    }

    /// Waits for a free place.
    pub(super) async fn wait_for_slot(&self, turn: Position, want: Want) -> Option<SlotGuard<'_>> {
        let (service, model) = (want.service.clone(), want.model.clone());
        let wanted = self.slots.wanted.begin(service.clone());
        let (grant, granted) = oneshot::channel();
        self.slots.waiting.lock().add(turn, want, grant);
        let mut waiting = QueuedWaiter { app: self, turn, service, model: model.clone(), granted };
        self.slots.assign_free(self.now());
        self.slots.waiter_added.notify_one();
        let target = (&mut waiting.granted).await.ok()?;
        Some(SlotGuard { app: self, target, model, ended: Ended::Dropped, _wanted: Some(wanted) })
    }

    /// Looks after those who wait, for as long as someone does.
    pub(super) async fn retry_waiting(&self) {
        loop {
            self.slots.waiter_added.notified().await;
            while self.slots.has_waiters() {
                tokio::time::sleep(RETRY_INTERVAL).await;
                self.slots.assign_free(self.now());
            }
        }
    }

    /// Takes a place at once, also where all are taken.
    pub(super) fn take_slot(&self, wish: &Wish<'_>) -> Option<SlotGuard<'_>> {
        let mut fleet = self.slots.fleet.lock();
        let now = self.now();
        let target = fleet.choose(wish, now)?;
        fleet.start(&target.id, now);
        let model = wish.weights.map(|(model, _)| model.into());
        Some(SlotGuard { app: self, target, model, ended: Ended::Dropped, _wanted: None })
    }
}

/// Takes a waiter out of the queue when its sample gives up.
struct QueuedWaiter<'a> {
    app: &'a App,
    turn: Position,
    service: Name,
    model: Option<Name>,
    granted: oneshot::Receiver<Target>,
}

impl Drop for QueuedWaiter<'_> {
    fn drop(&mut self) {
        self.app.slots.waiting.lock().remove(self.turn, &self.service, &self.model);
        // A place that was granted but never taken is given back.
        self.granted.close();
        if let Ok(target) = self.granted.try_recv() {
            let now = self.app.now();
            self.app.slots.fleet.lock().end(&target.id, None, Ended::Dropped, now);
        }
    }
}
