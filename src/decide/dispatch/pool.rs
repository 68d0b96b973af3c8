//! The upstreams of a service, and the choice among them.
//!
//! A choice looks at two random upstreams with room and at the home of the prefix, never at
//! all: its cost doesn't grow with the fleet.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::upstream::Upstream;
use super::{LoadReport, Report, UpstreamKey, UpstreamView};
use crate::decide::{
    Call, Class, Deadlines, Open, OtherLoad, Outcome, Pace, Ring, expected_latency, most_out,
    two_random, within_load_bound,
};
use crate::{Moment, Name};

/// Places on the ring that are looked at for a prefix.
const HOMES: usize = 3;
/// Pairs that are drawn before a choice settles for what it has.
const DRAWS: usize = 4;

/// The pool.
#[derive(Debug)]
pub(super) struct Pool {
    zone: Name,
    ceiling: u32,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    names: HashMap<Name, UpstreamKey>,
    ring: Ring<UpstreamKey>,
    /// With room for any request.
    open: Open<UpstreamKey>,
    /// With room for a live request.
    open_live: Open<UpstreamKey>,
    returns: Deadlines<UpstreamKey>,
    running: u32,
    slots: u32,
    typical: Pace,
}

impl Pool {
    pub(super) fn new(zone: Name, ceiling: u32) -> Self {
        Self {
            zone,
            ceiling,
            upstreams: SlotMap::with_key(),
            names: HashMap::new(),
            ring: Ring::default(),
            open: Open::default(),
            open_live: Open::default(),
            returns: Deadlines::default(),
            running: 0,
            slots: 0,
            typical: Pace::default(),
        }
    }

