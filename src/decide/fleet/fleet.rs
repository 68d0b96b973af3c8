//! The replicas of all services as one node sees them, and the choice of a replica for each
//! attempt.
//!
//! Load patterns: a step of a hundred samples begins at once beside live requests; a replica
//! slows down to a quarter of its speed, stops responding, or refuses requests for the second in
//! which it loads weights. Without counts of its own, a node would send a whole step to the
//! replica that reported the least load.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::calls::call_ceiling;
use super::replica::{LoadReporting, Replica, fits};
use super::report_check::UsualTime;
use super::service_speed::ServiceSpeed;
use super::table::{ReplicaKey, ReplicaTable};
use super::{AttemptRequest, ListedReplica, ReplicaOutcome};
use crate::decide::load::SlotPool;
use crate::decide::{LatencyEstimate, OtherLoad, expected_latency, max_ejected};
use crate::edge::replica::{ReplicaLoad, Target};
use crate::{Moment, Name};

/// How long a replica that refused because it was full gets nothing: about the time of one
/// sample's events.
const FULL_EXCLUSION: Duration = Duration::from_millis(100);
/// How long a replica that is loading weights gets no sample of that model: a third of the
/// usual loading time of 0.9 s, so that it is used soon after it is ready.
const LOADING_EXCLUSION: Duration = Duration::from_millis(300);

/// A replica that has sent something within this time is not hanging. It is half of the time after
/// which the silence of a single response is noticed.
const SENDING_TIME: Duration = Duration::from_millis(600);

/// With more replicas than this, not all are considered for each attempt and each event: the
/// first replica that is idle, in this node's availability zone and fast enough gets the attempt,
/// and the typical event interval, which requires sorting, is computed once per
/// [`TYPICAL_INTERVAL_REFRESH`]. With fewer, considering all in order to find the fastest one is
/// worth the time.
const LARGE_FLEET_REPLICAS: usize = 64;
/// A run slower than is typical by this factor is worth moving. Depending on their load, replicas
/// of one kind differ by less than half; a faulty replica is two to four times as slow.
pub(super) const SLOW_FACTOR: f64 = 1.7;

/// A candidate for an attempt. Smaller is better.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) penalties: Penalties,
    /// Expected time until an answer, in seconds.
    pub(super) latency: f64,
    pub(super) replica: &'a Replica,
}

/// Why a replica is chosen after others, the most important reason first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Penalties {
    /// Whether an earlier attempt failed there.
    pub(super) avoided: bool,
    /// Whether it has no free slot.
    pub(super) full: bool,
    /// Whether it is excluded for a time, where exclusions are not applied.
    pub(super) excluded: bool,
    /// The requests there, if the attempt is to run apart.
    pub(super) requests: u32,
}

impl Penalties {
    /// Whether a replica without a penalty might be better.
    fn is_last_choice(self) -> bool {
        self.avoided || self.excluded
    }
}

impl Candidate<'_> {
    pub(super) fn order(&self, other: &Self) -> Ordering {
        self.penalties.cmp(&other.penalties).then(self.latency.total_cmp(&other.latency))
    }
}

/// The table of the replicas of all services that a node knows.
#[derive(Debug)]
pub struct Fleet {
    pub(super) zone: Option<Name>,
    pub(super) replicas: ReplicaTable,
    /// Id of the replica that got the last attempt.
    pub(super) last_chosen: Name,
    /// The replicas that are excluded for a time, some of which may be over.
    pub(super) excluded: HashSet<ReplicaKey>,
    /// The replicas whose event interval is known.
    pub(super) measured: HashSet<ReplicaKey>,
    /// Typical time per unit of cost of the attempts of each service.
    pub(super) typical_pace: HashMap<Name, LatencyEstimate>,
    /// The usual time of the calls to each service.
    pub(super) usual_times: HashMap<Name, UsualTime>,
    /// When the typical event interval of each service was last computed.
    pub(super) interval_updates: HashMap<Name, Moment>,
    /// The event interval that a quarter of a service's replicas do not exceed, in seconds.
    pub(super) typical_intervals: HashMap<Name, f64>,
    /// The speed of the replicas of each service that generates texts.
    pub(super) speeds: HashMap<Name, ServiceSpeed>,
}

