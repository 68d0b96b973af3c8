//! The criteria by which an upstream is chosen for an attempt.
//!
//! Load pattern: many nodes send to the same upstreams. Choosing the least loaded by a lagging
//! report sends all nodes to it at once; round robin gives a slow upstream as much as a fast
//! one. Of two random upstreams the one that is expected to answer sooner gets the
//! attempt (Mitzenmacher, "The Power of Two Choices", 2001).

use std::time::Duration;

use rand::Rng;

use crate::Moment;

/// Extra seconds of an attempt in another availability zone: a round trip at 1.5 ms
/// one way. It is added to the expected time, so that it matters less under load.
const OTHER_ZONE_SECONDS: f64 = 0.003;
/// Half-life of a report of others' load: reports come several times a second
/// and a request lasts for seconds.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Load that an upstream with a cached prefix may have, relative to the mean of all:
/// "Consistent Hashing with Bounded Loads" (Mirrokni and others, 2016) with c = 1.25.
const LOAD_BOUND_FACTOR: f64 = 1.25;

/// The requests that other nodes have in flight at an upstream, by its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OtherLoad {
    count: u32,
    at: Moment,
}

impl OtherLoad {
    /// A report made at `at`, without this node's own requests.
    pub fn new(count: u32, at: Moment) -> Self {
        Self { count, at }
    }

    /// The count as reported.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// When the report was made.
    pub fn at(&self) -> Moment {
        self.at
    }

    /// The count, decayed exponentially by the age of the report.
    pub fn decayed(&self, now: Moment) -> f64 {
        if self.count == 0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).as_secs_f64();
        f64::from(self.count) * 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
    }
}

/// Returns the expected seconds until an answer, up to a factor that all candidates share.
/// `pace` is in seconds per unit of cost.
pub fn expected_latency(load: f64, pace: f64, cost: u32, other_zone: bool) -> f64 {
    let distance = if other_zone { OTHER_ZONE_SECONDS } else { 0.0 };
    (load + 1.0) * pace * f64::from(cost.max(1)) + distance
}

/// Whether an upstream with a cached prefix may be preferred at this load.
pub fn within_load_bound(load: f64, mean: f64) -> bool {
    load <= LOAD_BOUND_FACTOR * mean + 1.0
}

/// Returns two different random indices below `len`, the same index twice if there is only one,
/// and none if there is none.
pub fn two_random<R: Rng>(len: usize, rng: &mut R) -> Option<(usize, usize)> {
    match len {
        0 => None,
        1 => Some((0, 0)),
        _ => {
            let first = rng.random_range(0..len);
            let step = rng.random_range(1..len);
            Some((first, (first + step) % len))
        }
    }
}
