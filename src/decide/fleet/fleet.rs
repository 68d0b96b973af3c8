//! The replicas of all services as one node sees them, and which of them gets an attempt.
//!
//! Load patterns: a step of a hundred samples begins at once beside live requests; a replica
//! slows down to a quarter, goes silent, or refuses for the second in which it loads weights.
//! Without own counts a whole step would go to whichever replica reported the least load.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound::{Excluded, Included, Unbounded};
use std::time::Duration;

use super::replica::{Replica, Told, fits};
use super::{Ended, Listed, Wish};
use crate::decide::{LatencyEstimate, Others, expected, max_ejected};
use crate::edge::replica::{Load, Target};
use crate::{Moment, Name};

/// How long a replica that refuses for want of room gets nothing: about one sample's events.
const FULL: Duration = Duration::from_millis(100);
/// How long a replica that is loading weights gets no sample of that model: a third of the
/// usual load of 0.9 s, so that it is found ready soon after.
const LOADING: Duration = Duration::from_millis(300);

/// With more replicas than this not all are looked at for each text and each event: the first
/// that is idle, near and as fast as usual gets a text, and what is usual, for which all are
/// sorted, is worked out so often. With few of them the fastest one is worth the look.
const MANY: usize = 64;
/// A tenth of the time in which a run is judged.
const JUDGE: Duration = Duration::from_millis(50);

/// A run this much slower than usual is worth moving. Replicas of one kind differ by less than
/// half with their load; one in trouble is two to four times as slow.
const SLOW: f64 = 1.7;

/// A replica that may get an attempt.
#[derive(Clone, Copy)]
struct Rated<'a> {
    /// Whether it failed the attempt before, and whether its places are taken.
    last: (bool, bool),
    time: f64,
    replica: &'a Replica,
}

impl Rated<'_> {
    fn order(&self, other: &Self) -> Ordering {
        self.last.cmp(&other.last).then(self.time.total_cmp(&other.time))
    }
}

/// The table.
#[derive(Debug)]
pub struct Fleet {
    zone: Option<Name>,
    replicas: BTreeMap<Name, Replica>,
    /// The id that got the last attempt.
    last: Name,
    /// Until when any replica is left out.
    latest: Moment,
    typical: HashMap<Name, LatencyEstimate>,
    /// When that was last worked out.
    judged: HashMap<Name, Moment>,
    /// The beat that a quarter of the replicas keep up with, by service, in seconds.
    beats: HashMap<Name, f64>,
}

impl Fleet {
    /// A table for a node of this availability zone.
    pub fn new(zone: Name) -> Self {
        Self {
            zone: Some(zone),
            replicas: BTreeMap::new(),
            last: "".into(),
            latest: Moment::ZERO,
            typical: HashMap::new(),
            beats: HashMap::new(),
            judged: HashMap::new(),
        }
    }

    /// Takes over an entry of the list. True if it says something new of who may get work.
    pub fn list(&mut self, listed: Listed) -> bool {
        let id = listed.target.id.clone();
        let Some(known) = self.replicas.get_mut(&id) else {
            self.replicas.insert(id, Replica::new(listed));
            return true;
        };
        match listed.target.born.cmp(&known.listed.target.born) {
            Ordering::Less => return false,
            Ordering::Greater => {
                known.begin_anew(listed);
                return true;
            }
            Ordering::Equal => {}
        }
        let changed = known.listed.draining != listed.draining;
        for (model, version) in &listed.versions {
            let version = *version;
            known
                .versions
                .entry(model.clone())
                .and_modify(|v| *v = version.max(*v))
                .or_insert(version);
        }
        known.listed = listed;
        changed
    }

    /// Takes a replica off the table. True if it was there.
    pub fn remove(&mut self, id: &str) -> bool {
        self.replicas.remove(id).is_some()
    }

    /// Whether there are too many to look at all of them for each text.
    pub fn many(&self) -> bool {
        self.replicas.len() > MANY
    }

    /// The ids on the table.
    pub fn ids(&self) -> Vec<Name> {
        self.replicas.keys().cloned().collect()
    }

    /// The replica, if it is on the table.
    pub fn get(&self, id: &str) -> Option<&Listed> {
        self.replicas.get(id).map(|r| &r.listed)
    }