impl Fleet {
    /// A table for a node of this availability zone.
    pub fn new(zone: Name) -> Self {
        Self::for_node(zone, "".into())
    }

    /// A table for a node with this name. Where there are many replicas, each node prefers others
    /// for requests without weights.
    pub fn for_node(zone: Name, node: Name) -> Self {
        Self {
            zone: Some(zone),
            replicas: ReplicaTable::new(node),
            last_chosen: "".into(),
            excluded: HashSet::new(),
            measured: HashSet::new(),
            typical_pace: HashMap::new(),
            usual_times: HashMap::new(),
            typical_intervals: HashMap::new(),
            interval_updates: HashMap::new(),
            speeds: HashMap::new(),
        }
    }

    /// Adds or updates a replica from an entry of the platform's list. Returns true if this
    /// changes which replicas may get work.
    pub fn upsert(&mut self, listed: ListedReplica) -> bool {
        let id = listed.target.id.clone();
        let Some(known) = self.replicas.get(&id) else {
            self.replicas.insert(listed);
            return true;
        };
        match listed.target.started_ms.cmp(&known.listed.target.started_ms) {
            Ordering::Less => return false,
            Ordering::Greater => {
                self.forget_measurements(&id);
                self.replicas.update(&id, |known| known.reset(listed));
                return true;
            }
            Ordering::Equal => {}
        }
        let changed = known.listed.draining != listed.draining;
        self.replicas.update(&id, |known| {
            for (model, version) in &listed.versions {
                let version = *version;
                known
                    .versions
                    .entry(model.clone())
                    .and_modify(|v| *v = version.max(*v))
                    .or_insert(version);
            }
            if known.listed.slots != listed.slots {
                known.call_limit.set_ceiling(call_ceiling(listed.slots));
            }
            known.listed = listed;
        });
        changed
    }

    /// Removes a replica. Returns true if it was present.
    pub fn remove(&mut self, id: &str) -> bool {
        self.forget_measurements(id);
        self.replicas.remove(id)
    }

    /// Forgets what was measured at a replica that is gone or has restarted.
    fn forget_measurements(&mut self, id: &str) {
        if let Some(key) = self.replicas.key(id) {
            self.excluded.remove(&key);
            self.measured.remove(&key);
        }
    }

    /// Whether there are too many replicas to consider all of them for each attempt.
    pub fn is_large(&self) -> bool {
        self.replicas.len() > LARGE_FLEET_REPLICAS
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.replicas.len() == 0
    }

    /// Returns the ids of all replicas.
    pub fn ids(&self) -> Vec<Name> {
        self.replicas.ids().cloned().collect()
    }

    /// Returns how many replicas choices and plans have looked at so far.
    pub fn visited_replicas(&self) -> u64 {
        self.replicas.visited()
    }

    /// Returns a replica by its id.
    pub fn get(&self, id: &str) -> Option<&ListedReplica> {
        self.replicas.get(id).map(|r| &r.listed)
    }

