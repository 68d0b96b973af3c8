//! Admission: whether a request can still be answered in time, and when to retry if not.
//!
//! Load pattern: more arrives than the upstreams can serve, for seconds or for hours.
//! Without a check, everything waits until its deadline, the queue is always as long as the
//! longest deadline, and each answer is late or nearly late. A request that can't be
//! answered in time is refused on arrival, which costs neither an upstream nor the
//! caller's time.
//!
//! A refused caller retries. With the same `Retry-After` time, all callers would return
//! together, and with a fixed time more would return in every round of an overload. Each
//! refusal therefore takes the next place in a schedule that is drained as fast as the
//! service works: the times grow with what was refused, and are jittered.

use std::time::Duration;

use rand::Rng;

use crate::Moment;

/// Factor on the estimated time: one request in a few takes longer than the estimate.
const ESTIMATE_MARGIN: f64 = 1.25;
/// Shortest `Retry-After` time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest `Retry-After` time: capacity may have changed by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Part of the capacity over which retries are spread; the rest is left for new requests.
const RETRY_CAPACITY_SHARE: f64 = 0.5;
/// A `Retry-After` time is varied by up to this part of it, in both directions.
const RETRY_JITTER: f64 = 0.25;

/// The estimated waiting and service time of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitEstimate {
    /// Cost that is served before the request.
    pub cost_ahead: f64,
    /// Cost per second that the service gets done for the request's class.
    pub cost_rate: f64,
    /// Seconds that the request itself takes.
    pub service_time: f64,
}

impl WaitEstimate {
    /// How long the request waits before it is sent.
    pub fn wait(&self) -> Duration {
        let seconds = if self.cost_rate > 0.0 { self.cost_ahead / self.cost_rate } else { 0.0 };
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64() * 100.0))
    }

    /// Whether the request is answered by the deadline.
    pub fn in_time(&self, now: Moment, deadline: Moment) -> bool {
        let needed = (self.wait().as_secs_f64() + self.service_time) * ESTIMATE_MARGIN;
        now.as_secs_f64() + needed <= deadline.as_secs_f64()
    }

    /// When the request has to be sent at the latest to be answered by the deadline.
    pub fn latest_start(&self, deadline: Moment) -> Moment {
        let needed = (self.service_time * ESTIMATE_MARGIN).min(deadline.as_secs_f64());
        deadline.saturating_sub(Duration::from_secs_f64(needed))
    }

    /// Whether the request would be answered by the deadline if it were sent now.
    pub fn in_time_now(&self, now: Moment, deadline: Moment) -> bool {
        Self { cost_ahead: 0.0, ..*self }.in_time(now, deadline)
    }
}

/// The schedule of the retries of refused requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RetrySchedule {
    /// When the last scheduled retry is due.
    last: Moment,
}

impl RetrySchedule {
    /// Schedules the retry of a refused request of this cost. Returns the time from now.
    pub fn schedule<R: Rng>(
        &mut self,
        cost: u32,
        estimate: &WaitEstimate,
        now: Moment,
        rng: &mut R,
    ) -> Duration {
        let first = now + estimate.wait().clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let step = if estimate.cost_rate > 0.0 {
            f64::from(cost) / (estimate.cost_rate * RETRY_CAPACITY_SHARE)
        } else {
            0.0
        };
        let step = Duration::from_secs_f64(step.min(MAX_RETRY_AFTER.as_secs_f64()));
        self.last = (self.last.max(first) + step).min(now + MAX_RETRY_AFTER);
        let jitter = rng.random_range(1.0 - RETRY_JITTER..1.0 + RETRY_JITTER);
        (self.last - now).mul_f64(jitter).max(MIN_RETRY_AFTER)
    }
}
