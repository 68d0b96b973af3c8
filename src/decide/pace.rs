//! How long a unit of cost takes at an upstream.
//!
//! Load pattern: requests differ a thousandfold in tokens, so a plain mean of
//! latencies says more about the requests than about the upstream. Divided by its
//! expected cost, a latency can be compared between upstreams and over time.

use std::time::Duration;

use crate::Moment;

/// Weight of one new sample: a change shows within about 10 answers.
const GAIN: f64 = 0.1;
/// After so long without a sample, half of what was known is forgotten, so that an
/// upstream that was slow is tried again.
const HALF: Duration = Duration::from_secs(5);

/// A moving mean of seconds per unit of cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    mean: Option<f64>,
    at: Moment,
}

impl Pace {
    /// An attempt of this cost took so long.
    pub fn record(&mut self, cost: u32, took: Duration, now: Moment) {
        let sample = per_cost(cost, took);
        self.mean = Some(self.mean.map_or(sample, |mean| mean + GAIN * (sample - mean)));
        self.at = now;
    }

    /// An attempt was given up after so long: it would have taken longer still.
    pub fn record_least(&mut self, cost: u32, took: Duration, now: Moment) {
        if self.mean.is_some_and(|mean| per_cost(cost, took) > mean) {
            self.record(cost, took, now);
        }
    }

    /// The mean, if there was a sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// The mean, faded towards `typical` by the age of the last sample.
    pub fn faded(&self, typical: f64, now: Moment) -> f64 {
        let Some(mean) = self.mean else { return typical };
        let age = now.saturating_sub(self.at).as_secs_f64();
        typical + (mean - typical) * 0.5_f64.powf(age / HALF.as_secs_f64())
    }
}

/// Seconds per unit of cost.
pub fn per_cost(cost: u32, took: Duration) -> f64 {
    took.as_secs_f64() / f64::from(cost.max(1))
}