    /// Whether a replica may get new work: it is listed and not draining.
    pub fn accepts_work(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| !r.listed.draining)
    }

    /// Whether a replica is listed and draining.
    pub fn is_draining(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| r.listed.draining)
    }

    /// Returns up to `limit` replicas that serve a model and are not draining, with the version
    /// that each was last seen at: the newest version first, then in the order of the ids.
    pub fn newest(&self, model: &str, limit: usize) -> Vec<(Name, u64)> {
        let serving = self.replicas.at_version(model, 0, "").take(limit);
        serving
            .filter_map(|r| Some((r.listed.target.id.clone(), *r.versions.get(model)?)))
            .collect()
    }

    /// Returns the number of slots of a replica that serves a model; none if there is none.
    pub fn slots_of_model(&self, model: &str) -> Option<u32> {
        self.replicas.at_version(model, 0, "").next().map(|r| r.listed.slots)
    }

    /// Returns the number of replicas that have the weights of a model and are not draining.
    pub fn serving_count(&self) -> usize {
        self.replicas.serving_count()
    }

    /// Returns the number of replicas of a service that are not draining, by availability zone:
    /// only spot replicas, or only the others.
    pub fn count_by_zone(&self, service: &str, spot: bool) -> BTreeMap<Name, u32> {
        let mut zones = BTreeMap::new();
        let open = self.replicas.of(service).filter(|r| !r.listed.draining);
        for replica in open.filter(|r| r.listed.spot == spot) {
            *zones.entry(replica.listed.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// Returns the number of slots of one replica of a service; none if there is no replica.
    pub fn slots_per_replica(&self, service: &str) -> Option<u32> {
        self.replicas.of(service).next().map(|r| r.listed.slots)
    }

    /// Returns the number of slots at replicas that serve a model at this version or a later
    /// one and are not draining.
    pub fn slots_at_version(&self, model: &str, min_version: u64) -> usize {
        let able = self.replicas.at_version(model, min_version, "");
        able.map(|r| r.listed.slots as usize).sum()
    }

    /// Records that an incarnation of a replica runs a model at a version; the known version is
    /// never lowered.
    pub fn raise_version(&mut self, target: &Target, model: &str, version: u64) {
        let Some(replica) = self.incarnation(target) else { return };
        if replica.versions.get(model).is_none_or(|known| *known >= version) {
            return;
        }
        self.replicas.update(&target.id, |replica| {
            replica.versions.insert(model.into(), version);
        });
    }

    /// Records the version of an event from an incarnation of a replica, which is older than the
    /// known version.
    pub fn set_version(&mut self, target: &Target, model: &str, version: u64) {
        if self.incarnation(target).is_some() {
            self.replicas.update(&target.id, |replica| {
                replica.versions.insert(model.into(), version);
            });
        }
    }

    /// Records the load that a replica reported. Returns false if the reported speed of its machine
    /// was out of range and ignored.
    pub fn report_load(&mut self, id: &str, load: ReplicaLoad, now: Moment) -> bool {
        let Some(replica) = self.replicas.get_mut(id) else { return true };
        let others = load.running.saturating_add(load.waiting).saturating_sub(replica.running);
        replica.others = OtherLoad::new(others, now);
        replica.load_report = LoadReporting::At(now);
        let valid = load.slowdown.is_none_or(|percent| replica.machine.report(percent));
        let reported = valid && load.slowdown.is_some();
        if reported {
            let service = replica.listed.service.clone();
            self.speeds.entry(service).or_default().uneven.record_report();
        }
        self.replicas.set_reports_load(id);
        valid
    }

    /// Records that a replica answered a request.
    pub fn record_answer(&mut self, id: &str, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.answered = now;
        }
    }

    /// Records that an event of a replica's stream arrived.
    pub fn record_event(&mut self, id: &str, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.streamed = now;
        }
    }

    /// Records that a replica has sent nothing of a response for a while. Returns whether it sends
    /// other responses. If not, and `count` is set, this counts as a failure.
    pub fn record_silence(&mut self, id: &str, count: bool, now: Moment) -> bool {
        let Some(replica) = self.replicas.get_mut(id) else { return false };
        let last = replica.answered.max(replica.streamed);
        if last > Moment::ZERO && now.saturating_sub(last) <= SENDING_TIME {
            return true;
        }
        if count {
            replica.failed(now);
            self.update_excluded(id, now);
        }
        false
    }

    /// When a replica last answered a request; none if it is not listed.
    pub fn last_answer(&self, id: &str) -> Option<Moment> {
        self.replicas.get(id).map(|replica| replica.answered)
    }

    /// Records an answer of a replica without a load report.
    pub fn report_no_load(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.answer_ended();
        }
    }

    /// Chooses the replica for an attempt; unless the request allows full replicas, only one with
    /// a free slot. Returns none if no replica fits, and also if a clearly better one than
    /// those of known load is about to report its load.
    pub fn choose(&self, request: &AttemptRequest<'_>, now: Moment) -> Option<Target> {
        let exclude = self.applies_exclusions(request.service, now);
        let ignore_load = request.allow_full || request.weights.is_none();
        let many = self.is_large();
        let uneven = self.uneven_speed(request, now);
        let searched = if many && uneven.is_some() { LARGE_FLEET_REPLICAS } else { usize::MAX };
        let mut best: Option<Candidate<'_>> = None;
        let mut chosen: Option<Candidate<'_>> = None;
        let fitting = self.candidates(request).filter(|r| fits(r, request, now, exclude));
        for replica in fitting.take(searched) {
            let (known, typical) = self.pace_and_typical(replica, request);
            let load_known = ignore_load || replica.load_is_known(now);
            let pace = known.decayed(typical, now);
            let rated = match uneven {
                Some(speed) => self.rate_by_speed(replica, request, speed, now),
                None => self.rate(replica, request, pace, now),
            };
            let good = match request.weights {
                Some(_) => rated.latency <= expected_latency(0.0, typical, 1, false),
                None => self.is_idle_and_near(replica, now) && pace <= SLOW_FACTOR * typical,
            };
            if many && uneven.is_none() && load_known && good && !rated.penalties.is_last_choice() {
                return Some(replica.listed.target.clone());
            }
            if load_known && chosen.as_ref().is_none_or(|c| rated.order(c).is_lt()) {
                chosen = Some(rated);
            }
            if best.as_ref().is_none_or(|b| rated.order(b).is_lt()) {
                best = Some(rated);
            }
        }
        let (best, chosen) = (best?, chosen?);
        // A better replica of unknown load reports it within milliseconds.
        let worse =
            chosen.penalties > best.penalties || chosen.latency > SLOW_FACTOR * best.latency;
        (!worse).then(|| chosen.replica.listed.target.clone())
    }

    /// Returns the replica itself if an attempt may go there now. Waiting attempts use this after
    /// a report of this replica alone. A slow replica is never returned: [`Fleet::choose`]
    /// compares it with the others. Where replicas are uneven, it always does.
    pub fn choose_at(&self, id: &str, request: &AttemptRequest<'_>, now: Moment) -> Option<Target> {
        if self.uneven_speed(request, now).is_some() {
            return self.choose(request, now);
        }
        let replica = self.replicas.get(id).filter(|r| fits(r, request, now, true))?;
        let (known, typical) = self.pace_and_typical(replica, request);
        let slow = known.decayed(typical, now) > SLOW_FACTOR * typical;
        let open = replica.load_is_known(now)
            && !slow
            && !request.avoid.contains(&replica.listed.target.id);
        open.then(|| replica.listed.target.clone())
    }

    /// Returns the measure of a replica's speed that applies to an attempt, and the typical
    /// value of that measure in the service.
    pub(super) fn pace_and_typical<'a>(
        &self,
        replica: &'a Replica,
        request: &AttemptRequest<'_>,
    ) -> (&'a LatencyEstimate, f64) {
        match (request.weights, self.typical_intervals.get(request.service)) {
            (Some(_), Some(interval)) => (&replica.event_interval, *interval),
            _ => {
                let typical =
                    self.typical_pace.get(request.service).and_then(LatencyEstimate::mean);
                (&replica.pace, typical.unwrap_or(0.001))
            }
        }
    }

    /// Whether excluded replicas of a service are left out of the choice: not if there are too
    /// many of them.
    pub(super) fn applies_exclusions(&self, service: &str, now: Moment) -> bool {
        let excluded = self.excluded.iter().filter_map(|key| self.replicas.by_key(*key));
        let count =
            excluded.filter(|r| &*r.listed.service == service && r.excluded_until > now).count();
        count <= max_ejected(self.replicas.count(service))
    }

    /// Returns the replicas that may get an attempt, in the order in which they are considered.
    ///
    /// Load pattern: a step of thousands of samples and thousands of replicas. No replica is better
    /// than the first that is idle, in this zone and as fast as is typical; if each search began
    /// at the same end, each sample would pass all replicas that the samples before it have taken.
    /// Requests without weights are few at any one time, and each node begins with the same
    /// replicas every time, so that it needs few connections however many replicas there are.
    pub(super) fn candidates<'a>(
        &'a self,
        request: &AttemptRequest<'a>,
    ) -> Box<dyn Iterator<Item = &'a Replica> + 'a> {
        let service = request.service;
        match request.weights {
            _ if !self.is_large() => Box::new(self.replicas.of(service)),
            None => Box::new(self.replicas.ranked(service)),
            Some((model, min_version)) => Box::new(
                self.replicas
                    .at_version(model, min_version, &self.last_chosen)
                    .filter(move |r| &*r.listed.service == service),
            ),
        }
    }

    /// Whether no request runs at a replica, as far as is known, and it is in this node's
    /// availability zone.
    pub(super) fn is_idle_and_near(&self, replica: &Replica, now: Moment) -> bool {
        let near = self.zone.as_ref().is_none_or(|zone| *zone == replica.listed.zone);
        near && replica.running == 0 && replica.others.decayed(now) < 1.0
    }

    pub(super) fn rate<'a>(
        &self,
        replica: &'a Replica,
        request: &AttemptRequest<'_>,
        pace: f64,
        now: Moment,
    ) -> Candidate<'a> {
        let listed = &replica.listed;
        let far = self.zone.as_ref().is_some_and(|zone| *zone != listed.zone);
        let load = replica.load(now);
        let full = load >= f64::from(listed.slots);
        let avoided = request.avoid.contains(&listed.target.id);
        Candidate {
            penalties: Penalties {
                avoided,
                full,
                excluded: replica.excluded_until > now,
                requests: if request.apart { load.round() as u32 } else { 0 },
            },
            latency: expected_latency(load, pace, 1, far),
            replica,
        }
    }

    /// Records that an attempt begins at a replica.
    pub fn start_attempt(&mut self, id: &str, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.running += 1;
            replica.began = now;
            if let Some(speed) = self.speeds.get_mut(&replica.listed.service) {
                speed.moves.text_began();
            }
            self.last_chosen = id.into();
        }
    }

    /// Records that an attempt at a replica ended.
    pub fn end_attempt(
        &mut self,
        id: &str,
        model: Option<&str>,
        outcome: ReplicaOutcome,
        now: Moment,
    ) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.running = replica.running.saturating_sub(1);
        match outcome {
            ReplicaOutcome::Answered { duration, cost } => {
                replica.pace.record(cost, duration, now);
                replica.failures.answered();
                replica.answer_ended();
                self.typical_pace
                    .entry(replica.listed.service.clone())
                    .or_default()
                    .record(cost, duration, now);
            }
            ReplicaOutcome::Full => {
                replica.excluded_until = replica.excluded_until.max(now + FULL_EXCLUSION);
                replica.full_until = now + FULL_EXCLUSION;
            }
            ReplicaOutcome::Loading => {
                if let Some(model) = model {
                    replica.loading.insert(model.into(), now + LOADING_EXCLUSION);
                }
            }
            ReplicaOutcome::Unreachable => {
                replica.failures.unreachable();
                replica.excluded_until = replica.failures.eject(now);
            }
            ReplicaOutcome::Failed => replica.failed(now),
            ReplicaOutcome::Abandoned => {}
        }
        self.update_excluded(id, now);
    }

    /// Adds a replica to the excluded ones if it is excluded now.
    fn update_excluded(&mut self, id: &str, now: Moment) {
        let is_excluded =
            |key: &ReplicaKey| self.replicas.by_key(*key).is_some_and(|r| r.excluded_until > now);
        if self.replicas.key(id).is_some_and(|key| is_excluded(&key)) {
            self.excluded.retain(is_excluded);
            self.excluded.extend(self.replicas.key(id));
        }
    }

    /// Returns the number of free slots of a service, as far as this node knows.
    pub fn free_slots(&self, service: &str, now: Moment) -> u32 {
        let open =
            self.replicas.of(service).filter(|r| !r.listed.draining && r.excluded_until <= now);
        open.map(|r| r.listed.slots.saturating_sub(r.running + r.others.decayed(now) as u32)).sum()
    }

    /// Returns the slots of a service's replicas that accept work, by the models that they serve.
    pub fn slot_pools(&self, service: &str, now: Moment) -> Vec<SlotPool> {
        let mut pools: BTreeMap<Vec<Name>, u32> = BTreeMap::new();
        let open =
            self.replicas.of(service).filter(|r| !r.listed.draining && r.excluded_until <= now);
        for replica in open {
            let mut models: Vec<Name> = replica.versions.keys().cloned().collect();
            models.sort_unstable();
            *pools.entry(models).or_default() += replica.listed.slots;
        }
        pools.into_iter().map(|(models, slots)| SlotPool { models, slots }).collect()
    }

    /// Returns the replica if this is still its incarnation.
    fn incarnation(&self, target: &Target) -> Option<&Replica> {
        let replica = self.replicas.get(&target.id)?;
        (replica.listed.target.started_ms == target.started_ms).then_some(replica)
    }
}
