//! Choosing a replica for a request without weights, a call, on a service whose replicas report
//! their load.
//!
//! Load pattern: a step ends, and a hundred reward calls arrive at seven replicas of six slots that
//! other nodes use as well. If all are sent at once, they fill the replicas' own queues, where they
//! can be neither ordered nor refused, and the next live request waits behind them.
//!
//! Another node's requests are known only from reports, which may be wrong or old. They count only
//! while a report is recent, and then less and less, so that a node never stops sending for long.

use std::time::Duration;

use super::fleet::{Candidate, SLOW_FACTOR};
use super::replica::{Replica, fits};
use super::report_check::{EndedCall, UsualTime};
use super::table::ReplicaKey;
use super::{AttemptRequest, Fleet, ReplicaOutcome};
use crate::Moment;
use crate::decide::{ConcurrencyLimit, seconds_per_cost};
use crate::edge::replica::Target;

/// Age at which a report of others' requests no longer counts; until then its weight falls
/// linearly. A call takes 20 to 80 ms, so that by then those that it counts have ended.
pub(super) const REPORT_LIFETIME: Duration = Duration::from_millis(200);
/// Requests per slot that may queue at a replica, so that its slots stay busy while an answer is on
/// the way to a node and the next request is on its way back. A request waits there for at most
/// the usual time of one.
const QUEUED_PER_SLOT: f64 = 0.5;
/// More requests of others than this many per slot are ignored: a replica queues a few, and
/// refuses the others.
const MAX_PLAUSIBLE_OTHERS_PER_SLOT: u32 = 8;
/// A node may have up to this many requests per slot in flight at a replica, if their latency does
/// not grow.
const MAX_CALLS_PER_SLOT: u32 = 2;
/// In a large fleet, the number of replicas with room among which the best is chosen.
const MAX_CANDIDATES: usize = 16;
/// Longest time until an excluded replica of a large fleet is looked at again: exclusions end to
/// apply when too many replicas are excluded.
const EXCLUDED_RECHECK: Duration = Duration::from_millis(50);

/// Where a call may be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallChoice {
    /// To this replica.
    Send(Target),
    /// Nowhere: all replicas are full.
    Full,
    /// Nowhere: no replica accepts work.
    NoReplica,
}

/// Whether a replica has room for one more call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallRoom {
    /// It has a free slot.
    Slot,
    /// It has room in its own queue; a slot is free then, if no event comes before.
    Queue(Option<Moment>),
    /// It is full; there is room then, if no event comes before.
    Full(Option<Moment>),
}

/// The most calls that a node may have in flight at a replica.
pub(super) fn call_ceiling(slots: u32) -> u32 {
    slots.saturating_mul(MAX_CALLS_PER_SLOT)
}

/// The limit of the calls in flight at a replica that has just become known.
pub(super) fn call_limit(slots: u32) -> ConcurrencyLimit {
    ConcurrencyLimit::starting_below(call_ceiling(slots), slots)
}

impl Fleet {
    /// Whether calls to a service wait here for a slot: its replicas have no weights and report
    /// their load.
    pub fn queues_calls(&self, service: &str) -> bool {
        self.replicas.is_plain_and_reports_load(service)
    }

    /// Whether any replica of a service is listed and not draining.
    pub fn accepts_calls(&self, service: &str) -> bool {
        self.replicas.of(service).any(|r| !r.listed.draining)
    }

    /// Returns the usual time of a call to a service in seconds, and the service's number of
    /// slots if all replicas have as many as the first.
    pub fn call_capacity(&self, service: &str) -> (f64, f64) {
        let time = self.typical_pace.get(service).and_then(|pace| pace.mean()).unwrap_or_default();
        let slots = self.slots_per_replica(service).unwrap_or_default();
        (time, f64::from(slots) * self.replicas.count(service) as f64)
    }

