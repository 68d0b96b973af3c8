//! The rate at which waiting requests of one service get slots.
//!
//! Load pattern: all nodes share the replicas of a service, and a node can't tell which part of
//! the slots will be its own. The slots that it did get while requests waited say that, whatever
//! the others do. Without it, each node would expect to have the whole service for itself, and
//! would admit many times what it can send.

use std::time::Duration;

use crate::Moment;

/// Weight of one interval in the mean: a change shows within about ten grants.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Time without waiting requests after which the measured rate no longer counts, as the load of
/// the other nodes has changed.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Shortest interval in seconds that is counted with: slots that become free together are granted
/// at the same time.
const MIN_INTERVAL: f64 = 1e-4;

/// The mean interval between two grants while requests wait.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct GrantRate {
    /// The mean in seconds; none before the first grant.
    interval: Option<f64>,
    /// When the last slot was granted, or the first request began to wait.
    last: Moment,
}

impl GrantRate {
    /// Records that a request begins to wait while no other does.
    pub(super) fn wait_started(&mut self, now: Moment) {
        if now.saturating_sub(self.last) > MAX_IDLE {
            self.interval = None;
        }
        self.last = now;
    }

    /// Records that a waiting request got a slot. `usual` is the interval before the first grant.
    pub(super) fn granted(&mut self, usual: f64, now: Moment) {
        let sample = now.saturating_sub(self.last).as_secs_f64();
        self.interval = Some(Self::updated(self.interval.unwrap_or(usual), sample));
        self.last = now;
    }

    /// Returns the grants per second. Time that has passed since the last grant lowers the rate.
    pub(super) fn per_second(&self, usual: f64, now: Moment) -> f64 {
        let mean = self.interval.unwrap_or(usual);
        let silence = now.saturating_sub(self.last).as_secs_f64();
        let interval = if silence > mean { Self::updated(mean, silence) } else { mean };
        1.0 / interval.max(MIN_INTERVAL)
    }

    fn updated(mean: f64, sample: f64) -> f64 {
        mean + INTERVAL_WEIGHT * (sample - mean)
    }
}
