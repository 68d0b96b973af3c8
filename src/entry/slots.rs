//! Places at replicas: who waits for one, and who gets the next.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::app::App;
use super::scale::{SlotDemand, SlotDemandGuard};
use crate::decide::{AttemptRequest, Fleet, ReplicaOutcome, SlotQueue, SlotRequest, WaitPosition};
use crate::edge::replica::{ReplicaLoad, Target};
use crate::{Moment, Name};

/// How often those who wait are looked at again while replicas are left out for a time.
const LOOK: Duration = Duration::from_millis(50);

type Queue = SlotQueue<oneshot::Sender<Target>>;

/// The replicas and those who wait for a place.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) fleet: Mutex<Fleet>,
    waiting: Mutex<Queue>,
    /// The time that samples have wanted places.
    pub(super) wanted: Arc<SlotDemand>,
    /// Told when someone begins to wait.
    begun: Notify,
}

impl Slots {
    pub(super) fn new(zone: Name) -> Self {
        Self {
            fleet: Mutex::new(Fleet::new(zone)),
            waiting: Mutex::default(),
            wanted: Arc::default(),
            begun: Notify::new(),
        }
    }

    /// Whether anyone waits.
    fn waits(&self) -> bool {
        !self.waiting.lock().is_empty()
    }

    /// Gives free places to those who wait, in turn.
    pub(super) fn pump(&self, now: Moment) {
        self.give(now, |waiting, fleet| waiting.assign_all(fleet, now));
    }

    /// A place at a replica is free again.
    ///
    /// Load pattern: a step of thousands of texts before thousands of replicas, most of whose
    /// places are taken. Looking through all replicas at each text's end to find the place that
    /// it gave back costs texts times replicas; the others are looked at soon after.
    fn freed(&self, replica: &str, now: Moment) {
        if self.fleet.lock().is_large() {
            self.offer(replica, now);
        } else {
            self.pump(now);
        }
    }

    /// Gives the free places of one replica, in turn.
    fn offer(&self, replica: &str, now: Moment) {
        self.give(now, |waiting, fleet| waiting.assign_at(replica, fleet, now));
    }

    fn give(
        &self,
        now: Moment,
        choose: impl FnOnce(&mut Queue, &mut Fleet) -> Vec<(oneshot::Sender<Target>, Target)>,
    ) {
        let mut waiting = self.waiting.lock();
        let mut fleet = self.fleet.lock();
        for (grant, target) in choose(&mut waiting, &mut fleet) {
            if let Err(target) = grant.send(target) {
                fleet.end_attempt(&target.id, None, ReplicaOutcome::Abandoned, now);
            }
        }
    }
}

/// A place at a replica. It is given back when dropped.
#[derive(Debug)]
pub(super) struct Held<'a> {
    app: &'a App,
    pub target: Target,
    model: Option<Name>,
    ended: ReplicaOutcome,
    /// Of a sample, from when it began to wait.
    _wanted: Option<SlotDemandGuard>,
}

impl<'a> Held<'a> {
    /// A place that was counted by [`Fleet::start_attempt`] already.
    pub(super) fn began(app: &'a App, target: Target) -> Self {
        Self { app, target, model: None, ended: ReplicaOutcome::Abandoned, _wanted: None }
    }

    /// Says how the attempt ended.
    pub(super) fn ended(&mut self, ended: ReplicaOutcome) {
        self.ended = ended;
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let now = self.app.now();
        let model = self.model.as_deref();
        self.app.slots.fleet.lock().end_attempt(&self.target.id, model, self.ended, now);
        if self.app.slots.waits() {
            self.app.slots.freed(&self.target.id, now);
        }
    }
}

impl App {
    /// The head of a replica's answer came, with its load if it tells that.
    pub(super) fn heard(&self, replica: &str, load: Option<ReplicaLoad>) {
        let now = self.now();
        {
            let mut fleet = self.slots.fleet.lock();
            match load {
                Some(load) => fleet.report_load(replica, load, now),
                None => fleet.report_no_load(replica),
            }
        }
        if self.slots.waits() {
            self.slots.offer(replica, now);
        }
    }

    /// Waits for a free place.
    pub(super) async fn place(&self, turn: WaitPosition, want: SlotRequest) -> Option<Held<'_>> {
        let (service, model) = (want.service.clone(), want.model.clone());
        let wanted = self.slots.wanted.begin(service.clone());
        let (grant, granted) = oneshot::channel();
        self.slots.waiting.lock().add(turn, want, grant);
        let mut waiting = Wait { app: self, turn, service, model: model.clone(), granted };
        self.slots.pump(self.now());
        self.slots.begun.notify_one();
        let target = (&mut waiting.granted).await.ok()?;
        Some(Held {
            app: self,
            target,
            model,
            ended: ReplicaOutcome::Abandoned,
            _wanted: Some(wanted),
        })
    }

    /// Looks after those who wait, for as long as someone does.
    pub(super) async fn look(&self) {
        loop {
            self.slots.begun.notified().await;
            while self.slots.waits() {
                tokio::time::sleep(LOOK).await;
                self.slots.pump(self.now());
            }
        }
    }

    /// Takes a place at once, also where all are taken.
    pub(super) fn take(&self, wish: &AttemptRequest<'_>) -> Option<Held<'_>> {
        let mut fleet = self.slots.fleet.lock();
        let now = self.now();
        let target = fleet.choose(wish, now)?;
        fleet.start_attempt(&target.id, now);
        let model = wish.weights.map(|(model, _)| model.into());
        Some(Held { app: self, target, model, ended: ReplicaOutcome::Abandoned, _wanted: None })
    }
}

/// Takes a waiter out of the queue when its sample gives up.
struct Wait<'a> {
    app: &'a App,
    turn: WaitPosition,
    service: Name,
    model: Option<Name>,
    granted: oneshot::Receiver<Target>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.app.slots.waiting.lock().remove(self.turn, &self.service, &self.model);
        // A place that was granted but never taken is given back.
        self.granted.close();
        if let Ok(target) = self.granted.try_recv() {
            let now = self.app.now();
            self.app.slots.fleet.lock().end_attempt(
                &target.id,
                None,
                ReplicaOutcome::Abandoned,
                now,
            );
        }
    }
}
