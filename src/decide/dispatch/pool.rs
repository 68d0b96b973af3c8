//! The upstreams of a service, and the choice among them.
//!
//! A choice compares two random upstreams with room, after the upstream that the prefix is
//! assigned to, and never all upstreams: its cost doesn't grow with the fleet.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::upstream::Upstream;
use super::{AttemptReport, LoadReport, UpstreamKey, UpstreamView};
use crate::decide::{
    AttemptOutcome, Call, Class, Deadlines, HashRing, IndexedSet, LatencyEstimate, OtherLoad,
    expected_latency, max_ejected, two_random, within_load_bound,
};
use crate::{Moment, Name};

/// Points on the hash ring that are tried for a prefix.
const RING_CANDIDATES: usize = 3;
/// Most random pairs that are drawn to find an upstream other than the one to avoid.
const MAX_RANDOM_PAIRS: usize = 4;
/// Latency of an upstream, as a multiple of the typical one, above which its cached prefixes are
/// not used.
const MAX_PREFIX_LATENCY_RATIO: f64 = 2.0;

/// The upstreams of a service.
#[derive(Debug)]
pub(super) struct UpstreamPool {
    zone: Name,
    ceiling: u32,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    names: HashMap<Name, UpstreamKey>,
    ring: HashRing<UpstreamKey>,
    /// Upstreams with room for a training request.
    training_ready: IndexedSet<UpstreamKey>,
    /// Upstreams with room for a live request.
    live_ready: IndexedSet<UpstreamKey>,
    /// Ejected upstreams by the end of their ejection.
    ejected: Deadlines<UpstreamKey>,
    /// Attempts in flight at all upstreams.
    running: u32,
    /// Sum of the concurrency limits of all usable upstreams.
    slots: u32,
    /// Latency over all upstreams.
    typical_latency: LatencyEstimate,
}

impl UpstreamPool {
    pub(super) fn new(zone: Name, ceiling: u32) -> Self {
        Self {
            zone,
            ceiling,
            upstreams: SlotMap::with_key(),
            names: HashMap::new(),
            ring: HashRing::default(),
            training_ready: IndexedSet::default(),
            live_ready: IndexedSet::default(),
            ejected: Deadlines::default(),
            running: 0,
            slots: 0,
            typical_latency: LatencyEstimate::default(),
        }
    }