    /// Chooses the replica for a call. Where there is room, it is the one that [`Fleet::choose`]
    /// returns.
    pub fn choose_for_call(&mut self, request: &AttemptRequest<'_>, now: Moment) -> CallChoice {
        let request = AttemptRequest { allow_full: true, ..*request };
        if self.is_large() {
            return self.choose_open(&request, now);
        }
        let Some(target) = self.choose(&request, now) else {
            // Replicas that are excluded for a time accept work again.
            let accepts = self.accepts_calls(request.service);
            return if accepts { CallChoice::Full } else { CallChoice::NoReplica };
        };
        let has_room = |r: &Replica| !matches!(r.call_room(now), CallRoom::Full(_));
        if self.replicas.get(&target.id).is_some_and(has_room) {
            return CallChoice::Send(target);
        }
        let exclude = self.applies_exclusions(request.service, now);
        let open = self.replicas.of(request.service);
        let open = open.filter(|r| fits(r, &request, now, exclude) && has_room(r));
        let best = open.map(|r| self.rate_call(r, &request, now)).min_by(|a, b| a.order(b));
        best.map_or(CallChoice::Full, |b| CallChoice::Send(b.replica.listed.target.clone()))
    }

    /// Chooses among the replicas that are not known to be full. One that turns out to be is not
    /// looked at again until something changes there, so that a choice costs as much as there were
    /// changes since the last, however many replicas there are.
    fn choose_open(&mut self, request: &AttemptRequest<'_>, now: Moment) -> CallChoice {
        if self.replicas.count(request.service) == 0 {
            return CallChoice::NoReplica;
        }
        self.replicas.reopen_due(request.service, now);
        let exclude = self.applies_exclusions(request.service, now);
        let mut closed: Vec<(ReplicaKey, bool, Option<Moment>)> = Vec::new();
        let mut candidates = Vec::new();
        for (key, replica) in self.replicas.open(request.service) {
            match open_room(replica, request, exclude, now) {
                CallRoom::Slot => {}
                CallRoom::Queue(at) => {
                    closed.push((key, true, at));
                    continue;
                }
                CallRoom::Full(at) => {
                    closed.push((key, false, at));
                    continue;
                }
            }
            let (known, typical) = self.pace_and_typical(replica, request);
            let good = self.is_idle_and_near(replica, now)
                && known.decayed(typical, now) <= SLOW_FACTOR * typical
                && !request.avoid.contains(&replica.listed.target.id)
                && replica.excluded_until <= now;
            if good {
                candidates.clear();
            }
            candidates.push(self.rate_call(replica, request, now));
            if good || candidates.len() >= MAX_CANDIDATES {
                break;
            }
        }
        let target = best_target(candidates);
        for (key, queueing, recheck_at) in closed {
            self.replicas.close(key, queueing, recheck_at);
        }
        target.map_or_else(|| self.choose_queueing(request, exclude, now), CallChoice::Send)
    }

    /// Chooses among the replicas that have no free slot, but room in their own queue.
    fn choose_queueing(
        &mut self,
        request: &AttemptRequest<'_>,
        exclude: bool,
        now: Moment,
    ) -> CallChoice {
        let mut closed = Vec::new();
        let mut candidates = Vec::new();
        for (key, replica) in self.replicas.queueing(request.service) {
            if let CallRoom::Full(at) = open_room(replica, request, exclude, now) {
                closed.push((key, at));
                continue;
            }
            candidates.push(self.rate_call(replica, request, now));
            if candidates.len() >= MAX_CANDIDATES {
                break;
            }
        }
        let target = best_target(candidates);
        for (key, recheck_at) in closed {
            self.replicas.close(key, false, recheck_at);
        }
        target.map_or(CallChoice::Full, CallChoice::Send)
    }

