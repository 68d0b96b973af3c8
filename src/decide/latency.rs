//! Estimate of the time that an upstream takes for a unit of cost.
//!
//! Load pattern: requests differ a thousandfold in tokens, so a plain mean of latencies says
//! more about the requests than about the upstream. Divided by its expected cost, a latency
//! can be compared between upstreams and over time.

use std::time::Duration;

use crate::Moment;

/// Weight of a new sample in the moving mean: a change shows within about 10 answers.
const MEAN_WEIGHT: f64 = 0.1;
/// Time without a sample after which half of the difference from the typical latency is
/// forgotten, so that an upstream that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// A moving mean of the seconds per unit of cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyEstimate {
    mean: Option<f64>,
    /// When the last sample was recorded.
    updated: Moment,
}

impl LatencyEstimate {
    /// Records an attempt of this cost that took this long.
    pub fn record(&mut self, cost: u32, took: Duration, now: Moment) {
        let sample = seconds_per_cost(cost, took);
        self.mean = Some(self.mean.map_or(sample, |mean| mean + MEAN_WEIGHT * (sample - mean)));
        self.updated = now;
    }

    /// Records an attempt that was given up after this time. It would have taken longer, so
    /// it counts only if it raises the mean.
    pub fn record_lower_bound(&mut self, cost: u32, took: Duration, now: Moment) {
        if self.mean.is_some_and(|mean| seconds_per_cost(cost, took) > mean) {
            self.record(cost, took, now);
        }
    }

    /// The mean in seconds per unit of cost, if there was a sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// The mean, decayed towards `typical` by the age of the last sample.
    pub fn decayed(&self, typical: f64, now: Moment) -> f64 {
        let Some(mean) = self.mean else { return typical };
        let age = now.saturating_sub(self.updated).as_secs_f64();
        typical + (mean - typical) * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Seconds per unit of cost.
pub fn seconds_per_cost(cost: u32, took: Duration) -> f64 {
    took.as_secs_f64() / f64::from(cost.max(1))
}