    /// Adds, updates and removes upstreams according to `views`.
    pub(super) fn set_upstreams(&mut self, views: &[UpstreamView]) {
        let wanted: HashMap<&str, &UpstreamView> = views.iter().map(|v| (&*v.name, v)).collect();
        let gone: Vec<Name> =
            self.names.keys().filter(|n| !wanted.contains_key(&***n)).cloned().collect();
        gone.iter().for_each(|name| self.remove(name));
        for view in views {
            match self.names.get(&view.name).copied() {
                Some(key) => self.update(key, |u| {
                    if view.accepting && !u.view.accepting {
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
        keys.into_iter().for_each(|key| self.update(key, |u| u.limit.set_ceiling(ceiling)));
    }

    pub(super) fn report(&mut self, name: &str, report: LoadReport) {
        let Some(key) = self.names.get(name).copied() else { return };
        let upstream = &mut self.upstreams[key];
        if report.requested_at >= upstream.others.at() {
            let others = report.total.saturating_sub(upstream.limit.running());
            upstream.others = OtherLoad::new(others, report.requested_at);
        }
    }

    /// Readmits the upstreams whose ejection has ended.
    pub(super) fn tick(&mut self, now: Moment) {
        while let Some(key) = self.ejected.pop_due(now) {
            self.update(key, |u| {
                u.ejected_until = None;
                u.limit.restart();
            });
        }
    }

    /// Whether an upstream has room for a request of this class.
    pub(super) fn has_room(&self, class: Class) -> bool {
        !self.ready(class).is_empty()
    }

    /// Whether no upstream accepts work, whatever is in flight.
    pub(super) fn is_unavailable(&self) -> bool {
        self.slots == 0
    }

    /// Typical seconds per unit of cost, if there was an answer yet.
    pub(super) fn typical_latency(&self) -> Option<f64> {
        self.typical_latency.mean()
    }

    /// Cost per second that all upstreams together get done; 0 before the first answer.
    pub(super) fn cost_rate(&self) -> f64 {
        self.typical_latency()
            .map_or(0.0, |latency| f64::from(self.slots) / latency.max(f64::MIN_POSITIVE))
    }

    /// The upstream for an attempt, if one has room of the class `room`.
    pub(super) fn choose(
        &self,
        call: &Call,
        room: Class,
        avoid: Option<UpstreamKey>,
        now: Moment,
        rng: &mut SmallRng,
    ) -> Option<UpstreamKey> {
        let typical = self.typical_latency().unwrap_or_default();
        if let Some(key) = self.prefix_upstream(call, room, avoid, typical, now) {
            return Some(key);
        }
        let ready = self.ready(room);
        let mut best: Option<(bool, f64, UpstreamKey)> = None;
        for _ in 0..MAX_RANDOM_PAIRS {
            let (first, second) = two_random(ready.len(), rng)?;
            for key in [ready.get(first), ready.get(second)] {
                let upstream = &self.upstreams[key];
                let avoided = Some(key) == avoid;
                let latency = upstream.latency.decayed(typical, now);
                let time =
                    expected_latency(upstream.load(now), latency, call.cost, upstream.other_zone);
                if best.is_none_or(|(b, t, _)| (avoided, time) < (b, t)) {
                    best = Some((avoided, time, key));
                }
            }
            if best.is_some_and(|(avoided, ..)| !avoided) {
                break;
            }
        }
        best.map(|(.., key)| key)
    }

    pub(super) fn start(&mut self, key: UpstreamKey) -> Name {
        self.update(key, |u| u.limit.start());
        self.running += 1;
        self.upstreams[key].view.name.clone()
    }

    /// Handles the end of an attempt that was sent at `sent_at`. Without a report, the attempt
    /// was cancelled.
    pub(super) fn end(
        &mut self,
        key: UpstreamKey,
        cost: u32,
        sent_at: Moment,
        report: Option<AttemptReport>,
        now: Moment,
    ) {
        self.running -= 1;
        let outcome = report.map(|r| r.outcome);
        let took = report.map_or(now.saturating_sub(sent_at), |r| r.took);
        let actual_cost = report.and_then(|r| r.actual_cost).unwrap_or(cost);
        if outcome == Some(AttemptOutcome::Answered) {
            self.typical_latency.record(cost, took, now);
        }
        let mut should_eject = false;
        self.update(key, |u| {
            match outcome {
                Some(AttemptOutcome::Answered) => {
                    u.answered(cost, actual_cost, took, now);
                    return;
                }
                Some(AttemptOutcome::Refused) => u.limit.refused(),
                Some(AttemptOutcome::Unsent) => u.failures.unreachable(),
                Some(AttemptOutcome::Unknown) => u.failures.failed(),
                None => {}
            }
            u.latency.record_lower_bound(cost, took, now);
            u.limit.end();
            should_eject = u.failures.should_eject();
        });
        if should_eject {
            self.eject(key, now);
        }
    }

    /// The upstream that the prefix of a call is assigned to, if it has room and is neither
    /// slow nor overloaded.
    fn prefix_upstream(
        &self,
        call: &Call,
        room: Class,
        avoid: Option<UpstreamKey>,
        typical: f64,
        now: Moment,
    ) -> Option<UpstreamKey> {
        let prefix = call.prefix?;
        let mean = f64::from(self.running) / self.names.len().max(1) as f64;
        let ready = self.ready(room);
        self.ring.successors(prefix).take(RING_CANDIDATES).find(|key| {
            let upstream = &self.upstreams[*key];
            let allowed = ready.contains(*key) && Some(*key) != avoid;
            let slow = upstream.latency.decayed(typical, now) > MAX_PREFIX_LATENCY_RATIO * typical;
            allowed && !slow && within_load_bound(upstream.load(now), mean)
        })
    }

    fn eject(&mut self, key: UpstreamKey, now: Moment) {
        let ejected = self.ejected.len();
        if ejected >= max_ejected(self.names.len()) {
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.ejected_until.is_some() {
            return;
        }
        let until = upstream.failures.eject(now);
        self.update(key, |u| u.ejected_until = Some(until));
        self.ejected.insert(until, key);
    }

    fn insert(&mut self, view: &UpstreamView) {
        let other_zone = view.zone != self.zone;
        let key = self.upstreams.insert(Upstream::new(view.clone(), other_zone, self.ceiling));
        self.names.insert(view.name.clone(), key);
        self.ring.insert(&view.name, key);
        self.add_derived(key);
    }

    fn remove(&mut self, name: &Name) {
        let Some(key) = self.names.remove(name) else { return };
        self.update(key, |u| u.view.accepting = false);
        self.ring.remove(name, key);
        if let Some(upstream) = self.upstreams.remove(key)
            && let Some(until) = upstream.ejected_until
        {
            self.ejected.remove(until, key);
        }
    }

    /// Changes an upstream and updates the totals and sets that are derived from all of them.
    fn update(&mut self, key: UpstreamKey, update: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        self.slots -= slots(upstream);
        update(upstream);
        self.add_derived(key);
    }

    /// Adds an upstream to the totals and sets.
    fn add_derived(&mut self, key: UpstreamKey) {
        let upstream = &self.upstreams[key];
        self.slots += slots(upstream);
        self.training_ready.set(key, upstream.usable() && upstream.limit.admits_training());
        self.live_ready.set(key, upstream.usable() && upstream.limit.admits_live());
    }

    /// Upstreams with room for a request of a class.
    fn ready(&self, class: Class) -> &IndexedSet<UpstreamKey> {
        match class {
            Class::Live => &self.live_ready,
            Class::Training => &self.training_ready,
        }
    }
}

/// What an upstream contributes to [`UpstreamPool::slots`].
fn slots(upstream: &Upstream) -> u32 {
    if upstream.usable() { upstream.limit.level() } else { 0 }
}