    fn rate_call<'a>(
        &self,
        replica: &'a Replica,
        request: &AttemptRequest<'_>,
        now: Moment,
    ) -> Candidate<'a> {
        let (known, typical) = self.pace_and_typical(replica, request);
        self.rate(replica, request, known.decayed(typical, now), now)
    }

    /// Whether the last load report of a replica without weights is ignored, because it counts more
    /// requests than can be there.
    pub fn ignores_load(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| r.versions.is_empty() && !r.others_are_plausible())
    }

    /// Records that a call begins at a replica.
    pub fn start_call(&mut self, id: &str, now: Moment) {
        self.start_attempt(id, now);
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.call_limit.start();
            replica.report_check.call_began(replica.running, now);
        }
    }

    /// Records that a call at a replica ended.
    pub fn end_call(&mut self, id: &str, outcome: ReplicaOutcome, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(id) {
            match outcome {
                ReplicaOutcome::Answered { duration, cost } => {
                    replica.call_limit.answered(seconds_per_cost(cost, duration));
                }
                ReplicaOutcome::Full => replica.call_limit.refused(),
                ReplicaOutcome::Loading
                | ReplicaOutcome::Unreachable
                | ReplicaOutcome::Failed
                | ReplicaOutcome::Abandoned => {}
            }
            replica.call_limit.end();
        }
        self.end_attempt(id, None, outcome, now);
        if let ReplicaOutcome::Answered { duration, .. } = outcome {
            self.check_report(id, duration, now);
        }
    }

    /// Checks the last report of a replica against the duration of a call that has just ended.
    fn check_report(&mut self, id: &str, duration: Duration, now: Moment) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        let Some(mean) = replica.pace.mean() else { return };
        let service = &replica.listed.service;
        let usual = match self.usual_times.get_mut(service) {
            Some(usual) => usual.record(mean, now),
            None => {
                self.usual_times.insert(service.clone(), UsualTime::new(mean, now));
                mean
            }
        };
        if now.saturating_sub(replica.others.at()) > REPORT_LIFETIME {
            return;
        }
        // The call itself no longer counts as running, but did when the replica reported.
        let own = replica.running.saturating_add(1);
        let call = EndedCall {
            seconds: duration.as_secs_f64(),
            reported: own.saturating_add(replica.others.count()),
            own,
            slots: replica.listed.slots,
        };
        replica.report_check.record(call, usual, now);
    }
}

/// The room for a call at a replica, which has none if it is draining or excluded.
fn open_room(
    replica: &Replica,
    request: &AttemptRequest<'_>,
    exclude: bool,
    now: Moment,
) -> CallRoom {
    if replica.listed.draining {
        return CallRoom::Full(None);
    }
    if !fits(replica, request, now, exclude) {
        return CallRoom::Full(Some(replica.excluded_until.min(now + EXCLUDED_RECHECK)));
    }
    replica.call_room(now)
}

fn best_target(candidates: Vec<Candidate<'_>>) -> Option<Target> {
    let best = candidates.into_iter().min_by(|a, b| a.order(b))?;
    Some(best.replica.listed.target.clone())
}

impl Replica {
    /// Whether there is room for one more call. The limit is never below the number of slots:
    /// [`ConcurrencyLimit`] can only raise it.
    fn call_room(&self, now: Moment) -> CallRoom {
        if self.full_until > now {
            return CallRoom::Full(Some(self.full_until));
        }
        let slots = self.listed.slots;
        let queued = (f64::from(slots) * QUEUED_PER_SLOT).ceil() as u32;
        let limit = slots.saturating_add(queued).max(self.call_limit.level());
        let Err(slot_at) = self.room_below(slots, now) else { return CallRoom::Slot };
        match self.room_below(limit, now) {
            Ok(()) => CallRoom::Queue(slot_at),
            Err(at) => CallRoom::Full(at),
        }
    }

    /// Whether fewer than `limit` requests are there. If not, returns when a report of others'
    /// requests no longer says so; none if this node's own requests reach the limit.
    fn room_below(&self, limit: u32, now: Moment) -> Result<(), Option<Moment>> {
        let room = limit.saturating_sub(self.running);
        if room == 0 {
            return Err(None);
        }
        if !self.others_are_plausible() || !self.report_check.believes_reports() {
            return Ok(());
        }
        let others = self.others.count();
        let age = now.saturating_sub(self.others.at());
        let weight = 1.0 - (age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64()).min(1.0);
        if f64::from(others) * weight < f64::from(room) {
            return Ok(());
        }
        let share = 1.0 - f64::from(room) / f64::from(others.max(1));
        let end = self.others.at() + REPORT_LIFETIME.mul_f64(share.clamp(0.0, 1.0));
        Err(Some(end + Duration::from_millis(1)))
    }

    /// Whether as many requests of others can be there as the last report says.
    fn others_are_plausible(&self) -> bool {
        self.others.count() <= self.listed.slots.saturating_mul(MAX_PLAUSIBLE_OTHERS_PER_SLOT)
    }
}
