//! The speed of replicas: its measurement, the placement of texts by it, and moves of running texts.

use std::time::Duration;

use super::AttemptRequest;
use super::fleet::{Candidate, Fleet, SLOW_FACTOR};
use super::replica::{Replica, fits};
use super::service_speed::ServiceSpeed;
use crate::decide::load::{TextLength, move_gain};
use crate::{Moment, Name};

/// Time between two computations of the typical event interval of a service in a large fleet: a
/// tenth of the time in which the speed of a run is judged.
const TYPICAL_INTERVAL_REFRESH: Duration = Duration::from_millis(50);

impl Fleet {
    /// Records the time between two events of a replica's streams, in seconds.
    ///
    /// Load pattern: a third of the replicas slow down to a quarter of their speed. Compared with
    /// the mean of all runs, including their own, none of these would count as slow. So the
    /// typical value is the one that a quarter of the replicas reach, as two of three are slow
    /// now and then, and it measures the time between events, without waits and prompts.
    pub fn record_event_interval(&mut self, id: &str, seconds: f64, now: Moment) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.streamed = now;
        replica.event_interval.record(1, Duration::from_secs_f64(seconds.max(0.0)), now);
        let load = replica.load(now);
        replica.single_interval.record(seconds.max(0.0), load, now);
        let service = replica.listed.service.clone();
        let speed = self.speeds.entry(service.clone()).or_default();
        speed.record(replica, now);
        self.measured.extend(self.replicas.key(id));
        let fresh = self
            .interval_updates
            .get(&service)
            .is_some_and(|at| now.saturating_sub(*at) < TYPICAL_INTERVAL_REFRESH);
        if fresh && self.is_large() {
            return;
        }
        self.interval_updates.insert(service.clone(), now);
        let measured = self.measured.iter().filter_map(|key| self.replicas.by_key(*key));
        let mut known: Vec<f64> = measured
            .filter(|r| r.listed.service == service)
            .filter_map(|r| r.event_interval.mean())
            .collect();
        known.sort_unstable_by(f64::total_cmp);
        if let Some(typical) = known.get(known.len().saturating_sub(1) / 4) {
            self.typical_intervals.insert(service.clone(), *typical);
        }
        let measured = self.measured.iter().filter_map(|key| self.replicas.by_key(*key));
        let same = measured.filter(|r| r.listed.service == service);
        self.speeds.entry(service.clone()).or_default().compare(same, now);
    }

    /// Whether a run at `pace`, in seconds per unit of cost or per event, is better stopped and
    /// resumed at another replica with a free slot. Reading the prompt and the existing text
    /// there costs about as much as one event.
    pub fn has_faster_replica(
        &self,
        id: &str,
        weights: Option<(&str, u64)>,
        pace: f64,
        now: Moment,
    ) -> bool {
        let Some(here) = self.replicas.get(id) else { return false };
        let service = &here.listed.service;
        let interval = self.typical_intervals.get(service).copied();
        let Some(typical) = interval.or_else(|| self.typical_pace.get(service)?.mean()) else {
            return false;
        };
        if pace < SLOW_FACTOR * typical {
            return false;
        }
        let length = TextLength::default();
        let request = AttemptRequest {
            service,
            weights,
            avoid: &[],
            length,
            allow_full: false,
            apart: false,
        };
        let others =
            self.candidates(&request).filter(|r| r.listed.target.id != here.listed.target.id);
        others
            .filter(|r| fits(r, &request, now, true))
            .map(|r| if interval.is_some() { r.event_interval } else { r.pace })
            .any(|known| SLOW_FACTOR * known.decayed(typical, now) < pace)
    }

    /// Rates a replica by when the text is expected to be complete there.
    pub(super) fn rate_by_speed<'a>(
        &self,
        replica: &'a Replica,
        request: &AttemptRequest<'_>,
        speed: &ServiceSpeed,
        now: Moment,
    ) -> Candidate<'a> {
        let load = replica.load(now) + 1.0;
        let generating =
            speed.lengths.events_left(request.length) * speed.interval(replica, load, now);
        let rated = self.rate(replica, request, 0.0, now);
        Candidate { latency: generating + rated.latency, ..rated }
    }

    /// Returns the speed of the replicas that a request may run at, if it generates a text and they
    /// are uneven.
    pub(super) fn uneven_speed(
        &self,
        request: &AttemptRequest<'_>,
        now: Moment,
    ) -> Option<&ServiceSpeed> {
        request.weights?;
        self.speeds.get(request.service).filter(|speed| speed.uneven.applies(now))
    }

    /// Whether a replica of a service has reported the speed of its machine.
    pub fn reports_speed(&self, service: &str) -> bool {
        self.speeds.get(service).is_some_and(|speed| speed.uneven.is_reported())
    }

    /// Records a text that is complete.
    pub fn record_text(&mut self, service: &Name, length: TextLength) {
        self.speeds.entry(service.clone()).or_default().lengths.record(length);
    }

    /// Whether a run should be stopped and resumed at another replica with a free slot, which counts
    /// as a move. `pace` is its own time per event of late, in seconds.
    pub fn take_move(
        &mut self,
        id: &str,
        weights: Option<(&str, u64)>,
        length: TextLength,
        pace: f64,
        now: Moment,
    ) -> bool {
        let Some(here) = self.replicas.get(id) else { return false };
        let service = here.listed.service.clone();
        let request = AttemptRequest {
            service: &service,
            weights,
            avoid: &[],
            length,
            allow_full: false,
            apart: false,
        };
        let Some(speed) = self.uneven_speed(&request, now) else {
            return self.has_faster_replica(id, weights, pace, now);
        };
        let left = speed.lengths.events_left(length);
        let interval = speed.interval(here, here.load(now), now);
        let others = self.candidates(&request).filter(|r| *r.listed.target.id != *id);
        let free = others.filter(|r| fits(r, &request, now, true) && r.load_is_known(now));
        let intervals = free.map(|r| speed.interval(r, r.load(now) + 1.0, now));
        let Some(fastest) = intervals.min_by(f64::total_cmp) else { return false };
        let gain = move_gain(left, interval, fastest);
        self.speeds.get_mut(&service).is_some_and(|speed| speed.moves.take(gain))
    }
}