    /// Whether new work may still go there: it is listed and not leaving.
    pub fn open(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| !r.listed.draining)
    }

    /// All that serve a model and do not leave, with the version that each was last seen at.
    pub fn serving(&self, model: &str) -> Vec<(Target, u64)> {
        let open = self.replicas.values().filter(|r| !r.listed.draining);
        open.filter_map(|r| Some((r.listed.target.clone(), *r.versions.get(model)?))).collect()
    }

    /// The replicas of a service that do not leave, by availability zone: those that may be
    /// taken back at short notice, or the others.
    pub fn count(&self, service: &str, spot: bool) -> BTreeMap<Name, u32> {
        let mut zones = BTreeMap::new();
        for replica in self.of(service).filter(|r| !r.listed.draining && r.listed.spot == spot) {
            *zones.entry(replica.listed.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// The places of one replica of a service; none where there is no replica.
    pub fn slots(&self, service: &str) -> Option<u32> {
        self.of(service).next().map(|r| r.listed.slots)
    }

    /// Places at replicas that serve a model from this version on.
    pub fn places(&self, model: &str, least: u64) -> usize {
        let open = self.replicas.values().filter(|r| !r.listed.draining);
        let able = open.filter(|r| r.versions.get(model).is_some_and(|v| *v >= least));
        able.map(|r| r.listed.slots as usize).sum()
    }

    /// An incarnation of a replica was seen to run a model at a version.
    pub fn seen(&mut self, target: &Target, model: &str, version: u64) {
        let Some(replica) = self.incarnation(target) else { return };
        if let Some(known) = replica.versions.get_mut(model) {
            *known = version.max(*known);
        }
    }

    /// An incarnation made an event under a version that is older than was believed.
    pub fn shown(&mut self, target: &Target, model: &str, version: u64) {
        let Some(replica) = self.incarnation(target) else { return };
        replica.versions.insert(model.into(), version);
    }

    /// What a replica said of its load.
    pub fn load(&mut self, id: &str, load: Load, now: Moment) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        let others = (load.running + load.waiting).saturating_sub(replica.running);
        replica.others = Others::new(others, now);
        replica.told = Told::At(now);
    }

    /// A replica answered and said nothing of its load.
    pub fn untold(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.silent();
        }
    }

    /// The replica for an attempt. Without `over`, only one with a free place.
    pub fn choose(&self, wish: &Wish<'_>, now: Moment) -> Option<Target> {
        let heed = self.heeds(wish.service, now);
        let blind = wish.over || wish.weights.is_none();
        let many = self.many();
        let mut best: Option<Rated<'_>> = None;
        let mut chosen: Option<Rated<'_>> = None;
        for replica in self.after_last(wish.service).filter(|r| fits(r, wish, now, heed)) {
            let (known, usual) = self.usual(replica, wish);
            let heard = blind || replica.heard(now);
            let rated = self.rate(replica, wish, known.decayed(usual, now), now);
            if many && heard && rated.time <= expected(0.0, usual, 1, false) && !rated.last.0 {
                return Some(replica.listed.target.clone());
            }
            if heard && chosen.as_ref().is_none_or(|c| rated.order(c).is_lt()) {
                chosen = Some(rated);
            }
            if best.as_ref().is_none_or(|b| rated.order(b).is_lt()) {
                best = Some(rated);
            }
        }
        let (best, chosen) = (best?, chosen?);
        // The word of a better one comes within milliseconds.
        let worse = chosen.last > best.last || chosen.time > SLOW * best.time;
        (!worse).then(|| chosen.replica.listed.target.clone())
    }

    /// The replica itself, if an attempt may go there now: for those who wait, after word from
    /// it alone. One that is slow is left to [`Fleet::choose`], which knows the others.
    pub fn offer(&self, id: &str, wish: &Wish<'_>, now: Moment) -> Option<Target> {
        let replica = self.replicas.get(id).filter(|r| fits(r, wish, now, true))?;
        let (known, usual) = self.usual(replica, wish);
        let slow = known.decayed(usual, now) > SLOW * usual;
        let open = replica.heard(now) && !slow && !wish.avoid.contains(&replica.listed.target.id);
        open.then(|| replica.listed.target.clone())
    }

    /// The pace that an attempt goes by at a replica, and what is usual of it.
    fn usual<'a>(&self, replica: &'a Replica, wish: &Wish<'_>) -> (&'a LatencyEstimate, f64) {
        match (wish.weights, self.beats.get(wish.service)) {
            (Some(_), Some(beat)) => (&replica.beat, *beat),
            _ => {
                let typical = self.typical.get(wish.service).and_then(LatencyEstimate::mean);
                (&replica.pace, typical.unwrap_or(0.001))
            }
        }
    }

    /// Whether replicas that are left out are: not where that would be too many.
    fn heeds(&self, service: &str, now: Moment) -> bool {
        if self.latest <= now {
            return true;
        }
        let out = self.of(service).filter(|r| r.out > now).count();
        out <= max_ejected(self.of(service).count())
    }

    /// The replicas of a service, from the one after the last that got an attempt on.
    ///
    /// Load pattern: a step of thousands of texts before thousands of replicas. The first that
    /// is idle, near and as fast as usual can't be bettered; looked for from the same end, each
    /// text would pass by all that the ones before it have taken.
    fn after_last<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Replica> {
        let after = self.replicas.range::<str, _>((Excluded(&*self.last), Unbounded));
        let before = self.replicas.range::<str, _>((Unbounded, Included(&*self.last)));
        let all = after.chain(before).map(|(_, replica)| replica);
        all.filter(move |r| &*r.listed.service == service)
    }

    fn rate<'a>(&self, replica: &'a Replica, wish: &Wish<'_>, pace: f64, now: Moment) -> Rated<'a> {
        let listed = &replica.listed;
        let far = self.zone.as_ref().is_some_and(|zone| *zone != listed.zone);
        let load = f64::from(replica.running) + replica.others.faded(now);
        let full = load >= f64::from(listed.slots);
        let avoided = wish.avoid.contains(&listed.target.id);
        Rated { last: (avoided, full), time: expected(load, pace, 1, far), replica }
    }

    /// An event of a replica's streams took so many seconds.
    ///
    /// Load pattern: a third of the replicas slow down to a quarter. Measured against the mean
    /// of all runs, their own among them, none of these would count as slow; so what is usual
    /// is what a quarter of the replicas keep up with, two of three being slow now and then,
    /// and the time between events, without waits and prompts.
    pub fn beat(&mut self, id: &str, seconds: f64, now: Moment) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.beat.record(1, Duration::from_secs_f64(seconds.max(0.0)), now);
        let service = replica.listed.service.clone();
        let fresh = self.judged.get(&service).is_some_and(|at| now.saturating_sub(*at) < JUDGE);
        if fresh && self.many() {
            return;
        }
        self.judged.insert(service.clone(), now);
        let mut known: Vec<f64> = self.of(&service).filter_map(|r| r.beat.mean()).collect();
        known.sort_unstable_by(f64::total_cmp);
        if let Some(usual) = known.get(known.len().saturating_sub(1) / 4) {
            self.beats.insert(service, *usual);
        }
    }

    /// Whether a run that goes at `pace`, in seconds a unit, is better cut and taken up at
    /// another replica with a free place. Reading the prompt and what is there already costs
    /// about as much as one event.
    pub fn faster(&self, id: &str, weights: Option<(&str, u64)>, pace: f64, now: Moment) -> bool {
        let Some(here) = self.replicas.get(id) else { return false };
        let service = &here.listed.service;
        let beat = self.beats.get(service).copied();
        let Some(typical) = beat.or_else(|| self.typical.get(service)?.mean()) else {
            return false;
        };
        if pace < SLOW * typical {
            return false;
        }
        let wish = Wish { service, weights, avoid: &[], over: false };
        let others = self.of(service).filter(|r| r.listed.target.id != here.listed.target.id);
        others
            .filter(|r| fits(r, &wish, now, true))
            .map(|r| if beat.is_some() { r.beat } else { r.pace })
            .any(|known| SLOW * known.decayed(typical, now) < pace)
    }

    /// An attempt begins.
    pub fn start(&mut self, id: &str, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.running += 1;
            replica.began = now;
            if self.many() {
                self.last = id.into();
            }
        }
    }

    /// An attempt ended.
    pub fn end(&mut self, id: &str, model: Option<&str>, ended: Ended, now: Moment) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.running = replica.running.saturating_sub(1);
        match ended {
            Ended::Answered { took, cost } => {
                replica.pace.record(cost, took, now);
                replica.failures.answered();
                replica.silent();
                self.typical
                    .entry(replica.listed.service.clone())
                    .or_default()
                    .record(cost, took, now);
            }
            Ended::Full => replica.out = replica.out.max(now + FULL),
            Ended::Loading => {
                if let Some(model) = model {
                    replica.loading.insert(model.into(), now + LOADING);
                }
            }
            Ended::Unreachable => {
                replica.failures.unreachable();
                replica.out = replica.failures.eject(now);
            }
            Ended::Failed => {
                replica.failures.failed();
                if replica.failures.should_eject() {
                    replica.out = replica.failures.eject(now);
                }
            }
            Ended::Dropped => {}
        }
        if let Some(replica) = self.replicas.get(id) {
            self.latest = self.latest.max(replica.out);
        }
    }

    /// Places of a service that are free, as far as this node knows.
    pub fn free(&self, service: &str, now: Moment) -> u32 {
        let open = self.of(service).filter(|r| !r.listed.draining && r.out <= now);
        open.map(|r| r.listed.slots.saturating_sub(r.running + r.others.faded(now) as u32)).sum()
    }

    /// The replica, if this is still its incarnation.
    fn incarnation(&mut self, target: &Target) -> Option<&mut Replica> {
        let replica = self.replicas.get_mut(&target.id)?;
        (replica.listed.target.born == target.born).then_some(replica)
    }

    fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Replica> {
        self.replicas.values().filter(move |r| &*r.listed.service == service)
    }
}
