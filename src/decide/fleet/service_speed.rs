//! The speed of a service's replicas, for the placement of texts where replicas are uneven.

use std::time::Duration;

use super::replica::Replica;
use crate::Moment;
use crate::decide::load::{MoveBudget, TextLengths, UnevenSpeed};

/// Weight of one measurement in the usual interval: that of a step's texts together.
const UNIT_WEIGHT: f64 = 0.02;
/// Interval at the usual speed while nothing was measured, in seconds. It only has to be of the
/// right order.
const UNKNOWN_INTERVAL: f64 = 0.04;
/// A measurement counts for the comparison of replicas for this long.
const COMPARED_AGE: Duration = Duration::from_secs(2);

/// What is known of the speed of the replicas of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceSpeed {
    pub(super) uneven: UnevenSpeed,
    pub(super) lengths: TextLengths,
    pub(super) moves: MoveBudget,
    /// The time between two events on a machine that reports the usual speed, in seconds.
    unit: Option<f64>,
    /// The interval that a quarter of the replicas do not exceed, in seconds.
    fast: Option<f64>,
}

impl ServiceSpeed {
    /// Records an interval that was measured at a replica and recorded there.
    pub(super) fn record(&mut self, replica: &Replica, now: Moment) {
        let measured = replica.single_interval.measured_within(Duration::ZERO, now);
        let Some((interval, slowdown)) = measured.zip(replica.machine.slowdown()) else { return };
        let unit = interval / slowdown;
        self.unit = Some(self.unit.map_or(unit, |known| known + UNIT_WEIGHT * (unit - known)));
    }

    /// Compares the replicas of the service.
    pub(super) fn compare<'a>(&mut self, replicas: impl Iterator<Item = &'a Replica>, now: Moment) {
        let measured =
            replicas.filter_map(|r| r.single_interval.measured_within(COMPARED_AGE, now));
        let mut sorted: Vec<f64> = measured.collect();
        sorted.sort_unstable_by(f64::total_cmp);
        self.fast = sorted.get(sorted.len().saturating_sub(1) / 4).copied().or(self.fast);
        self.uneven.record_intervals(&sorted, now);
    }

    /// Returns the expected time between two events of one of `load` requests at a replica, in
    /// seconds. A replica that was neither measured nor reports its speed counts as fast, so that
    /// it is tried.
    pub(super) fn interval(&self, replica: &Replica, load: f64, now: Moment) -> f64 {
        let prior = match replica.machine.slowdown() {
            Some(slowdown) => self.unit.unwrap_or(UNKNOWN_INTERVAL) * slowdown,
            None => self.fast.unwrap_or(UNKNOWN_INTERVAL),
        };
        replica.single_interval.expected(prior, load, now)
    }
}
