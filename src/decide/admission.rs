//! Whether a request can still be answered in time, and when to come back if not.
//!
//! Load pattern: more arrives than the upstreams can do, for seconds or for hours. Without
//! a check, everything waits until its deadline, the queue is always as long as
//! the longest patience, and each answer is late or nearly late. What can't be there
//! in time is refused on arrival, which costs neither an upstream nor the caller's time.
//!
//! A refused caller comes back. Were all told the same time, they would come together,
//! and a fixed time would bring back more with every round of an overload. Each refusal
//! therefore takes the next place in a schedule that is drained as fast as the
//! service works: the times grow with what was refused, and are spread.

use std::time::Duration;

use rand::Rng;

use crate::Moment;

/// The estimate of the wait is exceeded by one request in a few: ask for this margin.
const MARGIN: f64 = 1.25;
/// Shortest time to come back.
const SHORTEST: Duration = Duration::from_millis(250);
/// Longest time to come back: capacity may have changed by then.
const LONGEST: Duration = Duration::from_secs(30);
/// Part of the capacity that returning requests are spread over; the rest is for
/// those who come for the first time.
const RETURNS: f64 = 0.5;
/// A time to come back is spread by up to this part of it, either way.
const SPREAD: f64 = 0.25;

/// What admission knows of the service at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Cost that goes before the request.
    pub ahead: f64,
    /// Cost a second that its class gets.
    pub rate: f64,
    /// Seconds that the request itself will take.
    pub service: f64,
}

impl Outlook {
    /// How long the request would wait for its turn.
    pub fn wait(&self) -> Duration {
        let seconds = if self.rate > 0.0 { self.ahead / self.rate } else { 0.0 };
        Duration::from_secs_f64(seconds.min(LONGEST.as_secs_f64() * 100.0))
    }

    /// Whether the answer would be there by the deadline.
    pub fn in_time(&self, now: Moment, deadline: Moment) -> bool {
        let needed = (self.wait().as_secs_f64() + self.service) * MARGIN;
        now.as_secs_f64() + needed <= deadline.as_secs_f64()
    }

    /// Whether the answer would be there by the deadline if it were sent now.
    pub fn in_time_now(&self, now: Moment, deadline: Moment) -> bool {
        Self { ahead: 0.0, ..*self }.in_time(now, deadline)
    }
}

/// The schedule of those who were told to come back.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Returns {
    next: Moment,
}

impl Returns {
    /// When a refused request of this cost is to come back, from now.
    pub fn after<R: Rng>(
        &mut self,
        cost: u32,
        outlook: &Outlook,
        now: Moment,
        rng: &mut R,
    ) -> Duration {
        let first = now + outlook.wait().clamp(SHORTEST, LONGEST);
        let step =
            if outlook.rate > 0.0 { f64::from(cost) / (outlook.rate * RETURNS) } else { 0.0 };
        let step = Duration::from_secs_f64(step.min(LONGEST.as_secs_f64()));
        self.next = (self.next.max(first) + step).min(now + LONGEST);
        let spread = rng.random_range(1.0 - SPREAD..1.0 + SPREAD);
        (self.next - now).mul_f64(spread).max(SHORTEST)
    }
}
