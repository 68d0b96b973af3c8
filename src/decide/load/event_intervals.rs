//! How long an event takes at a replica, where replicas differ in speed.
//!
//! Load pattern: one replica in four is more than twice as fast as the others, neighbours on its
//! machine slow a replica down for some hundred milliseconds, and a fault slows it down for
//! seconds. If texts are placed by the number of running requests alone, most long texts run on
//! slow replicas and are moved later; if each short slowdown counts, they are moved to and fro.
//! So an interval is smoothed over a time, not over a number of measurements, and until a replica
//! has been measured, the speed that it reports of its machine is used.

use std::time::Duration;

use crate::Moment;

/// Time over which intervals are smoothed: longer than the slowdowns by neighbours, shorter than
/// those by faults.
const SMOOTHING_TIME: Duration = Duration::from_millis(1_200);
/// Time without a measurement after which half of the difference from the expected interval is
/// forgotten, so that a replica that was slow is used again.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The part of an interval that each further request of a batch adds.
const BATCH_SLOWDOWN: f64 = 0.02;
/// Weight of one report in the smoothed speed of a machine: a slowdown by a neighbour is in about
/// one report of seven.
const REPORT_WEIGHT: f64 = 0.3;
/// The range of slowdowns, in percent, that are believed.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<u32> = 1..=10_000;
/// The percentage that a machine reports at its usual speed.
const USUAL_PERCENT: f64 = 100.0;

/// Slowdown of a batch of this many requests, against a single one.
fn batch_factor(load: f64) -> f64 {
    1.0 + BATCH_SLOWDOWN * (load - 1.0).max(0.0)
}

/// The time between two events at a replica, in seconds, as if it ran a single request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EventInterval {
    mean: Option<f64>,
    updated: Moment,
}

impl EventInterval {
    /// Records a measured interval in seconds while this many requests ran at the replica.
    pub fn record(&mut self, seconds: f64, load: f64, now: Moment) {
        let single = seconds / batch_factor(load);
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let weight = 1.0 - (-age / SMOOTHING_TIME.as_secs_f64()).exp();
        self.mean = Some(self.mean.map_or(single, |mean| mean + weight * (single - mean)));
        self.updated = now;
    }

    /// The smoothed interval of a single request, if it was measured within `age`.
    pub fn measured_within(&self, age: Duration, now: Moment) -> Option<f64> {
        self.mean.filter(|_| now.saturating_sub(self.updated) <= age)
    }

    /// The expected interval of one of this many requests. `prior` is the expected interval of a
    /// single request at a replica that was not measured.
    pub fn expected(&self, prior: f64, load: f64, now: Moment) -> f64 {
        let single = self.mean.map_or(prior, |mean| {
            let age = now.saturating_sub(self.updated).as_secs_f64();
            prior + (mean - prior) * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
        });
        single * batch_factor(load)
    }
}

/// The speed that a replica reports of its machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MachineSpeed {
    /// Smoothed time that work takes, as a multiple of the usual time.
    slowdown: Option<f64>,
}

impl MachineSpeed {
    /// Records a report of how long work takes, in percent of the usual time. Returns false if it
    /// is out of range and was ignored.
    pub fn report(&mut self, percent: u32) -> bool {
        if !SLOWDOWN_RANGE.contains(&percent) {
            return false;
        }
        let factor = f64::from(percent) / USUAL_PERCENT;
        // A factor that applies for a moment weighs as much when it is large as when it is small.
        self.slowdown = Some(
            self.slowdown.map_or(factor, |known| known * (factor / known).powf(REPORT_WEIGHT)),
        );
        true
    }

    /// The smoothed slowdown; none if it was never reported.
    pub fn slowdown(&self) -> Option<f64> {
        self.slowdown
    }
}

/// The ratio of the intervals of slow and fast replicas from which they count as uneven.
const UNEVEN_RATIO: f64 = 1.2;
/// How long the replicas have to be uneven: faults that slow some of them down are shorter.
const UNEVEN_TIME: Duration = Duration::from_secs(5);
/// The fewest measured replicas by which this is judged.
const MIN_MEASURED: usize = 6;

/// Whether the replicas of a service differ in speed, other than by a fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnevenSpeed {
    /// Whether a replica has reported the speed of its machine.
    reported: bool,
    /// Since when the measured intervals differ.
    since: Option<Moment>,
}

impl UnevenSpeed {
    /// Records that a replica has reported the speed of its machine.
    pub fn record_report(&mut self) {
        self.reported = true;
    }

    /// Whether a replica has reported the speed of its machine.
    pub fn is_reported(&self) -> bool {
        self.reported
    }

    /// Records the measured intervals of all replicas, the shortest first.
    pub fn record_intervals(&mut self, sorted: &[f64], now: Moment) {
        if sorted.len() < MIN_MEASURED {
            return;
        }
        let (fast, slow) = (sorted[sorted.len() / 5], sorted[sorted.len() - 1 - sorted.len() / 5]);
        if slow < UNEVEN_RATIO * fast {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
    }

    /// Whether the replicas differ in speed.
    pub fn applies(&self, now: Moment) -> bool {
        self.reported || self.since.is_some_and(|since| now.saturating_sub(since) >= UNEVEN_TIME)
    }
}