    /// Brings the pool in line with the views.
    pub(super) fn set(&mut self, views: &[UpstreamView]) {
        let wanted: HashMap<&str, &UpstreamView> = views.iter().map(|v| (&*v.name, v)).collect();
        let gone: Vec<Name> =
            self.names.keys().filter(|n| !wanted.contains_key(&***n)).cloned().collect();
        gone.iter().for_each(|name| self.remove(name));
        for view in views {
            match self.names.get(&view.name).copied() {
                Some(key) => self.change(key, |u| {
                    if view.open && !u.view.open {
                        u.limit.restart();
                    }
                    u.view = view.clone();
                }),
                None => self.insert(view),
            }
        }
    }

    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling;
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        keys.into_iter().for_each(|key| self.change(key, |u| u.limit.set_ceiling(ceiling)));
    }

    pub(super) fn report(&mut self, name: &str, report: LoadReport) {
        let Some(key) = self.names.get(name).copied() else { return };
        let upstream = &mut self.upstreams[key];
        if report.at >= upstream.others.at() {
            let others = report.total.saturating_sub(upstream.limit.running());
            upstream.others = OtherLoad::new(others, report.at);
        }
    }

    /// Lets those back in whose time out is over.
    pub(super) fn tick(&mut self, now: Moment) {
        while let Some(key) = self.returns.due(now) {
            self.change(key, |u| {
                u.out = None;
                u.limit.restart();
            });
        }
    }

    /// Whether an upstream has room for a request of this class.
    pub(super) fn has_room(&self, class: Class) -> bool {
        !self.open_of(class).is_empty()
    }

    /// Whether no upstream takes work, whatever is in flight.
    pub(super) fn is_shut(&self) -> bool {
        self.slots == 0
    }

    /// Seconds that a unit of cost usually takes, if an answer has come yet.
    pub(super) fn typical(&self) -> Option<f64> {
        self.typical.mean()
    }

    /// Cost a second that all upstreams together get done.
    pub(super) fn rate(&self) -> f64 {
        self.typical().map_or(0.0, |pace| f64::from(self.slots) / pace.max(f64::MIN_POSITIVE))
    }

    /// The upstream for an attempt, if one has room of this class.
    pub(super) fn choose(
        &self,
        call: &Call,
        room: Class,
        avoid: Option<UpstreamKey>,
        now: Moment,
        rng: &mut SmallRng,
    ) -> Option<UpstreamKey> {
        let typical = self.typical().unwrap_or_default();
        if let Some(home) = self.home(call, room, avoid, typical, now) {
            return Some(home);
        }
        let open = self.open_of(room);
        let mut best: Option<(bool, f64, UpstreamKey)> = None;
        for _ in 0..DRAWS {
            let (first, second) = two_random(open.len(), rng)?;
            for key in [open.get(first), open.get(second)] {
                let upstream = &self.upstreams[key];
                let bad = Some(key) == avoid;
                let pace = upstream.pace.faded(typical, now);
                let time = expected_latency(upstream.load(now), pace, call.cost, upstream.far);
                if best.is_none_or(|(b, t, _)| (bad, time) < (b, t)) {
                    best = Some((bad, time, key));
                }
            }
            if best.is_some_and(|(bad, ..)| !bad) {
                break;
            }
        }
        best.map(|(.., key)| key)
    }

    pub(super) fn start(&mut self, key: UpstreamKey) -> Name {
        self.change(key, |u| u.limit.start());
        self.running += 1;
        self.upstreams[key].view.name.clone()
    }

    /// An attempt ended; without a report it was given up, `since` then.
    pub(super) fn end(
        &mut self,
        key: UpstreamKey,
        cost: u32,
        since: Moment,
        report: Option<Report>,
        now: Moment,
    ) {
        self.running -= 1;
        let outcome = report.map(|r| r.outcome);
        let took = report.map_or(now.saturating_sub(since), |r| r.took);
        let done = report.and_then(|r| r.done).unwrap_or(cost);
        if outcome == Some(Outcome::Answered) {
            self.typical.record(cost, took, now);
        }
        let mut over = false;
        self.change(key, |u| {
            match outcome {
                Some(Outcome::Answered) => {
                    u.answered(cost, done, took, now);
                    return;
                }
                Some(Outcome::Refused) => u.limit.refused(),
                Some(Outcome::Unsent) => u.failures.unreachable(),
                Some(Outcome::Unknown) => u.failures.failed(),
                None => {}
            }
            u.pace.record_least(cost, took, now);
            u.limit.end();
            over = u.failures.over();
        });
        if over {
            self.eject(key, now);
        }
    }

    fn home(
        &self,
        call: &Call,
        room: Class,
        avoid: Option<UpstreamKey>,
        typical: f64,
        now: Moment,
    ) -> Option<UpstreamKey> {
        let prefix = call.prefix?;
        let mean = f64::from(self.running) / self.names.len().max(1) as f64;
        let open = self.open_of(room);
        self.ring.from(prefix).take(HOMES).find(|key| {
            let upstream = &self.upstreams[*key];
            let fine = open.contains(*key) && Some(*key) != avoid;
            let slow = upstream.pace.faded(typical, now) > 2.0 * typical;
            fine && !slow && within_load_bound(upstream.load(now), mean)
        })
    }

    fn eject(&mut self, key: UpstreamKey, now: Moment) {
        let out = self.returns.len();
        if out >= most_out(self.names.len()) {
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.out.is_some() {
            return;
        }
        let until = upstream.failures.eject(now);
        self.change(key, |u| u.out = Some(until));
        self.returns.insert(until, key);
    }

    fn insert(&mut self, view: &UpstreamView) {
        let far = view.zone != self.zone;
        let key = self.upstreams.insert(Upstream::new(view.clone(), far, self.ceiling));
        self.names.insert(view.name.clone(), key);
        self.ring.insert(&view.name, key);
        self.place(key);
    }

    fn remove(&mut self, name: &Name) {
        let Some(key) = self.names.remove(name) else { return };
        self.change(key, |u| u.view.open = false);
        self.ring.remove(name, key);
        if let Some(upstream) = self.upstreams.remove(key)
            && let Some(until) = upstream.out
        {
            self.returns.remove(until, key);
        }
    }

    /// Changes an upstream and keeps what is derived from all of them right.
    fn change(&mut self, key: UpstreamKey, change: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        self.slots -= slots(upstream);
        change(upstream);
        self.place(key);
    }

    fn place(&mut self, key: UpstreamKey) {
        let upstream = &self.upstreams[key];
        self.slots += slots(upstream);
        self.open.set(key, upstream.usable() && upstream.limit.open());
        self.open_live.set(key, upstream.usable() && upstream.limit.open_live());
    }

    fn open_of(&self, class: Class) -> &Open<UpstreamKey> {
        match class {
            Class::Live => &self.open_live,
            Class::Training => &self.open,
        }
    }
}

fn slots(upstream: &Upstream) -> u32 {
    if upstream.usable() { upstream.limit.level() } else { 0 }
}
