//! Places at replicas: who waits for one, and who gets the next.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::app::App;
use crate::decide::{Ended, Fleet, Wish};
use crate::edge::replica::{Load, Target};
use crate::{Moment, Name};

/// How often those who wait are looked at again while replicas are left out for a time.
const LOOK: Duration = Duration::from_millis(50);

/// The order in which samples get places: rank of the route, age of the job, index.
pub(super) type Turn = (u8, u64, u64);

/// What a waiting sample asks for.
#[derive(Debug)]
pub(super) struct Want {
    pub service: Name,
    pub model: Option<Name>,
    pub least: u64,
    pub avoid: Vec<Name>,
}

#[derive(Debug)]
struct Waiter {
    want: Want,
    grant: oneshot::Sender<Target>,
}

/// The replicas and those who wait for a place.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) fleet: Mutex<Fleet>,
    waiting: Mutex<BTreeMap<Turn, Waiter>>,
    /// Told when someone begins to wait.
    begun: Notify,
}

impl Slots {
    pub(super) fn new(zone: Name) -> Self {
        Self {
            fleet: Mutex::new(Fleet::new(zone)),
            waiting: Mutex::default(),
            begun: Notify::new(),
        }
    }

    /// Whether anyone waits.
    fn waits(&self) -> bool {
        !self.waiting.lock().is_empty()
    }

    /// Gives free places to those who wait, in turn.
    pub(super) fn pump(&self, now: Moment) {
        let mut waiting = self.waiting.lock();
        let mut fleet = self.fleet.lock();
        let mut full: Vec<(Name, Option<Name>)> = Vec::new();
        let turns: Vec<Turn> = waiting.keys().copied().collect();
        for turn in turns {
            let Some(waiter) = waiting.get(&turn) else { continue };
            let kind = (waiter.want.service.clone(), waiter.want.model.clone());
            if full.contains(&kind) {
                continue;
            }
            let wish = Wish {
                service: &waiter.want.service,
                weights: waiter.want.model.as_deref().map(|m| (m, waiter.want.least)),
                avoid: &waiter.want.avoid,
                over: false,
            };
            let Some(target) = fleet.choose(&wish, now) else {
                full.push(kind);
                continue;
            };
            let Some(waiter) = waiting.remove(&turn) else { continue };
            fleet.start(&target.id, now);
            if let Err(target) = waiter.grant.send(target) {
                fleet.end(&target.id, None, Ended::Dropped, now);
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
    ended: Ended,
}

impl<'a> Held<'a> {
    /// A place that was counted by [`Fleet::start`] already.
    pub(super) fn began(app: &'a App, target: Target) -> Self {
        Self { app, target, model: None, ended: Ended::Dropped }
    }

    /// Says how the attempt ended.
    pub(super) fn ended(&mut self, ended: Ended) {
        self.ended = ended;
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let now = self.app.now();
        let model = self.model.as_deref();
        self.app.slots.fleet.lock().end(&self.target.id, model, self.ended, now);
        if self.app.slots.waits() {
            self.app.slots.pump(now);
        }
    }
}

impl App {
    /// The head of a replica's answer came, with its load if it tells that. Those who wait are
    /// looked at within [`LOOK`]: at each head, thousands of heads would go through thousands
    /// who wait.
    pub(super) fn heard(&self, replica: &str, load: Option<Load>) {
        let mut fleet = self.slots.fleet.lock();
        match load {
            Some(load) => fleet.load(replica, load, self.now()),
            None => fleet.untold(replica),
        }
    }

    /// Waits for a free place.
    pub(super) async fn place(&self, turn: Turn, want: Want) -> Option<Held<'_>> {
        let model = want.model.clone();
        let (grant, granted) = oneshot::channel();
        self.slots.waiting.lock().insert(turn, Waiter { want, grant });
        let mut waiting = Waiting { app: self, turn, granted };
        self.slots.pump(self.now());
        self.slots.begun.notify_one();
        let target = (&mut waiting.granted).await.ok()?;
        Some(Held { app: self, target, model, ended: Ended::Dropped })
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
    pub(super) fn take(&self, wish: &Wish<'_>) -> Option<Held<'_>> {
        let mut fleet = self.slots.fleet.lock();
        let now = self.now();
        let target = fleet.choose(wish, now)?;
        fleet.start(&target.id, now);
        let model = wish.weights.map(|(model, _)| model.into());
        Some(Held { app: self, target, model, ended: Ended::Dropped })
    }
}

/// Takes a waiter out of the queue when its sample gives up.
struct Waiting<'a> {
    app: &'a App,
    turn: Turn,
    granted: oneshot::Receiver<Target>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.app.slots.waiting.lock().remove(&self.turn);
        // A place that was granted but never taken is given back.
        self.granted.close();
        if let Ok(target) = self.granted.try_recv() {
            let now = self.app.now();
            self.app.slots.fleet.lock().end(&target.id, None, Ended::Dropped, now);
        }
    }
}
